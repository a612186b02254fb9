//! Capacity planning: the demand forecast, the VM mix, and the starts, drains and stops that lead
//! to it.
//!
//! All times are since the Unix epoch, because demand follows the time of day and because a new
//! lease holder continues with the ledger of its predecessor. See `docs/design.md`, section 9.9,
//! and `docs/cost.md`.

pub mod forecast;
pub mod mix;
pub mod offer;
pub mod planner;

pub use forecast::Forecast;
pub use planner::{Action, Planner};

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The pool, failure domain, VM class and price model (reclaimable or on-demand) of a VM.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Placement {
    pub pool: Arc<str>,
    pub failure_domain: Arc<str>,
    pub class: Arc<str>,
    pub reclaimable: bool,
}

/// Current price and availability of VMs of one placement.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer {
    pub placement: Placement,
    /// Price per VM and hour, in one currency for all offers.
    pub price: f64,
    /// Maximum number of VMs that the placement can provide.
    pub max_vms: u32,
}

/// Capacity that one pool must have.
#[derive(Debug, Clone, PartialEq)]
pub struct Requirement {
    pub pool: Arc<str>,
    /// VMs that serve the forecast demand within the latency target, after the loss of the largest
    /// reclaimable failure domain.
    pub vms: u32,
    /// Minimum number of VMs whatever the forecast: the floors of the services, and at least one
    /// while an open move may return traffic to a version in this pool.
    pub min_vms: u32,
    pub offers: Vec<Offer>,
}

/// A VM of a pool, as the planner sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    pub id: Arc<str>,
    pub placement: Placement,
    /// The VM has a reclaim notice or is being stopped.
    pub is_leaving: bool,
    /// The VM serves requests at full speed; only then it counts as capacity.
    pub is_warm: bool,
    /// The VM has no request in flight; determined only for VMs that are being drained.
    pub is_idle: bool,
}

/// Returns the number of VMs that serve a demand, rounded up.
///
/// `per_vm` is the measured throughput of one VM at the latency target, in the unit of `demand`.
pub fn vms_for_demand(demand: f64, per_vm: f64) -> u32 {
    if demand <= 0.0 || per_vm <= 0.0 {
        return 0;
    }
    // Prevents rounding errors of a sum from adding a VM.
    (demand / per_vm - 1e-9).ceil().max(0.0) as u32
}
