//! Chooses version and endpoint for one attempt and reports how the attempt ended.

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

/// Names the header by which an engine reports running and queued requests.
const LOAD: &str = "x-load";

/// Holds what the choice depends on, over all attempts of one request.
#[derive(Debug)]
pub struct Wish {
    pub service: Arc<str>,
    /// Path template or protocol by which evidence is kept apart.
    pub route: Arc<str>,
    /// Prefix blocks of the prompt; empty for plain services.
    pub blocks: SmallVec<[u64; 8]>,
    pub hash: u64,
    /// Endpoints that just failed this request.
    pub exclude: SmallVec<[Arc<str>; 4]>,
    /// New version that just failed this request.
    pub avoid: Option<Arc<str>>,
}

impl Wish {
    pub fn new(service: Arc<str>, route: Arc<str>, hash: u64) -> Wish {
        let (blocks, exclude) = (SmallVec::new(), SmallVec::new());
        Wish { service, route, blocks, hash, exclude, avoid: None }
    }
}

/// Counts one attempt at an endpoint; dropping it counts as cancelled.
#[derive(Debug)]
pub struct Flight {
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
    /// Requests of this node at the endpoint when the attempt began.
    in_flight: u32,
    settled: bool,
}

/// Tells how an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// The endpoint could not be reached or went silent.
    Connection,
    /// The endpoint answered with an error or a broken answer.
    Answer,
}

/// Chooses an endpoint that is neither leaving nor excluded.
///
/// # Errors
///
/// Fails with `NoEndpoint`; nothing was sent.
pub fn choose(node: &Arc<Node>, catalog: &Catalog, wish: &Wish) -> Result<Flight> {
    let missing = || {
        let detail = format!("service {} has no endpoint that can be used", wish.service);
        Error::new(Kind::NoEndpoint, detail)
    };
    let split = Split::build(catalog, &wish.service).ok_or_else(missing)?;
    let mut choice = split.choose(wish.hash, &node.bad_versions());
    if wish.avoid.as_ref() == Some(&choice.version)
        && let Some(fallback) = choice.fallback.take()
    {
        choice.version = fallback;
    }
    let place = match place(node, catalog, &choice.version, wish) {
        Some(place) => place,
        // A new version whose endpoints are all left out after failures must not fail its callers.
        None => {
            choice.version = choice.fallback.take().ok_or_else(missing)?;
            place(node, catalog, &choice.version, wish).ok_or_else(missing)?
        }
    };
    let Place { pool, selection, in_flight } = place;
    Ok(Flight {
        node: node.clone(),
        vm: selection.id,
        address: selection.address,
        version: choice.version,
        fallback: choice.fallback,
        service: wish.service.clone(),
        route: wish.route.clone(),
        share_permille: choice.share_permille,
        started: Instant::now(),
        settled: false,
        in_flight,
        pool,
    })
}

/// Holds an endpoint that counts one more request from now on.
struct Place {
    pool: Arc<str>,
    selection: Selection,
    /// Requests of this node at the endpoint, this one included.
    in_flight: u32,
}

/// Takes a place at an endpoint of one version.
fn place(node: &Node, catalog: &Catalog, version: &str, wish: &Wish) -> Option<Place> {
    let pool = catalog.version(version)?.pool.clone();
    let now = node.now();
    let key = Key { blocks: &wish.blocks, seed: wish.hash ^ node.next_number() };
    let (selection, in_flight) = node.with_table(&pool, |table| {
        let selection = table.choose(now, key, &wish.exclude)?;
        table.record_start(now, &selection.id);
        let in_flight = table.in_flight(&selection.id);
        Some((selection, in_flight))
    })?;
    Some(Place { pool, selection, in_flight })
}

/// Tells whether a service has any endpoint, be it left out after failures for a moment.
pub fn exists(node: &Node, catalog: &Catalog, service: &str) -> bool {
    let version = catalog.serving_version(service).and_then(|name| catalog.version(&name));
    version.is_some_and(|version| node.with_table(&version.pool, |table| !table.is_empty()))
}

impl Flight {
    /// Takes the load that the endpoint reported with its answer.
    pub fn load(&self, headers: &HeaderMap) {
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

    /// Records an answer; an error status says that the version, not the endpoint, is in trouble.
    pub fn succeeded(mut self, failed: bool, first_byte: Duration, token_gap: Option<Duration>) {
        self.settled = true;
        self.node.with_table(&self.pool, |table| table.record_answer(&self.vm));
        self.observe(failed, first_byte, token_gap);
        self.node.limits.record(&self.vm, first_byte, self.in_flight);
        if !failed {
            self.node.credit_retry(&self.service);
        }
    }

    /// Records an attempt without a whole answer.
    pub fn failed(mut self, trouble: Trouble) {
        self.settled = true;
        let now = self.node.now();
        // An endpoint under notice is expected to break its connections.
        let expected = self.node.is_leaving(&self.vm);
        self.node.with_table(&self.pool, |table| match trouble {
            Trouble::Connection => table.record_failure(now, &self.vm),
            Trouble::Answer => table.record_answer(&self.vm),
        });
        self.node.limits.record_overload(&self.vm);
        if !expected {
            self.observe(true, self.started.elapsed(), None);
        }
    }

    fn observe(&self, failed: bool, first_byte: Duration, token_gap: Option<Duration>) {
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

impl Drop for Flight {
    fn drop(&mut self) {
        if !self.settled {
            self.node.with_table(&self.pool, |table| table.record_cancellation(&self.vm));
        }
    }
}

impl Node {
    /// Takes marks into effect at once and passes new ones on to peers.
    pub fn add_marks(self: &Arc<Node>, marks: Vec<rollout::BadVersion>, source: &str) {
        let mut added = Vec::new();
        for mark in marks {
            if self.bad_versions().insert(mark.clone()) {
                added.push(mark);
            }
        }
        for mark in &added {
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
        if !added.is_empty() && self.network.get().is_some() {
            tokio::spawn(spread(self.clone()));
        }
    }
}

async fn spread(node: Arc<Node>) {
    let all: Vec<_> = node.bad_versions().iter().collect();
    if let Some(network) = node.network.get() {
        network.set_bad_versions(all).await;
    }
}
