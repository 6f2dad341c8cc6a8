//! Reads and writes the frames of one connection to an index server.

use super::connection::Connection;
use super::Shared;
use crate::close_reason::CloseReason;
use crate::invariants::PartStart;
use crate::messages::Message;
use pinetrestle_protocol::connection::{ReceivedAnswer, WriteEvent};
use pinetrestle_protocol::frames::PartOutcome;
use pinetrestle_recorder::{EventKind, Record};
use pinetrestle_system_calls::{is_out_of_buffers, retry_interrupted, BUFFER_RETRY_DELAY};
use std::io::{self, ErrorKind, IoSlice};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

/// Frames of one gathered write, at most.
const MAX_SLICES: usize = 64;
/// Reads of one connection in a row, at most, so that other tasks get their turn.
const MAX_READS: usize = 4;
/// Microseconds by which a part may be begun late before that counts as a violation: the process may be paused between
/// its last look at the clock and the write.
const LATE_TOLERANCE_MICROS: u64 = 150_000;

/// Codes of answers in the flight recorder.
const SERVED: u8 = 0;
const ERROR: u8 = 1;
const REJECTED: u8 = 2;
const LATE: u8 = 3;

/// The bytes of one connection: how many were read and written, and when.
pub(super) struct Transfer {
    connection: Rc<Connection>,
    shared: Rc<Shared>,
    bytes_in: u64,
    bytes_out: u64,
    /// When bytes were last read or written.
    last_activity: Instant,
    /// When the first byte was read of a frame that is not complete yet.
    frame_begun_at: Option<Instant>,
}

impl Transfer {
    /// Nothing was read or written yet.
    pub(super) fn new(connection: Rc<Connection>, shared: Rc<Shared>, now: Instant) -> Transfer {
        Transfer { connection, shared, bytes_in: 0, bytes_out: 0, last_activity: now, frame_begun_at: None }
    }

    /// The connection is established: its idle time runs from now on.
    pub(super) fn established(&mut self, now: Instant) {
        self.last_activity = now;
    }

    /// Bytes read.
    pub(super) fn bytes_in(&self) -> u64 {
        self.bytes_in
    }

    /// Bytes written.
    pub(super) fn bytes_out(&self) -> u64 {
        self.bytes_out
    }

    /// How long nothing was read or written.
    pub(super) fn idle_time(&self) -> Duration {
        self.last_activity.elapsed()
    }

    /// When the first byte was read of a frame that is not complete yet.
    pub(super) fn frame_begun_at(&self) -> Option<Instant> {
        self.frame_begun_at
    }

    /// The time since then.
    pub(super) fn frame_age(&self) -> Option<Duration> {
        self.frame_begun_at.map(|begun| begun.elapsed())
    }

    /// Reads what has come, up to [`MAX_READS`] times. Returns why the connection has to end, if it has.
    pub(super) async fn read_available(&mut self, stream: &TcpStream) -> Option<CloseReason> {
        for _ in 0..MAX_READS {
            let read = retry_interrupted(|| stream.try_read(&mut self.shared.read_buffer.borrow_mut()));
            match read {
                Ok(0) => return Some(self.end_reason()),
                Ok(count) => {
                    if let Err(reason) = self.take_bytes(count).await {
                        return Some(reason);
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return None,
                Err(error) if is_out_of_buffers(&error) => {
                    sleep(BUFFER_RETRY_DELAY).await;
                    return None;
                }
                Err(error) => return Some(CloseReason::from(&error)),
            }
        }
        None
    }

    fn end_reason(&self) -> CloseReason {
        if self.connection.link.borrow().is_mid_frame() {
            CloseReason::PeerClosedMidFrame
        } else {
            CloseReason::PeerClosed
        }
    }

    /// Takes the first `count` bytes of the read buffer and passes the answers in them on.
    async fn take_bytes(&mut self, count: usize) -> Result<(), CloseReason> {
        self.bytes_in += count as u64;
        self.last_activity = Instant::now();
        let instruments = &self.shared.instruments;
        instruments.counters.connections.server_bytes_in.add(count as u64);
        let number = self.connection.number;
        instruments.recorder.record(|| {
            Record::for_query(EventKind::BytesRead, 0).on_connection(number).with_value(count as u64)
        });

        let link = &self.connection.link;
        let late_before = link.borrow().late_answers;
        let frames_before = link.borrow().complete_frames();
        link.borrow_mut().feed(&self.shared.read_buffer.borrow()[..count]);
        self.pass_answers_on().await?;
        let link = link.borrow();
        instruments.counters.attempts.late_answers.add(link.late_answers - late_before);
        if !link.is_mid_frame() {
            self.frame_begun_at = None;
        } else if self.frame_begun_at.is_none() || link.complete_frames() > frames_before {
            self.frame_begun_at = Some(self.last_activity);
        }
        Ok(())
    }

    async fn pass_answers_on(&self) -> Result<(), CloseReason> {
        loop {
            let answer = self.connection.link.borrow_mut().next_answer(|heard| self.record_answer(heard));
            match answer {
                Ok(Some(answer)) => self.shared.send(Message::AttemptAnswered(answer)).await,
                Ok(None) => return Ok(()),
                Err(error) => return Err(error.into()),
            }
        }
    }

    fn record_answer(&self, answer: ReceivedAnswer<'_>) {
        self.shared.instruments.recorder.record(|| {
            let end = match answer.outcome {
                _ if answer.late => LATE,
                PartOutcome::Served => SERVED,
                PartOutcome::Error => ERROR,
                PartOutcome::Rejected => REJECTED,
            };
            Record::for_part(EventKind::AnswerRead, answer.id)
                .on_connection(self.connection.number)
                .with_detail(end)
        });
    }

    /// Writes frames until none is due or the socket takes no more.
    pub(super) fn write_pending(&mut self, stream: &TcpStream) -> io::Result<()> {
        loop {
            match self.write_once(stream) {
                Ok(None) => return Ok(()),
                Ok(Some(count)) => {
                    self.connection
                        .link
                        .borrow_mut()
                        .on_written(count, |written| self.record_written(written));
                    self.bytes_out += count as u64;
                    self.shared.instruments.counters.connections.server_bytes_out.add(count as u64);
                    self.last_activity = Instant::now();
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
    }

    /// Makes one gathered write of the frames that are due; `None` where none is.
    fn write_once(&self, stream: &TcpStream) -> io::Result<Option<usize>> {
        let link = self.connection.link.borrow();
        let mut slices: Vec<IoSlice<'_>> = Vec::new();
        link.pending_slices(self.shared.now_micros(), &mut slices, MAX_SLICES);
        if slices.is_empty() {
            return Ok(None);
        }
        retry_interrupted(|| stream.try_write_vectored(&slices)).map(Some)
    }

    fn record_written(&self, written: WriteEvent<'_>) {
        let instruments = &self.shared.instruments;
        if let WriteEvent::Started(part) = written {
            let past_deadline = part.latest_start_us() + LATE_TOLERANCE_MICROS <= self.shared.now_micros();
            let begun = PartStart { query: part.query_key, replica: self.connection.replica, past_deadline };
            instruments.invariants.part_started(begun);
        }
        instruments.recorder.record(|| {
            let record = match written {
                WriteEvent::Started(part) => Record::for_part(EventKind::FirstByteWritten, &part.id),
                WriteEvent::Completed { id, parts } => {
                    Record::for_part(EventKind::LastByteWritten, id).with_value(parts as u64)
                }
                WriteEvent::CancelCompleted(id) => Record::for_part(EventKind::CancelWritten, id),
            };
            record.on_connection(self.connection.number)
        });
    }
}
