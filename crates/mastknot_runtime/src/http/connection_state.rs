use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::RequestLimits;
use super::limits::MAX_HEAD_BYTES;

/// Time that bytes may be on their way, by which a connection may exceed its times.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(250);
/// Time for the last answer of a connection that has to go.
const LAST_ANSWER_TIME: Duration = Duration::from_secs(1);

/// Size of the blocks in which a body is kept until it is whole, in bytes. Blocks of one size leave no gaps in memory.
const BLOCK_BYTES: usize = 4_096;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The first byte of a head.
    Resting,
    /// The end of a head.
    Head,
    /// The end of a body.
    Body,
    /// The answer to a whole request, or its handler while the body is not read.
    Answer,
    /// The end of the connection: its last answer is on the way.
    Closing,
}

/// What a connection holds beside its base, and since when.
#[derive(Clone, Copy, Debug)]
pub(super) struct Held {
    pub(super) bytes: usize,
    pub(super) since: Instant,
}

/// State of one connection, shared by its task, its handlers and the table of connections.
#[derive(Debug)]
pub(super) struct ConnectionState {
    id: u64,
    inner: Mutex<Inner>,
    evicted: Notify,
}

#[derive(Debug)]
struct Inner {
    phase: Phase,
    since: Instant,
    /// Bytes that this connection is charged with, beside the base of each connection.
    charged: usize,
    /// The part of the charge for the buffer of a head.
    head_charged: usize,
    head_bytes: usize,
    /// Whether a part of the next head may have arrived with the request before.
    may_have_buffered_head: bool,
    /// When the connection may be closed for others although its request has arrived whole.
    may_end_from: Option<Instant>,
    /// Parts of the body that have arrived.
    body: Vec<BytesMut>,
    is_evicted: bool,
    is_head_too_long: bool,
    is_without_memory: bool,
    has_unread_body: bool,
    is_ended_by_peer: bool,
}

impl ConnectionState {
    pub(super) fn new(id: u64) -> Self {
        let inner = Inner {
            phase: Phase::Resting,
            since: now(),
            charged: 0,
            head_charged: 0,
            head_bytes: 0,
            may_have_buffered_head: false,
            may_end_from: None,
            body: Vec::new(),
            is_evicted: false,
            is_head_too_long: false,
            is_without_memory: false,
            has_unread_body: false,
            is_ended_by_peer: false,
        };
        Self {
            id,
            inner: Mutex::new(inner),
            evicted: Notify::new(),
        }
    }

    pub(super) fn id(&self) -> u64 {
        self.id
    }

    pub(super) fn phase(&self) -> Phase {
        self.lock().phase
    }

    /// Waits until this connection has to make room for others.
    pub(super) async fn wait_evicted(&self) {
        loop {
            // A notification between the check and the wait must not be lost.
            let notified = self.evicted.notified();
            if self.is_evicted() {
                return;
            }
            notified.await;
        }
    }

    pub(super) fn is_evicted(&self) -> bool {
        self.lock().is_evicted
    }

    /// Returns what the connection holds, and since when it may be closed for others, if it may be.
    pub(super) fn held_since(&self, at: Instant) -> Option<Held> {
        let inner = self.lock();
        let since = match inner.phase {
            Phase::Answer => inner.may_end_from.filter(|from| *from <= at)?,
            Phase::Resting | Phase::Head | Phase::Body | Phase::Closing => inner.since,
        };
        Some(Held {
            bytes: inner.charged,
            since,
        })
    }

    /// Allows to close the connection for others from a time on, although its request has arrived whole.
    pub(super) fn allow_end_from(&self, from: Option<Instant>) {
        self.lock().may_end_from = from;
    }

    /// Marks the connection as one that has to go and frees what has arrived of a body. Returns what it was charged
    /// with.
    pub(super) fn evict(&self) -> usize {
        let mut inner = self.lock();
        inner.is_evicted = true;
        inner.body = Vec::new();
        let charged = std::mem::take(&mut inner.charged);
        drop(inner);
        self.evicted.notify_waiters();
        charged
    }

    pub(super) fn add_charge(&self, bytes: usize) {
        self.lock().charged += bytes;
    }

    /// Takes back at most `bytes` of the charge. Returns how many were taken back.
    pub(super) fn remove_charge(&self, bytes: usize) -> usize {
        let mut inner = self.lock();
        let removed = bytes.min(inner.charged);
        inner.charged -= removed;
        removed
    }

    /// Returns by how many bytes the charge for the buffer of a head has to grow for a limit, and records it as grown.
    pub(super) fn grow_head_charge(&self, limits: &RequestLimits) -> usize {
        let mut inner = self.lock();
        let wanted = limits.head_bytes.min(MAX_HEAD_BYTES);
        let missing = wanted.saturating_sub(inner.head_charged);
        inner.head_charged += missing;
        missing
    }

    /// Returns how many bytes may be read now; `None` if the head is longer than allowed.
    pub(super) fn allowed_read(&self, limits: &RequestLimits) -> Option<usize> {
        let mut inner = self.lock();
        if !matches!(inner.phase, Phase::Resting | Phase::Head) {
            return Some(usize::MAX);
        }
        let limit = limits.head_bytes.min(MAX_HEAD_BYTES);
        if inner.head_bytes < limit {
            return Some(limit - inner.head_bytes);
        }
        inner.is_head_too_long = true;
        None
    }

