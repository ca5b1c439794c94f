//! Transfer of the list of entries to a side: entries announce the list by digest, and the side requests it from one of
//! them at a time. Also the moment from which a reactivated link accepts starts.

mod common;

use common::side::*;
use mastknot_core::agent::{AgentEffect, AgentEvent, DialOrder, SessionId};
use mastknot_core::job::{
    ConfigDocument, DocumentPart, EndOfRun, EntryOrder, EntryUpdate, KnownEntry, LeaseTerms,
    NotRunCause, SideReport, directory_digest,
};

const THIRD: SessionId = SessionId(3);

fn entries(count: u16) -> Vec<KnownEntry> {
    let entry = |number| KnownEntry {
        name: format!("entry-{number}").as_str().into(),
        address: ([127, 0, 0, 1], 7_000 + number).into(),
    };
    (1..=count).map(entry).collect()
}

/// Returns a heartbeat that carries the digest of the entry's list.
fn heartbeat_with(list: &[KnownEntry]) -> EntryOrder {
    EntryOrder::Heartbeat {
        last_received: 0,
        need: None,
        update: Some(EntryUpdate {
            directory: directory_digest(list),
            ..EntryUpdate::default()
        }),
    }
}

/// Returns the links on which the side requested the list.
fn list_requests(effects: &[AgentEffect]) -> Vec<SessionId> {
    let sessions = effects.iter().filter_map(|effect| match effect {
        AgentEffect::Send {
            session,
            report: SideReport::FetchEntries,
        } => Some(*session),
        _ => None,
    });
    sessions.collect()
}

fn side_with_three_entries() -> Side {
    let mut side = Side::ready();
    side.join(1_000, OTHER, "entry-2", 1);
    side.join(1_000, THIRD, "entry-3", 1);
    side
}

#[test]
fn a_list_that_several_entries_announce_is_requested_once() {
    let mut side = side_with_three_entries();
    let list = entries(3);
    assert_eq!(
        list_requests(&side.order(1_010, ENTRY, heartbeat_with(&list))),
        [ENTRY]
    );
    assert_eq!(
        list_requests(&side.order(1_011, OTHER, heartbeat_with(&list))),
        []
    );
    let effects = side.order(1_020, ENTRY, EntryOrder::Entries(list.clone()));
    assert!(effects.contains(&AgentEffect::DialEntries(list.clone())));
    assert_eq!(
        list_requests(&side.order(1_021, THIRD, heartbeat_with(&list))),
        []
    );
}

#[test]
fn an_old_list_of_one_entry_does_not_override_the_others() {
    let mut side = side_with_three_entries();
    let (old, new) = (entries(2), entries(3));
    side.order(1_010, ENTRY, heartbeat_with(&new));
    side.order(1_010, OTHER, heartbeat_with(&new));
    side.order(1_020, ENTRY, EntryOrder::Entries(new.clone()));
    let effects = side.order(1_030, THIRD, heartbeat_with(&old));
    assert_eq!(list_requests(&effects), []);
}

/// An entry on standby announces a new list only after seconds: its earlier digest does not count against those of
/// the others.
#[test]
fn entries_on_standby_do_not_outvote_those_with_current_digests() {
    let mut side = side_with_three_entries();
    let (old, new) = (entries(2), entries(3));
    side.order(1_010, OTHER, heartbeat_with(&old));
    side.order(1_010, THIRD, heartbeat_with(&old));
    side.order(1_020, OTHER, EntryOrder::Entries(old));
    side.order(1_030, OTHER, EntryOrder::Standby);
    side.order(1_030, THIRD, EntryOrder::Standby);
    assert_eq!(
        list_requests(&side.order(1_040, ENTRY, heartbeat_with(&new))),
        [ENTRY]
    );
}

/// An entry that is disconnected from the store learns configuration versions from sides; on standby it would learn
/// of them only with the next heartbeat, seconds later.
#[test]
fn an_entry_on_standby_is_notified_at_once_of_a_version() {
    let mut side = side_with_three_entries();
    side.order(1_010, OTHER, EntryOrder::Standby);
    let update = EntryUpdate {
        config_version: 7,
        ..EntryUpdate::default()
    };
    let offer = EntryOrder::Heartbeat {
        last_received: 1,
        need: None,
        update: Some(update),
    };
    side.order(1_020, ENTRY, offer);
    side.step(1_230, AgentEvent::Tick);
    let part = DocumentPart {
        version: 7,
        offset: 0,
        total: 4,
        bytes: vec![1, 2, 3, 4].into(),
    };
    let mut effects = side.order(1_240, ENTRY, EntryOrder::DocumentPart(part));
    let held = side
        .agent
        .document()
        .map(|held: &ConfigDocument| held.version);
    assert_eq!(held, Some(7));
    effects.extend(side.step(1_281, AgentEvent::Tick));
    let versions = effects.iter().filter_map(|effect| match effect {
        AgentEffect::Send {
            session: OTHER,
            report: SideReport::Status(status),
        } => status.config_version,
        _ => None,
    });
    assert_eq!(versions.collect::<Vec<u64>>(), [7]);
}

