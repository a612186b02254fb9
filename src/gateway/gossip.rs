//! Datagrams between the nodes: heartbeats of a node, and digests of a failure domain.
//!
//! Each heartbeat and digest holds the whole state that the receivers need, so the next one makes up for a
//! lost datagram; only long lists that change slowly are left out of most heartbeats.

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
use crate::gateway::cold;
use crate::gateway::crash;
use crate::gateway::demand::Demand;
use crate::gateway::follow::{self, Reading};
use crate::gateway::node::Node;
use crate::gateway::notice::Notice;
use crate::gateway::pace::Pace;
use crate::gateway::peers::{self, Beat, Summary};
use crate::gateway::quarantine;
use crate::gateway::quota;
use crate::gateway::rate_limit::{self, Scope};
use crate::gateway::share;
use crate::gateway::shift;
use crate::gateway::speed;
use crate::gateway::statement;

/// Minimum interval between quota updates. Thirty nodes that receive many times the requests of a quota
/// exceed it by what they admit in this time.
const QUOTA_UPDATE_INTERVAL: Duration = Duration::from_millis(25);
/// Number of usage windows in a heartbeat; older ones have been reported to the platform.
const USAGE_WINDOWS: usize = 4;
/// One in this many heartbeats or digests holds the usage windows, all totals and all sums.
const FULL_EVERY: u64 = 5;
/// Time after its start for which a node may hold sums restored from the store.
const RESTORED_TIME: Duration = Duration::from_secs(20);
/// Largest datagram that a node receives.
const MAX_DATAGRAM_BYTES: usize = 60_000;
/// Largest lead of a fencing number, which is at least the corrected time of its holder, over this node's
/// time, in milliseconds.
const MAX_FENCE_LEAD_MS: u64 = 86_400_000;
/// First byte of each kind of datagram. It changes with each incompatible change of the encoding.
const HEARTBEAT_FORMAT: u8 = 22;
const QUOTA_FORMAT: u8 = 4;
const DIGEST_FORMAT: u8 = 23;

type Counts = BTreeMap<Arc<str>, u64>;

/// State of one node, sent to its direct peers at a fixed interval.
#[derive(Debug, Serialize, Deserialize)]
struct Heartbeat {
    format: u8,
    node: Arc<str>,
    domain: Arc<str>,
    /// Wall clock at the start of the process, in Unix milliseconds; distinguishes restarts of a node.
    incarnation: u64,
    sequence: u64,
    catalog_version: u64,
    /// The node's corrected Unix time in milliseconds.
    unix_ms: u64,
    uptime_ms: u64,
    /// Set while the node holds the duties lease.
    holds_duties: bool,
    duties: Duties,
    /// Whether the node's last call to the store succeeded.
    reaches_store: bool,
    /// How old the node's own reads of the store are.
    reading: Option<Reading>,
    /// Quota units that the node has admitted since its start, for the tenants whose total has changed
    /// or, in a full heartbeat, for all.
    admitted: Vec<(Arc<str>, u64)>,
    /// Quota units that the node and its direct peers have admitted for each tenant in the quota window.
    window: Option<Vec<(Arc<str>, quota::Profile)>>,
    /// Those of the units that the node has admitted itself.
    own_sums: Option<Vec<(Arc<str>, u64)>>,
    /// Another live node, a different one each time. Nodes that started together may not have found each
    /// other in the list.
    introduction: Option<Introduction>,
    /// Number of requests of each tenant that started to run, by usage window.
    usage: Vec<(u64, Counts)>,
    loads: Vec<peers::Report>,
    /// Prompt tokens to prefill for callers since the start of the node, by service.
    demand: Vec<(Arc<str>, u64)>,
    /// Answers and late answers since the start of the node, by service.
    answers: Vec<(Arc<str>, u64)>,
    late: Vec<(Arc<str>, u64)>,
    /// Endpoint changes that the node has recently read from the store.
    endpoints: Vec<Notice>,
    /// State of each roll-out, with the good and bad responses of both versions.
    rollouts: Vec<shift::Report>,
    quarantine: quarantine::Report,
    /// Rate limits of endpoints that have changed or, in a full heartbeat, all that responses to the node
    /// have stated.
    limits: Vec<rate_limit::Report>,
    /// Endpoints that the node's own evidence shows as cold, of the same scope.
    cold: Vec<cold::Report>,
    /// Recent use of each service at this node, with tenants and classes while the service is short.
    shares: Vec<(Arc<str>, share::Report)>,
}

