use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::types::{Hall, Incarnation, NodeName};

/// One run of one entry.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
)]
pub struct MemberId {
    /// The entry's name.
    pub name: NodeName,
    /// The run.
    pub incarnation: Incarnation,
}

/// A member of the roster: one run of an entry with where it is reached.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Member {
    /// Who it is.
    pub id: MemberId,
    /// The address for other processes of the system.
    pub address: String,
    /// Its hall.
    pub hall: Hall,
}
