/// Purpose of a message, by which links count their traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Work of callers: a start, its answer, or a forwarded job.
    Work,
    /// Heartbeats, reports and leases, which keep links open and the state of the sides up to date.
    Control,
    /// The operators' configuration, or a part of it.
    Document,
}

impl MessageKind {
    /// All kinds, each at the index of its discriminant.
    pub const ALL: [Self; 3] = [Self::Work, Self::Control, Self::Document];

    /// Returns the name of the kind in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Work => "work",
            Self::Control => "control",
            Self::Document => "document",
        }
    }
}
