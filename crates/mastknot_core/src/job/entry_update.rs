use std::sync::Arc;

use bincode::{Decode, Encode};

use super::{DrainedHalls, ShareWeights};

/// What an entry has that a side may lack; the side asks for what is not in here.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct EntryUpdate {
    /// The version of the configuration that this side is to hold, 0 for none.
    pub config_version: u64,
    /// The digest of the entries that it knows ([`directory_digest`](super::directory_digest)).
    pub directory: u64,
    /// The halls that are drained. They come with the word of a version, so that whoever gets a configuration from
    /// others has them too.
    pub drained: Arc<DrainedHalls>,
    /// Whether queues of several priorities compete for the targets: room that is short is then granted, to one entry
    /// at a time.
    pub grants_capacity: bool,
    /// Whether room that is short goes by the shares of halls, among needs that are equally urgent.
    pub shares_capacity: bool,
    /// How room that is short is shared between halls.
    pub shares: Arc<ShareWeights>,
}

impl EntryUpdate {
    /// The same for one side: only those that hold the configuration are told of its version.
    pub fn for_side(&self, holds_documents: bool) -> Self {
        let config_version = match holds_documents {
            true => self.config_version,
            false => 0,
        };
        Self {
            config_version,
            ..self.clone()
        }
    }
}
