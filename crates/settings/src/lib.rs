//! Reads the settings of a deployment, a JSON object, into the
//! [`Settings`](pinetrestle::interface::Settings) of the decision core.
//!
//! The simulator adapter (`crates/benchlink`) and the front node (`crates/node`) both read their settings
//! with this crate, so that the decision core gets the same values in both.
//!
//! - [`read`] reads a settings object into a [`Deployment`]: the settings of the decision core, the names
//!   of classes and tenants, and the connection parameters in [`Transport`]. Absent optional keys get their
//!   neutral defaults. The keys that [`read`] expects are the canonical keys. The simulator sends settings to
//!   `crates/benchlink` with these keys.
//! - [`KeyAliases`] reads the settings of a deployment that uses other names for some of the keys. It maps
//!   these aliases to the canonical keys, calls [`read`], and names the key in an error as the settings
//!   object spells it.
//! - [`fields`] has typed readers for single keys of a JSON object. Their error,
//!   [`FieldError`](fields::FieldError), contains the full path of the key (`classes[1].aim`). Other crates
//!   also read their JSON with these readers.
//!
//! All times are in microseconds ([`Micros`](pinetrestle::interface::Micros)), as on the wire.

#![warn(missing_docs)]

mod aliases;
mod deployment;
pub mod fields;
mod reader;

pub use aliases::KeyAliases;
pub use deployment::{Deployment, Transport};
pub use reader::read;
