//! What a step of an entry costs by the size of the deployment, event by event.
//!
//! `cargo bench --package mastknot_core`. The figures of the last run and of the code before stand in docs/BENCH.md.

#[path = "../tests/common/mod.rs"]
mod common;

use std::hint::black_box;

use common::entry::{Entry, at, ended, job, starts};
use criterion::{BatchSize, BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use mastknot_core::job::{EndOfRun, KnownEntry};
use mastknot_core::scheduler::SchedulerEvent;

/// Entries and sides: a small deployment, the largest one that is served, and the designed size.
const SIZES: [(usize, usize); 3] = [(4, 11), (55, 240), (250, 1_100)];
/// Events of one round, on a copy of the entry each round.
const EVENTS: u64 = 100;
/// All links stand and those beyond the usual number are on standby.
const SETTLED_MS: u64 = 120;

/// An entry among `entries` with links to `sides` free sides.
fn settled(entries: usize, sides: usize) -> Entry {
    let mut entry = Entry::with_sides(&[]);
    let known = (0..entries).map(|number| KnownEntry {
        name: format!("entry-{number}").as_str().into(),
        address: "127.0.0.1:1".parse().expect("an address"),
    });
    let known = SchedulerEvent::Entries(known.collect());
    entry.scheduler.step(at(0), known);
    for side in 0..sides {
        entry.join(0, side as u64, 16_000);
    }
    entry.scheduler.step(at(SETTLED_MS), SchedulerEvent::Tick);
    entry
}

/// Submits jobs of two tasks and lets them end.
fn run_jobs(entry: &mut Entry) {
    for number in 1..=EVENTS {
        let effects = entry.submit(SETTLED_MS, number, job(number, 2, 100), 2_000);
        for (side, run) in starts(&effects) {
            let ends = vec![ended(run, EndOfRun::Done)];
            entry.status(SETTLED_MS, side, 16_000, u64::MAX, None, ends);
        }
    }
}

/// Takes reports without news from one side after the other.
fn take_reports(entry: &mut Entry, sides: usize) {
    for number in 0..EVENTS {
        let side = number % sides as u64;
        black_box(entry.status(SETTLED_MS, side, 16_000, 0, None, Vec::new()));
    }
}

fn steps(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("entry");
    group.throughput(Throughput::Elements(EVENTS));
    for (entries, sides) in SIZES {
        let size = format!("{entries}x{sides}");
        let entry = settled(entries, sides);
        group.bench_function(BenchmarkId::new("job of two tasks", &size), |bencher| {
            bencher.iter_batched_ref(|| entry.clone(), run_jobs, BatchSize::LargeInput);
        });
        group.bench_function(BenchmarkId::new("report", &size), |bencher| {
            let take = |entry: &mut Entry| take_reports(entry, sides);
            bencher.iter_batched_ref(|| entry.clone(), take, BatchSize::LargeInput);
        });
    }
    group.finish();
}

criterion_group!(benches, steps);
criterion_main!(benches);
