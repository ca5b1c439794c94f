use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use h2::SendStream;
use snafu::{OptionExt, ResultExt};
use tokio::sync::mpsc;

use super::LinkStats;
use crate::error::{ClosedSnafu, H2Snafu, LinkError, SlowReaderSnafu};
use crate::frame::{WireMessage, encode_frame};

/// Size of a batch, in bytes. No further messages are added to a data frame that has reached it.
const BATCH_BYTES: usize = 64 * 1024;
/// Maximum number of messages that may be queued for one reader.
const MAX_QUEUED: usize = 100_000;

/// Sending half of a link. Messages are sent in the order in which they were queued.
///
/// Sending never blocks. If a reader is so slow that the queue is full, sending fails.
#[derive(Debug)]
pub struct LinkSender<S> {
    queue: mpsc::UnboundedSender<S>,
    queued: Arc<AtomicUsize>,
}

impl<S> Clone for LinkSender<S> {
    fn clone(&self) -> Self {
        Self {
            queue: self.queue.clone(),
            queued: Arc::clone(&self.queued),
        }
    }
}

impl<S: WireMessage> LinkSender<S> {
    /// Starts the task that writes the queue to the stream. The task ends when all senders are dropped or the stream
    /// breaks.
    pub(crate) fn start(stream: SendStream<Bytes>, stats: Arc<LinkStats>) -> Self {
        let (queue, messages) = mpsc::unbounded_channel();
        let queued = Arc::new(AtomicUsize::new(0));
        let writer = Writer {
            stream,
            messages,
            stats,
            queued: Arc::clone(&queued),
        };
        tokio::spawn(writer.run());
        Self { queue, queued }
    }

    /// Queues a message.
    ///
    /// Fails if the link is closed or its reader is too slow.
    pub fn send(&self, message: S) -> Result<(), LinkError> {
        let queued = self.queued.fetch_add(1, Ordering::Relaxed);
        if queued >= MAX_QUEUED {
            return SlowReaderSnafu { queued }.fail();
        }
        self.queue.send(message).ok().context(ClosedSnafu)
    }

    /// Waits until the link is closed.
    pub async fn closed(&self) {
        self.queue.closed().await;
    }

    /// Returns whether the link is closed.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }

    /// Returns the number of queued messages that are not written yet.
    pub fn queued(&self) -> usize {
        self.queued.load(Ordering::Relaxed)
    }
}

struct Writer<S> {
    stream: SendStream<Bytes>,
    messages: mpsc::UnboundedReceiver<S>,
    stats: Arc<LinkStats>,
    queued: Arc<AtomicUsize>,
}

impl<S: WireMessage> Writer<S> {
    async fn run(mut self) {
        if let Err(error) = self.write_all().await {
            self.stream.send_reset(h2::Reason::INTERNAL_ERROR);
            drop(error);
        }
    }

    async fn write_all(&mut self) -> Result<(), LinkError> {
        let mut buffer = BytesMut::new();
        while let Some(first) = self.messages.recv().await {
            let count = self.fill_batch(first, &mut buffer)?;
            self.write(buffer.split().freeze()).await?;
            self.queued.fetch_sub(count, Ordering::Relaxed);
        }
        self.stream.send_data(Bytes::new(), true).context(H2Snafu)
    }

    /// Encodes `first` and the messages queued behind it, until the batch is full; returns the number of messages.
    fn fill_batch(&mut self, first: S, buffer: &mut BytesMut) -> Result<usize, LinkError> {
        let mut count = 1;
        self.encode(&first, buffer)?;
        while buffer.len() < BATCH_BYTES {
            let Ok(message) = self.messages.try_recv() else {
                break;
            };
            self.encode(&message, buffer)?;
            count += 1;
        }
        Ok(count)
    }

    fn encode(&self, message: &S, buffer: &mut BytesMut) -> Result<(), LinkError> {
        let bytes = encode_frame(message, buffer)?;
        self.stats.record_sent(message.kind(), bytes);
        Ok(())
    }

    async fn write(&mut self, mut bytes: Bytes) -> Result<(), LinkError> {
        while !bytes.is_empty() {
            self.stream.reserve_capacity(bytes.len());
            let stream = &mut self.stream;
            let capacity = std::future::poll_fn(|context| stream.poll_capacity(context)).await;
            let capacity = capacity.context(ClosedSnafu)?.context(H2Snafu)?;
            let part = bytes.split_to(capacity.min(bytes.len()));
            self.stream.send_data(part, false).context(H2Snafu)?;
        }
        Ok(())
    }
}
