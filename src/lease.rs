//! Leases with fencing numbers, each stored in one table row per duty and failure domain.
//!
//! Wall clocks of different processes are never compared. A holder counts the term from the time
//! before it sent the write; an observer takes over only after the row has stayed unchanged for the
//! whole term on the observer's own monotonic clock. See `docs/design.md`, section 9.8.

mod keeper;
mod state;

pub use keeper::{Keeper, read};
pub use state::{Action, Event, Grant, State};

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Prefix of the key of every lease row.
pub const PREFIX: &str = "lease/";

/// Identifies what a lease is for; each duty in each failure domain has its own holder.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Duty {
    pub name: Arc<str>,
    pub domain: Arc<str>,
}

impl Duty {
    pub fn new(name: &str, domain: &str) -> Duty {
        Duty { name: name.into(), domain: domain.into() }
    }

    /// Returns the key of the lease row.
    pub fn key(&self) -> String {
        format!("{PREFIX}{}/{}", self.name, self.domain)
    }
}

/// Value of a lease row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Name of the process that holds the lease; empty after a release.
    pub holder: Arc<str>,
    /// Fencing number, incremented at each new acquisition of the lease. Endpoints that check it
    /// reject orders with a lower number than the highest they have seen.
    pub fence: u64,
    /// Term of the lease, in milliseconds.
    pub term_ms: u64,
    /// Counter of the process's writes. It identifies a write when the row is read back after the
    /// answer to the write was lost.
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

    /// Parses a row value; returns `None` if it is not a lease.
    pub fn from_value(value: &serde_json::Value) -> Option<Lease> {
        Lease::deserialize(value).ok()
    }
}
