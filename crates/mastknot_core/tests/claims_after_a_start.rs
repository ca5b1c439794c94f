//! Claims at a side that has just started: it has lost its record of which entry owned which job, so it grants claims
//! of earlier owners first.

mod common;

use std::net::SocketAddr;

use common::side::*;
use mastknot_core::agent::{AgentEffect, AgentEvent, SessionId};
use mastknot_core::job::{
    ClaimAnswer, EntryOrder, JobClaim, JobId, KnownEntry, SideReport, TargetId,
};

/// Time at which the side's target is known, in milliseconds. An entry that has been silent since then counts as
/// silent at [`SILENT`].
const SETTLED: u64 = 3;
const SILENT: u64 = SETTLED + 350;

/// Returns a side that has just started and is linked to two entries.
fn started() -> Side {
    let mut side = Side::unknown();
    let effects = side.step(0, AgentEvent::Tick);
    let effects = side.answer_probe(1, &effects, 1_000, Vec::new());
    side.answer_probe(SETTLED, &effects, 1_002, Vec::new());
    side.step(4, AgentEvent::TargetReported(report("target-1", 1)));
    assert_eq!(
        side.agent.target().map(|target| &target.id),
        Some(&TargetId::named("target-1"))
    );
    side.join(10, ENTRY, "entry-1", 1);
    side.join(10, OTHER, "entry-2", 1);
    side
}

fn know_entries(side: &mut Side, ms: u64, names: &[&str]) {
    let known = names.iter().map(|name| KnownEntry {
        name: (*name).into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
    });
    side.step(ms, AgentEvent::EntriesFound(known.collect()));
}

fn claim(job: u64, is_reclaim: bool) -> EntryOrder {
    EntryOrder::Claim(JobClaim {
        job: JobId(job),
        term_ms: 2_000,
        is_reclaim,
    })
}

/// Sends a heartbeat of an entry that acknowledges all reports sent so far.
fn acknowledge_all(side: &mut Side, ms: u64, session: SessionId) -> Vec<AgentEffect> {
    let heartbeat = EntryOrder::Heartbeat {
        last_received: u64::MAX,
        need: None,
        update: None,
    };
    side.order(ms, session, heartbeat)
}

/// Returns the side's answers to claims: link, job, and whether the claim was granted.
fn claim_answers(effects: &[AgentEffect]) -> Vec<(SessionId, u64, bool)> {
    let claim_answers = effects.iter().filter_map(|effect| match effect {
        AgentEffect::Send {
            session,
            report: SideReport::Claim { job, answer },
        } => Some((*session, job.0, *answer == ClaimAnswer::Granted)),
        _ => None,
    });
    claim_answers.collect()
}

/// Returns the links on which the side announces that it accepts claims of new jobs.
fn links_open_to_new_claims(effects: &[AgentEffect]) -> Vec<SessionId> {
    let links_open_to_new_claims = effects.iter().filter_map(|effect| match effect {
        AgentEffect::Send {
            session,
            report: SideReport::TakesClaims,
        } => Some(*session),
        _ => None,
    });
    links_open_to_new_claims.collect()
}

#[test]
fn a_job_that_an_entry_had_is_granted_before_one_that_asks_first() {
    let mut side = started();
    assert_eq!(claim_answers(&side.order(20, OTHER, claim(7, false))), []);
    let effects = side.order(21, ENTRY, claim(7, true));
    assert_eq!(claim_answers(&effects), [(ENTRY, 7, true)]);
    acknowledge_all(&mut side, 200, ENTRY);
    acknowledge_all(&mut side, 200, OTHER);
    let effects = side.step(SILENT, AgentEvent::Tick);
    assert_eq!(claim_answers(&effects), [(OTHER, 7, false)]);
}

#[test]
fn a_new_job_is_granted_once_a_silent_entry_would_have_lost_its_lease() {
    let mut side = started();
    side.order(20, ENTRY, claim(7, false));
    acknowledge_all(&mut side, 200, ENTRY);
    assert_eq!(
        links_open_to_new_claims(&side.step(SILENT - 1, AgentEvent::Tick)),
        []
    );
    let effects = side.step(SILENT, AgentEvent::Tick);
    assert_eq!(links_open_to_new_claims(&effects), [ENTRY, OTHER]);
    assert_eq!(claim_answers(&effects), [(ENTRY, 7, true)]);
    let effects = side.order(SILENT + 1, ENTRY, claim(8, false));
    assert_eq!(claim_answers(&effects), [(ENTRY, 8, true)]);
}

#[test]
fn new_jobs_are_granted_as_soon_as_all_known_entries_have_claimed_theirs() {
    let mut side = started();
    know_entries(&mut side, 15, &["entry-1", "entry-2"]);
    assert_eq!(
        links_open_to_new_claims(&acknowledge_all(&mut side, 20, ENTRY)),
        []
    );
    assert_eq!(
        links_open_to_new_claims(&acknowledge_all(&mut side, 25, OTHER)),
        [ENTRY, OTHER]
    );
    let effects = side.order(26, ENTRY, claim(7, false));
    assert_eq!(claim_answers(&effects), [(ENTRY, 7, true)]);
}

#[test]
fn an_entry_that_is_known_and_not_linked_is_waited_for() {
    let mut side = started();
    know_entries(&mut side, 15, &["entry-1", "entry-2", "entry-3"]);
    acknowledge_all(&mut side, 20, ENTRY);
    assert_eq!(
        links_open_to_new_claims(&acknowledge_all(&mut side, 25, OTHER)),
        []
    );
    assert_eq!(
        links_open_to_new_claims(&side.step(SILENT, AgentEvent::Tick)),
        [ENTRY, OTHER]
    );
}

#[test]
fn a_claim_that_came_too_early_and_is_released_is_granted_to_nobody() {
    let mut side = started();
    side.order(20, ENTRY, claim(7, false));
    side.order(21, ENTRY, EntryOrder::ReleaseClaim(JobId(7)));
    side.order(22, OTHER, claim(8, false));
    side.step(23, AgentEvent::LinkDown { session: OTHER });
    let effects = side.step(SILENT, AgentEvent::Tick);
    assert_eq!(claim_answers(&effects), []);
    assert_eq!(side.agent.claimed_jobs(), 0);
}

#[test]
fn an_entry_that_links_later_learns_whether_new_jobs_are_granted() {
    let takes_claims = |effects: &[AgentEffect]| {
        effects.iter().find_map(|effect| match effect {
            AgentEffect::Send {
                report: SideReport::Resume { takes_claims, .. },
                ..
            } => Some(*takes_claims),
            _ => None,
        })
    };
    let mut side = started();
    let third = SessionId(3);
    let effects = side.join(100, third, "entry-3", 1);
    assert_eq!(takes_claims(&effects), Some(false));
    side.step(SILENT, AgentEvent::Tick);
    let effects = side.join(SILENT + 10, third, "entry-3", 1);
    assert_eq!(takes_claims(&effects), Some(true));
}
