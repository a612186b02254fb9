//! Lease with a fencing number, kept in one table row per duty and failure domain.
//!
//! No wall clock is compared with another one. A holder counts its time from before the write was
//! sent; an observer takes over only after it has seen the row unchanged for the whole term on its
//! own monotonic clock. See `docs/design.md`, section 9.8.

mod keeper;
mod state;

pub use keeper::{Keeper, read};
pub use state::{Action, Event, Holder, State};

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Starts the key of each lease row.
pub const PREFIX: &str = "lease/";

/// Names what a lease is for; different duties and failure domains have different holders.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Duty {
    pub name: Arc<str>,
    pub domain: Arc<str>,
}

impl Duty {
    pub fn new(name: &str, domain: &str) -> Duty {
        Duty { name: name.into(), domain: domain.into() }
    }

    /// Gives the key of the lease row.
    pub fn key(&self) -> String {
        format!("{PREFIX}{}/{}", self.name, self.domain)
    }
}

/// Holds the value of a lease row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Empty after a release.
    pub holder: Arc<str>,
    /// Grows by one with each change of the holder; endpoints reject orders with a lower one.
    pub fence: u64,
    pub term_ms: u64,
    /// Differs in every write of a process, so that a write with a lost answer can be recognised.
    pub serial: u64,
}

impl Lease {
    pub fn to_value(&self) -> serde_json::Value {
        serde_json::json!({
            "holder": self.holder,
            "fence": self.fence,
            "term_ms": self.term_ms,
            "serial": self.serial,
        })
    }

    /// Gives `None` for a row that is not a lease.
    pub fn from_value(value: &serde_json::Value) -> Option<Lease> {
        Lease::deserialize(value).ok()
    }
}
