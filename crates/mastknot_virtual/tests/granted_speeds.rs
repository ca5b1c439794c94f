//! Guards against placing long tasks on slow targets while fast ones have capacity, where capacity is granted.
//!
//! With capacity free all the time, one in ten jobs of the longest kind came late, and one in thirty without grants.
//! Targets were rated by the capacity that an entry could use there, and capacity that was granted to other entries or
//! withheld counted as used. One in five placements of long tasks went to slow targets, and one in a hundred without
//! grants; at nine in ten of them a fast target had capacity for the entry, in part granted to that entry itself.

mod load;

use std::time::Duration;

use load::{DRAINED, Fleet, SETTLED, Simulation};

/// Speeds of the targets in turn, in percent.
const SPEEDS: &[u64] = &[70, 70, 170];
const LOADED: Duration = Duration::from_secs(5);
/// Time from which jobs are submitted, so that entries learn the slowdowns of the targets.
const FIRST_JOB_AT: Duration = Duration::from_millis(500);
/// Required share of jobs in time for each kind while capacity is free.
const IN_TIME: f64 = 0.985;

#[test]
fn each_kind_is_in_time_where_room_is_granted() {
    for (times, seed) in [0.6, 1.0, 1.3]
        .into_iter()
        .flat_map(|times| [1, 2, 3].map(|seed| (times, seed)))
    {
        let mut simulation = Simulation::new(Fleet {
            entries: 8,
            sides: 53,
            speeds: SPEEDS,
            seed,
        });
        let until = SETTLED + LOADED;
        simulation.submit(FIRST_JOB_AT, until, times, |_| 1.0);
        simulation.run(until);
        simulation.system.run_until(until + DRAINED);
        let kinds =
            [0, 1, 2].map(|kind| simulation.in_time(|job| job.kind == kind && job.at >= SETTLED));
        let is_good = kinds.iter().all(|share| *share >= IN_TIME);
        assert!(is_good, "{times} times, seed {seed}: {kinds:.3?}");
    }
}
