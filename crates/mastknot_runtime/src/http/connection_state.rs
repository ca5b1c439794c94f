use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::RequestLimits;
use super::limits::MAX_HEAD_BYTES;

/// Time that bytes may be on their way, by which a connection may exceed its times.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(250);
/// Time for the last answer of a connection that has to go.
const LAST_ANSWER_TIME: Duration = Duration::from_secs(1);

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The first byte of a head.
    Resting,
    /// The end of a head.
    Head,
    /// The answer to a request whose head is whole.
    Answer,
    /// The end of the connection: its last answer is on the way.
    Closing,
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
    head_bytes: usize,
    /// Whether a part of the next head may have arrived with the request before.
    may_have_buffered_head: bool,
    /// When the connection may be closed for others although its head has arrived whole.
    may_end_from: Option<Instant>,
    is_evicted: bool,
    is_head_too_long: bool,
    is_ended_by_peer: bool,
}

impl ConnectionState {
    pub(super) fn new(id: u64) -> Self {
        let inner = Inner {
            phase: Phase::Resting,
            since: now(),
            head_bytes: 0,
            may_have_buffered_head: false,
            may_end_from: None,
            is_evicted: false,
            is_head_too_long: false,
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

    /// Returns since when the connection may be closed for others, if it may be.
    pub(super) fn may_end_since(&self, at: Instant) -> Option<Instant> {
        let inner = self.lock();
        match inner.phase {
            Phase::Answer => inner.may_end_from.filter(|from| *from <= at),
            Phase::Resting | Phase::Head | Phase::Closing => Some(inner.since),
        }
    }

    /// Allows to close the connection for others from a time on, although its head has arrived whole.
    pub(super) fn allow_end_from(&self, from: Option<Instant>) {
        self.lock().may_end_from = from;
    }

    /// Marks the connection as one that has to go.
    pub(super) fn evict(&self) {
        self.lock().is_evicted = true;
        self.evicted.notify_waiters();
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
            Phase::Answer | Phase::Closing => inner.may_have_buffered_head = true,
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
        let has_size_checked = !inner.may_have_buffered_head;
        let has_more_arrived = inner.head_bytes != head_bytes;
        inner.may_have_buffered_head |= has_body || has_more_arrived;
        inner.head_bytes = 0;
        has_size_checked
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
            Phase::Answer => return None,
        };
        inner.since.checked_add(time)
    }

    /// Records that a head is longer than allowed.
    pub(super) fn refuse_head(&self) {
        self.start_closing();
        self.lock().is_head_too_long = true;
    }

    /// Records that only the end of the connection is waited for.
    pub(super) fn start_closing(&self) {
        let mut inner = self.lock();
        inner.phase = Phase::Closing;
        inner.since = now();
    }

    pub(super) fn is_head_too_long(&self) -> bool {
        self.lock().is_head_too_long
    }

    /// Returns whether the other end may still be sending a request that was refused.
    pub(super) fn is_cut_short(&self) -> bool {
        let inner = self.lock();
        !inner.is_ended_by_peer && inner.is_head_too_long
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the time by which the limits of connections are judged. It stands still while the VM is suspended, as
/// callers' bytes do.
#[allow(clippy::disallowed_methods, reason = "no lease depends on it")]
pub(super) fn now() -> Instant {
    Instant::now()
}
