//! The JSON report of the counters, which `/stats` returns: clients depend on its keys, so they stay the same
//! when a Rust field is renamed.

use pinetrestle_node::counters::Counters;
use serde_json::json;

#[test]
fn the_report_has_the_keys_of_the_stats_response() {
    let counters = Counters::new(&["any".to_owned()]);
    let class = &counters.classes[0].queries;
    class.admitted.add(2);
    class.open.add(2);
    class.open.decrement();
    counters.attempts.in_flight.increment();
    counters.attempts.in_flight.decrement();
    // A counter at 0 stays at 0 when it is decremented.
    counters.attempts.in_flight.decrement();
    counters.closes.increment("client", "idle");
    counters.closes.increment("client", "idle");
    let expected = json!({
        "queries": {"any": {
            "taken": 2, "whole": 0, "partial": 0, "refused": 0, "failed": 0, "overdue": 0, "gone": 0,
            "held": 1, "repeats": 0, "second_steps": 0, "over_held": 0,
        }},
        "attempts": {
            "sent": 0, "further": 0, "hedges": 0, "ok": 0, "error": 0, "full": 0, "timeout": 0,
            "connect_failed": 0, "reset": 0, "cancelled": 0, "moot": 0, "out": 0, "late_answers": 0,
        },
        "connections": {
            "clients_accepted": 0, "clients_open": 0, "requests": 0, "bad_requests": 0, "accept_failed": 0,
            "servers_begun": 0, "servers_open": 0, "servers_failed": 0, "servers_none_left": 0, "calls": 0,
            "client_bytes_in": 0, "client_bytes_out": 0, "server_bytes_in": 0, "server_bytes_out": 0,
            "pipeline_refused": 0, "memory_waits": 0, "memory_revoked": 0, "forced_yields": 0,
        },
        "discovery": {"watches": 0, "lost": 0, "lists": 0, "changes": 0, "alive": 0},
        "own": {
            "turns": 0, "module_restarts": 0, "stray_attempts": 0, "reloads": 0, "reloads_refused": 0,
            "log_lines_dropped": 0,
        },
        "violations": {
            "sent_after_end": 0, "sent_out_of_service": 0, "repeated_in_vain": 0, "sent_too_late": 0,
            "closed_unanswered": 0,
        },
        "retries": {
            "hedge": 0, "after_error": 0, "after_full": 0, "after_timeout": 0, "after_connect_failed": 0,
            "after_reset": 0, "after_cancelled": 0, "after_moot": 0,
        },
        "ends": {"client": {"idle": 2}},
    });
    assert_eq!(counters.report(), expected);
}
