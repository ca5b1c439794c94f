use std::collections::BTreeMap;

use mastknot_core::agent::{AgentEvent, ProbeFailure, SessionId, TargetView};
use mastknot_core::job::{ConfigDocument, EntryOrder, JobId, RunId, SideReport};
use mastknot_core::scheduler::{CallerId, SchedulerEvent};
use mastknot_core::types::Hall;

use super::JobFault;
use super::profile_store::ProfileAnswer;
use super::target_slot::OpenProbe;
use super::virtual_target::VirtualStart;

/// Scheduled action of the simulation.
#[derive(Clone, Debug)]
pub(super) enum Action {
    /// A side dials an entry.
    Dial {
        entry: usize,
        side: usize,
    },
    /// A report of a side arrives at an entry.
    ToEntry {
        entry: usize,
        incarnation: u64,
        session: SessionId,
        report: Box<SideReport>,
    },
    /// An order of an entry arrives at a side.
    ToSide {
        side: usize,
        incarnation: u64,
        session: SessionId,
        order: Box<EntryOrder>,
    },
    /// An entry notices that a link is down.
    LinkDownAtEntry {
        entry: usize,
        incarnation: u64,
        session: SessionId,
    },
    /// A side notices that a link is down.
    LinkDownAtSide {
        side: usize,
        incarnation: u64,
        session: SessionId,
    },
    TickEntry {
        entry: usize,
        incarnation: u64,
    },
    TickSide {
        side: usize,
        incarnation: u64,
    },
    /// An event that does not come from an entry arrives at a side.
    SideInput {
        side: usize,
        incarnation: u64,
        event: Box<AgentEvent>,
    },
    /// A start order arrives at a target.
    TargetStart {
        side: usize,
        incarnation: u64,
        target_incarnation: u64,
        start: Box<VirtualStart>,
        is_answered: bool,
    },
    /// A stop order arrives at a target.
    TargetStop {
        side: usize,
        incarnation: u64,
        run: RunId,
        token: u64,
        is_answered: bool,
    },
    /// A probe arrives at a target and waits there for an update for up to `wait` microseconds.
    TargetProbe {
        side: usize,
        open: Box<OpenProbe>,
        wait: u64,
    },
    /// The waiting time of a probe at its target is over.
    ProbeWaited {
        side: usize,
        number: u64,
    },
    /// The answer of a target to a probe arrives at its side.
    ProbeAnswered {
        side: usize,
        target_incarnation: u64,
        open: Box<OpenProbe>,
        result: Result<TargetView, ProbeFailure>,
    },
    /// A run or the hold of a target may be due to end.
    TargetDue {
        side: usize,
    },
    /// A run crashes its target.
    CrashTargetOfRun {
        side: usize,
        target_incarnation: u64,
        run: RunId,
    },
    /// A target sends a report to its side.
    Heartbeat {
        side: usize,
        target_incarnation: u64,
    },
    /// A side that has started receives the answer to its call for the stored profile of its target.
    TargetProfileRead {
        side: usize,
        incarnation: u64,
    },
    /// A caller submits a job to an entry.
    Submit {
        job: JobId,
        entry: usize,
    },
    /// A caller requests at an entry to cancel a job.
    Cancel {
        job: JobId,
        entry: usize,
    },
    /// All callers of a job leave.
    CallersLeave {
        job: JobId,
    },
    /// The callers of a job at one entry leave, and the entry notices it at once.
    CallersLeaveEntry {
        job: JobId,
        entry: usize,
    },
    /// An entry notices that a caller has left.
    Abandon {
        entry: usize,
        incarnation: u64,
        caller: CallerId,
    },
    /// The time for which a caller waits for an answer is over.
    CallerTimeout {
        caller: CallerId,
    },
    /// A delayed event of a caller arrives at an entry.
    FromCaller {
        entry: usize,
        incarnation: u64,
        event: Box<SchedulerEvent>,
    },
    Fault(JobFault),
    StartEntry {
        entry: usize,
    },
    StartSide {
        side: usize,
    },
    StartTarget {
        side: usize,
    },
    /// The capacity of a target returns to its initial value.
    ResizeOver {
        side: usize,
    },
    /// A target behaves correctly again.
    MisbehaviourOver {
        side: usize,
    },
    /// A segment of `bytes` bytes has been sent on a bandwidth-limited link.
    SegmentSent {
        entry: usize,
        is_to_side: bool,
        session: SessionId,
        bytes: u64,
    },
    /// Operators drain a hall.
    Drain {
        hall: Hall,
    },
    /// Operators return a drained hall to service.
    Return {
        hall: Hall,
    },
    /// An entry reads the set of drained halls from the store.
    ReadDrained {
        entry: usize,
        incarnation: u64,
    },
    /// An entry checks whether it has to read or write the learned profile.
    CheckProfile {
        entry: usize,
        incarnation: u64,
    },
    /// An entry receives the answer to its call for the learned profile.
    ProfileAnswered {
        entry: usize,
        incarnation: u64,
        answer: Box<ProfileAnswer>,
    },
    /// Operators set the weights of halls.
    SetShareWeights {
        halls: BTreeMap<Hall, u32>,
    },
    /// An entry reads the weights of halls from the store.
    ReadShareWeights {
        entry: usize,
        incarnation: u64,
    },
    /// The store receives a configuration.
    Publish(ConfigDocument),
    /// An entry has read a configuration from the store.
    Published {
        entry: usize,
        document: ConfigDocument,
    },
}
