//! Shares of tenants and classes while a service is short of room, without a network.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::balancer::{Balancer, Candidate, Job, Load, Overload};
use pomelolink::gateway::catalog::Engine;
use pomelolink::gateway::platform::Endpoint;
use pomelolink::gateway::queue::{self, Queue, Rank};
use pomelolink::gateway::share::{Claim, Class, Share};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const NODES: usize = 4;
const TENANTS: usize = 6;
const STEP_MS: u64 = 5;
const END_MS: u64 = 12_000;
/// Time in which a third of the room is lost and the first tenant sends six times its usual rate.
const PEAK_MS: std::ops::Range<u64> = 3_000..9_000;
const SLOTS: usize = 48;
/// Work, running time and target time to the start of the requests of each class.
const CLASSES: [(u32, u64, u64); 3] = [(6_600, 400, 900), (1_500, 200, 700), (600, 100, 700)];

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn claim(priority: u8, route_priority: u8, tenant: &str) -> Claim {
    let class = Class { priority, route_priority };
    Claim { class, tenant: tenant.into(), work: 100, is_restricted: false }
}

#[derive(Debug, Default, Clone, Copy)]
struct Count {
    offered: u32,
    on_time: u32,
    late: u32,
    rejected: u32,
}

struct Request {
    class: usize,
    tenant: usize,
    arrived: u64,
    retries: u32,
}

#[derive(Debug, Default)]
struct Outcome {
    counts: BTreeMap<(usize, usize), Count>,
    /// Longest time without a start while requests of a tenant or class wanted one.
    longest_gap_ms: u64,
}

impl Outcome {
    fn sum(&self, filter: impl Fn(usize, usize) -> bool) -> Count {
        let mut sum = Count::default();
        for ((class, tenant), count) in &self.counts {
            if filter(*class, *tenant) {
                sum.offered += count.offered;
                sum.on_time += count.on_time;
                sum.late += count.late;
                sum.rejected += count.rejected;
            }
        }
        sum
    }
}

