//! A member's configuration file: the example is valid, each key is read into its field, keys that are left
//! out have their defaults, and an invalid file is rejected with the file, line, key and remedy.

use pinetrestle_member::config::FleetConfig;
use pinetrestle_operator::FileError;
use std::path::Path;

/// The example of a member's configuration file.
const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/fleet.example.json5");

#[test]
fn the_example_is_valid() {
    let file: FleetConfig = pinetrestle_operator::read(Path::new(EXAMPLE)).unwrap();
    assert_eq!((file.id, file.peers.len(), file.lease_ms, file.election_timeout_ms()), (1, 3, 2_000, 500));
}

/// Returns the error message for the example with `from` replaced by `to`.
fn error_with(from: &str, to: &str) -> String {
    let text = std::fs::read_to_string(EXAMPLE).unwrap();
    assert!(text.contains(from), "the example does not contain {from:?}");
    let text = text.replace(from, to);
    pinetrestle_operator::parse::<FleetConfig>(Path::new("fleet.json5"), &text).unwrap_err().to_string()
}

#[test]
fn an_invalid_file_is_rejected_with_line_key_and_remedy() {
    assert_eq!(
        error_with("lease_ms: 2000", "lease_ms: 600"),
        "fleet.json5:28: lease_ms is outside 200..=60000 ms or shorter than two election timeouts; \
         write at least 1000"
    );
    assert_eq!(
        error_with("  id: 1,", "  id: 9,"),
        "fleet.json5:7: id 9 is not among the peers; use one of peers[].id"
    );
    let duplicate =
        error_with(r#"{ id: 3, addr: "127.0.0.1:7103" }"#, r#"{ id: 2, addr: "127.0.0.1:7109" }"#);
    assert!(
        duplicate.starts_with("fleet.json5:13: peers[2] has the id or address of peers[1]"),
        "{duplicate}"
    );
    let unknown = error_with("act_ms: 50", "act_every: 50");
    assert!(unknown.starts_with("fleet.json5:37: act_every"), "{unknown}");
    let dial = error_with("// dial: [ { id: 2,", "dial: [ { id: 7,");
    assert!(dial.contains("dial[0].id is not the id of another peer"), "{dial}");
}

/// Parses a file with the required keys and these additional ones.
fn parse_with(keys: &str) -> Result<FleetConfig, FileError> {
    let text = format!(
        "{{\n  id: 1,\n  peers: [{{ id: 1, addr: \"127.0.0.1:1\" }}, {{ id: 2, addr: \"127.0.0.1:2\" }}],\n  data_dir: \"d\",\n{keys}\n}}"
    );
    pinetrestle_operator::parse::<FleetConfig>(Path::new("f.json5"), &text)
}

#[test]
fn invalid_rollout_recovery_and_front_sections_are_rejected_with_line_and_key() {
    let budget = "nodes: { most: 1 }, servers: { most: 1 }";
    let front = "listen: \"127.0.0.1:3\", versions: { v1: { program: \"p\" } }";
    for (keys, line, key) in [
        (
            "  rollout: {\n revision: 1, nodes: {\n most: 0 }, servers: { most: 1 } }".to_owned(),
            7,
            "rollout.nodes.most",
        ),
        (
            "  rollout: {\n revision: 1, nodes: { most: 1 }, servers: {\n most: 1,\n share: 2 } }".to_owned(),
            8,
            "rollout.servers.share",
        ),
        (format!("  rollout: {{ revision: 1, {budget},\n canary: 3 }}"), 6, "rollout.canary"),
        (format!("  rollout: {{ revision: 1, {budget},\n lost_ms: 900 }}"), 6, "rollout.lost_ms"),
        (format!("  rollout: {{ revision: 1, {budget},\n step_ms: 5000 }}"), 6, "rollout.step_ms"),
        (format!("  rollout: {{ revision: 1, {budget},\n ramp_stages: 0 }}"), 6, "rollout.ramp_stages"),
        (format!("  front: {{ version: \"v1\", {front} }}"), 5, "front"),
        (
            format!("  rollout: {{ revision: 1, {budget} }},\n  front: {{\n version: \"v2\", {front} }}"),
            7,
            "front.version",
        ),
    ] {
        let error = parse_with(&keys).expect_err(&keys).to_string();
        assert!(error.contains(&format!("f.json5:{line}: {key}")), "{key}: {error}");
    }
    let standalone = format!("  rollout: {{ revision: 1, {budget} }},\n  recovery: {{ alone_ms: 900 }}");
    let error = parse_with(&standalone).expect_err("alone_ms is too short").to_string();
    assert!(error.contains("f.json5:6: recovery.alone_ms"), "{error}");
    assert!(parse_with(&format!("  rollout: {{ revision: 1, {budget} }}")).is_ok());
}

/// Operators' files depend on the keys, so a renamed field must keep its key.
#[test]
fn every_key_of_the_file_is_read_into_its_field() {
    let file = parse_with(
        r#"
        dial: [{ id: 2, addr: "127.0.0.1:9", zone: "z" }],
        tick_ms: 20, election_ticks: 11, heartbeat_ticks: 3, lease_ms: 3000, tasks: ["t"],
        sink: "127.0.0.1:8", act_ms: 70, snapshot_every: 400,
        rollout: {
            revision: 7,
            nodes: { most: 2, share: 0.25, zone_most: 3 },
            servers: { most: 4, share: 0.5, zone_most: 5 },
            canary: 2, failures: 6, failed_share: 0.125, step_ms: 9000, settle_ms: 800, lost_ms: 4000,
            ramp_stages: 3, ramp_ms: 600,
        },
        recovery: { waves: false, warm_ms: 1500, alone_ms: 25000 },
        front: {
            listen: "127.0.0.1:3", version: "v1", stop_ms: 2000, start_ms: 3000, look_ms: 40,
            versions: { v1: { program: "p", args: ["a"], env: { A: "1" }, safe_env: { B: "2" } } },
            relay: { listen: "127.0.0.1:4", upstream: "127.0.0.1:5" },
        },"#,
    )
    .unwrap();
    let address = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    assert_eq!((file.dial[0].address, file.dial[0].zone.as_deref()), (address(9), Some("z")));
    assert_eq!((file.dial_address_of(1), file.dial_address_of(2)), (Some(address(1)), Some(address(9))));
    assert_eq!((file.tick_ms, file.election_ticks, file.heartbeat_ticks), (20, 11, 3));
    assert_eq!(
        (file.lease_ms, file.tasks.as_slice(), file.sink),
        (3_000, ["t".to_owned()].as_slice(), Some(address(8)))
    );
    assert_eq!((file.action_interval_ms, file.snapshot_interval), (70, 400));

    let rollout = file.rollout.as_ref().unwrap();
    let budget = |budget: &pinetrestle_member::config::BudgetConfig| {
        (budget.max_unavailable, budget.max_unavailable_share, budget.max_unavailable_per_zone)
    };
    assert_eq!(rollout.revision, 7);
    assert_eq!((budget(&rollout.nodes), budget(&rollout.servers)), ((2, 0.25, Some(3)), (4, 0.5, Some(5))));
    assert_eq!(
        (rollout.canary_nodes, rollout.max_failed_steps, rollout.max_failed_query_share),
        (2, 6, 0.125)
    );
    assert_eq!(
        (rollout.step_timeout_ms, rollout.settle_ms, rollout.unreachable_after_ms),
        (9_000, 800, 4_000)
    );
    assert_eq!((rollout.ramp_stages, rollout.ramp_stage_ms), (3, 600));

    let recovery = &file.recovery;
    assert_eq!((recovery.waves, recovery.min_wave_ms, recovery.standalone_after_ms), (false, 1_500, 25_000));

    let front_node = file.front_node.as_ref().unwrap();
    assert_eq!((front_node.listen, front_node.initial_version.as_str()), (address(3), "v1"));
    assert_eq!((front_node.stop_timeout_ms, front_node.start_timeout_ms), (2_000, 3_000));
    assert_eq!(front_node.poll_interval_ms, 40);
    let launch = &front_node.versions["v1"];
    assert_eq!((launch.program.to_str(), launch.args.as_slice()), (Some("p"), ["a".to_owned()].as_slice()));
    assert_eq!((launch.env["A"].as_str(), launch.safe_mode_env["B"].as_str()), ("1", "2"));
    let relay = front_node.relay.as_ref().unwrap();
    assert_eq!((relay.listen, relay.upstream), (address(4), address(5)));
}

#[test]
fn keys_that_are_left_out_have_their_documented_defaults() {
    let file = parse_with(
        r#"
        rollout: { revision: 1, nodes: { most: 1 }, servers: { most: 1 } },
        front: { listen: "127.0.0.1:3", version: "v1", versions: { v1: { program: "p" } } },"#,
    )
    .unwrap();
    assert_eq!((file.tick_ms, file.election_ticks, file.heartbeat_ticks, file.lease_ms), (50, 10, 2, 2_000));
    assert_eq!((file.action_interval_ms, file.snapshot_interval), (50, 1_000));
    let rollout = file.rollout.as_ref().unwrap();
    assert_eq!((rollout.nodes.max_unavailable_share, rollout.nodes.max_unavailable_per_zone), (1.0, None));
    assert_eq!(
        (rollout.canary_nodes, rollout.max_failed_steps, rollout.max_failed_query_share),
        (1, 1, 0.01)
    );
    assert_eq!(
        (rollout.step_timeout_ms, rollout.settle_ms, rollout.unreachable_after_ms),
        (60_000, 5_000, 5_000)
    );
    assert_eq!((rollout.ramp_stages, rollout.ramp_stage_ms), (4, 5_000));
    let recovery = &file.recovery;
    assert_eq!((recovery.waves, recovery.min_wave_ms, recovery.standalone_after_ms), (true, 2_000, 30_000));
    let front_node = file.front_node.as_ref().unwrap();
    assert_eq!((front_node.stop_timeout_ms, front_node.start_timeout_ms), (10_000, 30_000));
    assert_eq!(front_node.poll_interval_ms, 100);
}
