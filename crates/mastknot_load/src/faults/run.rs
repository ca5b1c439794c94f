use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mastknot_standin::StoreFaults;
use serde::Serialize;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use super::audit::{FaultAudit, Told};
use super::bed::FaultBed;
use super::callers::call;
use crate::error::{LoadError, WrongRegimeSnafu};
use crate::process::Signal;

/// What is run.
#[derive(Clone, Copy, Debug)]
pub struct FaultsPlan {
    /// Submissions a second.
    pub rate: u32,
    /// How long a process is paused, in seconds.
    pub pause_seconds: u64,
}

/// What callers saw of the submissions sent in one phase.
#[derive(Clone, Debug, Serialize)]
pub struct FaultPhase {
    /// The phase.
    pub phase: String,
    /// Submissions.
    pub sent: usize,
    /// Final answers, by state.
    pub states: BTreeMap<String, usize>,
    /// Median time to the final answer, resubmissions included, in milliseconds.
    pub p50_ms: u64,
    /// 99th percentile.
    pub p99_ms: u64,
}

/// What was measured.
#[derive(Clone, Debug, Serialize)]
pub struct FaultsReport {
    /// The phases, in order.
    pub phases: Vec<FaultPhase>,
    /// From the kill of an entry until its peers had taken its keys over, in milliseconds.
    pub takeover_ms: u64,
    /// Exit codes of the planned stops: entry and side.
    pub planned_stops: Vec<Option<i32>>,
    /// True starts.
    pub starts: u64,
    /// The audit.
    pub audit: FaultAudit,
}

struct Phase {
    name: &'static str,
    from_ms: u64,
}

/// How long each phase lasts, besides what its fault takes.
const PHASE: Duration = Duration::from_secs(4);
/// How long a takeover may take.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(10);
/// How long a planned stop may take.
const STOP_LIMIT: Duration = Duration::from_secs(20);

struct Run {
    bed: FaultBed,
    began: Instant,
    phases: Vec<Phase>,
    calls: JoinSet<Told>,
    sent: usize,
    rate: u32,
    versions: BTreeMap<usize, u64>,
    reverts: u64,
}

/// Runs callers through a series of faults and audits what happened.
pub async fn run_faults(plan: FaultsPlan) -> Result<FaultsReport, LoadError> {
    let mut run = Run {
        bed: FaultBed::start(3, 4, 8).await?,
        began: Instant::now(),
        phases: Vec::new(),
        calls: JoinSet::new(),
        sent: 0,
        rate: plan.rate,
        versions: BTreeMap::new(),
        reverts: 0,
    };
    run.load("before", PHASE).await;
    let takeover_ms = run.kill_entry().await?;
    run.kill_side().await?;
    run.pause(plan.pause_seconds).await?;
    run.store_outage().await?;
    let planned_stops = run.stop_by_plan().await?;
    run.load("after", PHASE).await;
    run.finish(takeover_ms, planned_stops).await
}

impl Run {
    /// Sends submissions at the plan's rate for a while.
    async fn load(&mut self, phase: &'static str, time: Duration) {
        let from_ms = self.began.elapsed().as_millis() as u64;
        let name = phase;
        self.phases.push(Phase { name, from_ms });
        self.go_on(time).await;
    }

    async fn go_on(&mut self, time: Duration) {
        let end = Instant::now() + time;
        let mut ticks = interval(Duration::from_secs(1) / self.rate);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        while Instant::now() < end {
            ticks.tick().await;
            let client = self.bed.client.clone();
            let entries = self.bed.callers();
            let workers = Arc::clone(&self.bed.workers);
            let called = call(client, entries, workers, self.sent, self.began);
            self.calls.spawn(called);
            self.sent += 1;
        }
        self.watch_versions().await;
    }

    /// No node's configuration version may go down, but for a restart.
    async fn watch_versions(&mut self) {
        for (index, entry) in self.bed.entries.iter().enumerate() {
            let status = self
                .bed
                .client
                .get(entry.operators, "/v1/live/status")
                .await;
            let Some(version) = status.ok().and_then(|s| s.body["version"].as_u64()) else {
                continue;
            };
            let before = self.versions.insert(index, version);
            self.reverts += u64::from(before.is_some_and(|before| version < before));
        }
    }

    async fn kill_entry(&mut self) -> Result<u64, LoadError> {
        self.phases.push(Phase {
            name: "entry killed (SIGKILL), restarted after 4 s",
            from_ms: self.began.elapsed().as_millis() as u64,
        });
        if let Some(process) = &self.bed.entries[2].process {
            process.signal(Signal::Kill)?;
        }
        let killed = Instant::now();
        let takeover_ms = loop {
            self.go_on(Duration::from_millis(100)).await;
            let entry = self.bed.entries[0].operators;
            let roster = self.bed.client.get(entry, "/v1/live/entries").await?;
            let members = roster.body["entries"].as_array().map_or(0, Vec::len);
            if members == 2 && roster.body["is_fresh"] == true {
                break killed.elapsed().as_millis() as u64;
            }
            if killed.elapsed() > TAKEOVER_LIMIT {
                let what = format!("no takeover: {}", roster.body);
                return WrongRegimeSnafu { what }.fail();
            }
        };
        self.go_on(PHASE).await;
        self.versions.remove(&2);
        self.bed.entries[2].start_again()?;
        self.go_on(PHASE).await;
        Ok(takeover_ms)
    }

