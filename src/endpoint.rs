//! Connections to endpoints: pooling, liveness probes and checks that a response is complete.
//!
//! An open connection can stop passing bytes for good while new connections work, so a pooled
//! connection that has been idle is probed before it is used for a request; see `docs/design.md`,
//! sections 3 and 8.

pub mod answer;
pub mod pool;
pub mod socket;
pub mod sse;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::retry;

pub use pool::Pool;

/// Stores the connection pool of each endpoint and the recent latencies of each service.
#[derive(Debug, Default)]
pub struct Directory {
    pools: Mutex<HashMap<SocketAddr, Arc<Pool>>>,
    latencies: Mutex<HashMap<Arc<str>, retry::Latency>>,
}

impl Directory {
    /// Returns the pool of an endpoint; creates it on first use.
    pub fn pool(&self, address: SocketAddr) -> Arc<Pool> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        pools.entry(address).or_insert_with(|| Arc::new(Pool::new(address))).clone()
    }

    /// Records the latency of an idempotent request to a service.
    pub fn record_latency(&self, service: &Arc<str>, latency: Duration) {
        let mut latencies = self.latencies.lock().unwrap_or_else(PoisonError::into_inner);
        latencies.entry(service.clone()).or_default().record(latency);
    }

    /// Returns the time after which an idempotent request to a service may be hedged; `None` if too
    /// few latencies were recorded.
    pub fn hedge_after(&self, service: &str, policy: &retry::Policy) -> Option<Duration> {
        let latencies = self.latencies.lock().unwrap_or_else(PoisonError::into_inner);
        policy.hedge_after(latencies.get(service)?, true)
    }

    /// Drops the pools of the endpoints for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        pools.retain(|&address, _| keep(address));
    }
}
