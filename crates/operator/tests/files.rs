//! Operator files, good and bad ones: what is taken, and what a fault says.

use pinetrestle_operator::{parse, read, Checked, Fault, Wrong};
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

impl Checked for File {
    fn check(&self) -> Result<(), Wrong> {
        match self.pools.iter().position(|pool| pool.most > 10) {
            Some(at) => Err(Wrong::new(format!("pools[{at}].most"), "is over 10", "write 10 or less")),
            None => Ok(()),
        }
    }
}

fn fault(text: &str) -> Fault {
    parse::<File>(Path::new("x.json5"), text).expect_err(text)
}

#[test]
fn comments_and_trailing_commas_are_fine() {
    let text = "// what it is\n{ enabled: true, /* all */ pools: [{ name: 'a', most: 3, },], }\n";
    let file: File = parse(Path::new("x.json5"), text).expect("a good file");
    assert_eq!(file, File { enabled: true, pools: vec![Pool { name: "a".into(), most: 3 }] });
}

#[test]
fn a_key_that_is_not_known_is_named_with_its_line_and_the_nearest_that_is() {
    let fault = fault("{\n  enabled: true,\n  pools: [\n    { name: 'a', mots: 3 },\n  ],\n}");
    assert_eq!(fault.line, Some(4), "{fault}");
    assert!(fault.key.starts_with("pools[0]"), "{fault}");
    assert!(fault.mend.contains("`most`"), "{fault}");
    assert!(fault.to_string().starts_with("x.json5:4: "), "{fault}");
}

#[test]
fn a_value_of_another_kind_is_named_with_its_line() {
    let fault = fault("{\n  enabled: true,\n  pools: [\n    { name: 'a',\n      most: 'x' },\n  ],\n}");
    assert_eq!((fault.line, fault.key.as_str()), (Some(5), "pools[0].most"), "{fault}");
}

#[test]
fn a_contradiction_found_by_the_check_has_the_line_of_its_key() {
    let fault =
        fault("{\n  enabled: true,\n  pools: [\n    { name: 'a' },\n    { name: 'b',\n most: 11 },\n  ],\n}");
    assert_eq!((fault.line, fault.key.as_str()), (Some(6), "pools[1].most"), "{fault}");
    assert_eq!(fault.to_string(), "x.json5:6: pools[1].most is over 10; write 10 or less");
}

#[test]
fn what_is_no_json5_has_a_line_and_a_mend() {
    for (text, line) in [
        ("{\n  enabled: true\n  pools: [] }", 3),
        ("{\n  enabled: 'x }\n", 2),
        ("{ enabled: true }\n}", 2),
        ("{\n enabled: true,\n pools: [\n", 3),
        ("", 1),
    ] {
        let fault = fault(text);
        assert_eq!(fault.line, Some(line), "{text:?}: {fault}");
        assert!(!fault.mend.is_empty(), "{fault}");
    }
}

#[test]
fn a_key_that_lacks_or_stands_twice_is_named() {
    assert!(fault("{ pools: [] }").mend.contains("`enabled`"));
    let twice = fault("{ enabled: true,\n enabled: false }");
    assert!(twice.wrong.contains("twice"), "{twice}");
}

#[test]
fn a_file_that_is_not_there_or_no_text_is_named() {
    let gone = read::<File>(Path::new("/nowhere/x.json5")).expect_err("no such file");
    assert!(gone.to_string().starts_with("/nowhere/x.json5: can't be read"), "{gone}");
    let file = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), [0xff, 0xfe]).expect("written");
    let noise = read::<File>(file.path()).expect_err("no text");
    assert!(noise.to_string().contains("UTF-8"), "{noise}");
}
