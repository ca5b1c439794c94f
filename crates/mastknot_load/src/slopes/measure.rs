use std::time::Duration;

use serde::Serialize;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use super::bed::{Bed, Reading};
use super::{Line, Point};
use crate::error::LoadError;
use crate::keys::new_key;
use crate::process::{SideProcess, Usage};

/// What is varied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlopeGroup {
    /// Sides of one entry.
    Sides,
    /// Tasks a second.
    Tasks,
    /// Kept submissions.
    Ledger,
    /// Entries of the roster.
    Entries,
    /// Configuration changes.
    Changes,
}

impl SlopeGroup {
    /// All of them.
    pub const ALL: &'static [Self] = &[
        Self::Sides,
        Self::Tasks,
        Self::Ledger,
        Self::Entries,
        Self::Changes,
    ];

    /// The one of this name, as a list to measure.
    pub fn named(name: &str) -> Option<&'static [Self]> {
        match name {
            "all" => Some(Self::ALL),
            "sides" => Some(&[Self::Sides]),
            "tasks" => Some(&[Self::Tasks]),
            "ledger" => Some(&[Self::Ledger]),
            "entries" => Some(&[Self::Entries]),
            "changes" => Some(&[Self::Changes]),
            _ => None,
        }
    }
}

/// What is measured.
#[derive(Clone, Copy, Debug)]
pub struct SlopesPlan {
    /// How long each point is measured, in seconds.
    pub seconds: u64,
    /// What is varied, one after the other.
    pub groups: &'static [SlopeGroup],
}

/// One slope, with what was varied and what was measured.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// Its name in docs/CAPACITY.md.
    pub name: String,
    /// What was varied.
    pub varied: String,
    /// What was measured, with its unit.
    pub measured: String,
    /// The points and the line.
    #[serde(flatten)]
    pub line: Line,
}

/// How long a system rests before an idle reading.
const REST: Duration = Duration::from_secs(3);
/// Sides for each point of the slope over sides.
const SIDES: [usize; 4] = [10, 50, 100, 200];
/// Tasks a second for each point of the slope over tasks.
const RATES: [u64; 4] = [1_000, 3_000, 6_000, 10_000];
/// Kept submissions for each point of the slope over the ledger.
const RECORDS: [usize; 4] = [5_000, 10_000, 20_000, 40_000];
/// Entries for each point of the slope over entries.
const ENTRIES: [usize; 4] = [1, 2, 4, 8];
/// Configuration changes for each point of the slope over changes.
const CHANGES: [usize; 4] = [5, 10, 20, 40];
/// Tasks in each job of a load.
const TASKS_PER_JOB: usize = 100;

struct Sheet {
    name: &'static str,
    varied: &'static str,
    measured: &'static str,
    points: Vec<Point>,
}

impl Sheet {
    fn new(name: &'static str, varied: &'static str, measured: &'static str) -> Self {
        Self {
            name,
            varied,
            measured,
            points: Vec::new(),
        }
    }

    fn add(&mut self, x: f64, y: f64) {
        self.points.push(Point { x, y });
    }

    fn finish(self) -> Slope {
        Slope {
            name: self.name.to_owned(),
            varied: self.varied.to_owned(),
            measured: self.measured.to_owned(),
            line: Line::through(self.points),
        }
    }
}

/// Measures all slopes.
pub async fn measure_slopes(plan: SlopesPlan) -> Result<Vec<Slope>, LoadError> {
    let mut slopes = Vec::new();
    for group in plan.groups {
        slopes.extend(match group {
            SlopeGroup::Sides => over_sides(plan).await?,
            SlopeGroup::Tasks => over_task_rate(plan).await?,
            SlopeGroup::Ledger => over_ledger().await?,
            SlopeGroup::Entries => over_entries(plan).await?,
            SlopeGroup::Changes => over_changes().await?,
        });
    }
    Ok(slopes)
}

fn per_second(before: &Reading, after: &Reading, of: fn(&Reading) -> f64) -> f64 {
    let (Some(from), Some(to)) = (before.at, after.at) else {
        return 0.0;
    };
    (of(after) - of(before)) / (to - from).as_secs_f64()
}

/// Processor time in milliseconds for each second.
fn processor(reading: &Reading) -> f64 {
    reading.usage.processor.as_secs_f64() * 1e3
}

