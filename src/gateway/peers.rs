//! What the nodes tell each other over UDP, several times a second.
//!
//! Each node sends its whole state of interest, so that a lost datagram is made good by the next.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use crate::gateway::balancer::Load;
use crate::gateway::clock;
use crate::gateway::follow;
use crate::gateway::node::Node;
use crate::gateway::notice::Notice;
use crate::gateway::platform::Rows;
use crate::platform::{Outcome, Transaction};

/// Time between two datagrams to each peer. What is sent to an endpoint in this time is unknown to the
/// other nodes, so that a shorter one spreads a burst better, at more bytes between failure domains.
pub const PERIOD: Duration = Duration::from_millis(100);
/// Least time between two datagrams while a quota is nearly used up: thirty nodes that are asked for
/// many times a quota exceed it by what they admit in this time.
const NEWS_PERIOD: Duration = Duration::from_millis(25);
/// Silence after which a peer is no longer heard.
const SILENCE: Duration = Duration::from_millis(1_000);
/// Silence after which a peer counts as gone for good and leaves its part of the quotas.
const FORGET: Duration = Duration::from_secs(20);
/// Time between two reads of the list of nodes.
const DISCOVERY_PERIOD: Duration = Duration::from_secs(10);
/// Pause after a failed read or write of the list of nodes.
const DISCOVERY_RETRY: Duration = Duration::from_millis(500);
/// Age past which a row of the list of nodes is removed by whoever reads it.
const ROW_AGE_MS: u64 = 60_000;
/// Windows of usage told; older ones have been reported.
const WINDOWS_TOLD: usize = 4;
/// Difference to the other nodes' true time past which this node's own is wrong.
const CLOCK_TOLERANCE_MS: i64 = 400;
/// Largest datagram.
const DATAGRAM_BYTES: usize = 60_000;
/// Starts the keys of the rows that list the nodes.
pub const ROW_PREFIX: &str = "node/";
/// Differs between versions of the datagram that don't understand each other.
const FORMAT: u8 = 3;
/// Marks the datagrams that tell only what was admitted.
const NEWS_FORMAT: u8 = 4;

/// What one node tells its peers.
#[derive(Debug, Serialize, Deserialize)]
pub struct Beat {
    format: u8,
    pub node: Arc<str>,
    /// Tells two starts of a node apart.
    pub start: u64,
    pub serial: u64,
    pub catalog_version: u64,
    pub true_ms: u64,
    /// Set while the node holds the lease of the duties.
    pub holds_duties: bool,
    /// Units of each tenant that the node has admitted since its start.
    pub admitted: Vec<(Arc<str>, u64)>,
    /// Units of each tenant that all nodes have admitted in the window of the quotas.
    pub window_sums: Vec<(Arc<str>, u64)>,
    pub uptime_ms: u64,
    /// Requests of each tenant that began to run, by window.
    pub usage: Vec<(u64, BTreeMap<Arc<str>, u64>)>,
    pub loads: Vec<(Arc<str>, Load)>,
    /// Prompt tokens asked for since the start of the node, by service.
    pub demand: Vec<(Arc<str>, u64)>,
    /// Changes of endpoints that the node has just read.
    pub endpoints: Vec<Notice>,
    /// Good and bad answers of the versions in a roll-out.
    pub tallies: Vec<crate::gateway::shift::Report>,
}

/// What a node tells between two beats when a quota is nearly used up.
#[derive(Debug, Serialize, Deserialize)]
struct News {
    format: u8,
    node: Arc<str>,
    start: u64,
    uptime_ms: u64,
    /// Units that the node has admitted since its start, of the tenants that have changed.
    admitted: Vec<(Arc<str>, u64)>,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    start: u64,
    serial: u64,
    heard: Option<Duration>,
    known: Duration,
    clock_ahead_ms: i64,
    holds_duties: bool,
    loads: Vec<(Arc<str>, Load)>,
    /// Set while the node counts the peer as heard, as its log says.
    was_heard: bool,
}

/// Holds what a node knows about the others.
#[derive(Debug)]
pub struct Peers {
    node: Arc<str>,
    start: u64,
    serial: u64,
    peers: HashMap<Arc<str>, Peer>,
}

