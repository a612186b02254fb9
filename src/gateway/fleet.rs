//! How many endpoints of a service are ordered, of which kind and in which failure domain.
//!
//! Every endpoint is billed by the second, and a reclaimable one costs a fraction of another. The
//! load to answer is the day's demand with its waves and bursts while a failure domain's reclaimable
//! endpoints are taken away and no others are to be had for a quarter of a minute.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::catalog::Scaling;

/// Time after an order in which its endpoints start, and after a refusal until the next try.
const REFUSED_PAUSE: Duration = Duration::from_secs(2);

/// What is known about a service at one moment.
#[derive(Debug, Default, Clone)]
pub struct View {
    pub slots: u32,
    pub requests: u32,
    pub unread_tokens: u64,
    /// Endpoints by failure domain and kind; true for reclaimable ones.
    pub endpoints: BTreeMap<(Arc<str>, bool), u32>,
}

impl View {
    pub fn count(&mut self, domain: Arc<str>, reclaimable: bool) {
        *self.endpoints.entry((domain, reclaimable)).or_default() += 1;
    }
}

/// A number of endpoints of one kind in one failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    pub service: Arc<str>,
    pub domain: Arc<str>,
    pub reclaimable: bool,
    pub count: u32,
}

#[derive(Debug)]
struct Plan {
    scaling: Scaling,
    view: View,
    ordered: HashMap<(Arc<str>, bool), u32>,
    refused: HashMap<(Arc<str>, bool), Duration>,
}

/// Decides on orders from what it observes.
#[derive(Debug, Default)]
pub struct Planner {
    plans: HashMap<Arc<str>, Plan>,
}

impl Planner {
    pub fn observe(&mut self, service: &Arc<str>, scaling: &Scaling, view: View, _now: Duration) {
        let plan = self.plans.entry(service.clone()).or_insert_with(|| Plan {
            scaling: scaling.clone(),
            view: View::default(),
            ordered: HashMap::new(),
            refused: HashMap::new(),
        });
        plan.scaling = scaling.clone();
        plan.view = view;
    }

    /// Forgets what was ordered: another node orders now.
    pub fn forget_orders(&mut self) {
        for plan in self.plans.values_mut() {
            plan.ordered.clear();
        }
    }

    /// Gives the orders that differ from what was ordered before.
    pub fn orders(&self, _now: Duration) -> Vec<Target> {
        Vec::new()
    }

    /// Records how the platform took an order.
    pub fn record(&mut self, target: Target, taken: bool, now: Duration) {
        let Some(plan) = self.plans.get_mut(&target.service) else { return };
        let key = (target.domain, target.reclaimable);
        if taken {
            plan.ordered.insert(key, target.count);
        } else {
            plan.refused.insert(key, now + REFUSED_PAUSE);
        }
    }
}
