//! A hierarchical timing wheel (G. Varghese and A. Lauck, "Hashed and hierarchical timing wheels", SOSP
//! 1987).
//!
//! A [`TimingWheel`] manages timers, each with a deadline and a value. A time is a number from 0 to
//! [`u64::MAX`] in a unit that the caller chooses. The wheel's current time never decreases. The wheel reads
//! no clock and does no I/O.
//!
//! # Cost
//!
//! Inserting and cancelling a timer take constant time. Before a timer fires, it is moved to a lower level at
//! most [`LEVELS`] times. In practice it is moved about once for every factor of 64 (six bits) in the
//! distance between the time of insertion and the deadline.
//!
//! # Order
//!
//! Timers fire in the order of their deadlines, and timers with the same deadline in the order of insertion.
//! If a deadline is already past when its timer is inserted, the deadline is set to the wheel's current time
//! (see [`TimingWheel::now`]).
//!
//! # Memory
//!
//! A timer occupies one entry of a slab. The entry of a removed timer is reused by a later insertion, so the
//! slab has as many entries as the greatest number of timers that existed at the same time. When the last
//! timer is removed and the slab has more than 1024 entries, its memory is released.
//!
//! ```
//! use pinetrestle_wheel::TimingWheel;
//!
//! let mut wheel = TimingWheel::new(0);
//! let late = wheel.insert(70, "late");
//! wheel.insert(20, "early");
//! assert_eq!(wheel.pop(100), Some((20, "early")));
//! assert_eq!(wheel.cancel(late), Some("late"));
//! assert_eq!(wheel.pop(100), None);
//! ```

#![warn(missing_docs)]

mod slab;
mod wheel;

pub use slab::TimerKey;
pub use wheel::{TimingWheel, LEVELS};