impl Peers {
    pub fn new(node: Arc<str>, start: u64) -> Peers {
        Peers { node, start, serial: 0, peers: HashMap::new() }
    }

    /// Takes the address of a node from the list.
    pub fn introduce(&mut self, name: Arc<str>, address: SocketAddr, now: Duration) {
        if name == self.node {
            return;
        }
        let peer = self.peers.entry(name).or_insert(Peer {
            address,
            start: 0,
            serial: 0,
            heard: None,
            known: now,
            clock_ahead_ms: 0,
            holds_duties: false,
            loads: Vec::new(),
            was_heard: false,
        });
        peer.address = address;
    }

    /// Takes a datagram's sender; tells whether its content is newer than what is known.
    fn hear(&mut self, beat: &Beat, from: SocketAddr, my_true_ms: u64, now: Duration) -> bool {
        if beat.node == self.node || beat.format != FORMAT {
            return false;
        }
        self.introduce(beat.node.clone(), from, now);
        let Some(peer) = self.peers.get_mut(&beat.node) else { return false };
        if (beat.start, beat.serial) <= (peer.start, peer.serial) {
            return false;
        }
        (peer.start, peer.serial) = (beat.start, beat.serial);
        peer.heard = Some(now);
        peer.clock_ahead_ms = beat.true_ms as i64 - my_true_ms as i64;
        peer.holds_duties = beat.holds_duties;
        peer.loads.clone_from(&beat.loads);
        true
    }

    /// Counts this node and those that it hears.
    pub fn count(&self, now: Duration) -> usize {
        1 + self.peers.values().filter(|peer| peer.is_heard(now)).count()
    }

    /// Tells whether this node hears from another one that holds the lease of the duties.
    pub fn hears_holder(&self, now: Duration) -> bool {
        self.peers.values().any(|peer| peer.holds_duties && peer.is_heard(now))
    }

    /// Gives the part of the quotas that this node and those it hears may use.
    pub fn share(&self, now: Duration) -> f64 {
        let living = |peer: &&Peer| {
            let last = peer.heard.unwrap_or(peer.known);
            now.saturating_sub(last) < FORGET
        };
        let known = 1 + self.peers.values().filter(living).count();
        self.count(now) as f64 / known as f64
    }

    /// Gives the correction of this node's true time, from the median of all nodes.
    fn clock_correction_ms(&self, now: Duration) -> Option<i64> {
        let heard = self.peers.values().filter(|peer| peer.is_heard(now));
        let mut ahead: Vec<i64> = heard.map(|peer| peer.clock_ahead_ms).collect();
        if ahead.len() < 2 {
            return None;
        }
        ahead.push(0);
        ahead.sort_unstable();
        let median = ahead[ahead.len() / 2];
        (median.abs() > CLOCK_TOLERANCE_MS).then_some(median)
    }

    /// Gives the peers that were lost or regained since the last call, with the age of what is known
    /// of each.
    fn changes(&mut self, now: Duration) -> Vec<(Arc<str>, bool, Duration)> {
        let mut changes = Vec::new();
        for (name, peer) in &mut self.peers {
            let is_heard = peer.is_heard(now);
            if is_heard != peer.was_heard {
                peer.was_heard = is_heard;
                let age = now.saturating_sub(peer.heard.unwrap_or(peer.known));
                changes.push((name.clone(), is_heard, age));
            }
        }
        changes
    }

    /// Gives the age of what is known of each peer.
    pub fn ages(&self, now: Duration) -> impl Iterator<Item = (&Arc<str>, Duration)> {
        self.peers
            .iter()
            .map(move |(name, peer)| (name, now.saturating_sub(peer.heard.unwrap_or(peer.known))))
    }

    fn addresses(&self, now: Duration) -> Vec<SocketAddr> {
        let known = |peer: &&Peer| now.saturating_sub(peer.heard.unwrap_or(peer.known)) < FORGET;
        self.peers.values().filter(known).map(|peer| peer.address).collect()
    }

    fn loads(&self, now: Duration) -> Vec<(Arc<str>, Load)> {
        let heard = self.peers.values().filter(|peer| peer.is_heard(now));
        heard.flat_map(|peer| peer.loads.iter().cloned()).collect()
    }
}

