//! A stand-in for the service that receives the actions which members take under leases.
//!
//! The sink rejects an action whose fencing token is lower than one that it has already accepted for the same
//! task. It writes one line of JSON for each action, accepted or rejected, with the time by its own clock.

use crate::wire::{self, Action, Hello};
use futures_util::StreamExt;
use pinetrestle_fleet::{Fence, Task, Token};
use serde::Serialize;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Maximum number of received actions that wait to be processed. While the queue is full, nothing is read
/// from the connections.
pub const QUEUE_CAPACITY: usize = 4_096;
/// Delay before the next `accept` after one that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// One line of the file in which the sink records the actions, as JSON.
#[derive(Debug, Serialize)]
pub struct ActionRecord {
    /// Time when the sink processed the action, in microseconds since the Unix epoch, by the sink's clock.
    pub at_us: u64,
    /// The id of the member that sent the action.
    pub member: u64,
    /// The name of the task whose lease the member holds.
    pub task: String,
    /// The fencing token of the lease.
    pub token: u64,
    /// The sequence number of the action among those of the member.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// Time when the member decided on the action, in microseconds since the Unix epoch, by the member's wall
    /// clock.
    pub sent_us: u64,
    /// Whether the action was accepted; `false` if its token was stale.
    #[serde(rename = "taken")]
    pub accepted: bool,
}

/// An action with the id of the member that sent it.
struct ReceivedAction {
    member: u64,
    action: Action,
}

/// Runs the sink on the address `listen` until the process ends, and writes an [`ActionRecord`] for each
/// action to `record`. Prints `listening ADDRESS` to standard error, with the port that was assigned if the
/// given one is 0.
///
/// # Errors
/// If the address cannot be bound (a transient failure is retried for
/// [`pinetrestle_system_calls::STARTUP_TIMEOUT`]), or if `record` cannot be written.
pub async fn run(listen: SocketAddr, mut record: Box<dyn Write>) -> std::io::Result<()> {
    let listener = pinetrestle_system_calls::listen(listen).await?;
    eprintln!("listening {}", listener.local_addr()?);
    let (queue, mut received) = mpsc::channel(QUEUE_CAPACITY);
    tokio::task::spawn_local(accept(listener, queue));
    let mut fence = Fence::new();
    while let Some(ReceivedAction { member, action }) = received.recv().await {
        let accepted = fence.admit(&Task(action.task.clone()), Token(action.token)).is_ok();
        let line = ActionRecord {
            at_us: wire::wall_clock_us(),
            member,
            task: action.task,
            token: action.token,
            sequence: action.seq,
            sent_us: action.sent_us,
            accepted,
        };
        serde_json::to_writer(&mut record, &line)?;
        record.write_all(b"\n")?;
        record.flush()?;
    }
    Ok(())
}

async fn accept(listener: TcpListener, queue: mpsc::Sender<ReceivedAction>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(receive_actions(stream, queue.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Reads actions from the connection of one member until the connection ends. Closes a connection that does
/// not begin with [`Hello::Actions`], and skips frames that are not actions.
async fn receive_actions(stream: TcpStream, queue: mpsc::Sender<ReceivedAction>) {
    let mut frames = wire::framed(stream);
    let Some(Ok(first)) = frames.next().await else { return };
    let Some(Hello::Actions(member)) = wire::decode::<Hello>(&first) else { return };
    while let Some(Ok(frame)) = frames.next().await {
        let Some(action) = wire::decode::<Action>(&frame) else { continue };
        if queue.send(ReceivedAction { member, action }).await.is_err() {
            return;
        }
    }
}