/// Runs the seeded load. Without the part, the queue knows priorities and deadlines only, and each node
/// decides by its own releases.
fn simulate(has_part: bool, seed: u64) -> Outcome {
    // The same requests with and without the part, apart from the retries.
    let mut random = StdRng::seed_from_u64(seed);
    let mut placing = StdRng::seed_from_u64(seed);
    let mut queues: Vec<Queue> = (0..NODES).map(|_| Queue::default()).collect();
    let mut waiting: Vec<Vec<(Rank, Claim, Request)>> = (0..NODES).map(|_| Vec::new()).collect();
    let mut running: Vec<(u64, usize)> = Vec::new();
    let mut retries: Vec<(u64, Request)> = Vec::new();
    let mut outcome = Outcome::default();
    let mut wanting: BTreeMap<(bool, usize), u64> = BTreeMap::new();
    for now in (0..END_MS).step_by(STEP_MS as usize) {
        let time = at(now + 10_000);
        let slots = if PEAK_MS.contains(&now) { SLOTS * 2 / 3 } else { SLOTS };
        running.retain(|(end, node)| {
            if *end <= now {
                queues[*node].record_release(time);
            }
            *end > now
        });
        if has_part && now % 100 == 0 {
            let reports: Vec<_> =
                queues.iter().map(|queue| queue.share.report(queue.len(), time)).collect();
            for (node, queue) in queues.iter_mut().enumerate() {
                for (peer, report) in reports.iter().enumerate().filter(|(peer, _)| *peer != node) {
                    let name: Arc<str> = format!("n{peer}").into();
                    queue.share.set_peer(&name, report.clone(), time);
                }
            }
        }
        let mut arrivals = Vec::new();
        for tenant in 0..TENANTS {
            let rate = if tenant == 0 && PEAK_MS.contains(&now) { 6.0 } else { 1.0 };
            if random.random::<f64>() < rate * 0.1 {
                let class = [0, 1, 1, 2, 2, 2][random.random_range(0..6)];
                arrivals.push(Request { class, tenant, arrived: now, retries: 0 });
                outcome.counts.entry((class, tenant)).or_default().offered += 1;
            }
        }
        let (due, later) = retries.into_iter().partition(|(when, _)| *when <= now);
        retries = later;
        let due: Vec<(u64, Request)> = due;
        arrivals.extend(due.into_iter().map(|(_, request)| Request { arrived: now, ..request }));
        let mut rejected = Vec::new();
        let mut started: Vec<(usize, Claim, Request)> = Vec::new();
        for request in arrivals {
            let node = placing.random_range(0..NODES);
            let queue = &mut queues[node];
            let name = if has_part { format!("t{}", request.tenant) } else { String::new() };
            let class =
                Class { priority: request.class as u8, route_priority: request.class as u8 };
            let work = CLASSES[request.class].0;
            let claim = Claim { class, tenant: name.into(), work, is_restricted: false };
            for key in [(true, request.tenant), (false, request.class)] {
                wanting.entry(key).or_insert(now);
            }
            if queue.is_first(&claim, time) && running.len() + started.len() < slots {
                queue.share.record_start(&claim, time);
                started.push((node, claim, request));
                continue;
            }
            let deadline = time + at(CLASSES[request.class].2);
            if has_part && queue.share.is_above(&claim, time) {
                queue.share.record_lack(&claim, time);
                queue.share.record_rejection(time);
                rejected.push(request);
                continue;
            }
            let queued = queue.enqueue(&claim, deadline, time);
            queue.share.record_lack(&claim, time);
            match queued {
                Ok(rank) => waiting[node].push((rank, claim, request)),
                Err(_) => {
                    queue.share.record_rejection(time);
                    rejected.push(request);
                }
            }
        }
        let first = placing.random_range(0..NODES);
        for node in (0..NODES).map(|node| (first + node) % NODES) {
            let queue = &mut queues[node];
            while running.len() + started.len() < slots {
                let Some(next) = queue.ranks().next() else { break };
                let index = waiting[node].iter().position(|(rank, ..)| *rank == next);
                let (_, claim, request) = waiting[node].swap_remove(index.expect("a waiting one"));
                queue.share.record_start(&claim, time);
                queue.remove(&next, time);
                started.push((node, claim, request));
            }
            for rank in queue.unservable(time) {
                queue.remove(&rank, time);
                let index = waiting[node].iter().position(|(it, ..)| *it == rank);
                rejected.push(waiting[node].swap_remove(index.expect("a waiting one")).2);
            }
        }
        for (node, _, request) in started {
            running.push((now + CLASSES[request.class].1, node));
            let count = outcome.counts.entry((request.class, request.tenant)).or_default();
            let is_late = now - request.arrived > CLASSES[request.class].2;
            count.late += u32::from(is_late);
            count.on_time += u32::from(!is_late);
            for key in [(true, request.tenant), (false, request.class)] {
                if let Some(since) = wanting.remove(&key) {
                    outcome.longest_gap_ms = outcome.longest_gap_ms.max(now - since);
                }
            }
        }
        for request in rejected {
            if request.retries < 2 {
                retries.push((now + 50, Request { retries: request.retries + 1, ..request }));
            } else {
                outcome.counts.entry((request.class, request.tenant)).or_default().rejected += 1;
            }
        }
    }
    outcome
}

/// Guards against a tenant that sends six times its usual rate and takes the room of the others while a
/// third of it is lost.
#[test]
fn burst_takes_share() {
    for seed in [1, 2, 3] {
        let [without, with] = [false, true].map(|has_part| simulate(has_part, seed));
        for (name, outcome) in [("without", &without), ("with", &with)] {
            println!("seed {seed}, {name}: longest gap {} ms", outcome.longest_gap_ms);
            for class in 0..CLASSES.len() {
                println!("  class {class}: {:?}", outcome.sum(|it, _| it == class));
            }
            for tenant in 0..TENANTS {
                println!("  tenant {tenant}: {:?}", outcome.sum(|_, it| it == tenant));
            }
        }
        let others = |outcome: &Outcome| outcome.sum(|_, tenant| tenant > 0);
        let (before, after) = (others(&without), others(&with));
        assert!(after.on_time > before.on_time, "{after:?}, without {before:?}");
        assert!(after.rejected * 2 <= before.rejected, "{after:?}, without {before:?}");
        assert_eq!(after.late, 0, "served after the target");
        let served = |outcome: &Outcome| outcome.sum(|_, _| true).on_time;
        // Room must not stay unused for the shares: as many requests are served.
        assert!(
            served(&with) * 20 >= served(&without) * 19,
            "{} {}",
            served(&with),
            served(&without)
        );
        assert!(with.longest_gap_ms <= 2_000, "nothing for {} ms", with.longest_gap_ms);
    }
}

