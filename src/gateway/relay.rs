//! Bodies of answers: whole ones, and streams whose events are passed on as they come.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::Frame;
use tokio::sync::mpsc;

/// Events that wait for a slow caller before its endpoint has to wait.
const EVENTS_AHEAD: usize = 64;

/// Largest event; a stream without ends of events must not fill the memory.
const EVENT_BYTES: usize = 1 << 20;

/// Tells that a stream was broken off; its caller must not take it for complete.
#[derive(Debug)]
pub struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stream was broken off")
    }
}

impl std::error::Error for Broken {}

#[derive(Debug)]
pub enum Body {
    Whole(Option<Bytes>),
    Stream(mpsc::Receiver<Result<Bytes, Broken>>),
}

impl Body {
    pub fn whole(bytes: impl Into<Bytes>) -> Body {
        let bytes = bytes.into();
        Body::Whole((!bytes.is_empty()).then_some(bytes))
    }

    /// Makes a stream and the end into which its events are put.
    pub fn stream() -> (mpsc::Sender<Result<Bytes, Broken>>, Body) {
        let (sender, receiver) = mpsc::channel(EVENTS_AHEAD);
        (sender, Body::Stream(receiver))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
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

/// Splits a stream into whole events and remembers the identifier of the last one.
///
/// Only whole events are passed on: an endpoint may stop in the middle of one, and the rest of it
/// must not be joined with the beginning of an event from another endpoint.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: Vec<u8>,
    /// Identifier of the last whole event.
    pub last_id: Option<std::sync::Arc<str>>,
    pub events: u32,
}

impl Splitter {
    /// Takes bytes and gives the whole events that they complete.
    pub fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        if self.pending.is_empty() && bytes.ends_with(b"\n\n") {
            self.note(&bytes);
            return Some(bytes);
        }
        self.pending.extend_from_slice(&bytes);
        let end = memchr::memmem::rfind(&self.pending, b"\n\n")? + 2;
        let rest = self.pending.split_off(end);
        let whole = Bytes::from(std::mem::replace(&mut self.pending, rest));
        self.note(&whole);
        Some(whole)
    }

    /// Tells whether the stream stands between two events.
    pub fn is_whole(&self) -> bool {
        self.pending.is_empty()
    }

    /// Tells whether an event has grown larger than any proper one.
    pub fn is_too_long(&self) -> bool {
        self.pending.len() > EVENT_BYTES
    }

    fn note(&mut self, events: &[u8]) {
        self.events += memchr::memmem::find_iter(events, b"\n\n").count() as u32;
        let line = memchr::memmem::rfind(events, b"\nid:").map(|at| at + 1);
        let line = line.or_else(|| events.starts_with(b"id:").then_some(0));
        if let Some(at) = line {
            let value = &events[at + 3..];
            let end = memchr::memchr(b'\n', value).unwrap_or(value.len());
            if let Ok(id) = std::str::from_utf8(&value[..end]) {
                self.last_id = Some(id.trim().into());
            }
        }
    }
}
