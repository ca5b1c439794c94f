//! Links of limited bandwidth: an entry's messages to all sides share one way out, and one way in.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bincode::Encode;
use bincode::enc::write::SizeWriter;
use mastknot_core::agent::SessionId;

use super::act::Act;
use super::job_system::JobSystem;

/// What is sent of one link before the next has its turn, in bytes: a segment of TCP on Ethernet.
const SEGMENT_BYTES: u64 = 1_460;
/// What a message costs besides its own bytes: its length, the heads of h2, TCP and IP.
const OVERHEAD_BYTES: u64 = 65;
/// The length of the intervals in which traffic is counted, in microseconds.
const COUNTED_INTERVAL: u64 = 100_000;
/// Messages up to this length count as small: heartbeats, reports, starts.
const SMALL_MESSAGE: u64 = 400;

/// One direction of an entry's link: messages wait in a queue for each session, segments take turns.
#[derive(Clone, Debug, Default)]
pub(super) struct Pipe {
    queues: HashMap<SessionId, VecDeque<Waiting>>,
    turns: VecDeque<SessionId>,
    is_busy: bool,
}

/// A message that is not sent whole yet.
#[derive(Clone, Debug)]
struct Waiting {
    act: Act,
    left: u64,
    bytes: u64,
    queued: u64,
}

/// What the links have carried, and how often they came and went.
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
        let place = (at / COUNTED_INTERVAL) as usize;
        if counts.len() <= place {
            counts.resize(place + 1, 0);
        }
        counts[place] += by;
    }

    fn sum(counts: &[u64], from: Duration, until: Duration) -> u64 {
        let place = |time: Duration| (time.as_micros() as u64 / COUNTED_INTERVAL) as usize;
        let all = counts.iter().enumerate();
        let within = all.filter(|(at, _)| (place(from)..place(until)).contains(at));
        within.map(|(_, count)| count).sum()
    }

    pub(super) fn note_opened(&mut self, at: u64) {
        Self::add(&mut self.opened, at, 1);
    }

    pub(super) fn note_closed(&mut self, at: u64) {
        Self::add(&mut self.closed, at, 1);
    }

    pub(super) fn note_message(&mut self, at: u64, bytes: u64) {
        Self::add(&mut self.bytes, at, bytes);
        Self::add(&mut self.messages, at, 1);
    }

    fn note_wait(&mut self, at: u64, wait: u64) {
        let place = (at / COUNTED_INTERVAL) as usize;
        if self.longest_waits.len() <= place {
            self.longest_waits.resize(place + 1, 0);
        }
        self.longest_waits[place] = self.longest_waits[place].max(wait);
    }

    /// The longest time that a small message took to get onto a limited link.
    pub fn longest_wait(&self, from: Duration, until: Duration) -> Duration {
        let place = |time: Duration| (time.as_micros() as u64 / COUNTED_INTERVAL) as usize;
        let all = self.longest_waits.iter().enumerate();
        let within = all.filter(|(at, _)| (place(from)..place(until)).contains(at));
        Duration::from_micros(within.map(|(_, wait)| *wait).max().unwrap_or_default())
    }

    /// The bytes handed to links in a time.
    pub fn bytes(&self, from: Duration, until: Duration) -> u64 {
        Self::sum(&self.bytes, from, until)
    }

    /// The messages handed to links in a time.
    pub fn messages(&self, from: Duration, until: Duration) -> u64 {
        Self::sum(&self.messages, from, until)
    }

    /// The links opened in a time.
    pub fn opened(&self, from: Duration, until: Duration) -> u64 {
        Self::sum(&self.opened, from, until)
    }

    /// The links that an end gave up in a time.
    pub fn closed(&self, from: Duration, until: Duration) -> u64 {
        Self::sum(&self.closed, from, until)
    }
}

impl JobSystem {
    /// What the links have carried.
    pub fn link_record(&self) -> &LinkRecord {
        &self.link_record
    }

    /// Sends a message; it arrives as `act`.
    pub(super) fn transmit<M: Encode>(
        &mut self,
        session: SessionId,
        is_to_side: bool,
        message: &M,
        act: Act,
    ) {
        if self.silenced.contains(&session) {
            return;
        }
        let bytes = wire_size(message);
        self.link_record.note_message(self.now, bytes);
        let place = self.sessions.get(&session).copied();
        let Some((entry, _)) = place.filter(|_| self.settings.entry_link.is_some()) else {
            let at = self.arrival(session, is_to_side);
            self.schedule.add(at, act);
            return;
        };
        let queued = self.now;
        let pipe = self.pipe(entry, is_to_side);
        let queue = pipe.queues.entry(session).or_default();
        let is_first = queue.is_empty();
        queue.push_back(Waiting {
            act,
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

    /// What still waits on a closed session is not sent.
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
            let sent = Act::SegmentSent {
                entry,
                is_to_side,
                session,
                bytes,
            };
            let is_throttled = self.throttled_until[entry] > self.now;
            let rate = if is_throttled { rate / 10 } else { rate };
            self.later(bytes * 1_000_000 / rate.max(1), sent);
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
        let mut whole = None;
        if let Some(queue) = pipe.queues.get_mut(&session) {
            if let Some(first) = queue.front_mut() {
                first.left = first.left.saturating_sub(bytes);
            }
            if queue.front().is_some_and(|first| first.left == 0) {
                whole = queue.pop_front();
            }
            if !queue.is_empty() {
                pipe.turns.push_back(session);
            }
        }
        if let Some(message) = whole {
            if message.bytes <= SMALL_MESSAGE {
                self.link_record
                    .note_wait(self.now, self.now - message.queued);
            }
            let at = self.arrival(session, is_to_side);
            self.schedule.add(at, message.act);
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
