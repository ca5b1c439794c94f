use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::ResponseBody;
use super::connection_state::ConnectionState;

/// Body of a response that records the end of its request when it has been handed to the connection or is dropped.
pub(super) struct TrackedBody {
    body: ResponseBody,
    state: Arc<ConnectionState>,
}

impl TrackedBody {
    pub(super) fn new(body: ResponseBody, state: Arc<ConnectionState>) -> Self {
        Self { body, state }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.state.end_request();
    }
}
