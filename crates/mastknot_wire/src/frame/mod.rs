//! Frames, which consist of a length and the bincode bytes of one message.

mod frame_decoder;
mod message_kind;
mod wire_message;

pub use frame_decoder::FrameDecoder;
pub use message_kind::MessageKind;
pub use wire_message::WireMessage;

use bincode::{Decode, Encode};
use bytes::{BufMut, BytesMut};
use snafu::ResultExt;

use crate::error::{DecodeSnafu, EncodeSnafu, FrameTooLongSnafu, LinkError};

/// Maximum length of the message in a frame that is read or written, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Size of the length field of a frame, in bytes.
pub(crate) const LENGTH_BYTES: usize = 4;

fn codec() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>()
}

/// Appends the frame of a message to `buffer`; returns the length of the frame in bytes.
///
/// Fails if the message can't be encoded or is too long.
pub fn encode_frame<M: Encode>(message: &M, buffer: &mut BytesMut) -> Result<usize, LinkError> {
    let start = buffer.len();
    buffer.put_u32(0);
    let mut writer = (&mut *buffer).writer();
    let length =
        bincode::encode_into_std_write(message, &mut writer, codec()).context(EncodeSnafu)?;
    if length > MAX_FRAME_BYTES {
        buffer.truncate(start);
        let limit = MAX_FRAME_BYTES;
        return FrameTooLongSnafu { length, limit }.fail();
    }
    buffer[start..start + LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(LENGTH_BYTES + length)
}

/// Decodes one message from the bytes of a frame without its length field.
///
/// Fails if the bytes are not a message of type `M`.
pub fn decode_message<M: Decode<()>>(bytes: &[u8]) -> Result<M, LinkError> {
    let (message, _) = bincode::decode_from_slice(bytes, codec()).context(DecodeSnafu)?;
    Ok(message)
}
