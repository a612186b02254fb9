//! Rows of the platform that can't be read.
//!
//! Such a row never confirms what an older one said: it counts as a change whose content is unknown. Rows are
//! written again all the time, so each is logged once until it can be read or is gone. See "Unreadable rows" in
//! `docs/platform.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Most unreadable rows of one kind that are told apart. Further ones are logged at each read.
const MAX_ROWS: usize = 10_000;

/// Kind of a row, by who reads it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Catalog,
    Rollout,
    Endpoint,
    /// Rows that the gateway itself has written.
    Own,
}

impl Kind {
    pub const ALL: [Kind; 4] = [Kind::Catalog, Kind::Rollout, Kind::Endpoint, Kind::Own];

    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Catalog => "configuration",
            Kind::Rollout => "rollout",
            Kind::Endpoint => "endpoint",
            Kind::Own => "own",
        }
    }
}

/// The rows that can't be read now.
#[derive(Debug, Default)]
pub struct Rows {
    keys: BTreeMap<Kind, BTreeSet<Arc<str>>>,
}

impl Rows {
    /// Records that a row can't be read; returns whether this is news, and logs it then.
    pub fn record(&mut self, kind: Kind, key: &str, reason: &str) -> bool {
        let keys = self.keys.entry(kind).or_default();
        if keys.contains(key) {
            return false;
        }
        if keys.len() < MAX_ROWS {
            keys.insert(key.into());
        }
        log::error!(
            "unreadable: event=unreadable_row kind={} key={key} reason=\"{reason}\"",
            kind.name()
        );
        true
    }

    /// Records that a row was read, or is gone.
    pub fn clear(&mut self, kind: Kind, key: &str) {
        if self.keys.get_mut(&kind).is_some_and(|keys| keys.remove(key)) {
            log::info!("unreadable: event=row_readable kind={} key={key}", kind.name());
        }
    }

    /// Forgets the rows of a kind that are gone.
    pub fn retain(&mut self, kind: Kind, mut is_listed: impl FnMut(&str) -> bool) {
        if let Some(keys) = self.keys.get_mut(&kind) {
            keys.retain(|key| is_listed(key));
        }
    }

    /// Returns the number of rows of a kind.
    pub fn count(&self, kind: Kind) -> usize {
        self.keys.get(&kind).map_or(0, BTreeSet::len)
    }
}
