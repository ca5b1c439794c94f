//! Simulation of baselines that push tasks to targets, and of the omniscient queue.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};

use mastknot_virtual::Delays;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::super::{Outcome, Workload};
use super::Baseline;

/// Time between two load reports of the sides to the entries, in microseconds.
const REPORT_INTERVAL: u64 = 100_000;

/// Task, as the index of its arrival in the workload and its index in the job.
type Task = (usize, usize);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    ArrivalDue(usize),
    TaskReceived { side: usize, task: Task },
    TaskEnded { side: usize, task: Task },
    LoadReportsDue,
}

#[derive(Clone, Debug, Default)]
struct Side {
    free: usize,
    queue: VecDeque<Task>,
    load: usize,
    reported: usize,
}

/// Result of running a workload with a baseline.
#[derive(Debug)]
pub(crate) struct PushedRun {
    pub(crate) outcomes: Vec<Outcome>,
    pub(crate) starts: u64,
    pub(crate) messages: u64,
}

struct Simulation<'a> {
    baseline: Baseline,
    workload: &'a Workload,
    delays: Delays,
    halls: usize,
    sides: Vec<Side>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    rng: StdRng,
    unanswered: Vec<usize>,
    done_at: Vec<u64>,
    /// Queue of the omniscient baseline: the number of tasks that a submission has left to start,
    /// with the index of its arrival.
    central_queue: BTreeSet<(usize, usize)>,
    next_task: Vec<usize>,
    starts: u64,
    messages: u64,
}

/// Simulates a workload with a baseline.
pub(crate) fn run_pushed(
    baseline: Baseline,
    workload: &Workload,
    delays: Delays,
    halls: usize,
    sides: usize,
    slots: u16,
    seed: u64,
) -> PushedRun {
    let count = workload.arrivals.len();
    let side = Side {
        free: usize::from(slots),
        ..Side::default()
    };
    let mut run = Simulation {
        baseline,
        workload,
        delays,
        halls,
        sides: vec![side; sides],
        events: BinaryHeap::new(),
        order: 0,
        rng: StdRng::seed_from_u64(seed),
        unanswered: workload.arrivals.iter().map(|a| a.runs.len()).collect(),
        done_at: vec![0; count],
        central_queue: BTreeSet::new(),
        next_task: vec![0; count],
        starts: 0,
        messages: 0,
    };
    run.run();
    let outcome = |(arrival, done): (&super::super::Arrival, &u64)| Outcome {
        response: (*done > 0).then(|| done - arrival.at),
    };
    let pairs = workload.arrivals.iter().zip(&run.done_at);
    PushedRun {
        outcomes: pairs.map(outcome).collect(),
        starts: run.starts,
        messages: run.messages,
    }
}

