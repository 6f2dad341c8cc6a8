//! The session with the simulator: processes batches of input, starts and stops instances, and writes
//! replies.

use crate::decode::{self, Tables};
use crate::encode;
use crate::error::WireError;
use crate::instance::Instance;
use pinetrestle::interface::{Action, Micros};
use pinetrestle_settings::fields::{
    count, field, list, micros, optional, text, Expected, FieldError, Problem,
};
use serde_json::Value;
use std::any::Any;
use std::collections::BTreeMap;
use std::io::Write;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Result of handling a line of input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The batch continues.
    WithinBatch,
    /// The batch has ended and its reply was written.
    Replied,
}

/// State of the session with the simulator.
#[derive(Default)]
pub struct Session {
    /// Time of the current batch.
    now: Micros,
    /// Tables received so far.
    tables: Tables,
    /// Running instances, by the number that the simulator assigned to them.
    instances: BTreeMap<u64, Instance>,
    /// Instances that were started or got an event in this batch, in the order of their first line.
    active_in_batch: Vec<u64>,
}

impl Session {
    /// Handles one line, and writes the reply if the line ends the batch. Blank lines are ignored.
    ///
    /// # Errors
    ///
    /// [`WireError`] if the line is not JSON, a field is missing or invalid, an endpoint list refers to an
    /// unknown table, or writing the reply fails.
    pub fn handle_line(&mut self, line: &str, output: &mut impl Write) -> Result<Progress, WireError> {
        if line.trim().is_empty() {
            return Ok(Progress::WithinBatch);
        }
        let line: Value = serde_json::from_str(line).map_err(WireError::NotJson)?;
        match text(&line, "what")? {
            "OVER_TO_YOU" => {
                self.reply(output)?;
                return Ok(Progress::Replied);
            }
            "SYNC" => self.now = micros(&line, "wall")?,
            "TABLE" => {
                self.tables.insert(count(&line, "ref")?, list(&line, "items")?.clone());
            }
            "INIT" => self.start_instance(&line)?,
            "POWER_OFF" => {
                self.instances.remove(&count(&line, "who")?);
            }
            kind => self.add_event(kind, &line)?,
        }
        Ok(Progress::WithinBatch)
    }

    fn start_instance(&mut self, line: &Value) -> Result<(), WireError> {
        let who = count(line, "who")?;
        let instance = Instance::new(seed(line)?, field(line, "options")?, self.now)?;
        self.instances.insert(who, instance);
        self.mark_active(who);
        Ok(())
    }

    /// Adds an event to the batch of its instance. Lines without an instance, or whose instance is not
    /// running, are ignored.
    fn add_event(&mut self, kind: &str, line: &Value) -> Result<(), WireError> {
        let Some(who) = optional(line, "who", count)? else { return Ok(()) };
        let Some(instance) = self.instances.get_mut(&who) else { return Ok(()) };
        if let Some(event) = decode::event(instance, kind, line, &self.tables)? {
            instance.events.push(event);
            self.mark_active(who);
        }
        Ok(())
    }

    fn mark_active(&mut self, who: u64) {
        if !self.active_in_batch.contains(&who) {
            self.active_in_batch.push(who);
        }
    }

    /// Runs the batch of each instance that is active in it, and writes the actions of all instances. An
    /// instance that panics is removed.
    fn reply(&mut self, output: &mut impl Write) -> std::io::Result<()> {
        for who in std::mem::take(&mut self.active_in_batch) {
            let Some(instance) = self.instances.get_mut(&who) else { continue };
            match run_batch(instance, self.now) {
                Ok(actions) => {
                    for action in &actions {
                        writeln!(output, "{}", encode::action(who, action, &instance.servers))?;
                    }
                }
                Err(panic) => {
                    writeln!(output, "{}", encode::panicked(who, panic_message(panic.as_ref())))?;
                    self.instances.remove(&who);
                }
            }
        }
        writeln!(output, "{}", encode::end_of_reply())
    }
}

/// Runs the batch of an instance. Returns its actions, or the payload of a panic in its decision core.
fn run_batch(instance: &mut Instance, now: Micros) -> Result<Vec<Action>, Box<dyn Any + Send>> {
    let events = std::mem::take(&mut instance.events);
    let node = &mut instance.node;
    // Unwind safe, because the caller removes an instance that has panicked, and its state is not used again.
    catch_unwind(AssertUnwindSafe(|| {
        let mut actions = Vec::new();
        node.handle(now, &events, &mut actions);
        actions
    }))
}

fn panic_message(payload: &(dyn Any + Send)) -> &str {
    let owned = payload.downcast_ref::<String>().map(String::as_str);
    owned.or_else(|| payload.downcast_ref::<&str>().copied()).unwrap_or("panic")
}

/// Reads the seed, an integer in the range of `u64` or `i64`. A negative integer is converted to the `u64`
/// with the same bits.
fn seed(line: &Value) -> Result<u64, FieldError> {
    const KEY: &str = "nonce64";
    let value = field(line, KEY)?;
    let signed = || value.as_i64().map(|seed| seed as u64);
    let seed = value.as_u64().or_else(signed);
    seed.ok_or_else(|| FieldError::new(KEY, Problem::WrongType(Expected::Integer)))
}
