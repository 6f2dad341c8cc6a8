//! Formats a member's status for operators: as tables, as sentences that explain it, or as a report on the
//! fleet's recovery from a power loss.
//!
//! Each report borrows the status and implements [`std::fmt::Display`]. Each line ends with a line feed.

mod explanation;
mod recovery_report;
mod table;

pub use explanation::Explanation;
pub use recovery_report::RecoveryReport;
pub use table::StatusTable;
