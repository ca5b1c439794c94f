//! Whatever bytes a store gives back: they are a learned profile or a typed error, and nothing that can't be learned is
//! believed.

use std::sync::Arc;

use mastknot_core::job::{
    LearnedProfile, LearnedRunTimes, LearnedSlowdown, LearnedSuspect, MAX_PROFILE_BYTES,
    ProfileError, TaskKind,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 2_000;

fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
}

fn name() -> impl Strategy<Value = Arc<str>> {
    "[a-z0-9/-]{0,100}".prop_map(Arc::from)
}

/// Any number, also those that are none.
fn figure() -> impl Strategy<Value = f64> {
    prop_oneof![4 => -60.0..60.0, 1 => any::<f64>()]
}

fn pace() -> impl Strategy<Value = LearnedSlowdown> {
    (name(), name(), any::<u32>(), figure()).prop_map(|(queue, class, runs, log_ratio)| {
        LearnedSlowdown {
            queue,
            class,
            runs,
            log_ratio,
        }
    })
}

fn run_times() -> impl Strategy<Value = LearnedRunTimes> {
    let figures = (figure(), figure(), figure(), figure());
    (name(), any::<u32>(), figures).prop_map(|(queue, steps, figures)| LearnedRunTimes {
        queue,
        steps,
        log_estimate: figures.0,
        log_run_time: figures.1,
        estimate_variance: figures.2,
        covariance: figures.3,
    })
}

fn suspect() -> impl Strategy<Value = LearnedSuspect> {
    let figures = (any::<u32>(), any::<u32>(), any::<u16>());
    (figures, vec("[a-z0-9-]{0,120}", 0..24)).prop_map(|((kind, after_ms, part), names)| {
        LearnedSuspect {
            kind: TaskKind(kind),
            crashed_after_ms: after_ms,
            share_per_mille: part,
            crashed_sides: names.iter().map(|name| name.as_str().into()).collect(),
        }
    })
}

fn profile() -> impl Strategy<Value = LearnedProfile> {
    let lists = (
        vec(pace(), 0..40),
        vec(run_times(), 0..40),
        vec(suspect(), 0..100),
    );
    (any::<u64>(), lists).prop_map(
        |(written_ms, (paces, run_times, suspects))| LearnedProfile {
            written_ms,
            slowdowns: paces,
            run_times,
            suspects,
        },
    )
}

fn bytes_of(profile: &LearnedProfile) -> Vec<u8> {
    profile.encode().expect("it can be written")
}

/// All that is believed lies within its bounds.
fn is_sound(profile: &LearnedProfile) -> bool {
    let is_log = |value: f64| value.abs() <= 50.0;
    let paces = profile.slowdowns.iter().all(|pace| is_log(pace.log_ratio));
    let mut times = profile.run_times.iter();
    let times = times.all(|times| {
        is_log(times.log_estimate)
            && is_log(times.log_run_time)
            && (0.0..=2_500.0).contains(&times.estimate_variance)
            && times.covariance.abs() <= 2_500.0
    });
    let mut suspects = profile.suspects.iter();
    paces && times && suspects.all(|suspect| (1..=1_000).contains(&suspect.share_per_mille))
}

#[test]
fn what_is_written_is_small_and_can_be_read() {
    let result = runner().run(&profile(), |written| {
        let bytes = bytes_of(&written);
        prop_assert!(bytes.len() <= MAX_PROFILE_BYTES);
        let read = LearnedProfile::decode(&bytes);
        let read = read.map_err(|error| TestCaseError::fail(error.to_string()))?;
        prop_assert!(is_sound(&read));
        prop_assert_eq!(read.written_ms, written.written_ms);
        prop_assert_eq!(bytes_of(&read), bytes);
        Ok(())
    });
    result.expect("every case holds");
}

#[test]
fn arbitrary_bytes_are_an_error() {
    let result = runner().run(&vec(any::<u8>(), 0..600), |bytes| {
        prop_assert!(LearnedProfile::decode(&bytes).is_err());
        Ok(())
    });
    result.expect("every case holds");
}

#[test]
fn cut_documents_are_an_error() {
    let cases = (profile(), any::<prop::sample::Index>());
    let result = runner().run(&cases, |(written, place)| {
        let bytes = bytes_of(&written);
        let cut = &bytes[..place.index(bytes.len())];
        let read = LearnedProfile::decode(cut);
        prop_assert!(
            matches!(read, Err(ProfileError::WrongLength { .. })),
            "{read:?}"
        );
        Ok(())
    });
    result.expect("every case holds");
}

#[test]
fn changed_documents_are_an_error() {
    let cases = (profile(), any::<prop::sample::Index>(), 1..=u8::MAX);
    let result = runner().run(&cases, |(written, place, change)| {
        let mut bytes = bytes_of(&written);
        let place = place.index(bytes.len());
        bytes[place] ^= change;
        prop_assert!(LearnedProfile::decode(&bytes).is_err());
        Ok(())
    });
    result.expect("every case holds");
}
