use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::types::{Hall, Incarnation, NodeName};

/// Identifier of one incarnation of an entry.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
)]
pub struct MemberId {
    /// Name of the entry.
    pub name: NodeName,
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
}

/// A member of the roster: one incarnation of an entry and its address.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Member {
    /// Identifier of the member.
    pub id: MemberId,
    /// Address at which other processes of the system reach the entry.
    pub address: String,
    /// Hall of the entry.
    pub hall: Hall,
}
