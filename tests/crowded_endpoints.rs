//! Load balancing by many nodes over few endpoints, simulated without a network: engines run in steps,
//! and nodes learn of each other's load with a delay.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::balancer::{Balancer, Candidate, Choice, Job};
use pomelolink::gateway::catalog::{Engine, Scaling};
use pomelolink::gateway::demand;
use pomelolink::gateway::fleet::{Planner, Snapshot};
use pomelolink::gateway::peers;
use pomelolink::gateway::platform::{Endpoint, Part, Prompt};
use pomelolink::gateway::roster::Health;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const ENGINE: Engine = Engine { slots: 32, memory_tokens: 558_621, supports_migration: true };
const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
/// Fixed time of one engine step.
const STEP_MS: f64 = 3.37;
/// Prefill rate of an engine.
const PREFILL_TOKENS_PER_MS: f64 = 61.2;
/// Most prompt tokens that an engine reads in one step.
const PREFILL_TOKENS_PER_STEP: u32 = 1_024;
/// Time between two load reports of a node.
const REPORT_PERIOD_MS: f64 = peers::HEARTBEAT_INTERVAL.as_millis() as f64;

/// A kind of request.
struct Kind {
    /// Share of all requests, out of a thousand.
    permille: u32,
    /// Number of different shared prefixes.
    prefixes: u64,
    /// Tokens of the shared prefix.
    prefix: u32,
    /// Tokens of the rest of the prompt.
    suffix: u32,
    /// Tokens of the response.
    output: u32,
    /// Target time to the first token.
    target_ms: f64,
}

/// Shares and sizes of the assistant's requests at the larger of the sites.
const KINDS: [Kind; 3] = [
    Kind {
        permille: 214,
        prefixes: 236,
        prefix: 5_382,
        suffix: 6_610,
        output: 384,
        target_ms: 1_000.0,
    },
    Kind { permille: 438, prefixes: 12, prefix: 198, suffix: 628, output: 288, target_ms: 400.0 },
    Kind { permille: 348, prefixes: 12, prefix: 568, suffix: 1_800, output: 24, target_ms: 500.0 },
];

struct Request {
    arrived: f64,
    node: usize,
    kind: usize,
    prompt: Prompt,
    choice: Choice,
    /// Prompt tokens to prefill.
    unread: u32,
    /// Output tokens to generate.
    remaining: u32,
}

/// A simulated engine.
#[derive(Default)]
struct Server {
    now: f64,
    cached: HashSet<u64>,
    queue: VecDeque<Request>,
    running: Vec<Request>,
}

#[derive(Debug, Default)]
struct Outcome {
    responses: u32,
    late: u32,
    refused: u32,
}

impl Outcome {
    /// Returns the share of requests that were late or refused.
    fn late_share(&self) -> f64 {
        f64::from(self.late + self.refused) / f64::from(self.responses + self.refused)
    }
}

impl Server {
    /// Runs steps up to a time and appends the events that the nodes observe.
    fn advance(&mut self, until: f64, events: &mut Vec<Event>) {
        while self.now < until {
            while self.running.len() < 32 {
                let Some(mut request) = self.queue.pop_front() else { break };
                let mut unread = request.prompt.prompt_tokens;
                for part in &request.prompt.parts {
                    if !self.cached.contains(&part.hash) {
                        break;
                    }
                    unread -= part.tokens;
                }
                request.unread = unread.max(1);
                self.running.push(request);
            }
            if self.running.is_empty() {
                self.now = until;
                return;
            }
            let mut budget = PREFILL_TOKENS_PER_STEP;
            for request in &mut self.running {
                let read = request.unread.min(budget);
                request.unread -= read;
                budget -= read;
            }
            let read = f64::from(PREFILL_TOKENS_PER_STEP - budget);
            self.now += STEP_MS + 0.0109 * self.running.len() as f64 + read / PREFILL_TOKENS_PER_MS;
            let now = self.now;
            for request in &mut self.running {
                if request.unread > 0 {
                    continue;
                }
                if request.remaining == KINDS[request.kind].output {
                    self.cached.extend(request.prompt.parts.iter().map(|part| part.hash));
                    events.push(Event::First {
                        node: request.node,
                        kind: request.kind,
                        choice: request.choice.clone(),
                        elapsed_ms: now - request.arrived,
                    });
                }
                request.remaining -= 1;
                if request.remaining == 0 {
                    events.push(Event::End { node: request.node, choice: request.choice.clone() });
                }
            }
            self.running.retain(|request| request.remaining > 0);
        }
    }
}