async fn idle(bed: &Bed, plan: SlopesPlan) -> Result<(Reading, Reading), LoadError> {
    sleep(REST).await;
    let before = bed.read().await?;
    sleep(Duration::from_secs(plan.seconds)).await;
    Ok((before, bed.read().await?))
}

/// An idle entry over the sides that are connected to it.
async fn over_sides(plan: SlopesPlan) -> Result<Vec<Slope>, LoadError> {
    let varied = "sides of an idle entry";
    let mut memory = Sheet::new("entry_memory_per_side", varied, "resident bytes");
    let mut cpu = Sheet::new("entry_cpu_per_side", varied, "processor ms a second");
    let mut bytes = Sheet::new(
        "entry_control_bytes_per_side",
        varied,
        "control bytes a second",
    );
    let mut messages = Sheet::new(
        "entry_control_messages_per_side",
        varied,
        "messages a second",
    );
    for sides in SIDES {
        let bed = Bed::start(1, sides, 8).await?;
        let (before, after) = idle(&bed, plan).await?;
        let x = sides as f64;
        memory.add(x, after.usage.resident as f64);
        cpu.add(x, per_second(&before, &after, processor));
        bytes.add(x, per_second(&before, &after, |r| r.control_bytes));
        messages.add(x, per_second(&before, &after, |r| r.control_messages));
    }
    Ok(vec![
        memory.finish(),
        cpu.finish(),
        bytes.finish(),
        messages.finish(),
    ])
}

/// An entry and a side over the tasks a second that go through them.
async fn over_task_rate(plan: SlopesPlan) -> Result<Vec<Slope>, LoadError> {
    let varied = "tasks a second";
    let mut entry_cpu = Sheet::new("entry_cpu_per_task", varied, "processor ms a second");
    let mut side_cpu = Sheet::new("side_cpu_per_task", varied, "processor ms a second");
    let mut control = Sheet::new(
        "entry_control_bytes_per_task",
        varied,
        "control bytes a second",
    );
    let mut side_memory = Sheet::new("side_memory_per_task", varied, "resident bytes");
    for rate in RATES {
        let bed = Bed::start(1, 0, 8).await?;
        let entries = [bed.entries[0].links];
        let target = bed.worker.address();
        let side = SideProcess::start(&bed.root, "side-a", "hall-1", 512, target, &entries)?;
        bed.settle(1).await?;
        let side_usage = || side.process.as_ref().map(|p| p.usage()).unwrap_or_default();
        let warm = Duration::from_secs(2);
        load(&bed, rate, warm).await;
        let before = bed.read().await?;
        let side_before: Usage = side_usage();
        load(&bed, rate, Duration::from_secs(plan.seconds)).await;
        let after = bed.read().await?;
        let side_after: Usage = side_usage();
        let achieved = per_second(&before, &after, |r| r.answers);
        entry_cpu.add(achieved, per_second(&before, &after, processor));
        control.add(achieved, per_second(&before, &after, |r| r.control_bytes));
        let seconds = after
            .at
            .zip(before.at)
            .map_or(1.0, |(a, b)| (a - b).as_secs_f64());
        let spent = side_after.processor.saturating_sub(side_before.processor);
        side_cpu.add(achieved, spent.as_secs_f64() * 1e3 / seconds);
        side_memory.add(achieved, side_after.resident as f64);
    }
    Ok(vec![
        entry_cpu.finish(),
        side_cpu.finish(),
        control.finish(),
        side_memory.finish(),
    ])
}

fn job(tasks: usize, task_ms: u64) -> Value {
    let work = json!({ "ms": task_ms, "value": 1 });
    json!({
        "key": new_key().to_string(),
        "team": "team",
        "customer": "customer",
        "service": "run",
        "deadline_ms": 20_000,
        "tasks": vec![work; tasks],
    })
}

/// Open-loop jobs at a rate of tasks.
async fn load(bed: &Bed, rate: u64, time: Duration) {
    let jobs_per_second = rate / TASKS_PER_JOB as u64;
    let mut ticks = interval(Duration::from_secs(1) / jobs_per_second as u32);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let end = Instant::now() + time;
    let mut calls = JoinSet::new();
    while Instant::now() < end {
        ticks.tick().await;
        let (client, entry) = (bed.client.clone(), bed.entries[0].callers);
        calls.spawn(async move {
            let _ = client.post(entry, "/v1/jobs", &job(TASKS_PER_JOB, 5)).await;
        });
    }
    while calls.join_next().await.is_some() {}
}

