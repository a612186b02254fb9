//! What nodes send to each other and which roles they take, in fleets of different sizes, without a
//! network.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::peers::{Beat, DIGEST_INTERVAL, MAX_DIRECT_NODES, Peers, Summary};

const STEP: Duration = Duration::from_millis(10);

/// A simulated node.
struct Member {
    name: Arc<str>,
    domain: Arc<str>,
    peers: Peers,
    started: Duration,
    next_beat: Duration,
    next_digest: Duration,
    sequence: u64,
    /// Whether the node is frozen or dead.
    is_silent: bool,
    received: u32,
}

struct Fleet {
    now: Duration,
    members: Vec<Member>,
    by_address: HashMap<SocketAddr, usize>,
    /// Domain whose datagrams to and from the others are lost.
    cut_off: Option<Arc<str>>,
}

fn address(index: usize) -> SocketAddr {
    ([10, 0, (index / 250) as u8, (index % 250) as u8], 7_600).into()
}

impl Fleet {
    /// Starts nodes in failure domains, all of which have read the list of all nodes.
    fn new(nodes: usize, domains: usize) -> Fleet {
        let now = Duration::from_secs(100);
        let domain = |index: usize| Arc::from(format!("domain-{}", index % domains));
        let name = |index: usize| Arc::from(format!("node-{index}"));
        let member = |index: usize| {
            let mut peers = Peers::new(name(index), domain(index), 1, now);
            for other in 0..nodes {
                peers.add(name(other), Some(domain(other)), address(other), now);
            }
            Member {
                name: name(index),
                domain: domain(index),
                peers,
                started: now,
                next_beat: now + Duration::from_millis(index as u64 * 7 % 100),
                next_digest: now,
                sequence: 0,
                is_silent: false,
                received: 0,
            }
        };
        let members = (0..nodes).map(member).collect();
        let by_address = (0..nodes).map(|index| (address(index), index)).collect();
        Fleet { now, members, by_address, cut_off: None }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for index in 0..self.members.len() {
                if !self.members[index].is_silent && self.now >= self.members[index].next_beat {
                    self.send(index);
                }
            }
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.members[from], &self.members[to]);
        let is_cut = |member: &Member| self.cut_off.as_ref() == Some(&member.domain);
        !to.is_silent && is_cut(from) == is_cut(to)
    }

    fn send(&mut self, index: usize) {
        let now = self.now;
        let member = &mut self.members[index];
        member.peers.refresh(now);
        member.next_beat = now + member.peers.heartbeat_interval();
        let sequence = member.peers.next_sequence();
        let uptime_ms = (now - member.started).as_millis() as u64;
        let (name, domain) = (member.name.clone(), member.domain.clone());
        let targets = member.peers.direct_addresses(now);
        for target in targets {
            let to = self.by_address[&target];
            if !self.reaches(index, to) {
                continue;
            }
            let beat = Beat {
                node: &name,
                domain: &domain,
                incarnation: 1,
                sequence,
                unix_ms: now.as_millis() as u64,
                uptime_ms,
                holds_duties: false,
                reaches_store: true,
                loads: &[],
            };
            let receiver = &mut self.members[to];
            receiver.received += 1;
            receiver.peers.record_heartbeat(&beat, address(index), now.as_millis() as u64, now);
        }
        if now >= self.members[index].next_digest && self.members[index].peers.is_relay(now) {
            self.members[index].next_digest = now + DIGEST_INTERVAL;
            self.send_digest(index);
        }
    }

    fn send_digest(&mut self, index: usize) {
        let now = self.now;
        let member = &mut self.members[index];
        member.sequence += 1;
        let (name, domain) = (member.name.clone(), member.domain.clone());
        let (nodes, live) = member.peers.domain_counts(now);
        let summary = Summary {
            domain: &domain,
            node: &name,
            incarnation: 1,
            sequence: member.sequence,
            nodes,
            live,
            holds_duties: false,
            loads: &[],
        };
        for target in member.peers.relay_addresses(member.sequence, now) {
            let to = self.by_address[&target];
            if !self.reaches(index, to) {
                continue;
            }
            self.members[to].received += 1;
            let is_new = self.members[to].peers.record_digest(&summary, now);
            if !is_new || !self.members[to].peers.is_relay(now) {
                continue;
            }
            for target in self.members[to].peers.direct_addresses(now) {
                let last = self.by_address[&target];
                if self.reaches(to, last) {
                    self.members[last].received += 1;
                    self.members[last].peers.record_digest(&summary, now);
                }
            }
        }
    }

    /// Returns the names of the live nodes for which `has_role` holds, by failure domain.
    fn with_role(&self, has_role: impl Fn(&Peers) -> bool) -> HashMap<Arc<str>, Vec<usize>> {
        let mut found: HashMap<Arc<str>, Vec<usize>> = HashMap::new();
        for (index, member) in self.members.iter().enumerate() {
            if !member.is_silent && has_role(&member.peers) {
                found.entry(member.domain.clone()).or_default().push(index);
            }
        }
        found
    }

    /// Returns the datagrams that the busiest node and, on average, a node receive in a second.
    fn datagrams_per_s(&mut self) -> (u32, f64) {
        const SECONDS: u32 = 4;
        self.members.iter_mut().for_each(|member| member.received = 0);
        self.run(Duration::from_secs(u64::from(SECONDS)));
        let counts = self.members.iter().map(|member| member.received / SECONDS);
        let sum: u32 = counts.clone().sum();
        (counts.max().unwrap_or(0), f64::from(sum) / self.members.len() as f64)
    }
}

