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

/// Which requests an unreadable route may be for; `None` if that part of its place can't be read either.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    pub host: Option<Arc<str>>,
    pub path_prefix: Option<Arc<str>>,
}

impl Place {
    /// Returns whether a request may be for this route instead of the readable one that matches it best.
    fn may_match(&self, host: &str, path: &str, best: Option<&Route>) -> bool {
        let is_longer = |prefix: &str| match (&self.host, best) {
            (_, None) => true,
            (Some(_), Some(best)) => prefix.len() >= best.path_prefix.len(),
            // The same prefix may well stand on another host.
            (None, Some(best)) => prefix.len() > best.path_prefix.len(),
        };
        self.host.as_ref().is_none_or(|it| **it == *host)
            && self
                .path_prefix
                .as_ref()
                .map_or(best.is_none(), |prefix| path.starts_with(&**prefix) && is_longer(prefix))
    }
}

/// An entry that can't be read, or one of its fields, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Kind and name of the entry, such as `route chat`; its number from 1 if the name can't be read.
    pub entry: String,
    pub reason: String,
}

/// What can't be read of a version. The rest of it holds; see "Unreadable rows" in `docs/platform.md`.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Unreadable {
    pub problems: Vec<Problem>,
    /// Routes whose requests are refused.
    pub routes: Vec<Place>,
    /// Set if some tenants or keys are unknown, so that a key which isn't listed may still be valid.
    pub tenants: bool,
}

/// The declarations of one version as they were written, before they are indexed.
#[derive(Debug, Clone)]
pub struct Draft {
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    /// `None` if the version contains no list of tenants. An empty one takes all keys away.
    pub tenants: Option<Vec<Tenant>>,
    pub limits: Limits,
    pub unreadable: Unreadable,
}

/// One version of the declarations; a node never returns to a lower version.
#[derive(Debug)]
pub struct Catalog {
    pub version: u64,
    pub services: HashMap<Arc<str>, Service>,
    pub tenants: Vec<Arc<Tenant>>,
    pub limits: Limits,
    pub unreadable: Unreadable,
    /// Set if callers of routes that aren't anonymous need a key, also while no tenant has one.
    requires_keys: bool,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    keys: HashMap<Arc<str>, Arc<Tenant>>,
    /// Smallest declared gap aim of each service's routes.
    gap_targets: HashMap<Arc<str>, Duration>,
}

/// Result of looking up the key that a request carries.
#[derive(Debug)]
pub enum Access<'a> {
    Tenant(&'a Arc<Tenant>),
    /// The version contains no tenants, and the request carries no key.
    Open,
    /// No tenant has the key, or a key is missing.
    Denied,
    /// The key may be that of a tenant that can't be read.
    Unreadable,
}

impl From<Draft> for Catalog {
    fn from(draft: Draft) -> Catalog {
        let Draft { version, routes, services, tenants, limits, unreadable } = draft;
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
        let requires_keys = tenants.is_some() || unreadable.tenants;
        let tenants: Vec<_> = tenants.into_iter().flatten().map(Arc::new).collect();
        let mut keys = HashMap::new();
        for tenant in &tenants {
            keys.extend(tenant.keys.iter().map(|key| (key.clone(), tenant.clone())));
        }
        let services =
            services.into_iter().map(|service| (service.name.clone(), service)).collect();
        Catalog {
            version,
            services,
            tenants,
            limits,
            unreadable,
            requires_keys,
            routes: by_host,
            keys,
            gap_targets,
        }
    }
}

impl Catalog {
    /// Returns the route with the longest matching path prefix; `None` if the host or path has no route.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(without_port(host))?;
        routes.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns whether a request may be for a route that can't be read, instead of the one that `route` returns.
    pub fn may_hide_route(&self, host: &str, path: &str) -> bool {
        let places = &self.unreadable.routes;
        if places.is_empty() {
            return false;
        }
        let best = self.route(host, path).map(|route| &**route);
        places.iter().any(|place| place.may_match(without_port(host), path, best))
    }

    /// Returns the smallest gap aim that the routes of a service declare.
    pub fn gap_target(&self, service: &str) -> Option<Duration> {
        self.gap_targets.get(service).copied()
    }

    /// Returns whether a route declares a gap target, which enables the speed factors of endpoints.
    pub fn has_gap_targets(&self) -> bool {
        !self.gap_targets.is_empty()
    }

    /// Returns what the key of a request allows on routes that aren't anonymous. A key that the version doesn't hold
    /// is unknown, also if the version contains no tenants: it may be one that was taken away with them.
    pub fn access(&self, key: Option<&str>) -> Access<'_> {
        match key.and_then(|key| self.tenant(key)) {
            Some(tenant) => Access::Tenant(tenant),
            None if key.is_none() && !self.requires_keys => Access::Open,
            None if self.unreadable.tenants => Access::Unreadable,
            None => Access::Denied,
        }
    }

    /// Returns why no request can be served, if what can't be read is the reason.
    pub fn blockade(&self) -> Option<&'static str> {
        if self.routes.is_empty() && !self.unreadable.routes.is_empty() {
            return Some("no route can be read");
        }
        let is_open = |route: &Arc<Route>| route.anonymous;
        let has_access = !self.keys.is_empty() || self.routes().any(is_open);
        (self.unreadable.tenants && !has_access).then_some("no API key can be read")
    }

    /// Returns the tenant that owns an API key.
    pub fn tenant(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.keys.get(key)
    }

    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}

fn without_port(host: &str) -> &str {
    host.split(':').next().unwrap_or(host)
}
