//! Declarations of the operators as the gateway uses them: routes, services, tenants and limits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

/// Tells how often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May run any number of times.
    Idempotent,
    /// May run once at most for each attempt of a caller.
    NonIdempotent,
    /// Gives events one by one; may run once, or be resumed where the route says so.
    Stream,
}

#[derive(Debug, Clone)]
pub struct Route {
    pub name: Arc<str>,
    pub host: Arc<str>,
    /// Begins and ends with a slash.
    pub path_prefix: Arc<str>,
    pub kind: Kind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub target_latency: Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Services that share the traffic, with their weights.
    pub services: SmallVec<[(Arc<str>, u32); 2]>,
    /// Most endpoints that may get one attempt of a caller.
    pub max_attempts: u32,
    /// Set where callers need no key.
    pub anonymous: bool,
    /// Set where a stream may go on at another endpoint after its last event.
    pub resumable: bool,
}

impl Route {
    /// Tells whether a request of this route may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.kind == Kind::Idempotent || self.kind == Kind::Stream && self.resumable
    }

    /// Chooses the service for a request by its hash, in proportion to the weights.
    pub fn service(&self, hash: u64) -> Option<&Arc<str>> {
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut slot = hash.checked_rem(total)?;
        self.services.iter().find_map(|(service, weight)| {
            let weight = u64::from(*weight);
            let found = slot < weight;
            slot = slot.saturating_sub(weight);
            found.then_some(service)
        })
    }
}

/// Describes the model engine that the endpoints of a service run.
#[derive(Debug, Clone, Copy)]
pub struct Engine {
    /// Requests that an endpoint runs in one batch.
    pub slots: u32,
    /// Tokens that fit into the memory of an endpoint.
    pub memory_tokens: u64,
    /// Set where the state of a running stream can be moved to another endpoint.
    pub moves: bool,
}

/// Bounds the orders for endpoints of a service.
#[derive(Debug, Clone)]
pub struct Scaling {
    pub min: u32,
    pub max: u32,
    pub boot_time: Duration,
    /// Price of a reclaimable endpoint as a part of the price of another one; `None` where there are
    /// none.
    pub reclaimable_price: Option<f64>,
    /// Price of an endpoint-second in each failure domain.
    pub domain_prices: Vec<(Arc<str>, f64)>,
}

#[derive(Debug, Clone)]
pub struct Service {
    pub name: Arc<str>,
    /// Connections that an endpoint accepts from all nodes together.
    pub max_connections: u32,
    pub engine: Option<Engine>,
    pub scaling: Option<Scaling>,
}

#[derive(Debug)]
pub struct Tenant {
    pub name: Arc<str>,
    pub keys: Vec<Arc<str>>,
    /// Takes precedence over the priority of the route.
    pub priority: Option<u8>,
    /// Quota in units a second; `None` means no limit.
    pub quota: Option<Quota>,
}

/// Holds the quota of a tenant over all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    pub rate: f64,
    pub burst: f64,
    /// Set where tokens are counted instead of requests.
    pub counts_tokens: bool,
    /// Tokens of a request that doesn't tell its own.
    pub default_tokens: u64,
}

/// Bounds what a caller may send and how long it may take.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    pub header_timeout: Duration,
    pub idle_timeout: Duration,
}

/// Holds one version of the declarations; a node never goes back to a lower one.
#[derive(Debug)]
pub struct Catalog {
    pub version: u64,
    pub services: HashMap<Arc<str>, Service>,
    pub tenants: Vec<Arc<Tenant>>,
    pub limits: Limits,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    keys: HashMap<Arc<str>, Arc<Tenant>>,
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
        for route in routes {
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
        Catalog { version, services, tenants, limits, routes: by_host, keys }
    }

    /// Finds the route with the longest prefix; `None` when the host or path has no route.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Finds the tenant that holds a key.
    pub fn tenant(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.keys.get(key)
    }

    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}
