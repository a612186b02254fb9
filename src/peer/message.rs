//! What daemons say to each other.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::membership;
use crate::resource::Catalog;

/// Longest text in a mark, in bytes; a longer reason is cut.
pub const MARK_TEXT_BYTES: usize = 200;

/// Says that a version of a service is bad; nodes never take this back.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Mark {
    pub service: Arc<str>,
    pub version: Arc<str>,
    pub reason: Arc<str>,
}

impl Mark {
    /// Builds a mark whose texts are cut so that a few of them fit a datagram.
    pub fn new(service: &str, version: &str, reason: &str) -> Mark {
        Mark { service: cut(service), version: cut(version), reason: cut(reason) }
    }
}

fn cut(text: &str) -> Arc<str> {
    text[..text.floor_char_boundary(MARK_TEXT_BYTES)].into()
}

/// Gives the digest of a set of marks; neither the order nor the reasons matter, since nodes may
/// have found the same fault for different reasons.
pub fn digest<'a>(marks: impl IntoIterator<Item = &'a Mark>) -> u64 {
    let mut names: Vec<_> =
        marks.into_iter().map(|mark| (&*mark.service, &*mark.version)).collect();
    names.sort_unstable();
    names.dedup();
    let digests = names.into_iter().map(|(service, version)| {
        xxh3::xxh3_64_with_seed(version.as_bytes(), xxh3::xxh3_64(service.as_bytes()))
    });
    digests.fold(0, |all, one| all ^ one)
}

/// Holds one UDP message with the hints that every datagram carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Configuration revision in effect at the sender.
    pub revision: u64,
    /// Digest of the marks that the sender knows.
    pub marks: u64,
    pub content: Content,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    Probe(membership::Message),
    /// Some of the sender's marks; a large set is split over several datagrams.
    Marks(Vec<Mark>),
    /// Nothing but the hints; sent when the revision has just changed.
    Hint,
}

/// Asks another daemon for something by TCP.
///
/// New variants are added at the end, because `postcard` numbers them. Payloads are encoded by the
/// module that owns them, so that this module need not know their types.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Asks for the configuration if it is newer than revision `known`.
    PullConfig { known: u64 },
    /// Exchanges the lists of all members.
    SyncMembers(Vec<membership::Member>),
    /// Asks for a stream from an offset, counted in tokens.
    FetchStream { id: Arc<str>, offset: u64 },
    /// Hands over journal entries of a node that stops.
    HandOver(Vec<u8>),
    /// Copies a part of a journal entry.
    Copy(Vec<u8>),
    /// Reports evidence on versions to the lease holder.
    ReportEvidence(Vec<u8>),
}

impl Request {
    /// Tells whether the request may be sent again after a failure with unknown outcome.
    pub fn is_idempotent(&self) -> bool {
        match self {
            Request::PullConfig { .. } | Request::SyncMembers(_) | Request::FetchStream { .. } => {
                true
            }
            Request::HandOver(_) | Request::Copy(_) | Request::ReportEvidence(_) => false,
        }
    }
}

/// Answers a request; new variants are added at the end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// `None` when the node has nothing newer.
    Config(Option<Catalog>),
    Members(Vec<membership::Member>),
    Done,
    /// An answer encoded by the module that owns the request.
    Payload(Vec<u8>),
    /// The request was not carried out, for this reason.
    Refused(Arc<str>),
}

/// Matches replies to requests on one connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Envelope<T> {
    pub id: u64,
    pub body: T,
}
