//! Moves between two versions of a service: traffic split, evidence, bad versions and steps.
//!
//! Every node records evidence and can mark a version bad by itself; only the holder of the lease
//! for duty `moves` raises a share. See `docs/design.md`, sections 4 and 9.6.

mod bad_version;
mod controller;
mod evidence;
mod observer;
mod verdict;

pub use bad_version::{BadVersion, BadVersions, Key, MAX_BAD_VERSIONS};
pub use controller::{CANARY_PERMILLE, Controller, Decision, STEPS_PERMILLE, Step};
pub use evidence::{Evidence, MAX_ROUTES, OVERFLOW_ROUTE, Report, Sample, Side, Stratum, Tally};
pub use observer::Observer;
pub use verdict::{
    Regression, Symptom, Targets, find_across_shares, find_in_stratum, find_regression,
};

use std::sync::Arc;

use xxhash_rust::xxh3;

use crate::resource;

/// Share of all requests of a service; shares are counted in thousandths.
pub const FULL_SHARE_PERMILLE: u32 = 1_000;

/// Holds the traffic split of one service at one configuration revision.
///
/// Building a split walks all moves of the catalog, so a node that serves many requests should keep
/// one per service and rebuild it when the revision changes.
#[derive(Debug, Clone)]
pub struct Split {
    /// Version that serves all requests, or the old version while a move is open.
    pub baseline: Arc<str>,
    pub open_move: Option<OpenMove>,
}

/// Describes the open move of a split.
#[derive(Debug, Clone)]
pub struct OpenMove {
    pub key: Key,
    pub share_permille: u32,
}

/// Holds the version that serves a request and the share under which it was chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    pub version: Arc<str>,
    /// Old version, on which the request may be retried if the new version fails.
    pub fallback: Option<Arc<str>>,
    /// Share in effect when the version was chosen; evidence is compared within one share.
    pub share_permille: u32,
}

impl Split {
    /// Builds the split of a service; returns `None` if the catalog does not declare the service.
    ///
    /// When several moves of one service are open, the one that was accepted first takes effect.
    pub fn build(catalog: &resource::Catalog, service: &str) -> Option<Split> {
        let serving = catalog.serving_version(service)?;
        let moves = catalog.open_moves(service);
        let first = moves.iter().min_by_key(|(id, _, progress)| (progress.accepted_ms, &id.name));
        let Some((id, spec, progress)) = first else {
            return Some(Split { baseline: serving, open_move: None });
        };
        let open_move =
            OpenMove { key: Key::new(id, spec, progress), share_permille: progress.share_permille };
        Some(Split { baseline: spec.from.clone(), open_move: Some(open_move) })
    }

    /// Chooses the version for a request; equal hashes get the same version.
    pub fn choose(&self, request_hash: u64, bad_versions: &BadVersions) -> Choice {
        let old = Choice { version: self.baseline.clone(), fallback: None, share_permille: 0 };
        let Some(open_move) = &self.open_move else { return old };
        let share_permille = open_move.share_permille;
        let in_share = bucket(request_hash, open_move.key.accepted_ms) < share_permille;
        if !in_share || bad_versions.contains(&open_move.key) {
            return Choice { share_permille, ..old };
        }
        let version = open_move.key.version.clone();
        Choice { version, fallback: Some(self.baseline.clone()), share_permille }
    }
}

/// Chooses the version of a service for a request; returns `None` if the service is not declared.
pub fn choose_version(
    catalog: &resource::Catalog,
    service: &str,
    request_hash: u64,
    bad_versions: &BadVersions,
) -> Option<Arc<str>> {
    Some(Split::build(catalog, service)?.choose(request_hash, bad_versions).version)
}

/// Maps a request to one of 1,000 buckets.
///
/// The accept time is part of the hash, so that successive moves do not send the same callers to
/// the canary. A request that is included at a lower share stays included when the share rises.
fn bucket(request_hash: u64, accepted_ms: u64) -> u32 {
    let mixed = xxh3::xxh3_64_with_seed(&request_hash.to_le_bytes(), accepted_ms);
    ((u128::from(mixed) * u128::from(FULL_SHARE_PERMILLE)) >> 64) as u32
}
