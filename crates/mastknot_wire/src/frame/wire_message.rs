use bincode::{Decode, Encode};
use mastknot_core::job::{EntryOrder, SideReport};
use mastknot_core::message::{EntryMessage, PeerMessage, SideMessage};

use super::MessageKind;

/// A message that is sent over links.
pub trait WireMessage: Encode + Decode<()> + Send + 'static {
    /// Returns the purpose of the message.
    fn kind(&self) -> MessageKind;
}

impl WireMessage for EntryMessage {
    fn kind(&self) -> MessageKind {
        work_or_control(matches!(self, Self::Start { .. }))
    }
}

impl WireMessage for SideMessage {
    fn kind(&self) -> MessageKind {
        work_or_control(matches!(self, Self::Answer { .. }))
    }
}

impl WireMessage for PeerMessage {
    fn kind(&self) -> MessageKind {
        work_or_control(matches!(
            self,
            Self::Forward { .. } | Self::Fetch { .. } | Self::Replied { .. }
        ))
    }
}

impl WireMessage for EntryOrder {
    fn kind(&self) -> MessageKind {
        match self {
            Self::DocumentPart(_) => MessageKind::Document,
            Self::Start(_) => MessageKind::Work,
            _ => MessageKind::Control,
        }
    }
}

impl WireMessage for SideReport {
    fn kind(&self) -> MessageKind {
        match self {
            Self::DocumentPart(_) => MessageKind::Document,
            Self::Status(status) if !status.ended.is_empty() => MessageKind::Work,
            _ => MessageKind::Control,
        }
    }
}

fn work_or_control(is_work: bool) -> MessageKind {
    match is_work {
        true => MessageKind::Work,
        false => MessageKind::Control,
    }
}