/// Guards against a class or tenant that gets nothing while more urgent ones use up all room.
#[test]
fn nobody_starves() {
    let mut queue = Queue::default();
    let (urgent, other) = (claim(0, 0, "a"), claim(2, 2, "b"));
    let (mut last, mut longest) = (0, 0);
    let mut waiting = Vec::new();
    for now in (0..10_000).step_by(20) {
        let time = at(now);
        queue.record_release(time);
        for claim in [&urgent, &urgent, &other] {
            let queued = queue.enqueue(claim, time + at(400), time);
            queue.share.record_lack(claim, time);
            waiting.extend(queued.map(|rank| (rank, claim.clone())));
        }
        let next = queue.ranks().next();
        if let Some(next) = next {
            let index = waiting.iter().position(|(rank, _)| *rank == next).expect("a waiting one");
            let (_, claim) = waiting.swap_remove(index);
            queue.share.record_start(&claim, time);
            queue.remove(&next, time);
            if claim.class == other.class {
                longest = longest.max(now - last);
                last = now;
            }
        }
        for rank in queue.unservable(time) {
            queue.remove(&rank, time);
            waiting.retain(|(it, _)| *it != rank);
        }
    }
    longest = longest.max(10_000 - last);
    assert!(longest <= 2_000, "nothing for {longest} ms");
}

/// Guards against a waiting request that may use one endpoint only and blocks those behind it.
#[test]
fn restricted_doesnt_block() {
    let mut queue = Queue::default();
    let restricted = Claim { is_restricted: true, ..claim(0, 0, "a") };
    let first = queue.enqueue(&restricted, at(5_000), at(0)).expect("in time");
    let second = queue.enqueue(&claim(1, 1, "a"), at(5_000), at(0)).expect("in time");
    let third = queue.enqueue(&claim(1, 1, "a"), at(6_000), at(0)).expect("in time");
    assert!(queue.is_next(&first) && queue.is_next(&second) && !queue.is_next(&third));
    assert_eq!(queue.next(1).collect::<Vec<_>>(), [first, second]);
}

/// Guards against tenants with one priority for all their requests whose urgent ones wait behind others, and
/// against a share that comes before it.
#[test]
fn route_priority_second() {
    let mut queue = Queue::default();
    queue.share.record_start(&claim(1, 0, "a"), at(0));
    let mut enqueue =
        |claim: Claim| queue.enqueue(&claim, at(9_000), at(0)).expect("served in time");
    let other = enqueue(claim(1, 2, "b"));
    let used_more = enqueue(claim(1, 0, "a"));
    let used_less = enqueue(claim(1, 0, "b"));
    assert_eq!(queue.ranks().collect::<Vec<_>>(), [used_less, used_more, other]);
}

/// Guards against a change of the order where no tenant competes: priority, then deadline, then arrival.
#[test]
fn equal_without_shortage() {
    let mut random = StdRng::seed_from_u64(5);
    let mut queue = Queue::default();
    assert!(queue.is_first(&claim(9, 9, "a"), at(0)) && !queue.share.is_short(at(0)));
    let mut expected = Vec::new();
    for _ in 0..40 {
        let claim = claim(random.random_range(0..3), 4, "a");
        queue.share.record_start(&claim, at(0));
        assert!(!queue.share.is_above(&claim, at(0)));
        let deadline = at(60_000 + random.random_range(0..5) * 100);
        expected.push(queue.enqueue(&claim, deadline, at(0)).expect("served in time"));
    }
    expected.sort_by_key(|rank| (rank.class.priority, rank.deadline, rank.serial));
    assert_eq!(queue.ranks().collect::<Vec<_>>(), expected);
}

/// Guards against a node with few requests that judges the wait by its own few releases, and against advice
/// that ignores how many others come back.
#[test]
fn wait_from_all_nodes() {
    let mut queue = Queue::default();
    let mut peer = Share::default();
    for now in (0..3_000).step_by(1_000) {
        queue.record_release(at(now));
    }
    for now in (2_000..3_000).step_by(10) {
        peer.record_release(at(now));
    }
    let asked = claim(1, 1, "a");
    let enqueue_many = |queue: &mut Queue| {
        let ranks: Vec<_> =
            (0..8).filter_map(|_| queue.enqueue(&asked, at(3_290), at(2_990)).ok()).collect();
        ranks.iter().for_each(|rank| queue.remove(rank, at(2_990)));
        ranks.len()
    };
    let few = enqueue_many(&mut queue);
    queue.share.set_peer(&"n1".into(), peer.report(0, at(2_990)), at(2_990));
    assert_eq!(enqueue_many(&mut queue), 8, "alone {few}");
    assert!(few < 4, "own releases come once a second, but {few} were queued");
    let calm = queue.retry_after(at(2_990));
    for _ in 0..120 {
        peer.record_lack(&asked, at(2_990));
        peer.record_rejection(at(2_990));
    }
    queue.share.set_peer(&"n1".into(), peer.report(30, at(2_990)), at(2_990));
    let after = queue.retry_after(at(2_990));
    assert!(calm == at(150) && after > at(1_500), "{calm:?}, then {after:?}");
    assert!(queue.share.is_short(at(2_990)) && !queue.share.is_short(at(5_000)));
    let spread: Vec<_> = [0, u64::MAX / 2, u64::MAX].map(|hash| queue::spread(after, hash)).into();
    assert!(spread[0] == at(150) && spread[2] <= after && spread[2] > after * 9 / 10);
}

