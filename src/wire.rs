//! Versioned and authenticated frames between daemons.
//!
//! A frame is a version byte, the sender with its incarnation and counter, a `postcard` body and an
//! HMAC-SHA-256 tag cut to 16 bytes. Datagrams pass a replay window per sender; the frames of a TCP
//! connection are bound to that connection and numbered instead, so that a busy connection cannot
//! move the datagram window. See `docs/design.md`, section 7.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use hmac::{Hmac, KeyInit, Mac};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Sha256;
use xxhash_rust::xxh3;

mod replay;

pub use replay::Replay;

/// Changes whenever a body can no longer be read by the previous release.
pub const VERSION: u8 = 1;
pub const TAG_BYTES: usize = 16;
/// Version, sender, incarnation and counter.
pub const HEADER_BYTES: usize = 1 + 8 + 8 + 8;
/// Largest datagram; it fits an Ethernet frame of 1,500 bytes, so IP never fragments it.
pub const DATAGRAM_BYTES: usize = 1_400;
/// Largest frame on a TCP connection; a catalog of 10,000 resources stays below it.
pub const STREAM_BYTES: usize = 16 << 20;

/// Separates the tags of datagrams from those of TCP frames.
const DATAGRAM_CONTEXT: &[u8] = b"datagram";

/// Lists why a frame is dropped; none of these is fatal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Error {
    /// The frame is shorter than a header and a tag.
    Short,
    Oversize,
    Version,
    Tag,
    /// The counter has been seen, is older than the window, or the frame is our own.
    Replay,
    /// The sender has restarted since it sent this frame.
    Incarnation,
    /// The tag is right, but the body does not decode; the sender runs another release.
    Body,
}

impl Error {
    pub const ALL: [Error; 7] = [
        Error::Short,
        Error::Oversize,
        Error::Version,
        Error::Tag,
        Error::Replay,
        Error::Incarnation,
        Error::Body,
    ];

    /// Gives the label under which the cause is counted.
    pub fn as_str(self) -> &'static str {
        match self {
            Error::Short => "short",
            Error::Oversize => "oversize",
            Error::Version => "version",
            Error::Tag => "tag",
            Error::Replay => "replay",
            Error::Incarnation => "incarnation",
            Error::Body => "body",
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "frame dropped: {}", self.as_str())
    }
}

impl std::error::Error for Error {}

/// Holds an authenticated frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame<T> {
    /// Digest of the sender's node name.
    pub sender: u64,
    pub incarnation: u64,
    pub counter: u64,
    pub body: T,
}

/// Seals frames with the current key and opens frames sealed with any accepted key.
#[derive(Debug)]
pub struct Codec {
    /// The first key seals; all of them open.
    keys: Vec<Hmac<Sha256>>,
    sender: u64,
    incarnation: AtomicU64,
    counter: AtomicU64,
    replay: Mutex<Replay>,
}

impl Codec {
    /// Builds a codec; the incarnation must be higher than that of an earlier process of this node.
    ///
    /// The first key is the current one. Without any key a codec can neither seal nor open.
    pub fn new(node: &str, incarnation: u64, keys: &[Arc<str>]) -> Codec {
        let keys = keys.iter().filter_map(|key| Hmac::new_from_slice(key.as_bytes()).ok());
        Codec {
            keys: keys.collect(),
            sender: sender(node),
            incarnation: AtomicU64::new(incarnation),
            counter: AtomicU64::new(0),
            replay: Mutex::default(),
        }
    }

    /// Raises the incarnation; used when peers remember a higher one from an earlier process.
    pub fn raise_incarnation(&self, incarnation: u64) {
        self.incarnation.fetch_max(incarnation, Ordering::Relaxed);
    }

    /// Seals a datagram.
    ///
    /// # Errors
    ///
    /// Fails with `Oversize` when the frame does not fit a datagram, and with `Tag` without a key.
    pub fn seal(&self, body: &impl Serialize) -> Result<Vec<u8>, Error> {
        let counter = self.counter.fetch_add(1, Ordering::Relaxed);
        self.seal_as(&[DATAGRAM_CONTEXT], counter, body, DATAGRAM_BYTES)
    }

    /// Opens a datagram and enters it in the replay window of its sender.
    ///
    /// # Errors
    ///
    /// Gives the reason for which the datagram must be dropped. A body that does not decode has
    /// been authenticated and is entered in the window as well.
    pub fn open<T: DeserializeOwned>(&self, bytes: &[u8]) -> Result<Frame<T>, Error> {
        let (header, body) = self.verify(&[DATAGRAM_CONTEXT], bytes, DATAGRAM_BYTES)?;
        if header.sender == self.sender {
            return Err(Error::Replay);
        }
        let mut replay = self.replay.lock().unwrap_or_else(PoisonError::into_inner);
        replay.accept(header.sender, header.incarnation, header.counter)?;
        drop(replay);
        Ok(header.with(decode(body)?))
    }

