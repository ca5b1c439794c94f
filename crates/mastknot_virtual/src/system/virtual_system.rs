use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use mastknot_core::entry::{EntryCore, EntryEvent, RequestId};
use mastknot_core::message::{Reply, Submission};
use mastknot_core::side::{SideCore, SideEvent};
use mastknot_core::types::{Hall, Incarnation, Moment, NodeName, TaskId, WallTime};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::nodes::{Entry, Side};
use super::schedule::Schedule;
use super::{Delays, EntryIndex, MessageCounts, SideIndex};
use crate::{Audit, FaultRule, ProcessFault, Trigger, VirtualStore};

/// Time of the wall clock at the start of the simulation, in milliseconds.
const WALL_START: u64 = 1_800_000_000_000;

/// Request of a caller with its reply.
#[derive(Clone, Debug)]
pub struct SubmittedRequest {
    /// Submission that the caller sent.
    pub submission: Submission,
    /// Time at which the caller sent the request, in microseconds.
    pub sent_at: u64,
    /// Entry that the request reached, with the entry's incarnation; `None` before it arrives.
    pub sent_to: Option<(EntryIndex, Incarnation)>,
    /// Reply with the time at which it reached the caller, in microseconds.
    pub reply: Option<(u64, Reply)>,
}

/// Process at one end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkEnd {
    Entry(EntryIndex),
    Side(SideIndex),
}

#[derive(Clone, Debug)]
pub(super) enum Action {
    ToEntry {
        entry: EntryIndex,
        incarnation: Incarnation,
        event: Box<EntryEvent>,
    },
    ToSide {
        side: SideIndex,
        incarnation: Incarnation,
        event: Box<SideEvent>,
    },
    TickEntry(EntryIndex, Incarnation),
    TickSide(SideIndex, Incarnation),
    RunEnds {
        side: SideIndex,
        incarnation: Incarnation,
        task: TaskId,
        run: u64,
    },
    Feed(EntryIndex, Incarnation),
    Submit {
        entry: EntryIndex,
        request: RequestId,
    },
    Reply {
        request: RequestId,
        reply: Box<Reply>,
    },
    FaultAtEntry(EntryIndex, Incarnation, ProcessFault),
    FaultAtSide(SideIndex, Incarnation, ProcessFault),
    BreakLink {
        from: LinkEnd,
        to: LinkEnd,
        partition_number: u64,
    },
    StartEntry(EntryIndex),
    StartSide(SideIndex),
}

/// Simulation of entries, sides, a store and callers in virtual time.
#[derive(Debug)]
pub struct VirtualSystem {
    /// Delivery times of messages.
    pub delays: Delays,
    /// Fake store.
    pub store: VirtualStore,
    /// Audit of the guarantees.
    pub audit: Audit,
    /// Number of messages between processes, by kind.
    pub messages: MessageCounts,
    pub(super) now: u64,
    pub(super) schedule: Schedule<Action>,
    pub(super) entries: Vec<Entry>,
    pub(super) sides: Vec<Side>,
    pub(super) rules: Vec<FaultRule>,
    pub(super) triggers: Vec<Trigger>,
    /// Pairs of halls that are partitioned from each other.
    pub(super) partitions: BTreeSet<(Hall, Hall)>,
    /// Messages that wait for the end of a partition, by link.
    pub(super) held_messages: BTreeMap<(NodeName, NodeName), Vec<Action>>,
    /// Links that broke because of a partition.
    pub(super) broken: BTreeSet<(NodeName, NodeName)>,
    /// Number of partitions and repairs so far. It prevents the timeout of an earlier partition from breaking
    /// a link.
    pub(super) partition_number: u64,
    /// Latest delivery time of each link, which keeps the order of its messages.
    pub(super) latest: HashMap<(NodeName, NodeName), u64>,
    pub(super) requests: BTreeMap<RequestId, SubmittedRequest>,
    pub(super) next_request: RequestId,
    pub(super) next_incarnation: u64,
    pub(super) steps: u64,
    pub(super) rng: StdRng,
}

