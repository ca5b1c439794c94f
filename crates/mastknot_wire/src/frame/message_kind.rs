/// What a message is for, as links count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A caller's work: a start, its answer, a forward.
    Work,
    /// Heartbeats, reports, leases: what keeps the links and the picture of the sides current.
    Control,
    /// The operators' configuration, or a message that holds it.
    Document,
}

impl MessageKind {
    /// All kinds, each at its own place.
    pub const ALL: [Self; 3] = [Self::Work, Self::Control, Self::Document];

    /// Its name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Work => "work",
            Self::Control => "control",
            Self::Document => "document",
        }
    }
}