/// What a node observes of its request.
enum Event {
    First { node: usize, kind: usize, choice: Choice, elapsed_ms: f64 },
    End { node: usize, choice: Choice },
}

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
        started_ms: 0,
        cold_for: None,
    }
}

/// Draws a request; returns the index of its kind and its prompt.
fn random_prompt(random: &mut SmallRng, serial: u64) -> (usize, Prompt) {
    let mut remaining = random.random_range(0..1_000);
    let is_drawn = |kind: &Kind| {
        let found = remaining < kind.permille;
        remaining = remaining.saturating_sub(kind.permille);
        found
    };
    let index = KINDS.iter().position(is_drawn).expect("shares sum to a thousand");
    let kind = &KINDS[index];
    let prefix = random.random_range(0..kind.prefixes) + 1_000 * index as u64;
    let parts = [
        Part { hash: prefix, tokens: kind.prefix },
        Part { hash: 1_000_000 + serial, tokens: kind.suffix },
    ];
    let prompt = Prompt {
        prompt_tokens: kind.prefix + kind.suffix,
        max_output_tokens: kind.output,
        parts: parts.into_iter().collect(),
    };
    (index, prompt)
}

/// Simulates 20 s of requests at a rate, which `nodes` send to `endpoints`; the first 5 s aren't counted.
fn simulate(nodes: usize, endpoints: usize, rate_per_s: f64, seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let all: Vec<_> = (0..endpoints).map(endpoint).collect();
    let mut servers: Vec<Server> = (0..endpoints).map(|_| Server::default()).collect();
    let mut balancers: Vec<Balancer> = (0..nodes).map(|_| Balancer::default()).collect();
    let mut reported = vec![Vec::new(); nodes];
    let mut health = vec![vec![Health::default(); endpoints]; nodes];
    let index_of = |id: &Arc<str>| id[1..].parse::<usize>().expect("a number");
    let mut outcome = Outcome::default();
    let (mut now, mut serial, mut reports) = (0.0, 0, 0_usize);
    while now < 20_000.0 {
        now -= (1.0 - random.random::<f64>()).ln() * 1_000.0 / rate_per_s;
        serial += 1;
        let time = Duration::from_secs_f64(100.0 + now / 1_000.0);
        let mut events = Vec::new();
        for server in &mut servers {
            server.advance(now, &mut events);
        }
        for event in events {
            match event {
                Event::First { node, kind, mut choice, elapsed_ms } => {
                    balancers[node].record_first_event(&choice.endpoint, &mut choice.load);
                    let health = &mut health[node][index_of(&choice.endpoint)];
                    let balancer = &mut balancers[node];
                    let ratio = elapsed_ms / (choice.baseline.as_secs_f64() * 1_000.0);

                    health.record_slowness(ratio / balancer.service_slowdown("s", time));
                    let first = Duration::from_secs_f64(elapsed_ms / 1_000.0);
                    balancer.record_slowdown(&"s".into(), first, choice.baseline, time);
                    if now > 5_000.0 {
                        outcome.responses += 1;
                        outcome.late += u32::from(elapsed_ms > KINDS[kind].target_ms);
                    }
                }
                Event::End { node, mut choice } => {
                    choice.load.unread_tokens = 0;
                    balancers[node].end_request(&choice.endpoint, choice.load);
                }
            }
        }
        // The reports of the nodes are spread evenly over a period.
        while reports as f64 * REPORT_PERIOD_MS / (nodes as f64) < now {
            let reporter = reports % nodes;
            reports += 1;
            reported[reporter] =
                balancers[reporter].own_loads().map(|(id, load)| (id.clone(), load)).collect();
            let peers = (0..nodes).filter(|peer| *peer != reporter);
            let peers: Vec<_> = peers.flat_map(|peer| reported[peer].clone()).collect();
            balancers[reporter].set_peer_loads(peers.into_iter());
        }
        let (kind, prompt) = random_prompt(&mut random, serial);
        let node = random.random_range(0..nodes);
        let deadline = time + Duration::from_secs_f64(KINDS[kind].target_ms / 1_000.0);
        let job = Job { prompt: Some(&prompt), hash: random.random(), deadline, gap_target: None };
        let candidates = all.iter().enumerate().map(|(index, endpoint)| Candidate {
            endpoint,
            slowness: health[node][index].slowness(),
        });
        let domain = DOMAINS[node % 4];
        let Ok(choice) = balancers[node].choose(job, domain, candidates, Some(&ENGINE), time)
        else {
            outcome.refused += u32::from(now > 5_000.0);
            continue;
        };
        balancers[node].start_request(&choice, Some(&prompt), time);
        let server = &mut servers[index_of(&choice.endpoint)];
        server.queue.push_back(Request {
            arrived: now,
            node,
            kind,
            remaining: KINDS[kind].output,
            prompt,
            choice,
            unread: 0,
        });
    }
    outcome
}

