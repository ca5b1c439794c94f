//! Bandwidth-limited links: all messages of an entry share one outgoing and one incoming queue.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bincode::Encode;
use bincode::enc::write::SizeWriter;
use mastknot_core::agent::SessionId;

use super::action::Action;
use super::job_system::JobSystem;

/// Number of bytes sent for one link before the next has its turn: a TCP segment on Ethernet.
const SEGMENT_BYTES: u64 = 1_460;
/// Number of bytes that a message needs besides its own: its length prefix and the headers of h2, TCP and IP.
const OVERHEAD_BYTES: u64 = 65;
/// Length of the intervals in which traffic is counted, in microseconds.
const COUNTED_INTERVAL: u64 = 100_000;
/// Maximum length of a small message in bytes: heartbeats, reports and starts are small.
const SMALL_MESSAGE: u64 = 400;

/// One direction of an entry's link. Each session has a queue of messages, and the sessions take turns
/// segment by segment.
#[derive(Clone, Debug, Default)]
pub(super) struct Pipe {
    queues: HashMap<SessionId, VecDeque<Waiting>>,
    turns: VecDeque<SessionId>,
    is_busy: bool,
}

/// Message that is not sent completely yet.
#[derive(Clone, Debug)]
struct Waiting {
    action: Action,
    left: u64,
    bytes: u64,
    queued: u64,
}

/// Traffic of the links, with the number of links opened and closed.
#[derive(Clone, Debug, Default)]
pub struct LinkRecord {
    bytes: Vec<u64>,
    messages: Vec<u64>,
    opened: Vec<u64>,
    closed: Vec<u64>,
    longest_waits: Vec<u64>,
}

impl LinkRecord {
    fn add(counts: &mut Vec<u64>, at: u64, by: u64) {
        let interval = (at / COUNTED_INTERVAL) as usize;
        if counts.len() <= interval {
            counts.resize(interval + 1, 0);
        }
        counts[interval] += by;
    }

    fn sum(counts: &[u64], from: Duration, until: Duration) -> u64 {
        let interval = |time: Duration| (time.as_micros() as u64 / COUNTED_INTERVAL) as usize;
        let all = counts.iter().enumerate();
        let within = all.filter(|(at, _)| (interval(from)..interval(until)).contains(at));
        within.map(|(_, count)| count).sum()
    }

    pub(super) fn record_opened(&mut self, at: u64) {
        Self::add(&mut self.opened, at, 1);
    }

    pub(super) fn record_closed(&mut self, at: u64) {
        Self::add(&mut self.closed, at, 1);
    }

    pub(super) fn record_message(&mut self, at: u64, bytes: u64) {
        Self::add(&mut self.bytes, at, bytes);
        Self::add(&mut self.messages, at, 1);
    }

    fn record_wait(&mut self, at: u64, wait: u64) {
        let interval = (at / COUNTED_INTERVAL) as usize;
        if self.longest_waits.len() <= interval {
            self.longest_waits.resize(interval + 1, 0);
        }
        self.longest_waits[interval] = self.longest_waits[interval].max(wait);
    }

    /// Returns the longest time that a small message waited for a bandwidth-limited link.
    pub fn longest_wait(&self, from: Duration, until: Duration) -> Duration {
        let interval = |time: Duration| (time.as_micros() as u64 / COUNTED_INTERVAL) as usize;
        let all = self.longest_waits.iter().enumerate();
        let within = all.filter(|(at, _)| (interval(from)..interval(until)).contains(at));
        Duration::from_micros(within.map(|(_, wait)| *wait).max().unwrap_or_default())
    }

    /// Returns the number of bytes handed to links in an interval.
    pub fn bytes(&self, from: Duration, until: Duration) -> u64 {
        Self::sum(&self.bytes, from, until)
    }

    /// Returns the number of messages handed to links in an interval.
    pub fn messages(&self, from: Duration, until: Duration) -> u64 {
        Self::sum(&self.messages, from, until)
    }

    /// Returns the number of links opened in an interval.
    pub fn opened(&self, from: Duration, until: Duration) -> u64 {
        Self::sum(&self.opened, from, until)
    }

