//! Messages that entries and sides exchange where capacity is short: each keeps its value when it is sent over a
//! link.

mod common;

use std::sync::Arc;

use bincode::{Decode, Encode};
use common::side::cpu;
use mastknot_core::job::{
    CapacityGrant, EntryUpdate, LearnedProfile, LearnedSlowdown, RankedWork, ShareWeights,
    SideLoad, SideStatus, WaitingNeed,
};
use mastknot_core::scheduler::{KnownLoad, LoadView, ScarcitySettings};

fn sent_over_link<T: Encode + Decode<()>>(value: &T) -> T {
    let config = bincode::config::standard();
    let bytes = bincode::encode_to_vec(value, config).expect("the value can be encoded");
    let (read, length) =
        bincode::decode_from_slice(&bytes, config).expect("the bytes can be decoded");
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
fn a_need_lists_waiting_work_by_rank() {
    let need = WaitingNeed {
        rank: 1,
        required_capacity: cpu(12_800),
        smallest_task: cpu(1_600),
        widest_job: cpu(12_800),
        waited_ms: 7,
        by_rank: vec![work(1), work(18)],
    };
    assert_eq!(sent_over_link(&need), need);
}

#[test]
fn a_report_carries_a_grant_and_the_waiting_work() {
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
    assert_eq!(sent_over_link(&status), status);
}

#[test]
fn weights_of_halls_travel_with_an_update() {
    let shares = ShareWeights {
        revision: 3,
        halls: [("hall-1".into(), 200)].into(),
    };
    let update = EntryUpdate {
        grants_capacity: true,
        shares: Arc::new(shares),
        ..EntryUpdate::default()
    };
    assert_eq!(sent_over_link(&update), update);
    assert_eq!(update.shares.of_hall(&"hall-1".into()), 200);
    assert_eq!(update.shares.of_hall(&"hall-2".into()), 100);
}

#[test]
fn grants_and_the_learned_profile_are_on_by_default() {
    let defaults = ScarcitySettings {
        grants: true,
        forecast: false,
        shares: false,
        profile: true,
    };
    assert_eq!(ScarcitySettings::default(), defaults);
    let switched = defaults.with_part("grants", false);
    let switched = switched.and_then(|parts| parts.with_part("shares", true));
    let expected = ScarcitySettings {
        grants: false,
        shares: true,
        ..defaults
    };
    assert_eq!(switched, Ok(expected));
    let unknown = defaults
        .with_part("forecasts", true)
        .expect_err("no such part");
    assert!(unknown.to_string().contains("`forecasts`"), "{unknown}");
}

#[test]
fn the_load_of_a_side_and_the_learned_profile_can_be_read() {
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
        own_waiting: vec![work(16)],
    };
    assert_eq!(view.sides[0].load.waiting, []);
    let slowdown = LearnedSlowdown {
        queue: Arc::from("queue"),
        class: Arc::from("fast"),
        runs: 64,
        log_ratio: -0.2,
    };
    let profile = LearnedProfile {
        slowdowns: vec![slowdown],
        ..LearnedProfile::default()
    };
    assert_eq!(profile.run_times, []);
}
