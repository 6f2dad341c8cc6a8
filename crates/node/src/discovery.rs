//! The watch on discovery. When to ask is the module's choice; these tasks ask and pass on what they hear.
//!
//! A watch that stands is kept until the one that takes its place has told the list: asked anew, or sent to
//! another address by a new configuration, the front node is never without one for the sake of the change.

use crate::config::Live;
use crate::counters::Counters;
use crate::messages::Message;
use crate::reasons::Reason;
use pinetrestle_protocol::registry::{watch_request, News};
use pinetrestle_protocol::watch::{Said, Watch};
use slog::{info, Logger};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::time::{timeout, Instant};

/// Lines that may wait for the task that passes them on; a watch with one more waits.
const MOST_LINES: usize = 16;
/// Bytes of one read.
const READ: usize = 16 * 1024;

/// What the task needs.
pub struct Discovery {
    /// The configuration in force; where discovery is stands in it.
    pub live: Rc<Live>,
    /// Rung when the configuration names another address.
    pub moved: Rc<Notify>,
    /// The address that told the list that is known ...
    pub source: SocketAddr,
    /// ... and its version there: versions of another address say nothing about it.
    pub index: u64,
    /// Counts.
    pub counters: Rc<Counters>,
    /// Where news goes.
    pub to_core: mpsc::Sender<Message>,
    /// For one line a connection.
    pub log: Logger,
}

/// What a watch has to say, by its number.
type Heard = (u64, Result<Said, Reason>);

/// A watch that was begun. Dropped, it ends.
struct Begun {
    number: u64,
    address: SocketAddr,
    told: bool,
    _stay: oneshot::Sender<()>,
}

impl Discovery {
    /// Watches whenever asked to, until nobody asks any more.
    pub async fn run(mut self, mut asked: mpsc::Receiver<()>) {
        let (says, mut heard) = mpsc::channel(MOST_LINES);
        let (mut stands, mut comes): (Option<Begun>, Option<Begun>) = (None, None);
        let mut number = 0;
        loop {
            tokio::select! {
                next = asked.recv() => {
                    if next.is_none() {
                        return;
                    }
                    number += 1;
                    comes = Some(self.begin(number, says.clone()));
                }
                () = self.moved.notified() => {
                    number += 1;
                    comes = Some(self.begin(number, says.clone()));
                }
                Some((from, what)) = heard.recv() => {
                    let of = |begun: &Option<Begun>| begun.as_ref().is_some_and(|begun| begun.number == from);
                    match what {
                        Ok(said) => {
                            // At another address only the list itself takes the place of the old watch.
                            let fits = |begun: &Begun| begun.address == self.source || said != Said::Alive;
                            if of(&comes) && comes.as_ref().is_some_and(fits) {
                                stands = comes.take();
                            }
                            if let Some(begun) = stands.as_mut().filter(|begun| begun.number == from) {
                                let told = std::mem::replace(&mut begun.told, true);
                                let address = begun.address;
                                self.pass_on(address, said, told).await;
                            }
                        }
                        Err(_) if of(&comes) => {
                            comes = None;
                            self.lost().await;
                        }
                        Err(_) if of(&stands) => {
                            stands = None;
                            // Where its successor is on its way, that one's end will be told.
                            if comes.is_none() {
                                self.lost().await;
                            }
                        }
                        Err(_) => {}
                    }
                }
            }
        }
    }

    async fn lost(&self) {
        self.counters.discovery.lost.one();
        // The receiver is there as long as the program serves.
        let _ = self.to_core.send(Message::NewsFailed).await;
    }

    fn begin(&self, number: u64, says: mpsc::Sender<Heard>) -> Begun {
        self.counters.discovery.watches.one();
        let config = self.live.get();
        let address = config.discovery;
        let after = if address == self.source { self.index } else { 0 };
        let (stay, left) = oneshot::channel();
        let call = Call { live: self.live.clone(), address, after, number, says, lines: 0, bytes_in: 0 };
        tokio::task::spawn_local(call.run(left, self.log.clone()));
        Begun { number, address, told: false, _stay: stay }
    }

    async fn pass_on(&mut self, address: SocketAddr, said: Said, told: bool) {
        let counts = &self.counters.discovery;
        let news = match said {
            Said::News(news) => {
                if news.whole {
                    counts.lists.one()
                } else {
                    counts.changes.one()
                };
                (self.source, self.index) = (address, news.index);
                news
            }
            Said::Alive => {
                counts.alive.one();
                if told {
                    return;
                }
                // The first line of a watch answers the call, even where nothing has changed.
                News { index: self.index, whole: false, entries: Vec::new() }
            }
        };
        // The receiver is there as long as the program serves.
        let _ = self.to_core.send(Message::News(news)).await;
    }
}

/// One call of discovery and the connection that carries it.
struct Call {
    live: Rc<Live>,
    address: SocketAddr,
    after: u64,
    number: u64,
    says: mpsc::Sender<Heard>,
    lines: u64,
    bytes_in: u64,
}

impl Call {
    async fn run(mut self, left: oneshot::Receiver<()>, log: Logger) {
        let begun = Instant::now();
        let reason = tokio::select! {
            reason = self.watch() => reason,
            _ = left => Reason::AskedAnew,
        };
        info!(log, "connection ended"; "side" => "discovery", "peer" => %self.address,
            "age_ms" => begun.elapsed().as_millis() as u64, "lines" => self.lines, "in" => self.bytes_in,
            "after" => self.after, "reason" => %reason);
        // The receiver is there as long as the program serves.
        let _ = self.says.send((self.number, Err(reason))).await;
    }

    /// Says why it ended.
    async fn watch(&mut self) -> Reason {
        let patience = self.live.get().transport.discovery_answer;
        let mut stream = match timeout(patience, TcpStream::connect(self.address)).await {
            Err(_) => return Reason::ConnectTimeout,
            Ok(Err(_)) => return Reason::ConnectRefused,
            Ok(Ok(stream)) => stream,
        };
        let request = watch_request(&self.address.to_string(), self.after);
        match timeout(patience, stream.write_all(&request)).await {
            Ok(Ok(())) => {}
            _ => return Reason::WriteFailed,
        }
        let mut watch = Watch::default();
        let mut buffer = vec![0; READ];
        loop {
            let told = self.lines > 0;
            let patience = if told { self.live.get().transport.watch_silence } else { patience };
            let count = match timeout(patience, stream.read(&mut buffer)).await {
                Err(_) => return if told { Reason::Silent } else { Reason::NoAnswer },
                Ok(Err(_)) => return Reason::Reset,
                Ok(Ok(0)) => return Reason::EndedByPeer,
                Ok(Ok(count)) => count,
            };
            self.bytes_in += count as u64;
            watch.feed(&buffer[..count]);
            loop {
                match watch.next_said() {
                    Ok(Some(said)) => {
                        self.lines += 1;
                        // The receiver is there as long as the program serves.
                        let _ = self.says.send((self.number, Ok(said))).await;
                    }
                    Ok(None) => break,
                    Err(error) => return error.into(),
                }
            }
            if watch.ended() {
                return Reason::EndedByPeer;
            }
        }
    }
}
