/// Call to the store that a [`ProfileLedger`](super::ProfileLedger) requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProfileCall {
    /// Read the document.
    Read,
    /// Write the document if its key has the expected revision.
    Write {
        /// Bytes of the document.
        value: Vec<u8>,
        /// Expected revision of the key; 0 if the key must not exist.
        expected: u64,
    },
}

/// Result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProfileWrite {
    /// The write took effect.
    Done {
        /// Revision of the key after the write.
        revision: u64,
    },
    /// The key has another revision than the expected one; nothing was written.
    Changed,
    /// The store refused the write; nothing was written.
    TurnedAway,
    /// No answer was received: the write may have taken effect, or may still do so.
    Unanswered,
}
