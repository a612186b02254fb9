//! Chooses the version and the endpoint for an attempt and records how the attempt ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::HeaderMap;
use smallvec::SmallVec;

use crate::error::{Error, Kind, Result};
use crate::node::Node;
use crate::resource::Catalog;
use crate::rollout::{self, Split};
use crate::routing::{Key, Selection};
use crate::timeline::Subject;

/// Response header with which an engine reports its running and queued requests.
const LOAD: &str = "x-load";

/// Criteria by which an endpoint is chosen, kept over all attempts of one request.
#[derive(Debug)]
pub struct Criteria {
    pub service: Arc<str>,
    /// Path template by which rollout evidence is grouped.
    pub route: Arc<str>,
    /// Prefix blocks of the prompt; empty for plain services.
    pub blocks: SmallVec<[u64; 8]>,
    pub hash: u64,
    /// Endpoints that have failed this request.
    pub exclude: SmallVec<[Arc<str>; 4]>,
    /// New version that has failed this request.
    pub avoid: Option<Arc<str>>,
}

impl Criteria {
    pub fn new(service: Arc<str>, route: Arc<str>, hash: u64) -> Criteria {
        let (blocks, exclude) = (SmallVec::new(), SmallVec::new());
        Criteria { service, route, blocks, hash, exclude, avoid: None }
    }
}

/// One attempt at an endpoint, which counts as in flight there. Dropping it records it as
/// cancelled.
#[derive(Debug)]
pub struct Attempt {
    node: Arc<Node>,
    pub vm: Arc<str>,
    pub address: SocketAddr,
    pub version: Arc<str>,
    /// Old version that may run the request when the new one failed it.
    pub fallback: Option<Arc<str>>,
    service: Arc<str>,
    route: Arc<str>,
    pool: Arc<str>,
    share_permille: u32,
    started: Instant,
    /// Requests that this node had in flight at the endpoint when the attempt began, including this
    /// one.
    in_flight: u32,
    is_finished: bool,
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The endpoint could not be reached or stopped responding.
    Connection,
    /// The endpoint returned an error or an invalid response.
    Answer,
}

/// Chooses an endpoint that is neither leaving nor excluded, and counts the attempt as in flight
/// there.
///
/// # Errors
///
/// Fails with `NoEndpoint`; nothing was sent.
pub fn choose(node: &Arc<Node>, catalog: &Catalog, criteria: &Criteria) -> Result<Attempt> {
    let missing = || {
        let detail = format!("service {} has no endpoint that can be used", criteria.service);
        Error::new(Kind::NoEndpoint, detail)
    };
    let split = Split::build(catalog, &criteria.service).ok_or_else(missing)?;
    let mut choice = split.choose(criteria.hash, &node.bad_versions());
    if criteria.avoid.as_ref() == Some(&choice.version)
        && let Some(fallback) = choice.fallback.take()
    {
        choice.version = fallback;
    }
    let reservation = match reserve(node, catalog, &choice.version, criteria) {
        Some(reservation) => reservation,
        // If all endpoints of a new version are left out after failures, its requests use the old
        // version.
        None => {
            choice.version = choice.fallback.take().ok_or_else(missing)?;
            reserve(node, catalog, &choice.version, criteria).ok_or_else(missing)?
        }
    };
    let Reservation { pool, selection, in_flight } = reservation;
    Ok(Attempt {
        node: node.clone(),
        vm: selection.id,
        address: selection.address,
        version: choice.version,
        fallback: choice.fallback,
        service: criteria.service.clone(),
        route: criteria.route.clone(),
        share_permille: choice.share_permille,
        started: Instant::now(),
        is_finished: false,
        in_flight,
        pool,
    })
}

/// Endpoint at which one more request was counted as in flight.
struct Reservation {
    pool: Arc<str>,
    selection: Selection,
    /// Requests that this node has in flight at the endpoint, including this one.
    in_flight: u32,
}

