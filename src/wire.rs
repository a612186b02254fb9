//! Versioned and authenticated frames between daemons.
//!
//! A frame consists of a version byte, the sender id with its incarnation and counter, a `postcard`
//! body and an HMAC-SHA-256 tag truncated to 16 bytes. Datagrams are checked against a replay
//! window per sender. Frames of a TCP connection are bound to that connection and numbered instead,
//! so that a busy connection cannot advance the datagram window. See `docs/design.md`, section 7.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use hmac::{Hmac, KeyInit, Mac};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Sha256;
use xxhash_rust::xxh3;

mod replay;

pub use replay::ReplayFilter;

/// Version of the frame format; it changes whenever the previous release cannot read a body.
pub const VERSION: u8 = 1;
pub const TAG_BYTES: usize = 16;
/// Length of the header: version, sender id, incarnation and counter.
pub const HEADER_BYTES: usize = 1 + 8 + 8 + 8;
/// Maximum size of a datagram; it fits an Ethernet frame of 1,500 bytes, so IP never fragments it.
pub const DATAGRAM_BYTES: usize = 1_400;
/// Maximum size of a frame on a TCP connection; a catalog of 10,000 resources stays below it.
pub const STREAM_BYTES: usize = 16 << 20;

/// Separates the tags of datagrams from those of TCP frames, so that neither verifies as the other.
const DATAGRAM_CONTEXT: &[u8] = b"datagram";

/// Reason why a frame is dropped; none is fatal to the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Error {
    /// The frame is shorter than a header plus a tag.
    Short,
    Oversize,
    Version,
    Tag,
    /// The counter was seen before, is older than the replay window or, on a TCP connection, is not
    /// the next one; or a datagram was sent by this node itself.
    Replay,
    /// The frame is from before the last restart of its sender.
    Incarnation,
    /// The tag is valid, but the body does not decode, so the sender runs another release.
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

    /// Returns the label under which the cause is counted.
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

/// Holds the header and the decoded body of an authenticated frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame<T> {
    /// Digest of the sender's node name; see `sender_id`.
    pub sender: u64,
    pub incarnation: u64,
    pub counter: u64,
    pub body: T,
}

/// Signs frames with the current key and verifies frames signed with any accepted key. Bodies are
/// authenticated, not encrypted.
#[derive(Debug)]
pub struct Codec {
    /// The first key signs; all of them verify.
    keys: Vec<Hmac<Sha256>>,
    sender: u64,
    incarnation: AtomicU64,
    counter: AtomicU64,
    replay: Mutex<ReplayFilter>,
}

impl Codec {
    /// Creates a codec whose first key is the current one. Without any key it can neither seal nor
    /// open frames.
    ///
    /// The incarnation must be higher than that of every earlier process of this node.
    pub fn new(node: &str, incarnation: u64, keys: &[Arc<str>]) -> Codec {
        let keys = keys.iter().filter_map(|key| Hmac::new_from_slice(key.as_bytes()).ok());
        Codec {
            keys: keys.collect(),
            sender: sender_id(node),
            incarnation: AtomicU64::new(incarnation),
            counter: AtomicU64::new(0),
            replay: Mutex::default(),
        }
    }

    /// Raises the incarnation, for instance when peers know a higher one from an earlier process of
    /// this node. A lower value has no effect.
    pub fn raise_incarnation(&self, incarnation: u64) {
        self.incarnation.fetch_max(incarnation, Ordering::Relaxed);
    }

    /// Encodes and signs a datagram.
    ///
    /// # Errors
    ///
    /// Fails with `Oversize` if the frame does not fit a datagram, with `Tag` if the codec has no
    /// key, and with `Body` if the body cannot be encoded.
    pub fn seal(&self, body: &impl Serialize) -> Result<Vec<u8>, Error> {
        let counter = self.counter.fetch_add(1, Ordering::Relaxed);
        self.seal_with(&[DATAGRAM_CONTEXT], counter, body, DATAGRAM_BYTES)
    }

    /// Verifies and decodes a datagram and records it in the replay window of its sender.
    ///
    /// # Errors
    ///
    /// Returns the reason why the datagram must be dropped. A datagram whose body does not decode
    /// has been authenticated, so it is recorded in the window too.
    pub fn open<T: DeserializeOwned>(&self, bytes: &[u8]) -> Result<Frame<T>, Error> {
        let (header, body) = self.verify(&[DATAGRAM_CONTEXT], bytes, DATAGRAM_BYTES)?;
        if header.sender == self.sender {
            return Err(Error::Replay);
        }
        let mut replay = self.replay.lock().unwrap_or_else(PoisonError::into_inner);
        replay.accept(header.sender, header.incarnation, header.counter)?;
        drop(replay);
        Ok(header.into_frame(decode(body)?))
    }

    fn seal_with(
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
        let tag = compute_mac(key, context, &bytes).finalize().into_bytes();
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
        let verified = |key| compute_mac(key, context, signed).verify_truncated_left(tag).is_ok();
        if !self.keys.iter().any(verified) {
            return Err(Error::Tag);
        }
        Ok((header, body))
    }
}

/// Returns the digest of a node name that identifies the node in frame headers.
pub fn sender_id(node: &str) -> u64 {
    xxh3::xxh3_64(node.as_bytes())
}

fn compute_mac(key: &Hmac<Sha256>, context: &[&[u8]], bytes: &[u8]) -> Hmac<Sha256> {
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

    fn into_frame<T>(self, body: T) -> Frame<T> {
        let Header { sender, incarnation, counter } = self;
        Frame { sender, incarnation, counter, body }
    }
}

/// End of a TCP connection to which a session belongs.
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

    fn opposite(self) -> Role {
        match self {
            Role::Client => Role::Server,
            Role::Server => Role::Client,
        }
    }
}

/// Random bytes that each end adds to a connection, so that its frames are valid on no other one.
pub type Nonce = [u8; 16];

/// Seals and opens the frames of one TCP connection, whose counters must be consecutive.
#[derive(Debug)]
pub struct Session {
    codec: Arc<Codec>,
    role: Role,
    /// Nonces of the client and the server, in this order.
    nonces: [Nonce; 2],
    sent: u64,
    received: u64,
}

impl Session {
    pub fn new(codec: Arc<Codec>, role: Role, client: Nonce, server: Nonce) -> Session {
        Session { codec, role, nonces: [client, server], sent: 0, received: 0 }
    }

    /// Encodes and signs the next frame to the other end.
    ///
    /// # Errors
    ///
    /// Fails with `Oversize` above `STREAM_BYTES`, with `Tag` if the codec has no key, and with
    /// `Body` if the body cannot be encoded.
    pub fn seal(&mut self, body: &impl Serialize) -> Result<Vec<u8>, Error> {
        let [client, server] = &self.nonces;
        let context = [self.role.label(), client, server];
        let bytes = self.codec.seal_with(&context, self.sent, body, STREAM_BYTES)?;
        self.sent += 1;
        Ok(bytes)
    }

    /// Verifies and decodes the next frame from the other end.
    ///
    /// # Errors
    ///
    /// Returns the reason why the connection must be closed.
    pub fn open<T: DeserializeOwned>(&mut self, bytes: &[u8]) -> Result<Frame<T>, Error> {
        let [client, server] = &self.nonces;
        let context = [self.role.opposite().label(), client, server];
        let (header, body) = self.codec.verify(&context, bytes, STREAM_BYTES)?;
        if header.counter != self.received {
            return Err(Error::Replay);
        }
        self.received += 1;
        Ok(header.into_frame(decode(body)?))
    }
}
