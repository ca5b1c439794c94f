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

/// The wall clock at the start, in milliseconds.
const WALL_START: u64 = 1_800_000_000_000;

/// A caller's request and its reply.
#[derive(Clone, Debug)]
pub struct SubmittedRequest {
    /// What was submitted.
    pub submission: Submission,
    /// When the caller sent it, in microseconds.
    pub sent_at: u64,
    /// The run of the entry that it reached.
    pub sent_to: Option<(EntryIndex, Incarnation)>,
    /// The reply with the time at which the caller had it.
    pub reply: Option<(u64, Reply)>,
}

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
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
    HitEntry(EntryIndex, Incarnation, ProcessFault),
    HitSide(SideIndex, Incarnation, ProcessFault),
    BreakLink {
        from: End,
        to: End,
        cut_number: u64,
    },
    StartEntry(EntryIndex),
    StartSide(SideIndex),
}

/// Entries, sides, a store and callers in virtual time.
#[derive(Debug)]
pub struct VirtualSystem {
    /// How long messages take.
    pub delays: Delays,
    /// The fake store.
    pub store: VirtualStore,
    /// The promises.
    pub audit: Audit,
    /// Messages between processes.
    pub messages: MessageCounts,
    pub(super) now: u64,
    pub(super) schedule: Schedule<Action>,
    pub(super) entries: Vec<Entry>,
    pub(super) sides: Vec<Side>,
    pub(super) rules: Vec<FaultRule>,
    pub(super) triggers: Vec<Trigger>,
    /// Pairs of halls without a connection.
    pub(super) cuts: BTreeSet<(Hall, Hall)>,
    /// Messages that wait in a cut, by link.
    pub(super) held: BTreeMap<(NodeName, NodeName), Vec<Action>>,
    /// Links that broke in a cut.
    pub(super) broken: BTreeSet<(NodeName, NodeName)>,
    /// Counts cuts and healings, so that an old cut's limit breaks nothing.
    pub(super) cut_number: u64,
    /// The latest delivery of each link, which keeps its order.
    pub(super) latest: HashMap<(NodeName, NodeName), u64>,
    pub(super) requests: BTreeMap<RequestId, SubmittedRequest>,
    pub(super) next_request: RequestId,
    pub(super) next_incarnation: u64,
    pub(super) steps: u64,
    pub(super) rng: StdRng,
}

impl VirtualSystem {
    /// An empty system with a seed for jitter.
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
            cuts: BTreeSet::new(),
            held: BTreeMap::new(),
            broken: BTreeSet::new(),
            cut_number: 0,
            latest: HashMap::new(),
            requests: BTreeMap::new(),
            next_request: 1,
            next_incarnation: 1,
            steps: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// The time since the start, in microseconds.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Events handled so far.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// All requests of callers with their replies.
    pub fn requests(&self) -> impl Iterator<Item = &SubmittedRequest> {
        self.requests.values()
    }

    /// A request with its reply.
    pub fn request(&self, request: RequestId) -> &SubmittedRequest {
        &self.requests[&request]
    }

    /// The wall clock at a later time.
    pub fn wall_at(&self, at: u64) -> WallTime {
        WallTime::from_millis(WALL_START + at / 1_000)
    }

    /// The reply to a request, if there is one yet.
    pub fn reply(&self, request: RequestId) -> Option<&Reply> {
        let submitted = self.requests.get(&request)?;
        submitted.reply.as_ref().map(|(_, reply)| reply)
    }

    /// A core, to look at; none while its process is dead.
    pub fn entry(&self, entry: EntryIndex) -> Option<&EntryCore> {
        self.entries[entry].core.as_ref()
    }

    /// A core, to break it in tests of the tests.
    pub fn entry_mut(&mut self, entry: EntryIndex) -> Option<&mut EntryCore> {
        self.entries[entry].core.as_mut()
    }

    /// A core, to look at; none while its process is dead.
    pub fn side(&self, side: SideIndex) -> Option<&SideCore> {
        self.sides[side].core.as_ref()
    }

    /// Whether an entry's planned stop has come to its end.
    pub fn has_stopped(&self, entry: EntryIndex) -> bool {
        self.entries[entry].stopped
    }

    // ---- time ----

    /// Lets this much time pass.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time.as_micros() as u64;
        while self.schedule.next_at().is_some_and(|at| at <= end) {
            self.step_once();
        }
        self.now = end;
    }

    /// Lets time pass until a condition holds or the limit is reached; says whether it holds.
    pub fn run_until(&mut self, limit: Duration, holds: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + limit.as_micros() as u64;
        while !holds(self) {
            if self.schedule.next_at().is_none_or(|at| at > end) {
                self.now = end;
                return holds(self);
            }
            self.step_once();
        }
        true
    }

    fn step_once(&mut self) {
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
            Action::HitEntry(entry, run, fault) => self.hit_entry(entry, run, fault),
            Action::HitSide(side, run, fault) => self.hit_side(side, run, fault),
            Action::BreakLink {
                from,
                to,
                cut_number,
            } => self.break_link(from, to, cut_number),
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

pub(super) fn entry_end(entry: &Entry) -> (NodeName, Hall) {
    (entry.name().clone(), entry.hall().clone())
}

pub(super) fn side_end(side: &Side) -> (NodeName, Hall) {
    (side.settings.side.clone(), side.settings.hall.clone())
}

/// The time that a task asks for: its bytes begin with a number of microseconds and a space.
pub(super) fn run_micros(payload: &[u8]) -> u64 {
    let text = std::str::from_utf8(payload).unwrap_or_default();
    let number = text.split(' ').next().unwrap_or_default();
    number.parse().unwrap_or(0)
}
