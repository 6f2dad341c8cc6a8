//! Converts actions of the decision core to lines for the simulator.

use crate::instance::ServerNumbers;
use pinetrestle::interface::Action;
use serde_json::{json, Value};

/// Returns the line that ends the reply to a batch.
pub fn end_of_reply() -> Value {
    json!({"what": "NEXT"})
}

/// Returns the line that reports that the instance `who` has panicked and was removed.
pub fn panicked(who: u64, message: &str) -> Value {
    json!({"what": "BAIL_OUT", "who": who, "text": message})
}

/// Returns the line for an action of the instance `who`.
pub fn action(who: u64, action: &Action, servers: &ServerNumbers) -> Value {
    match action {
        // The simulator sends attempts without delay, so the limit `send_within` can't be exceeded.
        Action::Attempt { part, replica, timeout, send_within: _ } => {
            let server = servers.name_of(*replica);
            json!({"what": "ATTEMPT", "who": who, "id": part, "server": server, "allow_for": timeout.0})
        }
        Action::Cancel { part, attempt } => {
            json!({"what": "CALL_OFF", "who": who, "id": part, "try": attempt})
        }
        Action::Answer { query, complete } => {
            json!({"what": "SETTLE_QUERY", "who": who, "id": query, "full": complete})
        }
        Action::Reject { query, retry_after: None } => json!({"what": "SAY_NO", "who": who, "id": query}),
        Action::Reject { query, retry_after: Some(wait) } => {
            json!({"what": "SAY_NO", "who": who, "id": query, "cool_down": wait.0})
        }
        Action::Fail { query } => json!({"what": "SURRENDER", "who": who, "id": query}),
        Action::SetTimer(wait) => json!({"what": "ARM", "who": who, "span": wait.0, "mark": "wake"}),
        Action::WatchEndpointList => json!({"what": "TRACK", "who": who, "full": true}),
        Action::Log(text) => json!({"what": "REMARK", "who": who, "text": text}),
    }
}
