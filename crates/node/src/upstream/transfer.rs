//! Reads and writes the frames of one connection to an index server.

use super::connection::Connection;
use super::Shared;
use crate::close_reason::CloseReason;
use crate::deadline::before_deadline;
use crate::invariants::PartStart;
use crate::memory_budget::Reservation;
use crate::messages::Message;
use pinetrestle_protocol::connection::{ReceivedAnswer, WriteEvent};
use pinetrestle_protocol::frames::PartOutcome;
use pinetrestle_recorder::{EventKind, Record};
use pinetrestle_system_calls::{is_out_of_buffers, retry_interrupted, TaskBudget, BUFFER_RETRY_DELAY};
use std::io::{self, ErrorKind, IoSlice};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

/// Maximum number of slices in one vectored write.
const MAX_SLICES: usize = 64;
/// Maximum number of consecutive reads from one connection before pending frames are written.
const MAX_READS: usize = 4;
/// Maximum size in bytes of a frame that is received without a reservation of memory.
const UNRESERVED_FRAME_BYTES: usize = 16 * 1024;
/// Delay in microseconds by which the write of a part may start late without counting as a violation. The
/// process may be paused between reading the clock and writing.
const LATE_TOLERANCE_MICROS: u64 = 150_000;

// Details of `EventKind::AnswerRead` records in the flight recorder: the outcome of the answer, or that it
// was late.
const SERVED: u8 = 0;
const ERROR: u8 = 1;
const REJECTED: u8 = 2;
const LATE: u8 = 3;

/// How a series of reads ended.
enum ReadEnd {
    /// The connection is open. All available bytes have been read, or the maximum number of reads was made.
    Open,
    /// The peer has closed its side of the connection.
    PeerClosed,
    /// A read failed.
    Failed(CloseReason),
}

/// Reads and writes the frames of one connection, and keeps its byte counts and the times of its traffic.
pub(super) struct Transfer {
    connection: Rc<Connection>,
    shared: Rc<Shared>,
    bytes_in: u64,
    bytes_out: u64,
    /// The memory reserved for the partially received frame, if it is large.
    reservation: Option<Reservation>,
    /// Keeps an index server that sends without a pause from occupying the thread.
    budget: TaskBudget,
    /// Time at which bytes were last read or written, or at which the connection was established.
    last_activity: Instant,
    /// Time at which the first byte of the partially received frame was read, if there is one.
    frame_started_at: Option<Instant>,
}

impl Transfer {
    /// Creates the state of a connection on which nothing has been read or written.
    pub(super) fn new(connection: Rc<Connection>, shared: Rc<Shared>, now: Instant) -> Transfer {
        Transfer {
            connection,
            shared,
            bytes_in: 0,
            bytes_out: 0,
            reservation: None,
            budget: TaskBudget::default(),
            last_activity: now,
            frame_started_at: None,
        }
    }

    /// Starts the idle time of the connection, which was established at `now`.
    pub(super) fn established(&mut self, now: Instant) {
        self.last_activity = now;
    }

    /// Returns the number of bytes read.
    pub(super) fn bytes_in(&self) -> u64 {
        self.bytes_in
    }

    /// Returns the number of bytes written.
    pub(super) fn bytes_out(&self) -> u64 {
        self.bytes_out
    }

    /// Returns how often the task of this connection has used up its budget.
    pub(super) fn forced_yields(&self) -> u64 {
        self.budget.yields()
    }

    /// Returns the time since bytes were last read or written.
    pub(super) fn idle_time(&self) -> Duration {
        self.last_activity.elapsed()
    }

    /// Returns the time at which the first byte of the partially received frame was read, or `None` if
    /// there is no such frame.
    pub(super) fn frame_started_at(&self) -> Option<Instant> {
        self.frame_started_at
    }

    /// Returns the time since the first byte of the partially received frame was read, or `None` if there
    /// is no such frame.
    pub(super) fn frame_age(&self) -> Option<Duration> {
        self.frame_started_at.map(|started_at| started_at.elapsed())
    }

    /// Reads the available bytes with at most [`MAX_READS`] reads and processes them. Returns the close
    /// reason if the connection has to be closed.
    pub(super) async fn read_available(&mut self, stream: &TcpStream) -> Option<CloseReason> {
        let bytes_before = self.bytes_in;
        let frames_before = self.connection.state.borrow().complete_frames();
        let read_end = self.read_until_drained(stream).await;
        if self.bytes_in > bytes_before {
            if let Err(reason) = self.process_received(frames_before).await {
                return Some(reason);
            }
        }
        match read_end {
            ReadEnd::Open => None,
            ReadEnd::PeerClosed => Some(self.peer_close_reason()),
            ReadEnd::Failed(reason) => Some(reason),
        }
    }

