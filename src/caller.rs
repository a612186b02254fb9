//! HTTP interface towards callers; see `docs/callers.md`.

pub mod body;
pub mod chat;
pub mod draft;
pub mod event;
pub mod plain;
pub mod pump;
pub mod target;

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::{Path, Request, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use http::{HeaderMap, HeaderValue, header};
use sha2::{Digest, Sha256};
use tokio::sync::SemaphorePermit;
use tokio::time::Instant;

use crate::endpoint::answer::REQUEST_ID;
use crate::error::{Error, Kind, Result};
use crate::node::Node;
use crate::resource::{Catalog, Kind as ResourceKind, Protocol, Service, Spec};
use crate::{admission, claim};

/// Names the header with the time, in milliseconds, that the caller is ready to wait.
pub const DEADLINE: &str = "x-deadline-ms";
/// Names the header with the priority of a request, from 0 (least) to 9.
pub const PRIORITY: &str = "x-priority";
const DEFAULT_PRIORITY: u8 = 5;

/// Holds what every request carries besides its body.
#[derive(Debug, Clone)]
pub struct Context {
    /// Id that the caller gave, or else the one of this node.
    pub request_id: Arc<str>,
    /// Id that no other request has.
    pub id: Arc<str>,
    pub workspace: Arc<str>,
    pub catalog: Arc<Catalog>,
    pub priority: u8,
    /// Time the caller is ready to wait, when it said so.
    pub patience: Option<Duration>,
    pub received: Instant,
}

impl Context {
    pub fn deadline(&self, default_ms: u64) -> Instant {
        self.received + self.patience.unwrap_or(Duration::from_millis(default_ms))
    }

    /// Waits until the request may start.
    ///
    /// # Errors
    ///
    /// Fails with `Overloaded`, `ShareExceeded` or `DeadlineTooShort`; the request was not run.
    pub async fn admit(
        &self,
        node: &Node,
        name: &Arc<str>,
        service: &Service,
        work: u32,
    ) -> Result<admission::controller::Permit> {
        let limit = in_flight_limit(node, &self.catalog, name, service);
        let controller = node.admission.controller(name, service.in_flight, limit);
        let share = self.catalog.workspace(&self.workspace).map_or(1, |workspace| workspace.share);
        let deadline = node.since_start(self.deadline(service.deadline_ms).into_std());
        let (workspace, priority) = (self.workspace.clone(), self.priority);
        let class = name.clone();
        let arrival =
            admission::Arrival { workspace, class, weight: share, priority, deadline, work };
        controller.acquire(node.next_number(), node.now(), arrival).await
    }
}

/// Gives what the endpoints of a service can take from this node, as their latency tells.
fn in_flight_limit(node: &Node, catalog: &Catalog, name: &str, service: &Service) -> u32 {
    let version = catalog.serving_version(name).and_then(|name| catalog.version(&name));
    let Some(version) = version else { return service.in_flight };
    let concurrency = catalog.pool(&version.pool).map_or(1, |pool| pool.concurrency);
    let vms = node.vms.borrow().clone();
    let usable = vms.iter().filter(|vm| vm.pool == version.pool && !vm.leaving);
    node.limits.total(usable.map(|vm| &vm.id), concurrency)
}

pub fn router(node: Arc<Node>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(complete))
        .route("/v1/models", get(models))
        .route("/v1/drafts/{id}", get(read_draft))
        .route("/healthz", get(async || "ok\n"))
        .route("/readyz", get(ready))
        .fallback(forward)
        .method_not_allowed_fallback(wrong_method)
        .with_state(node)
}

async fn wrong_method(State(node): State<Arc<Node>>, request: Request) -> Response {
    let id = node.next_id();
    let echo = echo_id(request.headers(), &id);
    let detail = format!("{} does not take {}", request.uri().path(), request.method());
    finish(&node, echo, Err(Error::new(Kind::MethodNotAllowed, detail)))
}

async fn ready(State(node): State<Arc<Node>>) -> Response {
    match admit_node(&node) {
        Ok(()) => "ready\n".into_response(),
        Err(error) => error.into_response(),
    }
}

async fn complete(State(node): State<Arc<Node>>, request: Request) -> Response {
    let id = node.next_id();
    let echo = echo_id(request.headers(), &id);
    let answer = async {
        let _place = take_place(&node)?;
        chat::handle(&node, id, request).await
    };
    finish(&node, echo, answer.await)
}

fn take_place(node: &Node) -> Result<SemaphorePermit<'_>> {
    let full = |_| Error::new(Kind::Overloaded, "too many requests wait on this entry VM");
    node.request_permits.try_acquire().map_err(full)
}

async fn read_draft(
    State(node): State<Arc<Node>>,
    Path(draft): Path<String>,
    request: Request,
) -> Response {
    let id = node.next_id();
    let echo = echo_id(request.headers(), &id);
    finish(&node, echo, draft::read(&node, id, &draft, request.headers()).await)
}

