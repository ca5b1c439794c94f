//! What happens to messages on their way.

use std::time::Duration;

use mastknot_core::message::{EntryMessage, PeerMessage, SideMessage};

/// The kind of a message, as fault rules name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MessageKind {
    /// A start, entry to side.
    Start,
    /// An exchange of credits, entry to side.
    Exchange,
    /// A stop, entry to side.
    Stop,
    /// Configuration, to a side or a peer.
    Config,
    /// A question what a side remembers, or its answer.
    Recall,
    /// Credits, side to entry.
    Grant,
    /// A task's answer, side to entry.
    Answer,
    /// A refused start, side to entry.
    NotRun,
    /// A side says that it leaves, or is told to.
    Leaving,
    /// A submission or fetch sent on to its holder.
    Forward,
    /// The holder's reply.
    Replied,
    /// A question to an earlier holder, or its answer.
    AskKey,
    /// A roster, its adoption, or a wish to join.
    Roster,
    /// A confirmation of a roster version, or the question for it.
    Confirm,
    /// Finished submissions, handed over.
    Handover,
    /// Credits between entries, or the wish for them.
    Lend,
    /// Anything else.
    Other,
    /// A caller's submission, caller to entry.
    Submit,
    /// A target begins a task of a side.
    Run,
    /// A call of an entry to the store.
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

/// What becomes of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageFault {
    /// It never arrives.
    Lost,
    /// It arrives this much later, behind later ones.
    Delayed(Duration),
    /// It arrives twice, the second time this much later.
    Duplicated(Duration),
}

/// What happens to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessFault {
    /// It dies.
    Dies,
    /// It dies and starts again after this time.
    Restarts(Duration),
    /// It is paused for this time and wakes.
    Pauses(Duration),
}

/// A process fault at a step: the next message of a kind meets its sender or its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trigger {
    /// The kind.
    pub kind: MessageKind,
    /// Messages of the kind that pass before.
    pub skip: u32,
    /// Whether an entry or a side is hit, whichever end it is at.
    pub hits_side: bool,
    /// What happens to it, right after the message was sent.
    pub fault: ProcessFault,
}

/// The next `count` messages of a kind meet a fate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultRule {
    /// The kind.
    pub kind: MessageKind,
    /// The fate.
    pub fault: MessageFault,
    /// How many messages it still meets.
    pub count: u32,
}