/// Guards against datagrams that grow with the fleet: a node of 300 receives at most a fifth more than one
/// of 30.
#[test]
fn datagrams_stay_flat() {
    let figures = [(30, 6), (100, 6), (300, 6), (334, 8)].map(|(nodes, domains)| {
        let mut fleet = Fleet::new(nodes, domains);
        fleet.run(Duration::from_secs(3));
        let (most, mean) = fleet.datagrams_per_s();
        println!("{nodes} nodes: {mean:.0} datagrams/s a node, {most} at the busiest");
        (nodes, most, mean)
    });
    let (_, most, mean) = figures[0];
    for (nodes, other_most, other_mean) in figures {
        assert!(other_mean <= mean * 1.2, "{nodes} nodes: {other_mean} a node, {mean} of 30");
        assert!(f64::from(other_most) <= f64::from(most) * 1.5, "{nodes} nodes: {other_most}");
    }
}

/// Guards against nodes that count only a part of a large fleet, and so use too much of the quotas.
#[test]
fn all_nodes_are_counted() {
    for nodes in [5, MAX_DIRECT_NODES, MAX_DIRECT_NODES + 1, 117] {
        let mut fleet = Fleet::new(nodes, 6);
        fleet.run(Duration::from_secs(4));
        for member in &fleet.members {
            assert_eq!(member.peers.live_count(fleet.now), nodes, "{}", member.name);
            assert_eq!(member.peers.quota_share(fleet.now), 1.0, "{}", member.name);
        }
    }
}

/// Guards against a group without a reader of the store or a domain without a relay after the death of
/// the one that had the role, and against several that keep it.
#[test]
fn dead_reader_is_replaced() {
    let mut fleet = Fleet::new(117, 6);
    fleet.run(Duration::from_secs(4));
    let now = fleet.now;
    let readers = fleet.with_role(|peers| peers.is_reader(now));
    let relays = fleet.with_role(|peers| peers.is_relay(now));
    assert!(readers.len() == 6 && readers.values().all(|it| it.len() == 1), "{readers:?}");
    assert!(relays.len() == 6 && relays.values().all(|it| it.len() == 1), "{relays:?}");
    for index in readers.values().chain(relays.values()).flatten() {
        fleet.members[*index].is_silent = true;
    }
    // Well inside the bounds on new declarations and leaving endpoints, of which the shortest is 2 s.
    fleet.run(Duration::from_millis(500));
    let now = fleet.now;
    let new_readers = fleet.with_role(|peers| peers.is_reader(now));
    let new_relays = fleet.with_role(|peers| peers.is_relay(now));
    assert!(new_readers.len() == 6 && new_readers.values().all(|it| it.len() == 1));
    assert!(new_relays.len() == 6 && new_relays.values().all(|it| it.len() == 1));
}

/// Guards against a failure domain that stops when it is cut off, and against both sides of the cut using
/// the whole quotas.
#[test]
fn cut_off_domain_goes_on() {
    let mut fleet = Fleet::new(117, 6);
    fleet.run(Duration::from_secs(4));
    fleet.cut_off = Some("domain-2".into());
    fleet.run(Duration::from_secs(1));
    let now = fleet.now;
    let readers = fleet.with_role(|peers| peers.is_reader(now));
    assert!(readers.len() == 6 && readers.values().all(|it| it.len() == 1), "{readers:?}");
    let share_of = |domain: &str| {
        let member = fleet.members.iter().find(|member| &*member.domain == domain);
        member.expect("a node of the domain").peers.quota_share(now)
    };
    let (inside, outside) = (share_of("domain-2"), share_of("domain-0"));
    assert!(inside > 0.0 && inside + outside <= 1.0 + 1e-9, "{inside} and {outside}");
    fleet.cut_off = None;
    fleet.run(Duration::from_secs(6));
    for member in &fleet.members {
        assert_eq!(member.peers.live_count(fleet.now), 117, "{} after the cut", member.name);
    }
}

