/// In which order one customer's submissions get their tasks started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum JobOrder {
    /// The submission with the fewest tasks left to start goes first.
    #[default]
    ShortestRemaining,
    /// The submission with the earliest deadline goes first.
    EarliestDeadline,
    /// The submission that came first goes first.
    FirstCome,
}
