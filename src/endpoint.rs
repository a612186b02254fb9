//! Connections to endpoints: pooling, probes and checks that an answer is complete.
//!
//! A connection can go silent for good while new ones work, so a pooled connection that has been
//! idle is probed before a request is put on it; see `docs/design.md`, sections 3 and 8.

pub mod answer;
pub mod pool;
pub mod sse;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::retry;

pub use pool::Pool;

/// Gives each endpoint its pool of connections, and each service its recent latencies.
#[derive(Debug, Default)]
pub struct Directory {
    pools: Mutex<HashMap<SocketAddr, Arc<Pool>>>,
    latencies: Mutex<HashMap<Arc<str>, retry::Latency>>,
}

impl Directory {
    pub fn pool(&self, address: SocketAddr) -> Arc<Pool> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        pools.entry(address).or_insert_with(|| Arc::new(Pool::new(address))).clone()
    }

    /// Records the time that an idempotent request of a service took.
    pub fn record(&self, service: &Arc<str>, latency: Duration) {
        let mut latencies = self.latencies.lock().unwrap_or_else(PoisonError::into_inner);
        latencies.entry(service.clone()).or_default().record(latency);
    }

    /// Gives the time after which an idempotent request of a service may be hedged.
    pub fn hedge_after(&self, service: &str, policy: &retry::Policy) -> Option<Duration> {
        let latencies = self.latencies.lock().unwrap_or_else(PoisonError::into_inner);
        policy.hedge_after(latencies.get(service)?, true)
    }

    /// Drops the pools of endpoints that are no longer listed.
    pub fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        pools.retain(|&address, _| keep(address));
    }
}
