//! Capacity: demand forecast, VM mix, and the starts, drains and stops that lead to the mix.
//!
//! All decisions take the time since the Unix epoch, because demand follows the time of day and
//! because a new lease holder continues with the ledger of its predecessor. See `docs/design.md`,
//! section 9.9, and `docs/cost.md`.

pub mod forecast;
pub mod mix;
pub mod offer;
pub mod planner;

pub use forecast::Series;
pub use planner::{Action, Planner};

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Names one way to get VMs for a pool.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    pub pool: Arc<str>,
    pub failure_domain: Arc<str>,
    pub class: Arc<str>,
    pub reclaimable: bool,
}

/// Holds the present price of a place.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer {
    pub place: Place,
    /// Price per VM and hour, in any one currency.
    pub price: f64,
    /// Most VMs that the place can give.
    pub limit: u32,
}

/// Describes what one pool must be able to serve.
#[derive(Debug, Clone, PartialEq)]
pub struct Need {
    pub pool: Arc<str>,
    /// VMs that serve the forecast demand within the latency target, after the loss of the largest
    /// reclaimable failure domain.
    pub vms: u32,
    /// VMs that must stay whatever the forecast says: the floors of the services, and at least one
    /// while an open move may take traffic back to a version in this pool.
    pub keep: u32,
    pub offers: Vec<Offer>,
}

/// Describes a VM of a pool as far as the plan is concerned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    pub id: Arc<str>,
    pub place: Place,
    /// Set when the VM has a reclaim notice or is being stopped.
    pub leaving: bool,
    /// Set when the VM answers requests at full speed; only then it counts as capacity.
    pub warm: bool,
    /// Set when no request is in flight on the VM; asked only of VMs that are being drained.
    pub idle: bool,
}

/// Gives the VMs that a demand needs, in whole VMs.
///
/// `per_vm` is the measured throughput of one VM at the latency target, in the unit of `demand`.
pub fn vms_for(demand: f64, per_vm: f64) -> u32 {
    if demand <= 0.0 || per_vm <= 0.0 {
        return 0;
    }
    // Rounding errors of a sum must not add a VM.
    (demand / per_vm - 1e-9).ceil().max(0.0) as u32
}
