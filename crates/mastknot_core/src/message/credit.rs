use bincode::{Decode, Encode};

use crate::types::{Incarnation, NodeName};

/// The sequence number of a credit within its side's incarnation.
pub type CreditSeq = u64;

/// The right to start one task on one slot of a side, once, for a short time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Credit {
    /// The run of the side that granted it; a later run refuses it.
    pub incarnation: Incarnation,
    /// Its number, never given twice in one incarnation.
    pub seq: CreditSeq,
    /// What is left of its life when the message is sent, in milliseconds.
    pub lifetime_ms: u32,
}

/// A credit together with the side that granted it, as one entry lends it to another.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct SideCredit {
    /// The side that granted the credit.
    pub side: NodeName,
    /// The credit.
    pub credit: Credit,
}
