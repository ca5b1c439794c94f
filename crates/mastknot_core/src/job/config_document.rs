use std::sync::Arc;

use bincode::{Decode, Encode};

/// The operators' configuration as it is passed on between processes; its text is the adapter's.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigDocument {
    /// Its version; the highest one wins.
    pub version: u64,
    /// Its bytes, as the operators' store has them.
    pub bytes: Arc<[u8]>,
}