/// Chooses an endpoint of one version and counts a request as in flight there.
fn reserve(
    node: &Node,
    catalog: &Catalog,
    version: &str,
    criteria: &Criteria,
) -> Option<Reservation> {
    let pool = catalog.version(version)?.pool.clone();
    let now = node.now();
    let key = Key { blocks: &criteria.blocks, seed: criteria.hash ^ node.next_number() };
    let (selection, in_flight) = node.with_table(&pool, |table| {
        let selection = table.choose(now, key, &criteria.exclude)?;
        table.record_start(now, &selection.id);
        let in_flight = table.in_flight(&selection.id);
        Some((selection, in_flight))
    })?;
    Some(Reservation { pool, selection, in_flight })
}

/// Reports whether a service has any endpoint, including those that are left out after failures.
pub fn has_endpoint(node: &Node, catalog: &Catalog, service: &str) -> bool {
    let version = catalog.serving_version(service).and_then(|name| catalog.version(&name));
    version.is_some_and(|version| node.with_table(&version.pool, |table| !table.is_empty()))
}

impl Attempt {
    /// Records the load that the endpoint reported with its response.
    pub fn record_load(&self, headers: &HeaderMap) {
        let text = headers.get(LOAD).and_then(|value| value.to_str().ok());
        let parts = text.and_then(|text| text.split_once(','));
        let parsed = parts
            .and_then(|(run, wait)| Some((run.trim().parse().ok()?, wait.trim().parse().ok()?)));
        if let Some((running, queued)) = parsed {
            let now = self.node.now();
            self.node
                .with_table(&self.pool, |table| table.record_load(now, &self.vm, running, queued));
        }
    }

    /// Records a response. `failed` is set for an error status, which counts against the version
    /// and not against the endpoint.
    pub fn succeeded(mut self, failed: bool, first_byte: Duration, token_gap: Option<Duration>) {
        self.is_finished = true;
        self.node.with_table(&self.pool, |table| table.record_answer(&self.vm));
        self.record_sample(failed, first_byte, token_gap);
        self.node.limits.record(&self.vm, first_byte, self.in_flight);
        if !failed {
            self.node.credit_retry(&self.service);
        }
    }

    /// Records an attempt without a complete response.
    pub fn failed(mut self, failure: Failure) {
        self.is_finished = true;
        let now = self.node.now();
        // An endpoint that is leaving is expected to break its connections.
        let is_expected = self.node.is_leaving(&self.vm);
        self.node.with_table(&self.pool, |table| match failure {
            Failure::Connection => table.record_failure(now, &self.vm),
            Failure::Answer => table.record_answer(&self.vm),
        });
        self.node.limits.record_overload(&self.vm);
        if !is_expected {
            self.record_sample(true, self.started.elapsed(), None);
        }
    }

    fn record_sample(&self, failed: bool, first_byte: Duration, token_gap: Option<Duration>) {
        let sample = rollout::Sample {
            route: &self.route,
            share_permille: self.share_permille,
            failed,
            first_byte,
            token_gap,
        };
        let mark = self.node.rollout_observer().record(&self.service, &self.version, &sample);
        if let Some(mark) = mark {
            self.node.add_marks(vec![mark], "own evidence");
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.is_finished {
            self.node.with_table(&self.pool, |table| table.record_cancellation(&self.vm));
        }
    }
}

impl Node {
    /// Adds marks, which take effect at once, and gossips new ones to peers.
    pub fn add_marks(self: &Arc<Node>, marks: Vec<rollout::BadVersion>, source: &str) {
        let mut new_marks = Vec::new();
        for mark in marks {
            if self.bad_versions().insert(mark.clone()) {
                new_marks.push(mark);
            }
        }
        for mark in &new_marks {
            let version = &mark.key.version;
            log::warn!("rollout: version {version} is marked bad from {source}: {}", mark.reason);
            let subject = Subject {
                move_name: Some(mark.key.name.clone()),
                service: Some(mark.key.service.clone()),
                ..Subject::default()
            };
            let text = format!("version {version} marked bad from {source}: {}", mark.reason);
            self.record("rollout", subject, text);
        }
        if !new_marks.is_empty() && self.network.get().is_some() {
            tokio::spawn(gossip_marks(self.clone()));
        }
    }
}

async fn gossip_marks(node: Arc<Node>) {
    let marks: Vec<_> = node.bad_versions().iter().collect();
    if let Some(network) = node.network.get() {
        network.set_bad_versions(marks).await;
    }
}
