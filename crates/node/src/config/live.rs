//! The configuration in force, which a reload replaces.

use crate::config::Config;
use std::cell::RefCell;
use std::rc::Rc;

/// The configuration in force, shared by all tasks.
///
/// Values that a reload may change are to be read from here each time they are used.
#[derive(Debug)]
pub struct LiveConfig(RefCell<Rc<Config>>);

impl LiveConfig {
    /// Puts the initial configuration in force.
    pub fn new(config: Config) -> LiveConfig {
        LiveConfig(RefCell::new(Rc::new(config)))
    }

    /// Returns the configuration in force. The returned value is not affected by a later
    /// [`replace`](LiveConfig::replace).
    pub fn get(&self) -> Rc<Config> {
        self.0.borrow().clone()
    }

    /// Puts another configuration in force.
    pub fn replace(&self, config: Config) {
        *self.0.borrow_mut() = Rc::new(config);
    }
}
