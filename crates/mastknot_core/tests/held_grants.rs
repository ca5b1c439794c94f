//! Use and return of the capacity that sides grant to an entry.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::entry::*;
use mastknot_core::job::{
    CapacityGrant, EntryOrder, QueuePolicy, RankedWork, SideLoad, SideReport, SideStatus,
    WaitingNeed,
};
use mastknot_core::scheduler::{CallerId, SchedulerEffect, SchedulerEvent};
use mastknot_core::types::WallTime;

/// Submits a job of a ranked queue, which competes with other queues by priority.
fn submit(entry: &mut Entry, ms: u64, id: u64, tasks: u16, priority: u32) -> Vec<SchedulerEffect> {
    let policy = QueuePolicy {
        name: Arc::from("queue"),
        service: Arc::from("service"),
        priority,
        max_attempts: 2,
        stretch: 1.6,
        allowance: Duration::from_millis(60),
        is_ranked: true,
        version: 1,
    };
    let event = SchedulerEvent::Submit {
        caller: CallerId(id),
        job: job(id, tasks, 200),
        policy: Arc::new(policy),
        time_left: Duration::from_millis(2_000),
        wall: WallTime::from_millis(1_700_000_000_000),
    };
    entry.scheduler.step(at(ms), event)
}

/// Returns the needs in the heartbeats that are sent to sides.
fn needs(effects: &[SchedulerEffect]) -> Vec<&WaitingNeed> {
    let needs = effects.iter().filter_map(|effect| match effect {
        SchedulerEffect::Send {
            order: EntryOrder::Heartbeat { need, .. },
            ..
        } => need.as_ref(),
        _ => None,
    });
    needs.collect()
}

fn heartbeats(effects: &[SchedulerEffect]) -> usize {
    let sent = effects.iter().filter(|effect| {
        matches!(
            effect,
            SchedulerEffect::Send {
                order: EntryOrder::Heartbeat { .. },
                ..
            }
        )
    });
    sent.count()
}

fn grant(entry: &mut Entry, cpu_millis: u32, valid_ms: u32, is_offer: bool) -> SideReport {
    let grant = CapacityGrant {
        capacity: target_capacity(cpu_millis),
        valid_ms,
        ..CapacityGrant::default()
    };
    SideReport::Status(SideStatus {
        grant: Some(grant),
        is_offer,
        starts_included: u64::MAX,
        ..entry.next_status(cpu_millis)
    })
}

#[test]
fn waiting_work_is_reported_at_once_and_again_when_more_urgent_work_arrives() {
    let mut entry = Entry::with_sides(&[0, 0, 0]);
    let effects = submit(&mut entry, 100, 1, 4, 2);
    let reported = needs(&effects);
    assert!(!reported.is_empty(), "{effects:?}");
    assert_eq!(reported[0].by_rank.len(), 1);
    assert_eq!(reported[0].widest_job, reported[0].required_capacity);
    let effects = submit(&mut entry, 101, 2, 1, 1);
    let reported = needs(&effects);
    assert!(!reported.is_empty(), "more urgent work is reported");
    assert_eq!(reported[0].by_rank.len(), 2);
    let effects = submit(&mut entry, 102, 3, 1, 2);
    assert_eq!(needs(&effects).len(), 0, "less urgent work is not reported");
}

#[test]
fn a_grant_is_used_at_once_and_the_rest_returned() {
    let mut entry = Entry::with_sides(&[0]);
    submit(&mut entry, 100, 1, 1, 0);
    let report = grant(&mut entry, 8_000, 30, true);
    let effects = entry.reports(105, 0, vec![report]);
    assert_eq!(starts(&effects).len(), 1);
    assert_eq!(heartbeats(&effects), 1, "the rest is returned at once");
    let effects = submit(&mut entry, 106, 2, 1, 0);
    assert_eq!(starts(&effects).len(), 0, "returned capacity is not used");
}

#[test]
fn a_standing_grant_is_kept_for_the_next_job_until_it_expires() {
    let mut entry = Entry::with_sides(&[0]);
    submit(&mut entry, 100, 1, 1, 0);
    let report = grant(&mut entry, 8_000, 60, false);
    let effects = entry.reports(105, 0, vec![report]);
    assert_eq!(starts(&effects).len(), 1);
    let effects = submit(&mut entry, 164, 2, 1, 0);
    assert_eq!(starts(&effects).len(), 1);
    let effects = submit(&mut entry, 165, 3, 1, 0);
    assert_eq!(starts(&effects).len(), 0, "the grant has expired");
}

#[test]
fn the_load_of_a_side_is_stored_with_its_age() {
    let mut entry = Entry::with_sides(&[0]);
    submit(&mut entry, 100, 1, 2, 1);
    let waiting = vec![RankedWork {
        rank: 3,
        cpu_millis_ms: 1_000,
    }];
    let load = SideLoad {
        waiting,
        entries: 2,
        free_capacity_in_ms: 12,
    };
    let status = SideStatus {
        load: Some(load.clone()),
        ..entry.next_status(0)
    };
    entry.reports(110, 0, vec![SideReport::Status(status)]);
    let view = entry.scheduler.load_view(at(117));
    assert_eq!(view.sides.len(), 1);
    assert_eq!(view.sides[0].load, load);
    assert_eq!(view.sides[0].age, Duration::from_millis(7));
    assert_eq!(view.own_waiting.len(), 1);
}