    /// Returns the number of links closed by one of their ends in an interval.
    pub fn closed(&self, from: Duration, until: Duration) -> u64 {
        Self::sum(&self.closed, from, until)
    }
}

impl JobSystem {
    /// Returns the traffic record of the links.
    pub fn link_record(&self) -> &LinkRecord {
        &self.link_record
    }

    /// Sends a message; `action` is performed when the message arrives.
    pub(super) fn transmit<M: Encode>(
        &mut self,
        session: SessionId,
        is_to_side: bool,
        message: &M,
        action: Action,
    ) {
        if self.silenced.contains(&session) {
            return;
        }
        let bytes = wire_size(message);
        self.link_record.record_message(self.now, bytes);
        let ends = self.sessions.get(&session).copied();
        let Some((entry, _)) = ends.filter(|_| self.settings.entry_link.is_some()) else {
            let at = self.arrival(session, is_to_side);
            self.schedule.add(at, action);
            return;
        };
        let queued = self.now;
        let pipe = self.pipe(entry, is_to_side);
        let queue = pipe.queues.entry(session).or_default();
        let is_first = queue.is_empty();
        queue.push_back(Waiting {
            action,
            left: bytes,
            bytes,
            queued,
        });
        if is_first {
            pipe.turns.push_back(session);
        }
        if !pipe.is_busy {
            self.send_segment(entry, is_to_side);
        }
    }

    /// Drops the messages that still wait on a closed session.
    pub(super) fn drop_queue(&mut self, session: SessionId, is_to_side: bool) {
        if let Some((entry, _)) = self.sessions.get(&session).copied() {
            let pipe = self.pipe(entry, is_to_side);
            pipe.queues.remove(&session);
        }
    }

    fn pipe(&mut self, entry: usize, is_to_side: bool) -> &mut Pipe {
        let pipes = &mut self.pipes[entry];
        match is_to_side {
            true => &mut pipes.0,
            false => &mut pipes.1,
        }
    }

    fn send_segment(&mut self, entry: usize, is_to_side: bool) {
        let Some(rate) = self.settings.entry_link else {
            return;
        };
        let pipe = self.pipe(entry, is_to_side);
        let mut segment = None;
        while let Some(session) = pipe.turns.pop_front() {
            let queue = pipe.queues.get(&session);
            if let Some(first) = queue.and_then(|queue| queue.front()) {
                segment = Some((session, first.left.min(SEGMENT_BYTES)));
                break;
            }
        }
        pipe.is_busy = segment.is_some();
        if let Some((session, bytes)) = segment {
            let sent = Action::SegmentSent {
                entry,
                is_to_side,
                session,
                bytes,
            };
            let is_throttled = self.throttled_until[entry] > self.now;
            let rate = if is_throttled { rate / 10 } else { rate };
            self.schedule_in(bytes * 1_000_000 / rate.max(1), sent);
        }
    }

    pub(super) fn segment_sent(
        &mut self,
        entry: usize,
        is_to_side: bool,
        session: SessionId,
        bytes: u64,
    ) {
        let pipe = self.pipe(entry, is_to_side);
        let mut sent = None;
        if let Some(queue) = pipe.queues.get_mut(&session) {
            if let Some(first) = queue.front_mut() {
                first.left = first.left.saturating_sub(bytes);
            }
            if queue.front().is_some_and(|first| first.left == 0) {
                sent = queue.pop_front();
            }
            if !queue.is_empty() {
                pipe.turns.push_back(session);
            }
        }
        if let Some(message) = sent {
            if message.bytes <= SMALL_MESSAGE {
                self.link_record
                    .record_wait(self.now, self.now - message.queued);
            }
            let at = self.arrival(session, is_to_side);
            self.schedule.add(at, message.action);
        }
        self.send_segment(entry, is_to_side);
    }
}

fn wire_size<M: Encode>(message: &M) -> u64 {
    let mut size = SizeWriter::default();
    let config = bincode::config::standard();
    let encoded = bincode::encode_into_writer(message, &mut size, config);
    encoded.expect("the cores' messages can be encoded");
    size.bytes_written as u64 + OVERHEAD_BYTES
}