/// What outlives the holder of the duties, and the store's memory of it.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Duties {
    /// Highest fencing number that any node is known to have had.
    fence: u64,
    /// Newest usage window whose counts any node is known to have recorded.
    recorded_window: u64,
}

/// Name, failure domain and address of a node.
type Introduction = (Arc<str>, Arc<str>, SocketAddr);

/// Sums over one failure domain, which its relay sends to the relays of the others; these pass them on
/// within their own.
#[derive(Debug, Serialize, Deserialize)]
struct Digest {
    format: u8,
    domain: Arc<str>,
    /// The relay, with the start of its process.
    node: Arc<str>,
    incarnation: u64,
    sequence: u64,
    /// Known and live nodes of the domain.
    nodes: u32,
    live: u32,
    holds_duties: bool,
    duties: Duties,
    /// Quota units admitted for each tenant in the quota window.
    window_sums: Vec<(Arc<str>, u64)>,
    /// Number of requests of each tenant that started to run, by usage window.
    usage: Vec<(u64, Counts)>,
    loads: Vec<peers::Report>,
    /// Prompt tokens to prefill for callers since the relay started, by service.
    demand: Vec<(Arc<str>, u64)>,
    /// Answers and late answers since the relay started, by service.
    answers: Vec<(Arc<str>, u64)>,
    late: Vec<(Arc<str>, u64)>,
    endpoints: Vec<Notice>,
    /// Time since the relay's last failed read of the store, if any.
    outage_age_ms: Option<u64>,
    rollouts: Vec<shift::Report>,
    quarantine: quarantine::Report,
    /// Rate limits that responses to the nodes of the domain have stated.
    limits: Vec<rate_limit::Report>,
    /// Endpoints that the evidence of the nodes of the domain shows as cold.
    cold: Vec<cold::Report>,
    /// Recent use of each service at the nodes of the domain.
    shares: Vec<(Arc<str>, share::Report)>,
}

impl Digest {
    fn outage(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(Duration::from_millis(self.outage_age_ms?)))
    }
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

/// Sends and receives datagrams until the process ends.
pub async fn run(node: Rc<Node>, socket: UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut next_heartbeat = Box::pin(tokio::time::sleep(Duration::ZERO));
    let mut update_timer = tokio::time::interval(QUOTA_UPDATE_INTERVAL);
    update_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut is_update_pending = false;
    let mut relay = Relay::default();
    loop {
        tokio::select! {
            () = next_heartbeat.as_mut() => {
                send_heartbeat(&node, &socket);
                relay.send_if_due(&node, &socket, false);
                let interval = node.peers.borrow().heartbeat_interval();
                next_heartbeat.as_mut().reset(tokio::time::Instant::now() + interval);
            }
            () = node.quota_update.notified(), if !is_update_pending => is_update_pending = true,
            // The timer keeps the minimum interval between two quota updates.
            _ = update_timer.tick(), if is_update_pending => {
                is_update_pending = false;
                send_quota_update(&node, &socket);
                relay.send_if_due(&node, &socket, true);
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => receive(&node, &socket, &buffer[..length], from),
                Err(error) => log::debug!("gossip: event=receive_failed error=\"{error}\""),
            },
        }
    }
}

