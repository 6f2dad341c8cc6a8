//! Missing and invalid input files: the program exits with status 2 before it serves, and prints a message
//! that names the file to standard error.

use pinetrestle_node::config::DeploymentNames;
use pinetrestle_node::NodeError;
use std::path::{Path, PathBuf};
use std::process::Command;
use tempfile::TempDir;

const NODE: &str = env!("CARGO_BIN_EXE_pinetrestle-node");
/// Exit status when an input file is missing or invalid.
const BAD_INPUT: i32 = 2;

/// Input files in a temporary directory that is removed when this is dropped.
struct InputFiles {
    directory: TempDir,
}

impl InputFiles {
    fn new() -> InputFiles {
        InputFiles { directory: tempfile::tempdir().expect("a directory") }
    }

    /// Returns the path of a file that does not exist.
    fn missing(&self) -> PathBuf {
        self.directory.path().join("missing.json")
    }

    /// Writes a file and returns its path.
    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.directory.path().join(name);
        std::fs::write(&path, text).expect("written");
        path
    }
}

/// Returns the error of reading these files, at least one of which is invalid.
fn names_error(wire: Option<&Path>, setting_keys: Option<&Path>) -> NodeError {
    DeploymentNames::from_files(wire, setting_keys).expect_err("an invalid file")
}

#[test]
fn an_error_in_a_names_file_has_its_kind_and_the_path() {
    let files = InputFiles::new();
    let missing = files.missing();
    let not_json = files.write("not_json.json", "{");
    let invalid_name = files.write("no_name.json", r#"{"h": {"id": 1}, "init": {"words": 1}}"#);

    let error = names_error(Some(&missing), None);
    assert!(matches!(&error, NodeError::NamesFileUnreadable { path, .. } if *path == missing), "{error}");
    let error = names_error(None, Some(&missing));
    assert!(matches!(&error, NodeError::NamesFileUnreadable { path, .. } if *path == missing), "{error}");
    let error = names_error(Some(&not_json), None);
    assert!(matches!(&error, NodeError::NamesFileNotJson { path, .. } if *path == not_json), "{error}");
    let error = names_error(Some(&invalid_name), None);
    assert!(matches!(&error, NodeError::WireNames { path, .. } if *path == invalid_name), "{error}");
    assert!(error.to_string().contains("no_name.json: "), "{error}");
    let error = names_error(None, Some(&invalid_name));
    assert!(matches!(&error, NodeError::SettingKeys { path, .. } if *path == invalid_name), "{error}");
    assert!(error.to_string().contains("no_name.json: "), "{error}");
}

#[test]
fn the_program_exits_with_status_2_and_names_the_file_on_standard_error() {
    let files = InputFiles::new();
    let missing = files.missing();
    let missing = missing.to_str().expect("UTF-8");
    for (arguments, config, named) in [
        (vec!["--names", missing], None, "missing.json: can't be read"),
        (vec!["--words", missing], None, "missing.json: can't be read"),
        (vec![], None, "configuration: field 'RELAY_CONFIG' is not set"),
        (vec![], Some(missing), "configuration: field 'RELAY_CONFIG' can't be read"),
    ] {
        let mut command = Command::new(NODE);
        command.args(&arguments).env_remove("RELAY_CONFIG");
        command.envs(config.map(|path| ("RELAY_CONFIG", path)));
        let output = command.output().expect("the program runs");
        let message = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(BAD_INPUT), "{arguments:?}: {message}");
        assert!(message.starts_with("pinetrestle-node: "), "{arguments:?}: {message}");
        assert!(message.contains(named), "{arguments:?}: {message}");
    }
}
