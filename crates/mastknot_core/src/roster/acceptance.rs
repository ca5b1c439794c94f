use std::time::Duration;

use super::{Member, MemberId};

/// Decision whether this entry may accept a key that its ledger does not know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// This entry may accept the key.
    Yes,
    /// Another entry holds the key.
    HeldBy(Member),
    /// This entry holds the key but has no fresh authority now.
    NoAuthority,
    /// An earlier holder may still be at work; the caller may retry after this time.
    NotYet(Duration),
    /// These earlier holders must be asked first: they are alive and may know the key.
    Ask(Vec<MemberId>),
    /// An earlier holder that cannot be asked may have accepted the key.
    Unknown,
}
