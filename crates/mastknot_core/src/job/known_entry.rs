use std::net::SocketAddr;

use bincode::{Decode, Encode};
use xxhash_rust::xxh3::Xxh3;

use crate::types::NodeName;

/// An entry that a process knows.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct KnownEntry {
    /// Name of the entry.
    pub name: NodeName,
    /// Address at which sides connect to the entry.
    pub address: SocketAddr,
}

/// Returns a digest that distinguishes lists of entries; 0 for an empty list. The list itself is
/// sent only to processes whose digest differs.
pub fn directory_digest(entries: &[KnownEntry]) -> u64 {
    if entries.is_empty() {
        return 0;
    }
    let mut hash = Xxh3::new();
    for entry in entries {
        hash.update(entry.name.as_str().as_bytes());
        hash.update(entry.address.to_string().as_bytes());
    }
    hash.digest().max(1)
}
