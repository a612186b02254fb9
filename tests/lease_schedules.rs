//! Guards against two processes that hold one lease at the same time.
//!
//! Each simulated schedule runs several processes, whose clocks have different starts and speeds,
//! against a table that loses requests and answers, delays writes beyond the timeout, and has
//! outages. Processes are paused at random times.

use std::time::Duration;

use pomelolink::lease::{Action, Duty, Event, Lease, State};
use pomelolink::platform::{Outcome, Row, Transaction};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Step of the simulation, in milliseconds.
const TICK: u64 = 10;
/// Term of the lease, in milliseconds.
const TERM: u64 = 600;
/// Timeout of a call, in milliseconds.
const TIMEOUT: u64 = 150;

#[derive(Default)]
struct Table {
    row: Option<Row>,
    counter: u64,
    highest_fence: u64,
}

impl Table {
    fn run(&mut self, transaction: &Transaction) -> Outcome {
        let version = self.row.as_ref().map(|row| row.version);
        if transaction.conditions[0].version != version {
            return Outcome::Rejected(self.row.iter().cloned().collect());
        }
        self.counter += 1;
        let value = transaction.writes[0].value.clone().unwrap();
        let fence = Lease::from_value(&value).unwrap().fence;
        assert!(fence >= self.highest_fence, "the fencing number decreased to {fence}");
        self.highest_fence = fence;
        let key = transaction.writes[0].key.clone();
        self.row = Some(Row { key, version: self.counter, value });
        Outcome::Done(self.counter)
    }
}

/// A call in flight; times are in milliseconds since the start of the schedule.
struct Call {
    /// `None` for a read.
    write: Option<Transaction>,
    /// Time at which the call runs in the table; `None` if it is lost or has run.
    runs_at: Option<u64>,
    /// What the process receives; `None` until the call has run, unless the answer is lost or late.
    answer: Option<Event>,
    /// Time at which the process receives the answer or the timeout; `u64::MAX` after that.
    answers_at: u64,
}

struct Process {
    state: State,
    /// Reading of the process's clock at the start of the schedule, in milliseconds.
    clock_start_ms: u64,
    clock_speed: f64,
    paused_until: u64,
    wake_at: Duration,
    calls: Vec<Call>,
    in_call: bool,
    is_running: bool,
}

impl Process {
    fn new(index: usize, rng: &mut SmallRng) -> Process {
        let key = Duty::new("moves", "a").key();
        let name = format!("process-{index}");
        Process {
            state: State::new(key, name.as_str().into(), Duration::from_millis(TERM)),
            clock_start_ms: rng.random_range(0..1_000_000),
            clock_speed: rng.random_range(0.997..1.003),
            paused_until: 0,
            wake_at: Duration::ZERO,
            calls: Vec::new(),
            in_call: false,
            is_running: true,
        }
    }

    fn clock(&self, now: u64) -> Duration {
        Duration::from_secs_f64((self.clock_start_ms as f64 + now as f64 * self.clock_speed) / 1e3)
    }

    fn is_holder(&self, now: u64) -> bool {
        let grant = self.state.grant();
        grant.is_some_and(|grant| grant.is_valid_for(self.clock(now), Duration::ZERO))
    }

    /// Runs the calls that are due in the table, also while the process is paused.
    fn run_calls(&mut self, table: &mut Table, now: u64) {
        for call in &mut self.calls {
            if call.runs_at.is_none_or(|at| at > now) {
                continue;
            }
            call.runs_at = None;
            let event = match &call.write {
                Some(transaction) => Event::Written(table.run(transaction)),
                None => Event::Read(Ok(table.row.clone())),
            };
            // A call whose answer is lost or late already has the timeout as its answer.
            if call.answer.is_none() {
                call.answer = Some(event);
            }
        }
        self.calls.retain(|call| call.runs_at.is_some() || call.answers_at != u64::MAX);
    }

