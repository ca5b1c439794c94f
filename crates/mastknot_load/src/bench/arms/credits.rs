//! Runs the real entry and side cores in virtual time.

use std::time::Duration;

use mastknot_core::config::Profile;
use mastknot_core::dispatch::{DispatchCounters, JobOrder};
use mastknot_core::message::{Reply, SubmissionAnswer};
use mastknot_core::types::SubmissionKey;
use mastknot_virtual::{MessageKind, VirtualSystem};

use super::super::{BenchProfile, Outcome, Workload};

/// Time for rosters and configuration to settle before the first arrival.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Time after the last arrival during which answers are awaited.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(40);

/// Result of running a workload on the real cores.
#[derive(Debug)]
pub(crate) struct CreditsRun {
    pub(crate) outcomes: Vec<Outcome>,
    pub(crate) starts: u64,
    pub(crate) messages: u64,
    pub(crate) by_kind: Vec<(MessageKind, u64)>,
    pub(crate) refused: u64,
    pub(crate) counters: Vec<DispatchCounters>,
    pub(crate) violations: usize,
}

/// Runs a workload through entries and sides in virtual time.
#[allow(clippy::too_many_arguments)]
pub(crate) fn run_credits(
    profile: BenchProfile,
    policy: &Profile,
    order: JobOrder,
    sides: usize,
    slots: u16,
    workload: &Workload,
    entries: usize,
    issued_keys: bool,
) -> CreditsRun {
    let mut system = VirtualSystem::new(profile.delays(), 1);
    for index in 0..entries {
        let policy = policy.clone();
        system.add_entry(
            &format!("hall-{}", index % profile.halls() + 1),
            |settings| {
                let mut settings = settings.profile(policy);
                settings.job_order = order;
                settings
            },
        );
    }
    for index in 0..sides {
        system.add_side(&format!("hall-{}", index % profile.halls() + 1), slots);
    }
    system.write_resource("service", "run", r#"{"path":"/run","typical_ms":130}"#);
    system.run_for(SETTLE_TIME);
    let before = system.messages.clone();
    let start = system.now();
    let last = workload.arrivals.last().map_or(0, |arrival| arrival.at);
    let mut requests = Vec::new();
    for arrival in &workload.arrivals {
        let mut submission = arrival.submission.clone();
        let at = start + arrival.at;
        // Callers create the key when they send the submission, by their own clock.
        submission.key = SubmissionKey::new(system.wall_at(at), u128_of(submission.key));
        if issued_keys {
            submission.key = owned_key(&system, arrival.entry, submission.key, at);
        }
        requests.push(system.submit_at(at, arrival.entry, submission));
    }
    system.run_for(Duration::from_micros(last) + ANSWER_TIMEOUT);
    let mut refused = 0;
    let outcome = |request: &u64| {
        let submitted = system.request(*request);
        let reply = submitted.reply.as_ref();
        refused += u64::from(matches!(reply, Some((_, Reply::Refused(_)))));
        let response = reply.and_then(|(at, reply)| match reply {
            Reply::Answered(SubmissionAnswer::Complete(_)) => Some(at - submitted.sent_at),
            _ => None,
        });
        Outcome { response }
    };
    let outcomes: Vec<Outcome> = requests.iter().map(outcome).collect();
    let by_kind: Vec<(MessageKind, u64)> = system
        .messages
        .iter()
        .map(|(kind, count)| (kind, count - before.of(kind)))
        .collect();
    CreditsRun {
        outcomes,
        starts: system.audit.total_starts(),
        messages: by_kind.iter().map(|(_, count)| count).sum(),
        by_kind,
        refused,
        counters: (0..entries)
            .filter_map(|index| system.entry(index))
            .map(|core| core.dispatch_counters())
            .collect(),
        violations: system.audit.violations().len(),
    }
}

/// Returns a key that the entry owns, like a key that the entry would issue.
fn owned_key(system: &VirtualSystem, entry: usize, first: SubmissionKey, at: u64) -> SubmissionKey {
    let is_owned = |key: &SubmissionKey| {
        let core = system.entry(entry);
        core.is_some_and(|core| core.membership().holds(*key))
    };
    let random = u128_of(first);
    (0..1_000)
        .map(|offset| SubmissionKey::new(system.wall_at(at), random.wrapping_add(offset)))
        .find(is_owned)
        .unwrap_or(first)
}

fn u128_of(key: SubmissionKey) -> u128 {
    u128::from_be_bytes(key.to_bytes())
}
