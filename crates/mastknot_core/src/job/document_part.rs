use std::sync::Arc;

use bincode::{Decode, Encode};

/// Request for a part of the newest configuration of another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DocumentRequest {
    /// Version whose transfer the reader has begun.
    pub version: u64,
    /// Number of bytes of that version that the reader already has.
    pub offset: u32,
    /// Largest part that fits the reader's link at once, in bytes.
    pub limit: u32,
}

/// Part of a configuration document. The part may be of another version than the requested one; its
/// offset is 0 in that case.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DocumentPart {
    /// Version of the document.
    pub version: u64,
    /// Position of the part in the document, in bytes.
    pub offset: u32,
    /// Length of the whole document, in bytes.
    pub total: u32,
    /// Bytes of the part.
    pub bytes: Arc<[u8]>,
}
