use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::sync::{Notify, Semaphore};
use tokio::task::{JoinHandle, yield_now};

/// Number of reads from callers, and of accepted connections, between two rounds of the process's other work.
const READS_PER_TURN: usize = 16;

/// Shares the processor between callers that always have bytes ready and the other work of the process: after a fixed
/// number of reads, no connection of the listener is read until all other tasks that are ready have run.
///
/// Connections that wait are served in the order in which they came.
#[derive(Debug)]
pub(super) struct ReadTurns {
    shared: Arc<Shared>,
    refilling: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    reads: Semaphore,
    are_spent: Notify,
}

impl Shared {
    /// Takes one read if there is one.
    fn try_take(&self) -> bool {
        let Ok(read) = self.reads.try_acquire() else {
            return false;
        };
        read.forget();
        self.refill_if_spent();
        true
    }

    /// Waits for a read. Reads are not limited any more once the listener is gone.
    async fn take(self: Arc<Self>) {
        self.refill_if_spent();
        if let Ok(read) = self.reads.acquire().await {
            read.forget();
            self.refill_if_spent();
        }
    }

    fn refill_if_spent(&self) {
        if self.reads.available_permits() == 0 {
            self.are_spent.notify_one();
        }
    }
}

impl ReadTurns {
    pub(super) fn start() -> Self {
        let shared = Arc::new(Shared {
            reads: Semaphore::new(READS_PER_TURN),
            are_spent: Notify::new(),
        });
        let refilled = Arc::clone(&shared);
        let refilling = tokio::spawn(async move {
            loop {
                refilled.are_spent.notified().await;
                yield_now().await;
                let spent = READS_PER_TURN.saturating_sub(refilled.reads.available_permits());
                refilled.reads.add_permits(spent);
            }
        });
        Self { shared, refilling }
    }

    /// Returns the turns of one connection.
    pub(super) fn connection(&self) -> ConnectionTurns {
        ConnectionTurns {
            shared: Arc::clone(&self.shared),
            waiting: None,
            has_turn: false,
        }
    }
}

impl Drop for ReadTurns {
    fn drop(&mut self) {
        // Connections outlive the listener.
        self.shared.reads.close();
        self.refilling.abort();
    }
}

type Waiting = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Turns of one connection.
pub(super) struct ConnectionTurns {
    shared: Arc<Shared>,
    waiting: Option<Waiting>,
    has_turn: bool,
}

impl ConnectionTurns {
    /// Waits for a turn, which lasts until [`ConnectionTurns::end`].
    pub(super) fn poll_turn(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.has_turn {
            return Poll::Ready(());
        }
        if self.waiting.is_none() && self.shared.try_take() {
            self.has_turn = true;
            return Poll::Ready(());
        }
        let shared = &self.shared;
        let waiting = self
            .waiting
            .get_or_insert_with(|| Box::pin(Arc::clone(shared).take()));
        ready!(waiting.as_mut().poll(cx));
        self.waiting = None;
        self.has_turn = true;
        Poll::Ready(())
    }

    /// Ends the turn, after bytes were read.
    pub(super) fn end(&mut self) {
        self.has_turn = false;
    }

    /// Waits for a turn and ends it.
    pub(super) async fn pass(&mut self) {
        std::future::poll_fn(|cx| self.poll_turn(cx)).await;
        self.end();
    }
}
