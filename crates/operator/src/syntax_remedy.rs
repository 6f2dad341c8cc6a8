//! Turns errors of the JSON5 deserializer into a problem and a remedy in the terms of the operator file.

use crate::validation_error::ValidationError;
use json5::ErrorCode;

/// Returns how to fix a JSON5 syntax error.
pub(crate) fn remedy_for(code: ErrorCode) -> &'static str {
    match code {
        ErrorCode::EofParsingArray | ErrorCode::ExpectedClosingBracket => "close the array with ]",
        ErrorCode::EofParsingObject | ErrorCode::ExpectedClosingBrace => "close the object with }",
        ErrorCode::EofParsingString | ErrorCode::LineTerminatorInString => {
            "close the string with the quote that opened it"
        }
        ErrorCode::EofParsingComment | ErrorCode::ExpectedComment => {
            "close the comment with */ or begin it with //"
        }
        ErrorCode::ExpectedColon => "put a colon between key and value",
        ErrorCode::ExpectedComma => "put a comma between entries",
        ErrorCode::ExpectedString | ErrorCode::ExpectedStringOrObject => "write a string in quotes",
        ErrorCode::ExpectedNumber | ErrorCode::LeadingZero | ErrorCode::OverflowParsingNumber => {
            "write a number such as 250 or 0.5"
        }
        ErrorCode::ExpectedBool => "write true or false",
        ErrorCode::ExpectedOpeningBrace => "write an object: { key: value }",
        ErrorCode::ExpectedOpeningBracket => "write an array: [ value, value ]",
        ErrorCode::TrailingCharacters => "remove the text after the closing brace",
        ErrorCode::ExpectedIdentifier | ErrorCode::EofParsingIdentifier | ErrorCode::InvalidKey => {
            "write the key as an identifier or in quotes"
        }
        _ => "write a valid JSON5 value",
    }
}

/// Converts the message of an error about types or keys into a [`ValidationError`] for `key`.
///
/// The messages are those of serde's `Error` trait (`unknown field`, `missing field` and so on), in which
/// names are in backticks.
pub(crate) fn describe_type_error(key: String, message: &str) -> ValidationError {
    // Removes the position, which is reported separately.
    let message = message.rsplit_once(" at line ").map_or(message, |(before, _)| before);
    if let Some((problem, expected)) = message.split_once(", expected ") {
        if problem.starts_with("unknown field") || problem.starts_with("unknown variant") {
            return describe_unknown_name(key, problem, expected);
        }
        return ValidationError::new(key, format!("is rejected: {problem}"), format!("write {expected}"));
    }
    let name = quoted_names(message).pop().unwrap_or_default();
    if message.starts_with("missing field") {
        return ValidationError::new(key, format!("lacks the key `{name}`"), format!("add `{name}`"));
    }
    if message.starts_with("duplicate field") {
        return ValidationError::new(key, format!("has the key `{name}` twice"), "keep one of them");
    }
    ValidationError::new(key, format!("is rejected: {message}"), "see the documentation of this file")
}

/// Describes an unknown field or variant. The remedy suggests the most similar known name if there is a
/// similar one.
fn describe_unknown_name(key: String, problem: &str, expected: &str) -> ValidationError {
    let given = quoted_names(problem).pop().unwrap_or_default();
    let known = quoted_names(expected);
    let all = known.join(", ");
    let most_similar = known.iter().map(|name| (edit_distance(&given, name), name)).min();
    let remedy = match most_similar {
        Some((distance, name)) if distance <= max_typo_distance(name) => {
            format!("write `{name}`, or one of: {all}")
        }
        _ if all.is_empty() => "remove it".to_owned(),
        _ => format!("write one of: {all}"),
    };
    ValidationError::new(key, format!("has the unknown name `{given}`"), remedy)
}

/// Returns the names in backticks in a message.
fn quoted_names(message: &str) -> Vec<String> {
    message.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

/// Returns the maximum edit distance at which a word counts as a misspelling of `name`.
fn max_typo_distance(name: &str) -> usize {
    2.max(name.len() / 3)
}

/// Returns the optimal string alignment distance of two words: the number of insertions, deletions and
/// substitutions of a character, and swaps of two adjacent characters.
fn edit_distance(from: &str, to: &str) -> usize {
    let from: Vec<char> = from.chars().collect();
    let to: Vec<char> = to.chars().collect();
    // distances[i][j] is the distance between the first i characters of `from` and the first j of `to`.
    let mut distances = vec![vec![0; to.len() + 1]; from.len() + 1];
    for (i, row) in distances.iter_mut().enumerate() {
        row[0] = i;
    }
    distances[0] = (0..=to.len()).collect();
    for i in 1..=from.len() {
        for j in 1..=to.len() {
            let substitution = distances[i - 1][j - 1] + usize::from(from[i - 1] != to[j - 1]);
            let deletion = distances[i - 1][j] + 1;
            let insertion = distances[i][j - 1] + 1;
            let mut distance = substitution.min(deletion).min(insertion);
            let ends_in_swap = i > 1 && j > 1 && from[i - 1] == to[j - 2] && from[i - 2] == to[j - 1];
            if ends_in_swap {
                distance = distance.min(distances[i - 2][j - 2] + 1);
            }
            distances[i][j] = distance;
        }
    }
    distances[from.len()][to.len()]
}
