//! Stalls in the choice of endpoints, without a network: engines that read prompts in the steps of their
//! running batch, and nodes that learn of each other's load with a delay.

use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::balancer::{Balancer, Candidate, Choice, Job, Load};
use pomelolink::gateway::catalog::Engine;
use pomelolink::gateway::peers;
use pomelolink::gateway::platform::{Endpoint, Part, Prompt};
use pomelolink::gateway::roster::Health;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const ENGINE: Engine = Engine { slots: 32, memory_tokens: 558_621, supports_migration: true };
const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
const GAP_AIM: Duration = Duration::from_millis(600);
const NODES: usize = 24;
const ENDPOINTS: usize = 28;
const RATE_PER_S: f64 = 300.0;

fn endpoint(index: usize) -> Endpoint {
    Endpoint {
        id: format!("e{index}").into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 7_000).into(),
        domain: DOMAINS[index % 4].into(),
        version: "v1".into(),
        slots: ENGINE.slots,
        draining: false,
        reclaimable: true,
        leaves_in: None,
        cold_for: None,
        started_ms: 0,
    }
}

fn prompt(shared: (u64, u32), own: (u64, u32)) -> Prompt {
    let parts = [shared, own].map(|(hash, tokens)| Part { hash, tokens });
    Prompt {
        prompt_tokens: shared.1 + own.1,
        max_output_tokens: 300,
        parts: parts.into_iter().collect(),
    }
}

/// A request at an engine.
struct Stream {
    node: usize,
    is_long: bool,
    arrived: f64,
    choice: Choice,
    /// Prompt tokens to read, and output tokens.
    unread: u32,
    written: u32,
    last_event: f64,
    longest_gap: f64,
}

#[derive(Default)]
struct Server {
    now: f64,
    running: Vec<Stream>,
}

/// Time that an endpoint takes relative to the others: 15 in 100 are slow, others every 600 ms.
fn speed_factor(index: usize, now: f64) -> f64 {
    let phase = (now / 600.0) as u64;
    let mut random = SmallRng::seed_from_u64(phase * 1_000 + index as u64);
    if random.random_range(0..100) < 15 { 2.5 } else { 1.0 }
}

impl Server {
    /// Runs steps up to a time; returns the first events, with their time, and the streams that ended.
    fn advance(&mut self, index: usize, until: f64) -> (Vec<(usize, Choice, f64)>, Vec<Stream>) {
        let (mut firsts, mut ended) = (Vec::new(), Vec::new());
        while self.now < until {
            if self.running.is_empty() {
                self.now = until;
                break;
            }
            let mut budget = 4_096;
            for stream in &mut self.running {
                let read = stream.unread.min(budget);
                stream.unread -= read;
                budget -= read;
            }
            let read = f64::from(4_096 - budget);
            self.now += (3.5 + read / 62.0) * speed_factor(index, self.now);
            for stream in self.running.iter_mut().filter(|stream| stream.unread == 0) {
                stream.written += 1;
                if stream.written == 1 {
                    firsts.push((stream.node, stream.choice.clone(), self.now - stream.arrived));
                } else if stream.written % 8 == 1 {
                    stream.longest_gap = stream.longest_gap.max(self.now - stream.last_event);
                }
                if stream.written % 8 == 1 {
                    stream.last_event = self.now;
                }
            }
            let is_over = |stream: &mut Stream| stream.written >= 200;
            ended.extend(self.running.extract_if(.., is_over));
        }
        (firsts, ended)
    }
}

/// Requests of one kind.
#[derive(Debug, Default, Clone, Copy)]
struct Count {
    streams: u32,
    late_first: u32,
    stalled: u32,
    refused: u32,
}

impl Count {
    fn late_share(&self) -> f64 {
        let late = self.late_first + self.stalled + self.refused;
        f64::from(late) / f64::from(self.streams + self.refused)
    }
}

