//! Gossip of state between the nodes over UDP, several times a second.
//!
//! Each heartbeat holds all state that the peers need, so the next one makes up for a lost datagram.

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

/// Interval between heartbeats to each peer. The other nodes don't know of requests that a node sent to
/// an endpoint within this time, so a shorter interval spreads a burst better but sends more bytes
/// between failure domains.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between quota updates. Thirty nodes that receive many times the requests of a quota
/// exceed it by what they admit in this time.
const QUOTA_UPDATE_INTERVAL: Duration = Duration::from_millis(25);
/// Time without a heartbeat after which a peer is no longer alive.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time without a heartbeat after which a peer is presumed removed: it gets no more datagrams, and its
/// share of the quotas goes to the other nodes.
const PEER_TTL: Duration = Duration::from_secs(20);
/// Interval between reads of the list of nodes.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(10);
/// Delay after a failed read or write of the list of nodes.
const DISCOVERY_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Age from which a row in the list of nodes is ignored.
const ROW_TTL_MS: u64 = 60_000;
/// Number of usage windows in a heartbeat; older ones have been reported to the platform.
const USAGE_WINDOWS: usize = 4;
/// Offset from the median clock of all nodes above which this node corrects its own.
const MAX_CLOCK_OFFSET_MS: i64 = 400;
/// Largest datagram that a node receives.
const MAX_DATAGRAM_BYTES: usize = 60_000;
/// Key prefix of the rows that list the nodes.
pub const ROW_PREFIX: &str = "node/";
/// Version of the heartbeat encoding; it changes with each incompatible change.
const HEARTBEAT_FORMAT: u8 = 3;
/// First byte of a quota update, which tells it apart from a heartbeat.
const QUOTA_FORMAT: u8 = 4;

/// State of one node, sent to all peers at a fixed interval.
#[derive(Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    format: u8,
    pub node: Arc<str>,
    /// Wall clock at the start of the process, in Unix milliseconds; distinguishes restarts of a node.
    pub incarnation: u64,
    pub sequence: u64,
    pub catalog_version: u64,
    /// The node's corrected Unix time in milliseconds.
    pub unix_ms: u64,
    /// Set while the node holds the duties lease.
    pub holds_duties: bool,
    /// Quota units that the node has admitted for each tenant since its start.
    pub admitted: Vec<(Arc<str>, u64)>,
    /// Quota units that all nodes have admitted for each tenant in the quota window.
    pub window_sums: Vec<(Arc<str>, u64)>,
    pub uptime_ms: u64,
    /// Number of requests of each tenant that started to run, by usage window.
    pub usage: Vec<(u64, BTreeMap<Arc<str>, u64>)>,
    pub loads: Vec<(Arc<str>, Load)>,
    /// Prompt tokens that callers have requested since the start of the node, by service.
    pub demand: Vec<(Arc<str>, u64)>,
    /// Endpoint changes that the node has recently read from the store.
    pub endpoints: Vec<Notice>,
    /// State of each roll-out, with the good and bad responses of both versions.
    pub rollouts: Vec<crate::gateway::shift::Report>,
}

/// Admitted units that a node sends between two heartbeats while a quota is nearly exhausted.
#[derive(Debug, Serialize, Deserialize)]
struct QuotaUpdate {
    format: u8,
    node: Arc<str>,
    incarnation: u64,
    uptime_ms: u64,
    /// Quota units that the node has admitted since its start, for each tenant whose total has changed.
    admitted: Vec<(Arc<str>, u64)>,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    incarnation: u64,
    sequence: u64,
    /// Time of the last heartbeat.
    seen: Option<Duration>,
    added: Duration,
    clock_offset_ms: i64,
    holds_duties: bool,
    loads: Vec<(Arc<str>, Load)>,
    /// Whether the peer was alive when its liveness was last logged.
    was_alive: bool,
}

/// Peers of a node and the state that each last reported.
#[derive(Debug)]
pub struct Peers {
    node: Arc<str>,
    incarnation: u64,
    sequence: u64,
    peers: HashMap<Arc<str>, Peer>,
}

impl Peers {
    pub fn new(node: Arc<str>, incarnation: u64) -> Peers {
        Peers { node, incarnation, sequence: 0, peers: HashMap::new() }
    }