    async fn kill_side(&mut self) -> Result<(), LoadError> {
        self.phases.push(Phase {
            name: "side killed (SIGKILL), restarted after 2 s",
            from_ms: self.began.elapsed().as_millis() as u64,
        });
        if let Some(process) = &self.bed.sides[3].process {
            process.signal(Signal::Kill)?;
        }
        self.go_on(PHASE / 2).await;
        self.bed.sides[3].start_again()?;
        self.go_on(PHASE).await;
        Ok(())
    }

    async fn pause(&mut self, seconds: u64) -> Result<(), LoadError> {
        self.phases.push(Phase {
            name: "entry and side paused (SIGSTOP), then woken",
            from_ms: self.began.elapsed().as_millis() as u64,
        });
        let entry = self.bed.entries[1].process.as_ref();
        let side = self.bed.sides[2].process.as_ref();
        for process in [entry, side].into_iter().flatten() {
            process.signal(Signal::Stop)?;
        }
        self.go_on(Duration::from_secs(seconds)).await;
        let entry = self.bed.entries[1].process.as_ref();
        let side = self.bed.sides[2].process.as_ref();
        for process in [entry, side].into_iter().flatten() {
            process.signal(Signal::Continue)?;
        }
        self.go_on(PHASE).await;
        Ok(())
    }

    async fn store_outage(&mut self) -> Result<(), LoadError> {
        self.phases.push(Phase {
            name: "store down for 6 s, then losing answers, with a change each",
            from_ms: self.began.elapsed().as_millis() as u64,
        });
        self.bed.store.set_faults(StoreFaults {
            is_down: true,
            ..StoreFaults::default()
        });
        self.go_on(Duration::from_secs(6)).await;
        self.bed.store.set_faults(StoreFaults {
            lose_answers: 2,
            ..StoreFaults::default()
        });
        self.bed
            .create("team", "team", json!({ "quota": 1_000 }))
            .await?;
        self.go_on(PHASE).await;
        Ok(())
    }

    async fn stop_by_plan(&mut self) -> Result<Vec<Option<i32>>, LoadError> {
        self.phases.push(Phase {
            name: "entry and side stopped by plan (SIGTERM)",
            from_ms: self.began.elapsed().as_millis() as u64,
        });
        let mut codes = Vec::new();
        if let Some(process) = &self.bed.entries[2].process {
            process.signal(Signal::Terminate)?;
        }
        if let Some(process) = &self.bed.sides[3].process {
            process.signal(Signal::Terminate)?;
        }
        self.go_on(PHASE).await;
        let entry = self.bed.entries[2].process.as_mut();
        let side = self.bed.sides[3].process.as_mut();
        for process in [entry, side].into_iter().flatten() {
            let status = process.wait(STOP_LIMIT).await;
            codes.push(status.and_then(|status| status.code()));
        }
        Ok(codes)
    }

    async fn finish(
        mut self,
        takeover_ms: u64,
        planned_stops: Vec<Option<i32>>,
    ) -> Result<FaultsReport, LoadError> {
        let mut told = Vec::new();
        while let Some(one) = self.calls.join_next().await {
            told.extend(one.ok());
        }
        // What targets still run has time to be recorded.
        sleep(Duration::from_secs(1)).await;
        let starts = self.bed.starts();
        let audit = FaultAudit::of(&told, &starts, self.reverts);
        Ok(FaultsReport {
            phases: phases(&self.phases, &told),
            takeover_ms,
            planned_stops,
            starts: starts.total(),
            audit,
        })
    }
}

fn phases(phases: &[Phase], told: &[Told]) -> Vec<FaultPhase> {
    let ends = phases.iter().skip(1).map(|phase| phase.from_ms);
    let ends = ends.chain([u64::MAX]);
    let summary = |(phase, end): (&Phase, u64)| {
        let within = |one: &&Told| (phase.from_ms..end).contains(&one.sent_at_ms);
        let sent: Vec<&Told> = told.iter().filter(within).collect();
        let mut states: BTreeMap<String, usize> = BTreeMap::new();
        for one in &sent {
            *states.entry(one.state().to_owned()).or_default() += 1;
        }
        let mut times: Vec<u64> = sent.iter().map(|one| one.millis).collect();
        times.sort_unstable();
        let at = |q: f64| {
            let place = (times.len().saturating_sub(1) as f64 * q).round() as usize;
            times.get(place).copied().unwrap_or(0)
        };
        FaultPhase {
            phase: phase.name.to_owned(),
            sent: sent.len(),
            states,
            p50_ms: at(0.5),
            p99_ms: at(0.99),
        }
    };
    phases.iter().zip(ends).map(summary).collect()
}