impl Simulation<'_> {
    fn add(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn run(&mut self) {
        let to_entry = self.delays.to_callers.as_micros() as u64;
        for index in 0..self.workload.arrivals.len() {
            let at = self.workload.arrivals[index].at + to_entry;
            self.add(at, Event::ArrivalDue(index));
        }
        if self.baseline == Baseline::LeastReported {
            self.add(0, Event::LoadReportsDue);
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::ArrivalDue(arrival) => self.on_arrival(now, arrival),
                Event::TaskReceived { side, task } => self.on_task_received(now, side, task),
                Event::TaskEnded { side, task } => self.on_task_ended(now, side, task),
                Event::LoadReportsDue => self.on_load_reports(now),
            }
        }
    }

    fn one_way_delay(&self, entry: usize, side: usize) -> u64 {
        let is_near = entry % self.halls == side % self.halls;
        let delay = if is_near {
            self.delays.within_hall
        } else {
            self.delays.between_halls
        };
        delay.as_micros() as u64
    }

    fn on_arrival(&mut self, now: u64, arrival: usize) {
        let count = self.workload.arrivals[arrival].runs.len();
        if self.baseline == Baseline::Omniscient {
            self.central_queue.insert((count, arrival));
            return self.start_central(now);
        }
        let entry = self.workload.arrivals[arrival].entry;
        for task in 0..count {
            let (side, probing) = self.choose(entry);
            let at = now + probing + self.one_way_delay(entry, side);
            self.messages += 1;
            // Until the next report, the sender adds the tasks that it has sent.
            self.sides[side].reported += 1;
            let task = (arrival, task);
            self.add(at, Event::TaskReceived { side, task });
        }
    }

    /// Returns the side for a task and the time that the choice takes, in microseconds.
    fn choose(&mut self, entry: usize) -> (usize, u64) {
        let random_index = |rng: &mut StdRng, count: usize| rng.random_range(0..count);
        let count = self.sides.len();
        match self.baseline {
            Baseline::Random | Baseline::Omniscient => (random_index(&mut self.rng, count), 0),
            Baseline::LeastReported => {
                let least = self.sides.iter().map(|side| side.reported).min();
                let best: Vec<usize> = (0..count)
                    .filter(|index| Some(self.sides[*index].reported) == least)
                    .collect();
                (best[random_index(&mut self.rng, best.len())], 0)
            }
            Baseline::TwoProbes => {
                let (a, b) = (
                    random_index(&mut self.rng, count),
                    random_index(&mut self.rng, count),
                );
                self.messages += 4;
                let better = if self.sides[b].load < self.sides[a].load {
                    b
                } else {
                    a
                };
                let probing = 2 * self
                    .one_way_delay(entry, a)
                    .max(self.one_way_delay(entry, b));
                (better, probing)
            }
        }
    }

    fn on_task_received(&mut self, now: u64, side: usize, task: Task) {
        self.sides[side].load += 1;
        self.sides[side].queue.push_back(task);
        self.start_queued(now, side);
    }

    fn start_queued(&mut self, now: u64, side: usize) {
        while self.sides[side].free > 0 {
            let Some(task) = self.sides[side].queue.pop_front() else {
                return;
            };
            self.start(now, side, task);
        }
    }

    fn start(&mut self, now: u64, side: usize, task: Task) {
        self.sides[side].free -= 1;
        self.starts += 1;
        let run = self.workload.arrivals[task.0].runs[task.1];
        self.add(now + run, Event::TaskEnded { side, task });
    }

    fn on_task_ended(&mut self, now: u64, side: usize, task: Task) {
        self.sides[side].free += 1;
        self.sides[side].load = self.sides[side].load.saturating_sub(1);
        self.messages += 1;
        let arrival = &self.workload.arrivals[task.0];
        // For the omniscient queue, every target counts as in the hall of its entry.
        let return_delay = if self.baseline == Baseline::Omniscient {
            self.delays.within_hall.as_micros() as u64
        } else {
            self.one_way_delay(arrival.entry, side)
        };
        self.unanswered[task.0] -= 1;
        let answered = now + return_delay + self.delays.to_callers.as_micros() as u64;
        self.done_at[task.0] = self.done_at[task.0].max(answered);
        if self.baseline == Baseline::Omniscient {
            self.start_central(now);
        } else {
            self.start_queued(now, side);
        }
    }

    /// Starts tasks on all free slots, those of the submission with the fewest tasks left first.
    fn start_central(&mut self, now: u64) {
        while let Some(side) = self.sides.iter().position(|side| side.free > 0) {
            let Some((left, arrival)) = self.central_queue.pop_first() else {
                return;
            };
            let task = self.next_task[arrival];
            self.next_task[arrival] += 1;
            if left > 1 {
                self.central_queue.insert((left - 1, arrival));
            }
            self.messages += 1;
            self.start(now, side, (arrival, task));
        }
    }

    fn on_load_reports(&mut self, now: u64) {
        for side in &mut self.sides {
            side.reported = side.load;
        }
        let entries = self.workload.arrivals.iter().map(|a| a.entry).max();
        self.messages += (self.sides.len() * (entries.unwrap_or(0) + 1)) as u64;
        if !self.events.is_empty() {
            self.add(now + REPORT_INTERVAL, Event::LoadReportsDue);
        }
    }
}
