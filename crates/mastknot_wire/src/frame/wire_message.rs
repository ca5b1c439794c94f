use bincode::{Decode, Encode};
use mastknot_core::job::{EntryOrder, SideReport};
use mastknot_core::message::{EntryMessage, PeerMessage, SideMessage};

/// A message that goes over links.
pub trait WireMessage: Encode + Decode<()> + Send + 'static {
    /// Whether the message carries a caller's work (a start, its answer, a forward), and is not
    /// control.
    fn is_work(&self) -> bool;
}

impl WireMessage for EntryMessage {
    fn is_work(&self) -> bool {
        matches!(self, Self::Start { .. })
    }
}

impl WireMessage for SideMessage {
    fn is_work(&self) -> bool {
        matches!(self, Self::Answer { .. })
    }
}

impl WireMessage for PeerMessage {
    fn is_work(&self) -> bool {
        matches!(
            self,
            Self::Forward { .. } | Self::Fetch { .. } | Self::Replied { .. }
        )
    }
}

impl WireMessage for EntryOrder {
    fn is_work(&self) -> bool {
        matches!(self, Self::Start(_))
    }
}

impl WireMessage for SideReport {
    fn is_work(&self) -> bool {
        matches!(self, Self::Status(status) if !status.ended.is_empty())
    }
}
