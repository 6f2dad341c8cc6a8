//! Finds the line of the value of a key.
//!
//! The text is deserialized again with a seed that follows the path of the key and deliberately fails at the
//! value. The JSON5 deserializer adds the position to this error.

use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use std::fmt;

/// A segment of a key path.
#[derive(Clone, Debug, PartialEq)]
enum PathSegment {
    /// A key of an object.
    Key(String),
    /// An index of an array, starting at 0.
    Index(usize),
}

/// Splits a key path such as `pools[2].name` into its segments.
fn parse_path(path: &str) -> Vec<PathSegment> {
    let mut segments = Vec::new();
    for piece in path.split('.').filter(|piece| !piece.is_empty()) {
        let (key, indices) = match piece.find('[') {
            Some(bracket) => piece.split_at(bracket),
            None => (piece, ""),
        };
        if !key.is_empty() {
            segments.push(PathSegment::Key(key.to_owned()));
        }
        let indices = indices.split(['[', ']']).filter_map(|index| index.parse().ok());
        segments.extend(indices.map(PathSegment::Index));
    }
    segments
}

/// The message of the deliberate error. Only the position that the deserializer adds to the error is used.
const LOCATED: &str = "value located";

/// A deserialization seed that fails at the value to which a path leads.
struct FailAtPath<'a> {
    /// The remaining segments of the path.
    segments: &'a [PathSegment],
}

impl<'de> DeserializeSeed<'de> for FailAtPath<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for FailAtPath<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a value")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let Some((segment, rest)) = self.segments.split_first() else {
            return Err(A::Error::custom(LOCATED));
        };
        while let Some(key) = map.next_key::<String>()? {
            if *segment == PathSegment::Key(key) {
                return map.next_value_seed(FailAtPath { segments: rest });
            }
            map.next_value::<IgnoredAny>()?;
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut array: A) -> Result<(), A::Error> {
        let Some((segment, rest)) = self.segments.split_first() else {
            return Err(A::Error::custom(LOCATED));
        };
        let mut index = 0;
        loop {
            if *segment == PathSegment::Index(index) {
                return array.next_element_seed(FailAtPath { segments: rest }).map(|_| ());
            }
            if array.next_element::<IgnoredAny>()?.is_none() {
                return Ok(());
            }
            index += 1;
        }
    }

    fn visit_bool<E: Error>(self, _: bool) -> Result<(), E> {
        Err(E::custom(LOCATED))
    }

    fn visit_i64<E: Error>(self, _: i64) -> Result<(), E> {
        Err(E::custom(LOCATED))
    }

    fn visit_u64<E: Error>(self, _: u64) -> Result<(), E> {
        Err(E::custom(LOCATED))
    }

    fn visit_f64<E: Error>(self, _: f64) -> Result<(), E> {
        Err(E::custom(LOCATED))
    }

    fn visit_str<E: Error>(self, _: &str) -> Result<(), E> {
        Err(E::custom(LOCATED))
    }

    fn visit_unit<E: Error>(self) -> Result<(), E> {
        Err(E::custom(LOCATED))
    }
}

/// Returns the line number, starting at 1, of the value at `path`. If there is no such value, returns the
/// line of its innermost parent that exists.
pub(crate) fn line_of(text: &str, path: &str) -> Option<usize> {
    let segments = parse_path(path);
    (0..=segments.len()).rev().find_map(|depth| line_of_segments(text, &segments[..depth]))
}

/// Returns the line number, starting at 1, of the value at exactly this path, or `None` if there is no such
/// value.
fn line_of_segments(text: &str, segments: &[PathSegment]) -> Option<usize> {
    let mut deserializer = json5::Deserializer::from_str(text);
    let error = FailAtPath { segments }.deserialize(&mut deserializer).err()?;
    error.position().map(|position| position.line + 1)
}