/// Builds the next heartbeat. Each field is computed in a statement of its own, so that no two borrows
/// of the same state overlap.
fn build_heartbeat(node: &Rc<Node>, now: Duration) -> Heartbeat {
    let mut peers = node.peers.borrow_mut();
    let (name, domain) = (peers.node().clone(), peers.domain().clone());
    let (incarnation, sequence) = (peers.incarnation(), peers.next_sequence());
    let reaches_store = peers.reaches_store();
    let has_young_peer = peers.has_young_peer(now);
    let introduction = peers.introduction(sequence, now);
    drop(peers);
    let is_full = sequence.is_multiple_of(FULL_EVERY);
    let mut quotas = node.quotas.borrow_mut();
    // A peer that has just started waits for the sums.
    let window = (is_full || has_young_peer).then(|| quotas.domain_profiles(now));
    let own_sums = has_young_peer.then(|| quotas.own_sums(now));
    let admitted = if is_full { quotas.report_totals() } else { quotas.report_changed_totals() };
    let usage = node.usage.borrow();
    let usage = usage.own_counts(if is_full { USAGE_WINDOWS } else { 0 });
    let usage = usage.map(|(window, counts)| (window, counts.clone())).collect();
    let balancer = node.balancer.borrow();
    let speeds = node.speeds.borrow();
    let loads = balancer.own_loads();
    let loads = loads.map(|(id, load)| (id.clone(), load, speeds.report(id, now))).collect();
    let demand = node.demand.borrow();
    let demand = demand.own().map(|(service, total)| (service.clone(), total)).collect();
    let lateness = node.lateness.borrow();
    let totals = |counter: &Demand| counter.own().map(|(it, total)| (it.clone(), total)).collect();
    let (answers, late) = (totals(&lateness.answers), totals(&lateness.late));
    let reading = follow::own_reading(node, now);
    let endpoints = match reading {
        Some(_) => node.notices.borrow_mut().outgoing(now),
        None => Vec::new(),
    };
    let scope = match (has_young_peer, is_full) {
        (true, _) => Scope::All,
        (false, true) => Scope::Own,
        (false, false) => Scope::Changed,
    };
    Heartbeat {
        format: HEARTBEAT_FORMAT,
        node: name,
        domain,
        incarnation,
        sequence,
        catalog_version: node.catalog().map_or(0, |catalog| catalog.version),
        unix_ms: node.unix_ms(),
        uptime_ms: now.saturating_sub(node.started_at).as_millis() as u64,
        holds_duties: node.holds_duties.get(),
        duties: known_duties(node),
        reaches_store,
        reading,
        admitted,
        window,
        own_sums,
        introduction,
        usage,
        loads,
        demand,
        answers,
        late,
        endpoints,
        rollouts: node.shifts.borrow().reports(now),
        quarantine: node.quarantine.borrow_mut().report(now),
        limits: node.roster.borrow().stated.limit_reports(scope, now),
        cold: node.roster.borrow().stated.cold.reports(scope, now),
        shares: node.share_reports(false, now),
    }
}

fn known_duties(node: &Node) -> Duties {
    Duties { fence: node.known_fence.get(), recorded_window: node.recorded_window.get() }
}

fn merge_duties(node: &Node, duties: Duties) {
    // A broken datagram must not use up the fencing numbers.
    if duties.fence <= node.unix_ms() + MAX_FENCE_LEAD_MS {
        node.known_fence.set(node.known_fence.get().max(duties.fence));
    }
    // A window of the future can't have been recorded.
    if duties.recorded_window <= node.report_window() {
        let newest = node.recorded_window.get().max(duties.recorded_window);
        node.recorded_window.set(newest);
    }
}

