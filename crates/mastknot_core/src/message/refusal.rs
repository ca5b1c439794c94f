use bincode::{Decode, Encode};

use super::Ran;

/// Reason why a submission was refused.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, serde::Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The key is older than the time for which the system remembers keys.
    KeyTooOld,
    /// The key's timestamp is in the future by more than the allowed clock skew.
    KeyFromFuture,
    /// The key was used before with other content.
    KeyReused,
    /// An earlier holder of the key may have run the submission and cannot be asked.
    OutcomeUnknown,
    /// No submission with this key is known here.
    NotFound,
    /// This entry may not accept new keys now.
    NoAuthority,
    /// The holder of the key cannot be reached.
    HolderUnreachable,
    /// The link to the holder broke after the submission was forwarded.
    HolderLost,
    /// The expected wait exceeds the time to the deadline.
    DeadlineTooClose,
    /// The team is beyond its quota and there is no spare capacity.
    OverQuota,
    /// The queue is full.
    QueueFull,
    /// The ledger of submissions is full.
    LedgerFull,
    /// The service does not exist.
    UnknownService,
    /// No target runs the service now.
    NoTarget,
    /// No target started the work within the allowed number of tries.
    TargetsRefused,
    /// The submission has no tasks or too many.
    BadTaskCount,
    /// The entry is stopping.
    Stopping,
}

/// Refusal of a submission, with its reason and whether any of the work ran.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Whether any of the work ran.
    pub ran: Ran,
    /// Time after which the caller may retry, in milliseconds; `None` if a retry is of no use.
    pub retry_after_ms: Option<u32>,
}

impl Refusal {
    /// Returns a refusal of work that has not run, without a time to retry.
    pub fn not_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            ran: Ran::NotRun,
            retry_after_ms: None,
        }
    }

    /// Returns a refusal of work that may have run, without a time to retry.
    pub fn unknown(reason: RefusalReason) -> Self {
        Self {
            reason,
            ran: Ran::Unknown,
            retry_after_ms: None,
        }
    }

    /// Sets the time after which the caller may retry, in milliseconds.
    pub fn retry_after_ms(mut self, millis: u32) -> Self {
        self.retry_after_ms = Some(millis);
        self
    }
}