/// Guards against answers that a cut delays and that are taken for the fault of a version.
#[test]
fn cut_off_domain_is_unheard() {
    for size in [30, 117] {
        let mut fleet = Fleet::new(size, 6);
        fleet.run(Duration::from_secs(4));
        let before = fleet.now;
        fleet.cut_off = Some("domain-2".into());
        fleet.run(Duration::from_secs(1));
        let recent = fleet.now - Duration::from_millis(100);
        let was_unheard = |fleet: &Fleet, own: &str, other: &str, since: Duration| {
            let member = fleet.members.iter().find(|member| &*member.domain == own);
            member.expect("a node of the domain").peers.was_unheard(other, since)
        };
        assert!(was_unheard(&fleet, "domain-0", "domain-2", recent), "{size} nodes");
        assert!(was_unheard(&fleet, "domain-2", "domain-0", recent), "{size} nodes");
        assert!(!was_unheard(&fleet, "domain-0", "domain-1", Duration::ZERO), "{size} nodes");
        assert!(!was_unheard(&fleet, "domain-2", "domain-2", Duration::ZERO), "{size} nodes");
        fleet.cut_off = None;
        fleet.run(Duration::from_secs(3));
        let recent = fleet.now - Duration::from_secs(1);
        assert!(!was_unheard(&fleet, "domain-0", "domain-2", recent), "{size} nodes");
        assert!(was_unheard(&fleet, "domain-0", "domain-2", before), "{size} nodes");
    }
}

/// Guards against trusting a report that waited while the receiver was suspended: the delay of a datagram
/// shows in the sender's clock.
#[test]
fn suspended_receiver_sees_delay() {
    let mut peers = Peers::new("a".into(), "d".into(), 1, Duration::ZERO);
    let (node, domain): (Arc<str>, Arc<str>) = ("b".into(), "d".into());
    let mut receive = |sequence: u64, uptime_ms: u64, now_ms: u64| {
        let beat = Beat {
            node: &node,
            domain: &domain,
            incarnation: 1,
            sequence,
            unix_ms: 0,
            uptime_ms,
            holds_duties: false,
            reaches_store: true,
            loads: &[],
        };
        let receipt = peers.record_heartbeat(&beat, address(1), 0, Duration::from_millis(now_ms));
        receipt.expect("a newer heartbeat")
    };
    assert_eq!(receive(1, 0, 1_000).delay, None, "the delay can't be known yet");
    for beat in 1..30 {
        receive(beat + 1, beat * 100, 1_002 + beat * 100);
    }
    let receipt = receive(31, 3_000, 9_002);
    assert!(receipt.delay >= Some(Duration::from_millis(5_000)), "{receipt:?}");
}

/// Guards against nodes that all start and wait for an older one that doesn't exist, and against a node that
/// joins a running fleet and doesn't wait for it.
#[test]
fn starting_nodes_wait_for_older_ones_only() {
    const MAX_WAIT: Duration = Duration::from_millis(350);
    for nodes in [2, 5, 24] {
        let mut fleet = Fleet::new(nodes, 3);
        let listed_at = fleet.now;
        let awaits = |fleet: &Fleet, index: usize| {
            fleet.members[index].peers.awaits_first_heartbeat(listed_at, fleet.now)
        };
        assert!((0..nodes).all(|index| awaits(&fleet, index)), "{nodes} nodes have heard nobody");
        // Each node sends its first heartbeat within 0.1 s, and none waits for the second.
        fleet.run(Duration::from_millis(120));
        assert!((0..nodes).all(|index| !awaits(&fleet, index)), "{nodes} nodes wait for nobody");

        // A listed node that is gone is waited for as long as an answer may take.
        let mut fleet = Fleet::new(nodes, 3);
        fleet.members[1].is_silent = true;
        fleet.run(MAX_WAIT - 2 * STEP);
        assert!(awaits(&fleet, 0), "{nodes} nodes, one is silent");
        fleet.run(2 * STEP);
        assert!(!awaits(&fleet, 0), "{nodes} nodes, one is silent for long");
    }

    let mut fleet = Fleet::new(6, 3);
    fleet.members[0].is_silent = true;
    fleet.run(Duration::from_secs(4));
    let (now, member) = (fleet.now, &mut fleet.members[0]);
    (member.started, member.next_beat, member.is_silent) = (now, now + STEP, false);
    member.peers = Peers::new(member.name.clone(), member.domain.clone(), 1, now);
    for index in 1..6 {
        let name = Arc::from(format!("node-{index}"));
        fleet.members[0].peers.add(name, None, address(index), now);
    }
    let listed_at = fleet.now;
    let hears_older = |fleet: &Fleet| fleet.members[0].peers.has_older_peer(fleet.now);
    while !hears_older(&fleet) {
        let peers = &fleet.members[0].peers;
        assert!(
            peers.awaits_first_heartbeat(listed_at, fleet.now),
            "it takes its copy for the newest"
        );
        fleet.run(STEP);
    }
}
