//! Exit codes and messages of the `pinetrestle` program where it needs no running member.

use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_pinetrestle");
const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/fleet.example.json5");

fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().expect("the program runs")
}

/// The exit code, and what was written to standard error.
fn outcome(arguments: &[&str]) -> (Option<i32>, String) {
    let output = run(arguments);
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn checking_a_valid_file_says_nothing() {
    let output = run(&["fleet", "check", "--config", EXAMPLE]);
    assert_eq!(output.status.code(), Some(0));
    assert!(output.stdout.is_empty() && output.stderr.is_empty(), "{output:?}");
}

#[test]
fn checking_an_invalid_file_names_file_line_key_and_remedy() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("bad-fleet.json5");
    let text = std::fs::read_to_string(EXAMPLE).expect("the example");
    std::fs::write(&path, text.replace("lease_ms: 2000", "lease_ms: 600")).expect("written");
    let path = path.display().to_string();
    let message = format!(
        "pinetrestle: {path}:28: lease_ms is outside 200..=60000 ms or under two election times; \
         write at least 1000\n"
    );
    assert_eq!(outcome(&["fleet", "check", "--config", &path]), (Some(2), message));
}

#[test]
fn a_missing_file_has_exit_code_2_for_every_command_that_reads_one() {
    for command in ["check", "up", "status"] {
        let (code, message) = outcome(&["fleet", command, "--config", "/nowhere"]);
        assert_eq!(code, Some(2), "{command}: {message}");
        assert!(message.starts_with("pinetrestle: /nowhere: can't be read: "), "{command}: {message}");
    }
}

#[test]
fn a_command_line_that_names_no_member_or_no_command_has_exit_code_2() {
    let message = "pinetrestle: name the member by --config FILE or --at ADDR\n".to_owned();
    assert_eq!(outcome(&["fleet", "status"]), (Some(2), message));
    assert_eq!(outcome(&["fleet", "no-such-command"]).0, Some(2));
}

#[test]
fn a_member_that_can_not_be_reached_has_exit_code_1() {
    // Nothing listens on a reserved address: connections are refused.
    let reserved = pinetrestle_standins::ReservedAddress::reserve();
    let address = reserved.address.to_string();
    let (code, message) = outcome(&["fleet", "status", "--at", &address, "--wait", "1"]);
    assert_eq!(code, Some(1), "{message}");
    assert!(message.starts_with("pinetrestle: "), "{message}");
}

#[test]
fn a_sink_that_can_not_create_its_record_has_exit_code_1() {
    let (code, message) =
        outcome(&["fleet", "sink", "--listen", "127.0.0.1:0", "--record", "/nowhere/record"]);
    assert_eq!(code, Some(1), "{message}");
    assert!(message.starts_with("pinetrestle: /nowhere/record: "), "{message}");
}