    /// Adds a peer or updates its address; ignores this node itself.
    pub fn add(&mut self, name: Arc<str>, address: SocketAddr, now: Duration) {
        if name == self.node {
            return;
        }
        let peer = self.peers.entry(name).or_insert(Peer {
            address,
            incarnation: 0,
            sequence: 0,
            seen: None,
            added: now,
            clock_offset_ms: 0,
            holds_duties: false,
            loads: Vec::new(),
            was_alive: false,
        });
        peer.address = address;
    }

    /// Records a heartbeat and its sender's address; returns whether it is newer than the last one.
    fn record_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        from: SocketAddr,
        local_unix_ms: u64,
        now: Duration,
    ) -> bool {
        if heartbeat.node == self.node || heartbeat.format != HEARTBEAT_FORMAT {
            return false;
        }
        self.add(heartbeat.node.clone(), from, now);
        let Some(peer) = self.peers.get_mut(&heartbeat.node) else { return false };
        if (heartbeat.incarnation, heartbeat.sequence) <= (peer.incarnation, peer.sequence) {
            return false;
        }
        (peer.incarnation, peer.sequence) = (heartbeat.incarnation, heartbeat.sequence);
        peer.seen = Some(now);
        peer.clock_offset_ms = heartbeat.unix_ms as i64 - local_unix_ms as i64;
        peer.holds_duties = heartbeat.holds_duties;
        peer.loads.clone_from(&heartbeat.loads);
        true
    }

    /// Returns the number of live nodes, including this one.
    pub fn live_count(&self, now: Duration) -> usize {
        1 + self.peers.values().filter(|peer| peer.is_alive(now)).count()
    }

    /// Reports whether a live peer holds the duties lease.
    pub fn has_live_holder(&self, now: Duration) -> bool {
        self.peers.values().any(|peer| peer.holds_duties && peer.is_alive(now))
    }

    /// Returns the fraction of the quotas that the live nodes may use: the live ones among all nodes
    /// that have not expired.
    pub fn quota_share(&self, now: Duration) -> f64 {
        let known = |peer: &&Peer| {
            let seen = peer.seen.unwrap_or(peer.added);
            now.saturating_sub(seen) < PEER_TTL
        };
        let total = 1 + self.peers.values().filter(known).count();
        self.live_count(now) as f64 / total as f64
    }

    /// Returns the correction of this node's Unix time, in milliseconds, to the median of all live nodes.
    ///
    /// Returns `None` while the offset is tolerable or fewer than two peers are alive.
    fn clock_correction_ms(&self, now: Duration) -> Option<i64> {
        let alive = self.peers.values().filter(|peer| peer.is_alive(now));
        let mut offsets: Vec<i64> = alive.map(|peer| peer.clock_offset_ms).collect();
        if offsets.len() < 2 {
            return None;
        }
        offsets.push(0);
        offsets.sort_unstable();
        let median = offsets[offsets.len() / 2];
        (median.abs() > MAX_CLOCK_OFFSET_MS).then_some(median)
    }

    /// Returns the peers whose liveness has changed since the last call: their name, whether they are
    /// alive, and the time since their last heartbeat or, without one, since they were added.
    fn liveness_changes(&mut self, now: Duration) -> Vec<(Arc<str>, bool, Duration)> {
        let mut changes = Vec::new();
        for (name, peer) in &mut self.peers {
            let is_alive = peer.is_alive(now);
            if is_alive != peer.was_alive {
                peer.was_alive = is_alive;
                let age = now.saturating_sub(peer.seen.unwrap_or(peer.added));
                changes.push((name.clone(), is_alive, age));
            }
        }
        changes
    }

    /// Returns the time since the last heartbeat of each peer or, without one, since it was added.
    pub fn ages(&self, now: Duration) -> impl Iterator<Item = (&Arc<str>, Duration)> {
        self.peers
            .iter()
            .map(move |(name, peer)| (name, now.saturating_sub(peer.seen.unwrap_or(peer.added))))
    }

    fn addresses(&self, now: Duration) -> Vec<SocketAddr> {
        let known = |peer: &&Peer| now.saturating_sub(peer.seen.unwrap_or(peer.added)) < PEER_TTL;
        self.peers.values().filter(known).map(|peer| peer.address).collect()
    }

    fn loads(&self, now: Duration) -> Vec<(Arc<str>, Load)> {
        let alive = self.peers.values().filter(|peer| peer.is_alive(now));
        alive.flat_map(|peer| peer.loads.iter().cloned()).collect()
    }
}

impl Peer {
    fn is_alive(&self, now: Duration) -> bool {
        self.seen.is_some_and(|seen| now.saturating_sub(seen) < PEER_TIMEOUT)
    }
}

