//! Response bodies: whole ones held in memory, and event streams that are forwarded as they arrive.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::Frame;
use tokio::sync::mpsc;

/// Chunks of events buffered for a slow caller before backpressure reaches the endpoint.
const BUFFERED_CHUNKS: usize = 64;

/// Largest event; bounds the memory that a stream without event separators can take.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Error that ends a stream early, so that the caller doesn't take it for complete.
#[derive(Debug)]
pub struct Aborted;

impl std::fmt::Display for Aborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stream was aborted before its end")
    }
}

impl std::error::Error for Aborted {}

#[derive(Debug)]
pub enum Body {
    Whole(Option<Bytes>),
    Stream(mpsc::Receiver<Result<Bytes, Aborted>>),
}

impl Body {
    pub fn whole(bytes: impl Into<Bytes>) -> Body {
        let bytes = bytes.into();
        Body::Whole((!bytes.is_empty()).then_some(bytes))
    }

    /// Returns a streamed body and the sender of its events.
    pub fn stream() -> (mpsc::Sender<Result<Bytes, Aborted>>, Body) {
        let (sender, receiver) = mpsc::channel(BUFFERED_CHUNKS);
        (sender, Body::Stream(receiver))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match self.get_mut() {
            Body::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Body::Stream(receiver) => {
                receiver.poll_recv(cx).map(|next| next.map(|next| next.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Whole(None))
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Body::Whole(bytes) => {
                hyper::body::SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Body::Stream(_) => hyper::body::SizeHint::default(),
        }
    }
}

/// Splits a server-sent event stream into whole events and keeps the ID of the last one.
///
/// Only whole events are forwarded: an endpoint may stop within one, and that partial event must not
/// be joined with an event from the endpoint that continues the stream.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: Vec<u8>,
    /// ID of the last whole event that has one.
    pub last_event_id: Option<std::sync::Arc<str>>,
    pub event_count: u32,
}

impl Splitter {
    /// Adds received bytes and returns the whole events that they complete.
    pub fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        if self.pending.is_empty() && bytes.ends_with(b"\n\n") {
            self.record_events(&bytes);
            return Some(bytes);
        }
        self.pending.extend_from_slice(&bytes);
        let end = memchr::memmem::rfind(&self.pending, b"\n\n")? + 2;
        let incomplete_event = self.pending.split_off(end);
        let whole_events = Bytes::from(std::mem::replace(&mut self.pending, incomplete_event));
        self.record_events(&whole_events);
        Some(whole_events)
    }

    /// Returns whether all bytes so far belong to whole events.
    pub fn is_at_event_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns whether the incomplete event exceeds the size limit.
    pub fn is_oversized(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    fn record_events(&mut self, events: &[u8]) {
        self.event_count += memchr::memmem::find_iter(events, b"\n\n").count() as u32;
        let line = memchr::memmem::rfind(events, b"\nid:").map(|start| start + 1);
        let line = line.or_else(|| events.starts_with(b"id:").then_some(0));
        if let Some(start) = line {
            let value = &events[start + 3..];
            let end = memchr::memchr(b'\n', value).unwrap_or(value.len());
            if let Ok(id) = std::str::from_utf8(&value[..end]) {
                self.last_event_id = Some(id.trim().into());
            }
        }
    }
}
