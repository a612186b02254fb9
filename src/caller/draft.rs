//! Drafts: chat requests that are accepted at once and whose answer is fetched later.
//!
//! The request is in the object store before the caller receives its 202, so any entry VM can take
//! over a draft after the node that ran it has died. A conditional write to a table row decides
//! which one does.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{authenticate, chat, event};
use crate::admission::controller;
use crate::error::{Error, Kind, Result};
use crate::membership::Status;
use crate::node::Node;
use crate::platform::{Failure, Outcome, Query, Transaction};
use crate::stream::{self, Entry, Finish, remote};

/// Request header with which a caller asks for a draft; RFC 7240.
const PREFER: &str = "prefer";
const RESPOND_ASYNC: &str = "respond-async";
/// Value of `Retry-After` for a draft in progress, in seconds.
const RETRY_AFTER_SECONDS: &str = "1";
/// Delay between attempts to reach the platform for an accepted draft.
const PLATFORM_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Largest number of attempts to store an answer, which take about ten minutes. After that, the
/// draft is computed again when it is requested.
const MAX_STORE_ATTEMPTS: u32 = 1_200;
/// Interval at which a node checks for members that have died.
const MEMBER_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time after its start within which a node learns of all members.
const MEMBERSHIP_SETTLE_TIME: Duration = Duration::from_secs(10);
/// Nodes that take over the drafts of one dead member. One would suffice, but it can die as well.
const TAKEOVER_CANDIDATES: usize = 3;

/// Node that runs a draft, as a table row. The row exists only once the draft has moved to another
/// node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Owner {
    node: Arc<str>,
    incarnation: u64,
}

/// Answer of a draft in the object store.
#[derive(Debug, Serialize, Deserialize)]
struct Answer {
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

/// Reports whether the headers ask for a draft.
pub fn is_requested(headers: &HeaderMap) -> bool {
    let values = headers.get_all(PREFER).iter().filter_map(|value| value.to_str().ok());
    let mut preferences = values.flat_map(|value| value.split(','));
    preferences.any(|preference| preference.trim().eq_ignore_ascii_case(RESPOND_ASYNC))
}

/// Writes the request to the object store and answers 202.
///
/// # Errors
///
/// Fails with `PlatformDown` if the request was not stored and will not run, and with
/// `OutcomeUnknown` if the response of the object store was lost.
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
            return Err(Error::new(
                Kind::PlatformDown,
                format!("the draft was not stored: {reason}"),
            ));
        }
        Err(Failure::Unknown(reason)) => {
            // If the request was stored, another node may run it, so it is accepted if it can be
            // read back.
            let stored = node.client.get_object(&request_key(&id)).await;
            if !matches!(stored, Ok(Some(_))) {
                let detail = format!("the draft may have been stored: {reason}");
                return Err(Error::new(Kind::OutcomeUnknown, detail));
            }
        }
    }
    // A full journal is no reason to refuse a stored draft: another node can run it.
    if let Err(error) = chat::accept(node, permit, request) {
        log::warn!("draft: {id} is stored but not started yet: {error}");
    }
    Ok(in_progress_response(&id))
}

fn in_progress_response(id: &str) -> Response {
    let body = axum::Json(json!({ "id": id, "object": "draft", "status": "in_progress" }));
    let mut response = (StatusCode::ACCEPTED, body).into_response();
    let headers = response.headers_mut();
    if let Ok(location) = HeaderValue::from_str(&format!("/v1/drafts/{id}")) {
        headers.insert(header::LOCATION, location);
    }
    headers.insert(header::RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_SECONDS));
    headers.insert("preference-applied", HeaderValue::from_static(RESPOND_ASYNC));
    response
}

/// Handles `GET /v1/drafts/ID`: responds with 202 while the draft is in progress, then with 200 and
/// the completion, or with the error with which the draft failed.
pub async fn read(
    node: &Arc<Node>,
    own_id: Arc<str>,
    id: &str,
    headers: &HeaderMap,
) -> Result<Response> {
    let context = authenticate(node, own_id, headers)?;
    let missing = || Error::new(Kind::NotFound, format!("there is no draft \"{id}\""));
    if stream::accepting_node(id).is_none() || id.contains('/') {
        return Err(missing());
    }
    if let Some(entry) = node.journal.get(id)
        && entry.request.draft
        && entry.request.workspace == context.workspace
    {
        match entry.finish() {
            Some(finish) => return completion_response(id, &answer_of(&entry, finish)),
            None if entry.is_primary() => return Ok(in_progress_response(id)),
            None => {}
        }
    }
    let down = |failure: Failure| Error::new(Kind::PlatformDown, failure.to_string());
    if let Some(bytes) = node.client.get_object(&answer_key(id)).await.map_err(down)? {
        let answer: Answer = serde_json::from_slice(&bytes)
            .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
        if answer.workspace != context.workspace {
            return Err(missing());
        }
        return completion_response(id, &answer);
    }
    let request = read_request(node, id).await.map_err(down)?;
    let request = request.filter(|request| request.workspace == context.workspace);
    let request = request.ok_or_else(missing)?;
    take_over_if_abandoned(node, request).await;
    Ok(in_progress_response(id))
}

