//! The tasks that run in the member's process next to its main loop: the driver of the front node and the
//! relay of the endpoint list.

use crate::config::FleetConfig;
use crate::front_node_process::{FrontNodeDriver, FrontNodeObservation};
use crate::member::{Member, StepOutput};
use crate::relay;
use pinetrestle_rollout::ProcessAction;
use slog::Logger;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, watch};

/// The member's ends of the channels to and from the [`FrontNodeDriver`].
struct FrontNodeHandles {
    /// Actions for the driver to carry out. The queue has room for one.
    actions: mpsc::Sender<ProcessAction>,
    /// The last observation of the front node.
    observations: watch::Receiver<FrontNodeObservation>,
}

/// Handles of the tasks that run next to the member's main loop. There are none if the configuration file
/// names no front node.
#[derive(Default)]
pub struct LocalServices {
    front: Option<FrontNodeHandles>,
    relay: Option<relay::RelayHandles>,
    /// The last action for which the driver's queue had no room.
    pending_action: Option<ProcessAction>,
}

impl LocalServices {
    /// Starts the driver of the front node, and the relay, as far as the configuration names them.
    ///
    /// # Errors
    /// If the relay's address cannot be bound or the data directory cannot be created.
    pub async fn start(config: &FleetConfig, log: &Logger) -> std::io::Result<LocalServices> {
        let Some(front) = &config.front_node else { return Ok(LocalServices::default()) };
        std::fs::create_dir_all(&config.data_dir)?;
        let (actions, action_queue) = mpsc::channel(1);
        let (observation_sender, observations) = watch::channel(FrontNodeObservation::default());
        let driver = FrontNodeDriver::new(front.clone(), &config.data_dir, log.clone());
        let relay = match &front.relay {
            Some(relay) => Some(relay::start(relay, observations.clone(), log.clone()).await?),
            None => None,
        };
        tokio::task::spawn_local(driver.run(action_queue, observation_sender));
        let front = Some(FrontNodeHandles { actions, observations });
        Ok(LocalServices { front, relay, pending_action: None })
    }

    /// Marks the last value of each channel as not yet read, so that the next call of
    /// [`LocalServices::update_member`] passes all of them to a member that was reopened.
    pub(crate) fn mark_all_changed(&mut self) {
        if let Some(front) = &mut self.front {
            front.observations.mark_changed();
        }
        if let Some(relay) = &mut self.relay {
            relay.discovered.mark_changed();
            relay.notified_indexes.mark_changed();
        }
    }

    /// Passes the observations that have changed since the last call to the member.
    pub(crate) fn update_member(&mut self, member: &mut Member) {
        if let Some(front) = &mut self.front {
            if front.observations.has_changed().unwrap_or(false) {
                member.rollout.observations.front_node = front.observations.borrow_and_update().clone();
            }
        }
        if let Some(relay) = &mut self.relay {
            if relay.discovered.has_changed().unwrap_or(false) {
                member.rollout.observations.discovered = relay.discovered.borrow_and_update().clone();
            }
            if relay.notified_indexes.has_changed().unwrap_or(false) {
                member.rollout.observations.notified_changes =
                    relay.notified_indexes.borrow_and_update().clone();
            }
        }
    }

    /// Takes what a step of the member has decided out of `output`: passes the drains to the relay, and the
    /// action on the front node to the driver.
    pub(crate) fn carry_out(&mut self, output: &mut StepOutput) {
        if let (Some(relay), Some(view)) = (&self.relay, output.drain_view.take()) {
            relay::send_if_changed(&relay.drain_view, view);
        }
        // The agent issues each action only once. If the queue is full, the action is kept and tried again
        // after the next step, unless that step decides another action.
        let action = output.front_node_action.take().or(self.pending_action.take());
        if let (Some(front), Some(action)) = (&self.front, action) {
            if let Err(TrySendError::Full(action)) = front.actions.try_send(action) {
                self.pending_action = Some(action);
            }
        }
    }
}
