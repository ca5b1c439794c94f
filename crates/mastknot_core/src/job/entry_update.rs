use std::sync::Arc;

use bincode::{Decode, Encode};

use super::{DrainedHalls, ShareWeights};

/// State of an entry that a side may lack. The messages carry versions and digests; the side
/// requests the documents that it does not have.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct EntryUpdate {
    /// Version of the configuration that this side is to hold; 0 if it is to hold none.
    pub config_version: u64,
    /// Digest of the entries that this entry knows ([`directory_digest`](super::directory_digest)).
    pub directory: u64,
    /// The drained halls. They accompany the version of the configuration, so that a side that gets
    /// its configuration from other processes learns of them too.
    pub drained: Arc<DrainedHalls>,
    /// Whether queues of several priorities compete for the targets. Scarce capacity is then
    /// granted to one entry at a time.
    pub grants_capacity: bool,
    /// Whether scarce capacity is shared by the weights of halls among equally urgent needs.
    pub shares_capacity: bool,
    /// Weights by which scarce capacity is shared between halls.
    pub shares: Arc<ShareWeights>,
}

impl EntryUpdate {
    /// Returns this state as it is sent to one side. Only sides that hold the configuration are
    /// sent its version.
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
