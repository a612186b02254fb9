//! Versions that were found bad during a move; nodes gossip them without the platform.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::resource;

/// Most bad versions that a node keeps; at 10 moves an hour this covers more than four days.
pub const MAX_BAD_VERSIONS: usize = 1_024;

/// Identifies one run of a move, so that a later move to the same version is not affected by an
/// earlier bad version.
///
/// The accept time is the first field because the order decides which entries are dropped first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Time at which the move was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    pub service: Arc<str>,
    /// New version of the move.
    pub version: Arc<str>,
    /// Name of the move.
    pub name: Arc<str>,
}

impl Key {
    pub fn new(id: &resource::Id, spec: &resource::Move, progress: &resource::Progress) -> Key {
        Key {
            accepted_ms: progress.accepted_ms,
            service: spec.service.clone(),
            version: spec.to.clone(),
            name: id.name.clone(),
        }
    }

    /// Returns the digest of this key; the XOR of all digests identifies a set of keys.
    pub fn digest(&self) -> u64 {
        let mut hasher = xxh3::Xxh3::new();
        hasher.update(&self.accepted_ms.to_le_bytes());
        for text in [&self.service, &self.version, &self.name] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.digest()
    }
}

/// Records that the new version of one move is bad.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BadVersion {
    pub key: Key,
    /// Measured difference that led to the verdict, for operators.
    pub reason: Arc<str>,
}

/// Holds bad versions in a set that only grows until it reaches its bound.
///
/// Beyond the bound the entries of the oldest moves are dropped, so that merges in any order give
/// equal sets of keys.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct BadVersions {
    reasons: BTreeMap<Key, Arc<str>>,
    digest: u64,
}

impl BadVersions {
    /// Adds a bad version and reports whether it was new. A known entry keeps its first reason.
    pub fn insert(&mut self, bad_version: BadVersion) -> bool {
        if self.reasons.contains_key(&bad_version.key) {
            return false;
        }
        let oldest = self.reasons.first_key_value().map(|(key, _)| key);
        if self.reasons.len() >= MAX_BAD_VERSIONS
            && oldest.is_some_and(|oldest| bad_version.key < *oldest)
        {
            return false;
        }
        self.digest ^= bad_version.key.digest();
        self.reasons.insert(bad_version.key, bad_version.reason);
        if self.reasons.len() > MAX_BAD_VERSIONS
            && let Some((dropped, _)) = self.reasons.pop_first()
        {
            self.digest ^= dropped.digest();
        }
        true
    }

    /// Adds the bad versions of another node and reports whether any was new.
    pub fn merge(&mut self, bad_versions: impl IntoIterator<Item = BadVersion>) -> bool {
        bad_versions.into_iter().filter(|bad_version| self.insert(bad_version.clone())).count() > 0
    }

    pub fn contains(&self, key: &Key) -> bool {
        !self.reasons.is_empty() && self.reasons.contains_key(key)
    }

    pub fn reason(&self, key: &Key) -> Option<&Arc<str>> {
        self.reasons.get(key)
    }

    /// Returns a digest that is equal for equal sets of keys, so that heartbeats can compare sets.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    pub fn iter(&self) -> impl Iterator<Item = BadVersion> + '_ {
        self.reasons
            .iter()
            .map(|(key, reason)| BadVersion { key: key.clone(), reason: reason.clone() })
    }

    pub fn len(&self) -> usize {
        self.reasons.len()
    }

    pub fn is_empty(&self) -> bool {
        self.reasons.is_empty()
    }
}
