use bincode::de::Decoder;
use bincode::error::DecodeError;
use bincode::{Decode, Encode};

/// Optional messages that a process can read. Each end of a link announces them in its first message.
///
/// A process of an earlier version closes a link on which it receives a message that it can't read, so an optional
/// message is sent only to a process that has announced it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct LinkFeatures(u32);

impl LinkFeatures {
    /// Orders to cancel jobs, and the answers to them.
    const CANCELS: u32 = 1;

    /// Features of this version.
    pub const CURRENT: Self = Self(Self::CANCELS);
    /// Features of the versions that announced none.
    pub const NONE: Self = Self(0);

    /// Returns whether the process can read the messages about cancelled jobs.
    pub fn has_cancels(self) -> bool {
        self.0 & Self::CANCELS != 0
    }

    /// Decodes the features at the end of a message. A message of a process that announces none ends before them.
    ///
    /// Fails if the bytes can't be decoded.
    pub(super) fn decode_last<D: Decoder>(decoder: &mut D) -> Result<Self, DecodeError> {
        match Self::decode(decoder) {
            Err(DecodeError::UnexpectedEnd { .. }) => Ok(Self::NONE),
            decoded => decoded,
        }
    }
}
