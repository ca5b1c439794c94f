//! A side that starts while the store gives no answer.
//!
//! What callers would see: after a loss of all processes beside a store that is away for a moment, nothing is served until
//! each target's own next report.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use mastknot_core::agent::{AgentSettings, OrderOutcome, ProbeFailure, TargetView};
use mastknot_core::job::{Capacity, TargetId, TargetProfile};
use mastknot_runtime::{
    Clock, KnownRevision, SharedChanges, SharedCheck, SharedItem, SharedLease, SharedList,
    SharedStore, SharedStoreError, SharedWrite,
};
use mastknot_side::{
    AgentNode, AgentParts, ProbeCall, StartCall, StopCall, TargetPort, remember_target,
};
use mastknot_wire::encode_frame;
use tokio::sync::watch;

const KEY: &str = "targets/side-1";
const LIMIT: Duration = Duration::from_secs(20);
/// The bytes of a frame's length, which the store's value goes without.
const LENGTH_BYTES: usize = 4;

/// A store that turns its first calls away.
#[derive(Clone)]
struct AwayAtFirst {
    value: Vec<u8>,
    calls_left: Arc<AtomicUsize>,
}

impl AwayAtFirst {
    fn is_away(&self) -> bool {
        let one_less = |left: usize| left.checked_sub(1);
        let left = &self.calls_left;
        left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, one_less)
            .is_ok()
    }
}

const TURNED_AWAY: SharedStoreError = SharedStoreError::TurnedAway { status: 503 };

impl SharedStore for AwayAtFirst {
    async fn read(&self, key: &str) -> Result<Option<SharedItem>, SharedStoreError> {
        if self.is_away() {
            return Err(TURNED_AWAY);
        }
        Ok(Some(SharedItem {
            key: key.to_owned(),
            value: Some(self.value.clone()),
            revision: 1,
        }))
    }

    async fn check(&self, _: &[KnownRevision]) -> Result<SharedCheck, SharedStoreError> {
        Err(TURNED_AWAY)
    }

    async fn list(&self, _: &str) -> Result<SharedList, SharedStoreError> {
        Err(TURNED_AWAY)
    }

    async fn watch(&self, _: &str, _: u64, _: Duration) -> Result<SharedChanges, SharedStoreError> {
        Err(TURNED_AWAY)
    }

    async fn grant(&self, _: Duration) -> Result<SharedLease, SharedStoreError> {
        Err(TURNED_AWAY)
    }

    async fn renew(&self, _: SharedLease) -> Result<bool, SharedStoreError> {
        Err(TURNED_AWAY)
    }

    async fn revoke(&self, _: SharedLease) -> Result<(), SharedStoreError> {
        Err(TURNED_AWAY)
    }

    async fn write_leased(
        &self,
        _: &str,
        _: &[u8],
        _: SharedLease,
        _: Option<u64>,
    ) -> Result<SharedWrite, SharedStoreError> {
        Err(TURNED_AWAY)
    }
}

/// A target that shows which life of it the looks name.
#[derive(Clone)]
struct NamedTarget(watch::Sender<Option<TargetId>>);

impl TargetPort for NamedTarget {
    async fn start(&self, _: StartCall) -> OrderOutcome {
        OrderOutcome::NoAnswer
    }

    async fn stop(&self, _: StopCall) -> bool {
        false
    }

    async fn probe(&self, call: ProbeCall) -> Result<TargetView, ProbeFailure> {
        if call.target.is_some() {
            self.0.send_replace(call.target);
        }
        Err(ProbeFailure::Silent)
    }
}

fn remembered() -> TargetProfile {
    TargetProfile {
        id: TargetId::named("worker-1"),
        service: "orders".into(),
        capacity: Capacity::default(),
        labels: Vec::new(),
    }
}

#[tokio::test]
async fn a_side_asks_again_until_the_store_answers() {
    let mut frame = bytes::BytesMut::new();
    encode_frame(&remembered(), &mut frame).expect("a frame");
    let store = AwayAtFirst {
        value: frame[LENGTH_BYTES..].to_vec(),
        calls_left: Arc::new(AtomicUsize::new(2)),
    };
    let (named, mut names) = watch::channel(None);
    let clock = Clock::start();
    let settings = AgentSettings::new("side-1".into(), clock.incarnation(), "hall-1".into());
    let node = AgentNode::start(AgentParts {
        settings,
        clock,
        port: NamedTarget(named),
        first_entries: Vec::new(),
    });
    let memory = remember_target(node.clone(), store, KEY.to_owned(), node.profiles());
    let memory = tokio::spawn(memory);
    let named = tokio::time::timeout(LIMIT, names.wait_for(Option::is_some)).await;
    let named = named.expect("the target is remembered").expect("a side");
    assert_eq!(*named, Some(remembered().id));
    memory.abort();
}
