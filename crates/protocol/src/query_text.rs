//! The text of a query, which all parts of the query share.

use std::any::Any;
use std::fmt;
use std::ops::Deref;
use std::rc::Rc;

/// The text of a query. Clones refer to the same text.
///
/// The text may be long and is kept until the last call with it has been written, which may be after the answer
/// to the query. A guard can therefore be attached to it, such as a reservation of the memory.
#[derive(Clone)]
pub struct QueryText(Rc<GuardedText>);

struct GuardedText {
    text: Box<str>,
    /// Dropped together with the text.
    guard: Option<Box<dyn Any>>,
}

impl QueryText {
    /// Attaches a guard, which is dropped together with the last clone of the text. Replaces an earlier guard. If
    /// the text has been cloned already, this clone becomes a copy of its own.
    pub fn attach_guard(&mut self, guard: impl Any) {
        let guard: Option<Box<dyn Any>> = Some(Box::new(guard));
        match Rc::get_mut(&mut self.0) {
            Some(guarded) => guarded.guard = guard,
            None => self.0 = Rc::new(GuardedText { text: self.0.text.clone(), guard }),
        }
    }
}

impl From<String> for QueryText {
    fn from(text: String) -> QueryText {
        QueryText(Rc::new(GuardedText { text: text.into(), guard: None }))
    }
}

impl From<&str> for QueryText {
    fn from(text: &str) -> QueryText {
        text.to_owned().into()
    }
}

impl Deref for QueryText {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0.text
    }
}

impl fmt::Debug for QueryText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&**self, formatter)
    }
}

impl PartialEq for QueryText {
    fn eq(&self, other: &QueryText) -> bool {
        **self == **other
    }
}

impl Eq for QueryText {}