async fn forward(State(node): State<Arc<Node>>, request: Request) -> Response {
    let id = node.next_id();
    let echo = echo_id(request.headers(), &id);
    let answer = async {
        let _place = take_place(&node)?;
        plain::handle(&node, id, request).await
    };
    finish(&node, echo, answer.await)
}

async fn models(State(node): State<Arc<Node>>, request: Request) -> Response {
    let id = node.next_id();
    let echo = echo_id(request.headers(), &id);
    let listed = identify(&node, id, request.headers()).map(|context| {
        let data: Vec<_> = model_names(&context.catalog)
            .map(|name| serde_json::json!({ "id": name, "object": "model", "owned_by": "operators" }))
            .collect();
        axum::Json(serde_json::json!({ "object": "list", "data": data })).into_response()
    });
    finish(&node, echo, listed)
}

fn model_names(catalog: &Catalog) -> impl Iterator<Item = &Arc<str>> {
    catalog.resources.iter().filter_map(|(id, resource)| match &resource.spec {
        Spec::Service(service) if service.protocol == Protocol::Model => Some(&id.name),
        _ => None,
    })
}

fn finish(node: &Node, request_id: Arc<str>, result: Result<Response>) -> Response {
    let mut response = result.unwrap_or_else(|error| {
        log::info!("caller: request {request_id} refused: {error}");
        node.metrics.refusals.with_label_values(&[error.kind.entry().name]).inc();
        error.into_response()
    });
    if let Ok(value) = HeaderValue::from_str(&request_id) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}

/// Takes the caller's request id if it can be logged and echoed safely.
fn echo_id(headers: &HeaderMap, own: &Arc<str>) -> Arc<str> {
    let given = headers.get(REQUEST_ID).and_then(|value| value.to_str().ok());
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~:".contains(&byte);
    match given {
        Some(id) if !id.is_empty() && id.len() <= 128 && id.bytes().all(allowed) => id.into(),
        _ => own.clone(),
    }
}

pub fn admit_node(node: &Node) -> Result<()> {
    if node.is_stopping() {
        return Err(Error::new(Kind::Stopping, "this entry VM is shutting down"));
    }
    if !node.is_ready() {
        let missing = if node.revision.is_ready() { "list of VMs" } else { "configuration" };
        return Err(Error::new(Kind::NotReady, format!("this entry VM has no {missing} yet")));
    }
    Ok(())
}

/// Checks the token and reads the common headers.
pub fn identify(node: &Node, id: Arc<str>, headers: &HeaderMap) -> Result<Context> {
    admit_node(node)?;
    let catalog = node.revision.current();
    let token = bearer(headers)?;
    let digest = claim::hex(&Sha256::digest(token));
    let workspace = find_workspace(&catalog, &digest)
        .ok_or_else(|| Error::new(Kind::Unauthorized, "the bearer token is not known"))?;
    let priority = number(headers, PRIORITY, 0..=9)?;
    let patience = number(headers, DEADLINE, 1..=86_400_000)?;
    Ok(Context {
        request_id: echo_id(headers, &id),
        id,
        workspace,
        priority: priority.and_then(|value| u8::try_from(value).ok()).unwrap_or(DEFAULT_PRIORITY),
        patience: patience.map(Duration::from_millis),
        received: Instant::now(),
        catalog,
    })
}

fn bearer(headers: &HeaderMap) -> Result<&str> {
    let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let token = value.and_then(|value| value.split_once(' ')).filter(|(scheme, token)| {
        scheme.eq_ignore_ascii_case("bearer") && !token.trim().is_empty()
    });
    token
        .map(|(_, token)| token.trim())
        .ok_or_else(|| Error::new(Kind::Unauthorized, "a bearer token is required"))
}

/// Compares digests, so the time of the comparison says nothing about a token.
fn find_workspace(catalog: &Catalog, digest: &str) -> Option<Arc<str>> {
    let found = catalog.resources.iter().find(|(id, resource)| {
        id.kind == ResourceKind::Workspace
            && matches!(&resource.spec, Spec::Workspace(workspace)
                if workspace.token_digests.iter().any(|known| **known == *digest))
    });
    found.map(|(id, _)| id.name.clone())
}

fn number(
    headers: &HeaderMap,
    name: &'static str,
    bounds: std::ops::RangeInclusive<u64>,
) -> Result<Option<u64>> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    match number {
        Some(number) if bounds.contains(&number) => Ok(Some(number)),
        _ => {
            let (low, high) = (bounds.start(), bounds.end());
            let detail = format!("header {name} must be a number from {low} to {high}");
            Err(Error::new(Kind::BadRequest, detail))
        }
    }
}
