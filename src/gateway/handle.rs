//! Admits callers' requests: checks route, API key, body and quota before an endpoint is chosen.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, header, request};
use hyper::body::{Body as _, Incoming};
use xxhash_rust::xxh3;

use crate::gateway::catalog::{Access, Catalog, Route, Tenant};
use crate::gateway::clock;
use crate::gateway::crash;
use crate::gateway::forward;
use crate::gateway::node::Node;
use crate::gateway::platform::Metadata;
use crate::gateway::queue;
use crate::gateway::refusal::Cause;
use crate::gateway::relay::Body;
use crate::gateway::share::{self, Claim, Class};
use crate::intake::account::{Failure, Terms};
use crate::intake::connections;
use crate::intake::ledger::Kind;

/// Longest wait for a request body; an earlier deadline of the request takes precedence.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Retry-After value for refusals whose cause lies in this node; another node may serve sooner.
const OTHER_NODE_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Retry-After value for refusals that last until an operator has written another version.
const UNREADABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An admitted request with its route, service, tenant and deadlines.
#[derive(Debug)]
pub struct Context {
    pub head: request::Parts,
    pub body: Bytes,
    pub metadata: Metadata,
    pub route: Arc<Route>,
    pub service: Arc<str>,
    pub tenant: Option<Arc<Tenant>>,
    /// From 0, the most urgent.
    pub priority: u8,
    pub arrived: Duration,
    /// Time at which the caller gives up, if the request states it.
    pub caller_deadline: Option<Duration>,
    /// The caller's deadline or the route's timeout, whichever ends first.
    pub deadline: Duration,
    /// Hash of the request ID, equal for all attempts; spreads routing choices and retry delays.
    pub hash: u64,
}

/// Cause of a refusal and the delay after which the caller may retry.
pub type Refusal = (Cause, Option<Duration>);

/// The connection of a request.
#[derive(Debug, Clone, Copy)]
pub struct Origin<'a> {
    /// Hash of the caller's address.
    pub address: u64,
    pub request: &'a connections::Request,
}

/// Serves one request of a caller.
pub async fn request(
    node: Rc<Node>,
    origin: Origin<'_>,
    request: Request<Incoming>,
) -> Response<Body> {
    let arrived = clock::now();
    let active = Active::new(node.clone());
    let result = admit(&node, origin, request, arrived).await;
    match result {
        Ok(context) => forward::run(node, context, active).await,
        Err(((cause, delay), id, route)) => refuse(&node, cause, delay, &id, &route, arrived),
    }
}

/// Logs a refusal, counts it and builds its response.
pub fn refuse(
    node: &Node,
    cause: Cause,
    retry_after: Option<Duration>,
    id: &str,
    route: &str,
    arrived: Duration,
) -> Response<Body> {
    let elapsed_ms = clock::now().saturating_sub(arrived).as_millis();
    let status = cause.status().as_u16();
    log::info!(
        "handle: event=refused id={id} route={route} cause={} status={status} held_ms={elapsed_ms} \
         retry_after_ms={} {}",
        cause.name(),
        retry_after.map_or(-1, |retry_after| retry_after.as_millis() as i64),
        node.freshness(clock::now())
    );
    node.metrics.record_outcome(route, cause.name());
    cause.response(retry_after)
}

/// Guard that counts a request as being served until it is dropped.
#[derive(Debug)]
pub struct Active {
    node: Rc<Node>,
}

impl Active {
    fn new(node: Rc<Node>) -> Active {
        node.active.set(node.active.get() + 1);
        Active { node }
    }
}

impl Context {
    /// Returns what the request asks of its service, after the endpoints that were tried.
    pub fn claim(&self, tried: &[Arc<str>]) -> Claim {
        Claim {
            class: Class { priority: self.priority, route_priority: self.route.priority },
            tenant: self.tenant.as_ref().map_or_else(|| Arc::from(""), |it| it.name.clone()),
            work: share::work(self.metadata.prompt.as_ref()),
            is_restricted: !tried.is_empty(),
        }
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.node.active.set(self.node.active.get() - 1);
    }
}

/// A refusal with the request ID and the name of the route, for the log.
type Rejected = (Refusal, Arc<str>, Arc<str>);

async fn admit(
    node: &Rc<Node>,
    origin: Origin<'_>,
    request: Request<Incoming>,
    arrived: Duration,
) -> Result<Context, Rejected> {
    let (head, body) = request.into_parts();
    let unknown: Arc<str> = Arc::from("-");
    let metadata = (node.header_codec.parse_request)(&head.headers);
    let metadata = metadata.map_err(|reason| {
        log::info!("handle: event=bad_headers reason=\"{reason}\"");
        ((Cause::BadRequest, None), unknown.clone(), unknown.clone())
    })?;
    let id = metadata.id.clone();
    let retry_after = Some(queue::jitter(OTHER_NODE_RETRY_AFTER, hash(&id)));
    if node.closing.get() {
        return Err(((Cause::Stopping, retry_after), id, unknown));
    }
    let Some(catalog) = node.catalog() else {
        return Err(((Cause::NoCatalog, retry_after), id, unknown));
    };
    if node.is_catalog_unreadable.get() {
        return Err((unreadable(hash(&id)), id, unknown));
    }
    let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    if catalog.may_hide_route(host, head.uri.path()) {
        return Err((unreadable(hash(&id)), id, unknown));
    }
    let Some(route) = catalog.route(host, head.uri.path()).cloned() else {
        return Err(((Cause::NoRoute, None), id, unknown));
    };
    let name = route.name.clone();
    admit_to_route(node, origin, (head, body), metadata, catalog, route, arrived)
        .await
        .map_err(|refusal| (refusal, id, name))
}