    fn step(&mut self, now: u64, faulty: bool, outage: bool, rng: &mut SmallRng) {
        let clock = self.clock(now);
        for call in &mut self.calls {
            if call.answers_at <= now {
                call.answers_at = u64::MAX;
                let timeout = match call.write {
                    Some(_) => Event::Written(Outcome::Unknown),
                    None => Event::Read(Err(())),
                };
                self.state.handle(call.answer.clone().unwrap_or(timeout), clock);
                self.in_call = false;
            }
        }
        if self.in_call || clock < self.wake_at {
            return;
        }
        let write = match self.state.next_action(clock) {
            Action::Wait(until) => {
                self.wake_at = until;
                return;
            }
            Action::Read => None,
            Action::Write(transaction) => Some(transaction),
        };
        self.in_call = true;
        let timed_out = || match write {
            Some(_) => Event::Written(Outcome::Unknown),
            None => Event::Read(Err(())),
        };
        let runs_at = now + TICK * rng.random_range(0..4);
        let answers_at = runs_at + TICK * rng.random_range(0..4);
        let (runs_at, answer, answers_at) = match rng.random_range(0..10) {
            _ if outage && write.is_some() => {
                (None, Some(Event::Written(Outcome::NotRun)), answers_at)
            }
            _ if outage => (None, Some(timed_out()), answers_at),
            0 if faulty => (None, Some(timed_out()), now + TIMEOUT),
            1 if faulty => (Some(runs_at), Some(timed_out()), now + TIMEOUT),
            // The call takes effect long after its timeout.
            2 if faulty => {
                (Some(now + rng.random_range(TIMEOUT..3 * TERM)), Some(timed_out()), now + TIMEOUT)
            }
            _ => (Some(runs_at), None, answers_at),
        };
        self.calls.push(Call { write, runs_at, answer, answers_at });
    }
}

/// Runs one schedule; returns how many times the lease was acquired.
fn run_schedule(seed: u64, processes: usize) -> usize {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut table = Table::default();
    let mut all: Vec<Process> = (0..processes).map(|index| Process::new(index, &mut rng)).collect();
    let (faults_end, end) = (15_000, 15_000 + 5 * TERM);
    let mut outage_until = 0;
    let mut holders = Vec::new();
    for now in (0..end).step_by(TICK as usize) {
        let faulty = now < faults_end;
        if faulty && rng.random_bool(0.001) {
            outage_until = (now + rng.random_range(TICK..4 * TERM)).min(faults_end);
        }
        for process in &mut all {
            if faulty && rng.random_bool(0.002) {
                process.paused_until = (now + rng.random_range(TICK..4 * TERM)).min(faults_end);
            }
            if faulty && rng.random_bool(0.0003) {
                process.state.release();
                process.wake_at = Duration::ZERO;
                process.is_running = false;
            }
        }
        // Processes that have released the lease are replaced, so that there is always another one
        // to acquire it.
        for (index, process) in all.iter_mut().enumerate() {
            if !process.is_running && process.state.is_released() && process.calls.is_empty() {
                *process = Process::new(index + 100 * (now as usize + 1), &mut rng);
            }
        }
        for process in &mut all {
            process.run_calls(&mut table, now);
            if now >= process.paused_until {
                process.step(now, faulty, now < outage_until, &mut rng);
            }
        }
        let holding: Vec<u64> = all
            .iter()
            .filter(|process| process.is_holder(now))
            .filter_map(|process| Some(process.state.grant()?.fence))
            .collect();
        assert!(holding.len() <= 1, "seed {seed}: two holders at {now} ms, fences {holding:?}");
        if let Some(fence) = holding.first()
            && holders.last() != Some(fence)
        {
            assert!(holders.last() < Some(fence), "seed {seed}: fence {fence} did not increase");
            holders.push(*fence);
        }
    }
    let held = all.iter().any(|process| process.is_holder(end));
    assert!(held, "seed {seed}: no process holds the lease {} ms after the last fault", 5 * TERM);
    holders.len()
}