/// Sends a heartbeat and applies what has changed with the state of the peers: their liveness, the quota
/// share, the loads of the endpoints and the clock correction.
fn send_heartbeat(node: &Rc<Node>, socket: &UdpSocket) {
    let now = clock::now();
    node.peers.borrow_mut().refresh(now);
    node.shifts.borrow_mut().judge(now);
    let heartbeat = build_heartbeat(node, now);
    for (peer, is_alive, age) in node.peers.borrow_mut().liveness_changes(now) {
        let event = if is_alive { "peer_regained" } else { "peer_lost" };
        log::info!("peers: event={event} peer={peer} age_ms={}", age.as_millis());
    }
    let peers = node.peers.borrow();
    broadcast(&heartbeat, peers.direct_addresses(now), socket);
    node.quotas.borrow_mut().set_share(peers.quota_share(now));
    let fleet = peers.fleet(now);
    node.roster.borrow_mut().stated.cold.set_fleet(&fleet, now);
    node.roster.borrow_mut().stated.limits.set_fleet(fleet, now);
    let reports = peers.loads(now);
    let loads = reports.iter().map(|((id, load, _), _)| (id.clone(), *load));
    node.balancer.borrow_mut().set_peer_loads(loads);
    let speeds = reports.iter().map(|((id, _, report), age)| (id, *report, *age));
    node.speeds.borrow_mut().set_peers(speeds, now);
    for speed::Change { endpoint, is_slow, factor } in node.speeds.borrow_mut().refresh(now) {
        let event = if is_slow { "endpoint_slow" } else { "endpoint_recovered" };
        log::info!("speed: event={event} endpoint={endpoint} factor={factor:.2}");
    }
    // A peer may have released capacity that queued requests wait for.
    node.wake_all();
    if let Some(correction) = peers.clock_correction_ms(now) {
        node.unix_offset_ms.set(node.unix_offset_ms.get() + correction);
        log::warn!("peers: event=clock_corrected by_ms={correction}");
    }
}

/// Sends the direct peers the totals of the tenants whose admitted units have changed since the last
/// report.
fn send_quota_update(node: &Rc<Node>, socket: &UdpSocket) {
    let admitted = node.quotas.borrow_mut().report_changed_totals();
    let peers = node.peers.borrow();
    let now = clock::now();
    let update = QuotaUpdate {
        format: QUOTA_FORMAT,
        node: peers.node().clone(),
        incarnation: peers.incarnation(),
        uptime_ms: now.saturating_sub(node.started_at).as_millis() as u64,
        admitted,
    };
    broadcast(&update, peers.direct_addresses(now), socket);
}

/// Sends the digests while this node is the relay of its failure domain.
#[derive(Debug, Default)]
struct Relay {
    sequence: u64,
    pace: Pace,
}

impl Relay {
    /// Sends a digest if one is due and this node is the relay. `follows_update` states that this node has just
    /// sent a quota update.
    fn send_if_due(&mut self, node: &Rc<Node>, socket: &UdpSocket, follows_update: bool) {
        let now = clock::now();
        if !self.pace.is_due(follows_update, now) || !node.peers.borrow().is_relay(now) {
            return;
        }
        self.pace.record_digest(now);
        self.sequence += 1;
        let digest = build_digest(node, self.sequence, now);
        let addresses = node.peers.borrow().relay_addresses(self.sequence, now);
        broadcast(&digest, addresses, socket);
    }
}

fn build_digest(node: &Rc<Node>, sequence: u64, now: Duration) -> Digest {
    let peers = node.peers.borrow();
    let (nodes, live) = peers.domain_counts(now);
    let mut loads: HashMap<Arc<str>, (Load, speed::Mean)> = HashMap::new();
    let balancer = node.balancer.borrow();
    let speeds = node.speeds.borrow();
    let own =
        balancer.own_loads().map(|(id, load)| (id, load, speeds.report(id, now), Duration::ZERO));
    let direct = peers.direct_loads(now).map(|((id, load, speed), age)| (id, *load, *speed, age));
    for (endpoint, load, speed, age) in own.chain(direct) {
        let (total, mean) = loads.entry(endpoint.clone()).or_default();
        total.add(load);
        mean.add_report(speed, age);
    }
    let loads = loads.into_iter().map(|(id, (load, mean))| (id, load, mean.report()));
    let outage = node.roster.borrow().last_outage();
    let usage_windows = if sequence.is_multiple_of(FULL_EVERY) { USAGE_WINDOWS } else { 0 };
    Digest {
        format: DIGEST_FORMAT,
        domain: peers.domain().clone(),
        node: peers.node().clone(),
        incarnation: peers.incarnation(),
        sequence,
        nodes,
        live,
        holds_duties: node.holds_duties.get() || peers.has_live_direct_holder(now),
        duties: known_duties(node),
        window_sums: node.quotas.borrow_mut().domain_sums(now),
        usage: node.usage.borrow().domain_sums(usage_windows),
        loads: loads.collect(),
        demand: node.demand.borrow().domain_totals(),
        answers: node.lateness.borrow().answers.domain_totals(),
        late: node.lateness.borrow().late.domain_totals(),
        endpoints: node.notices.borrow_mut().outgoing(now),
        outage_age_ms: outage.map(|outage| now.saturating_sub(outage).as_millis() as u64),
        rollouts: node.shifts.borrow().domain_reports(now),
        quarantine: node.quarantine.borrow_mut().report(now),
        limits: node.roster.borrow().stated.limit_reports(Scope::Domain, now),
        cold: node.roster.borrow().stated.cold.reports(Scope::Domain, now),
        shares: node.share_reports(true, now),
    }
}

