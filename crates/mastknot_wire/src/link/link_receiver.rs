use std::future::Future;
use std::marker::PhantomData;
use std::sync::Arc;

use h2::RecvStream;
use snafu::ResultExt;
use tokio::sync::oneshot;

use super::LinkStats;
use crate::error::{H2Snafu, LinkError};
use crate::frame::{FrameDecoder, WireMessage};

/// Receiving half of a link. Messages arrive in the order in which they were sent.
#[derive(Debug)]
pub struct LinkReceiver<R> {
    stream: RecvStream,
    decoder: FrameDecoder,
    stats: Arc<LinkStats>,
    message: PhantomData<fn() -> R>,
}

impl<R: WireMessage> LinkReceiver<R> {
    pub(crate) fn new(stream: RecvStream, stats: Arc<LinkStats>) -> Self {
        Self {
            stream,
            decoder: FrameDecoder::default(),
            stats,
            message: PhantomData,
        }
    }

    /// Waits for the next message; returns `None` when the other end has closed the link regularly.
    ///
    /// Fails if the connection breaks or a frame can't be decoded.
    pub async fn receive(&mut self) -> Result<Option<R>, LinkError> {
        loop {
            if let Some((message, bytes)) = self.decoder.next::<R>()? {
                self.stats.record_received(message.kind(), bytes);
                return Ok(Some(message));
            }
            let Some(data) = self.stream.data().await else {
                return Ok(None);
            };
            let data = data.context(H2Snafu)?;
            self.decoder.push(&data);
            let flow = self.stream.flow_control();
            flow.release_capacity(data.len()).context(H2Snafu)?;
        }
    }

    /// Passes all messages that arrive to `take`, until the link ends, `closed` resolves, or `take` returns false
    /// because its receiver is gone.
    ///
    /// Fails if the connection breaks or a frame can't be decoded.
    pub async fn forward<F, T>(
        &mut self,
        mut closed: oneshot::Receiver<()>,
        mut take: F,
    ) -> Result<(), LinkError>
    where
        F: FnMut(Vec<R>) -> T,
        T: Future<Output = bool>,
    {
        loop {
            let received = tokio::select! {
                received = self.receive_many() => received?,
                _ = &mut closed => return Ok(()),
            };
            let Some(messages) = received else {
                return Ok(());
            };
            if !take(messages).await {
                return Ok(());
            }
        }
    }

    /// Waits for at least one message and returns all that have arrived; returns `None` when the other end has closed
    /// the link regularly.
    ///
    /// Fails if the connection breaks or a frame can't be decoded.
    pub async fn receive_many(&mut self) -> Result<Option<Vec<R>>, LinkError> {
        let Some(first) = self.receive().await? else {
            return Ok(None);
        };
        let mut messages = vec![first];
        while let Some((message, bytes)) = self.decoder.next::<R>()? {
            self.stats.record_received(message.kind(), bytes);
            messages.push(message);
        }
        Ok(Some(messages))
    }
}