/// Sends and receives datagrams until the process ends.
pub async fn run(node: Rc<Node>, socket: UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut timer = tokio::time::interval(HEARTBEAT_INTERVAL);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut update_timer = tokio::time::interval(QUOTA_UPDATE_INTERVAL);
    update_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut is_update_pending = false;
    loop {
        tokio::select! {
            _ = timer.tick() => send_heartbeat(&node, &socket),
            () = node.quota_update.notified(), if !is_update_pending => is_update_pending = true,
            // The timer keeps the minimum interval between two quota updates.
            _ = update_timer.tick(), if is_update_pending => {
                is_update_pending = false;
                send_quota_update(&node, &socket);
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => receive(&node, &buffer[..length], from),
                Err(error) => log::debug!("peers: event=receive_failed error=\"{error}\""),
            },
        }
    }
}

/// Builds the next heartbeat. Each field is computed in a statement of its own, so that no two borrows
/// of the same state overlap.
fn build_heartbeat(node: &Rc<Node>, now: Duration) -> Heartbeat {
    let (name, incarnation, sequence) = {
        let mut peers = node.peers.borrow_mut();
        peers.sequence += 1;
        (peers.node.clone(), peers.incarnation, peers.sequence)
    };
    let mut quotas = node.quotas.borrow_mut();
    let window_sums = quotas.sums(now);
    let admitted = quotas.report_totals();
    let usage = node.usage.borrow();
    let usage =
        usage.own_counts(USAGE_WINDOWS).map(|(window, counts)| (window, counts.clone())).collect();
    let balancer = node.balancer.borrow();
    let loads = balancer.own_loads().map(|(id, load)| (id.clone(), load)).collect();
    let demand = node.demand.borrow();
    let demand = demand.own().map(|(service, total)| (service.clone(), total)).collect();
    Heartbeat {
        format: HEARTBEAT_FORMAT,
        node: name,
        incarnation,
        sequence,
        catalog_version: node.catalog().map_or(0, |catalog| catalog.version),
        unix_ms: node.unix_ms(),
        holds_duties: node.holds_duties.get(),
        admitted,
        window_sums,
        uptime_ms: now.saturating_sub(node.started_at).as_millis() as u64,
        usage,
        loads,
        demand,
        endpoints: node.notices.borrow_mut().outgoing(now),
        rollouts: node.shifts.borrow().reports(now),
    }
}

/// Sends a heartbeat and applies what has changed with the state of the peers: their liveness, the quota
/// share, the loads of the endpoints and the clock correction.
fn send_heartbeat(node: &Rc<Node>, socket: &UdpSocket) {
    let now = clock::now();
    let heartbeat = build_heartbeat(node, now);
    for (peer, is_alive, age) in node.peers.borrow_mut().liveness_changes(now) {
        let event = if is_alive { "peer_regained" } else { "peer_lost" };
        log::info!("peers: event={event} peer={peer} age_ms={}", age.as_millis());
    }
    let peers = node.peers.borrow();
    broadcast(&heartbeat, peers.addresses(now), socket);
    node.quotas.borrow_mut().set_share(peers.quota_share(now));
    node.balancer.borrow_mut().set_peer_loads(peers.loads(now).into_iter());
    // A peer may have released capacity that queued requests wait for.
    node.wake_all();
    if let Some(correction) = peers.clock_correction_ms(now) {
        node.unix_offset_ms.set(node.unix_offset_ms.get() + correction);
        log::warn!("peers: event=clock_corrected by_ms={correction}");
    }
}

/// Sends the peers the totals of the tenants whose admitted units have changed since the last report.
fn send_quota_update(node: &Rc<Node>, socket: &UdpSocket) {
    let admitted = node.quotas.borrow_mut().report_changed_totals();
    let peers = node.peers.borrow();
    let now = clock::now();
    let update = QuotaUpdate {
        format: QUOTA_FORMAT,
        node: peers.node.clone(),
        incarnation: peers.incarnation,
        uptime_ms: now.saturating_sub(node.started_at).as_millis() as u64,
        admitted,
    };
    broadcast(&update, peers.addresses(now), socket);
}

