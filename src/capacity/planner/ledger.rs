//! Starts and drains in progress, kept in a table row so that a later lease holder continues them.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::capacity::{Machine, Place};

/// Holds a start that the VM list does not show yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Launch {
    /// Makes the start idempotent.
    pub operation: Arc<str>,
    pub place: Place,
    /// Milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Id of the VM once the platform has answered.
    pub vm: Option<Arc<str>>,
}

/// Holds a VM that gets no new work and is stopped when it is idle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    pub vm: Arc<str>,
    pub since_ms: u64,
}

/// Holds all starts and drains in progress.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Counts the starts, so that operation ids differ.
    pub serial: u64,
    pub starts: Vec<Launch>,
    pub drains: Vec<Drain>,
}

impl Ledger {
    /// Removes starts that the list now shows or that took too long, and drained VMs that are gone.
    pub fn settle(&mut self, now: Duration, vms: &[Machine], start_limit: Duration) {
        let listed = |id: &Arc<str>| vms.iter().any(|vm| vm.id == *id);
        self.starts.retain(|launch| {
            let age = now.saturating_sub(Duration::from_millis(launch.since_ms));
            !launch.vm.as_ref().is_some_and(listed) && age < start_limit
        });
        self.drains.retain(|drain| listed(&drain.vm));
    }

    pub fn launch(&mut self, operation: &str) -> Option<&mut Launch> {
        self.starts.iter_mut().find(|launch| *launch.operation == *operation)
    }

    pub fn forget(&mut self, operation: &str) {
        self.starts.retain(|launch| *launch.operation != *operation);
    }

    pub fn begin(&mut self, now: Duration, prefix: &str, place: Place) {
        self.serial += 1;
        let operation = format!("{prefix}-{}", self.serial).into();
        self.starts.push(Launch { operation, place, since_ms: millis(now), vm: None });
    }

    pub fn drain(&mut self, now: Duration, vm: Arc<str>) {
        self.drains.push(Drain { vm, since_ms: millis(now) });
    }

    pub fn is_draining(&self, vm: &str) -> bool {
        self.drains.iter().any(|drain| *drain.vm == *vm)
    }

    /// Gives the starts whose VM the list does not show.
    pub fn unlisted<'a>(&'a self, vms: &'a [Machine]) -> impl Iterator<Item = &'a Launch> {
        self.starts.iter().filter(move |launch| {
            !launch.vm.as_ref().is_some_and(|id| vms.iter().any(|vm| vm.id == *id))
        })
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
