//! What runs beside the member in its process: the driver of its front node and the relay of the endpoint list.

use crate::config::FleetConfig;
use crate::front_node_process::{FrontNodeDriver, FrontNodeObservation};
use crate::member::{Member, StepOutput};
use crate::relay;
use pinetrestle_rollout::ProcessAction;
use slog::Logger;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, watch};

/// The member's ends of the front node's driver.
struct FrontDriver {
    /// Actions for the driver to carry out; it takes one at a time.
    actions: mpsc::Sender<ProcessAction>,
    /// The driver's last observation of the front node.
    observations: watch::Receiver<FrontNodeObservation>,
}

/// The services beside the member; none where its file names no front node.
#[derive(Default)]
pub struct LocalServices {
    front: Option<FrontDriver>,
    relay: Option<relay::RelayHandles>,
    /// An action that the driver had no room for yet.
    pending_action: Option<ProcessAction>,
}

impl LocalServices {
    /// Starts what the file names.
    ///
    /// # Errors
    /// When the relay's address can't be bound, or the data directory can't be created.
    pub async fn start(file: &FleetConfig, log: &Logger) -> std::io::Result<LocalServices> {
        let Some(front) = &file.front_node else { return Ok(LocalServices::default()) };
        std::fs::create_dir_all(&file.data_dir)?;
        let (actions, action_queue) = mpsc::channel(1);
        let (observation_sender, observations) = watch::channel(FrontNodeObservation::default());
        let driver = FrontNodeDriver::new(front.clone(), &file.data_dir, log.clone());
        let relay = match &front.relay {
            Some(relay) => Some(relay::start(relay, observations.clone(), log.clone()).await?),
            None => None,
        };
        tokio::task::spawn_local(driver.run(action_queue, observation_sender));
        let front = Some(FrontDriver { actions, observations });
        Ok(LocalServices { front, relay, pending_action: None })
    }

    /// Marks everything observed as new, for a member that was opened again and knows none of it.
    pub(crate) fn mark_all_changed(&mut self) {
        if let Some(front) = &mut self.front {
            front.observations.mark_changed();
        }
        if let Some(relay) = &mut self.relay {
            relay.discovered.mark_changed();
            relay.notified.mark_changed();
        }
    }

    /// Gives the member what has changed since the last call.
    pub(crate) fn update_member(&mut self, member: &mut Member) {
        if let Some(front) = &mut self.front {
            if front.observations.has_changed().unwrap_or(false) {
                member.rollout.observations.front = front.observations.borrow_and_update().clone();
            }
        }
        if let Some(relay) = &mut self.relay {
            if relay.discovered.has_changed().unwrap_or(false) {
                member.rollout.observations.discovered = relay.discovered.borrow_and_update().clone();
            }
            if relay.notified.has_changed().unwrap_or(false) {
                member.rollout.observations.notified = relay.notified.borrow_and_update().clone();
            }
        }
    }

    /// Hands the step's decisions to the services.
    pub(crate) fn carry_out(&mut self, output: &mut StepOutput) {
        if let (Some(relay), Some(view)) = (&self.relay, output.drain_view.take()) {
            relay::send_if_changed(&relay.drain_view, view);
        }
        // The agent issues an action once: one that found no room is kept until a later one replaces it.
        let action = output.front_action.take().or(self.pending_action.take());
        if let (Some(front), Some(action)) = (&self.front, action) {
            if let Err(TrySendError::Full(action)) = front.actions.try_send(action) {
                self.pending_action = Some(action);
            }
        }
    }
}