fn completion_response(id: &str, answer: &Answer) -> Result<Response> {
    match &answer.finish {
        Finish::Complete { reason, usage } => {
            let body = event::completion(id, &answer.service, &answer.content, reason, usage);
            Ok(axum::Json(body).into_response())
        }
        Finish::Failed { kind, detail } => Err(Error::new(*kind, &**detail)),
    }
}

fn answer_of(entry: &Entry, finish: Finish) -> Answer {
    Answer {
        workspace: entry.request.workspace.clone(),
        service: entry.request.service.clone(),
        content: entry.tokens().concat(),
        finish,
    }
}

async fn read_request(
    node: &Node,
    id: &str,
) -> std::result::Result<Option<stream::Request>, Failure> {
    let bytes = node.client.get_object(&request_key(id)).await?;
    Ok(bytes.and_then(|bytes| serde_json::from_slice(&bytes).ok()))
}

/// Writes the answer of a finished draft to the object store in the background, with up to
/// `MAX_STORE_ATTEMPTS` attempts.
pub fn store_answer(node: &Arc<Node>, entry: &Arc<Entry>) {
    let Some(finish) = entry.finish() else { return };
    let (node, entry) = (node.clone(), entry.clone());
    node.pending_drafts.fetch_add(1, Ordering::Relaxed);
    tokio::spawn(async move {
        let answer = answer_of(&entry, finish);
        for _ in 0..MAX_STORE_ATTEMPTS {
            match try_store_answer(&node, &entry.request.id, &answer).await {
                Ok(()) => break,
                Err(failure) => log::warn!(
                    "draft: failed to store the answer of {}: {failure}",
                    entry.request.id
                ),
            }
            tokio::time::sleep(PLATFORM_RETRY_DELAY).await;
        }
        node.pending_drafts.fetch_sub(1, Ordering::Relaxed);
    });
}

async fn try_store_answer(
    node: &Node,
    id: &str,
    answer: &Answer,
) -> std::result::Result<(), Failure> {
    // Another node may have taken the draft over while this one was paused.
    let row = node.client.read_row(&row_key(id)).await?;
    let owner: Option<Owner> = row.and_then(|row| serde_json::from_value(row.value).ok());
    let is_taken_over = match &owner {
        Some(owner) => *owner != this_owner(node),
        None => false,
    };
    if is_taken_over || node.client.get_object(&answer_key(id)).await?.is_some() {
        log::info!("draft: {id} was taken over or answered by another node");
        return Ok(());
    }
    let body = serde_json::to_vec(answer).map_err(|error| Failure::NotRun(error.to_string()))?;
    node.client.put_object(&answer_key(id), Bytes::from(body)).await
}

fn this_owner(node: &Node) -> Owner {
    Owner { node: node.settings.node.clone(), incarnation: node.incarnation }
}

/// Claims a draft for this node after the node that ran it handed it over or died. Retries until
/// the platform responds, the draft has finished or this node stops. Returns whether this node now
/// owns the draft.
pub async fn claim(node: &Arc<Node>, entry: &Entry) -> bool {
    let id = &entry.request.id;
    let mut row_version = None;
    while entry.finish().is_none() && !node.is_stopping() {
        match try_claim(node, id, row_version).await {
            Ok(Claim::Won) => return true,
            Ok(Claim::Lost) => return false,
            Ok(Claim::Retry(version)) => {
                row_version = version;
                continue;
            }
            Err(failure) => log::debug!("draft: failed to claim {id}: {failure}"),
        }
        tokio::time::sleep(PLATFORM_RETRY_DELAY).await;
    }
    false
}

enum Claim {
    Won,
    Lost,
    /// Another attempt must replace the row of this version, whose owner no longer runs the draft,
    /// or create the row if there is no version.
    Retry(Option<u64>),
}

