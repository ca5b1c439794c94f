use bincode::{Decode, Encode};

use super::Room;

/// What waits for room at an entry, as it tells its sides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct WaitingNeed {
    /// How urgent the first of it is; 0 is the most urgent.
    pub rank: u8,
    /// What the tasks of that rank take together.
    pub room: Room,
    /// What the smallest of them takes.
    pub smallest: Room,
}
