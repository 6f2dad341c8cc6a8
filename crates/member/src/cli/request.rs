//! Commands that send a request to a running member and print the response.

use super::arguments::{RolloutOptions, Target};
use super::error::CommandError;
use super::output::{self, StatusForm};
use super::{own_address, read_config};
use crate::client;
use crate::wire::{Request, Response};
use pinetrestle_rollout::{Command, Outcome};
use std::net::SocketAddr;
use std::time::Duration;

/// Requests the status of a member and prints it in the given form.
pub(super) async fn print_status(target: &Target, form: StatusForm) -> Result<(), CommandError> {
    send_and_print(target, Request::Status, form).await
}

/// Sends a request and prints the response.
pub(super) async fn send(target: &Target, request: Request) -> Result<(), CommandError> {
    send_and_print(target, request, StatusForm::Table).await
}

/// Sends a command on drains and releases and prints the outcome. `command` creates it from its idempotency
/// key, which is random unless the command line gives one.
pub(super) async fn send_rollout(
    options: RolloutOptions,
    command: impl FnOnce(String) -> Command,
) -> Result<(), CommandError> {
    let id = options.id.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    send(&options.target, Request::Rollout(command(id))).await
}

async fn send_and_print(target: &Target, request: Request, form: StatusForm) -> Result<(), CommandError> {
    let address = target_address(target)?;
    let response_timeout = Duration::from_secs(target.wait);
    let response =
        client::request(address, request, response_timeout).await.map_err(CommandError::Request)?;
    match response {
        Response::Status(status) => output::print_status(&status, form, target.json),
        Response::Accepted => {
            output::print_accepted(target.json);
            Ok(())
        }
        Response::Applied(Outcome::Refused(refusal)) => Err(CommandError::Rejected(refusal.to_string())),
        Response::Applied(outcome) => {
            output::print_done(outcome == Outcome::Unchanged, target.json);
            Ok(())
        }
        Response::Rejected(reason) => Err(CommandError::Rejected(reason)),
    }
}

/// Returns the address of the member to which a command goes.
fn target_address(target: &Target) -> Result<SocketAddr, CommandError> {
    match (target.at, &target.config) {
        (Some(address), _) => Ok(address),
        (None, Some(path)) => Ok(own_address(&read_config(path)?)),
        (None, None) => Err(CommandError::NoTarget),
    }
}