/// Otherwise, when a fleet starts, each of 55 entries would exchange hellos with 240 sides at the same moment.
#[test]
fn of_many_entries_only_the_likely_ones_are_dialed_at_once() {
    let few = DialOrder::new(&"side-1".into(), &entries(16));
    assert_eq!((few.at_once.len(), few.later.len()), (16, 0));
    let many = DialOrder::new(&"side-1".into(), &entries(55));
    assert_eq!((many.at_once.len(), many.later.len()), (16, 39));
    let other = DialOrder::new(&"side-2".into(), &entries(55));
    assert_ne!(many.at_once, other.at_once);
}

#[test]
fn another_entry_is_asked_when_the_first_one_is_silent_or_gone() {
    let mut side = side_with_three_entries();
    let list = entries(3);
    side.order(1_010, ENTRY, heartbeat_with(&list));
    side.order(1_010, OTHER, heartbeat_with(&list));
    let link_down = AgentEvent::LinkDown { session: ENTRY };
    assert_eq!(list_requests(&side.step(1_020, link_down)), [OTHER]);
    side.order(1_030, THIRD, heartbeat_with(&list));
    // The lease of the silent entry ends as well; the third entry is still linked.
    let heartbeat = heartbeat_with(&list);
    let effects = side.order(1_200, THIRD, heartbeat);
    assert_eq!(list_requests(&effects), [], "the answer may still arrive");
}

#[test]
fn a_reactivated_link_accepts_a_start_only_after_a_report_was_acknowledged() {
    let mut side = Side::ready();
    side.order(1_010, ENTRY, EntryOrder::Standby);
    let effects = side.order(1_800, ENTRY, EntryOrder::Activate);
    let report = effects.iter().find_map(|effect| match effect {
        AgentEffect::Send {
            report: SideReport::Status(status),
            ..
        } => Some(status.clone()),
        _ => None,
    });
    let report = report.expect("a status is sent at once on a reactivated link");
    assert!(!report.is_standby);

    let effects = side.order(1_801, ENTRY, start(1, 1_000));
    let is_order = |effect: &AgentEffect| matches!(effect, AgentEffect::Order { .. });
    assert!(!effects.iter().any(is_order), "no lease is valid yet");
    let ended = effects.iter().any(|effect| match effect {
        AgentEffect::Send {
            report: SideReport::Status(status),
            ..
        } => status
            .ended
            .iter()
            .any(|ended| ended.end == EndOfRun::NotRun(NotRunCause::Late)),
        _ => false,
    });
    assert!(ended, "the entry learns that the start was not carried out");

    let confirm = EntryOrder::Heartbeat {
        last_received: report.number,
        need: None,
        update: None,
    };
    side.order(1_803, ENTRY, confirm);
    let effects = side.order(1_804, ENTRY, start(2, 1_000));
    assert!(effects.iter().any(is_order));
}

/// The lease of a link on standby is seconds old: under this lease the new link used to be closed at once and opened
/// a third time.
#[test]
fn a_link_that_replaces_one_on_standby_stays_open() {
    let mut side = Side::ready();
    side.order(1_010, ENTRY, EntryOrder::Standby);
    side.step(3_000, AgentEvent::LinkDown { session: ENTRY });
    let mut effects = side.join(3_020, OTHER, "entry-1", 1);
    effects.extend(side.step(3_100, AgentEvent::Tick));
    let is_close = |effect: &AgentEffect| matches!(effect, AgentEffect::Close { .. });
    assert!(!effects.iter().any(is_close), "{effects:?}");
}

#[test]
fn a_link_on_standby_outlives_the_lease_but_not_the_silence_timeout() {
    let mut side = Side::ready();
    side.order(1_010, ENTRY, EntryOrder::Standby);
    let close = AgentEffect::Close { session: ENTRY };
    let silence = LeaseTerms::default().standby_silence.as_millis() as u64;
    let effects = side.step(1_000 + silence, AgentEvent::Tick);
    assert!(!effects.contains(&close));
    let effects = side.step(1_001 + silence, AgentEvent::Tick);
    assert!(effects.contains(&close));
}
