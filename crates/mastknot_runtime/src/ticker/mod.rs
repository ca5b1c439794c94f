//! Timer that calls a core back at the moment that the core requested.

use std::future::Future;

use mastknot_core::types::Moment;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::Clock;

/// A timer with one movable deadline.
///
/// Moving the deadline to a later moment does not wake the task of the timer, to save wake-ups. The timer then fires
/// once too early, and the core sets the next deadline.
#[derive(Debug)]
pub struct Ticker {
    clock: Clock,
    due: watch::Sender<Option<Moment>>,
    task: JoinHandle<()>,
}

impl Ticker {
    /// Starts a timer that calls `tick` each time its deadline passes.
    pub fn start<T, F>(clock: Clock, tick: T) -> Self
    where
        T: Fn() -> F + Send + Sync + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        let (due, moved) = watch::channel(None);
        let task = tokio::spawn(run(clock, moved, tick));
        Self { clock, due, task }
    }

    /// Sets the deadline; `None` means that no tick is due.
    pub fn set(&self, due: Option<Moment>) {
        let now = self.clock.monotonic();
        self.due.send_if_modified(|held| {
            let is_soon_enough = held.is_some_and(|at| at > now && due.is_none_or(|due| at <= due));
            // A deadline that has passed is set again, as its tick may have fired too early.
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
                // The core sets its next deadline while it handles the tick.
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
