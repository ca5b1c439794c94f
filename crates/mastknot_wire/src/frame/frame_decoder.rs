use bincode::Decode;
use bytes::{Buf, Bytes, BytesMut};

use super::{LENGTH_BYTES, MAX_FRAME_BYTES, decode_message};
use crate::error::{FrameTooLongSnafu, LinkError};

/// Splits a stream of bytes into messages.
///
/// # Examples
///
/// ```
/// use bytes::BytesMut;
/// use mastknot_core::message::EntryMessage;
/// use mastknot_wire::{FrameDecoder, encode_frame};
///
/// let mut bytes = BytesMut::new();
/// encode_frame(&EntryMessage::Drain, &mut bytes).unwrap();
/// let mut decoder = FrameDecoder::default();
/// decoder.push(&bytes[..3]);
/// assert_eq!(decoder.next::<EntryMessage>().unwrap(), None, "the frame is not whole yet");
/// decoder.push(&bytes[3..]);
/// let (message, length) = decoder.next::<EntryMessage>().unwrap().unwrap();
/// assert_eq!((message, length), (EntryMessage::Drain, bytes.len()));
/// ```
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Decodes the next message. Returns it with the length of its frame in bytes, or `None` if the frame is not
    /// complete yet.
    ///
    /// Fails if the frame is too long or can't be decoded.
    #[allow(clippy::should_implement_trait)]
    pub fn next<M: Decode<()>>(&mut self) -> Result<Option<(M, usize)>, LinkError> {
        let Some(frame) = self.next_frame()? else {
            return Ok(None);
        };
        let message = decode_message(&frame)?;
        Ok(Some((message, LENGTH_BYTES + frame.len())))
    }

    fn next_frame(&mut self) -> Result<Option<Bytes>, LinkError> {
        let Some(head) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        if length > MAX_FRAME_BYTES {
            let limit = MAX_FRAME_BYTES;
            return FrameTooLongSnafu { length, limit }.fail();
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        Ok(Some(self.buffer.split_to(length).freeze()))
    }
}