    /// Reads the available bytes with at most [`MAX_READS`] reads.
    ///
    /// The bytes are processed only after all reads, because the bytes after an answer may show that the
    /// answer is invalid.
    async fn read_until_drained(&mut self, stream: &TcpStream) -> ReadEnd {
        for _ in 0..MAX_READS {
            if !self.reserve_frame().await {
                return ReadEnd::Failed(CloseReason::NoFrameMemory);
            }
            let has_yielded = self.budget.spend().await;
            self.shared.instruments.counters.connections.forced_yields.add(u64::from(has_yielded));
            let read = retry_interrupted(|| stream.try_read(&mut self.shared.read_buffer.borrow_mut()));
            match read {
                Ok(0) => return ReadEnd::PeerClosed,
                Ok(count) => self.feed(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.budget.replenish();
                    return ReadEnd::Open;
                }
                Err(error) if is_out_of_buffers(&error) => {
                    sleep(BUFFER_RETRY_DELAY).await;
                    return ReadEnd::Open;
                }
                Err(error) => return ReadEnd::Failed(CloseReason::from(&error)),
            }
        }
        ReadEnd::Open
    }

    /// Reserves memory for the partially received frame if it is large. Waits for it up to the frame timeout.
    /// Returns whether there is enough memory.
    async fn reserve_frame(&mut self) -> bool {
        let frame_bytes = self.connection.state.borrow().partial_frame_bytes().unwrap_or(0);
        if frame_bytes <= UNRESERVED_FRAME_BYTES || self.reservation.is_some() {
            return true;
        }
        let deadline = Instant::now() + self.shared.live_config.get().transport.frame_timeout;
        let reservation = before_deadline(deadline, self.shared.memory_budget.reserve(frame_bytes)).await;
        self.reservation = reservation.flatten();
        self.reservation.is_some()
    }

    /// Returns the memory reserved for the partially received frame, if it is large.
    pub(super) fn reservation(&self) -> Option<&Reservation> {
        self.reservation.as_ref()
    }

    fn peer_close_reason(&self) -> CloseReason {
        if self.connection.state.borrow().is_mid_frame() {
            CloseReason::PeerClosedMidFrame
        } else {
            CloseReason::PeerClosed
        }
    }

    /// Passes the first `count` bytes of the read buffer to the decoder.
    fn feed(&mut self, count: usize) {
        self.bytes_in += count as u64;
        self.last_activity = Instant::now();
        let instruments = &self.shared.instruments;
        instruments.counters.connections.server_bytes_in.add(count as u64);
        let number = self.connection.number;
        instruments.recorder.record(|| {
            Record::for_query(EventKind::BytesRead, 0).on_connection(number).with_value(count as u64)
        });
        self.connection.state.borrow_mut().feed(&self.shared.read_buffer.borrow()[..count]);
    }

    /// Sends the answers that the received bytes complete to the event loop. `frames_before` is the number of
    /// frames that were complete before these bytes.
    async fn process_received(&mut self, frames_before: u64) -> Result<(), CloseReason> {
        let state = &self.connection.state;
        let late_before = state.borrow().late_answers;
        self.forward_answers().await?;
        let state = state.borrow();
        self.shared.instruments.counters.attempts.late_answers.add(state.late_answers - late_before);
        if !state.is_mid_frame() {
            self.reservation = None;
            self.frame_started_at = None;
        } else if self.frame_started_at.is_none() || state.complete_frames() > frames_before {
            self.frame_started_at = Some(self.last_activity);
        }
        Ok(())
    }

    async fn forward_answers(&self) -> Result<(), CloseReason> {
        loop {
            let answer =
                self.connection.state.borrow_mut().next_answer(|received| self.record_answer(received));
            match answer {
                Ok(Some(answer)) => self.shared.send(Message::AttemptAnswered(answer)).await,
                Ok(None) => return Ok(()),
                Err(error) => return Err(error.into()),
            }
        }
    }

    fn record_answer(&self, answer: ReceivedAnswer<'_>) {
        self.shared.instruments.recorder.record(|| {
            let detail = match answer.outcome {
                _ if answer.late => LATE,
                PartOutcome::Served => SERVED,
                PartOutcome::Error => ERROR,
                PartOutcome::Rejected => REJECTED,
            };
            Record::for_part(EventKind::AnswerRead, answer.id)
                .on_connection(self.connection.number)
                .with_detail(detail)
        });
    }

    /// Writes the frames that may be written now, until all are written or the socket accepts no more bytes.
    pub(super) fn write_pending(&mut self, stream: &TcpStream) -> io::Result<()> {
        loop {
            match self.write_once(stream) {
                Ok(None) => return Ok(()),
                Ok(Some(count)) => {
                    self.connection
                        .state
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

    /// Makes one vectored write of the frames that may be written now, and returns the number of bytes
    /// written, or `None` if there are no such frames.
    fn write_once(&self, stream: &TcpStream) -> io::Result<Option<usize>> {
        let state = self.connection.state.borrow();
        let mut slices: Vec<IoSlice<'_>> = Vec::new();
        state.pending_slices(self.shared.now_micros(), &mut slices, MAX_SLICES);
        if slices.is_empty() {
            return Ok(None);
        }
        retry_interrupted(|| stream.try_write_vectored(&slices)).map(Some)
    }

    fn record_written(&self, written: WriteEvent<'_>) {
        let instruments = &self.shared.instruments;
        if let WriteEvent::Started(part) = written {
            let past_deadline = part.latest_start_us() + LATE_TOLERANCE_MICROS <= self.shared.now_micros();
            let part_start =
                PartStart { query: part.query_key, replica: self.connection.replica, past_deadline };
            instruments.invariants.part_started(part_start);
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
