mod faults;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::Settings;
use super::fleet::{self, MODEL, Node, PLAIN, PLAIN_SERVICE, PLAIN_SLOTS, Service};
use crate::admission::{Action, Arrival, Verdict};
use crate::error::Kind;
use crate::retry;
use crate::trace::Record;
use crate::trace::engine::{self, Engine};
use crate::trace::report::Report;

/// Time after which a failing endpoint answers.
const FAILURE: Duration = Duration::from_millis(5);

/// Part of plain requests that take `SLOW` times as long.
const SLOW_PART: f64 = 0.02;
const SLOW: f64 = 20.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Send(usize),
    Hedge(usize),
    /// The first token of an attempt, and its end.
    First(usize),
    Done(usize),
    Failed(usize, bool),
    /// The worker refused the connection.
    Refused(usize),
    Cached(usize, u64),
    Expire(usize, usize),
    Leave,
    Crash,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    #[default]
    Open,
    Answered,
    Ended,
}

#[derive(Debug, Default, Clone)]
struct Request {
    node: usize,
    arrived: Duration,
    started: Duration,
    deadline: Duration,
    attempts: u32,
    runs: u32,
    first_seen: bool,
    outcome: Outcome,
    tried: Vec<Arc<str>>,
}

#[derive(Debug)]
struct Attempt {
    request: usize,
    engine: usize,
    id: Arc<str>,
    sent: Duration,
    /// Requests that the node had in flight at the endpoint when it sent this one.
    beside: u32,
    ended: bool,
}

/// Runs one replay: a queue of events over nodes and engines.
pub struct Simulation<'a> {
    settings: &'a Settings,
    records: &'a [Record],
    random: StdRng,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    numbers: HashMap<Arc<str>, usize>,
    listed: [Vec<Arc<str>>; 2],
    left: HashSet<Arc<str>>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    seen: HashSet<u64>,
    report: Report,
}

