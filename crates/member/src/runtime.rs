//! The main loop of a member. It passes ticks, peers' messages and requests to [`Member`], and [`Member`]'s
//! output to the sockets and to the services that run in the same process ([`LocalServices`]).

use crate::config::FleetConfig;
use crate::error::MemberError;
use crate::local_services::LocalServices;
use crate::member::{Member, StepOutput};
use crate::transport::{self, Inbound, IncomingRequest};
use crate::wire::{self, Hello, Request, Response};
use pinetrestle_system_calls::is_transient_disk_error;
use slog::{info, warn, Logger};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The delay after the first failed attempt to reopen the store. It doubles after each further failure.
const INITIAL_REOPEN_DELAY: Duration = Duration::from_millis(250);
/// The maximum delay between two attempts to reopen the store. An attempt that fails only at the sync has
/// already appended a record to the log, so attempts at a short interval would let the log grow.
const MAX_REOPEN_DELAY: Duration = Duration::from_secs(4);

/// The queues of the outbound connections.
struct Outbound {
    /// The queue to each peer, by member id.
    peers: BTreeMap<u64, mpsc::Sender<Vec<u8>>>,
    /// The queue to the task sink, if the configuration names one.
    sink: Option<mpsc::Sender<Vec<u8>>>,
}

impl Outbound {
    /// Queues the messages and actions of a tick. Drops those for which a queue has no room.
    fn send(&self, output: &mut StepOutput) {
        for message in output.messages.drain(..) {
            if let Some(queue) = self.peers.get(&message.to) {
                let _ = queue.try_send(message.bytes);
            }
        }
        for action in output.actions.drain(..) {
            if let Some(queue) = &self.sink {
                let _ = queue.try_send(wire::encode(&action));
            }
        }
    }
}

/// Runs a member until the process ends: accepts connections on `listen`, ticks the member every `tick`, and
/// carries out its output. `peers` are the ids and addresses of the other members, `sink` is the address of
/// the task sink.
///
/// If the store fails while the member runs, the member is dropped, since it is unknown which of its writes
/// are on disk, and opened again from the data on disk. Opening is retried for as long as the disk fails,
/// both then and at the start.
///
/// # Errors
/// If the address can't be bound within [`pinetrestle_system_calls::STARTUP_TIMEOUT`], or if the store can't
/// be opened at the start for a reason other than a failing disk.
pub async fn run(
    config: FleetConfig,
    listen: SocketAddr,
    peers: Vec<(u64, SocketAddr)>,
    sink: Option<SocketAddr>,
    tick: Duration,
    mut services: LocalServices,
    log: Logger,
) -> Result<(), MemberError> {
    let listener = pinetrestle_system_calls::listen(listen).await?;
    info!(log, "listening"; "addr" => %listen);
    let mut inbound =
        transport::start_accepting(listener, peers.iter().map(|(peer, _)| *peer).collect(), log.clone());
    let id = config.id;
    let mut member = open(config, &mut inbound, &log).await?;
    let outbound = Outbound {
        peers: peers
            .into_iter()
            .map(|(peer, addr)| (peer, transport::start_sending(addr, &Hello::Peer(id), log.clone())))
            .collect(),
        sink: sink.map(|addr| transport::start_sending(addr, &Hello::Actions(id), log.clone())),
    };
    let mut ticks = tokio::time::interval(tick);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let mut output = StepOutput::default();
        services.update_member(&mut member);
        tokio::select! {
            _ = ticks.tick() => if let Err(error) = member.tick(&mut output) {
                warn!(log, "store failed, stepping down"; "error" => %error);
                // `output` is dropped: no vote, acknowledgement or action may depend on data that is not on
                // disk.
                let config = member.config().clone();
                drop(member);
                member = reopen(config, &mut inbound, &log).await;
                services.mark_all_changed();
                continue;
            },
            Some(bytes) = inbound.messages.recv() => member.receive(&bytes),
            Some(incoming) = inbound.requests.recv() => handle_request(&mut member, incoming),
        }
        outbound.send(&mut output);
        services.carry_out(&mut output);
    }
}

/// Opens the member, and retries while the disk fails.
async fn open(config: FleetConfig, inbound: &mut Inbound, log: &Logger) -> Result<Member, MemberError> {
    match Member::open(config.clone(), log.clone()) {
        Err(MemberError::Io(error)) if is_transient_disk_error(&error) => {
            warn!(log, "cannot open the store, retrying"; "error" => %error);
            Ok(reopen(config, inbound, log).await)
        }
        opened => opened,
    }
}

/// Opens the member, and retries after any error until that succeeds. In the meantime, peers' messages are
/// dropped and requests are rejected.
async fn reopen(config: FleetConfig, inbound: &mut Inbound, log: &Logger) -> Member {
    let mut delay = INITIAL_REOPEN_DELAY;
    let mut next_attempt = Instant::now();
    let mut last_error = String::new();
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(next_attempt) => {
                match Member::open(config.clone(), log.clone()) {
                    Ok(member) => {
                        info!(log, "store is back");
                        return member;
                    }
                    // An error is logged once, not again for each attempt that fails with it.
                    Err(error) if error.to_string() == last_error => {}
                    Err(error) => {
                        warn!(log, "store still fails"; "error" => %error);
                        last_error = error.to_string();
                    }
                }
                next_attempt = Instant::now() + delay;
                delay = (delay * 2).min(MAX_REOPEN_DELAY);
            }
            // Dropping messages is safe: Raft retransmits those that it needs.
            Some(_) = inbound.messages.recv() => {}
            Some(incoming) = inbound.requests.recv() => {
                let rejection = format!("the member cannot open its store: {last_error}");
                let _ = incoming.response.send(Response::Rejected(rejection));
            }
        }
    }
}

/// Handles a request. The response is sent immediately, except for a [`Request::Rollout`], whose response is
/// sent once its command has been applied.
fn handle_request(member: &mut Member, incoming: IncomingRequest) {
    let response = match incoming.request {
        Request::Rollout(command) => return member.submit(command, incoming.response),
        Request::Status => Response::Status(Box::new(member.status())),
        Request::SetWanted { task, wanted } => match member.set_wanted(&task, wanted) {
            Ok(()) => Response::Accepted,
            Err(error) => Response::Rejected(error.to_string()),
        },
    };
    let _ = incoming.response.send(response);
}