async fn admit_to_route(
    node: &Rc<Node>,
    origin: Origin<'_>,
    (head, body): (request::Parts, Incoming),
    metadata: Metadata,
    catalog: Arc<Catalog>,
    route: Arc<Route>,
    arrived: Duration,
) -> Result<Context, Refusal> {
    let hash = hash(&metadata.id);
    let tenant = authenticate(node, &catalog, &route, &metadata, hash, arrived)?;
    let caller_deadline = metadata.deadline.map(|remaining| arrived + remaining);
    let route_deadline = arrived + route.timeout;
    let deadline = caller_deadline.map_or(route_deadline, |deadline| deadline.min(route_deadline));
    let owner = tenant.as_ref().map_or(origin.address, |tenant| self::hash(&tenant.name));
    let terms = Terms {
        owner,
        kind: Kind::Unfinished,
        limit: catalog.limits.body_bytes,
        timeout: deadline.min(arrived + BODY_TIMEOUT).saturating_sub(clock::now()),
    };
    let body = read_body(node, body, terms, hash).await?;
    if !origin.request.accept() {
        return Err(memory_full(hash));
    }
    let Some(service) = route.choose_service(hash).cloned() else {
        return Err((Cause::NoEndpoint, Some(OTHER_NODE_RETRY_AFTER)));
    };
    let priority = tenant.as_ref().and_then(|tenant| tenant.priority).unwrap_or(route.priority);
    let context = Context {
        head,
        body,
        metadata,
        route,
        service,
        tenant,
        priority,
        arrived,
        caller_deadline,
        deadline,
        hash,
    };
    if let Some(refusal) = crash::refusal(node, &context) {
        return Err(refusal);
    }
    charge_quota(node, context.tenant.as_deref(), &context.metadata, hash)?;
    Ok(context)
}

fn authenticate(
    node: &Node,
    catalog: &Catalog,
    route: &Route,
    metadata: &Metadata,
    hash: u64,
    now: Duration,
) -> Result<Option<Arc<Tenant>>, Refusal> {
    if route.anonymous {
        return Ok(None);
    }
    match catalog.access(metadata.key.as_deref()) {
        Access::Open => Ok(None),
        _ if !node.keys_are_fresh(now) => {
            Err((Cause::StaleKeys, Some(queue::jitter(OTHER_NODE_RETRY_AFTER, hash))))
        }
        Access::Tenant(tenant) => Ok(Some(tenant.clone())),
        Access::Unreadable => Err(unreadable(hash)),
        Access::Denied => Err((Cause::UnknownKey, None)),
    }
}

/// Charges a request to its tenant's quota.
fn charge_quota(
    node: &Node,
    tenant: Option<&Tenant>,
    metadata: &Metadata,
    hash: u64,
) -> Result<(), Refusal> {
    let Some((tenant, quota)) = tenant.and_then(|tenant| Some((tenant, tenant.quota?))) else {
        return Ok(());
    };
    let tokens = metadata.prompt.as_ref().map_or(quota.default_tokens, |prompt| {
        u64::from(prompt.prompt_tokens) + u64::from(prompt.max_output_tokens)
    });
    let units = if quota.counts_tokens { tokens } else { 1 };
    let now = clock::now();
    let mut quotas = node.quotas.borrow_mut();
    let result = quotas.admit(&tenant.name, units, now);
    if result.is_ok() && quotas.is_nearly_exhausted(node.peers.borrow().live_count(now)) {
        node.quota_update.notify_one();
    }
    result.map_err(|retry_after| {
        let (admitted, limit) = quotas.usage(&tenant.name);
        log::info!(
            "handle: event=quota_full id={} tenant={} units={units} admitted={admitted} limit={limit}",
            metadata.id,
            tenant.name
        );
        (Cause::OverQuota, Some(queue::jitter(retry_after, hash)))
    })
}

async fn read_body(node: &Node, body: Incoming, terms: Terms, hash: u64) -> Result<Bytes, Refusal> {
    if body.size_hint().exact() == Some(0) {
        return Ok(Bytes::new());
    }
    node.intake.read(body, terms).await.map_err(|failure| match failure {
        Failure::TooLarge => (Cause::BodyTooLarge, None),
        Failure::TooSlow => (Cause::BodyTooSlow, None),
        Failure::MemoryFull => memory_full(hash),
        Failure::Broken(reason) => {
            log::debug!("handle: event=body_broken reason=\"{reason}\"");
            (Cause::BodyCut, None)
        }
    })
}

fn unreadable(hash: u64) -> Refusal {
    (Cause::Unreadable, Some(queue::jitter(UNREADABLE_RETRY_AFTER, hash)))
}

fn memory_full(hash: u64) -> Refusal {
    (Cause::MemoryFull, Some(queue::jitter(OTHER_NODE_RETRY_AFTER, hash)))
}

fn hash(id: &str) -> u64 {
    xxh3::xxh3_64(id.as_bytes())
}
