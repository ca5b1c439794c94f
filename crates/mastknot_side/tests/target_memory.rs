//! Start of a side while the store does not answer.
//!
//! Guards against a side that reads the stored profile of its target only once: after a loss of all
//! processes while the store is briefly unavailable, no job would be served until each target's
//! next report.

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
const TIMEOUT: Duration = Duration::from_secs(20);
/// Size of the length prefix of a frame, in bytes; the stored value omits the prefix.
const LENGTH_BYTES: usize = 4;

/// Store that rejects its first calls.
#[derive(Clone)]
struct RejectsFirstCalls {
    value: Vec<u8>,
    calls_left: Arc<AtomicUsize>,
}

impl RejectsFirstCalls {
    /// Counts a call and returns whether the store rejects it.
    fn rejects_call(&self) -> bool {
        let one_less = |left: usize| left.checked_sub(1);
        let left = &self.calls_left;
        left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, one_less)
            .is_ok()
    }
}

const REJECTED: SharedStoreError = SharedStoreError::TurnedAway { status: 503 };

impl SharedStore for RejectsFirstCalls {
    async fn read(&self, key: &str) -> Result<Option<SharedItem>, SharedStoreError> {
        if self.rejects_call() {
            return Err(REJECTED);
        }
        Ok(Some(SharedItem {
            key: key.to_owned(),
            value: Some(self.value.clone()),
            revision: 1,
        }))
    }

    async fn check(&self, _: &[KnownRevision]) -> Result<SharedCheck, SharedStoreError> {
        Err(REJECTED)
    }

    async fn list(&self, _: &str) -> Result<SharedList, SharedStoreError> {
        Err(REJECTED)
    }

    async fn watch(&self, _: &str, _: u64, _: Duration) -> Result<SharedChanges, SharedStoreError> {
        Err(REJECTED)
    }

    async fn grant(&self, _: Duration) -> Result<SharedLease, SharedStoreError> {
        Err(REJECTED)
    }

    async fn renew(&self, _: SharedLease) -> Result<bool, SharedStoreError> {
        Err(REJECTED)
    }

    async fn revoke(&self, _: SharedLease) -> Result<(), SharedStoreError> {
        Err(REJECTED)
    }

    async fn write_leased(
        &self,
        _: &str,
        _: &[u8],
        _: SharedLease,
        _: Option<u64>,
    ) -> Result<SharedWrite, SharedStoreError> {
        Err(REJECTED)
    }
}

/// Target that publishes the incarnation to which probes are addressed.
#[derive(Clone)]
struct ProbedTarget(watch::Sender<Option<TargetId>>);

impl TargetPort for ProbedTarget {
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

fn stored_profile() -> TargetProfile {
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
    encode_frame(&stored_profile(), &mut frame).expect("a frame");
    let store = RejectsFirstCalls {
        value: frame[LENGTH_BYTES..].to_vec(),
        calls_left: Arc::new(AtomicUsize::new(2)),
    };
    let (probed_sender, mut probed_ids) = watch::channel(None);
    let clock = Clock::start();
    let settings = AgentSettings::new("side-1".into(), clock.incarnation(), "hall-1".into());
    let node = AgentNode::start(AgentParts {
        settings,
        clock,
        port: ProbedTarget(probed_sender),
        first_entries: Vec::new(),
    });
    let remembering = remember_target(node.clone(), store, KEY.to_owned(), node.profiles());
    let remembering = tokio::spawn(remembering);
    let probed = tokio::time::timeout(TIMEOUT, probed_ids.wait_for(Option::is_some)).await;
    let probed = probed
        .expect("a probe names the stored target")
        .expect("the side runs");
    assert_eq!(*probed, Some(stored_profile().id));
    remembering.abort();
}
