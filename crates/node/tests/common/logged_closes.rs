//! Waiting until a front node has logged why it closed a connection.

use pinetrestle_standins::{eventually, FrontNode};

/// Waits until the front node has logged the close of a connection of this side (`client`, `index_server` or
/// `discovery`) with this reason.
///
/// A test has to wait, because log lines are buffered before they are written.
pub fn wait_for_logged_close(front_node: &FrontNode, side: &str, reason: &str) {
    eventually(&format!("the close of a connection is logged: side={side} reason={reason}"), || {
        front_node.close_reasons(side).contains(&reason.to_owned())
    });
}
