//! The text form of actions from which the recorded digests were computed.

use pinetrestle::interface::Action;

/// Returns the text form of a batch of actions.
///
/// It is the `Debug` form that the actions had when the digests were recorded. Actions, fields and log lines
/// have been renamed since, but the digests have not been recorded again.
pub fn recorded_form(actions: &[Action]) -> String {
    let forms: Vec<String> = actions.iter().map(recorded_action).collect();
    format!("[{}]", forms.join(", "))
}

fn recorded_action(action: &Action) -> String {
    match action {
        Action::Attempt { part, replica, timeout, send_within } => format!(
            "Attempt {{ part: {part}, replica: {replica}, timeout: {timeout:?}, within: {send_within:?} }}"
        ),
        Action::Cancel { part, attempt } => format!("Cancel {{ part: {part}, attempt: {attempt} }}"),
        Action::Answer { query, complete } => format!("Answer {{ query: {query}, whole: {complete} }}"),
        Action::Reject { query, retry_after } => {
            format!("Refuse {{ query: {query}, retry_after: {retry_after:?} }}")
        }
        Action::Fail { query } => format!("Fail {{ query: {query} }}"),
        Action::SetTimer(wait) => format!("Timer({wait:?})"),
        Action::WatchEndpointList => "WatchList".to_owned(),
        Action::Log(text) => format!("Remark({:?})", recorded_log_line(text)),
    }
}

/// Returns a log line with the wording that it had when the digests were recorded.
fn recorded_log_line(line: &str) -> String {
    match line {
        "endpoint list watch lost, polling again" => return "list lost, asking again".to_owned(),
        "endpoint list watch regained" => return "list regained".to_owned(),
        _ => {}
    }
    if let Some(strain) = line.strip_prefix("load shedding started, ") {
        return format!("shedding begun, {strain}");
    }
    if let Some(strain) = line.strip_prefix("load shedding ended, ") {
        return format!("shedding ended, {strain}");
    }
    let class =
        line.strip_prefix("query of death: class ").and_then(|rest| rest.strip_suffix(" crashes replicas"));
    if let Some(class) = class {
        return format!("query of class {class} fells replicas");
    }
    let (replica, rest) =
        line.strip_prefix("replica ").and_then(|rest| rest.split_once(' ')).expect("a known log line");
    let (state, ratio) = rest.split_once(", latency ").expect("a known log line");
    let ratio = ratio.strip_suffix(" times its peers").expect("a known log line");
    let state = match state {
        "marked as outlier" => "condemned",
        "no longer an outlier" => "readmitted",
        other => panic!("unknown outlier state: {other}"),
    };
    format!("replica {replica} {state}, pace {ratio} of its peers")
}
