use std::sync::Arc;

use bincode::{Decode, Encode};

/// The operators' configuration as processes pass it on. Only the adapter for the operators' store
/// interprets its text.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigDocument {
    /// Version of the configuration; the highest version wins.
    pub version: u64,
    /// Bytes of the configuration, exactly as the operators' store holds them.
    pub bytes: Arc<[u8]>,
}
