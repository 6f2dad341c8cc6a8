//! What is wrong with an operator file.

use json5::ErrorCode;
use std::fmt;
use std::path::{Path, PathBuf};

/// What a check finds.
#[derive(Clone, Debug, PartialEq)]
pub struct Wrong {
    /// The key, by its whole path, as `pools[2].name`.
    pub key: String,
    /// What is wrong, as the end of a sentence that begins with the key.
    pub wrong: String,
    /// What to write instead.
    pub mend: String,
}

impl Wrong {
    /// What is wrong with a key, and what to write instead.
    pub fn new(key: impl Into<String>, wrong: impl Into<String>, mend: impl Into<String>) -> Wrong {
        Wrong { key: key.into(), wrong: wrong.into(), mend: mend.into() }
    }
}

/// Why a file is not taken.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// The file.
    pub file: PathBuf,
    /// The line, from 1; none where the file as a whole is at fault.
    pub line: Option<usize>,
    /// The key by its whole path; empty where none is at fault.
    pub key: String,
    /// What is wrong.
    pub wrong: String,
    /// What to write instead.
    pub mend: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "{}", self.file.display())?;
        if let Some(line) = self.line {
            write!(to, ":{line}")?;
        }
        let space = if self.key.is_empty() { "" } else { " " };
        write!(to, ": {}{space}{}; {}", self.key, self.wrong, self.mend)
    }
}

impl std::error::Error for Fault {}

impl Fault {
    pub(crate) fn of_file(file: &Path, wrong: String, mend: &str) -> Fault {
        Fault { file: file.to_owned(), line: None, key: String::new(), wrong, mend: mend.to_owned() }
    }

    pub(crate) fn of_check(file: &Path, line: Option<usize>, wrong: Wrong) -> Fault {
        let Wrong { key, wrong, mend } = wrong;
        Fault { file: file.to_owned(), line, key, wrong, mend }
    }

    /// From what the reader says; what names no place is missing at the end.
    pub(crate) fn of_syntax(file: &Path, key: String, error: &json5::Error, last: usize) -> Fault {
        let line = Some(error.position().map_or(last, |position| position.line + 1));
        let (wrong, mend) = match error.code() {
            Some(code) => (format!("can't be read: {code}"), mend_of(code).to_owned()),
            None => of_form(&error.to_string()),
        };
        Fault { file: file.to_owned(), line, key, wrong, mend }
    }
}

/// What to do about a text that is no JSON5.
fn mend_of(code: ErrorCode) -> &'static str {
    use ErrorCode::*;
    match code {
        EofParsingArray | ExpectedClosingBracket => "close the list with ]",
        EofParsingObject | ExpectedClosingBrace => "close the object with }",
        EofParsingString | LineTerminatorInString => "close the text with the quote that it begins with",
        EofParsingComment | ExpectedComment => "close the comment with */ or begin it with //",
        ExpectedColon => "put a colon between key and value",
        ExpectedComma => "put a comma between two entries",
        ExpectedString | ExpectedStringOrObject => "write a text in quotes",
        ExpectedNumber | LeadingZero | OverflowParsingNumber => "write a number as 250 or 0.5",
        ExpectedBool => "write true or false",
        ExpectedOpeningBrace => "write an object: { key: value }",
        ExpectedOpeningBracket => "write a list: [ value, value ]",
        TrailingCharacters => "remove what follows the last brace",
        ExpectedIdentifier | EofParsingIdentifier | InvalidKey => "write a key of letters, or in quotes",
        _ => "write a value as JSON5 has it",
    }
}

/// What to do about a value of the wrong form, from the words of the deserializer.
fn of_form(said: &str) -> (String, String) {
    // The place stands in the fault already.
    let said = said.rsplit_once(" at line ").map_or(said, |(what, _)| what);
    let names = |text: &str| text.split('`').skip(1).step_by(2).map(str::to_owned).collect::<Vec<String>>();
    if let Some((what, known)) = said.split_once(", expected ") {
        if what.starts_with("unknown field") || what.starts_with("unknown variant") {
            let given = names(what).pop().unwrap_or_default();
            let known = names(known);
            let near = known.iter().map(|name| (distance(&given, name), name)).min();
            let all = known.join(", ");
            let mend = match near {
                Some((steps, name)) if steps <= 2.max(name.len() / 3) => {
                    format!("write `{name}`, or one of: {all}")
                }
                _ if all.is_empty() => "remove it".to_owned(),
                _ => format!("write one of: {all}"),
            };
            return (format!("does not know `{given}`"), mend);
        }
        return (format!("is wrong: {what}"), format!("write {known}"));
    }
    if said.starts_with("missing field") {
        let given = names(said).pop().unwrap_or_default();
        return (format!("lacks `{given}`"), format!("add `{given}`"));
    }
    if said.starts_with("duplicate field") {
        let given = names(said).pop().unwrap_or_default();
        return (format!("has `{given}` twice"), "keep one of them".to_owned());
    }
    (format!("is wrong: {said}"), "see the page of this file".to_owned())
}

/// Edits between two words: letters put in, left out or changed, or two neighbours changed over.
fn distance(a: &str, b: &str) -> usize {
    let (a, b): (Vec<char>, Vec<char>) = (a.chars().collect(), b.chars().collect());
    let mut rows = vec![vec![0; b.len() + 1]; a.len() + 1];
    for (i, row) in rows.iter_mut().enumerate() {
        row[0] = i;
    }
    rows[0] = (0..=b.len()).collect();
    for i in 1..=a.len() {
        for j in 1..=b.len() {
            let change = rows[i - 1][j - 1] + usize::from(a[i - 1] != b[j - 1]);
            let mut least = change.min(rows[i - 1][j] + 1).min(rows[i][j - 1] + 1);
            if i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1] {
                least = least.min(rows[i - 2][j - 2] + 1);
            }
            rows[i][j] = least;
        }
    }
    rows[a.len()][b.len()]
}