impl Peer {
    fn is_heard(&self, now: Duration) -> bool {
        self.heard.is_some_and(|heard| now.saturating_sub(heard) < SILENCE)
    }
}

/// Sends and receives datagrams until the process ends.
pub async fn talk(node: Rc<Node>, socket: UdpSocket) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    let mut timer = tokio::time::interval(PERIOD);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut news_timer = tokio::time::interval(NEWS_PERIOD);
    news_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut has_news = false;
    loop {
        tokio::select! {
            _ = timer.tick() => send(&node, &socket),
            () = node.quota_update.notified(), if !has_news => has_news = true,
            // The interval keeps the least time between two of these datagrams.
            _ = news_timer.tick(), if has_news => {
                has_news = false;
                send_admitted(&node, &socket);
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => receive(&node, &buffer[..length], from),
                Err(error) => log::debug!("peers: event=receive_failed error=\"{error}\""),
            },
        }
    }
}

/// Collects what this node tells its peers. Each part is taken in a statement of its own, so that no
/// two borrows of the same state overlap.
fn compose(node: &Rc<Node>, now: Duration) -> Beat {
    let (name, start, serial) = {
        let mut peers = node.peers.borrow_mut();
        peers.serial += 1;
        (peers.node.clone(), peers.start, peers.serial)
    };
    let mut quotas = node.quotas.borrow_mut();
    let window_sums = quotas.sums(now);
    let admitted = quotas.tell();
    let usage = node.usage.borrow();
    let usage =
        usage.own_counts(WINDOWS_TOLD).map(|(window, counts)| (window, counts.clone())).collect();
    let board = node.balancer.borrow();
    let loads = board.own_loads().map(|(id, load)| (id.clone(), load)).collect();
    let demand = node.demand.borrow();
    let demand = demand.own().map(|(service, total)| (service.clone(), total)).collect();
    Beat {
        format: FORMAT,
        node: name,
        start,
        serial,
        catalog_version: node.catalog().map_or(0, |catalog| catalog.version),
        true_ms: node.unix_ms(),
        holds_duties: node.holds_duties.get(),
        admitted,
        window_sums,
        uptime_ms: now.saturating_sub(node.started_at).as_millis() as u64,
        usage,
        loads,
        demand,
        endpoints: node.notices.borrow_mut().outgoing(now),
        tallies: node.shifts.borrow().reports(now),
    }
}

fn send(node: &Rc<Node>, socket: &UdpSocket) {
    let now = clock::now();
    let beat = compose(node, now);
    for (peer, is_heard, age) in node.peers.borrow_mut().changes(now) {
        let event = if is_heard { "peer_regained" } else { "peer_lost" };
        log::info!("peers: event={event} peer={peer} age_ms={}", age.as_millis());
    }
    let peers = node.peers.borrow();
    send_all(&beat, peers.addresses(now), socket);
    node.quotas.borrow_mut().set_share(peers.share(now));
    node.balancer.borrow_mut().set_peer_loads(peers.loads(now).into_iter());
    // Requests may wait for room that only peers had taken.
    node.wake_all();
    if let Some(correction) = peers.clock_correction_ms(now) {
        node.unix_offset_ms.set(node.unix_offset_ms.get() + correction);
        log::warn!("peers: event=clock_corrected by_ms={correction}");
    }
}

/// Tells the peers what this node has admitted since it last told.
fn send_admitted(node: &Rc<Node>, socket: &UdpSocket) {
    let admitted = node.quotas.borrow_mut().tell_news();
    let peers = node.peers.borrow();
    let now = clock::now();
    let news = News {
        format: NEWS_FORMAT,
        node: peers.node.clone(),
        start: peers.start,
        uptime_ms: now.saturating_sub(node.started_at).as_millis() as u64,
        admitted,
    };
    send_all(&news, peers.addresses(now), socket);
}

/// Sends a message to all peers; a lost datagram is made good by the next one.
fn send_all(message: &impl Serialize, addresses: Vec<SocketAddr>, socket: &UdpSocket) {
    let bytes = match postcard::to_stdvec(message) {
        Ok(bytes) => bytes,
        Err(error) => return log::error!("peers: event=encode_failed error=\"{error}\""),
    };
    for address in addresses {
        if let Err(error) = socket.try_send_to(&bytes, address) {
            log::debug!("peers: event=send_failed peer={address} error=\"{error}\"");
        }
    }
}

