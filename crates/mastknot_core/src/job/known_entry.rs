use std::net::SocketAddr;

use bincode::{Decode, Encode};
use xxhash_rust::xxh3::Xxh3;

use crate::types::NodeName;

/// An entry that a process knows of.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct KnownEntry {
    /// Its name.
    pub name: NodeName,
    /// Where sides dial it.
    pub address: SocketAddr,
}

/// A number that tells one list of entries from another, 0 for none: the list itself is sent only to those who
/// lack it.
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
