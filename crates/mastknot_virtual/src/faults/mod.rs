//! Faults that tests inject into messages and processes.

use std::time::Duration;

use mastknot_core::message::{EntryMessage, PeerMessage, SideMessage};

/// Kind of a message that a fault rule or trigger selects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MessageKind {
    /// Order to start a task, sent by an entry to a side.
    Start,
    /// Exchange of credits, sent by an entry to a side.
    Exchange,
    /// Order to stop a task, sent by an entry to a side.
    Stop,
    /// Configuration sent to a side or a peer entry, or a report of the version in force there.
    Config,
    /// Request for the tasks that a side remembers, or the side's answer.
    Recall,
    /// Grant of credits, sent by a side to an entry.
    Grant,
    /// Result of a task, sent by a side to an entry.
    Answer,
    /// Report that a task was not run, sent by a side to an entry.
    NotRun,
    /// Report of a side that it is leaving, or an entry's order to leave.
    Leaving,
    /// Submission or fetch that an entry forwards to the holder of its key.
    Forward,
    /// Reply of the holder to a forwarded submission or fetch.
    Replied,
    /// Request to an earlier holder about a key, or the answer.
    AskKey,
    /// Roster, its adoption, or a request to join it.
    Roster,
    /// Confirmation of a roster version, or the request for the confirmation.
    Confirm,
    /// Finished submissions that are handed over to another entry.
    Handover,
    /// Credits that one entry lends to another, or the request for them.
    Lend,
    /// Any other message between processes.
    Other,
    /// Submission that a caller sends to an entry.
    Submit,
    /// Start of a task at the target of a side.
    Run,
    /// Call of an entry to the store.
    Store,
}

impl From<&EntryMessage> for MessageKind {
    fn from(message: &EntryMessage) -> Self {
        match message {
            EntryMessage::Start { .. } => Self::Start,
            EntryMessage::Exchange { .. } => Self::Exchange,
            EntryMessage::Stop { .. } => Self::Stop,
            EntryMessage::Config(_) => Self::Config,
            EntryMessage::Recall { .. } => Self::Recall,
            EntryMessage::Drain => Self::Leaving,
            EntryMessage::Welcome { .. } => Self::Other,
        }
    }
}

impl From<&SideMessage> for MessageKind {
    fn from(message: &SideMessage) -> Self {
        match message {
            SideMessage::Grant { .. } => Self::Grant,
            SideMessage::Answer { .. } => Self::Answer,
            SideMessage::NotRun { .. } => Self::NotRun,
            SideMessage::Leaving => Self::Leaving,
            SideMessage::Remembered { .. } => Self::Recall,
            SideMessage::ConfigInForce { .. } => Self::Config,
            SideMessage::Hello(_) | SideMessage::Heartbeat => Self::Other,
        }
    }
}

impl From<&PeerMessage> for MessageKind {
    fn from(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Forward { .. } | PeerMessage::Fetch { .. } => Self::Forward,
            PeerMessage::Replied { .. } => Self::Replied,
            PeerMessage::AskKey { .. } | PeerMessage::KeyKnown { .. } => Self::AskKey,
            PeerMessage::NewRoster(_) | PeerMessage::Adopted { .. } | PeerMessage::Join(_) => {
                Self::Roster
            }
            PeerMessage::Confirm { .. } | PeerMessage::Confirmed { .. } => Self::Confirm,
            PeerMessage::Handover { .. } => Self::Handover,
            PeerMessage::WantCredits { .. } | PeerMessage::Lend { .. } => Self::Lend,
            PeerMessage::Config(_) | PeerMessage::ConfigInForce { .. } => Self::Config,
            PeerMessage::Hello { .. } | PeerMessage::TeamUse { .. } => Self::Other,
        }
    }
}

/// Fault that affects the delivery of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageFault {
    /// The message never arrives.
    Lost,
    /// The message arrives late by this time and behind later messages.
    Delayed(Duration),
    /// The message arrives twice, the second time after this delay.
    Duplicated(Duration),
}

/// Fault that affects a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessFault {
    /// The process is killed.
    Dies,
    /// The process is killed and starts again after this time.
    Restarts(Duration),
    /// The process is paused for this time and then resumes.
    Pauses(Duration),
}

/// Process fault that is triggered by a message of a given kind and hits its sender or its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trigger {
    /// Kind of the message that triggers the fault.
    pub kind: MessageKind,
    /// Number of messages of the kind to let pass before the fault.
    pub skip: u32,
    /// Whether the fault hits the side and not the entry, regardless of which of them sent the message.
    pub hits_side: bool,
    /// Fault of the process, which takes effect right after the message was sent.
    pub fault: ProcessFault,
}

/// Rule that applies a fault to the next `count` messages of a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultRule {
    /// Kind of the messages that the rule applies to.
    pub kind: MessageKind,
    /// Fault of each of these messages.
    pub fault: MessageFault,
    /// Number of messages that the rule still applies to.
    pub count: u32,
}
