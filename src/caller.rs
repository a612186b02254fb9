//! HTTP interface for callers; see `docs/callers.md`.

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

/// Request header with the caller's timeout in milliseconds.
pub const DEADLINE: &str = "x-deadline-ms";
/// Request header with the priority of a request, from 0 (lowest) to 9.
pub const PRIORITY: &str = "x-priority";
const DEFAULT_PRIORITY: u8 = 5;

/// Identity and options of an authenticated request, without its body.
#[derive(Debug, Clone)]
pub struct Context {
    /// Id sent by the caller if it is valid, otherwise the id that this node assigned.
    pub request_id: Arc<str>,
    /// Id assigned by this node; unique across all nodes.
    pub id: Arc<str>,
    pub workspace: Arc<str>,
    pub catalog: Arc<Catalog>,
    pub priority: u8,
    /// Timeout requested by the caller, if any.
    pub timeout: Option<Duration>,
    pub received: Instant,
}

impl Context {
    pub fn deadline(&self, default_ms: u64) -> Instant {
        self.received + self.timeout.unwrap_or(Duration::from_millis(default_ms))
    }

    /// Waits until admission control lets the request start.
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

/// Returns how many requests this node may have in flight for a service, from the adaptive limits
/// of its endpoints, which follow their latency.
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
        .route("/v1/chat/completions", post(chat_completion))
        .route("/v1/models", get(list_models))
        .route("/v1/drafts/{id}", get(read_draft))
        .route("/healthz", get(async || "ok\n"))
        .route("/readyz", get(ready))
        .fallback(forward)
        .method_not_allowed_fallback(method_not_allowed)
        .with_state(node)
}

async fn method_not_allowed(State(node): State<Arc<Node>>, request: Request) -> Response {
    let id = node.next_id();
    let request_id = response_request_id(request.headers(), &id);
    let detail = format!("{} does not support method {}", request.uri().path(), request.method());
    finish_response(&node, request_id, Err(Error::new(Kind::MethodNotAllowed, detail)))
}

async fn ready(State(node): State<Arc<Node>>) -> Response {
    match check_ready(&node) {
        Ok(()) => "ready\n".into_response(),
        Err(error) => error.into_response(),
    }
}

async fn chat_completion(State(node): State<Arc<Node>>, request: Request) -> Response {
    let id = node.next_id();
    let request_id = response_request_id(request.headers(), &id);
    let answer = async {
        let _permit = acquire_slot(&node)?;
        chat::handle(&node, id, request).await
    };
    finish_response(&node, request_id, answer.await)
}

fn acquire_slot(node: &Node) -> Result<SemaphorePermit<'_>> {
    let full = |_| Error::new(Kind::Overloaded, "too many requests are waiting on this entry VM");
    node.request_permits.try_acquire().map_err(full)
}

async fn read_draft(
    State(node): State<Arc<Node>>,
    Path(draft): Path<String>,
    request: Request,
) -> Response {
    let id = node.next_id();
    let request_id = response_request_id(request.headers(), &id);
    finish_response(&node, request_id, draft::read(&node, id, &draft, request.headers()).await)
}

async fn forward(State(node): State<Arc<Node>>, request: Request) -> Response {
    let id = node.next_id();
    let request_id = response_request_id(request.headers(), &id);
    let answer = async {
        let _permit = acquire_slot(&node)?;
        plain::handle(&node, id, request).await
    };
    finish_response(&node, request_id, answer.await)
}

async fn list_models(State(node): State<Arc<Node>>, request: Request) -> Response {
    let id = node.next_id();
    let request_id = response_request_id(request.headers(), &id);
    let listed = authenticate(&node, id, request.headers()).map(|context| {
        let data: Vec<_> = model_names(&context.catalog)
            .map(|name| serde_json::json!({ "id": name, "object": "model", "owned_by": "operators" }))
            .collect();
        axum::Json(serde_json::json!({ "object": "list", "data": data })).into_response()
    });
    finish_response(&node, request_id, listed)
}

fn model_names(catalog: &Catalog) -> impl Iterator<Item = &Arc<str>> {
    catalog.resources.iter().filter_map(|(id, resource)| match &resource.spec {
        Spec::Service(service) if service.protocol == Protocol::Model => Some(&id.name),
        _ => None,
    })
}

fn finish_response(node: &Node, request_id: Arc<str>, result: Result<Response>) -> Response {
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

/// Returns the request id sent by the caller if it can be logged and echoed safely, otherwise
/// `own_id`.
fn response_request_id(headers: &HeaderMap, own_id: &Arc<str>) -> Arc<str> {
    let given = headers.get(REQUEST_ID).and_then(|value| value.to_str().ok());
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~:".contains(&byte);
    match given {
        Some(id) if !id.is_empty() && id.len() <= 128 && id.bytes().all(allowed) => id.into(),
        _ => own_id.clone(),
    }
}

/// Fails with `Stopping` or `NotReady` unless this node accepts requests.
pub fn check_ready(node: &Node) -> Result<()> {
    if node.is_stopping() {
        return Err(Error::new(Kind::Stopping, "this entry VM is shutting down"));
    }
    if !node.is_ready() {
        let missing = if node.revision.is_ready() { "list of VMs" } else { "configuration" };
        return Err(Error::new(Kind::NotReady, format!("this entry VM has no {missing} yet")));
    }
    Ok(())
}

/// Checks that this node is ready, authenticates the bearer token and parses the common headers.
pub fn authenticate(node: &Node, id: Arc<str>, headers: &HeaderMap) -> Result<Context> {
    check_ready(node)?;
    let catalog = node.revision.current();
    let token = bearer_token(headers)?;
    let digest = claim::hex(&Sha256::digest(token));
    let workspace = workspace_of_token(&catalog, &digest)
        .ok_or_else(|| Error::new(Kind::Unauthorized, "the bearer token is not known"))?;
    let priority = parse_number(headers, PRIORITY, 0..=9)?;
    let timeout = parse_number(headers, DEADLINE, 1..=86_400_000)?;
    Ok(Context {
        request_id: response_request_id(headers, &id),
        id,
        workspace,
        priority: priority.and_then(|value| u8::try_from(value).ok()).unwrap_or(DEFAULT_PRIORITY),
        timeout: timeout.map(Duration::from_millis),
        received: Instant::now(),
        catalog,
    })
}

fn bearer_token(headers: &HeaderMap) -> Result<&str> {
    let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let token = value.and_then(|value| value.split_once(' ')).filter(|(scheme, token)| {
        scheme.eq_ignore_ascii_case("bearer") && !token.trim().is_empty()
    });
    token
        .map(|(_, token)| token.trim())
        .ok_or_else(|| Error::new(Kind::Unauthorized, "a bearer token is required"))
}

/// Finds the workspace by the digest of a token. Because digests are compared, the duration of the
/// comparison reveals nothing about the token.
fn workspace_of_token(catalog: &Catalog, digest: &str) -> Option<Arc<str>> {
    let found = catalog.resources.iter().find(|(id, resource)| {
        id.kind == ResourceKind::Workspace
            && matches!(&resource.spec, Spec::Workspace(workspace)
                if workspace.token_digests.iter().any(|known| **known == *digest))
    });
    found.map(|(id, _)| id.name.clone())
}

fn parse_number(
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
