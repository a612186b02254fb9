//! Endpoint changes that nodes gossip as soon as one of them has read them from the store.
//!
//! Each node polls the list of endpoints at its own times. The first to read that an endpoint is
//! leaving, or that there is a new one, sends the change to its peers, so that all nodes know it within
//! a tenth of a second although each polls rarely. See "Calls to the store" in `docs/platform.md`.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::platform::{Batch, Change, Endpoint};
use crate::gateway::roster;
use crate::gateway::version::Version;

/// Time for which a change is sent repeatedly, in several datagrams in case some are lost. It is longer
/// than the gap between two heartbeats after which a node no longer relies on the notices of a peer.
const GOSSIP_TIME: Duration = Duration::from_millis(950);

/// Time for which a change is kept, to be sent by a node that starts to report its reads.
const KEPT_TIME: Duration = Duration::from_secs(3);

/// A change with the version of the list at which it was read.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Notice {
    pub version: Version,
    pub change: Change,
}

/// Returns whether the peers of a node have to be told of a change that it has read, given its own entry for the
/// endpoint. Peers may know an endpoint that this node has dropped already, so each removal is relevant.
pub fn is_relevant(change: &Change, known: Option<&roster::Entry>) -> bool {
    match (change, known) {
        // Peers drop an entry that is missing, unless they are told that it is back.
        (Change::Updated(endpoint), Some(known)) => {
            // Rows state a shorter time with each report; only a longer one, as by a row that did not
            // name any, is news.
            let is_colder = endpoint.cold_for > known.endpoint.cold_for;
            let same = Endpoint { cold_for: known.endpoint.cold_for, ..endpoint.clone() };
            known.endpoint != same || is_colder || known.is_missing()
        }
        (Change::Updated(_), None) | (Change::Removed(_) | Change::Unreadable { .. }, _) => true,
    }
}

/// Merges the changes that this node has read with those received from its peers.
#[derive(Debug, Default)]
pub struct Notices {
    /// Version up to which this node has read all changes.
    version: Version,
    /// Later versions that were received from peers, by endpoint.
    gossiped: HashMap<Arc<str>, Version>,
    /// Changes that this node has read or been told, each with the time at which it learned of it.
    recent: VecDeque<(Duration, Notice)>,
    /// Time since which this node reports its reads to its peers, so that they rely on its notices.
    reporting_since: Option<Duration>,
}

impl Notices {
    /// Returns the era of the store in which this node has read the list.
    pub fn era(&self) -> u64 {
        self.version.era
    }

    /// Records a read from the store; returns its changes without those that a change received from a
    /// peer supersedes.
    pub fn apply_batch(&mut self, batch: Batch<Change>) -> Vec<Change> {
        let Batch { changes, version, is_complete, .. } = batch;
        self.version = version;
        if is_complete {
            self.gossiped.clear();
            return changes;
        }
        let gossiped = std::mem::take(&mut self.gossiped);
        self.gossiped = gossiped.into_iter().filter(|(_, gossiped)| *gossiped > version).collect();
        changes.into_iter().filter(|change| !self.gossiped.contains_key(change.id())).collect()
    }

    /// Records a notice from a peer; returns its change, or `None` if it isn't newer than what this node
    /// knows.
    pub fn apply_notice(&mut self, notice: Notice, now: Duration) -> Option<Change> {
        let Notice { version, change } = notice;
        let known = self.gossiped.get(change.id()).map_or(self.version, |gossiped| *gossiped);
        if version <= known {
            return None;
        }
        self.gossiped.insert(change.id().clone(), version);
        self.recent.push_back((now, Notice { version, change: change.clone() }));
        Some(change)
    }

    /// Records whether this node reports its reads now; returns the time from which on its notices hold
    /// all changes.
    ///
    /// A node that starts to report sends the changes of the last seconds again: a peer may have missed
    /// the notice by which this node learned of them.
    pub fn report(&mut self, is_reporting: bool, now: Duration) -> Duration {
        let since = *self.reporting_since.get_or_insert(now);
        if !is_reporting {
            self.reporting_since = None;
        }
        since.saturating_sub(KEPT_TIME)
    }

    /// Schedules the relevant changes that this node has read to be sent to its peers.
    ///
    /// The store returns every change since the last read, so one response can hold several states of
    /// an endpoint, all with one version; only the last of them is sent.
    pub fn publish(
        &mut self,
        changes: &[Change],
        is_relevant: impl Fn(&Change) -> bool,
        now: Duration,
    ) {
        let mut ids = HashSet::new();
        for change in changes.iter().rev() {
            if ids.insert(change.id()) && is_relevant(change) {
                let notice = Notice { version: self.version, change: change.clone() };
                self.recent.push_back((now, notice));
            }
        }
    }

    /// Returns the notices to send now, with the time until an endpoint leaves as of `now`.
    pub fn outgoing(&mut self, now: Duration) -> Vec<Notice> {
        self.recent.retain(|(read_at, _)| now.saturating_sub(*read_at) < KEPT_TIME);
        let since = self.reporting_since.unwrap_or(Duration::ZERO);
        let is_due = |(read_at, _): &&(Duration, Notice)| {
            now.saturating_sub((*read_at).max(since)) < GOSSIP_TIME
        };
        let with_age = |(read_at, notice): &(Duration, Notice)| {
            let mut notice = notice.clone();
            if let Change::Updated(Endpoint { leaves_in: Some(remaining), .. }) = &mut notice.change
            {
                *remaining = remaining.saturating_sub(now.saturating_sub(*read_at));
            }
            notice
        };
        self.recent.iter().filter(is_due).map(with_age).collect()
    }
}
