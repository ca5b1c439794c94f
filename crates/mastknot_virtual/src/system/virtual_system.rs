use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use mastknot_core::config::{ConfigWrite, StoredResource, WriteCall, WriteStep};
use mastknot_core::entry::{
    CallerRequest, EntryCore, EntryEffect, EntryEvent, EntrySettings, RequestId,
};
use mastknot_core::message::{
    EntryMessage, NotRunReason, PeerMessage, Reply, ResourceName, SideMessage, Submission,
    TaskOrder, TaskOutcome, TaskResult,
};
use mastknot_core::roster::{Member, MemberId, RosterWrite, WriteDecision};
use mastknot_core::side::{SideCore, SideEffect, SideEvent, SideSettings};
use mastknot_core::types::{
    Hall, Incarnation, Moment, NodeName, Now, SubmissionKey, TaskId, WallTime,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::nodes::{Entry, Side};
use super::schedule::Schedule;
use super::{Delays, EntryIndex, MessageCounts, SideIndex};
use crate::{Audit, Fate, MessageKind, ProcessFault, Rule, Trigger, Violation, VirtualStore};

/// The wall clock at the start, in milliseconds.
const WALL_START: u64 = 1_800_000_000_000;
/// How long until a broken link is noticed and, for a dead process, the refusal is seen.
const NOTICE: Duration = Duration::from_millis(300);
/// How long messages into a cut wait before the link counts as broken.
const CUT_LIMIT: Duration = Duration::from_secs(5);
/// How often an entry's feed checks that its watch has skipped nothing.
const FEED_CHECK: Duration = Duration::from_secs(1);
/// A target that began to leave may still get what was on its way.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// A caller's request and its reply.
#[derive(Clone, Debug)]
pub struct Submitted {
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
enum End {
    Entry(EntryIndex),
    Side(SideIndex),
}

#[derive(Clone, Debug)]
enum Action {
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
    now: u64,
    schedule: Schedule<Action>,
    entries: Vec<Entry>,
    sides: Vec<Side>,
    rules: Vec<Rule>,
    triggers: Vec<Trigger>,
    /// Pairs of halls without a connection.
    cuts: BTreeSet<(Hall, Hall)>,
    /// Messages that wait in a cut, by link.
    held: BTreeMap<(NodeName, NodeName), Vec<Action>>,
    /// Links that broke in a cut.
    broken: BTreeSet<(NodeName, NodeName)>,
    /// Counts cuts and healings, so that an old cut's limit breaks nothing.
    cut_number: u64,
    /// The latest delivery of each link, which keeps its order.
    latest: HashMap<(NodeName, NodeName), u64>,
    requests: BTreeMap<RequestId, Submitted>,
    next_request: RequestId,
    next_incarnation: u64,
    steps: u64,
    rng: StdRng,
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
    pub fn requests(&self) -> impl Iterator<Item = &Submitted> {
        self.requests.values()
    }

    /// A request with its reply.
    pub fn request(&self, request: RequestId) -> &Submitted {
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

    // ---- building ----

    /// Starts an entry named `entry-N` in a hall; `change` adjusts its settings.
    pub fn add_entry(
        &mut self,
        hall: &str,
        change: impl FnOnce(EntrySettings) -> EntrySettings,
    ) -> EntryIndex {
        let index = self.entries.len();
        let id = MemberId {
            name: format!("entry-{}", index + 1).into(),
            incarnation: Incarnation(0),
        };
        let me = Member {
            id,
            address: format!("entry-{}", index + 1),
            hall: hall.into(),
        };
        self.entries.push(Entry {
            settings: change(EntrySettings::new(me)),
            core: None,
            paused_until: 0,
            tick_at: None,
            skew_ms: 0,
            fed_version: 0,
            stopped: false,
        });
        self.start_entry(index);
        index
    }

    /// Starts a side named `side-N` in a hall with this many slots.
    pub fn add_side(&mut self, hall: &str, slots: u16) -> SideIndex {
        let index = self.sides.len();
        let name = format!("side-{}", index + 1);
        self.sides.push(Side {
            settings: SideSettings::new(name, hall).slots(slots),
            core: None,
            paused_until: 0,
            tick_at: None,
            runs: HashMap::new(),
            next_run: 0,
            slow_percent: 100,
            is_refusing: false,
            lose_answers: 0,
            leaving_since: None,
            links: BTreeSet::new(),
        });
        self.start_side(index);
        index
    }

    fn new_incarnation(&mut self) -> Incarnation {
        self.next_incarnation += 1;
        Incarnation(self.next_incarnation)
    }

    /// Starts a dead entry again, as a new run.
    pub fn start_entry(&mut self, index: EntryIndex) {
        let incarnation = self.new_incarnation();
        let entry = &mut self.entries[index];
        entry.settings.me.id.incarnation = incarnation;
        entry.core = Some(EntryCore::new(entry.settings.clone()));
        entry.paused_until = 0;
        entry.tick_at = None;
        entry.fed_version = 0;
        entry.stopped = false;
        let name = entry.name().clone();
        self.audit.note_restart(&name);
        for other in 0..self.entries.len() {
            if other != index && self.is_up(other) {
                self.link_entries(index, other);
            }
        }
        for side in 0..self.sides.len() {
            self.link_side(side, index);
        }
        self.schedule
            .add(self.now, Action::TickEntry(index, incarnation));
        self.schedule
            .add(self.now, Action::Feed(index, incarnation));
    }

    /// Starts a dead side again, as a new run.
    pub fn start_side(&mut self, index: SideIndex) {
        let incarnation = self.new_incarnation();
        let side = &mut self.sides[index];
        side.settings.incarnation = incarnation;
        side.core = Some(SideCore::new(side.settings.clone()));
        side.paused_until = 0;
        side.tick_at = None;
        side.leaving_since = None;
        side.links.clear();
        let name = side.settings.side.clone();
        self.audit.note_restart(&name);
        for entry in 0..self.entries.len() {
            self.link_side(index, entry);
        }
    }

    fn is_up(&self, entry: EntryIndex) -> bool {
        self.entries[entry].core.is_some()
    }

    fn link_entries(&mut self, a: EntryIndex, b: EntryIndex) {
        for (from, to) in [(a, b), (b, a)] {
            let Some(core) = &self.entries[from].core else {
                return;
            };
            let message = PeerMessage::Hello {
                member: core.membership().me().clone(),
                roster_version: core.membership().version(),
                config_version: core.config().version(),
            };
            self.send_to_peer(from, to, message);
        }
    }

    fn link_side(&mut self, side: SideIndex, entry: EntryIndex) {
        if self.sides[side].core.is_none() || !self.is_up(entry) {
            return;
        }
        let name = self.entries[entry].name().clone();
        self.sides[side].links.insert(name.clone());
        let at = self.delivery(side_end(&self.sides[side]), entry_end(&self.entries[entry]));
        let event = SideEvent::EntryJoined { entry: name };
        self.at_side(at, side, event);
    }

    // ---- faults ----

    /// The next `count` messages of a kind meet a fate.
    pub fn add_rule(&mut self, rule: Rule) {
        self.rules.push(rule);
    }

    /// A process fault at the next message of a kind.
    pub fn add_trigger(&mut self, trigger: Trigger) {
        self.triggers.push(trigger);
    }

    /// Fires the triggers of a message between an entry and, where there is one, a side.
    fn fire(&mut self, kind: MessageKind, entry: Option<EntryIndex>, side: Option<SideIndex>) {
        let mut due = Vec::new();
        self.triggers.retain_mut(|trigger| {
            if trigger.kind != kind {
                return true;
            }
            if trigger.skip > 0 {
                trigger.skip -= 1;
                return true;
            }
            due.push(*trigger);
            false
        });
        for trigger in due {
            if trigger.hits_side {
                let index = side.unwrap_or(0);
                let incarnation = self.sides[index].settings.incarnation;
                let action = Action::HitSide(index, incarnation, trigger.fault);
                self.schedule.add(self.now, action);
            } else {
                let index = entry.unwrap_or(0);
                let incarnation = self.entries[index].incarnation();
                let action = Action::HitEntry(index, incarnation, trigger.fault);
                self.schedule.add(self.now, action);
            }
        }
    }

    fn hit_entry(&mut self, index: EntryIndex, incarnation: Incarnation, fault: ProcessFault) {
        if self.entries[index].incarnation() != incarnation || !self.is_up(index) {
            return;
        }
        match fault {
            ProcessFault::Dies => self.kill_entry(index),
            ProcessFault::Restarts(after) => {
                self.kill_entry(index);
                let at = self.now + after.as_micros() as u64;
                self.schedule.add(at, Action::StartEntry(index));
            }
            ProcessFault::Pauses(time) => self.pause_entry(index, time),
        }
    }

    fn hit_side(&mut self, index: SideIndex, incarnation: Incarnation, fault: ProcessFault) {
        let side = &self.sides[index];
        if side.settings.incarnation != incarnation || side.core.is_none() {
            return;
        }
        match fault {
            ProcessFault::Dies => self.kill_side(index),
            ProcessFault::Restarts(after) => {
                self.kill_side(index);
                let at = self.now + after.as_micros() as u64;
                self.schedule.add(at, Action::StartSide(index));
            }
            ProcessFault::Pauses(time) => self.pause_side(index, time),
        }
    }

    /// A lagging or wrong VM list: every entry reads that a VM is gone.
    pub fn report_vm_gone(&mut self, name: &str) {
        for entry in 0..self.entries.len() {
            let vm = name.into();
            self.at_entry(self.now, entry, EntryEvent::VmGone { vm });
        }
    }

    /// How many entries there are, dead ones included.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// How many sides there are, dead ones included.
    pub fn side_count(&self) -> usize {
        self.sides.len()
    }

    /// The run of an entry; it tells whether a request was sent to an earlier one.
    pub fn entry_incarnation(&self, entry: EntryIndex) -> Incarnation {
        self.entries[entry].incarnation()
    }

    /// An entry's process dies, and its VM refuses connections.
    pub fn kill_entry(&mut self, index: EntryIndex) {
        let id = self.entries[index].settings.me.id.clone();
        self.entries[index].core = None;
        for other in 0..self.entries.len() {
            if other != index && self.is_up(other) {
                let lost = EntryEvent::PeerLost { peer: id.clone() };
                let dead = EntryEvent::PeerDead { peer: id.clone() };
                let soon = self.now + self.delays.between_halls.as_micros() as u64;
                self.at_entry(soon, other, lost);
                self.at_entry(soon + NOTICE.as_micros() as u64, other, dead);
            }
        }
        for side in 0..self.sides.len() {
            if self.sides[side].links.remove(&id.name) {
                let entry = id.name.clone();
                self.at_side(self.now + 1, side, SideEvent::EntryLeft { entry });
            }
        }
    }

    /// A side's process dies; its target ends what it runs without telling anyone.
    pub fn kill_side(&mut self, index: SideIndex) {
        let side = &mut self.sides[index];
        side.core = None;
        side.runs.clear();
        side.links.clear();
        let name = side.settings.side.clone();
        let incarnation = side.settings.incarnation;
        for entry in 0..self.entries.len() {
            let event = EntryEvent::SideLost {
                side: name.clone(),
                incarnation,
            };
            self.at_entry(self.now + 1, entry, event);
        }
    }

    /// Pauses an entry for a while: what arrives waits.
    pub fn pause_entry(&mut self, index: EntryIndex, time: Duration) {
        self.entries[index].paused_until = self.now + time.as_micros() as u64;
    }

    /// Pauses a side for a while; its target goes on.
    pub fn pause_side(&mut self, index: SideIndex, time: Duration) {
        self.sides[index].paused_until = self.now + time.as_micros() as u64;
    }

    /// Cuts two halls apart.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((a.into(), b.into()));
        self.cuts.insert((b.into(), a.into()));
        self.cut_number += 1;
    }

    /// Joins two halls again: what waited arrives, and links that broke stand again.
    pub fn heal(&mut self, a: &str, b: &str) {
        self.cuts.remove(&(a.into(), b.into()));
        self.cuts.remove(&(b.into(), a.into()));
        self.cut_number += 1;
        for (_, actions) in std::mem::take(&mut self.held) {
            for action in actions {
                self.schedule.add(self.now, action);
            }
        }
        let broken = std::mem::take(&mut self.broken);
        for first in 0..self.entries.len() {
            for second in 0..first {
                let pair = (self.entries[first].name(), self.entries[second].name());
                let is_broken = broken.contains(&(pair.0.clone(), pair.1.clone()))
                    || broken.contains(&(pair.1.clone(), pair.0.clone()));
                if is_broken && self.is_up(first) && self.is_up(second) {
                    self.link_entries(first, second);
                }
            }
            for side in 0..self.sides.len() {
                let name = self.entries[first].name().clone();
                if !self.sides[side].links.contains(&name) {
                    self.link_side(side, first);
                }
            }
        }
    }

    fn name_of(&self, end: End) -> NodeName {
        match end {
            End::Entry(index) => self.entries[index].name().clone(),
            End::Side(index) => self.sides[index].settings.side.clone(),
        }
    }

    /// Holds a message back while its link is cut; the link breaks if that takes too long.
    fn hold(&mut self, from: End, to: End, action: Action) {
        let link = (self.name_of(from), self.name_of(to));
        if self.broken.contains(&link) {
            return;
        }
        let is_first = !self.held.contains_key(&link);
        self.held.entry(link).or_default().push(action);
        if is_first {
            let cut_number = self.cut_number;
            let at = self.now + CUT_LIMIT.as_micros() as u64;
            let breaks = Action::BreakLink {
                from,
                to,
                cut_number,
            };
            self.schedule.add(at, breaks);
        }
    }

    /// Bytes into a cut were not acknowledged for too long: both ends see the link break.
    fn break_link(&mut self, from: End, to: End, cut_number: u64) {
        let link = (self.name_of(from), self.name_of(to));
        let is_old = cut_number != self.cut_number;
        if is_old || !self.broken.insert(link.clone()) {
            return;
        }
        self.held.remove(&link);
        match (from, to) {
            (End::Entry(entry), End::Side(side)) | (End::Side(side), End::Entry(entry)) => {
                self.break_side_link(entry, side);
            }
            (End::Entry(a), End::Entry(b)) => {
                for (at, other) in [(a, b), (b, a)] {
                    let peer = self.entries[other].settings.me.id.clone();
                    self.at_entry(self.now, at, EntryEvent::PeerLost { peer });
                }
            }
            (End::Side(_), End::Side(_)) => {}
        }
    }

    fn is_cut(&self, a: &Hall, b: &Hall) -> bool {
        self.cuts.contains(&(a.clone(), b.clone()))
    }

    /// Sets a target's speed, in percent of the usual time.
    pub fn set_slow(&mut self, side: SideIndex, percent: u64) {
        self.sides[side].slow_percent = percent;
    }

    /// Makes a target refuse connections, or stop doing so.
    pub fn set_refusing(&mut self, side: SideIndex, is_refusing: bool) {
        self.sides[side].is_refusing = is_refusing;
    }

    /// Makes a target lose its next answers.
    pub fn lose_target_answers(&mut self, side: SideIndex, count: u32) {
        self.sides[side].lose_answers = count;
    }

    /// Moves an entry's wall clock ahead (or back).
    pub fn set_skew(&mut self, entry: EntryIndex, skew_ms: i64) {
        self.entries[entry].skew_ms = skew_ms;
    }

    // ---- callers and operators ----

    /// A new key made now.
    pub fn new_key(&mut self) -> SubmissionKey {
        SubmissionKey::new(self.wall(0), self.rng.random())
    }

    /// Sends a submission to an entry; returns the request's number.
    pub fn submit(&mut self, entry: EntryIndex, submission: Submission) -> RequestId {
        let at = self.now;
        self.submit_at(at, entry, submission)
    }

    /// Sends a submission to an entry at a later time.
    pub fn submit_at(&mut self, at: u64, entry: EntryIndex, submission: Submission) -> RequestId {
        let request = self.next_request;
        self.next_request += 1;
        self.requests.insert(
            request,
            Submitted {
                submission,
                sent_at: at,
                sent_to: None,
                reply: None,
            },
        );
        let arrives = at + self.delays.to_callers.as_micros() as u64;
        self.schedule
            .add(arrives, Action::Submit { entry, request });
        request
    }

    fn submit_now(&mut self, entry: EntryIndex, request: RequestId) {
        let ask = CallerRequest::Submit {
            submission: self.requests[&request].submission.clone(),
            wait: true,
        };
        let run = self.entries[entry].incarnation();
        if let Some(submitted) = self.requests.get_mut(&request) {
            submitted.sent_to = Some((entry, run));
        }
        self.fire(MessageKind::Submit, Some(entry), None);
        self.at_entry(self.now, entry, EntryEvent::Caller { request, ask });
    }

    /// Asks an entry to stop by plan.
    pub fn stop_entry(&mut self, entry: EntryIndex) {
        self.at_entry(self.now, entry, EntryEvent::Stop);
    }

    /// Asks a side to leave.
    pub fn drain_side(&mut self, side: SideIndex) {
        self.at_side(self.now, side, SideEvent::Drain);
    }

    /// Writes a resource at once, as an operator would; returns the last step.
    pub fn write_resource(&mut self, kind: &str, name: &str, value: &str) -> WriteStep {
        let resource = ResourceName::new(kind, name);
        let current = self.store.resource(&resource);
        let (revision, base) = match &current {
            Some((revision, stored)) => (*revision, Some(stored.nonce.clone())),
            None => (0, None),
        };
        let nonce: u64 = self.rng.random();
        let value = value.parse().ok();
        let mut write = ConfigWrite::new(revision, base, nonce.to_string(), value);
        let mut step = write.first();
        for _ in 0..10 {
            step = match step {
                WriteStep::Swap {
                    expected_revision,
                    resource: stored,
                } => {
                    let call = self.swap_resource(&resource, expected_revision, stored);
                    write.called(call)
                }
                WriteStep::ReadBack => write.read_back(self.store.resource(&resource)),
                done => return done,
            };
        }
        step
    }

    fn swap_resource(
        &mut self,
        name: &ResourceName,
        expected: u64,
        stored: StoredResource,
    ) -> WriteCall {
        self.store.calls += 1;
        if self.store.faults.is_down {
            return WriteCall::NoAnswer;
        }
        let call = self.store.write_resource(name, expected, stored);
        if matches!(call, WriteCall::Swapped(_)) && self.store.loses_answer() {
            return WriteCall::NoAnswer;
        }
        call
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

    fn wall(&self, skew_ms: i64) -> WallTime {
        let millis = WALL_START + self.now / 1_000;
        WallTime::from_millis(millis.saturating_add_signed(skew_ms))
    }

    fn moment(&self) -> Moment {
        Moment::from_micros(self.now)
    }

    // ---- entries ----

    fn at_entry(&mut self, at: u64, entry: EntryIndex, event: EntryEvent) {
        let incarnation = self.entries[entry].incarnation();
        let event = Box::new(event);
        let action = Action::ToEntry {
            entry,
            incarnation,
            event,
        };
        self.schedule.add(at, action);
    }

    fn deliver_to_entry(
        &mut self,
        index: EntryIndex,
        incarnation: Incarnation,
        event: Box<EntryEvent>,
    ) {
        let entry = &self.entries[index];
        if entry.core.is_none() || entry.incarnation() != incarnation {
            return;
        }
        if entry.paused_until > self.now {
            let at = entry.paused_until;
            let action = Action::ToEntry {
                entry: index,
                incarnation,
                event,
            };
            return self.schedule.add(at, action);
        }
        let now = Now {
            monotonic: self.moment(),
            wall: self.wall(entry.skew_ms),
        };
        let Some(core) = self.entries[index].core.as_mut() else {
            return;
        };
        let effects = core.step(now, *event);
        let tick = core.next_tick(now.monotonic).as_micros();
        for effect in effects {
            self.entry_effect(index, effect);
        }
        self.plan_entry_tick(index, tick);
    }

    fn plan_entry_tick(&mut self, index: EntryIndex, at: u64) {
        let at = at.max(self.now + 1);
        let entry = &mut self.entries[index];
        if entry.core.is_none() || entry.tick_at.is_some_and(|planned| planned <= at) {
            return;
        }
        entry.tick_at = Some(at);
        let incarnation = entry.incarnation();
        self.schedule.add(at, Action::TickEntry(index, incarnation));
    }

    fn entry_effect(&mut self, index: EntryIndex, effect: EntryEffect) {
        match effect {
            EntryEffect::Reply { request, reply } => {
                let at = self.now + self.delays.to_callers.as_micros() as u64;
                let reply = Box::new(reply);
                self.schedule.add(at, Action::Reply { request, reply });
            }
            EntryEffect::ToSide { side, message } => {
                let to = self.sides.iter().position(|s| s.settings.side == side);
                if let Some(to) = to {
                    self.send_to_side(index, to, message);
                }
            }
            EntryEffect::ToPeer { peer, message } => {
                let to = self.entries.iter().position(|entry| *entry.name() == peer);
                if let Some(to) = to {
                    self.send_to_peer(index, to, message);
                }
            }
            EntryEffect::ReadRoster => self.read_roster(index),
            EntryEffect::WriteRoster(write) => self.write_roster(index, write),
            EntryEffect::RosterAdopted(_) => {}
            EntryEffect::ConfigAdvanced { version } => {
                let name = self.entries[index].name().clone();
                self.audit.note_config(&name, version);
            }
            EntryEffect::Stopped => {
                self.entries[index].stopped = true;
                // The process ends once its last messages have left.
                self.kill_entry(index);
            }
        }
    }

    fn store_answer_at(&self) -> u64 {
        let time = self.delays.store + self.store.faults.slow;
        self.now + time.as_micros() as u64
    }

    fn read_roster(&mut self, index: EntryIndex) {
        self.fire(MessageKind::Store, Some(index), None);
        self.store.calls += 1;
        let at = self.store_answer_at();
        let event = if self.store.faults.is_down {
            EntryEvent::RosterReadFailed
        } else {
            EntryEvent::RosterRead {
                sent_at: self.moment(),
                found: self.store.roster(),
            }
        };
        self.at_entry(at, index, event);
    }

    fn write_roster(&mut self, index: EntryIndex, write: RosterWrite) {
        self.store.calls += 1;
        if self.store.faults.is_down {
            return;
        }
        let written = self.store.write_roster(write);
        if matches!(written, WriteDecision::Written(_)) && self.store.loses_answer() {
            return;
        }
        let at = self.store_answer_at();
        self.at_entry(at, index, EntryEvent::RosterWritten { written });
    }

    /// The configuration feed of an entry: a watch that may be silent, and a check behind it.
    fn feed(&mut self, index: EntryIndex, incarnation: Incarnation) {
        if self.entries[index].core.is_none() || self.entries[index].incarnation() != incarnation {
            return;
        }
        let faults = self.store.faults;
        if !faults.is_down {
            self.store.calls += 1;
            let delta = self.store.list(faults.stale_writes);
            if delta.version != self.entries[index].fed_version {
                self.entries[index].fed_version = delta.version;
                let at = self.store_answer_at();
                self.at_entry(at, index, EntryEvent::Config(delta));
            }
        }
        // A silent or broken watch leaves only the check.
        let has_watch = !faults.is_down && !faults.is_watch_silent;
        let pause = if has_watch {
            FEED_CHECK / 20
        } else {
            FEED_CHECK
        };
        let at = self.now + pause.as_micros() as u64;
        self.schedule.add(at, Action::Feed(index, incarnation));
    }

    fn reply_arrives(&mut self, request: RequestId, reply: Reply) {
        let now = self.now;
        let Some(submitted) = self.requests.get_mut(&request) else {
            return;
        };
        if submitted.reply.is_some() {
            self.audit.report(Violation::AnsweredTwice(request));
            return;
        }
        submitted.reply = Some((now, reply.clone()));
        let submission = submitted.submission.clone();
        self.audit.note_reply(&submission, &reply);
    }

    // ---- messages ----

    /// When a message sent now arrives, keeping the order of its link; none if it is cut off.
    fn delivery(&mut self, from: (NodeName, Hall), to: (NodeName, Hall)) -> u64 {
        let delay = self.delays.between(&from.1, &to.1).as_micros() as u64;
        let latest = self.latest.entry((from.0, to.0)).or_default();
        *latest = (*latest).max(self.now + delay);
        *latest
    }

    /// The times at which a message arrives, by the rules that are in force.
    fn arrivals(&mut self, kind: MessageKind, at: u64) -> Vec<u64> {
        let found = self
            .rules
            .iter_mut()
            .find(|rule| rule.kind == kind && rule.count > 0);
        let Some(rule) = found else {
            return vec![at];
        };
        rule.count -= 1;
        match rule.fate {
            Fate::Lost => vec![],
            Fate::Delayed(by) => vec![at + by.as_micros() as u64],
            Fate::Duplicated(by) => vec![at, at + by.as_micros() as u64],
        }
    }

    fn send_to_side(&mut self, from: EntryIndex, to: SideIndex, message: EntryMessage) {
        let kind = MessageKind::from(&message);
        self.messages.note(kind);
        self.fire(kind, Some(from), Some(to));
        let (a, b) = (entry_end(&self.entries[from]), side_end(&self.sides[to]));
        let entry = a.0.clone();
        if !self.sides[to].links.contains(&entry) {
            return;
        }
        if self.is_cut(&a.1, &b.1) {
            let incarnation = self.sides[to].settings.incarnation;
            let event = Box::new(SideEvent::FromEntry { entry, message });
            let action = Action::ToSide {
                side: to,
                incarnation,
                event,
            };
            return self.hold(End::Entry(from), End::Side(to), action);
        }
        let at = self.delivery(a, b);
        for at in self.arrivals(kind, at) {
            let entry = entry.clone();
            let message = message.clone();
            self.at_side(at, to, SideEvent::FromEntry { entry, message });
        }
    }

    fn send_to_entry(&mut self, from: SideIndex, to: EntryIndex, message: SideMessage) {
        let kind = MessageKind::from(&message);
        self.messages.note(kind);
        self.fire(kind, Some(to), Some(from));
        let (a, b) = (side_end(&self.sides[from]), entry_end(&self.entries[to]));
        let side = a.0.clone();
        let incarnation = self.sides[from].settings.incarnation;
        if self.is_cut(&a.1, &b.1) {
            let event = Box::new(EntryEvent::FromSide {
                side,
                incarnation,
                message,
            });
            let action = Action::ToEntry {
                entry: to,
                incarnation: self.entries[to].incarnation(),
                event,
            };
            return self.hold(End::Side(from), End::Entry(to), action);
        }
        let at = self.delivery(a, b);
        for at in self.arrivals(kind, at) {
            let event = EntryEvent::FromSide {
                side: side.clone(),
                incarnation,
                message: message.clone(),
            };
            self.at_entry(at, to, event);
        }
    }

    fn break_side_link(&mut self, entry: EntryIndex, side: SideIndex) {
        let name = self.entries[entry].name().clone();
        if !self.sides[side].links.remove(&name) {
            return;
        }
        let event = EntryEvent::SideLost {
            side: self.sides[side].settings.side.clone(),
            incarnation: self.sides[side].settings.incarnation,
        };
        self.at_entry(self.now, entry, event);
        self.at_side(self.now, side, SideEvent::EntryLeft { entry: name });
    }

    fn send_to_peer(&mut self, from: EntryIndex, to: EntryIndex, message: PeerMessage) {
        let kind = MessageKind::from(&message);
        self.messages.note(kind);
        self.fire(kind, Some(to), None);
        let (a, b) = (entry_end(&self.entries[from]), entry_end(&self.entries[to]));
        let peer = self.entries[from].settings.me.id.clone();
        if self.is_cut(&a.1, &b.1) {
            let event = Box::new(EntryEvent::FromPeer { peer, message });
            let action = Action::ToEntry {
                entry: to,
                incarnation: self.entries[to].incarnation(),
                event,
            };
            return self.hold(End::Entry(from), End::Entry(to), action);
        }
        let at = self.delivery(a, b);
        for at in self.arrivals(kind, at) {
            let event = EntryEvent::FromPeer {
                peer: peer.clone(),
                message: message.clone(),
            };
            self.at_entry(at, to, event);
        }
    }

    // ---- sides ----

    fn at_side(&mut self, at: u64, side: SideIndex, event: SideEvent) {
        let incarnation = self.sides[side].settings.incarnation;
        let event = Box::new(event);
        let action = Action::ToSide {
            side,
            incarnation,
            event,
        };
        self.schedule.add(at, action);
    }

    fn deliver_to_side(
        &mut self,
        index: SideIndex,
        incarnation: Incarnation,
        event: Box<SideEvent>,
    ) {
        let side = &self.sides[index];
        if side.core.is_none() || side.settings.incarnation != incarnation {
            return;
        }
        if side.paused_until > self.now {
            let at = side.paused_until;
            let action = Action::ToSide {
                side: index,
                incarnation,
                event,
            };
            return self.schedule.add(at, action);
        }
        let now = self.moment();
        let Some(core) = self.sides[index].core.as_mut() else {
            return;
        };
        let effects = core.step(now, *event);
        let is_draining = core.is_draining();
        let tick = core.next_tick();
        let version = core.config().version();
        let name = self.sides[index].settings.side.clone();
        self.audit.note_config(&name, version);
        // A paused process can't begin to leave; it starts nothing meanwhile.
        if is_draining {
            let since = self.now;
            self.sides[index].leaving_since.get_or_insert(since);
        }
        for effect in effects {
            self.side_effect(index, effect);
        }
        self.plan_side_tick(index, tick);
    }

    fn plan_side_tick(&mut self, index: SideIndex, at: Option<Moment>) {
        let Some(at) = at else {
            return;
        };
        let at = at.as_micros().max(self.now + 1);
        let side = &mut self.sides[index];
        if side.tick_at.is_some_and(|planned| planned <= at) {
            return;
        }
        side.tick_at = Some(at);
        let incarnation = side.settings.incarnation;
        self.schedule.add(at, Action::TickSide(index, incarnation));
    }

    fn side_effect(&mut self, index: SideIndex, effect: SideEffect) {
        match effect {
            SideEffect::Send { entry, message } => {
                let to = self.entries.iter().position(|e| *e.name() == entry);
                if let Some(to) = to {
                    self.send_to_entry(index, to, message);
                }
            }
            SideEffect::Run(order) => self.run(index, order),
            SideEffect::Abort(task) => {
                if self.sides[index].runs.remove(&task).is_some() {
                    let outcome = TaskOutcome::Stopped;
                    let event = SideEvent::TaskEnded { task, outcome };
                    self.at_side(self.now, index, event);
                }
            }
        }
    }

    /// The target starts a task: its bytes say for how many microseconds, and are its answer.
    fn run(&mut self, index: SideIndex, order: TaskOrder) {
        let task = order.task;
        let side = &mut self.sides[index];
        if side.is_refusing {
            let outcome = TaskOutcome::NotRun(NotRunReason::TargetRefused);
            let event = SideEvent::TaskEnded { task, outcome };
            return self.at_side(self.now, index, event);
        }
        let is_late = side
            .leaving_since
            .is_some_and(|since| self.now > since + LEAVING_GRACE.as_micros() as u64);
        let run = side.next_run;
        side.next_run += 1;
        let asked = run_micros(&order.payload);
        let limit = u64::from(order.deadline_ms) * 1_000;
        let time = (asked * side.slow_percent / 100).min(limit);
        let incarnation = side.settings.incarnation;
        let name = side.settings.side.clone();
        side.runs.insert(task, (run, order.payload));
        self.audit.note_start(task);
        let entry = self.entries.iter().position(|entry| entry.core.is_some());
        self.fire(MessageKind::Run, entry, Some(index));
        if is_late {
            self.audit.report(Violation::StartedOnLeaving(name));
        }
        let action = Action::RunEnds {
            side: index,
            incarnation,
            task,
            run,
        };
        self.schedule.add(self.now + time, action);
    }

    fn run_ends(&mut self, index: SideIndex, incarnation: Incarnation, task: TaskId, run: u64) {
        let side = &mut self.sides[index];
        let running = side.runs.get(&task).map(|(running, _)| *running);
        if side.settings.incarnation != incarnation || running != Some(run) {
            return;
        }
        let Some((_, body)) = side.runs.remove(&task) else {
            return;
        };
        let is_lost = side.lose_answers > 0;
        side.lose_answers = side.lose_answers.saturating_sub(1);
        let outcome = if is_lost {
            TaskOutcome::Lost
        } else {
            TaskOutcome::Done(TaskResult { status: 200, body })
        };
        let event = SideEvent::TaskEnded { task, outcome };
        self.at_side(self.now, index, event);
    }
}

fn entry_end(entry: &Entry) -> (NodeName, Hall) {
    (entry.name().clone(), entry.hall().clone())
}

fn side_end(side: &Side) -> (NodeName, Hall) {
    (side.settings.side.clone(), side.settings.hall.clone())
}

/// The time that a task asks for: its bytes begin with a number of microseconds and a space.
fn run_micros(payload: &[u8]) -> u64 {
    let text = std::str::from_utf8(payload).unwrap_or_default();
    let number = text.split(' ').next().unwrap_or_default();
    number.parse().unwrap_or(0)
}
