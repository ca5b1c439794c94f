use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mastknot_standin::StoreFaults;
use serde::Serialize;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use super::audit::{CallerResult, FaultAudit};
use super::callers::call;
use super::test_bed::FaultTestBed;
use crate::error::{InvalidRunSnafu, LoadError};
use crate::process::Signal;

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct FaultsPlan {
    /// Submissions per second.
    pub rate: u32,
    /// Time for which processes are paused, in seconds.
    pub pause_seconds: u64,
}

/// Results of the submissions that were sent in one phase.
#[derive(Clone, Debug, Serialize)]
pub struct FaultPhase {
    /// Name of the phase.
    pub phase: String,
    /// Number of submissions sent.
    pub sent: usize,
    /// Number of submissions by the state of their last answer.
    pub states: BTreeMap<String, usize>,
    /// Median time to the final answer, including resubmissions, in milliseconds.
    pub p50_ms: u64,
    /// 99th percentile of the time to the final answer, including resubmissions, in milliseconds.
    pub p99_ms: u64,
}

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct FaultsReport {
    /// Phases in order of time.
    pub phases: Vec<FaultPhase>,
    /// Time from the kill of an entry until its peers had taken over its keys, in milliseconds.
    pub takeover_ms: u64,
    /// Exit codes of the entry and the side that were stopped with SIGTERM; `None` if there was
    /// none.
    pub planned_stops: Vec<Option<i32>>,
    /// Number of task starts that the workers recorded.
    pub starts: u64,
    /// Violations of guarantees.
    pub audit: FaultAudit,
}

struct Phase {
    name: &'static str,
    from_ms: u64,
}

/// Time for which submissions are sent in each phase, apart from the time that its fault takes.
const PHASE_TIME: Duration = Duration::from_secs(4);
/// Maximum time of a takeover.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time of a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

struct Run {
    test_bed: FaultTestBed,
    started_at: Instant,
    phases: Vec<Phase>,
    calls: JoinSet<CallerResult>,
    sent: usize,
    rate: u32,
    versions: BTreeMap<usize, u64>,
    reverts: u64,
}

/// Sends submissions during a series of faults and audits the answers.
pub async fn run_faults(plan: FaultsPlan) -> Result<FaultsReport, LoadError> {
    let mut run = Run {
        test_bed: FaultTestBed::start(3, 4, 8).await?,
        started_at: Instant::now(),
        phases: Vec::new(),
        calls: JoinSet::new(),
        sent: 0,
        rate: plan.rate,
        versions: BTreeMap::new(),
        reverts: 0,
    };
    run.run_phase("before", PHASE_TIME).await;
    let takeover_ms = run.kill_entry().await?;
    run.kill_side().await?;
    run.pause(plan.pause_seconds).await?;
    run.store_outage().await?;
    let planned_stops = run.stop_by_plan().await?;
    run.run_phase("after", PHASE_TIME).await;
    run.finish(takeover_ms, planned_stops).await
}

impl Run {
    /// Begins a phase and sends submissions at the rate of the plan for the given time.
    async fn run_phase(&mut self, phase: &'static str, time: Duration) {
        let from_ms = self.started_at.elapsed().as_millis() as u64;
        let name = phase;
        self.phases.push(Phase { name, from_ms });
        self.submit_for(time).await;
    }

    async fn submit_for(&mut self, time: Duration) {
        let end = Instant::now() + time;
        let mut ticks = interval(Duration::from_secs(1) / self.rate);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        while Instant::now() < end {
            ticks.tick().await;
            let client = self.test_bed.client.clone();
            let entries = self.test_bed.callers();
            let workers = Arc::clone(&self.test_bed.workers);
            let called = call(client, entries, workers, self.sent, self.started_at);
            self.calls.spawn(called);
            self.sent += 1;
        }
        self.check_versions().await;
    }

