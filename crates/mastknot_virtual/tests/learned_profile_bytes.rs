//! Bytes from a store decode to a learned profile or to a typed error, and no value outside of its bounds is accepted.

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

/// Generates floating-point numbers, among them NaN and infinities.
fn number() -> impl Strategy<Value = f64> {
    prop_oneof![4 => -60.0..60.0, 1 => any::<f64>()]
}

fn slowdown() -> impl Strategy<Value = LearnedSlowdown> {
    (name(), name(), any::<u32>(), number()).prop_map(|(queue, class, runs, log_ratio)| {
        LearnedSlowdown {
            queue,
            class,
            runs,
            log_ratio,
        }
    })
}

fn run_times() -> impl Strategy<Value = LearnedRunTimes> {
    let numbers = (number(), number(), number(), number());
    (name(), any::<u32>(), numbers).prop_map(|(queue, steps, numbers)| LearnedRunTimes {
        queue,
        steps,
        log_estimate: numbers.0,
        log_run_time: numbers.1,
        estimate_variance: numbers.2,
        covariance: numbers.3,
    })
}

fn suspect() -> impl Strategy<Value = LearnedSuspect> {
    let numbers = (any::<u32>(), any::<u32>(), any::<u16>());
    (numbers, vec("[a-z0-9-]{0,120}", 0..24)).prop_map(|((kind, after_ms, share), names)| {
        LearnedSuspect {
            kind: TaskKind(kind),
            crashed_after_ms: after_ms,
            share_per_mille: share,
            crashed_sides: names.iter().map(|name| name.as_str().into()).collect(),
        }
    })
}

fn profile() -> impl Strategy<Value = LearnedProfile> {
    let lists = (
        vec(slowdown(), 0..40),
        vec(run_times(), 0..40),
        vec(suspect(), 0..100),
    );
    (any::<u64>(), lists).prop_map(|(written_ms, (slowdowns, run_times, suspects))| {
        LearnedProfile {
            written_ms,
            slowdowns,
            run_times,
            suspects,
        }
    })
}

fn bytes_of(profile: &LearnedProfile) -> Vec<u8> {
    profile.encode().expect("the profile can be encoded")
}

/// Returns whether all values of a decoded profile are within their bounds.
fn is_within_bounds(profile: &LearnedProfile) -> bool {
    let is_log = |value: f64| value.abs() <= 50.0;
    let slowdowns = profile
        .slowdowns
        .iter()
        .all(|slowdown| is_log(slowdown.log_ratio));
    let mut times = profile.run_times.iter();
    let times = times.all(|times| {
        is_log(times.log_estimate)
            && is_log(times.log_run_time)
            && (0.0..=2_500.0).contains(&times.estimate_variance)
            && times.covariance.abs() <= 2_500.0
    });
    let mut suspects = profile.suspects.iter();
    slowdowns && times && suspects.all(|suspect| (1..=1_000).contains(&suspect.share_per_mille))
}

#[test]
fn encoded_profiles_are_small_and_can_be_decoded() {
    let result = runner().run(&profile(), |written| {
        let bytes = bytes_of(&written);
        prop_assert!(bytes.len() <= MAX_PROFILE_BYTES);
        let read = LearnedProfile::decode(&bytes);
        let read = read.map_err(|error| TestCaseError::fail(error.to_string()))?;
        prop_assert!(is_within_bounds(&read));
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
fn truncated_documents_are_an_error() {
    let cases = (profile(), any::<prop::sample::Index>());
    let result = runner().run(&cases, |(written, index)| {
        let bytes = bytes_of(&written);
        let truncated = &bytes[..index.index(bytes.len())];
        let read = LearnedProfile::decode(truncated);
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
    let result = runner().run(&cases, |(written, index, change)| {
        let mut bytes = bytes_of(&written);
        let index = index.index(bytes.len());
        bytes[index] ^= change;
        prop_assert!(LearnedProfile::decode(&bytes).is_err());
        Ok(())
    });
    result.expect("every case holds");
}
