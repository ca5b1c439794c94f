//! Watches: streams of JSON lines, one line for each change.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, stream};
use kameo::actor::ActorRef;
use serde_json::{Value, json};
use tokio::sync::watch;

use super::resource::Resource;
use crate::actor::{EntryActor, GetLive, Items, ListItems, Live, LiveKind};

/// Time without changes after which a watch sends a bookmark, so that its reader knows that the
/// watch is alive.
const BOOKMARK_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two reads of the decisions for a watch.
const DECISION_INTERVAL: Duration = Duration::from_millis(200);

fn line(value: &Value) -> Bytes {
    let mut text = value.to_string();
    text.push('\n');
    Bytes::from(text)
}

/// State of one watch of stored resources.
struct StoredWatch {
    actor: ActorRef<EntryActor>,
    versions: watch::Receiver<u64>,
    kind: String,
    /// Last version that was sent to the reader.
    after: u64,
}

/// Streams the changes of stored resources after a version, then each further change.
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
    /// Waits for the next changes and returns their lines with a bookmark, or a bookmark alone
    /// after [`BOOKMARK_INTERVAL`]; `None` if the entry has stopped.
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

/// Streams the decisions after a number, then each further decision.
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
            tokio::time::sleep(DECISION_INTERVAL).await;
        }
    })
}
