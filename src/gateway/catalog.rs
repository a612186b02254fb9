//! Routes, services, tenants and limits that the operators have declared.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::gateway::cold;

/// How often a request of a route may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May run any number of times.
    Idempotent,
    /// May run at most once per attempt of a caller.
    NonIdempotent,
    /// Returns a stream of events; may run once, or be resumed if the route allows it.
    Stream,
}

#[derive(Debug, Clone)]
pub struct Route {
    pub name: Arc<str>,
    pub host: Arc<str>,
    /// Begins and ends with a slash.
    pub path_prefix: Arc<str>,
    pub kind: Kind,
    /// Longest time that a caller waits for a response.
    pub timeout: Duration,
    /// Time after which a response, or the first event of a stream, is late.
    pub target_latency: Duration,
    /// Longest time between two events of a stream that callers don't notice; `None` if undeclared.
    pub gap_target: Option<Duration>,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Services that the traffic is split between, with their weights.
    pub services: SmallVec<[(Arc<str>, u32); 2]>,
    /// Maximum number of endpoints to which one attempt of a caller may be sent.
    pub max_attempts: u32,
    /// Set if callers need no API key.
    pub anonymous: bool,
    /// Set if another endpoint may continue a stream after its last event.
    pub resumable: bool,
}

impl Route {
    /// Reports whether a request of this route may run more than once.
    pub fn is_retryable(&self) -> bool {
        self.kind == Kind::Idempotent || self.kind == Kind::Stream && self.resumable
    }

    /// Chooses the service for a request by its hash, in proportion to the weights; `None` if the weights
    /// sum up to 0.
    pub fn choose_service(&self, hash: u64) -> Option<&Arc<str>> {
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut slot = hash.checked_rem(total)?;
        self.services.iter().find_map(|(service, weight)| {
            let weight = u64::from(*weight);
            let is_chosen = slot < weight;
            slot = slot.saturating_sub(weight);
            is_chosen.then_some(service)
        })
    }
}

/// Model engine that the endpoints of a service run.
#[derive(Debug, Clone, Copy)]
pub struct Engine {
    /// Number of requests that an endpoint runs in one batch.
    pub slots: u32,
    /// Number of tokens that fit into the memory of an endpoint.
    pub memory_tokens: u64,
    /// Set if the state of a running stream can be moved to another endpoint.
    pub supports_migration: bool,
}

/// Bounds and prices for the endpoints of a service that the gateway orders.
#[derive(Debug, Clone)]
pub struct Scaling {
    pub min: u32,
    pub max: u32,
    pub boot_time: Duration,
    /// Price of a reclaimable endpoint as a fraction of the price of an on-demand one; `None` if there are
    /// no reclaimable endpoints.
    pub reclaimable_price: Option<f64>,
    /// Price of one endpoint for one second in each failure domain.
    pub domain_prices: Vec<(Arc<str>, f64)>,
}

#[derive(Debug, Clone)]
pub struct Service {
    pub name: Arc<str>,
    /// Maximum number of connections that an endpoint accepts from all nodes together.
    pub max_connections: u32,
    pub engine: Option<Engine>,
    pub scaling: Option<Scaling>,
    /// Set if the endpoints tolerate only few requests while they are cold.
    pub cold: Option<cold::Rule>,
}

#[derive(Debug, Clone)]
pub struct Tenant {
    pub name: Arc<str>,
    pub keys: Vec<Arc<str>>,
    /// Overrides the priority of the route.
    pub priority: Option<u8>,
    /// `None` means no limit.
    pub quota: Option<Quota>,
}

/// Quota of a tenant for all nodes together, in units per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    pub rate: f64,
    pub burst: f64,
    /// Set if the units are tokens instead of requests.
    pub counts_tokens: bool,
    /// Number of tokens charged for a request that doesn't state its own.
    pub default_tokens: u64,
}

/// Limits on the size of callers' requests and on the time to send them.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    pub header_timeout: Duration,
    pub idle_timeout: Duration,
}

/// The declarations of one version as they were written, before they are indexed.
#[derive(Debug, Clone)]
pub struct Draft {
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    pub tenants: Vec<Tenant>,
    pub limits: Limits,
}

/// One version of the declarations; a node never returns to a lower version.
#[derive(Debug)]
pub struct Catalog {
    pub version: u64,
    pub services: HashMap<Arc<str>, Service>,
    pub tenants: Vec<Arc<Tenant>>,
    pub limits: Limits,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    keys: HashMap<Arc<str>, Arc<Tenant>>,
    /// Smallest declared gap aim of each service's routes.
    gap_targets: HashMap<Arc<str>, Duration>,
}

impl From<Draft> for Catalog {
    fn from(draft: Draft) -> Catalog {
        let Draft { version, routes, services, tenants, limits } = draft;
        Catalog::new(version, routes, services, tenants, limits)
    }
}

impl Catalog {
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        tenants: Vec<Tenant>,
        limits: Limits,
    ) -> Catalog {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        let mut gap_targets: HashMap<Arc<str>, Duration> = HashMap::new();
        for route in routes {
            for (service, _) in route.gap_target.iter().flat_map(|_| &route.services) {
                let least = gap_targets.entry(service.clone()).or_insert(Duration::MAX);
                *least = route.gap_target.unwrap_or(*least).min(*least);
            }
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let tenants: Vec<_> = tenants.into_iter().map(Arc::new).collect();
        let mut keys = HashMap::new();
        for tenant in &tenants {
            keys.extend(tenant.keys.iter().map(|key| (key.clone(), tenant.clone())));
        }
        let services =
            services.into_iter().map(|service| (service.name.clone(), service)).collect();
        Catalog { version, services, tenants, limits, routes: by_host, keys, gap_targets }
    }

    /// Returns the route with the longest matching path prefix; `None` if the host or path has no route.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns the smallest gap aim that the routes of a service declare.
    pub fn gap_target(&self, service: &str) -> Option<Duration> {
        self.gap_targets.get(service).copied()
    }

    /// Returns whether a route declares a gap target, which enables the speed factors of endpoints.
    pub fn has_gap_targets(&self) -> bool {
        !self.gap_targets.is_empty()
    }

    /// Returns the tenant that owns an API key.
    pub fn tenant(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.keys.get(key)
    }

    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}
