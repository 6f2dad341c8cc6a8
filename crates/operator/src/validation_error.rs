//! The error type for an invalid value.

/// An invalid value in an operator file, with the key, the problem and how to fix it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}{}{problem}; {remedy}", if key.is_empty() { "" } else { " " })]
pub struct ValidationError {
    /// The full path of the key, such as `pools[2].name`; empty if the problem is not at a key.
    pub key: String,
    /// The problem, phrased as the predicate of a sentence whose subject is the key, such as `is over 10`.
    pub problem: String,
    /// How to fix the problem, phrased as an instruction, such as `write 10 or less`.
    pub remedy: String,
}

impl ValidationError {
    /// Creates an error for the value of `key`.
    pub fn new(
        key: impl Into<String>,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) -> ValidationError {
        ValidationError { key: key.into(), problem: problem.into(), remedy: remedy.into() }
    }
}