    /// Records bytes that were read.
    pub(super) fn record_read(&self, bytes: usize) {
        let mut inner = self.lock();
        match inner.phase {
            Phase::Resting => {
                inner.phase = Phase::Head;
                inner.since = now();
                inner.head_bytes = bytes;
            }
            Phase::Head => inner.head_bytes += bytes,
            Phase::Body | Phase::Answer | Phase::Closing => inner.may_have_buffered_head = true,
        }
    }

    pub(super) fn record_peer_end(&self) {
        self.lock().is_ended_by_peer = true;
    }

    /// Records that a head of `head_bytes` bytes is whole. Returns whether its size was checked while it arrived: not
    /// if a part of it may have arrived with the request before.
    pub(super) fn start_request(&self, head_bytes: usize, has_body: bool) -> bool {
        let mut inner = self.lock();
        inner.phase = Phase::Answer;
        inner.may_end_from = None;
        inner.has_unread_body = has_body;
        let has_size_checked = !inner.may_have_buffered_head;
        let has_more_arrived = inner.head_bytes != head_bytes;
        inner.may_have_buffered_head |= has_body || has_more_arrived;
        inner.head_bytes = 0;
        has_size_checked
    }

    pub(super) fn start_body(&self) {
        self.lock().phase = Phase::Body;
    }

    /// Returns how many bytes of blocks the body needs beyond those that it has, to append `length` bytes.
    pub(super) fn missing_block_bytes(&self, length: usize) -> usize {
        let free = self.lock().body.last().map_or(0, free_bytes);
        length.saturating_sub(free).next_multiple_of(BLOCK_BYTES)
    }

    /// Appends to the part of the body that has arrived, unless the connection has to go.
    pub(super) fn append(&self, data: &[u8]) {
        let mut inner = self.lock();
        if inner.is_evicted {
            return;
        }
        let mut rest = data;
        while !rest.is_empty() {
            match inner.body.last_mut().filter(|block| free_bytes(block) > 0) {
                Some(block) => {
                    let (part, later) = rest.split_at(rest.len().min(free_bytes(block)));
                    block.extend_from_slice(part);
                    rest = later;
                }
                None => inner.body.push(BytesMut::with_capacity(BLOCK_BYTES)),
            }
        }
    }

    /// Ends the body and returns what has arrived of it.
    pub(super) fn end_body(&self) -> Bytes {
        let mut inner = self.lock();
        inner.phase = Phase::Answer;
        inner.has_unread_body = false;
        let mut blocks = std::mem::take(&mut inner.body);
        match blocks.len() {
            1 => blocks.remove(0).freeze(),
            _ => Bytes::from(blocks.concat()),
        }
    }

    /// Records that the request is refused before its body is whole.
    pub(super) fn refuse_body(&self) {
        self.start_closing();
        self.lock().body = Vec::new();
    }

    /// Records that a request was answered.
    pub(super) fn end_request(&self) {
        let mut inner = self.lock();
        if inner.phase != Phase::Closing {
            inner.phase = Phase::Resting;
        }
        inner.since = now();
    }

    /// Returns the time at which the connection is to be closed by its limits.
    pub(super) fn deadline(&self, limits: &RequestLimits) -> Option<Instant> {
        let inner = self.lock();
        let time = match inner.phase {
            Phase::Resting => limits.idle_time + TRANSIT_ALLOWANCE,
            Phase::Head => limits.head_time + TRANSIT_ALLOWANCE,
            Phase::Closing => LAST_ANSWER_TIME,
            Phase::Body | Phase::Answer => return None,
        };
        inner.since.checked_add(time)
    }

    /// Records that a head is longer than allowed.
    pub(super) fn refuse_head(&self) {
        self.start_closing();
        self.lock().is_head_too_long = true;
    }

    /// Records that there is no memory for a head.
    pub(super) fn refuse_memory(&self) {
        self.lock().is_without_memory = true;
    }

    /// Records that only the end of the connection is waited for.
    pub(super) fn start_closing(&self) {
        let mut inner = self.lock();
        inner.phase = Phase::Closing;
        inner.since = now();
    }

    pub(super) fn is_without_memory(&self) -> bool {
        self.lock().is_without_memory
    }

    pub(super) fn is_head_too_long(&self) -> bool {
        self.lock().is_head_too_long
    }

    /// Returns whether the other end may still be sending a request that was refused.
    pub(super) fn is_cut_short(&self) -> bool {
        let inner = self.lock();
        !inner.is_ended_by_peer && (inner.has_unread_body || inner.is_head_too_long)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn free_bytes(block: &BytesMut) -> usize {
    BLOCK_BYTES - block.len()
}

/// Returns the time by which the limits of connections are judged. It stands still while the VM is suspended, as
/// callers' bytes do.
#[allow(clippy::disallowed_methods, reason = "no lease depends on it")]
pub(super) fn now() -> Instant {
    Instant::now()
}
