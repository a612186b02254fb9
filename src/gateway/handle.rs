//! Takes a caller's request: route, key, body and quota, before an endpoint is looked for.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, header, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use xxhash_rust::xxh3;

use crate::gateway::catalog::{Catalog, Route, Tenant};
use crate::gateway::clock;
use crate::gateway::forward;
use crate::gateway::node::Node;
use crate::gateway::platform::Demand;
use crate::gateway::queue;
use crate::gateway::refusal::Cause;
use crate::gateway::relay::Body;

/// Longest wait for a body whose request tells no deadline.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Advice to callers when a node knows too little; another node serves them sooner.
const ELSEWHERE: Duration = Duration::from_millis(250);

/// Holds a request that may run, with all that was decided about it so far.
#[derive(Debug)]
pub struct Ask {
    pub head: request::Parts,
    pub body: Bytes,
    pub demand: Demand,
    pub route: Arc<Route>,
    pub service: Arc<str>,
    pub tenant: Option<Arc<Tenant>>,
    /// 0 is the most urgent.
    pub priority: u8,
    pub arrived: Duration,
    /// Time at which the caller gives up, if it told one.
    pub deadline: Option<Duration>,
    /// Time by which the caller has a final answer.
    pub until: Duration,
    /// Same for all attempts of one request; spreads choices and advice.
    pub hash: u64,
}

/// A refusal with the advice when to come back.
pub type Refusal = (Cause, Option<Duration>);

/// Serves one request of a caller.
pub async fn request(node: Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    let arrived = clock::now();
    let active = Active::new(node.clone());
    let result = admit(&node, request, arrived).await;
    match result {
        Ok(ask) => forward::run(node, ask, active).await,
        Err(((cause, after), id, route)) => refuse(&node, cause, after, &id, &route, arrived),
    }
}

/// Logs a refusal, counts it and builds its answer.
pub fn refuse(
    node: &Node,
    cause: Cause,
    after: Option<Duration>,
    id: &str,
    route: &str,
    arrived: Duration,
) -> Response<Body> {
    let held = clock::now().saturating_sub(arrived).as_millis();
    let status = cause.status().as_u16();
    log::info!(
        "handle: event=refused id={id} route={route} cause={} status={status} held_ms={held} \
         retry_after_ms={} {}",
        cause.name(),
        after.map_or(-1, |after| after.as_millis() as i64),
        node.beliefs(clock::now())
    );
    node.metrics.record_outcome(route, cause.name());
    cause.response(after)
}

/// Counts a request as being served until it is dropped.
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

impl Drop for Active {
    fn drop(&mut self) {
        self.node.active.set(self.node.active.get() - 1);
    }
}

type Rejected = (Refusal, Arc<str>, Arc<str>);

async fn admit(
    node: &Rc<Node>,
    request: Request<Incoming>,
    arrived: Duration,
) -> Result<Ask, Rejected> {
    let (head, body) = request.into_parts();
    let none: Arc<str> = Arc::from("-");
    let demand = (node.dialect.read)(&head.headers);
    let demand = demand.map_err(|reason| {
        log::info!("handle: event=bad_headers reason=\"{reason}\"");
        ((Cause::BadRequest, None), none.clone(), none.clone())
    })?;
    let id = demand.id.clone();
    let elsewhere = Some(queue::jitter(ELSEWHERE, hash(&id)));
    if node.closing.get() {
        return Err(((Cause::Stopping, elsewhere), id, none));
    }
    let Some(catalog) = node.catalog() else {
        return Err(((Cause::NoCatalog, elsewhere), id, none));
    };
    let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let Some(route) = catalog.route(host, head.uri.path()).cloned() else {
        return Err(((Cause::NoRoute, None), id, none));
    };
    let name = route.name.clone();
    check(node, head, body, demand, catalog, route, arrived)
        .await
        .map_err(|refusal| (refusal, id, name))
}

async fn check(
    node: &Rc<Node>,
    head: request::Parts,
    body: Incoming,
    demand: Demand,
    catalog: Arc<Catalog>,
    route: Arc<Route>,
    arrived: Duration,
) -> Result<Ask, Refusal> {
    let hash = hash(&demand.id);
    let tenant = authenticate(node, &catalog, &route, &demand, hash, arrived)?;
    let deadline = demand.deadline.map(|left| arrived + left);
    let timeout = arrived + route.timeout;
    let until = deadline.map_or(timeout, |deadline| deadline.min(timeout));
    let body =
        read_body(body, catalog.limits.body_bytes, until.min(arrived + BODY_TIMEOUT)).await?;
    let Some(service) = route.service(hash).cloned() else {
        return Err((Cause::NoEndpoint, Some(ELSEWHERE)));
    };
    charge(node, tenant.as_deref(), &demand, hash)?;
    let priority = tenant.as_ref().and_then(|tenant| tenant.priority).unwrap_or(route.priority);
    Ok(Ask { head, body, demand, route, service, tenant, priority, arrived, deadline, until, hash })
}

fn authenticate(
    node: &Node,
    catalog: &Catalog,
    route: &Route,
    demand: &Demand,
    hash: u64,
    now: Duration,
) -> Result<Option<Arc<Tenant>>, Refusal> {
    if route.anonymous || catalog.tenants.is_empty() {
        return Ok(None);
    }
    if !node.keys_are_fresh(now) {
        return Err((Cause::StaleKeys, Some(queue::jitter(ELSEWHERE, hash))));
    }
    let tenant = demand.key.as_deref().and_then(|key| catalog.tenant(key));
    tenant.cloned().map(Some).ok_or((Cause::UnknownKey, None))
}

/// Takes a request from its tenant's quota.
fn charge(node: &Node, tenant: Option<&Tenant>, demand: &Demand, hash: u64) -> Result<(), Refusal> {
    let Some((tenant, quota)) = tenant.and_then(|tenant| Some((tenant, tenant.quota?))) else {
        return Ok(());
    };
    let tokens = demand.prompt.as_ref().map_or(quota.default_tokens, |prompt| {
        u64::from(prompt.prompt_tokens) + u64::from(prompt.max_output_tokens)
    });
    let units = if quota.counts_tokens { tokens } else { 1 };
    let now = clock::now();
    let mut quotas = node.quotas.borrow_mut();
    let taken = quotas.take(&tenant.name, units, now);
    if taken.is_ok() && quotas.is_nearly_used_up(node.peers.borrow().count(now)) {
        node.quota_news.notify_one();
    }
    taken.map_err(|after| {
        let (admitted, limit) = quotas.used(&tenant.name);
        log::info!(
            "handle: event=quota_full id={} tenant={} units={units} admitted={admitted} limit={limit}",
            demand.id,
            tenant.name
        );
        (Cause::OverQuota, Some(queue::jitter(after, hash)))
    })
}

async fn read_body(body: Incoming, limit: usize, until: Duration) -> Result<Bytes, Refusal> {
    let declared = body.size_hint();
    if declared.lower() > limit as u64 {
        return Err((Cause::BodyTooLarge, None));
    }
    if declared.exact() == Some(0) {
        return Ok(Bytes::new());
    }
    let left = until.saturating_sub(clock::now());
    match tokio::time::timeout(left, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err((Cause::BodyTooLarge, None)),
        Ok(Err(_)) => Err((Cause::BodyCut, None)),
        Err(_) => Err((Cause::BodyTooSlow, None)),
    }
}

fn hash(id: &str) -> u64 {
    xxh3::xxh3_64(id.as_bytes())
}
