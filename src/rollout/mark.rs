//! Marks "version is bad", which nodes spread between each other without the platform.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::resource;

/// Most marks a node keeps; at 10 moves an hour this covers more than four days.
pub const MARKS: usize = 1_024;

/// Identifies one run of a move, so that a later move to the same version starts without marks.
///
/// The accept time is the first field because the order decides which marks are dropped first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Time at which the move was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    pub service: Arc<str>,
    pub version: Arc<str>,
    /// Name of the move.
    pub name: Arc<str>,
}

impl Key {
    pub fn of(id: &resource::Id, spec: &resource::Move, progress: &resource::Progress) -> Key {
        Key {
            accepted_ms: progress.accepted_ms,
            service: spec.service.clone(),
            version: spec.to.clone(),
            name: id.name.clone(),
        }
    }

    /// Gives a digest by which sets of marks are compared.
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

/// States that the new version of one move is bad.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    pub key: Key,
    /// Tells operators the numbers that led to the verdict.
    pub reason: Arc<str>,
}

/// Holds marks in a set that only grows until it reaches its bound.
///
/// Beyond the bound the marks of the oldest moves are dropped, which gives the same result in
/// any order of merging.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Marks {
    reasons: BTreeMap<Key, Arc<str>>,
    digest: u64,
}

impl Marks {
    /// Adds a mark; tells whether it was new. A known mark keeps its first reason.
    pub fn insert(&mut self, mark: Mark) -> bool {
        if self.reasons.contains_key(&mark.key) {
            return false;
        }
        let oldest = self.reasons.first_key_value().map(|(key, _)| key);
        if self.reasons.len() >= MARKS && oldest.is_some_and(|oldest| mark.key < *oldest) {
            return false;
        }
        self.digest ^= mark.key.digest();
        self.reasons.insert(mark.key, mark.reason);
        if self.reasons.len() > MARKS
            && let Some((dropped, _)) = self.reasons.pop_first()
        {
            self.digest ^= dropped.digest();
        }
        true
    }

    /// Adds the marks of another node; tells whether any was new.
    pub fn merge(&mut self, marks: impl IntoIterator<Item = Mark>) -> bool {
        marks.into_iter().filter(|mark| self.insert(mark.clone())).count() > 0
    }

    pub fn contains(&self, key: &Key) -> bool {
        !self.reasons.is_empty() && self.reasons.contains_key(key)
    }

    pub fn reason(&self, key: &Key) -> Option<&Arc<str>> {
        self.reasons.get(key)
    }

    /// Gives equal values for equal sets of keys, so that heartbeats can compare sets.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    pub fn iter(&self) -> impl Iterator<Item = Mark> + '_ {
        self.reasons.iter().map(|(key, reason)| Mark { key: key.clone(), reason: reason.clone() })
    }

    pub fn len(&self) -> usize {
        self.reasons.len()
    }

    pub fn is_empty(&self) -> bool {
        self.reasons.is_empty()
    }
}
