use bincode::{Decode, Encode};

use crate::types::{Incarnation, NodeName};

/// Sequence number of a credit within the incarnation of its side.
pub type CreditSeq = u64;

/// Right to start one task on one slot of a side, once, for a short time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Credit {
    /// Incarnation of the side that granted the credit. Later incarnations refuse it.
    pub incarnation: Incarnation,
    /// Number of the credit, used only once per incarnation.
    pub seq: CreditSeq,
    /// Remaining lifetime of the credit when the message is sent, in milliseconds.
    pub lifetime_ms: u32,
}

/// A credit together with the side that granted it, as one entry lends it to another.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct SideCredit {
    /// Side that granted the credit.
    pub side: NodeName,
    /// The credit.
    pub credit: Credit,
}
