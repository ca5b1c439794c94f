//! Calls back at the moment that a core asked for.

use std::future::Future;

use mastknot_core::types::Moment;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::Clock;

/// A timer with one deadline that can be moved.
#[derive(Debug)]
pub struct Ticker {
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
        Self { due, task }
    }

    /// Moves the deadline.
    pub fn set(&self, due: Option<Moment>) {
        self.due.send_if_modified(|held| {
            let is_moved = *held != due;
            *held = due;
            is_moved
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
