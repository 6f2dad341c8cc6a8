//! Prints the results of commands to standard output.

use super::error::CommandError;
use crate::status::Status;
use crate::status_report::{Explanation, RecoveryReport, StatusTable};
use serde::Serialize;

/// The form in which a member's status is printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StatusForm {
    /// Tables, for `fleet status`.
    Table,
    /// Sentences, for `fleet explain`.
    Explanation,
    /// Sentences on the recovery from a power loss only, for `fleet recover`.
    Recovery,
}

/// Prints a member's status in the given form, or as JSON. For [`StatusForm::Recovery`], the JSON contains
/// only the section on the recovery.
///
/// # Errors
/// [`CommandError::NotInRollout`] for [`StatusForm::Recovery`] if the status has no section on the recovery.
pub(super) fn print_status(status: &Status, form: StatusForm, json: bool) -> Result<(), CommandError> {
    match form {
        StatusForm::Recovery => {
            let recovery = status.recovery.as_ref().ok_or(CommandError::NotInRollout)?;
            if json {
                print_json(recovery);
            } else {
                print!("{}", RecoveryReport { status, recovery });
            }
        }
        StatusForm::Table | StatusForm::Explanation if json => print_json(status),
        StatusForm::Table => print!("{}", StatusTable(status)),
        StatusForm::Explanation => print!("{}", Explanation(status)),
    }
    Ok(())
}

/// Prints that the member accepted the request.
pub(super) fn print_accepted(json: bool) {
    println!("{}", if json { r#"{"taken":true}"# } else { "taken" });
}

/// Prints that the fleet has applied the command, or that it changed nothing (`unchanged`).
pub(super) fn print_done(unchanged: bool, json: bool) {
    match (json, unchanged) {
        (true, _) => println!("{{\"done\":true,\"already\":{unchanged}}}"),
        (false, true) => println!("it is so already"),
        (false, false) => println!("done"),
    }
}

fn print_json(value: &impl Serialize) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}
