use std::collections::BTreeMap;
use std::time::Duration;

use log::{info, warn};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until};

use super::directory_view::DirectoryView;
use super::{SharedLease, SharedStore, SharedStoreError};
use crate::Clock;

/// How long a watch of the entries usually waits. A connection may go silent for good, and a watch that has
/// nothing to say is silent too: only the answer at its end tells them apart. The list is read anew after two
/// such times, so an entry is missed for 8 s at most (50 s when a watch waited for 25 s), for 0.4 calls a second.
pub const DIRECTORY_WATCH_WAIT: Duration = Duration::from_secs(4);

/// What the directory of entries is set up with.
#[derive(Clone, Debug)]
pub struct DirectorySettings {
    /// All entries' keys begin so.
    pub prefix: String,
    /// The own entry: its key behind the prefix, and its value. None only reads the directory.
    pub own: Option<(String, String)>,
    /// How long an entry stays listed after its last renewal.
    pub lease_time: Duration,
    /// How long one watch waits.
    pub watch_wait: Duration,
    /// After a failed call.
    pub retry_pause: Duration,
    /// The process's clock.
    pub clock: Clock,
}

/// The listed entries: their names and values.
pub type Directory = BTreeMap<String, String>;

/// Keeps the own entry listed and the directory of all entries current.
pub async fn keep_directory<S: SharedStore>(
    store: S,
    settings: DirectorySettings,
    directory: watch::Sender<Directory>,
) {
    let listed = keep_listed(&store, &settings);
    let followed = follow(&store, &settings, &directory);
    tokio::join!(listed, followed);
}

async fn keep_listed<S: SharedStore>(store: &S, settings: &DirectorySettings) {
    let Some((name, value)) = &settings.own else {
        return;
    };
    let key = format!("{}{name}", settings.prefix);
    loop {
        match list_self(store, settings, &key, value).await {
            Ok(lease) => {
                info!(key = key.as_str(), lease = lease.id; "listed in the store");
                renew_while_valid(store, settings, lease).await;
                warn!(key = key.as_str(); "the lease at the store is over");
            }
            Err(_) => sleep(settings.retry_pause).await,
        }
    }
}

async fn list_self<S: SharedStore>(
    store: &S,
    settings: &DirectorySettings,
    key: &str,
    value: &str,
) -> Result<SharedLease, SharedStoreError> {
    let lease = store.grant(settings.lease_time).await?;
    loop {
        match store.write_leased(key, value.as_bytes(), lease).await {
            Ok(true) => return Ok(lease),
            Ok(false) => return Err(SharedStoreError::HistoryGone),
            // The same write again changes nothing if the first one was done.
            Err(SharedStoreError::NoAnswer { .. }) => sleep(settings.retry_pause).await,
            Err(error) => return Err(error),
        }
    }
}

async fn renew_while_valid<S: SharedStore>(
    store: &S,
    settings: &DirectorySettings,
    lease: SharedLease,
) {
    let usual = lease.time / 3;
    let mut pause = usual;
    loop {
        sleep(pause).await;
        pause = match store.renew(lease).await {
            Ok(true) => usual,
            Ok(false) => return,
            Err(_) => settings.retry_pause,
        };
    }
}

async fn follow<S: SharedStore>(
    store: &S,
    settings: &DirectorySettings,
    directory: &watch::Sender<Directory>,
) {
    let mut view = DirectoryView::default();
    loop {
        let Ok(list) = store.list(&settings.prefix).await else {
            view.note_failure();
            sleep(settings.retry_pause).await;
            continue;
        };
        let now = settings.clock.monotonic();
        view.note_success(now);
        let mut listed = DirectoryView::default();
        for item in list.items {
            listed.apply(now, &settings.prefix, item);
        }
        view.replace(now, listed.entries().clone());
        publish(directory, view.entries());
        follow_from(store, settings, directory, &mut view, list.revision).await;
    }
}

async fn follow_from<S: SharedStore>(
    store: &S,
    settings: &DirectorySettings,
    directory: &watch::Sender<Directory>,
    view: &mut DirectoryView,
    mut after: u64,
) {
    // A watch that has been quiet for long is no proof: list again now and then.
    let clock = &settings.clock;
    let ends = clock.monotonic() + settings.watch_wait * 2;
    while clock.monotonic() < ends {
        let watched = store.watch(&settings.prefix, after, settings.watch_wait);
        let next_change = async {
            match view.next_expiry() {
                Some(at) => sleep_until(clock.instant(at.min(ends))).await,
                None => sleep_until(clock.instant(ends)).await,
            }
        };
        let result = tokio::select! {
            result = watched => Some(result),
            () = next_change => None,
        };
        let now = settings.clock.monotonic();
        match result {
            Some(Ok(changes)) => {
                view.note_success(now);
                after = after.max(changes.revision);
                for item in changes.items {
                    view.apply(now, &settings.prefix, item);
                }
            }
            Some(Err(SharedStoreError::HistoryGone)) => return,
            Some(Err(_)) => {
                view.note_failure();
                sleep(settings.retry_pause).await;
            }
            None => {}
        }
        view.expire(clock.monotonic());
        publish(directory, view.entries());
    }
}

fn publish(directory: &watch::Sender<Directory>, entries: &Directory) {
    directory.send_if_modified(|held| {
        if held == entries {
            return false;
        }
        *held = entries.clone();
        true
    });
}
