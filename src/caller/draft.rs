//! Drafts: chat requests that are accepted at once and whose answer is fetched later.
//!
//! The request is in the object store before the caller gets its 202, so any entry VM can carry a
//! draft on after its node has died. A conditional row of the table decides which one does.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{chat, event, identify};
use crate::admission::controller;
use crate::error::{Error, Kind, Result};
use crate::membership::Status;
use crate::node::Node;
use crate::platform::{Failure, Outcome, Query, Transaction};
use crate::stream::{self, Entry, Finish, remote};

/// Names the header by which a caller asks for a draft; RFC 7240.
const PREFER: &str = "prefer";
const RESPOND_ASYNC: &str = "respond-async";
/// Time after which a caller asks again for a draft in progress.
const ASK_AGAIN: &str = "1";
/// Pause between attempts to reach the platform for an accepted draft.
const PLATFORM_PAUSE: Duration = Duration::from_millis(500);
/// Attempts to store an answer, over about ten minutes; after that the draft is computed again on
/// demand.
const STORE_ATTEMPTS: u32 = 1_200;
/// Period in which a node looks for members that have died.
const WATCH_PERIOD: Duration = Duration::from_secs(1);
/// Time after its start by which a node has heard of all members.
const MEMBERS_KNOWN: Duration = Duration::from_secs(10);
/// Nodes that look for the drafts of one dead member; one would do, but it can die as well.
const RESCUERS: usize = 3;

/// Says who carries a draft; the row exists only after a draft has changed its node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Owner {
    node: Arc<str>,
    incarnation: u64,
}

/// Holds the end of a draft in the object store.
#[derive(Debug, Serialize, Deserialize)]
struct Stored {
    workspace: Arc<str>,
    service: Arc<str>,
    content: String,
    finish: Finish,
}

fn request_key(id: &str) -> String {
    format!("draft/{id}/request")
}

fn answer_key(id: &str) -> String {
    format!("draft/{id}/answer")
}

fn row_key(id: &str) -> String {
    format!("draft/{id}")
}

/// Tells whether the caller wants its answer later.
pub fn is_wanted(headers: &HeaderMap) -> bool {
    let values = headers.get_all(PREFER).iter().filter_map(|value| value.to_str().ok());
    let mut preferences = values.flat_map(|value| value.split(','));
    preferences.any(|preference| preference.trim().eq_ignore_ascii_case(RESPOND_ASYNC))
}

/// Writes the request to the object store and answers 202.
///
/// # Errors
///
/// Fails with `PlatformDown` when the request was certainly not stored, and so will not run, and
/// with `OutcomeUnknown` when the answer of the store was lost.
pub async fn accept(
    node: &Arc<Node>,
    permit: controller::Permit,
    mut request: stream::Request,
) -> Result<Response> {
    request.draft = true;
    let id = request.id.clone();
    let body = serde_json::to_vec(&request)
        .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
    match node.client.put_object(&request_key(&id), Bytes::from(body)).await {
        Ok(()) => {}
        Err(Failure::NotRun(reason)) => {
            return Err(Error::new(Kind::PlatformDown, format!("draft not stored: {reason}")));
        }
        Err(Failure::Unknown(reason)) => {
            // Another node would run a request that was stored, so only a stored one is accepted.
            let stored = node.client.get_object(&request_key(&id)).await;
            if !matches!(stored, Ok(Some(_))) {
                let detail = format!("draft may have been stored: {reason}");
                return Err(Error::new(Kind::OutcomeUnknown, detail));
            }
        }
    }
    // A full journal is no reason to refuse a stored draft: another node can carry it.
    if let Err(error) = chat::accept(node, permit, request) {
        log::warn!("draft: {id} is stored but not carried yet: {error}");
    }
    Ok(in_progress(&id))
}

fn in_progress(id: &str) -> Response {
    let body = axum::Json(json!({ "id": id, "object": "draft", "status": "in_progress" }));
    let mut response = (StatusCode::ACCEPTED, body).into_response();
    let headers = response.headers_mut();
    if let Ok(location) = HeaderValue::from_str(&format!("/v1/drafts/{id}")) {
        headers.insert(header::LOCATION, location);
    }
    headers.insert(header::RETRY_AFTER, HeaderValue::from_static(ASK_AGAIN));
    headers.insert("preference-applied", HeaderValue::from_static(RESPOND_ASYNC));
    response
}