/// Sends a message to several nodes; send errors are only logged, as the next datagram makes up for them.
fn broadcast(message: &impl Serialize, addresses: Vec<SocketAddr>, socket: &UdpSocket) {
    match postcard::to_stdvec(message) {
        Ok(bytes) => send_all(&bytes, addresses, socket),
        Err(error) => log::error!("gossip: event=encode_failed error=\"{error}\""),
    }
}

fn send_all(bytes: &[u8], addresses: Vec<SocketAddr>, socket: &UdpSocket) {
    for address in addresses {
        if let Err(error) = socket.try_send_to(bytes, address) {
            log::debug!("gossip: event=send_failed peer={address} error=\"{error}\"");
        }
    }
}

fn receive(node: &Rc<Node>, socket: &UdpSocket, data: &[u8], from: SocketAddr) {
    let result = match data.first() {
        Some(&QUOTA_FORMAT) => postcard::from_bytes(data).map(|update| apply_update(node, &update)),
        Some(&DIGEST_FORMAT) => postcard::from_bytes(data).map(|digest| {
            if apply_digest(node, digest) {
                pass_on(node, socket, data, from);
            }
        }),
        Some(&HEARTBEAT_FORMAT) => {
            postcard::from_bytes(data).map(|heartbeat| apply_heartbeat(node, heartbeat, from))
        }
        _ => return log::debug!("gossip: event=unknown_datagram from={from}"),
    };
    if let Err(error) = result {
        log::debug!("gossip: event=bad_datagram from={from} error=\"{error}\"");
    }
}