/// Guards against two simultaneous holders, a fencing number that does not increase, and a lease
/// that no process acquires after the faults have ended.
#[test]
fn never_two_holders() {
    let changes: usize = (0..1_500).map(|seed| run_schedule(seed, 2 + seed as usize % 4)).sum();
    // The schedules test nothing unless the holder changes.
    assert!(changes > 3_000, "only {changes} changes of the holder");
    println!("1,500 schedules, {changes} acquisitions");
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn state(name: &str) -> State {
    State::new("lease/moves/a".to_owned(), name.into(), millis(TERM))
}

/// Runs the next action of a process against a table without faults; times are in milliseconds.
fn act(state: &mut State, table: &mut Table, sent: u64, answered: u64) {
    let event = match state.next_action(millis(sent)) {
        Action::Read => Event::Read(Ok(table.row.clone())),
        Action::Write(transaction) => Event::Written(table.run(&transaction)),
        Action::Wait(_) => return,
    };
    state.handle(event, millis(answered));
}

/// Guards against a paused process that acts after its lease has expired.
#[test]
fn paused_holder_expires() {
    let (mut table, mut first) = (Table::default(), state("first"));
    act(&mut first, &mut table, 0, 10);
    act(&mut first, &mut table, 20, 500);
    let grant = first.grant().unwrap();
    assert!(
        grant.is_valid_for(millis(619), Duration::ZERO),
        "the term counts from before the write"
    );
    assert!(!grant.is_valid_for(millis(620), Duration::ZERO));
    assert!(
        !grant.is_valid_for(millis(600), millis(50)),
        "an order must end before the lease expires"
    );
}

/// Guards against a lease that is used although the answer to its write arrived after the term.
#[test]
fn slow_answer_grants_nothing() {
    let (mut table, mut first) = (Table::default(), state("first"));
    act(&mut first, &mut table, 0, 10);
    act(&mut first, &mut table, 20, 20 + TERM);
    assert_eq!(first.grant(), None);
}

/// Guards against a write that is repeated, or a lease that is lost, because an answer was lost.
#[test]
fn lost_answer_read_back() {
    let (mut table, mut first) = (Table::default(), state("first"));
    act(&mut first, &mut table, 0, 10);
    let Action::Write(transaction) = first.next_action(millis(20)) else {
        panic!("expected a write")
    };
    table.run(&transaction);
    first.handle(Event::Written(Outcome::Unknown), millis(100));
    assert_eq!(first.grant(), None, "an unknown outcome does not grant the lease");
    act(&mut first, &mut table, 100, 110);
    assert_eq!(first.grant().unwrap().until, millis(20 + TERM));
    assert_eq!(table.counter, 1, "the row was written once");
}

/// Guards against two processes that both acquire a lease that no process has held before.
#[test]
fn racing_first_acquisition() {
    let (mut table, mut first, mut second) = (Table::default(), state("first"), state("second"));
    for process in [&mut first, &mut second] {
        act(process, &mut table, 0, 10);
    }
    for process in [&mut first, &mut second] {
        act(process, &mut table, 20, 30);
    }
    assert!(first.grant().is_some() && second.grant().is_none());
}

/// Guards against a takeover before the observer has seen the row unchanged for the whole term.
#[test]
fn early_takeover() {
    let (mut table, mut first, mut second) = (Table::default(), state("first"), state("second"));
    act(&mut first, &mut table, 0, 0);
    act(&mut first, &mut table, 0, 0);
    for now in (0..=TERM).step_by(5) {
        act(&mut second, &mut table, 400 + now, 400 + now);
        assert_eq!(second.grant(), None, "took over after {now} ms");
    }
    for now in (TERM..TERM + 100).step_by(5) {
        act(&mut second, &mut table, 400 + now, 400 + now);
    }
    assert_eq!(second.grant().map(|grant| grant.fence), Some(2));
}

/// Guards against a lease that is held past its term because renewals fail.
#[test]
fn outage_expires_lease() {
    let (mut table, mut first) = (Table::default(), state("first"));
    act(&mut first, &mut table, 0, 0);
    act(&mut first, &mut table, 0, 0);
    for now in (200..1_200).step_by(10) {
        match first.next_action(millis(now)) {
            Action::Write(_) => first.handle(Event::Written(Outcome::NotRun), millis(now)),
            Action::Read => first.handle(Event::Read(Err(())), millis(now)),
            Action::Wait(_) => {}
        }
        assert_eq!(first.grant().is_some(), now < TERM, "at {now} ms");
    }
}
