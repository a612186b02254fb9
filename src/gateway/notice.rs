//! Changes of endpoints that nodes tell each other as soon as one of them has read them.
//!
//! Each node reads the list of endpoints by itself, at its own times. The first to read that an
//! endpoint leaves, or that there is a new one, tells the others, so that all know it within a tenth of
//! a second although each of them reads seldom. See "Calls to the store" in `docs/platform.md`.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::platform::{Batch, Change, Endpoint};

/// Time for which a change is told; several datagrams make good a lost one.
const TOLD_FOR: Duration = Duration::from_millis(500);

/// A change with the version of the list in which it was read.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Notice {
    pub version: u64,
    pub change: Change,
}

/// Keeps apart what a node has read itself from what its peers have told.
#[derive(Debug, Default)]
pub struct Notices {
    /// Version of the list up to which this node has read all changes.
    version: u64,
    /// Versions of what peers told beyond that, by endpoint.
    told: HashMap<Arc<str>, u64>,
    recent: VecDeque<(Duration, Notice)>,
}

impl Notices {
    /// Takes what the store gave; leaves out what is older than what peers have told.
    pub fn read(&mut self, batch: Batch<Change>) -> Vec<Change> {
        let Batch { changes, version, complete } = batch;
        self.version = version;
        if complete {
            self.told.clear();
            return changes;
        }
        let told = std::mem::take(&mut self.told);
        self.told = told.into_iter().filter(|(_, told)| *told > version).collect();
        changes.into_iter().filter(|change| !self.told.contains_key(change.id())).collect()
    }

    /// Takes what a peer told; `None` when this node knows as much.
    pub fn hear(&mut self, notice: Notice) -> Option<Change> {
        let Notice { version, change } = notice;
        let known = self.told.get(change.id()).map_or(self.version, |told| *told);
        if version <= known {
            return None;
        }
        self.told.insert(change.id().clone(), version);
        Some(change)
    }

    /// Remembers those of the changes that this node has read which matter, to tell them.
    ///
    /// The store gives each change since the last read, so that one answer can hold several states of an
    /// endpoint; only the last is told, since a version stands for one state.
    pub fn publish(
        &mut self,
        changes: &[Change],
        matters: impl Fn(&Change) -> bool,
        now: Duration,
    ) {
        let mut ids = HashSet::new();
        for change in changes.iter().rev() {
            if ids.insert(change.id()) && matters(change) {
                let notice = Notice { version: self.version, change: change.clone() };
                self.recent.push_back((now, notice));
            }
        }
    }

    /// Gives what is to be told now.
    pub fn recent(&mut self, now: Duration) -> Vec<Notice> {
        self.recent.retain(|(read, _)| now.saturating_sub(*read) < TOLD_FOR);
        let aged = |(read, notice): &(Duration, Notice)| {
            let mut notice = notice.clone();
            if let Change::Seen(Endpoint { leaves_in: Some(left), .. }) = &mut notice.change {
                *left = left.saturating_sub(now.saturating_sub(*read));
            }
            notice
        };
        self.recent.iter().map(aged).collect()
    }
}
