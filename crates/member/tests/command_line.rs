//! Exit codes and messages of the `pinetrestle` program in cases that need no running member.

use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_pinetrestle");
/// The example of a member's configuration file.
const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/fleet.example.json5");

fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().expect("the program can be run")
}

/// Runs the program and returns its exit code and its standard error.
fn run_for_error(arguments: &[&str]) -> (Option<i32>, String) {
    let output = run(arguments);
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn check_of_a_valid_file_prints_nothing() {
    let output = run(&["fleet", "check", "--config", EXAMPLE]);
    assert_eq!(output.status.code(), Some(0));
    assert!(output.stdout.is_empty() && output.stderr.is_empty(), "{output:?}");
}

#[test]
fn check_of_an_invalid_file_prints_file_line_key_and_remedy() {
    let directory = tempfile::tempdir().expect("can create a temporary directory");
    let path = directory.path().join("bad-fleet.json5");
    let text = std::fs::read_to_string(EXAMPLE).expect("can read the example");
    std::fs::write(&path, text.replace("lease_ms: 2000", "lease_ms: 600")).expect("can write the file");
    let path = path.display().to_string();
    let message = format!(
        "pinetrestle: {path}:28: lease_ms is outside 200..=60000 ms or shorter than two election timeouts; \
         write at least 1000\n"
    );
    assert_eq!(run_for_error(&["fleet", "check", "--config", &path]), (Some(2), message));
}

#[test]
fn a_missing_file_has_exit_code_2_for_every_command_that_reads_one() {
    for command in ["check", "up", "status"] {
        let (code, message) = run_for_error(&["fleet", command, "--config", "/nowhere"]);
        assert_eq!(code, Some(2), "{command}: {message}");
        assert!(message.starts_with("pinetrestle: /nowhere: can't be read: "), "{command}: {message}");
    }
}

#[test]
fn a_command_without_a_target_and_an_unknown_command_have_exit_code_2() {
    let message = "pinetrestle: no member is given: use --config FILE or --at ADDR\n".to_owned();
    assert_eq!(run_for_error(&["fleet", "status"]), (Some(2), message));
    assert_eq!(run_for_error(&["fleet", "no-such-command"]).0, Some(2));
}

#[test]
fn a_command_to_an_unreachable_member_has_exit_code_1() {
    // Nothing listens on a reserved address, so connections to it are refused.
    let reserved = pinetrestle_standins::ReservedAddress::reserve();
    let address = reserved.address.to_string();
    let (code, message) = run_for_error(&["fleet", "status", "--at", &address, "--wait", "1"]);
    assert_eq!(code, Some(1), "{message}");
    assert!(message.starts_with("pinetrestle: "), "{message}");
}

#[test]
fn a_sink_that_cannot_create_its_record_has_exit_code_1() {
    let (code, message) =
        run_for_error(&["fleet", "sink", "--listen", "127.0.0.1:0", "--record", "/nowhere/record"]);
    assert_eq!(code, Some(1), "{message}");
    assert!(message.starts_with("pinetrestle: /nowhere/record: "), "{message}");
}