async fn try_claim(
    node: &Node,
    id: &str,
    version: Option<u64>,
) -> std::result::Result<Claim, Failure> {
    let this_owner = this_owner(node);
    let mut transaction = Transaction::default();
    transaction.put(&row_key(id), version, json!(this_owner));
    if let Outcome::Done(_) = node.client.transact(&transaction).await {
        return Ok(Claim::Won);
    }
    // The write was rejected or its response was lost; the row shows which.
    let Some(row) = node.client.read_row(&row_key(id)).await? else {
        return Ok(Claim::Retry(None));
    };
    let owner: Option<Owner> = serde_json::from_value(row.value).ok();
    match owner {
        Some(owner) if owner == this_owner => Ok(Claim::Won),
        // An earlier process of this node owned the draft and lost its state.
        Some(owner) if owner.node == this_owner.node => Ok(Claim::Retry(Some(row.version))),
        Some(owner) if is_running_at(node, &owner.node, id).await => Ok(Claim::Lost),
        _ => Ok(Claim::Retry(Some(row.version))),
    }
}

/// Reports whether a node runs a draft. A node that doesn't respond counts as running it until the
/// membership reports it dead, since two nodes would do the work twice. The response of a node
/// takes precedence over its status in the membership.
async fn is_running_at(node: &Node, owner: &str, id: &str) -> bool {
    let member = node.members().into_iter().find(|member| *member.node == *owner);
    let Some(member) = member else { return node.now() < MEMBERSHIP_SETTLE_TIME };
    match remote::is_held_at(node, &member, id).await {
        Some(held) => held,
        None => member.status != Status::Dead,
    }
}

/// Takes a draft over if no node runs it.
async fn take_over_if_abandoned(node: &Arc<Node>, request: stream::Request) {
    let id = request.id.clone();
    let owner = match node.client.read_row(&row_key(&id)).await {
        Ok(Some(row)) => serde_json::from_value::<Owner>(row.value).ok().map(|owner| owner.node),
        Ok(None) => stream::accepting_node(&id).map(Arc::from),
        Err(_) => return,
    };
    let Some(owner) = owner else { return };
    if *owner != *node.settings.node && is_running_at(node, &owner, &id).await {
        return;
    }
    let entry = match node.journal.get(&id) {
        Some(entry) => entry,
        // The deadline starts again, so that the time without a node is not charged to the caller.
        None => match node.journal.open(request, Vec::new()) {
            Some(entry) => entry,
            None => return,
        },
    };
    if entry.is_primary() || entry.finish().is_some() {
        return;
    }
    // Runs in the background, so that a caller that asks for its draft does not wait for the table.
    let node = node.clone();
    tokio::spawn(async move { remote::take_over(&node, &entry).await });
}

/// Checks the membership periodically and takes over the drafts of members that die.
pub async fn watch_members(node: Arc<Node>) {
    let mut handled: HashSet<(Arc<str>, u64)> = HashSet::new();
    loop {
        tokio::time::sleep(MEMBER_CHECK_INTERVAL).await;
        let members = node.members();
        let dead = members.iter().filter(|member| member.status == Status::Dead);
        let dead: Vec<_> = dead.map(|member| (member.node.clone(), member.incarnation)).collect();
        handled.retain(|member| dead.contains(member));
        for member in dead {
            if handled.contains(&member)
                || node.is_stopping()
                || !is_takeover_candidate(&node, &member.0)
            {
                continue;
            }
            match take_over_from(&node, &member.0).await {
                Ok(()) => {
                    handled.insert(member);
                }
                Err(failure) => log::debug!("draft: drafts of {} not listed: {failure}", member.0),
            }
        }
    }
}

fn is_takeover_candidate(node: &Node, dead: &str) -> bool {
    let members = node.members();
    let alive = members.iter().filter(|member| member.status == Status::Alive);
    let mut alive: Vec<_> = alive.map(|member| &member.node).collect();
    alive.sort_by_cached_key(|name| remote::rank(dead, name));
    alive.iter().take(TAKEOVER_CANDIDATES).any(|name| **name == node.settings.node)
}

/// Takes over the unanswered drafts that a dead member had accepted or taken over from others.
async fn take_over_from(node: &Arc<Node>, dead: &str) -> std::result::Result<(), Failure> {
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
        if let Some(request) = read_request(node, id).await? {
            take_over_if_abandoned(node, request).await;
        }
    }
    Ok(())
}