impl<'a> Simulation<'a> {
    pub fn new(settings: &'a Settings, records: &'a [Record]) -> Simulation<'a> {
        let listed = [MODEL, PLAIN].map(|kind| {
            let endpoints = fleet::endpoints(settings, kind);
            endpoints.into_iter().map(|endpoint| endpoint.id).collect::<Vec<_>>()
        });
        let numbers = listed.iter().flatten().cloned().zip(0..).collect();
        let plain = engine::Settings { slots: PLAIN_SLOTS, ..settings.engine };
        let kinds = listed[MODEL].iter().map(|_| settings.engine);
        let kinds = kinds.chain(listed[PLAIN].iter().map(|_| plain));
        Simulation {
            settings,
            records,
            random: StdRng::seed_from_u64(settings.seed),
            events: BinaryHeap::new(),
            sequence: 0,
            nodes: (0..settings.nodes.max(1)).map(|node| Node::new(settings, node)).collect(),
            engines: kinds.map(|kind| Engine::new(kind, settings.block_tokens)).collect(),
            numbers,
            listed,
            left: HashSet::new(),
            requests: vec![Request::default(); records.len()],
            attempts: Vec::new(),
            seen: HashSet::new(),
            report: Report::default(),
        }
    }

    pub fn run(mut self) -> Report {
        for (index, record) in self.records.iter().enumerate() {
            self.at(Duration::from_millis(record.timestamp), Event::Arrive(index));
        }
        if let Some(leaving) = self.settings.leaving {
            self.at(leaving, Event::Leave);
        }
        if let Some(crash) = self.settings.crash {
            self.at(crash.from, Event::Crash);
        }
        let mut now = Duration::ZERO;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            now = at;
            match event {
                Event::Arrive(request) => self.arrive(now, request),
                Event::Send(request) => self.send(now, request),
                Event::Hedge(request) => self.hedge(now, request),
                Event::First(attempt) => self.first(now, attempt),
                Event::Done(attempt) => self.done(now, attempt),
                Event::Failed(attempt, ran) => self.failed(now, attempt, ran, false),
                Event::Refused(attempt) => self.failed(now, attempt, false, true),
                Event::Cached(engine, block) => self.cached(now, engine, block),
                Event::Expire(node, kind) => {
                    self.nodes[node].services[kind].timer = None;
                    self.ready(now, node, kind);
                }
                Event::Leave => self.leave(now),
                Event::Crash => self.crash(now),
            }
        }
        self.finish(now)
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn kind(&self, request: usize) -> usize {
        if self.records[request].is_model() { MODEL } else { PLAIN }
    }

    fn service(&mut self, request: usize) -> &mut Service {
        let kind = self.kind(request);
        &mut self.nodes[self.requests[request].node].services[kind]
    }

    fn is_idempotent(&self, request: usize) -> bool {
        let record = &self.records[request];
        record.is_model() || record.is_lookup()
    }

    fn arrive(&mut self, now: Duration, index: usize) {
        let record = &self.records[index];
        let allowed = self.settings.allowed(record);
        let node = self.random.random_range(0..self.nodes.len());
        let deadline = now + allowed;
        self.report.requests += 1;
        self.requests[index] =
            Request { node, arrived: now, started: now, deadline, ..Request::default() };
        if self.fault_part(now) > 0.0 {
            self.report.fault_requests += 1;
        }
        if !self.settings.admission {
            return self.send(now, index);
        }
        let ask = Arrival {
            workspace: record.workspace.clone(),
            weight: 1,
            priority: record.priority,
            deadline,
            class: record.service.clone(),
            work: 1,
        };
        let kind = self.kind(index);
        match self.service(index).gate.submit(now, index as u64, ask) {
            Verdict::Admit => self.send(now, index),
            Verdict::Refuse(kind) => self.refuse(index, kind),
            Verdict::Wait => {}
        }
        self.ready(now, node, kind);
    }

    fn ready(&mut self, now: Duration, node: usize, kind: usize) {
        if !self.settings.admission {
            return;
        }
        for action in self.nodes[node].services[kind].gate.poll(now) {
            match action {
                Action::Admit(id) => self.send(now, id as usize),
                Action::Refuse(id, kind) => self.refuse(id as usize, kind),
            }
        }
        let service = &mut self.nodes[node].services[kind];
        let next =
            service.gate.next_expiry().filter(|next| service.timer.is_none_or(|set| *next < set));
        if let Some(next) = next {
            service.timer = Some(next);
            self.at(next.max(now), Event::Expire(node, kind));
        }
    }

    fn refuse(&mut self, index: usize, kind: Kind) {
        *self.report.refused.entry(kind.entry().name).or_default() += 1;
        self.requests[index].outcome = Outcome::Ended;
    }

    fn send(&mut self, now: Duration, index: usize) {
        if self.requests[index].attempts == 0 {
            self.requests[index].started = now;
        }
        let settings = self.settings;
        let kind = self.kind(index);
        let exclude = self.requests[index].tried.clone();
        let blocks = &self.records[index].hash_ids;
        let service = &mut self.nodes[self.requests[index].node].services[kind];
        let listed = &self.listed[kind];
        let chosen = service.choose(now, settings, listed, blocks, &exclude, &mut self.random);
        // With every endpoint tried, the least bad choice is one that was tried before.
        let chosen =
            chosen.or_else(|| service.choose(now, settings, listed, blocks, &[], &mut self.random));
        let Some(id) = chosen else { return self.end(now, index, Some(Kind::NoEndpoint)) };
        // After a crash the mean is taken with or without the worker, whether it is left out or not.
        let crashed = settings.crash.is_some_and(|crash| now >= crash.from) && kind == MODEL;
        let within = service.is_within_bound(now, listed, &id)
            || crashed && service.is_within_bound(now, &listed[1..], &id);
        if settings.choice == super::Choice::Affinity && exclude.is_empty() && !within {
            self.report.above_bound += 1;
        }
        service.table.record_start(now, &id);
        self.submit(now, index, id);
    }

    fn submit(&mut self, now: Duration, index: usize, id: Arc<str>) {
        let engine = self.numbers[&id];
        self.report.attempts += 1;
        let fault = self.fault_part(now);
        if fault > 0.0 {
            self.report.fault_attempts += 1;
        }
        if self.left.contains(&id) {
            self.report.sent_to_leaving += 1;
        }
        let request = &mut self.requests[index];
        request.attempts += 1;
        request.tried.push(id.clone());
        let load = self.service(index).table.load(now, &id).unwrap_or(0.0);
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request: index,
            engine,
            id,
            sent: now,
            beside: load as u32,
            ended: false,
        });
        if self.random.random::<f64>() < fault {
            let ran = self.random.random::<f64>() < 0.5;
            return self.at(now + FAILURE, Event::Failed(attempt, ran));
        }
        if self.is_crashed(now, engine) {
            self.report.refused_connections += 1;
            return self.at(now + FAILURE, Event::Refused(attempt));
        }
        self.requests[index].runs += 1;
        let after = {
            let lookup = self.records[index].is_lookup();
            let service = self.service(index);
            retry::Policy::default().hedge_after(&service.latency, lookup)
        };
        if let (Some(after), 1) = (after, self.requests[index].attempts) {
            self.at(now + after, Event::Hedge(index));
        }
        self.engines[engine].queue.push_back(attempt);
        self.start_queued(now, engine);
    }

    fn start_queued(&mut self, now: Duration, engine: usize) {
        while self.engines[engine].has_slot() {
            let Some(attempt) = self.engines[engine].queue.pop_front() else { break };
            let records = self.records;
            let record = &records[self.attempts[attempt].request];
            if !record.is_model() {
                self.engines[engine].running += 1;
                let slow = self.random.random::<f64>() < SLOW_PART;
                let factor = if slow { SLOW } else { self.random.random_range(0.5..1.5) };
                let done = now + PLAIN_SERVICE.mul_f64(factor);
                self.at(done, Event::First(attempt));
                self.at(done, Event::Done(attempt));
                continue;
            }
            let block_tokens = self.settings.block_tokens;
            let (input, output) = (record.input_length, record.output_length);
            let timing =
                self.engines[engine].start(now, &record.hash_ids, input, output, block_tokens);
            self.count_prefill(record, timing.cached);
            self.at(timing.first, Event::First(attempt));
            self.at(timing.done, Event::Done(attempt));
            self.report_cached(timing.first, engine, record);
        }
    }

    fn count_prefill(&mut self, record: &Record, cached: usize) {
        let block = u64::from(self.settings.block_tokens);
        self.report.prompt_tokens += u64::from(record.input_length);
        let left = u64::from(record.input_length).saturating_sub(cached as u64 * block);
        self.report.prefilled += left;
        for &id in &record.hash_ids[cached.min(record.hash_ids.len())..] {
            if !self.seen.insert(id) {
                self.report.recomputed += block;
            }
        }
    }

    /// Sends a late cache event for the end of a prompt, unless the event is lost.
    fn report_cached(&mut self, at: Duration, engine: usize, record: &Record) {
        let lost = self.random.random::<f64>() < self.settings.event_loss;
        if let (false, Some(&block)) = (lost, record.hash_ids.last()) {
            let delay = self.settings.event_delay.mul_f64(self.random.random_range(0.5..1.5));
            self.at(at + delay, Event::Cached(engine, block));
        }
    }

    fn cached(&mut self, now: Duration, engine: usize, block: u64) {
        let Some(id) = self.listed[MODEL].get(engine).cloned() else { return };
        for node in &mut self.nodes {
            node.services[MODEL].table.record_cached(now, &id, block);
        }
    }

    fn first(&mut self, now: Duration, attempt: usize) {
        if self.attempts[attempt].ended {
            return;
        }
        let Attempt { request: index, engine, id, sent, beside, .. } = &self.attempts[attempt];
        let (index, sent, beside, id) = (*index, *sent, *beside, id.clone());
        let engine = &self.engines[*engine];
        let (running, queued) = (engine.running as u32, engine.queue.len() as u32);
        let is_model = self.records[index].is_model();
        let request = &mut self.requests[index];
        let since = now.saturating_sub(request.arrived);
        let unseen = !std::mem::replace(&mut request.first_seen, true);
        if is_model && unseen {
            self.report.first_token.push(since);
        }
        let service = self.service(index);
        service.table.record_load(now, &id, running, queued);
        service.adapt(&id, now.saturating_sub(sent), beside);
    }

    fn done(&mut self, now: Duration, attempt: usize) {
        if std::mem::replace(&mut self.attempts[attempt].ended, true) {
            return;
        }
        let Attempt { request: index, engine, id, sent, .. } = &self.attempts[attempt];
        let (index, engine, id, sent) = (*index, *engine, id.clone(), *sent);
        let service = self.service(index);
        service.table.record_answer(&id);
        service.latency.record(now.saturating_sub(sent));
        self.engines[engine].running -= 1;
        self.start_queued(now, engine);
        if self.requests[index].outcome == Outcome::Open {
            if self.requests[index].attempts == 1 {
                self.service(index).budget.record_success();
            }
            self.answered(now, index);
            self.end(now, index, None);
        }
    }

    fn answered(&mut self, now: Duration, index: usize) {
        let record = &self.records[index];
        self.report.answered += 1;
        self.requests[index].outcome = Outcome::Answered;
        if now > self.requests[index].deadline {
            return;
        }
        self.report.in_time += 1;
        if record.is_model() {
            *self.report.by_workspace.entry(record.workspace.to_string()).or_default() += 1;
        }
        let last = self.records.last().map_or(0, |record| record.timestamp);
        if now >= self.settings.warm_up && now <= Duration::from_millis(last) && record.is_model() {
            self.report.useful_requests += 1;
            self.report.useful_tokens += u64::from(record.output_length);
        }
    }

    /// Closes a request at the gate; a kind says that it ended without a response.
    fn end(&mut self, now: Duration, index: usize, kind: Option<Kind>) {
        if let Some(kind) = kind {
            if self.requests[index].runs == 0 {
                self.refuse(index, kind);
            } else {
                self.report.failed += 1;
                self.requests[index].outcome = Outcome::Ended;
            }
        }
        if self.settings.admission {
            let gate = &mut self.service(index).gate;
            match kind {
                None => gate.complete(now, index as u64),
                Some(_) => gate.cancel(index as u64),
            }
        }
        let (node, kind) = (self.requests[index].node, self.kind(index));
        self.ready(now, node, kind);
    }
}
