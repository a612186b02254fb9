//! Versions of the platform's store.
//!
//! A store that comes back from a copy loses what it has acknowledged since, and gives out the same numbers
//! again. So a number means something only within an era, which rises with each such restore. What a node
//! has learned in an earlier era is older than all that the store says in a later one. See "When the store
//! is restored" in `docs/platform.md`.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Bits of a packed version that hold the number.
const NUMBER_BITS: u32 = 40;
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
const MAX_ERA: u64 = u64::MAX >> NUMBER_BITS;
/// Time since the last answer of the newest era after which answers of an earlier one can't have been
/// delayed any more: no call lasts that long.
const MAX_ANSWER_DELAY: Duration = Duration::from_secs(5);

/// Version of a row or a table.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    // The order of the fields is that of the comparison.
    pub era: u64,
    pub number: u64,
}

impl Version {
    pub fn new(era: u64, number: u64) -> Version {
        Version { era: era.min(MAX_ERA), number: number.min(MAX_NUMBER) }
    }

    /// Returns the version as one number in the same order, for rows and conditions.
    pub fn packed(self) -> u64 {
        self.era << NUMBER_BITS | self.number
    }

    pub fn unpack(packed: u64) -> Version {
        Version { era: packed >> NUMBER_BITS, number: packed & MAX_NUMBER }
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.number)
    }
}

/// How an answer's era compares with those before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observed {
    /// The answer is of the newest era, which is this one.
    Current(u64),
    /// The answer was given before the last restore.
    Stale,
}

/// Newest era that the answers of the store have shown.
#[derive(Debug, Default)]
pub struct Eras {
    newest: Option<u64>,
    /// Time of the last answer of the newest era.
    seen_at: Duration,
    has_logged: bool,
}

impl Eras {
    /// Records the era that an answer states; `None` if it states none that can be read.
    ///
    /// An answer without an era is taken for one of the newest. An era that has fallen for good is as well,
    /// since its numbers could not be ordered otherwise.
    pub fn observe(&mut self, stated: Option<u64>, now: Duration) -> Observed {
        let newest = self.newest.unwrap_or(0);
        let era = match stated {
            Some(era) if era <= MAX_ERA => era,
            _ => {
                if self.newest.is_some() {
                    self.log_once("unreadable", stated);
                }
                return Observed::Current(newest);
            }
        };
        if era < newest && now.saturating_sub(self.seen_at) < MAX_ANSWER_DELAY {
            return Observed::Stale;
        }
        if era < newest {
            self.log_once("fallen", stated);
            return Observed::Current(newest);
        }
        (self.newest, self.seen_at) = (Some(era), now);
        Observed::Current(era)
    }

    pub fn newest(&self) -> u64 {
        self.newest.unwrap_or(0)
    }

    fn log_once(&mut self, reason: &str, stated: Option<u64>) {
        if !std::mem::replace(&mut self.has_logged, true) {
            log::warn!(
                "version: event=bad_era reason={reason} stated={stated:?} newest={}",
                self.newest()
            );
        }
    }
}
