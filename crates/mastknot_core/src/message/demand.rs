use bincode::{Decode, Encode};

/// How many credits an entry can use, and for what.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Demand {
    /// How many.
    pub wanted: u32,
    /// The order key of the submission that goes first there; lower is more urgent.
    pub urgency: u64,
}