/// Simulates 12 s of requests, of which the first 3 s aren't counted; returns short and long prompts.
fn simulate(gap_target: Option<Duration>, seed: u64) -> [Count; 2] {
    let mut random = SmallRng::seed_from_u64(seed);
    let all: Vec<_> = (0..ENDPOINTS).map(endpoint).collect();
    let mut servers: Vec<Server> = (0..ENDPOINTS).map(|_| Server::default()).collect();
    let mut balancers: Vec<Balancer> = (0..NODES).map(|_| Balancer::default()).collect();
    let mut reported: Vec<Vec<(Arc<str>, Load)>> = vec![Vec::new(); NODES];
    let mut health = vec![vec![Health::default(); ENDPOINTS]; NODES];
    let index_of = |id: &Arc<str>| id[1..].parse::<usize>().expect("a number");
    let mut counts = [Count::default(); 2];
    let (mut now, mut serial, mut reports) = (0.0, 0_u64, 0_usize);
    let period = peers::HEARTBEAT_INTERVAL.as_millis() as f64;
    while now < 12_000.0 {
        now -= (1.0 - random.random::<f64>()).ln() * 1_000.0 / RATE_PER_S;
        serial += 1;
        let time = Duration::from_secs_f64(100.0 + now / 1_000.0);
        for (index, server) in servers.iter_mut().enumerate() {
            let (firsts, ended) = server.advance(index, now);
            for (node, mut choice, elapsed) in firsts {
                let balancer = &mut balancers[node];
                balancer.record_first_event(&choice.endpoint, &mut choice.load);
                let ratio = elapsed / (choice.baseline.as_secs_f64() * 1_000.0);
                let slowdown = balancer.service_slowdown("s", time);
                health[node][index].record_slowness(ratio / slowdown);
                let first = Duration::from_secs_f64(elapsed / 1_000.0);
                balancer.record_slowdown(&"s".into(), first, choice.baseline, time);
                if now > 3_000.0 {
                    let is_long = choice.load.memory_tokens > 5_000;
                    let target = if is_long { 1_200.0 } else { 600.0 };
                    counts[usize::from(is_long)].late_first += u32::from(elapsed > target);
                }
            }
            for mut stream in ended {
                stream.choice.load.unread_tokens = 0;
                balancers[stream.node].end_request(&stream.choice.endpoint, stream.choice.load);
                if now > 3_000.0 {
                    let count = &mut counts[usize::from(stream.is_long)];
                    count.streams += 1;
                    count.stalled += u32::from(stream.longest_gap > 600.0);
                }
            }
        }
        // The reports of the nodes are spread evenly over a period.
        while reports as f64 * period / (NODES as f64) < now {
            let reporter = reports % NODES;
            reports += 1;
            reported[reporter] =
                balancers[reporter].own_loads().map(|(id, load)| (id.clone(), load)).collect();
            let peers = (0..NODES).filter(|peer| *peer != reporter);
            let peers: Vec<_> = peers.flat_map(|peer| reported[peer].clone()).collect();
            balancers[reporter].set_peer_loads(peers.into_iter());
        }
        let is_long = random.random_range(0..100) < 25;
        let tail = if random.random_range(0..10) == 0 { 3 } else { 1 };
        let prompt = match is_long {
            true => prompt((random.random_range(0..60), 5_400), (1_000 + serial, 6_600 * tail)),
            false => prompt((100 + random.random_range(0..12), 200), (1_000 + serial, 400 * tail)),
        };
        let node = random.random_range(0..NODES);
        let deadline = time + Duration::from_millis(if is_long { 1_200 } else { 600 });
        let job = Job { prompt: Some(&prompt), hash: random.random(), deadline, gap_target };
        let candidates = all.iter().enumerate().map(|(index, endpoint)| Candidate {
            endpoint,
            slowness: health[node][index].slowness(),
        });
        let domain = DOMAINS[node % 4];
        let Ok(choice) = balancers[node].choose(job, domain, candidates, Some(&ENGINE), time)
        else {
            counts[usize::from(is_long)].refused += u32::from(now > 3_000.0);
            continue;
        };
        balancers[node].start_request(&choice, Some(&prompt), time);
        servers[index_of(&choice.endpoint)].running.push(Stream {
            node,
            is_long,
            arrived: now,
            unread: choice.load.unread_tokens,
            choice,
            written: 0,
            last_event: 0.0,
            longest_gap: 0.0,
        });
    }
    counts
}

/// Guards against streams that stall because long prompts are read where they run: with the declared gap
/// aim fewer answers are late, and no more of them by their first event or a refusal.
#[test]
fn fewer_streams_stall() {
    let (mut late, mut late_firsts) = ([0.0; 2], [0; 2]);
    for seed in 100..106 {
        for (index, gap_target) in [None, Some(GAP_AIM)].into_iter().enumerate() {
            let counts = simulate(gap_target, seed);
            println!(
                "seed {seed}, aim {gap_target:?}: short {:?}, long {:?}",
                counts[0], counts[1]
            );
            late[index] += counts.iter().map(Count::late_share).sum::<f64>();
            late_firsts[index] += counts.iter().map(|it| it.late_first + it.refused).sum::<u32>();
        }
    }
    println!("late shares {late:?}, late first events and refusals {late_firsts:?}");
    assert!(late[1] < late[0], "{late:?}");
    assert!(late_firsts[1] <= late_firsts[0] + late_firsts[0] / 10, "{late_firsts:?}");
}

/// Chooses between an endpoint with streams and one with a few unread tokens for a prompt of 12,000 tokens.
fn choose_between(gap_target: Option<Duration>, time_left: Duration) -> Arc<str> {
    let endpoints: Vec<_> = (0..2).map(|index| endpoint(index * 4)).collect();
    let mut balancer = Balancer::default();
    let streams = Load { requests: 24, unread_tokens: 0, memory_tokens: 0 };
    let unread = Load { requests: 1, unread_tokens: 1_500, memory_tokens: 0 };
    balancer.set_peer_loads([("e0".into(), streams), ("e4".into(), unread)].into_iter());
    let prompt = prompt((1, 0), (2, 12_000));
    let now = Duration::from_secs(100);
    let job = Job { prompt: Some(&prompt), hash: 3, deadline: now + time_left, gap_target };
    let candidates = endpoints.iter().map(|endpoint| Candidate { endpoint, slowness: 1.0 });
    let choice = balancer.choose(job, "a", candidates, Some(&ENGINE), now);
    choice.expect("an endpoint").endpoint
}

/// Guards against stalls that count where no gap aim is declared, or where the first event would be late.
#[test]
fn first_events_come_first() {
    let long = Duration::from_secs(5);
    assert_eq!(&*choose_between(None, long), "e0");
    assert_eq!(&*choose_between(Some(GAP_AIM), long), "e4");
    assert_eq!(&*choose_between(Some(GAP_AIM), Duration::from_millis(340)), "e0");
}
