/// Order in which the submissions of one customer get their tasks started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum JobOrder {
    /// The submission with the fewest tasks left to start goes first.
    #[default]
    ShortestRemaining,
    /// The submission with the earliest deadline goes first.
    EarliestDeadline,
    /// The submission that arrived first goes first.
    FirstCome,
}