fn receive(node: &Rc<Node>, bytes: &[u8], from: SocketAddr) {
    let result = match bytes.first() {
        Some(&NEWS_FORMAT) => postcard::from_bytes(bytes).map(|news| take_news(node, &news)),
        _ => postcard::from_bytes(bytes).map(|beat| take_beat(node, beat, from)),
    };
    if let Err(error) = result {
        log::debug!("peers: event=bad_datagram from={from} error=\"{error}\"");
    }
}

fn take_news(node: &Rc<Node>, news: &News) {
    let uptime = Duration::from_millis(news.uptime_ms);
    let mut quotas = node.quotas.borrow_mut();
    for (tenant, total) in &news.admitted {
        quotas.hear((&news.node, news.start), tenant, *total, uptime, clock::now());
    }
}

fn take_beat(node: &Rc<Node>, beat: Beat, from: SocketAddr) {
    let now = clock::now();
    if !node.peers.borrow_mut().hear(&beat, from, node.unix_ms(), now) {
        return;
    }
    let mut quotas = node.quotas.borrow_mut();
    let uptime = Duration::from_millis(beat.uptime_ms);
    quotas.adopt(uptime, &beat.window_sums, now);
    for (tenant, total) in &beat.admitted {
        quotas.hear((&beat.node, beat.start), tenant, *total, uptime, now);
    }
    let mut usage = node.usage.borrow_mut();
    for (window, counts) in beat.usage {
        usage.update_peer((beat.node.clone(), beat.start), window, counts);
    }
    for (service, total) in &beat.demand {
        node.demand.borrow_mut().record_peer(&beat.node, beat.start, service, *total);
    }
    node.shifts.borrow_mut().merge_peer(&beat.node, beat.start, beat.tallies, now);
    // The changes wake requests, which use the same state.
    drop((quotas, usage));
    follow::hear(node, &beat.node, beat.endpoints);
}

/// Enters this node into the list in the store, and reads the others from it.
pub async fn discover(node: Rc<Node>) {
    let mut entered = false;
    loop {
        let rows = (node.platform.rows)(ROW_PREFIX.to_owned()).await;
        let pause = match rows {
            Ok(rows) => {
                let entered_now = take_rows(&node, &rows, &mut entered).await;
                if entered_now { DISCOVERY_PERIOD } else { DISCOVERY_RETRY }
            }
            Err(failure) => {
                log::debug!("peers: event=list_unread reason=\"{failure}\"");
                DISCOVERY_RETRY
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Introduces the listed nodes, and writes this node's row when it is missing or old.
async fn take_rows(node: &Rc<Node>, rows: &Rows, entered: &mut bool) -> bool {
    let now = clock::now();
    let own_key = format!("{ROW_PREFIX}{}", node.settings.node);
    let address = node.settings.listen.peers;
    let mut own_version = None;
    let mut own_fresh = false;
    for row in &rows.rows {
        let field = |name: &str| row.value.get(name);
        let at = field("at_ms").and_then(serde_json::Value::as_u64).unwrap_or(0);
        let age = rows.now_ms.saturating_sub(at);
        if row.key == own_key {
            own_version = Some(row.version);
            own_fresh = age < ROW_AGE_MS / 3;
            continue;
        }
        let listed = field("address").and_then(|text| text.as_str()?.parse().ok());
        let name = row.key.strip_prefix(ROW_PREFIX);
        if let (Some(name), Some(listed)) = (name, listed)
            && age < ROW_AGE_MS
        {
            node.peers.borrow_mut().introduce(name.into(), listed, now);
        }
    }
    if *entered && own_fresh {
        return true;
    }
    let value = serde_json::json!({ "address": address.to_string(), "at_ms": rows.now_ms });
    let mut transaction = Transaction::default();
    transaction.put(&own_key, own_version, value);
    let outcome = (node.platform.transact)(transaction).await;
    *entered = matches!(outcome, Ok(Outcome::Done(_)));
    *entered
}
