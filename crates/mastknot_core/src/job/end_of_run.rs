use bincode::{Decode, Encode};

/// Reason why a run never began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum NotRunCause {
    /// The target has too little free capacity for the task.
    NoRoom,
    /// The target is leaving.
    Draining,
    /// The target has seen the same or a higher attempt of the task.
    OldAttempt,
    /// The target does not answer, or refused the order because it is unhealthy.
    TargetUnavailable,
    /// The target refused the order permanently.
    Rejected,
    /// The order reached the target after its latest start time.
    Late,
    /// Another task that is suspected of crashing targets is in its isolation trial on the target.
    OtherSuspect,
    /// The entry withdrew the order before the target had capacity for it.
    Recalled,
}

/// Outcome of one run of a task. After each of these outcomes the run is certain to be over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum EndOfRun {
    /// The task completed its work.
    Done,
    /// The run failed, through a fault of the task or of the target.
    Failed {
        /// Whether the target has failed several runs in a row, so that this failure should not
        /// count against the task.
        is_target_suspect: bool,
    },
    /// The run was stopped on the entry's order.
    Stopped,
    /// The run was stopped because it made no progress.
    Stalled,
    /// The side of the run is gone, the lease on the run has expired, or the target no longer lists
    /// the run.
    Lost,
    /// The target crashed during the run.
    Crashed,
    /// The run never began.
    NotRun(NotRunCause),
}