/// Answers `GET /v1/drafts/ID`: 202 while the draft is in progress, 200 with the completion, or the
/// error with which it failed.
pub async fn read(
    node: &Arc<Node>,
    own_id: Arc<str>,
    id: &str,
    headers: &HeaderMap,
) -> Result<Response> {
    let context = identify(node, own_id, headers)?;
    let missing = || Error::new(Kind::NotFound, format!("there is no draft \"{id}\""));
    if stream::accepting_node(id).is_none() || id.contains('/') {
        return Err(missing());
    }
    if let Some(entry) = node.journal.get(id)
        && entry.request.draft
        && entry.request.workspace == context.workspace
    {
        match entry.finish() {
            Some(finish) => return answer(id, &stored(&entry, finish)),
            None if entry.is_primary() => return Ok(in_progress(id)),
            None => {}
        }
    }
    let down = |failure: Failure| Error::new(Kind::PlatformDown, failure.to_string());
    if let Some(bytes) = node.client.get_object(&answer_key(id)).await.map_err(down)? {
        let stored: Stored = serde_json::from_slice(&bytes)
            .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
        if stored.workspace != context.workspace {
            return Err(missing());
        }
        return answer(id, &stored);
    }
    let request = load(node, id).await.map_err(down)?;
    let request = request.filter(|request| request.workspace == context.workspace);
    let request = request.ok_or_else(missing)?;
    rescue(node, request).await;
    Ok(in_progress(id))
}

fn answer(id: &str, stored: &Stored) -> Result<Response> {
    match &stored.finish {
        Finish::Complete { reason, usage } => {
            let body = event::completion(id, &stored.service, &stored.content, reason, usage);
            Ok(axum::Json(body).into_response())
        }
        Finish::Failed { kind, detail } => Err(Error::new(*kind, &**detail)),
    }
}

fn stored(entry: &Entry, finish: Finish) -> Stored {
    Stored {
        workspace: entry.request.workspace.clone(),
        service: entry.request.service.clone(),
        content: entry.tokens().concat(),
        finish,
    }
}

async fn load(node: &Node, id: &str) -> std::result::Result<Option<stream::Request>, Failure> {
    let bytes = node.client.get_object(&request_key(id)).await?;
    Ok(bytes.and_then(|bytes| serde_json::from_slice(&bytes).ok()))
}

/// Writes the answer of an ended draft, for as long as it takes.
pub fn store(node: &Arc<Node>, entry: &Arc<Entry>) {
    let Some(finish) = entry.finish() else { return };
    let (node, entry) = (node.clone(), entry.clone());
    node.pending_drafts.fetch_add(1, Ordering::Relaxed);
    tokio::spawn(async move {
        let stored = stored(&entry, finish);
        for _ in 0..STORE_ATTEMPTS {
            match try_store(&node, &entry.request.id, &stored).await {
                Ok(()) => break,
                Err(failure) => log::warn!("draft: {} not stored: {failure}", entry.request.id),
            }
            tokio::time::sleep(PLATFORM_PAUSE).await;
        }
        node.pending_drafts.fetch_sub(1, Ordering::Relaxed);
    });
}

async fn try_store(node: &Node, id: &str, stored: &Stored) -> std::result::Result<(), Failure> {
    // A node that was paused may have lost the draft to another one in the meantime.
    let row = node.client.read_row(&row_key(id)).await?;
    let owner: Option<Owner> = row.and_then(|row| serde_json::from_value(row.value).ok());
    let lost = match &owner {
        Some(owner) => *owner != myself(node),
        None => false,
    };
    if lost || node.client.get_object(&answer_key(id)).await?.is_some() {
        log::info!("draft: {id} has been answered by another node");
        return Ok(());
    }
    let body = serde_json::to_vec(stored).map_err(|error| Failure::NotRun(error.to_string()))?;
    node.client.put_object(&answer_key(id), Bytes::from(body)).await
}

fn myself(node: &Node) -> Owner {
    Owner { node: node.settings.node.clone(), incarnation: node.incarnation }
}

/// Makes this node the one that carries a draft after its predecessor handed it over or died; tries
/// until the table answers or the draft has ended.
pub async fn claim(node: &Arc<Node>, entry: &Entry) -> bool {
    let id = &entry.request.id;
    let mut seen = None;
    while entry.finish().is_none() && !node.is_stopping() {
        match try_claim(node, id, seen).await {
            Ok(Claim::Won) => return true,
            Ok(Claim::Lost) => return false,
            Ok(Claim::Retry(version)) => {
                seen = version;
                continue;
            }
            Err(failure) => log::debug!("draft: {id} not claimed yet: {failure}"),
        }
        tokio::time::sleep(PLATFORM_PAUSE).await;
    }
    false
}

enum Claim {
    Won,
    Lost,
    /// The row of a dead owner has to be replaced.
    Retry(Option<u64>),
}

