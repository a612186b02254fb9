//! Starts and drains in progress, kept in a table row so that a later lease holder continues them.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::capacity::{Machine, Placement};

/// A start whose VM is not listed yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Launch {
    /// Operation id, which makes the start idempotent.
    pub operation: Arc<str>,
    #[serde(rename = "place")]
    pub placement: Placement,
    /// Milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Id of the VM once the platform has answered.
    pub vm: Option<Arc<str>>,
}

/// A VM that receives no new work and is stopped when it is idle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    pub vm: Arc<str>,
    pub since_ms: u64,
}

/// All starts and drains in progress.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Number of starts so far, which makes operation ids unique.
    pub serial: u64,
    pub starts: Vec<Launch>,
    pub drains: Vec<Drain>,
}

impl Ledger {
    /// Removes starts whose VM is now listed or that took too long, and drains whose VM is gone.
    pub fn remove_finished(&mut self, now: Duration, vms: &[Machine], start_limit: Duration) {
        let listed = |id: &Arc<str>| vms.iter().any(|vm| vm.id == *id);
        self.starts.retain(|launch| {
            let age = now.saturating_sub(Duration::from_millis(launch.since_ms));
            !launch.vm.as_ref().is_some_and(listed) && age < start_limit
        });
        self.drains.retain(|drain| listed(&drain.vm));
    }

    pub fn find_launch(&mut self, operation: &str) -> Option<&mut Launch> {
        self.starts.iter_mut().find(|launch| *launch.operation == *operation)
    }

    pub fn remove_launch(&mut self, operation: &str) {
        self.starts.retain(|launch| *launch.operation != *operation);
    }

    pub fn add_launch(&mut self, now: Duration, operation_prefix: &str, placement: Placement) {
        self.serial += 1;
        let operation = format!("{operation_prefix}-{}", self.serial).into();
        self.starts.push(Launch { operation, placement, since_ms: unix_ms(now), vm: None });
    }

    pub fn add_drain(&mut self, now: Duration, vm: Arc<str>) {
        self.drains.push(Drain { vm, since_ms: unix_ms(now) });
    }

    pub fn is_draining(&self, vm: &str) -> bool {
        self.drains.iter().any(|drain| *drain.vm == *vm)
    }

    /// Returns the starts whose VM is not listed.
    pub fn unlisted<'a>(&'a self, vms: &'a [Machine]) -> impl Iterator<Item = &'a Launch> {
        self.starts.iter().filter(move |launch| {
            !launch.vm.as_ref().is_some_and(|id| vms.iter().any(|vm| vm.id == *id))
        })
    }
}

fn unix_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
