//! Messages between daemons, encoded with `postcard`.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::membership;
use crate::resource::Catalog;
use crate::rollout::BadVersion;

/// Maximum length of the reason of a bad version on the wire, in bytes.
pub const MAX_REASON_BYTES: usize = 200;

/// Truncates the reason of a bad version, so that several fit a datagram.
pub(super) fn truncate_reason(version: &BadVersion) -> BadVersion {
    let reason = &version.reason[..version.reason.floor_char_boundary(MAX_REASON_BYTES)];
    BadVersion { key: version.key.clone(), reason: reason.into() }
}

/// Returns the digest of a set of bad versions. It depends neither on their order nor on their
/// reasons, since nodes may have detected one fault for different reasons.
pub fn bad_versions_digest<'a>(versions: impl IntoIterator<Item = &'a BadVersion>) -> u64 {
    let mut keys: Vec<_> = versions.into_iter().map(|version| &version.key).collect();
    keys.sort_unstable();
    keys.dedup();
    keys.into_iter().fold(0, |all, key| all ^ key.digest())
}

/// Holds the content of one UDP datagram with the state that every datagram announces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Configuration revision in effect at the sender.
    pub revision: u64,
    /// Digest of the bad versions that the sender knows; see `bad_versions_digest`.
    pub bad_versions_digest: u64,
    pub content: Content,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    Probe(membership::Message),
    /// Bad versions known to the sender; a large set is split over several datagrams.
    BadVersions(Vec<BadVersion>),
    /// No content; the datagram announces a revision that has just changed.
    Empty,
}

/// Holds a request to another daemon over TCP.
///
/// New variants must be added at the end, because `postcard` encodes their index. Byte payloads are
/// encoded by the module that owns them, so that this module need not know their types.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Requests the configuration if its revision is higher than `known`.
    PullConfig { known: u64 },
    /// Sends the list of all members and requests the members that it lacks.
    SyncMembers(Vec<membership::Member>),
    /// Requests a stream from an offset in tokens.
    FetchStream { id: Arc<str>, offset: u64 },
    /// Transfers a stream from a node that is stopping; the receiver continues it.
    HandOver(Vec<u8>),
    /// Stores a copy of a stream at the receiver, which does not continue it.
    CopyStream(Vec<u8>),
    /// Reports evidence about versions to the node that holds the lease.
    ReportEvidence(Vec<u8>),
    /// Requests the list of VMs while the platform is unreachable.
    PullVms,
}

impl Request {
    /// Reports whether the request may be sent again after a failure with unknown outcome.
    pub fn is_idempotent(&self) -> bool {
        match self {
            Request::PullConfig { .. }
            | Request::SyncMembers(_)
            | Request::FetchStream { .. }
            | Request::PullVms => true,
            Request::HandOver(_) | Request::CopyStream(_) | Request::ReportEvidence(_) => false,
        }
    }
}

/// Holds the reply to a request. New variants must be added at the end, because `postcard` encodes
/// their index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Configuration of the replying node, or `None` if it is not newer than the requested
    /// revision.
    Config(Option<Catalog>),
    Members(Vec<membership::Member>),
    Done,
    /// Result encoded by the module that owns the request.
    Payload(Vec<u8>),
    /// The request was not executed, for the given reason.
    Refused(Arc<str>),
}

/// Carries the id that matches a reply to its request on one connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Envelope<T> {
    pub id: u64,
    pub body: T,
}