fn endpoint(slots: u32) -> Endpoint {
    Endpoint {
        id: "e".into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 7_000).into(),
        domain: "a".into(),
        version: "v1".into(),
        slots,
        draining: false,
        reclaimable: true,
        leaves_in: None,
        cold_for: None,
        started_ms: 0,
    }
}

/// Guards against less urgent requests that fill the endpoints while urgent ones find no room, and against
/// room that is kept free while nothing urgent is short.
#[test]
fn urgent_room_reserved() {
    let mut share = Share::default();
    let (urgent, other) = (claim(0, 0, "a"), claim(2, 2, "b"));
    assert_eq!(share.reserved(&other, at(5_000)).to_bits(), 0.0_f64.to_bits());
    share.record_start(&urgent, at(5_000));
    share.record_start(&other, at(5_000));
    share.record_lack(&urgent, at(5_000));
    let reserved = [&urgent, &other, &claim(9, 9, "b")].map(|it| share.reserved(it, at(5_100)));
    assert_eq!(reserved, [0.0, 0.25, 0.5]);
    assert!(share.is_wanted(&other, at(5_100)) && !share.is_wanted(&urgent, at(5_100)));
    let engine = Engine { slots: 12, memory_tokens: 100_000, supports_migration: false };
    let endpoint = endpoint(12);
    let mut balancer = Balancer::default();
    let load = Load { requests: 8, ..Load::default() };
    balancer.set_peer_loads([("e".into(), load)].into_iter());
    let job = Job { prompt: None, hash: 1, deadline: Duration::MAX, gap_target: None };
    let choose = |engine: Option<&Engine>, reserved| {
        let candidates = [Candidate { endpoint: &endpoint, slowness: 1.0 }].into_iter();
        balancer.choose_within(job, "a", candidates, engine, reserved, at(5_100))
    };
    assert!(choose(Some(&engine), reserved[0]).is_ok() && choose(None, reserved[1]).is_ok());
    assert_eq!(choose(Some(&engine), reserved[1]), Err(Overload::Full));
    assert!(!share.is_wanted(&other, at(5_700)), "room kept free though nothing urgent came back");
    assert_eq!(share.reserved(&other, at(6_200)).to_bits(), 0.0_f64.to_bits());
}

/// Guards against nodes with stale loads that keep sending to a plain endpoint which rejects them as full, and
/// against one that is avoided for long afterwards.
#[test]
fn full_lowers_room() {
    let endpoint = endpoint(6);
    let mut balancer = Balancer::default();
    let job = Job { prompt: None, hash: 1, deadline: Duration::MAX, gap_target: None };
    let choose = |balancer: &Balancer, ms| {
        let candidates = [Candidate { endpoint: &endpoint, slowness: 1.0 }].into_iter();
        balancer.choose(job, "a", candidates, None, at(ms))
    };
    for _ in 0..3 {
        let choice = choose(&balancer, 1_000).expect("room");
        balancer.start_request(&choice, None, at(1_000));
    }
    assert_eq!(balancer.record_full("e", at(1_000)), 2);
    balancer.end_request("e", Load { requests: 1, ..Load::default() });
    assert_eq!(choose(&balancer, 1_050), Err(Overload::Full));
    assert!(choose(&balancer, 1_100).is_ok(), "a free slot isn't tried again");
    let load = Load { requests: 3, ..Load::default() };
    balancer.set_peer_loads([("e".into(), load)].into_iter());
    assert_eq!(choose(&balancer, 1_300), Err(Overload::Full));
    assert!(choose(&balancer, 1_400).is_ok(), "the room doesn't rise to the declared slots");
}