/// An entry's memory over the submissions that it keeps.
async fn over_ledger() -> Result<Vec<Slope>, LoadError> {
    let varied = "kept submissions of one task each";
    let mut memory = Sheet::new("entry_memory_per_record", varied, "resident bytes");
    let bed = Bed::start(1, 4, 64).await?;
    let mut sent = 0;
    for records in RECORDS {
        while sent < records {
            let mut calls = JoinSet::new();
            for _ in 0..200 {
                let (client, entry) = (bed.client.clone(), bed.entries[0].callers);
                calls.spawn(async move {
                    let _ = client.post(entry, "/v1/jobs", &job(1, 0)).await;
                });
            }
            while calls.join_next().await.is_some() {}
            sent += 200;
        }
        memory.add(sent as f64, bed.read().await?.usage.resident as f64);
    }
    Ok(vec![memory.finish()])
}

/// An idle entry over the entries of the roster.
async fn over_entries(plan: SlopesPlan) -> Result<Vec<Slope>, LoadError> {
    let varied = "entries of the roster, 11 sides";
    let mut bytes = Sheet::new(
        "entry_control_bytes_per_entry",
        varied,
        "control bytes a second",
    );
    let mut store = Sheet::new(
        "store_calls_per_entry",
        varied,
        "calls of all entries a second",
    );
    let mut messages = Sheet::new(
        "entry_control_messages_per_entry",
        varied,
        "messages a second",
    );
    let side_varied = "entries that a side is connected to, idle";
    let mut side_cpu = Sheet::new("side_cpu_per_entry", side_varied, "processor ms a second");
    let mut side_memory = Sheet::new("side_memory_per_entry", side_varied, "resident bytes");
    for entries in ENTRIES {
        let bed = Bed::start(entries, 10, 8).await?;
        let links: Vec<std::net::SocketAddr> = bed.entries.iter().map(|e| e.links).collect();
        let target = bed.worker.address();
        let side = SideProcess::start(&bed.root, "side-a", "hall-1", 8, target, &links)?;
        bed.settle(11).await?;
        let side_usage = || side.process.as_ref().map(|p| p.usage()).unwrap_or_default();
        let side_before: Usage = side_usage();
        let started = Instant::now();
        let (before, after) = idle(&bed, plan).await?;
        let side_after: Usage = side_usage();
        let seconds = started.elapsed().as_secs_f64();
        let x = entries as f64;
        let spent = side_after.processor.saturating_sub(side_before.processor);
        side_cpu.add(x, spent.as_secs_f64() * 1e3 / seconds);
        side_memory.add(x, side_after.resident as f64);
        messages.add(x, per_second(&before, &after, |r| r.control_messages));
        bytes.add(x, per_second(&before, &after, |r| r.control_bytes));
        store.add(x, x * per_second(&before, &after, |r| r.store_calls));
    }
    Ok(vec![
        bytes.finish(),
        messages.finish(),
        store.finish(),
        side_cpu.finish(),
        side_memory.finish(),
    ])
}

/// Control bytes and the time until in force over configuration changes.
async fn over_changes() -> Result<Vec<Slope>, LoadError> {
    let varied = "configuration changes, one entry, 50 sides";
    let mut bytes = Sheet::new("entry_control_bytes_per_change", varied, "control bytes");
    let mut time = Sheet::new(
        "seconds_in_force_per_change",
        varied,
        "seconds for all of them",
    );
    let bed = Bed::start(1, 50, 8).await?;
    for changes in CHANGES {
        sleep(Duration::from_secs(1)).await;
        let before = bed.read().await?;
        let started = Instant::now();
        for index in 0..changes {
            let value = json!({ "quota": 1_000 + index, "weight": 1 });
            bed.create("team", "team", value).await?;
        }
        let seconds = started.elapsed().as_secs_f64();
        let after = bed.read().await?;
        bytes.add(changes as f64, after.control_bytes - before.control_bytes);
        time.add(changes as f64, seconds);
    }
    Ok(vec![bytes.finish(), time.finish()])
}
