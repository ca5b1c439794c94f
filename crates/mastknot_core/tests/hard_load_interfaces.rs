//! What entries and sides tell each other where room is short: each of it survives its way over a link.

mod common;

use std::sync::Arc;

use bincode::{Decode, Encode};
use common::side::cpu;
use mastknot_core::job::{
    CapacityGrant, EntryUpdate, LearnedProfile, LearnedSlowdown, RankedWork, ShareWeights,
    SideLoad, SideStatus, WaitingNeed,
};
use mastknot_core::scheduler::{KnownLoad, LoadView, ScarcitySettings};

fn over_link<T: Encode + Decode<()>>(value: &T) -> T {
    let config = bincode::config::standard();
    let bytes = bincode::encode_to_vec(value, config).expect("it can be written");
    let (read, length) = bincode::decode_from_slice(&bytes, config).expect("it can be read");
    assert_eq!(length, bytes.len());
    read
}

fn work(rank: u8) -> RankedWork {
    RankedWork {
        rank,
        cpu_millis_ms: 1_600 * 60 * 8,
    }
}

#[test]
fn a_need_is_told_by_rank() {
    let need = WaitingNeed {
        rank: 1,
        required_capacity: cpu(12_800),
        smallest_task: cpu(1_600),
        widest_job: cpu(12_800),
        waited_ms: 7,
        by_rank: vec![work(1), work(18)],
    };
    assert_eq!(over_link(&need), need);
}

#[test]
fn a_report_carries_a_grant_and_what_waits() {
    let grant = CapacityGrant {
        capacity: cpu(3_200),
        ahead: cpu(1_600),
        valid_ms: 30,
    };
    let load = SideLoad {
        waiting: vec![work(16)],
        entries: 4,
        free_capacity_in_ms: 3,
    };
    let status = SideStatus {
        grant: Some(grant),
        load: Some(load),
        ..SideStatus::default()
    };
    assert_eq!(over_link(&status), status);
}

#[test]
fn weights_of_halls_travel_with_the_news() {
    let shares = ShareWeights {
        revision: 3,
        halls: [("hall-1".into(), 200)].into(),
    };
    let news = EntryUpdate {
        grants_capacity: true,
        shares: Arc::new(shares),
        ..EntryUpdate::default()
    };
    assert_eq!(over_link(&news), news);
    assert_eq!(news.shares.of_hall(&"hall-1".into()), 200);
    assert_eq!(news.shares.of_hall(&"hall-2".into()), 100);
}

#[test]
fn grants_and_what_was_learned_are_on_unless_settings_say_otherwise() {
    let usual = ScarcitySettings {
        grants: true,
        forecast: false,
        shares: false,
        profile: true,
    };
    assert_eq!(ScarcitySettings::default(), usual);
    let switched = usual.with_part("grants", false);
    let switched = switched.and_then(|parts| parts.with_part("shares", true));
    let expected = ScarcitySettings {
        grants: false,
        shares: true,
        ..usual
    };
    assert_eq!(switched, Ok(expected));
    let unknown = usual
        .with_part("forecasts", true)
        .expect_err("no such part");
    assert!(unknown.to_string().contains("`forecasts`"), "{unknown}");
}

#[test]
fn the_load_of_a_side_and_what_was_learned_can_be_read() {
    let known = KnownLoad {
        side: "side-1".into(),
        hall: "hall-1".into(),
        capacity: cpu(16_000),
        slowdown: 1.0,
        free: cpu(1_600),
        load: SideLoad::default(),
        age: std::time::Duration::ZERO,
    };
    let view = LoadView {
        sides: vec![known],
        own: vec![work(16)],
    };
    assert_eq!(view.sides[0].load.waiting, []);
    let pace = LearnedSlowdown {
        queue: Arc::from("queue"),
        class: Arc::from("fast"),
        runs: 64,
        log_ratio: -0.2,
    };
    let profile = LearnedProfile {
        slowdowns: vec![pace],
        ..LearnedProfile::default()
    };
    assert_eq!(profile.run_times, []);
}