async fn try_claim(
    node: &Node,
    id: &str,
    version: Option<u64>,
) -> std::result::Result<Claim, Failure> {
    let me = myself(node);
    let mut transaction = Transaction::default();
    transaction.put(&row_key(id), version, json!(me));
    if let Outcome::Done(_) = node.client.transact(&transaction).await {
        return Ok(Claim::Won);
    }
    // The write was rejected, or its answer was lost: the row tells.
    let Some(row) = node.client.read_row(&row_key(id)).await? else {
        return Ok(Claim::Retry(None));
    };
    let owner: Option<Owner> = serde_json::from_value(row.value).ok();
    match owner {
        Some(owner) if owner == me => Ok(Claim::Won),
        // An earlier process of this node has lost everything.
        Some(owner) if owner.node == me.node => Ok(Claim::Retry(Some(row.version))),
        Some(owner) if is_carried_at(node, &owner.node, id).await => Ok(Claim::Lost),
        _ => Ok(Claim::Retry(Some(row.version))),
    }
}

/// Tells whether a node carries a draft. A node that doesn't answer counts as carrying it until the
/// membership finds it dead, since two carriers do the work twice; one that answers is not dead,
/// whatever the membership says.
async fn is_carried_at(node: &Node, owner: &str, id: &str) -> bool {
    let member = node.members().into_iter().find(|member| *member.node == *owner);
    let Some(member) = member else { return node.now() < MEMBERS_KNOWN };
    match remote::is_held_at(node, &member, id).await {
        Some(held) => held,
        None => member.status != Status::Dead,
    }
}

/// Takes a draft over if nobody carries it.
async fn rescue(node: &Arc<Node>, request: stream::Request) {
    let id = request.id.clone();
    let owner = match node.client.read_row(&row_key(&id)).await {
        Ok(Some(row)) => serde_json::from_value::<Owner>(row.value).ok().map(|owner| owner.node),
        Ok(None) => stream::accepting_node(&id).map(Arc::from),
        Err(_) => return,
    };
    let Some(owner) = owner else { return };
    if *owner != *node.settings.node && is_carried_at(node, &owner, &id).await {
        return;
    }
    let entry = match node.journal.get(&id) {
        Some(entry) => entry,
        // The deadline starts again, since the time without a node is not the caller's fault.
        None => match node.journal.open(request, Vec::new()) {
            Some(entry) => entry,
            None => return,
        },
    };
    if entry.is_primary() || entry.finish().is_some() {
        return;
    }
    // A caller that asks for its draft does not wait for the table.
    let node = node.clone();
    tokio::spawn(async move { remote::take_over(&node, &entry).await });
}

/// Takes over the drafts of members that die.
pub async fn watch(node: Arc<Node>) {
    let mut handled: HashSet<(Arc<str>, u64)> = HashSet::new();
    loop {
        tokio::time::sleep(WATCH_PERIOD).await;
        let members = node.members();
        let dead = members.iter().filter(|member| member.status == Status::Dead);
        let dead: Vec<_> = dead.map(|member| (member.node.clone(), member.incarnation)).collect();
        handled.retain(|one| dead.contains(one));
        for one in dead {
            if handled.contains(&one) || node.is_stopping() || !is_rescuer(&node, &one.0) {
                continue;
            }
            match rescue_all(&node, &one.0).await {
                Ok(()) => {
                    handled.insert(one);
                }
                Err(failure) => log::debug!("draft: drafts of {} not listed: {failure}", one.0),
            }
        }
    }
}

fn is_rescuer(node: &Node, dead: &str) -> bool {
    let members = node.members();
    let alive = members.iter().filter(|member| member.status == Status::Alive);
    let mut alive: Vec<_> = alive.map(|member| &member.node).collect();
    alive.sort_by_cached_key(|name| remote::rank(dead, name));
    alive.iter().take(RESCUERS).any(|name| **name == node.settings.node)
}

/// Takes over what a dead member accepted itself or had taken over from others.
async fn rescue_all(node: &Arc<Node>, dead: &str) -> std::result::Result<(), Failure> {
    let keys = node.client.list_objects(&format!("draft/{dead}~")).await?;
    let query = Query { keys: Vec::new(), prefixes: vec!["draft/".to_owned()] };
    let rows = node.client.read(&query).await?;
    let answered: HashSet<&str> =
        keys.iter().filter_map(|key| key.strip_suffix("/answer")).collect();
    let accepted = keys.iter().filter_map(|key| key.strip_suffix("/request"));
    let mut open: Vec<&str> = accepted.filter(|key| !answered.contains(key)).collect();
    let taken = rows.values().filter(|row| row.value["node"] == *dead);
    open.extend(taken.map(|row| row.key.as_str()));
    open.sort_unstable();
    open.dedup();
    for key in open {
        let Some(id) = key.strip_prefix("draft/") else { continue };
        if node.client.get_object(&answer_key(id)).await?.is_some() {
            continue;
        }
        if let Some(request) = load(node, id).await? {
            rescue(node, request).await;
        }
    }
    Ok(())
}
