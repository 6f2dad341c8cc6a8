//! The fleet's operator file: the example is taken whole; a bad one is refused with file, line, key and mend.

use pinetrestle_member::config::FleetFile;
use std::path::Path;

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/fleet.example.json5");

#[test]
fn the_example_is_taken() {
    let file: FleetFile = pinetrestle_operator::read(Path::new(EXAMPLE)).unwrap();
    assert_eq!((file.id, file.peers.len(), file.lease_ms, file.election_ms()), (1, 3, 2_000, 500));
}

fn fault(from: &str, to: &str) -> String {
    let text = std::fs::read_to_string(EXAMPLE).unwrap();
    assert!(text.contains(from), "the example has no {from:?}");
    let text = text.replace(from, to);
    pinetrestle_operator::parse::<FleetFile>(Path::new("fleet.json5"), &text).unwrap_err().to_string()
}

#[test]
fn a_bad_file_names_line_key_and_mend() {
    assert_eq!(
        fault("lease_ms: 2000", "lease_ms: 600"),
        "fleet.json5:28: lease_ms is outside 200..=60000 ms or under two election times; write at least 1000"
    );
    assert_eq!(
        fault("  id: 1,", "  id: 9,"),
        "fleet.json5:7: id 9 is not among the peers; name one of peers[].id"
    );
    let twice = fault(r#"{ id: 3, addr: "127.0.0.1:7103" }"#, r#"{ id: 2, addr: "127.0.0.1:7109" }"#);
    assert!(twice.starts_with("fleet.json5:13: peers[2] has the id or address of peers[1]"), "{twice}");
    let unknown = fault("act_ms: 50", "act_every: 50");
    assert!(unknown.starts_with("fleet.json5:37: act_every"), "{unknown}");
    let dial = fault("// dial: [ { id: 2,", "dial: [ { id: 7,");
    assert!(dial.contains("dial[0].id names no other peer"), "{dial}");
}

/// A file with these keys besides the least, checked.
fn with(rest: &str) -> Result<FleetFile, String> {
    let text = format!(
        "{{\n  id: 1,\n  peers: [{{ id: 1, addr: \"127.0.0.1:1\" }}, {{ id: 2, addr: \"127.0.0.1:2\" }}],\n  data_dir: \"d\",\n{rest}\n}}"
    );
    pinetrestle_operator::parse::<FleetFile>(Path::new("f.json5"), &text).map_err(|fault| fault.to_string())
}

#[test]
fn a_bad_rollout_part_is_refused_with_line_key_and_mend() {
    let budget = "nodes: { most: 1 }, servers: { most: 1 }";
    let front = "listen: \"127.0.0.1:3\", versions: { v1: { program: \"p\" } }";
    for (rest, line, key) in [
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
        let said = with(&rest).expect_err(&rest);
        assert!(said.contains(&format!("f.json5:{line}: {key}")), "{key}: {said}");
    }
    let alone = format!("  rollout: {{ revision: 1, {budget} }},\n  recovery: {{ alone_ms: 900 }}");
    let said = with(&alone).expect_err("too short");
    assert!(said.contains("f.json5:6: recovery.alone_ms"), "{said}");
    assert!(with(&format!("  rollout: {{ revision: 1, {budget} }}")).is_ok());
}
