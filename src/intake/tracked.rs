//! Response bodies that keep their connections open until they are written.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::connections::Request;

/// A response body with the request whose response it is. The request ends with the last bytes, which the server drops
/// once it has written them, or with the body if its end isn't known in advance.
#[derive(Debug)]
pub struct Tracked<B> {
    body: B,
    request: Option<Arc<Request>>,
}

impl<B> Tracked<B> {
    pub fn new(body: B, request: Arc<Request>) -> Tracked<B> {
        Tracked { body, request: Some(request) }
    }
}

/// The last bytes of a response.
struct Last {
    bytes: Bytes,
    _request: Option<Arc<Request>>,
}

impl AsRef<[u8]> for Last {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for Tracked<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let Some(Ok(frame)) = frame else { return Poll::Ready(frame) };
        if !self.body.is_end_stream() {
            return Poll::Ready(Some(Ok(frame)));
        }
        let frame = match frame.into_data() {
            Ok(bytes) => {
                let last = Last { bytes, _request: self.request.take() };
                Frame::data(Bytes::from_owner(last))
            }
            Err(frame) => frame,
        };
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
