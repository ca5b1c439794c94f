use std::sync::Arc;

use bincode::{Decode, Encode};

/// Asks another process for a part of its newest configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DocumentRequest {
    /// The version that the reader has begun.
    pub version: u64,
    /// The bytes of it that the reader has.
    pub offset: u32,
    /// The most bytes that the reader's link should get at once.
    pub limit: u32,
}

/// A part of a configuration. It may be of another version than the one asked for; its offset is 0 then.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DocumentPart {
    /// The version.
    pub version: u64,
    /// Where the part begins, in bytes.
    pub offset: u32,
    /// The length of the whole, in bytes.
    pub total: u32,
    /// The part.
    pub bytes: Arc<[u8]>,
}