    fn seal_as(
        &self,
        context: &[&[u8]],
        counter: u64,
        body: &impl Serialize,
        limit: usize,
    ) -> Result<Vec<u8>, Error> {
        let key = self.keys.first().ok_or(Error::Tag)?;
        let mut bytes = Vec::with_capacity(256);
        bytes.push(VERSION);
        bytes.extend_from_slice(&self.sender.to_le_bytes());
        bytes.extend_from_slice(&self.incarnation.load(Ordering::Relaxed).to_le_bytes());
        bytes.extend_from_slice(&counter.to_le_bytes());
        let mut bytes = postcard::to_extend(body, bytes).map_err(|_| Error::Body)?;
        if bytes.len() + TAG_BYTES > limit {
            return Err(Error::Oversize);
        }
        let tag = digest(key, context, &bytes).finalize().into_bytes();
        bytes.extend_from_slice(&tag[..TAG_BYTES]);
        Ok(bytes)
    }

    fn verify<'a>(
        &self,
        context: &[&[u8]],
        bytes: &'a [u8],
        limit: usize,
    ) -> Result<(Header, &'a [u8]), Error> {
        if bytes.len() > limit {
            return Err(Error::Oversize);
        }
        let version = *bytes.first().ok_or(Error::Short)?;
        if version != VERSION {
            return Err(Error::Version);
        }
        let signed = bytes.len().checked_sub(TAG_BYTES).ok_or(Error::Short)?;
        let (signed, tag) = bytes.split_at(signed);
        let (header, body) = Header::read(signed).ok_or(Error::Short)?;
        let verified = |key| digest(key, context, signed).verify_truncated_left(tag).is_ok();
        if !self.keys.iter().any(verified) {
            return Err(Error::Tag);
        }
        Ok((header, body))
    }
}

/// Gives the digest that stands for a node in frame headers.
pub fn sender(node: &str) -> u64 {
    xxh3::xxh3_64(node.as_bytes())
}

fn digest(key: &Hmac<Sha256>, context: &[&[u8]], bytes: &[u8]) -> Hmac<Sha256> {
    let mut mac = key.clone();
    for part in context {
        mac.update(part);
    }
    mac.update(bytes);
    mac
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    match postcard::take_from_bytes(body) {
        Ok((value, [])) => Ok(value),
        _ => Err(Error::Body),
    }
}

#[derive(Debug, Clone, Copy)]
struct Header {
    sender: u64,
    incarnation: u64,
    counter: u64,
}

impl Header {
    fn read(bytes: &[u8]) -> Option<(Header, &[u8])> {
        let (_version, rest) = bytes.split_first()?;
        let (sender, rest) = rest.split_first_chunk()?;
        let (incarnation, rest) = rest.split_first_chunk()?;
        let (counter, body) = rest.split_first_chunk()?;
        let header = Header {
            sender: u64::from_le_bytes(*sender),
            incarnation: u64::from_le_bytes(*incarnation),
            counter: u64::from_le_bytes(*counter),
        };
        Some((header, body))
    }

    fn with<T>(self, body: T) -> Frame<T> {
        let Header { sender, incarnation, counter } = self;
        Frame { sender, incarnation, counter, body }
    }
}

/// Tells which end of a TCP connection a session belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Client,
    Server,
}

impl Role {
    fn label(self) -> &'static [u8] {
        match self {
            Role::Client => b"client",
            Role::Server => b"server",
        }
    }

    fn other(self) -> Role {
        match self {
            Role::Client => Role::Server,
            Role::Server => Role::Client,
        }
    }
}

/// Random bytes that each end of a connection adds, so that no frame is valid on another one.
pub type Nonce = [u8; 16];

/// Seals and opens the frames of one TCP connection; the counters must follow each other.
#[derive(Debug)]
pub struct Session {
    codec: Arc<Codec>,
    role: Role,
    /// Nonce of the client, then nonce of the server.
    nonces: [Nonce; 2],
    sent: u64,
    received: u64,
}

impl Session {
    pub fn new(codec: Arc<Codec>, role: Role, client: Nonce, server: Nonce) -> Session {
        Session { codec, role, nonces: [client, server], sent: 0, received: 0 }
    }

    /// Seals the next frame of the connection.
    ///
    /// # Errors
    ///
    /// Fails with `Oversize` above `STREAM_BYTES`, and with `Tag` without a key.
    pub fn seal(&mut self, body: &impl Serialize) -> Result<Vec<u8>, Error> {
        let [client, server] = &self.nonces;
        let context = [self.role.label(), client, server];
        let bytes = self.codec.seal_as(&context, self.sent, body, STREAM_BYTES)?;
        self.sent += 1;
        Ok(bytes)
    }

    /// Opens the next frame of the other end.
    ///
    /// # Errors
    ///
    /// Gives the reason for which the connection must be closed.
    pub fn open<T: DeserializeOwned>(&mut self, bytes: &[u8]) -> Result<Frame<T>, Error> {
        let [client, server] = &self.nonces;
        let context = [self.role.other().label(), client, server];
        let (header, body) = self.codec.verify(&context, bytes, STREAM_BYTES)?;
        if header.counter != self.received {
            return Err(Error::Replay);
        }
        self.received += 1;
        Ok(header.with(decode(body)?))
    }
}
