//! Calls back at the moment that a core asked for.

use std::future::Future;

use mastknot_core::types::Moment;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::Clock;

/// A timer with one deadline that can be moved.
///
/// A deadline that moves later is not worth waking the timer's task for: it fires once too early,
/// and the core names the next deadline then.
#[derive(Debug)]
pub struct Ticker {
    clock: Clock,
    due: watch::Sender<Option<Moment>>,
    task: JoinHandle<()>,
}

impl Ticker {
    /// A ticker that calls `tick` each time its deadline passes.
    pub fn start<T, F>(clock: Clock, tick: T) -> Self
    where
        T: Fn() -> F + Send + Sync + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        let (due, moved) = watch::channel(None);
        let task = tokio::spawn(run(clock, moved, tick));
        Self { clock, due, task }
    }

    /// Moves the deadline.
    pub fn set(&self, due: Option<Moment>) {
        let now = self.clock.monotonic();
        self.due.send_if_modified(|held| {
            let is_soon_enough = held.is_some_and(|at| at > now && due.is_none_or(|due| at <= due));
            // A deadline that has passed is set again: the tick for it may have come too early.
            if is_soon_enough || (held.is_none() && due.is_none()) {
                return false;
            }
            *held = due;
            true
        });
    }
}

impl Drop for Ticker {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run<T, F>(clock: Clock, mut moved: watch::Receiver<Option<Moment>>, tick: T)
where
    T: Fn() -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let due = *moved.borrow_and_update();
        let Some(due) = due else {
            if moved.changed().await.is_err() {
                return;
            }
            continue;
        };
        tokio::select! {
            () = tokio::time::sleep_until(clock.instant(due)) => {
                tick().await;
                // The core names its next deadline when it has handled the tick.
                if moved.changed().await.is_err() {
                    return;
                }
            }
            changed = moved.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}