    /// Counts decreases of the configuration version of each entry; only a restart may lower it.
    async fn check_versions(&mut self) {
        for (index, entry) in self.test_bed.entries.iter().enumerate() {
            let status = self
                .test_bed
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
            from_ms: self.started_at.elapsed().as_millis() as u64,
        });
        if let Some(process) = &self.test_bed.entries[2].process {
            process.signal(Signal::Kill)?;
        }
        let killed = Instant::now();
        let takeover_ms = loop {
            self.submit_for(Duration::from_millis(100)).await;
            let entry = self.test_bed.entries[0].operators;
            let roster = self.test_bed.client.get(entry, "/v1/live/entries").await?;
            let members = roster.body["entries"].as_array().map_or(0, Vec::len);
            if members == 2 && roster.body["is_fresh"] == true {
                break killed.elapsed().as_millis() as u64;
            }
            if killed.elapsed() > TAKEOVER_TIMEOUT {
                let reason = format!("no takeover: {}", roster.body);
                return InvalidRunSnafu { reason }.fail();
            }
        };
        self.submit_for(PHASE_TIME).await;
        self.versions.remove(&2);
        self.test_bed.entries[2].start_process()?;
        self.submit_for(PHASE_TIME).await;
        Ok(takeover_ms)
    }

    async fn kill_side(&mut self) -> Result<(), LoadError> {
        self.phases.push(Phase {
            name: "side killed (SIGKILL), restarted after 2 s",
            from_ms: self.started_at.elapsed().as_millis() as u64,
        });
        if let Some(process) = &self.test_bed.sides[3].process {
            process.signal(Signal::Kill)?;
        }
        self.submit_for(PHASE_TIME / 2).await;
        self.test_bed.sides[3].start_process()?;
        self.submit_for(PHASE_TIME).await;
        Ok(())
    }

    async fn pause(&mut self, seconds: u64) -> Result<(), LoadError> {
        self.phases.push(Phase {
            name: "entry and side paused (SIGSTOP), then woken",
            from_ms: self.started_at.elapsed().as_millis() as u64,
        });
        let entry = self.test_bed.entries[1].process.as_ref();
        let side = self.test_bed.sides[2].process.as_ref();
        for process in [entry, side].into_iter().flatten() {
            process.signal(Signal::Stop)?;
        }
        self.submit_for(Duration::from_secs(seconds)).await;
        let entry = self.test_bed.entries[1].process.as_ref();
        let side = self.test_bed.sides[2].process.as_ref();
        for process in [entry, side].into_iter().flatten() {
            process.signal(Signal::Continue)?;
        }
        self.submit_for(PHASE_TIME).await;
        Ok(())
    }

    async fn store_outage(&mut self) -> Result<(), LoadError> {
        self.phases.push(Phase {
            name: "store down for 6 s, then losing answers, with a change each",
            from_ms: self.started_at.elapsed().as_millis() as u64,
        });
        self.test_bed.store.set_faults(StoreFaults {
            is_down: true,
            ..StoreFaults::default()
        });
        self.submit_for(Duration::from_secs(6)).await;
        self.test_bed.store.set_faults(StoreFaults {
            lose_answers: 2,
            ..StoreFaults::default()
        });
        self.test_bed
            .create("team", "team", json!({ "quota": 1_000 }))
            .await?;
        self.submit_for(PHASE_TIME).await;
        Ok(())
    }

    async fn stop_by_plan(&mut self) -> Result<Vec<Option<i32>>, LoadError> {
        self.phases.push(Phase {
            name: "entry and side stopped by plan (SIGTERM)",
            from_ms: self.started_at.elapsed().as_millis() as u64,
        });
        let mut codes = Vec::new();
        if let Some(process) = &self.test_bed.entries[2].process {
            process.signal(Signal::Terminate)?;
        }
        if let Some(process) = &self.test_bed.sides[3].process {
            process.signal(Signal::Terminate)?;
        }
        self.submit_for(PHASE_TIME).await;
        let entry = self.test_bed.entries[2].process.as_mut();
        let side = self.test_bed.sides[3].process.as_mut();
        for process in [entry, side].into_iter().flatten() {
            let status = process.wait(STOP_TIMEOUT).await;
            codes.push(status.and_then(|status| status.code()));
        }
        Ok(codes)
    }

    async fn finish(
        mut self,
        takeover_ms: u64,
        planned_stops: Vec<Option<i32>>,
    ) -> Result<FaultsReport, LoadError> {
        let mut results = Vec::new();
        while let Some(result) = self.calls.join_next().await {
            results.extend(result.ok());
        }
        // Tasks that still run on targets have time to be recorded.
        sleep(Duration::from_secs(1)).await;
        let starts = self.test_bed.starts();
        let audit = FaultAudit::of(&results, &starts, self.reverts);
        Ok(FaultsReport {
            phases: phases(&self.phases, &results),
            takeover_ms,
            planned_stops,
            starts: starts.total(),
            audit,
        })
    }
}

fn phases(phases: &[Phase], results: &[CallerResult]) -> Vec<FaultPhase> {
    let ends = phases.iter().skip(1).map(|phase| phase.from_ms);
    let ends = ends.chain([u64::MAX]);
    let summary = |(phase, end): (&Phase, u64)| {
        let within = |result: &&CallerResult| (phase.from_ms..end).contains(&result.sent_at_ms);
        let sent: Vec<&CallerResult> = results.iter().filter(within).collect();
        let mut states: BTreeMap<String, usize> = BTreeMap::new();
        for result in &sent {
            *states.entry(result.state().to_owned()).or_default() += 1;
        }
        let mut times: Vec<u64> = sent.iter().map(|result| result.millis).collect();
        times.sort_unstable();
        let at = |q: f64| {
            let index = (times.len().saturating_sub(1) as f64 * q).round() as usize;
            times.get(index).copied().unwrap_or(0)
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
