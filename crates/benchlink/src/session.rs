//! The conversation with the simulator: batches in, replies out, instances started and stopped.

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

/// What a line of input has brought about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The batch goes on.
    WithinBatch,
    /// The batch has ended and its reply is written.
    Replied,
}

/// The state of the conversation.
#[derive(Default)]
pub struct Session {
    /// The time of the present batch.
    now: Micros,
    /// The tables sent so far.
    tables: Tables,
    /// The instances that run, by the simulator's number.
    instances: BTreeMap<u64, Instance>,
    /// Instances with an event in this batch, in the order of their first one.
    touched: Vec<u64>,
}

impl Session {
    /// Takes one line; at the end of a batch writes the reply. Blank lines are skipped.
    ///
    /// # Errors
    ///
    /// A [`WireError`] when the line is not JSON, a field of it is missing or malformed, or writing fails.
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
        self.touch(who);
        Ok(())
    }

    /// Adds an event to the batch of its instance; one for no instance, or for one that doesn't run, is
    /// skipped.
    fn add_event(&mut self, kind: &str, line: &Value) -> Result<(), WireError> {
        let Some(who) = optional(line, "who", count)? else { return Ok(()) };
        let Some(instance) = self.instances.get_mut(&who) else { return Ok(()) };
        if let Some(event) = decode::event(instance, kind, line, &self.tables)? {
            instance.events.push(event);
            self.touch(who);
        }
        Ok(())
    }

    fn touch(&mut self, who: u64) {
        if !self.touched.contains(&who) {
            self.touched.push(who);
        }
    }

    /// Hands each touched instance its events and writes the actions of all.
    fn reply(&mut self, output: &mut impl Write) -> std::io::Result<()> {
        for who in std::mem::take(&mut self.touched) {
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

/// The actions of an instance for its batch, or the payload of a panic in its front node.
fn run_batch(instance: &mut Instance, now: Micros) -> Result<Vec<Action>, Box<dyn Any + Send>> {
    let events = std::mem::take(&mut instance.events);
    let node = &mut instance.node;
    // A front node that panicked is dropped, so that nobody sees its broken state.
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

/// The seed, any whole number of 64 bits; a negative one counts by its bits.
fn seed(line: &Value) -> Result<u64, FieldError> {
    const KEY: &str = "nonce64";
    let value = field(line, KEY)?;
    let signed = || value.as_i64().map(|seed| seed as u64);
    let seed = value.as_u64().or_else(signed);
    seed.ok_or_else(|| FieldError::new(KEY, Problem::WrongType(Expected::Integer)))
}