impl VirtualSystem {
    /// Creates an empty system; `seed` initializes the random numbers.
    pub fn new(delays: Delays, seed: u64) -> Self {
        Self {
            delays,
            store: VirtualStore::default(),
            audit: Audit::default(),
            messages: MessageCounts::default(),
            now: 0,
            schedule: Schedule::new(),
            entries: Vec::new(),
            sides: Vec::new(),
            rules: Vec::new(),
            triggers: Vec::new(),
            partitions: BTreeSet::new(),
            held_messages: BTreeMap::new(),
            broken: BTreeSet::new(),
            partition_number: 0,
            latest: HashMap::new(),
            requests: BTreeMap::new(),
            next_request: 1,
            next_incarnation: 1,
            steps: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the time since the start, in microseconds.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Returns the number of actions handled so far.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Returns all requests of callers with their replies.
    pub fn requests(&self) -> impl Iterator<Item = &SubmittedRequest> {
        self.requests.values()
    }

    /// Returns a request with its reply.
    pub fn request(&self, request: RequestId) -> &SubmittedRequest {
        &self.requests[&request]
    }

    /// Returns the wall-clock time at `at` microseconds since the start.
    pub fn wall_at(&self, at: u64) -> WallTime {
        WallTime::from_millis(WALL_START + at / 1_000)
    }

    /// Returns the reply to a request if it has arrived.
    pub fn reply(&self, request: RequestId) -> Option<&Reply> {
        let submitted = self.requests.get(&request)?;
        submitted.reply.as_ref().map(|(_, reply)| reply)
    }

    /// Returns the core of an entry, or `None` while its process is dead.
    pub fn entry(&self, entry: EntryIndex) -> Option<&EntryCore> {
        self.entries[entry].core.as_ref()
    }

    /// Returns the core of an entry for changes, so that tests can verify that they detect a broken core.
    pub fn entry_mut(&mut self, entry: EntryIndex) -> Option<&mut EntryCore> {
        self.entries[entry].core.as_mut()
    }

    /// Returns the core of a side, or `None` while its process is dead.
    pub fn side(&self, side: SideIndex) -> Option<&SideCore> {
        self.sides[side].core.as_ref()
    }

    /// Returns whether the planned stop of an entry is complete.
    pub fn has_stopped(&self, entry: EntryIndex) -> bool {
        self.entries[entry].stopped
    }

    // Progress of time.

    /// Runs the simulation for the given time.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time.as_micros() as u64;
        while self.schedule.next_at().is_some_and(|at| at <= end) {
            self.perform_next_action();
        }
        self.now = end;
    }

    /// Runs the simulation until a condition holds or the time limit is reached, and returns whether the
    /// condition holds.
    pub fn run_until(&mut self, limit: Duration, holds: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + limit.as_micros() as u64;
        while !holds(self) {
            if self.schedule.next_at().is_none_or(|at| at > end) {
                self.now = end;
                return holds(self);
            }
            self.perform_next_action();
        }
        true
    }

    fn perform_next_action(&mut self) {
        let Some((at, action)) = self.schedule.pop() else {
            return;
        };
        self.now = self.now.max(at);
        self.steps += 1;
        match action {
            Action::ToEntry {
                entry,
                incarnation,
                event,
            } => self.deliver_to_entry(entry, incarnation, event),
            Action::ToSide {
                side,
                incarnation,
                event,
            } => self.deliver_to_side(side, incarnation, event),
            Action::TickEntry(entry, incarnation) => {
                self.entries[entry].tick_at = None;
                self.deliver_to_entry(entry, incarnation, Box::new(EntryEvent::Tick));
            }
            Action::TickSide(side, incarnation) => {
                self.sides[side].tick_at = None;
                self.deliver_to_side(side, incarnation, Box::new(SideEvent::Tick));
            }
            Action::RunEnds {
                side,
                incarnation,
                task,
                run,
            } => self.run_ends(side, incarnation, task, run),
            Action::Feed(entry, incarnation) => self.feed(entry, incarnation),
            Action::Submit { entry, request } => self.submit_now(entry, request),
            Action::Reply { request, reply } => self.reply_arrives(request, *reply),
            Action::FaultAtEntry(entry, run, fault) => self.apply_entry_fault(entry, run, fault),
            Action::FaultAtSide(side, run, fault) => self.apply_side_fault(side, run, fault),
            Action::BreakLink {
                from,
                to,
                partition_number,
            } => self.break_link(from, to, partition_number),
            Action::StartEntry(entry) => self.start_entry(entry),
            Action::StartSide(side) => self.start_side(side),
        }
    }

    pub(super) fn wall(&self, skew_ms: i64) -> WallTime {
        let millis = WALL_START + self.now / 1_000;
        WallTime::from_millis(millis.saturating_add_signed(skew_ms))
    }

    pub(super) fn moment(&self) -> Moment {
        Moment::from_micros(self.now)
    }
}

pub(super) fn entry_name_and_hall(entry: &Entry) -> (NodeName, Hall) {
    (entry.name().clone(), entry.hall().clone())
}

pub(super) fn side_name_and_hall(side: &Side) -> (NodeName, Hall) {
    (side.settings.side.clone(), side.settings.hall.clone())
}

/// Returns the run time that a task asks for, in microseconds. Its payload begins with that number and a
/// space.
pub(super) fn run_micros(payload: &[u8]) -> u64 {
    let text = std::str::from_utf8(payload).unwrap_or_default();
    let number = text.split(' ').next().unwrap_or_default();
    number.parse().unwrap_or(0)
}
