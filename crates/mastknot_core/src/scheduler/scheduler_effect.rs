use super::{CallerId, SchedulerDecision, SessionId};
use crate::job::{ConfigDocument, EntryOrder, JobAnswer};

/// What a [`JobScheduler`](super::JobScheduler) wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerEffect {
    /// Send an order.
    Send {
        /// The link.
        session: SessionId,
        /// The order.
        order: EntryOrder,
    },
    /// Close a link for good.
    Close {
        /// The link.
        session: SessionId,
    },
    /// Answer a caller.
    Answer {
        /// The caller.
        caller: CallerId,
        /// The answer.
        answer: JobAnswer,
    },
    /// A newer configuration was heard of.
    Document(ConfigDocument),
    /// Something was decided.
    Decided(SchedulerDecision),
}
