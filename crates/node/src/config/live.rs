//! The current configuration, which a reload replaces.

use crate::config::Config;
use std::cell::RefCell;
use std::rc::Rc;

/// The current configuration, shared by all tasks.
///
/// Tasks must read values that a reload may change from here each time that they use them.
#[derive(Debug)]
pub struct LiveConfig(RefCell<Rc<Config>>);

impl LiveConfig {
    /// Starts with the initial configuration.
    pub fn new(config: Config) -> LiveConfig {
        LiveConfig(RefCell::new(Rc::new(config)))
    }

    /// Returns the current configuration. The returned value is not affected by a later
    /// [`replace`](LiveConfig::replace).
    pub fn get(&self) -> Rc<Config> {
        self.0.borrow().clone()
    }

    /// Replaces the current configuration.
    pub fn replace(&self, config: Config) {
        *self.0.borrow_mut() = Rc::new(config);
    }
}
