//! Sends many keyed bookings while faults are active, and compares answers with executions.

#![allow(dead_code, reason = "each test file uses its own part of the helpers")]

pub mod proxied;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{StreamExt, stream};
use serde_json::{Value, json};
use standin::client;
use standin::fleet::{self, Fleet};

use crate::common;

pub type Result<T = ()> = std::result::Result<T, Box<dyn std::error::Error>>;

/// Holds what one attempt of one operation ended with.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub key: String,
    /// 0 when the connection to the entry VM broke.
    pub status: u16,
    pub run: String,
    pub body: Value,
    pub detail: String,
}

impl Outcome {
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Selects what `drive` sends.
#[derive(Debug, Clone)]
pub struct Load {
    pub name: &'static str,
    pub operations: usize,
    pub concurrency: usize,
    /// Attempts per operation; each further one goes to the next entry VM.
    pub attempts: usize,
    pub deadline_ms: u64,
    pub keyed: bool,
    /// Time before an operation is repeated.
    pub pause_ms: u64,
    /// Operations started per second; 0 to start as many as the concurrency allows.
    pub rate: u32,
}

impl Load {
    pub fn new(name: &'static str, operations: usize) -> Load {
        Load {
            name,
            operations,
            concurrency: 64,
            attempts: 3,
            deadline_ms: 3_000,
            keyed: true,
            pause_ms: 100,
            rate: 0,
        }
    }
}

/// Books one operation under the key of the same name.
pub async fn book(entry: SocketAddr, key: &str, deadline_ms: u64, keyed: bool) -> Outcome {
    let deadline = deadline_ms.to_string();
    let mut headers = vec![("x-operation", key), ("x-deadline-ms", deadline.as_str())];
    if keyed {
        headers.push(("idempotency-key", key));
    }
    match common::send(entry, "POST", "/booking/bookings", &headers, "{}").await {
        Ok(answer) => Outcome {
            key: key.to_owned(),
            status: answer.status.as_u16(),
            run: answer.header("x-request-run").to_owned(),
            body: answer.json(),
            detail: answer.text(),
        },
        Err(error) => Outcome {
            key: key.to_owned(),
            status: 0,
            run: "unknown".to_owned(),
            body: Value::Null,
            detail: error.to_string(),
        },
    }
}

/// Sends all operations of a load. Every third operation is never repeated, so that its refusal can
/// be compared with its executions; an unkeyed one must not be repeated unless it was not run.
pub async fn drive(entries: Vec<SocketAddr>, load: Load) -> Vec<Outcome> {
    let load = Arc::new(load);
    let (began, rate) = (tokio::time::Instant::now(), load.rate);
    let numbers = stream::iter(0..load.operations).then(|number| async move {
        if rate > 0 {
            let due = Duration::from_secs_f64(number as f64 / f64::from(rate));
            tokio::time::sleep_until(began + due).await;
        }
        number
    });
    let operations = numbers.map(|number| {
        let (entries, load) = (entries.clone(), load.clone());
        let task = tokio::spawn(async move { operation(&entries, &load, number).await });
        async move { task.await.unwrap_or_default() }
    });
    operations.buffer_unordered(load.concurrency).concat().await
}

async fn operation(entries: &[SocketAddr], load: &Load, number: usize) -> Vec<Outcome> {
    let key = format!("{}-{number}", load.name);
    let mut outcomes: Vec<Outcome> = Vec::new();
    let attempts = if number.is_multiple_of(3) { 1 } else { load.attempts };
    for attempt in 0..attempts {
        // Spreads the operations that are sent once over all entry VMs too.
        let entry = entries[(number + number / 3 + attempt) % entries.len()];
        let outcome = book(entry, &key, load.deadline_ms, load.keyed).await;
        let end = outcome.is_success() || (!load.keyed && outcome.run != "no");
        outcomes.push(outcome);
        if end {
            break;
        }
        pause(load.pause_ms).await;
    }
    outcomes
}

/// Gives how often each operation ran, over all endpoints.
pub async fn executions(fleet: &Fleet) -> Result<BTreeMap<String, u64>> {
    let mut counts = BTreeMap::new();
    for address in fleet.endpoints.iter().map(|endpoint| endpoint.vm.address) {
        let answer = client::call(address, "GET", "/control/executions", &[], "").await?;
        let part: BTreeMap<String, u64> = serde_json::from_slice(&answer.body)?;
        for (key, count) in part {
            *counts.entry(key).or_insert(0) += count;
        }
    }
    Ok(counts)
}

/// Counts what the outcomes of a test were, for its output and its lower bounds.
#[derive(Debug, Default)]
pub struct Summary {
    pub operations: usize,
    pub answered: usize,
    pub refused_not_run: usize,
    pub unknown: usize,
}

/// Checks invariants I3, I4 and I5 on the outcomes of a test.
pub fn check(outcomes: &[Outcome], executions: &BTreeMap<String, u64>) -> Summary {
    let mut by_key: BTreeMap<&str, Vec<&Outcome>> = BTreeMap::new();
    for outcome in outcomes {
        by_key.entry(&outcome.key).or_default().push(outcome);
    }
    let mut summary = Summary { operations: by_key.len(), ..Summary::default() };
    for (key, tries) in by_key {
        let ran = executions.get(key).copied().unwrap_or(0);
        assert!(ran <= 1, "{key} ran {ran} times: {tries:?}");
        let answers: Vec<_> = tries.iter().filter(|outcome| outcome.is_success()).collect();
        for answer in &answers {
            assert_eq!(ran, 1, "{key} was answered but ran {ran} times: {tries:?}");
            assert_eq!(answer.body["operation"], json!(key), "crossed answer: {tries:?}");
            assert_eq!(answer.body, answers[0].body, "the answer of {key} changed: {tries:?}");
        }
        if tries.iter().all(|outcome| outcome.run == "no") {
            assert_eq!(ran, 0, "{key} ran although every refusal said not run: {tries:?}");
            summary.refused_not_run += 1;
        }
        summary.answered += usize::from(!answers.is_empty());
        summary.unknown += usize::from(tries.iter().any(|outcome| outcome.run == "unknown"));
    }
    println!("{summary:?} {:?}", kinds(outcomes));
    summary
}

/// Counts the outcomes of all attempts by error kind.
fn kinds(outcomes: &[Outcome]) -> BTreeMap<String, usize> {
    let mut kinds = BTreeMap::new();
    for outcome in outcomes.iter().filter(|outcome| !outcome.is_success()) {
        let kind = outcome.body["error"]["kind"].as_str().unwrap_or("connection broke");
        *kinds.entry(kind.to_owned()).or_insert(0) += 1;
    }
    kinds
}

/// Repeats answered operations at other entry VMs: the recorded answer must come back.
pub async fn check_recorded(entries: &[SocketAddr], outcomes: &[Outcome]) {
    let answered = outcomes.iter().filter(|outcome| outcome.is_success()).step_by(5);
    let repeats = stream::iter(answered.enumerate()).map(|(number, first)| async move {
        let entry = entries[number % entries.len()];
        let again = book_until_answered(entry, &first.key).await;
        assert_eq!(again.status, first.status, "{first:?} then {again:?}");
        assert_eq!(again.body, first.body, "the recorded answer of {} differs", first.key);
    });
    repeats.buffer_unordered(32).collect::<()>().await;
}

/// Repeats the operations that were repeated without an answer, once all faults have ended. Those
/// sent once are left alone, so that their refusals can be compared with their executions.
pub async fn finish(entries: &[SocketAddr], outcomes: &mut Vec<Outcome>) {
    let mut tries: BTreeMap<String, (usize, bool)> = BTreeMap::new();
    for outcome in outcomes.iter() {
        let entry = tries.entry(outcome.key.clone()).or_default();
        *entry = (entry.0 + 1, entry.1 || outcome.is_success());
    }
    let open = tries.into_iter().filter(|(_, (count, answered))| *count > 1 && !answered);
    let calls = stream::iter(open.enumerate()).map(|(number, (key, _))| async move {
        book_until_answered(entries[number % entries.len()], &key).await
    });
    outcomes.extend(calls.buffer_unordered(32).collect::<Vec<_>>().await);
}

/// Repeats a booking as a caller does. Shortly after a fault, admission may still refuse it and its
/// answer may still have to be recorded.
async fn book_until_answered(entry: SocketAddr, key: &str) -> Outcome {
    let mut outcome = book(entry, key, 5_000, true).await;
    for _ in 0..20 {
        if outcome.is_success() {
            break;
        }
        pause(200).await;
        outcome = book(entry, key, 5_000, true).await;
    }
    outcome
}

/// Starts entry VMs and booking services only.
pub async fn fleet(dir: &tempfile::TempDir, entries: usize, services: usize) -> Result<Fleet> {
    let mut fleet = Fleet::start(common::programs(), dir.path())?;
    fleet.timing = json!({ "config_poll_ms": 200, "vm_poll_ms": 200, "heartbeat_ms": 200,
        "platform_timeout_ms": 500 });
    for index in 0..services {
        let domain = common::DOMAINS[index % common::DOMAINS.len()];
        fleet.endpoint("service", "bookings", domain, &[])?;
    }
    fleet.register().await?;
    fleet.configure(&common::declarations()).await?;
    for index in 0..entries {
        fleet.entry(common::DOMAINS[index % common::DOMAINS.len()])?;
    }
    fleet.all_ready().await?;
    Ok(fleet)
}

pub fn callers(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.entries.iter().map(|entry| entry.callers).collect()
}

/// Sets faults of every booking service.
pub async fn set_endpoints(fleet: &Fleet, faults: &Value) -> Result {
    for endpoint in &fleet.endpoints {
        fleet::control(endpoint.vm.address, "POST", "/control/faults", faults).await?;
    }
    Ok(())
}

pub async fn set_platform(fleet: &Fleet, faults: &Value) -> Result {
    Ok(fleet.control("POST", "/control/faults", faults).await?)
}

/// Gives one counter of the platform.
pub async fn platform_counter(fleet: &Fleet, name: &str) -> Result<u64> {
    let answer = client::call(fleet.platform, "GET", "/control/counters", &[], "").await?;
    Ok(answer.json()[name].as_u64().ok_or("the platform has no such counter")?)
}

pub async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}
