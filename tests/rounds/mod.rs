//! Drives membership states with a queue of messages that has loss and cuts; no clock, no sockets.

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
/// IPv4 and UDP headers; a TCP exchange is counted with two of them, which is a lower bound.
const HEADERS: usize = 28;

enum Event {
    Tick,
    Deliver(SocketAddr, Message),
    SyncRequest(SocketAddr, Vec<Member>),
    SyncReply(Vec<Member>),
}

pub struct Rounds {
    pub states: Vec<State>,
    pub down: Vec<bool>,
    pub loss: f64,
    /// Failure domain that cannot reach the others.
    pub cut: Option<usize>,
    /// Bytes of datagrams and of full exchanges sent by each node.
    pub datagram_bytes: Vec<u64>,
    pub sync_bytes: Vec<u64>,
    pub largest_datagram: usize,
    pub deaths: usize,
    pub now: Duration,
    seed: u64,
    rng: SmallRng,
    /// Events by time and by order of their creation, with the node that they are for.
    events: BTreeMap<(Duration, u64), (usize, Box<Event>)>,
    created: u64,
}

impl Rounds {
    /// Starts nodes at the same time; the first node of each failure domain is a seed.
    pub fn new(count: usize, seed: u64) -> Rounds {
        let mut rounds = Rounds {
            states: Vec::new(),
            down: vec![false; count],
            loss: 0.0,
            cut: None,
            datagram_bytes: vec![0; count],
            sync_bytes: vec![0; count],
            largest_datagram: 0,
            deaths: 0,
            now: Duration::ZERO,
            seed,
            rng: SmallRng::seed_from_u64(seed),
            events: BTreeMap::new(),
            created: 0,
        };
        for index in 0..count {
            rounds.states.push(rounds.state(index, 1_700_000_000_000));
            let offset = (PERIOD / TICKS_PER_PERIOD).mul_f64(rounds.rng.random());
            rounds.push(offset, index, Event::Tick);
        }
        rounds
    }

    fn state(&self, index: usize, incarnation: u64) -> State {
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
        self.states[index] = self.state(index, incarnation);
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

    /// Counts the periods until a condition holds; panics when it does not hold within `limit`.
    pub fn periods_until(&mut self, limit: u32, condition: impl Fn(&Rounds) -> bool) -> u32 {
        for period in 0..=limit {
            if condition(self) {
                return period;
            }
            self.run(1);
        }
        panic!("condition does not hold after {limit} periods");
    }

    /// Counts the running nodes in whose view a node has a status.
    pub fn believers(&self, index: usize, status: Status) -> usize {
        let name = format!("entry-{index:04}");
        let running = self.states.iter().zip(&self.down).filter(|&(_, &down)| !down);
        let views = running.map(|(state, _)| state.get(&name));
        views.filter(|member| member.is_some_and(|member| member.status == status)).count()
    }

    /// Tells whether all running nodes have the same view, with everyone in it alive.
    pub fn agree(&self) -> bool {
        let running = self.down.iter().filter(|&&down| !down).count();
        let states = self.states.iter().zip(&self.down).filter(|&(_, &down)| !down);
        let states: Vec<&State> = states.map(|(state, _)| state).collect();
        let alive = |state: &State| {
            let list = state.list();
            list.iter().filter(|member| member.status == Status::Alive).count()
        };
        states.iter().all(|state| state.view() == states[0].view())
            && states.iter().all(|state| alive(state) == running)
    }

    fn handle(&mut self, node: usize, event: Event) {
        let now = self.now;
        if let Event::Tick = event {
            self.push(now + PERIOD / TICKS_PER_PERIOD, node, Event::Tick);
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
                self.sync_bytes[node] += encoded(&list);
                self.deliver(node, from, Event::SyncReply(list), false);
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
                    let datagram = Datagram { revision: 100_000, marks: u64::MAX, content };
                    let bytes = postcard::to_allocvec(&datagram).unwrap().len();
                    let frame = wire::HEADER_BYTES + bytes + wire::TAG_BYTES;
                    self.largest_datagram = self.largest_datagram.max(frame);
                    self.datagram_bytes[node] += (frame + HEADERS) as u64;
                    self.deliver(node, to, Event::Deliver(address(node), message), true);
                }
                Action::Sync(to) => {
                    let list = self.states[node].list();
                    self.sync_bytes[node] += encoded(&list);
                    self.deliver(node, to, Event::SyncRequest(address(node), list), false);
                }
                Action::Changed(member) => {
                    self.deaths += usize::from(member.status == Status::Dead);
                }
                Action::Outdated(_) => {}
            }
        }
    }

    fn deliver(&mut self, from: usize, to: SocketAddr, event: Event, may_be_lost: bool) {
        let to = index(to);
        let separated =
            self.cut.is_some_and(|cut| (from % DOMAINS == cut) != (to % DOMAINS == cut));
        let lost = may_be_lost && self.loss > 0.0 && self.rng.random_bool(self.loss);
        if !separated && !lost {
            // Delays differ, so that messages overtake each other.
            let delay = Duration::from_micros(self.rng.random_range(500..8_000));
            self.push(self.now + delay, to, event);
        }
    }

    fn push(&mut self, at: Duration, node: usize, event: Event) {
        self.created += 1;
        self.events.insert((at, self.created), (node, Box::new(event)));
    }
}

fn encoded(list: &Vec<Member>) -> u64 {
    let bytes = postcard::to_allocvec(list).unwrap().len();
    (wire::HEADER_BYTES + bytes + wire::TAG_BYTES + 2 * HEADERS) as u64
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250 + 1) as u8], 7_000))
}

fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { panic!("no such node") };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low) - 1
}
