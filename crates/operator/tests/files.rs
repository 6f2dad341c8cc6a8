//! Which operator files are accepted, and the errors for those that are rejected.

use pinetrestle_operator::{parse, read, FileError, Validate, ValidationError};
use serde::Deserialize;
use std::path::Path;

#[derive(Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
struct Pool {
    name: String,
    #[serde(default)]
    most: u32,
}

#[derive(Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
struct File {
    enabled: bool,
    #[serde(default)]
    pools: Vec<Pool>,
}

impl Validate for File {
    fn validate(&self) -> Result<(), ValidationError> {
        match self.pools.iter().position(|pool| pool.most > 10) {
            Some(index) => {
                Err(ValidationError::new(format!("pools[{index}].most"), "is over 10", "write 10 or less"))
            }
            None => Ok(()),
        }
    }
}

fn parse_error(text: &str) -> FileError {
    parse::<File>(Path::new("x.json5"), text).expect_err(text)
}

/// The key, problem and remedy of an error in the text of a file.
fn validation_error(error: &FileError) -> &ValidationError {
    error.validation_error().unwrap_or_else(|| panic!("no problem in the text: {error}"))
}

#[test]
fn comments_and_trailing_commas_are_accepted() {
    let text = "// a comment\n{ enabled: true, /* all */ pools: [{ name: 'a', most: 3, },], }\n";
    let file: File = parse(Path::new("x.json5"), text).expect("a valid file");
    assert_eq!(file, File { enabled: true, pools: vec![Pool { name: "a".into(), most: 3 }] });
}

#[test]
fn an_unknown_key_is_reported_with_its_line_and_the_nearest_known_key() {
    let error = parse_error("{\n  enabled: true,\n  pools: [\n    { name: 'a', mots: 3 },\n  ],\n}");
    assert_eq!(error.line(), Some(4), "{error}");
    assert!(validation_error(&error).key.starts_with("pools[0]"), "{error}");
    assert!(validation_error(&error).remedy.contains("`most`"), "{error}");
    assert!(error.to_string().starts_with("x.json5:4: "), "{error}");
}

#[test]
fn a_value_of_the_wrong_type_is_reported_with_its_line() {
    let error = parse_error("{\n  enabled: true,\n  pools: [\n    { name: 'a',\n      most: 'x' },\n  ],\n}");
    assert_eq!((error.line(), validation_error(&error).key.as_str()), (Some(5), "pools[0].most"), "{error}");
}

#[test]
fn a_failed_validation_is_reported_with_the_line_of_its_key() {
    let error = parse_error(
        "{\n  enabled: true,\n  pools: [\n    { name: 'a' },\n    { name: 'b',\n most: 11 },\n  ],\n}",
    );
    assert_eq!((error.line(), validation_error(&error).key.as_str()), (Some(6), "pools[1].most"), "{error}");
    assert_eq!(error.to_string(), "x.json5:6: pools[1].most is over 10; write 10 or less");
}

#[test]
fn text_that_is_not_json5_is_reported_with_a_line_and_a_remedy() {
    for (text, line) in [
        ("{\n  enabled: true\n  pools: [] }", 3),
        ("{\n  enabled: 'x }\n", 2),
        ("{ enabled: true }\n}", 2),
        ("{\n enabled: true,\n pools: [\n", 3),
        ("", 1),
    ] {
        let error = parse_error(text);
        assert_eq!(error.line(), Some(line), "{text:?}: {error}");
        assert!(!validation_error(&error).remedy.is_empty(), "{error}");
    }
}

#[test]
fn a_missing_or_duplicate_key_is_named() {
    assert!(validation_error(&parse_error("{ pools: [] }")).remedy.contains("`enabled`"));
    let duplicate = parse_error("{ enabled: true,\n enabled: false }");
    assert!(validation_error(&duplicate).problem.contains("twice"), "{duplicate}");
}

#[test]
fn a_missing_file_and_a_file_that_is_not_utf8_are_rejected_with_the_reason() {
    let missing = read::<File>(Path::new("/nowhere/x.json5")).expect_err("no such file");
    assert!(missing.to_string().starts_with("/nowhere/x.json5: can't be read"), "{missing}");
    let file = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), [0xff, 0xfe]).expect("written");
    let not_utf8 = read::<File>(file.path()).expect_err("not UTF-8");
    assert!(not_utf8.to_string().contains("UTF-8"), "{not_utf8}");
}
