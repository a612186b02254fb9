//! Quotas of tenants over all nodes together.
//!
//! The load to answer is one tenant that sends many times its usual: the others must not feel it,
//! and it must get what its quota allows. Every node runs the same token bucket: it takes its own
//! requests at once and those of its peers as they tell them. While a peer is silent, the node
//! leaves that peer's part of the rate unused, so that both sides of a cut together stay within the
//! quota.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::catalog;

#[derive(Debug)]
struct Bucket {
    quota: catalog::Quota,
    level: f64,
    refilled: Duration,
    /// Units that this node has ever admitted.
    own: u64,
    /// Units that each peer has ever admitted, as last told, with its start.
    peers: HashMap<Arc<str>, (u64, u64)>,
}

impl Bucket {
    fn refill(&mut self, share: f64, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = now;
        let level = self.level + elapsed * self.quota.rate * share;
        self.level = level.min(self.quota.burst);
    }
}

/// Holds the buckets of all tenants on one node.
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: HashMap<Arc<str>, Bucket>,
    share: f64,
}

impl Quotas {
    pub fn new() -> Quotas {
        Quotas { buckets: HashMap::new(), share: 1.0 }
    }

    /// Takes the quotas of a new catalog; levels carry over.
    pub fn configure(&mut self, tenants: &[Arc<catalog::Tenant>], now: Duration) {
        self.buckets.retain(|name, _| tenants.iter().any(|tenant| tenant.name == *name));
        for tenant in tenants {
            let Some(quota) = tenant.quota else {
                self.buckets.remove(&tenant.name);
                continue;
            };
            let share = self.share;
            let bucket = self.buckets.entry(tenant.name.clone()).or_insert_with(|| Bucket {
                quota,
                level: quota.burst,
                refilled: now,
                own: 0,
                peers: HashMap::new(),
            });
            bucket.refill(share, now);
            bucket.quota = quota;
            bucket.level = bucket.level.min(quota.burst);
        }
    }

    /// Sets the part of the rates that this node and the peers it hears may use, from 0 to 1.
    pub fn set_share(&mut self, share: f64, now: Duration) {
        for bucket in self.buckets.values_mut() {
            bucket.refill(self.share, now);
        }
        self.share = share;
    }

    /// Takes the units of a request, or tells when there is room for it.
    ///
    /// # Errors
    ///
    /// Gives the time after which the bucket holds enough.
    pub fn take(&mut self, tenant: &str, units: u64, now: Duration) -> Result<(), Duration> {
        let share = self.share;
        let Some(bucket) = self.buckets.get_mut(tenant) else { return Ok(()) };
        bucket.refill(share, now);
        // A request larger than the whole burst passes when the bucket is full.
        let needed = (units as f64).min(bucket.quota.burst);
        if bucket.level < needed {
            let rate = (bucket.quota.rate * share).max(1e-3);
            return Err(Duration::from_secs_f64(((needed - bucket.level) / rate).min(60.0)));
        }
        bucket.level -= units as f64;
        bucket.own += units;
        Ok(())
    }

    /// Gives the units back of a request that didn't run.
    pub fn give_back(&mut self, tenant: &str, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(tenant) {
            bucket.level = (bucket.level + units as f64).min(bucket.quota.burst);
            bucket.own = bucket.own.saturating_sub(units);
        }
    }

    /// Takes the units that a peer has admitted since it started.
    pub fn hear(&mut self, peer: &Arc<str>, start: u64, tenant: &str, total: u64, now: Duration) {
        let share = self.share;
        let Some(bucket) = self.buckets.get_mut(tenant) else { return };
        bucket.refill(share, now);
        let before = bucket.peers.insert(peer.clone(), (start, total));
        let spent = match before {
            Some((known, before)) if known == start => total as f64 - before as f64,
            // What a peer admitted before this node heard of it lies in the past.
            _ => 0.0,
        };
        bucket.level = (bucket.level - spent).min(bucket.quota.burst);
    }

    /// Gives the units that this node has admitted, for its peers.
    pub fn own(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.buckets.iter().map(|(name, bucket)| (name, bucket.own))
    }
}