/// Guards against nodes that all send to the same endpoint until they receive each other's load reports:
/// at most two percentage points more requests are late or refused than with one node that sees all
/// requests.
#[test]
fn stale_loads_cause_no_herding() {
    for seed in 0..3 {
        let (many, one) = (simulate(36, 30, 340.0, seed), simulate(1, 30, 340.0, seed));
        println!("seed {seed}: {many:?}, one node {one:?}");
        assert!(many.late_share() <= one.late_share() + 0.02, "seed {seed}");
    }
}

/// Guards against overload making all responses late when the endpoints could serve most of them in time:
/// at most five percentage points more requests are late or refused than with one node that sees all
/// requests.
#[test]
fn overload_keeps_most_on_time() {
    for seed in 0..3 {
        let (many, one) = (simulate(36, 24, 340.0, seed), simulate(1, 24, 340.0, seed));
        println!("seed {seed}: {many:?}, one node {one:?}");
        assert!(many.late_share() <= one.late_share() + 0.05, "seed {seed}");
    }
}

/// Returns how many of the endpoints ordered for a demand remain after the loss of a failure domain.
fn endpoints_after_domain_loss(tokens_per_s: u64) -> usize {
    let scaling = Scaling {
        min: 1,
        max: 30,
        boot_time: Duration::from_secs(4),
        reclaimable_price: Some(0.22),
        domain_prices: DOMAINS.iter().map(|name| (Arc::from(*name), 1.0)).collect(),
    };
    let mut planner = Planner::default();
    let time = |second: u64| Duration::from_secs(100 + second);
    for second in 0..60 {
        let mut snapshot = Snapshot {
            requested_tokens: second * tokens_per_s,
            prefill_tokens_per_s: PREFILL_TOKENS_PER_MS * 1_000.0,
            slots: 32,
            ..Snapshot::default()
        };
        snapshot.add_endpoint("a".into(), true);
        planner.observe(&"s".into(), &scaling, snapshot, time(second));
    }
    let orders = planner.orders(time(60));
    let kept = orders.iter().filter(|order| order.reclaimable && &*order.domain != "a");
    kept.map(|order| order.count as usize).sum()
}

/// Guards against ordering too few endpoints: after the loss of a failure domain, the remaining ones serve
/// all but two in a hundred requests on time.
#[test]
fn orders_cover_domain_loss() {
    let tokens_of = |kind: &Kind| {
        let parts = [kind.prefix, kind.suffix].map(|tokens| Part { hash: 0, tokens });
        let prompt = Prompt {
            prompt_tokens: kind.prefix + kind.suffix,
            max_output_tokens: kind.output,
            parts: parts.into_iter().collect(),
        };
        f64::from(kind.permille * demand::prefill_tokens(&prompt)) / 1_000.0
    };
    let tokens_per_s = 340.0 * KINDS.iter().map(tokens_of).sum::<f64>();
    let remaining = endpoints_after_domain_loss(tokens_per_s as u64);
    for seed in 0..3 {
        let outcome = simulate(36, remaining, 340.0, seed);
        println!("seed {seed}, {remaining} endpoints for {tokens_per_s:.0} tokens/s: {outcome:?}");
        assert!(outcome.late_share() <= 0.02, "seed {seed}");
    }
}
