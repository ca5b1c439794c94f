use std::future::pending;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Sleep, sleep};

use super::RequestLimits;
use super::connection_state::ConnectionState;

type Limits = watch::Receiver<RequestLimits>;

/// Time limit of what a connection waits for. It follows the connection and the limits in force.
pub(super) struct Deadline {
    state: Arc<ConnectionState>,
    limits: Limits,
    change: Pin<Box<dyn Future<Output = Limits> + Send>>,
    timer: Pin<Box<Sleep>>,
}

impl Deadline {
    pub(super) fn new(state: Arc<ConnectionState>, limits: Limits) -> Self {
        Self {
            state,
            change: Box::pin(next_change(limits.clone())),
            limits,
            timer: Box::pin(sleep(Duration::ZERO)),
        }
    }

    /// Returns ready when the time is over.
    pub(super) fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while let Poll::Ready(limits) = self.change.as_mut().poll(cx) {
            self.change = Box::pin(next_change(limits));
        }
        let deadline = self.state.deadline(&self.limits.borrow());
        let Some(deadline) = deadline else {
            return Poll::Pending;
        };
        if self.timer.deadline() != deadline {
            self.timer.as_mut().reset(deadline);
        }
        self.timer.as_mut().poll(cx)
    }
}

/// Waits for other limits; for ever if there can be none.
async fn next_change(mut limits: Limits) -> Limits {
    if limits.changed().await.is_err() {
        pending::<()>().await;
    }
    limits
}
