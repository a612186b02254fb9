//! Moves between two versions of a service: traffic split, evidence, marks and steps.
//!
//! Every node records evidence and marks a bad version on its own; only the holder of the lease
//! for duty `moves` raises a share. See `docs/design.md`, sections 4 and 9.6.

mod controller;
mod evidence;
mod mark;
mod observer;
mod verdict;

pub use controller::{CANARY_PERMILLE, Controller, Decision, STEPS_PERMILLE, Step};
pub use evidence::{Evidence, OVERFLOW_ROUTE, ROUTES, Report, Sample, Side, Stratum, Tally};
pub use mark::{Key, MARKS, Mark, Marks};
pub use observer::Observer;
pub use verdict::{Signal, Symptom, Targets, judge, judge_shares, judge_stratum};

use std::sync::Arc;

use xxhash_rust::xxh3;

use crate::resource;

/// Shares are counted in thousandths of the requests of a service.
pub const PERMILLE: u32 = 1_000;

/// Holds the traffic split of one service at one configuration revision.
///
/// Building it walks all moves of the catalog, so a node that serves many requests keeps one per
/// service and rebuilds it when the revision changes.
#[derive(Debug, Clone)]
pub struct Split {
    /// Version outside of a move, or the old version while a move is open.
    pub old: Arc<str>,
    pub open: Option<Open>,
}

/// Describes the open move of a split.
#[derive(Debug, Clone)]
pub struct Open {
    pub key: Key,
    pub share_permille: u32,
}

/// Tells which version serves a request, and under which share it was chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    pub version: Arc<str>,
    /// Old version that may run the request again when the new version failed.
    pub fallback: Option<Arc<str>>,
    /// Share in effect when the version was chosen; evidence is compared within one share.
    pub share_permille: u32,
}

impl Split {
    /// Builds the split of a service; `None` when the catalog does not declare the service.
    ///
    /// When several moves of one service are open, the one that was accepted first takes effect.
    pub fn of(catalog: &resource::Catalog, service: &str) -> Option<Split> {
        let serving = catalog.serving(service)?;
        let moves = catalog.open_moves(service);
        let first = moves.iter().min_by_key(|(id, _, progress)| (progress.accepted_ms, &id.name));
        let Some((id, spec, progress)) = first else {
            return Some(Split { old: serving, open: None });
        };
        let open =
            Open { key: Key::of(id, spec, progress), share_permille: progress.share_permille };
        Some(Split { old: spec.from.clone(), open: Some(open) })
    }

    /// Chooses the version for a request; the same hash always gives the same answer.
    pub fn choose(&self, request_hash: u64, marks: &Marks) -> Choice {
        let old = Choice { version: self.old.clone(), fallback: None, share_permille: 0 };
        let Some(open) = &self.open else { return old };
        let share_permille = open.share_permille;
        let taken = slot(request_hash, open.key.accepted_ms) < share_permille;
        if !taken || marks.contains(&open.key) {
            return Choice { share_permille, ..old };
        }
        let version = open.key.version.clone();
        Choice { version, fallback: Some(self.old.clone()), share_permille }
    }
}

/// Chooses the version of a service for a request; `None` when the service is not declared.
pub fn choose(
    catalog: &resource::Catalog,
    service: &str,
    request_hash: u64,
    marks: &Marks,
) -> Option<Arc<str>> {
    Some(Split::of(catalog, service)?.choose(request_hash, marks).version)
}

/// Maps a request to one of 1,000 slots.
///
/// The accept time is mixed in so that successive moves do not use the same callers as canary. A
/// request in a lower share stays included when the share rises.
fn slot(request_hash: u64, accepted_ms: u64) -> u32 {
    let mixed = xxh3::xxh3_64_with_seed(&request_hash.to_le_bytes(), accepted_ms);
    ((u128::from(mixed) * u128::from(PERMILLE)) >> 64) as u32
}
