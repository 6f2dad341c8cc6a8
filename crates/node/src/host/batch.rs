//! Processing of one batch: fires the due timers, runs the decision core on all pending events, and executes
//! the resulting actions.

use super::interface::{Command, Reply};
use super::timers::Timer;
use super::{EndedPart, Host};
use pinetrestle::interface::{Action, Event, Id, Micros, Outcome};
use pinetrestle::FrontNode;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The decision core panicked while processing a batch.
struct CorePanicked;

impl Host {
    /// Fires the due timers, has the decision core process all pending events, and returns the commands to
    /// execute, in order. Events caused by the core's actions stay pending until the next batch.
    pub fn process_batch(&mut self, now: Micros) -> Vec<Command> {
        self.fire_timers(now);
        if !self.events.is_empty() {
            // Parts whose query ends by an action of this batch are checked after the next batch.
            let ended_parts = std::mem::take(&mut self.ended_parts);
            match self.run_core(now) {
                Ok(actions) => self.execute_actions(now, actions),
                Err(CorePanicked) => self.restart_core(now),
            }
            self.report_orphaned_attempts(&ended_parts);
        }
        self.take_commands()
    }

    fn run_core(&mut self, now: Micros) -> Result<Vec<Action>, CorePanicked> {
        self.counters.node.batches.increment();
        let events = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        let core = &mut self.core;
        // A panic in the core must not close the connections of the whole process.
        let result = catch_unwind(AssertUnwindSafe(|| core.handle(now, &events, &mut actions)));
        result.map(|()| actions).map_err(|_| CorePanicked)
    }

    /// Replaces a decision core that has panicked. All open queries fail, all attempts are abandoned, and the
    /// new core is given the latest endpoint list.
    pub(super) fn restart_core(&mut self, now: Micros) {
        self.counters.node.core_restarts.increment();
        self.commands.push(Command::Log("the decision core panicked and was restarted".into()));
        for query in self.queries.sorted_ids() {
            self.finish_query(query, Reply::Failed, |queries| queries.failed.increment());
        }
        for attempt_id in self.attempts.ids() {
            self.end_attempt(now, attempt_id, Outcome::Cancelled);
            self.commands.push(Command::Abandon(attempt_id));
        }
        self.seed = self.seed.wrapping_add(1);
        self.core = FrontNode::new(self.deployment.settings.clone(), self.seed, now);
        let replicas = self.endpoints.listed_replicas();
        self.events = vec![Event::EndpointList { replicas, cached: true }];
    }

    fn fire_timers(&mut self, now: Micros) {
        let mut core_timer_fired = false;
        for timer in self.timers.take_due(now) {
            match timer {
                Timer::Core => core_timer_fired = true,
                Timer::AttemptTimeout(attempt_id) => {
                    if self.end_attempt(now, attempt_id, Outcome::Timeout) {
                        self.commands.push(Command::Abandon(attempt_id));
                    }
                }
                Timer::QueryDeadline(query) => self.fail_overdue_query(query),
            }
        }
        if core_timer_fired {
            self.events.push(Event::TimerFired);
        }
    }

    /// Fails a query that the decision core has not answered by the query's deadline. The end of the query is
    /// reported to the core as a client disconnect.
    fn fail_overdue_query(&mut self, query: Id) {
        let Some(removed) = self.remove_query(query) else { return };
        self.update_query_counters(removed.class, |queries| {
            queries.failed.increment();
            queries.overdue.increment();
        });
        self.commands.push(Command::Reply(query, Reply::Failed));
        self.events.push(Event::ClientDisconnected(query));
    }

    /// Reports the attempts of `ended_parts` that are still in flight, although the core has processed a
    /// batch since their queries ended.
    fn report_orphaned_attempts(&mut self, ended_parts: &[EndedPart]) {
        let orphaned: usize =
            ended_parts.iter().map(|ended| self.attempts.count_of_part(ended.part, ended.attempts)).sum();
        if orphaned > 0 {
            self.counters.node.orphaned_attempts.add(orphaned as u64);
            self.commands.push(Command::ReportOrphanedAttempts(orphaned));
        }
    }
}
