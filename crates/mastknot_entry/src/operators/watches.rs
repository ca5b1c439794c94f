//! Watches: lines of JSON that go on as things change.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, stream};
use kameo::actor::ActorRef;
use serde_json::{Value, json};
use tokio::sync::watch;

use super::resource::Resource;
use crate::actor::{EntryActor, GetLive, Items, ListItems, Live, LiveKind};

/// A watch without changes sends a bookmark this often, so that its reader knows that it lives.
const BOOKMARK_INTERVAL: Duration = Duration::from_secs(10);
/// How often live resources are looked at for a watch.
const LIVE_INTERVAL: Duration = Duration::from_millis(200);

fn line(value: &Value) -> Bytes {
    let mut text = value.to_string();
    text.push('\n');
    Bytes::from(text)
}

struct StoredWatch {
    actor: ActorRef<EntryActor>,
    versions: watch::Receiver<u64>,
    kind: String,
    after: u64,
}

/// The changes of stored resources after a version, then each further one.
pub(crate) fn watch_stored(
    actor: ActorRef<EntryActor>,
    versions: watch::Receiver<u64>,
    kind: String,
    after: u64,
) -> impl Stream<Item = Bytes> {
    let watch = StoredWatch {
        actor,
        versions,
        kind,
        after,
    };
    stream::unfold(watch, |mut watch| async move {
        let bytes = watch.next_lines().await?;
        Some((bytes, watch))
    })
}

impl StoredWatch {
    async fn next_lines(&mut self) -> Option<Bytes> {
        loop {
            self.versions.mark_unchanged();
            let list = ListItems {
                kind: self.kind.clone(),
                after: self.after,
            };
            let Items { version, items } = self.actor.ask(list).await.ok()?;
            if version > self.after {
                self.after = version;
                let lines: Vec<Bytes> = items.iter().map(event).collect();
                let bookmark = line(&json!({ "type": "BOOKMARK", "version": version }));
                return Some(Bytes::from([lines.concat(), bookmark.to_vec()].concat()));
            }
            let changed = tokio::time::timeout(BOOKMARK_INTERVAL, self.versions.changed()).await;
            match changed {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return None,
                Err(_) => {
                    let version = self.after;
                    return Some(line(&json!({ "type": "BOOKMARK", "version": version })));
                }
            }
        }
    }
}

fn event(item: &mastknot_core::message::ConfigItem) -> Bytes {
    let kind = if item.value.is_some() {
        "MODIFIED"
    } else {
        "DELETED"
    };
    line(&json!({ "type": kind, "object": Resource::from(item) }))
}

/// The decisions after a number, then each further one.
pub(crate) fn watch_decisions(
    actor: ActorRef<EntryActor>,
    after: u64,
) -> impl Stream<Item = Bytes> {
    stream::unfold((actor, after), |(actor, after)| async move {
        loop {
            let live = GetLive(LiveKind::Decisions { after });
            let Live(found) = actor.ask(live).await.ok()?;
            let decisions = found["decisions"].as_array().cloned().unwrap_or_default();
            let last = decisions
                .last()
                .and_then(|decision| decision["id"].as_u64());
            if let Some(last) = last {
                let lines: Vec<Bytes> = decisions.iter().map(line).collect();
                return Some((Bytes::from(lines.concat()), (actor, last)));
            }
            tokio::time::sleep(LIVE_INTERVAL).await;
        }
    })
}
