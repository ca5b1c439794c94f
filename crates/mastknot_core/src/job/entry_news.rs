use bincode::{Decode, Encode};

/// What an entry has that a side may lack; the side asks for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct EntryNews {
    /// The version of the configuration that this side is to hold, 0 for none.
    pub config_version: u64,
    /// The digest of the entries that it knows ([`directory_digest`](super::directory_digest)).
    pub directory: u64,
}
