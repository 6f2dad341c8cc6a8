//! The watch on discovery. When to ask is the module's choice; this task asks and passes on what it hears.

use crate::config::Transport;
use crate::counters::Counters;
use crate::reasons::Reason;
use crate::run::Message;
use pinetrestle_protocol::registry::{watch_request, News};
use pinetrestle_protocol::watch::{Said, Watch};
use slog::{info, Logger};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{timeout, Instant};

/// What the task needs.
pub struct Discovery {
    /// Where discovery is.
    pub address: SocketAddr,
    /// Version of the list that is known.
    pub index: u64,
    /// Figures.
    pub transport: Rc<Transport>,
    /// Counts.
    pub counters: Rc<Counters>,
    /// Where news goes.
    pub to_core: mpsc::Sender<Message>,
    /// For one line a connection.
    pub log: Logger,
}

/// Counts of one watch, for its line in the log.
#[derive(Default)]
struct Seen {
    lines: u64,
    bytes_in: u64,
}

impl Discovery {
    /// Watches whenever asked to, until nobody asks any more. Asked while a watch stands, it begins anew.
    pub async fn run(mut self, mut asked: mpsc::Receiver<()>) {
        let mut again = asked.recv().await.is_some();
        while again {
            let (begun, mut seen) = (Instant::now(), Seen::default());
            self.counters.discovery.watches.one();
            let reason = tokio::select! {
                reason = self.watch(&mut seen) => reason,
                next = asked.recv() => {
                    again = next.is_some();
                    Reason::AskedAnew
                }
            };
            info!(self.log, "connection ended"; "side" => "discovery", "peer" => %self.address,
                "age_ms" => begun.elapsed().as_millis() as u64, "lines" => seen.lines, "in" => seen.bytes_in,
                "index" => self.index, "reason" => %reason);
            if reason != Reason::AskedAnew {
                self.counters.discovery.lost.one();
                // The receiver is there as long as the program serves.
                let _ = self.to_core.send(Message::NewsFailed).await;
                again = asked.recv().await.is_some();
            }
        }
    }

    /// One watch; says why it ended.
    async fn watch(&mut self, seen: &mut Seen) -> Reason {
        let patience = self.transport.discovery_answer;
        let mut stream = match timeout(patience, TcpStream::connect(self.address)).await {
            Err(_) => return Reason::ConnectTimeout,
            Ok(Err(_)) => return Reason::ConnectRefused,
            Ok(Ok(stream)) => stream,
        };
        let request = watch_request(&self.address.to_string(), self.index);
        match timeout(patience, stream.write_all(&request)).await {
            Ok(Ok(())) => {}
            _ => return Reason::WriteFailed,
        }
        let mut watch = Watch::default();
        let mut buffer = vec![0; 16 * 1024];
        let mut told = false;
        loop {
            let patience = if told { self.transport.watch_silence } else { patience };
            let count = match timeout(patience, stream.read(&mut buffer)).await {
                Err(_) => return if told { Reason::Silent } else { Reason::NoAnswer },
                Ok(Err(_)) => return Reason::Reset,
                Ok(Ok(0)) => return Reason::EndedByPeer,
                Ok(Ok(count)) => count,
            };
            seen.bytes_in += count as u64;
            watch.feed(&buffer[..count]);
            loop {
                match watch.next_said() {
                    Ok(Some(said)) => {
                        seen.lines += 1;
                        self.pass_on(said, told).await;
                        told = true;
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

    async fn pass_on(&mut self, said: Said, told: bool) {
        let counts = &self.counters.discovery;
        let news = match said {
            Said::News(news) => {
                if news.whole {
                    counts.lists.one()
                } else {
                    counts.changes.one()
                };
                self.index = news.index;
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
