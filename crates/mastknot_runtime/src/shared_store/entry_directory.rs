use std::collections::BTreeMap;
use std::time::Duration;

use log::{info, warn};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::{SharedItem, SharedLease, SharedStore, SharedStoreError};

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
    loop {
        let Ok(list) = store.list(&settings.prefix).await else {
            sleep(settings.retry_pause).await;
            continue;
        };
        let mut entries = Directory::new();
        for item in list.items {
            apply(&settings.prefix, &mut entries, item);
        }
        publish(directory, &entries);
        follow_from(store, settings, directory, entries, list.revision).await;
    }
}

async fn follow_from<S: SharedStore>(
    store: &S,
    settings: &DirectorySettings,
    directory: &watch::Sender<Directory>,
    mut entries: Directory,
    mut after: u64,
) {
    // A watch that has been quiet for long is no proof: list again now and then.
    let limit = settings.watch_wait * 2;
    let watching = async {
        loop {
            match store
                .watch(&settings.prefix, after, settings.watch_wait)
                .await
            {
                Ok(changes) => {
                    after = after.max(changes.revision);
                    for item in changes.items {
                        apply(&settings.prefix, &mut entries, item);
                    }
                    publish(directory, &entries);
                }
                Err(SharedStoreError::HistoryGone) => return,
                Err(_) => sleep(settings.retry_pause).await,
            }
        }
    };
    let _ = timeout(limit, watching).await;
}

fn apply(prefix: &str, entries: &mut Directory, item: SharedItem) {
    let Some(name) = item.key.strip_prefix(prefix) else {
        return;
    };
    match item.value.map(String::from_utf8) {
        Some(Ok(value)) => {
            entries.insert(name.to_owned(), value);
        }
        Some(Err(_)) => {}
        None => {
            entries.remove(name);
        }
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
