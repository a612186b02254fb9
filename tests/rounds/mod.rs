//! Simulates the membership of a cluster with an event queue that models loss and partitions,
//! without a real clock or sockets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use pomelolink::membership::{Action, Member, Message, State, Status, TICKS_PER_PERIOD};
use pomelolink::peer::{Content, Datagram};
use pomelolink::wire;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub const PERIOD: Duration = Duration::from_secs(1);
pub const DOMAINS: usize = 4;
/// Size of the IPv4 and UDP headers; a TCP exchange counts two of them, which is a lower bound.
const IP_UDP_HEADER_BYTES: usize = 28;

enum Event {
    Tick,
    Deliver(SocketAddr, Message),
    SyncRequest(SocketAddr, Vec<Member>),
    SyncReply(Vec<Member>),
}

pub struct Simulation {
    pub states: Vec<State>,
    pub down: Vec<bool>,
    pub loss: f64,
    /// Failure domain that cannot reach the others.
    pub partition: Option<usize>,
    /// Bytes of datagrams and of full exchanges sent by each node.
    pub datagram_bytes: Vec<u64>,
    pub sync_bytes: Vec<u64>,
    pub largest_datagram: usize,
    pub reported_deaths: usize,
    pub now: Duration,
    seed: u64,
    rng: SmallRng,
    /// Events by time and order of creation, with the index of the node that handles them.
    events: BTreeMap<(Duration, u64), (usize, Box<Event>)>,
    event_count: u64,
}

impl Simulation {
    /// Creates nodes that start at the same time; the first node of each failure domain is a seed.
    pub fn new(count: usize, seed: u64) -> Simulation {
        let mut simulation = Simulation {
            states: Vec::new(),
            down: vec![false; count],
            loss: 0.0,
            partition: None,
            datagram_bytes: vec![0; count],
            sync_bytes: vec![0; count],
            largest_datagram: 0,
            reported_deaths: 0,
            now: Duration::ZERO,
            seed,
            rng: SmallRng::seed_from_u64(seed),
            events: BTreeMap::new(),
            event_count: 0,
        };
        for index in 0..count {
            simulation.states.push(simulation.new_state(index, 1_700_000_000_000));
            let offset = (PERIOD / TICKS_PER_PERIOD).mul_f64(simulation.rng.random());
            simulation.schedule(offset, index, Event::Tick);
        }
        simulation
    }

    fn new_state(&self, index: usize, incarnation: u64) -> State {
        let me = Member {
            node: format!("entry-{index:04}").as_str().into(),
            address: address(index),
            region: "milan".into(),
            failure_domain: format!("milan-{}", index % DOMAINS).into(),
            incarnation,
            status: Status::Alive,
        };
        let seeds = (0..DOMAINS).map(address).collect();
        let seed = self.seed ^ ((index as u64) << 20) ^ incarnation;
        State::new(me, seeds, PERIOD, seed, self.now)
    }

    /// Replaces a node by a new process of the same name.
    pub fn restart(&mut self, index: usize, incarnation: u64) {
        self.states[index] = self.new_state(index, incarnation);
        self.down[index] = false;
    }

    pub fn leave(&mut self, index: usize) {
        let actions = self.states[index].leave();
        self.perform(index, actions);
    }

    pub fn run(&mut self, periods: u32) {
        let end = self.now + PERIOD * periods;
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), (node, event)) = entry.remove_entry();
            self.now = at;
            self.handle(node, *event);
        }
        self.now = end;
    }

    /// Runs until a condition holds and returns the periods that took; panics if it does not hold
    /// within `limit` periods.
    pub fn run_until(&mut self, limit: u32, condition: impl Fn(&Simulation) -> bool) -> u32 {
        for period in 0..=limit {
            if condition(self) {
                return period;
            }
            self.run(1);
        }
        panic!("condition does not hold after {limit} periods");
    }

    /// Counts the running nodes in whose view the given node has a status.
    pub fn nodes_seeing(&self, index: usize, status: Status) -> usize {
        let name = format!("entry-{index:04}");
        let running = self.states.iter().zip(&self.down).filter(|&(_, &down)| !down);
        let views = running.map(|(state, _)| state.get(&name));
        views.filter(|member| member.is_some_and(|member| member.status == status)).count()
    }

    /// Returns whether all running nodes have the same view, with all running nodes alive in it.
    pub fn views_agree(&self) -> bool {
        let running = self.down.iter().filter(|&&down| !down).count();
        let states = self.states.iter().zip(&self.down).filter(|&(_, &down)| !down);
        let states: Vec<&State> = states.map(|(state, _)| state).collect();
        let alive = |state: &State| {
            let list = state.list();
            list.iter().filter(|member| member.status == Status::Alive).count()
        };
        states.iter().all(|state| state.view_digest() == states[0].view_digest())
            && states.iter().all(|state| alive(state) == running)
    }

    fn handle(&mut self, node: usize, event: Event) {
        let now = self.now;
        if let Event::Tick = event {
            self.schedule(now + PERIOD / TICKS_PER_PERIOD, node, Event::Tick);
        }
        if self.down[node] {
            return;
        }
        let state = &mut self.states[node];
        let actions = match event {
            Event::Tick => state.tick(now),
            Event::Deliver(from, message) => state.receive(from, message, now),
            Event::SyncReply(members) => state.merge(members, now),
            Event::SyncRequest(from, members) => {
                let (list, actions) = state.exchange(members, now);
                self.sync_bytes[node] += exchange_bytes(&list);
                self.transmit(node, from, Event::SyncReply(list), false);
                actions
            }
        };
        self.perform(node, actions);
    }

    fn perform(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    let content = Content::Probe(message.clone());
                    let datagram =
                        Datagram { revision: 100_000, bad_versions_digest: u64::MAX, content };
                    let bytes = postcard::to_allocvec(&datagram).unwrap().len();
                    let frame = wire::HEADER_BYTES + bytes + wire::TAG_BYTES;
                    self.largest_datagram = self.largest_datagram.max(frame);
                    self.datagram_bytes[node] += (frame + IP_UDP_HEADER_BYTES) as u64;
                    self.transmit(node, to, Event::Deliver(address(node), message), true);
                }
                Action::Sync(to) => {
                    let list = self.states[node].list();
                    self.sync_bytes[node] += exchange_bytes(&list);
                    self.transmit(node, to, Event::SyncRequest(address(node), list), false);
                }
                Action::Changed(member) => {
                    self.reported_deaths += usize::from(member.status == Status::Dead);
                }
                Action::StaleIncarnation(_) => {}
            }
        }
    }

    fn transmit(&mut self, from: usize, to: SocketAddr, event: Event, is_lossy: bool) {
        let to = index(to);
        let is_partitioned =
            self.partition.is_some_and(|side| (from % DOMAINS == side) != (to % DOMAINS == side));
        let is_lost = is_lossy && self.loss > 0.0 && self.rng.random_bool(self.loss);
        if !is_partitioned && !is_lost {
            // Random delays let messages overtake each other.
            let delay = Duration::from_micros(self.rng.random_range(500..8_000));
            self.schedule(self.now + delay, to, event);
        }
    }

    fn schedule(&mut self, at: Duration, node: usize, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), (node, Box::new(event)));
    }
}

fn exchange_bytes(list: &Vec<Member>) -> u64 {
    let bytes = postcard::to_allocvec(list).unwrap().len();
    (wire::HEADER_BYTES + bytes + wire::TAG_BYTES + 2 * IP_UDP_HEADER_BYTES) as u64
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250 + 1) as u8], 7_000))
}

fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { panic!("no such node") };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low) - 1
}