/// Passes a digest that came from another failure domain on within this one, if this node is its relay.
fn pass_on(node: &Rc<Node>, socket: &UdpSocket, data: &[u8], from: SocketAddr) {
    let now = clock::now();
    let peers = node.peers.borrow();
    if peers.is_relay(now) && !peers.is_in_domain(from) {
        send_all(data, peers.direct_addresses(now), socket);
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
    let beat = Beat {
        node: &heartbeat.node,
        domain: &heartbeat.domain,
        incarnation: heartbeat.incarnation,
        sequence: heartbeat.sequence,
        unix_ms: heartbeat.unix_ms,
        uptime_ms: heartbeat.uptime_ms,
        holds_duties: heartbeat.holds_duties,
        reaches_store: heartbeat.reaches_store,
        loads: &heartbeat.loads,
    };
    let receipt = node.peers.borrow_mut().record_heartbeat(&beat, from, node.unix_ms(), now);
    let Some(receipt) = receipt else { return };
    node.record_told_catalog(heartbeat.catalog_version, now);
    merge_duties(node, heartbeat.duties);
    let source = (&heartbeat.node, heartbeat.incarnation);
    let mut quotas = node.quotas.borrow_mut();
    let uptime = Duration::from_millis(heartbeat.uptime_ms);
    if let Some(profiles) = &heartbeat.window {
        quotas.adopt_profiles(uptime, profiles, now);
    }
    if let Some(own_sums) = &heartbeat.own_sums {
        quotas.learn_own_sums(source.0, uptime, own_sums, now);
    }
    if let Some((name, domain, address)) = heartbeat.introduction {
        node.peers.borrow_mut().add_introduced(name, domain, address, now);
    }
    for (tenant, total) in &heartbeat.admitted {
        quotas.record_peer_total(source, tenant, *total, uptime, now);
    }
    let mut usage = node.usage.borrow_mut();
    if now.saturating_sub(node.started_at) < RESTORED_TIME
        && node.peers.borrow().has_older_peer(now)
    {
        usage.forget_domain(&node.settings.failure_domain);
    }
    for (window, counts) in heartbeat.usage {
        usage.update_peer((heartbeat.node.clone(), heartbeat.incarnation), window, counts);
    }
    for (service, total) in &heartbeat.demand {
        node.demand.borrow_mut().record_peer(source.0, source.1, service, *total);
    }
    let mut lateness = node.lateness.borrow_mut();
    for (service, total) in &heartbeat.answers {
        lateness.answers.record_peer(source.0, source.1, service, *total);
    }
    for (service, total) in &heartbeat.late {
        lateness.late.record_peer(source.0, source.1, service, *total);
    }
    drop(lateness);
    node.shifts.borrow_mut().merge_peer(source.0, source.1, heartbeat.rollouts, now);
    merge_quarantine(node, source.0, &heartbeat.quarantine, now);
    let delay = receipt.delay.unwrap_or_default();
    statement::apply_reports(node, source.0, &heartbeat.limits, false, delay);
    statement::apply_cold(node, source.0, &heartbeat.cold, false, delay);
    let sent_at = now.saturating_sub(delay);
    for (service, report) in heartbeat.shares {
        node.with_share(&service, |share| share.set_peer(source.0, report, sent_at));
    }
    // Endpoint changes wake queued requests, which borrow the same state.
    drop((quotas, usage));
    let outage = heartbeat.reading.as_ref().and_then(|reading| reading.outage(now));
    follow::apply_peer_changes(node, &heartbeat.node, heartbeat.endpoints, outage);
    if let Some(reading) = heartbeat.reading {
        follow::apply_reading(node, &reading, receipt, now);
    }
}

fn merge_quarantine(node: &Node, peer: &str, report: &quarantine::Report, now: Duration) {
    let parts = node.quarantine.borrow_mut().merge(report, now);
    crash::record_quarantined(node, &parts, peer);
}

/// Applies the sums of another failure domain; returns whether they are new to this node.
fn apply_digest(node: &Rc<Node>, digest: Digest) -> bool {
    let now = clock::now();
    let summary = Summary {
        domain: &digest.domain,
        node: &digest.node,
        incarnation: digest.incarnation,
        sequence: digest.sequence,
        nodes: digest.nodes,
        live: digest.live,
        holds_duties: digest.holds_duties,
        loads: &digest.loads,
    };
    if !node.peers.borrow_mut().record_digest(&summary, now) {
        return false;
    }
    merge_duties(node, digest.duties);
    let outage = digest.outage(now);
    let domain = &digest.domain;
    let mut quotas = node.quotas.borrow_mut();
    quotas.set_domain_sums(domain, &digest.node, &digest.window_sums, now);
    drop(quotas);
    for (window, counts) in digest.usage {
        node.usage.borrow_mut().merge_domain(domain, window, counts);
    }
    for (service, total) in &digest.demand {
        node.demand.borrow_mut().record_domain(domain, digest.incarnation, service, *total);
    }
    let mut lateness = node.lateness.borrow_mut();
    for (service, total) in &digest.answers {
        lateness.answers.record_domain(domain, digest.incarnation, service, *total);
    }
    for (service, total) in &digest.late {
        lateness.late.record_domain(domain, digest.incarnation, service, *total);
    }
    drop(lateness);
    let start = crate::gateway::usage::DOMAIN_START;
    node.shifts.borrow_mut().merge_peer(domain, start, digest.rollouts, now);
    merge_quarantine(node, &digest.node, &digest.quarantine, now);
    statement::apply_reports(node, &digest.node, &digest.limits, true, Duration::ZERO);
    statement::apply_cold(node, &digest.node, &digest.cold, true, Duration::ZERO);
    for (service, report) in digest.shares {
        node.with_share(&service, |share| share.set_domain(domain, report, now));
    }
    follow::apply_peer_changes(node, &digest.node, digest.endpoints, outage);
    true
}
