use std::time::Duration;

use super::{Member, MemberId};

/// Whether this entry may accept a key that its ledger does not know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// It may.
    Yes,
    /// Another entry holds the key.
    HeldBy(Member),
    /// It holds the key but has no fresh authority now.
    NoAuthority,
    /// An earlier holder may still be at work; come back after this time.
    NotYet(Duration),
    /// These earlier holders must be asked first: they live and may know the key.
    Ask(Vec<MemberId>),
    /// An earlier holder that can't be asked may have accepted the key.
    Unknown,
}
