//! The front node's side of one connection to an index server.
//!
//! The machine knows which parts are out on the connection, what of its frames has been written, and which
//! answers come too late to count.

use crate::frames::{call, give_up, BadFrame, CallPart, End, Frame, Frames, Score};
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::IoSlice;

/// The host's number for one attempt.
pub type Ticket = u64;

/// Parts given up whose answers may still come; beyond so many the oldest are forgotten.
const MOST_GIVEN_UP: usize = 4096;

fn hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// One part of a call to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct Sending {
    /// The host's number for the attempt.
    pub ticket: Ticket,
    /// The part's id on the wire.
    pub id: String,
    /// Its shard.
    pub shard: u32,
    /// Its list.
    pub list: String,
    /// The query's text.
    pub text: std::rc::Rc<str>,
}

/// An answer to an attempt that is out.
#[derive(Clone, Debug, PartialEq)]
pub struct Landed {
    /// The attempt.
    pub ticket: Ticket,
    /// How it ended.
    pub end: End,
    /// Its score.
    pub score: Score,
    /// Its value.
    pub value: String,
}

/// A frame on its way out.
#[derive(Debug)]
struct Outgoing {
    bytes: Vec<u8>,
    /// The attempts it starts; none for a frame that gives up.
    starts: Vec<Ticket>,
}

/// One connection to an index server.
#[derive(Debug, Default)]
pub struct Link {
    frames: Frames,
    out: VecDeque<Outgoing>,
    /// Bytes of the first outgoing frame that are written.
    begun: usize,
    waiting: usize,
    open: HashMap<String, Ticket>,
    names: HashMap<Ticket, String>,
    unwritten: HashSet<Ticket>,
    /// Hashes of the ids given up: many are kept, few are ever asked for.
    given_up: VecDeque<u64>,
    forgot: bool,
    /// Answers that came after their attempt had ended.
    pub late: u64,
}

impl Link {
    /// Whether a part of this id may go out here: neither out nor given up with its answer still to come,
    /// so that no answer is taken for that of another attempt.
    pub fn is_free(&self, id: &str) -> bool {
        !self.open.contains_key(id) && !self.given_up.contains(&hash(id))
    }

    /// Puts a call in line. Parts whose id is not free here are handed back: they were not sent.
    pub fn call(&mut self, parts: Vec<Sending>) -> Vec<Ticket> {
        let (go, stay): (Vec<_>, Vec<_>) = parts.into_iter().partition(|part| self.is_free(&part.id));
        if !go.is_empty() {
            let named = |part: &Sending| (part.ticket, part.id.clone());
            let bytes = call(go.iter().map(|part| CallPart {
                id: &part.id,
                shard: part.shard,
                list: &part.list,
                text: &part.text,
            }));
            for (ticket, id) in go.iter().map(named) {
                self.open.insert(id.clone(), ticket);
                self.names.insert(ticket, id);
                self.unwritten.insert(ticket);
            }
            self.push(bytes, go.iter().map(|part| part.ticket).collect());
        }
        stay.iter().map(|part| part.ticket).collect()
    }

    fn push(&mut self, bytes: Vec<u8>, starts: Vec<Ticket>) {
        self.waiting += bytes.len();
        self.out.push_back(Outgoing { bytes, starts });
    }

    /// Gives an attempt up, and says so to the index server where that is allowed. A call of this part alone
    /// of which nothing is written yet never goes out.
    pub fn give_up(&mut self, ticket: Ticket, say: bool) {
        let Some(id) = self.names.remove(&ticket) else { return };
        self.open.remove(&id);
        let unwritten = self.unwritten.remove(&ticket);
        let begun = self.begun > 0;
        let unsent =
            |(place, frame): (usize, &Outgoing)| frame.starts.as_slice() == [ticket] && (place > 0 || !begun);
        if let Some(place) = self.out.iter().enumerate().position(unsent).filter(|_| unwritten) {
            if let Some(frame) = self.out.remove(place) {
                self.waiting -= frame.bytes.len();
            }
            return;
        }
        if say {
            self.push(give_up(&id), Vec::new());
        }
        self.given_up.push_back(hash(&id));
        if self.given_up.len() > MOST_GIVEN_UP {
            self.given_up.pop_front();
            self.forgot = true;
        }
    }

    /// Bytes that wait to be written.
    pub fn waiting(&self) -> usize {
        self.waiting - self.begun
    }

    /// Attempts that are out here.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// What waits to be written, for one gathered write.
    pub fn gather<'a>(&'a self, slices: &mut Vec<IoSlice<'a>>, most: usize) {
        let mut skip = self.begun;
        for frame in self.out.iter().take(most) {
            slices.push(IoSlice::new(&frame.bytes[skip..]));
            skip = 0;
        }
    }

    /// So many bytes of it have been written.
    pub fn wrote(&mut self, bytes: usize) {
        self.begun += bytes;
        while let Some(frame) = self.out.front().filter(|frame| frame.bytes.len() <= self.begun) {
            self.begun -= frame.bytes.len();
            self.waiting -= frame.bytes.len();
            for ticket in &frame.starts {
                self.unwritten.remove(ticket);
            }
            self.out.pop_front();
        }
    }

    /// Takes bytes as they come.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.frames.feed(bytes);
    }

    /// The next answer to an attempt that is out. After an error the connection is of no more use.
    pub fn next_landed(&mut self) -> Result<Option<Landed>, BadFrame> {
        while let Some(frame) = self.frames.next_frame()? {
            let Frame::Ended { id, end, score, value } = frame else { return Err(BadFrame::Rejected) };
            if let Some(ticket) = self.open.remove(&id) {
                self.names.remove(&ticket);
                self.unwritten.remove(&ticket);
                return Ok(Some(Landed { ticket, end, score, value }));
            }
            match self.given_up.iter().position(|other| *other == hash(&id)) {
                Some(place) => {
                    self.given_up.remove(place);
                }
                None if self.forgot => {}
                None => return Err(BadFrame::Unknown),
            }
            self.late += 1;
        }
        Ok(None)
    }

    /// Whether a frame of the index server has begun and not ended.
    pub fn within_frame(&self) -> bool {
        self.frames.within()
    }

    /// Ends the connection: the attempts that were out, and whether each had been written whole.
    pub fn lost(self) -> Vec<(Ticket, bool)> {
        let mut all: Vec<_> = self.open.values().map(|at| (*at, !self.unwritten.contains(at))).collect();
        all.sort_unstable();
        all
    }
}
