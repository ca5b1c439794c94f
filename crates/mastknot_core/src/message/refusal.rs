use bincode::{Decode, Encode};

use super::Ran;

/// Why a submission was refused.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, serde::Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The key is older than the system remembers.
    KeyTooOld,
    /// The key was made later than now, beyond the allowed clock skew.
    KeyFromFuture,
    /// The key was used before with other content.
    KeyReused,
    /// An earlier holder of the key may have run it and cannot be asked.
    OutcomeUnknown,
    /// No such submission is known here.
    NotFound,
    /// This entry may not accept new keys now.
    NoAuthority,
    /// The key's holder cannot be reached.
    HolderUnreachable,
    /// The link to the holder broke after the submission was forwarded.
    HolderLost,
    /// The expected wait passes the deadline.
    DeadlineTooClose,
    /// The team is beyond its quota and there is no spare capacity.
    OverQuota,
    /// The queue is full.
    QueueFull,
    /// The ledger of submissions is full.
    LedgerFull,
    /// No such service.
    UnknownService,
    /// No target runs the service now.
    NoTarget,
    /// No target started the work in the tries allowed.
    TargetsRefused,
    /// The submission has no task or too many.
    BadTaskCount,
    /// The entry is stopping.
    Stopping,
}

/// A refusal: typed, and true about what ran.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether anything ran.
    pub ran: Ran,
    /// When to come back, in milliseconds, if coming back makes sense.
    pub retry_after_ms: Option<u32>,
}

impl Refusal {
    /// A refusal of work that has not run, with no use in coming back.
    pub fn not_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            ran: Ran::NotRun,
            retry_after_ms: None,
        }
    }

    /// A refusal of work that may have run.
    pub fn unknown(reason: RefusalReason) -> Self {
        Self {
            reason,
            ran: Ran::Unknown,
            retry_after_ms: None,
        }
    }

    /// The same refusal with the time to come back.
    pub fn retry_after_ms(mut self, millis: u32) -> Self {
        self.retry_after_ms = Some(millis);
        self
    }
}