/// Sends a message to all peers; send errors are only logged, as the next datagram makes up for them.
fn broadcast(message: &impl Serialize, addresses: Vec<SocketAddr>, socket: &UdpSocket) {
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

fn receive(node: &Rc<Node>, data: &[u8], from: SocketAddr) {
    let result = match data.first() {
        Some(&QUOTA_FORMAT) => postcard::from_bytes(data).map(|update| apply_update(node, &update)),
        _ => postcard::from_bytes(data).map(|heartbeat| apply_heartbeat(node, heartbeat, from)),
    };
    if let Err(error) = result {
        log::debug!("peers: event=bad_datagram from={from} error=\"{error}\"");
    }
}

fn apply_update(node: &Rc<Node>, update: &QuotaUpdate) {
    let uptime = Duration::from_millis(update.uptime_ms);
    let mut quotas = node.quotas.borrow_mut();
    for (tenant, total) in &update.admitted {
        quotas.record_peer_total(
            (&update.node, update.incarnation),
            tenant,
            *total,
            uptime,
            clock::now(),
        );
    }
}

fn apply_heartbeat(node: &Rc<Node>, heartbeat: Heartbeat, from: SocketAddr) {
    let now = clock::now();
    if !node.peers.borrow_mut().record_heartbeat(&heartbeat, from, node.unix_ms(), now) {
        return;
    }
    let mut quotas = node.quotas.borrow_mut();
    let uptime = Duration::from_millis(heartbeat.uptime_ms);
    quotas.adopt_sums(uptime, &heartbeat.window_sums, now);
    for (tenant, total) in &heartbeat.admitted {
        quotas.record_peer_total(
            (&heartbeat.node, heartbeat.incarnation),
            tenant,
            *total,
            uptime,
            now,
        );
    }
    let mut usage = node.usage.borrow_mut();
    for (window, counts) in heartbeat.usage {
        usage.update_peer((heartbeat.node.clone(), heartbeat.incarnation), window, counts);
    }
    for (service, total) in &heartbeat.demand {
        node.demand.borrow_mut().record_peer(
            &heartbeat.node,
            heartbeat.incarnation,
            service,
            *total,
        );
    }
    node.shifts.borrow_mut().merge_peer(
        &heartbeat.node,
        heartbeat.incarnation,
        heartbeat.rollouts,
        now,
    );
    // Endpoint changes wake queued requests, which borrow the same state.
    drop((quotas, usage));
    follow::apply_peer_changes(node, &heartbeat.node, heartbeat.endpoints);
}

/// Registers this node in the list in the store and reads the other nodes from it, until the process
/// ends.
pub async fn discover(node: Rc<Node>) {
    let mut is_registered = false;
    loop {
        let rows = (node.platform.rows)(ROW_PREFIX.to_owned()).await;
        let delay = match rows {
            Ok(rows) => {
                let is_listed = apply_rows(&node, &rows, &mut is_registered).await;
                if is_listed { DISCOVERY_INTERVAL } else { DISCOVERY_RETRY_DELAY }
            }
            Err(failure) => {
                log::debug!("peers: event=list_unread reason=\"{failure}\"");
                DISCOVERY_RETRY_DELAY
            }
        };
        tokio::time::sleep(delay).await;
    }
}

/// Adds the listed nodes as peers, and writes this node's row when it is missing or a third of its
/// lifetime old; returns whether this node is registered.
async fn apply_rows(node: &Rc<Node>, rows: &Rows, is_registered: &mut bool) -> bool {
    let now = clock::now();
    let own_key = format!("{ROW_PREFIX}{}", node.settings.node);
    let address = node.settings.listen.peers;
    let mut own_version = None;
    let mut is_own_fresh = false;
    for row in &rows.rows {
        let field = |name: &str| row.value.get(name);
        let written_ms = field("at_ms").and_then(serde_json::Value::as_u64).unwrap_or(0);
        let age = rows.now_ms.saturating_sub(written_ms);
        if row.key == own_key {
            own_version = Some(row.version);
            is_own_fresh = age < ROW_TTL_MS / 3;
            continue;
        }
        let listed_address = field("address").and_then(|text| text.as_str()?.parse().ok());
        let name = row.key.strip_prefix(ROW_PREFIX);
        if let (Some(name), Some(listed_address)) = (name, listed_address)
            && age < ROW_TTL_MS
        {
            node.peers.borrow_mut().add(name.into(), listed_address, now);
        }
    }
    if *is_registered && is_own_fresh {
        return true;
    }
    let value = serde_json::json!({ "address": address.to_string(), "at_ms": rows.now_ms });
    let mut transaction = Transaction::default();
    transaction.put(&own_key, own_version, value);
    let outcome = (node.platform.transact)(transaction).await;
    *is_registered = matches!(outcome, Ok(Outcome::Done(_)));
    *is_registered
}
