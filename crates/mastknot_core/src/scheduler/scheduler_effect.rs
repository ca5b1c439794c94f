use super::{CallerId, SchedulerDecision, SessionId};
use crate::job::{CancelOutcome, ConfigDocument, EntryOrder, JobAnswer};

/// An action that a [`JobScheduler`](super::JobScheduler) requests.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerEffect {
    /// Sends an order to a side.
    Send {
        /// Link to send the order on.
        session: SessionId,
        /// Order to send.
        order: EntryOrder,
    },
    /// Closes a link permanently.
    Close {
        /// Link to close.
        session: SessionId,
    },
    /// Answers a caller.
    Answer {
        /// Caller to answer.
        caller: CallerId,
        /// Answer to send.
        answer: JobAnswer,
    },
    /// Answers a caller that requested a cancel.
    AnswerCancel {
        /// Caller to answer.
        caller: CallerId,
        /// Outcome of the cancel.
        outcome: CancelOutcome,
    },
    /// A newer configuration was received from another process.
    Document(ConfigDocument),
    /// Logs a decision.
    Decided(SchedulerDecision),
}
