//! What daemons say to each other.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::membership;
use crate::resource::Catalog;
use crate::rollout::BadVersion;

/// Longest reason in a mark on the wire, in bytes.
pub const MARK_TEXT_BYTES: usize = 200;

/// Cuts the reason of a mark, so that a few marks fit a datagram.
pub(super) fn shorten(mark: &BadVersion) -> BadVersion {
    let reason = &mark.reason[..mark.reason.floor_char_boundary(MARK_TEXT_BYTES)];
    BadVersion { key: mark.key.clone(), reason: reason.into() }
}

/// Gives the digest of a set of marks; neither the order nor the reasons matter, since nodes may
/// have found the same fault for different reasons.
pub fn digest<'a>(marks: impl IntoIterator<Item = &'a BadVersion>) -> u64 {
    let mut keys: Vec<_> = marks.into_iter().map(|mark| &mark.key).collect();
    keys.sort_unstable();
    keys.dedup();
    keys.into_iter().fold(0, |all, key| all ^ key.digest())
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
    Marks(Vec<BadVersion>),
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
    /// Asks for the list of VMs, when the platform can't be reached.
    PullVms,
}

impl Request {
    /// Tells whether the request may be sent again after a failure with unknown outcome.
    pub fn is_idempotent(&self) -> bool {
        match self {
            Request::PullConfig { .. }
            | Request::SyncMembers(_)
            | Request::FetchStream { .. }
            | Request::PullVms => true,
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
