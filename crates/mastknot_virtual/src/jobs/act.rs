use std::collections::BTreeMap;

use mastknot_core::agent::{AgentEvent, ProbeFailure, SessionId, TargetView};
use mastknot_core::job::{ConfigDocument, EntryOrder, JobId, RunId, SideReport};
use mastknot_core::scheduler::{CallerId, SchedulerEvent};
use mastknot_core::types::Hall;

use super::JobFault;
use super::profile_store::ProfileAnswer;
use super::target_slot::OpenLook;
use super::virtual_target::VirtualStart;

/// Something that happens at its time.
#[derive(Clone, Debug)]
pub(super) enum Act {
    Dial {
        entry: usize,
        side: usize,
    },
    ToEntry {
        entry: usize,
        life: u64,
        session: SessionId,
        report: Box<SideReport>,
    },
    ToSide {
        side: usize,
        life: u64,
        session: SessionId,
        order: Box<EntryOrder>,
    },
    DownAtEntry {
        entry: usize,
        life: u64,
        session: SessionId,
    },
    DownAtSide {
        side: usize,
        life: u64,
        session: SessionId,
    },
    TickEntry {
        entry: usize,
        life: u64,
    },
    TickSide {
        side: usize,
        life: u64,
    },
    SideInput {
        side: usize,
        life: u64,
        event: Box<AgentEvent>,
    },
    TargetStart {
        side: usize,
        life: u64,
        lives: u64,
        start: Box<VirtualStart>,
        is_answered: bool,
    },
    TargetStop {
        side: usize,
        life: u64,
        run: RunId,
        token: u64,
        is_answered: bool,
    },
    TargetLook {
        side: usize,
        open: Box<OpenLook>,
        wait: u64,
    },
    LookWaited {
        side: usize,
        number: u64,
    },
    /// What a target has answered to a look arrives at its side.
    LookAnswered {
        side: usize,
        lives: u64,
        open: Box<OpenLook>,
        result: Result<TargetView, ProbeFailure>,
    },
    TargetDue {
        side: usize,
    },
    /// A run brings its target down.
    CrashUnder {
        side: usize,
        lives: u64,
        run: RunId,
    },
    Beat {
        side: usize,
        lives: u64,
    },
    /// A side that has started has an answer to its call for what its target is.
    TargetRecalled {
        side: usize,
        life: u64,
    },
    Submit {
        job: JobId,
        entry: usize,
    },
    /// The callers of a job leave.
    Leave {
        job: JobId,
    },
    /// An entry sees that a caller has left.
    Abandon {
        entry: usize,
        life: u64,
        caller: CallerId,
    },
    CallerTimeout {
        caller: CallerId,
    },
    /// What a caller has sent to an entry arrives late.
    FromCaller {
        entry: usize,
        life: u64,
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
    ResizeOver {
        side: usize,
    },
    MoodOver {
        side: usize,
    },
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
    /// Operators return a hall.
    Return {
        hall: Hall,
    },
    /// An entry reads from the store which halls are drained.
    ReadDrained {
        entry: usize,
        life: u64,
    },
    /// An entry looks whether it has to read or write what was learned.
    LookAtProfile {
        entry: usize,
        life: u64,
    },
    /// An entry has an answer to its call for what was learned.
    ProfileAnswered {
        entry: usize,
        life: u64,
        answer: Box<ProfileAnswer>,
    },
    /// Operators give halls weights.
    SetShareWeights {
        halls: BTreeMap<Hall, u32>,
    },
    /// An entry reads the weights of halls from the store.
    ReadShareWeights {
        entry: usize,
        life: u64,
    },
    Publish(ConfigDocument),
    Published {
        entry: usize,
        document: ConfigDocument,
    },
}
