use bincode::{Decode, Encode};

/// Number of credits that an entry can use, and the urgency of its work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Demand {
    /// Number of credits.
    pub wanted: u32,
    /// Order key of the submission that the credits would serve first; lower is more urgent.
    pub urgency: u64,
}
