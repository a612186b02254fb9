//! Wire types of the membership protocol: members, updates and messages.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::de::{self, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use xxhash_rust::xxh3;

/// Maximum number of updates in one datagram; with names of usual length they fit
/// `wire::DATAGRAM_BYTES`.
pub const MAX_UPDATES: usize = 6;
/// Maximum length of the name of a node, region or failure domain, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Status of a node; for equal incarnations, a later variant overrides an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    Alive,
    /// The node has announced a planned stop and takes no new work.
    Leaving,
    /// Probes have failed; the node can still refute the suspicion.
    Suspect,
    Dead,
}

impl Status {
    pub fn as_str(self) -> &'static str {
        match self {
            Status::Alive => "alive",
            Status::Leaving => "leaving",
            Status::Suspect => "suspect",
            Status::Dead => "dead",
        }
    }
}

/// A node of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub node: Arc<str>,
    pub address: SocketAddr,
    pub region: Arc<str>,
    pub failure_domain: Arc<str>,
    /// Raised by the node itself to refute updates from other nodes.
    pub incarnation: u64,
    pub status: Status,
}

impl Member {
    /// Returns whether this describes a newer state than `other`, which must be about the same
    /// node.
    pub fn supersedes(&self, other: &Member) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }

    /// Returns whether the node has a name and all names fit `MAX_NAME_BYTES`.
    pub fn has_valid_names(&self) -> bool {
        let names = [&self.node, &self.region, &self.failure_domain];
        !self.node.is_empty() && names.into_iter().all(|name| name.len() <= MAX_NAME_BYTES)
    }

    /// Returns the member's part of the view digest; dead members contribute nothing, because nodes
    /// remove them at different times.
    pub(super) fn digest(&self) -> u64 {
        if self.status == Status::Dead {
            return 0;
        }
        let seed = self.incarnation.wrapping_mul(4).wrapping_add(self.status as u64);
        xxh3::xxh3_64_with_seed(self.node.as_bytes(), seed)
    }
}

/// A list of at most `MAX_UPDATES` members.
///
/// The visitor is written by hand because every datagram carries this list: it rejects a longer
/// list before storing it. In a steady cluster the list is empty and needs no allocation.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Updates(pub Vec<Member>);

impl Serialize for Updates {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.0.iter().take(MAX_UPDATES))
    }
}

impl<'de> Deserialize<'de> for Updates {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Updates, D::Error> {
        deserializer.deserialize_seq(UpdatesVisitor)
    }
}

struct UpdatesVisitor;

impl<'de> Visitor<'de> for UpdatesVisitor {
    type Value = Updates;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at most {MAX_UPDATES} members")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Updates, A::Error> {
        let mut updates = Vec::new();
        while let Some(member) = sequence.next_element()? {
            if updates.len() == MAX_UPDATES {
                return Err(de::Error::invalid_length(updates.len() + 1, &self));
            }
            updates.push(member);
        }
        Ok(Updates(updates))
    }
}

/// A probe message between nodes, with piggybacked updates.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Node that sends the message; in a relayed `Ack`, the node that was probed.
    pub node: Arc<str>,
    /// Digest of that node's view of the membership.
    pub view_digest: u64,
    /// Matches an `Ack` to its `Ping` or `PingRequest`.
    pub sequence: u32,
    pub body: Body,
    pub updates: Updates,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    Ping,
    Ack,
    /// Asks the receiver to ping another node and to relay the `Ack`.
    PingRequest(SocketAddr),
}
