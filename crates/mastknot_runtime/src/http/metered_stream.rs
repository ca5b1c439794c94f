use std::io::{Error, ErrorKind, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, Waker, ready};

use hyper::rt::{Read, ReadBufCursor, Write};
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::RequestLimits;
use super::read_turns::ConnectionTurns;
use super::request_account::RequestAccount;

/// Maximum number of bytes of one read. Parsing them takes little longer than other work of one turn.
pub(super) const READ_BYTES: usize = 4_096;

/// Stream of one connection whose reads are limited: in turns with other work, and while a head arrives to the size
/// that a head may have.
pub(super) struct MeteredStream {
    pub(super) stream: TcpStream,
    pub(super) turns: ConnectionTurns,
    account: RequestAccount,
    limits: watch::Receiver<RequestLimits>,
    /// Whether the other end does not take its answers.
    is_write_blocked: bool,
    /// Waits with a read until the answers are taken.
    blocked_reader: Option<Waker>,
}

impl MeteredStream {
    pub(super) fn new(
        stream: TcpStream,
        turns: ConnectionTurns,
        account: RequestAccount,
        limits: watch::Receiver<RequestLimits>,
    ) -> Self {
        Self {
            stream,
            turns,
            account,
            limits,
            is_write_blocked: false,
            blocked_reader: None,
        }
    }

    fn record_write<T>(&mut self, written: Poll<T>) -> Poll<T> {
        self.is_write_blocked = written.is_pending();
        if written.is_ready()
            && let Some(reader) = self.blocked_reader.take()
        {
            reader.wake();
        }
        written
    }
}

impl Read for MeteredStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<Result<(), Error>> {
        let this = self.get_mut();
        // More requests would make more answers wait.
        if this.is_write_blocked {
            this.blocked_reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let mut part = [0; READ_BYTES];
        loop {
            ready!(this.stream.poll_read_ready(cx))?;
            ready!(this.turns.poll_turn(cx));
            let allowed = this.account.allow_read(&this.limits.borrow())?;
            let most = READ_BYTES.min(allowed).min(buffer.remaining());
            match this.stream.try_read(&mut part[..most]) {
                Ok(read) => {
                    this.turns.end();
                    if read == 0 {
                        this.account.state.record_peer_end();
                        return Poll::Ready(Ok(()));
                    }
                    this.account.state.record_read(read);
                    buffer.put_slice(&part[..read]);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl Write for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize, Error>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_write(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize, Error>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.record_write(written)
    }
}
