//! Live resources as JSON: submissions, targets, entries, decisions, status and counters.

use kameo::message::{Context, Message};
use mastknot_core::decision::Decision;
use mastknot_core::types::WallTime;
use serde_json::{Value, json};

use super::EntryActor;
use super::messages::{Explain, GetLive, Live, LiveKind};

impl Message<GetLive> for EntryActor {
    type Reply = Live;

    async fn handle(&mut self, get: GetLive, _: &mut Context<Self, Self::Reply>) -> Live {
        Live(match get.0 {
            LiveKind::Jobs => to_json(&self.core.live_submissions()),
            LiveKind::Targets => {
                let now = self.shared.clock.monotonic();
                to_json(&self.core.side_status(now))
            }
            LiveKind::Entries => self.entries_json(),
            LiveKind::Decisions { after } => {
                let oldest = self.core.decisions().oldest();
                let records = self.core.decisions().since(after).map(decision_json);
                json!({ "oldest": oldest, "decisions": records.collect::<Vec<_>>() })
            }
            LiveKind::Status => to_json(&self.core.config_status()),
            LiveKind::Counters => self.counters_json(),
        })
    }
}

impl Message<Explain> for EntryActor {
    type Reply = Live;

    async fn handle(&mut self, explain: Explain, _: &mut Context<Self, Self::Reply>) -> Live {
        let records = self.core.decisions().of(explain.0).map(decision_json);
        Live(Value::Array(records.collect()))
    }
}

impl EntryActor {
    fn entries_json(&self) -> Value {
        let membership = self.core.membership();
        let me = &membership.me().id;
        let members = membership.roster().map(|roster| &roster.members);
        let entries = members.into_iter().flatten().map(|member| {
            json!({
                "name": member.id.name,
                "incarnation": member.id.incarnation,
                "hall": member.hall,
                "address": member.address,
                "is_connected": member.id == *me || membership.is_connected(&member.id.name),
                "is_self": member.id == *me,
            })
        });
        let now = self.shared.clock.monotonic();
        json!({
            "version": membership.version(),
            "is_fresh": membership.is_fresh(now),
            "is_proposing": membership.is_proposing(),
            "entries": entries.collect::<Vec<_>>(),
        })
    }

    fn counters_json(&self) -> Value {
        let links: serde_json::Map<String, Value> = self
            .shared
            .stats
            .counters()
            .into_iter()
            .map(|(name, count)| (name, json!(count)))
            .collect();
        let dispatcher = self.core.dispatcher();
        json!({
            "entry": self.core.counters(),
            "dispatch": self.core.dispatch_counters(),
            "store": self.shared.store.calls().to_json(),
            "links": links,
            "now": {
                "waiting": dispatcher.waiting(),
                "running": dispatcher.running(),
                "idle_credits": dispatcher.idle_credits(),
                "active": dispatcher.active(),
                "ledger_records": self.core.ledger().len(),
                "ledger_answer_bytes": self.core.ledger().answer_bytes(),
                "ledger_evicted": self.core.ledger().evicted(),
                "config_older_ignored": self.core.config().older_ignored(),
                "sides": self.sides.len(),
                "peers": self.peers.len(),
            },
        })
    }
}

fn to_json<T: serde::Serialize>(value: &T) -> Value {
    serde_json::to_value(value).unwrap_or(Value::Null)
}

fn decision_json(record: &(u64, WallTime, Decision)) -> Value {
    let (id, at, decision) = record;
    let mut value = to_json(decision);
    value["id"] = json!(id);
    value["at_ms"] = json!(at.as_millis());
    value
}
