//! Guards against two entry VMs that act for the same duty, and against a lease that operators
//! can't see. Runs real processes.

mod common;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pomelolink::lease::{Duty, Lease};
use pomelolink::resource::{Id, Kind, Phase, Progress};
use pomelolink::revision::commit;
use pomelolink::{lease, platform};
use serde_json::{Value, json};
use standin::fleet::{Fleet, OPERATOR_TOKEN};

type Result<T = ()> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

const TERM: Duration = Duration::from_millis(1_500);

async fn start(dir: &tempfile::TempDir, entries: usize) -> Result<Fleet> {
    let mut fleet = Fleet::start(common::programs(), dir.path())?;
    fleet.timing = json!({ "config_poll_ms": 200, "heartbeat_ms": 200, "platform_timeout_ms": 400,
        "lease_term_ms": TERM.as_millis() as u64 });
    fleet.configure(&common::declarations()).await?;
    for index in 0..entries {
        fleet.entry(common::DOMAINS[index])?;
    }
    fleet.all_ready().await?;
    fleet.joined().await?;
    Ok(fleet)
}

/// Gives the lease as an entry VM shows it; `Null` when it shows none.
async fn shown(fleet: &Fleet, index: usize) -> Value {
    let answer = fleet.operate(index, "GET", "/v1/status", &Value::Null).await;
    answer.map(|answer| answer.json()["leases"][0].clone()).unwrap_or_default()
}

/// Waits until one of the given entry VMs holds the lease; gives its index and fence.
async fn holder(fleet: &Fleet, among: &[usize]) -> Result<(usize, u64)> {
    let end = Instant::now() + Duration::from_secs(15);
    while Instant::now() < end {
        for &index in among {
            let lease = shown(fleet, index).await;
            if lease["left_ms"].is_u64() {
                return Ok((index, lease["fence"].as_u64().ok_or("no fence")?));
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Err("no entry VM holds the lease".into())
}

/// Polls the holders for a while; fails when two claim to hold the lease at the same time.
///
/// The statuses are read one after the other, so two claims count only when the first one still
/// holds after the second was read.
async fn watch(fleet: &Fleet, among: &[usize], time: Duration) -> Result<BTreeMap<u64, usize>> {
    let end = Instant::now() + time;
    let mut fences = BTreeMap::new();
    while Instant::now() < end {
        let mut held: Vec<(usize, u64)> = Vec::new();
        for &index in among {
            let lease = shown(fleet, index).await;
            if lease["left_ms"].is_u64() {
                held.push((index, lease["fence"].as_u64().ok_or("no fence")?));
            }
        }
        if let [(first, fence), .., (second, _)] = held[..] {
            let again = shown(fleet, first).await;
            let still = again["left_ms"].is_u64() && again["fence"] == json!(fence);
            assert!(!still, "entry VMs {first} and {second} hold the lease at the same time");
        }
        for (index, fence) in held {
            let before = *fences.entry(fence).or_insert(index);
            assert_eq!(before, index, "two entry VMs had fence {fence}");
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(fences)
}

/// Guards against a status that hides who runs the moves, and for how long.
#[tokio::test(flavor = "multi_thread")]
async fn status_shows_the_lease() -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = start(&dir, 2).await?;
    let (index, fence) = holder(&fleet, &[0, 1]).await?;
    let own = shown(&fleet, index).await;
    assert_eq!((&own["duty"], &own["failure_domain"]), (&json!("moves"), &json!("all")), "{own}");
    assert_eq!(own["holder"], json!(fleet.entries[index].name), "{own}");
    let left = own["left_ms"].as_u64().ok_or("the holder shows no time left")?;
    assert!(left <= TERM.as_millis() as u64, "{own}");
    let end = Instant::now() + 2 * TERM;
    let mut other = Value::Null;
    while other["fence"] != json!(fence) && Instant::now() < end {
        other = shown(&fleet, 1 - index).await;
    }
    assert_eq!(other["holder"], own["holder"], "{other}");
    assert_eq!(other["left_ms"], Value::Null, "only the holder knows the time left");

    let output = tokio::process::Command::new(env!("CARGO_BIN_EXE_pomelolink"))
        .arg("status")
        .env("POMELOLINK_SERVER", fleet.entries[index].operators.to_string())
        .env("POMELOLINK_TOKEN", OPERATOR_TOKEN)
        .output()
        .await?;
    let text = String::from_utf8(output.stdout)?;
    let name = &fleet.entries[index].name;
    assert!(text.contains(&format!("lease moves/all: held by {name}, fence {fence}, ")), "{text}");
    Ok(())
}

/// Guards against a change that its own entry VM shows only after the next poll.
#[tokio::test(flavor = "multi_thread")]
async fn commit_is_in_effect_at_once() -> Result {
    let dir = tempfile::tempdir()?;
    let mut fleet = Fleet::start(common::programs(), dir.path())?;
    fleet.timing = json!({ "config_poll_ms": 60_000 });
    fleet.configure(&common::declarations()).await?;
    fleet.entry("dk-a")?;
    fleet.all_ready().await?;
    for number in 0..20 {
        let pool = json!([{ "kind": "pool", "name": format!("pool-{number}"), "class": "small" }]);
        let revision = fleet.apply(0, &pool).await?.json()["revision"].clone();
        let end = Instant::now() + Duration::from_secs(10);
        let mut status = Value::Null;
        while status["revision"] != revision && Instant::now() < end {
            status = fleet.operate(0, "GET", "/v1/status", &Value::Null).await?.json();
        }
        assert_eq!(status["revision"], revision, "the commit started no fetch");
    }
    Ok(())
}

/// Guards against two holders: the first is killed, the next is frozen for longer than the term and
/// resumed, then the platform is down for longer than the term and loses answers to writes.
#[tokio::test(flavor = "multi_thread")]
async fn one_holder_at_a_time() -> Result {
    let dir = tempfile::tempdir()?;
    let mut fleet = start(&dir, 4).await?;
    let (first, fence) = holder(&fleet, &[0, 1, 2, 3]).await?;
    fleet.entries[first].process.kill();
    let rest: Vec<usize> = (0..4).filter(|&index| index != first).collect();
    let (second, next) = holder(&fleet, &rest).await?;
    assert!(next > fence, "fence {next} after {fence}");

    fleet.entries[second].process.freeze();
    let awake: Vec<usize> = rest.iter().copied().filter(|&index| index != second).collect();
    let (third, last) = holder(&fleet, &awake).await?;
    assert!(last > next, "fence {last} after {next}");
    fleet.entries[second].process.resume();
    let fences = watch(&fleet, &rest, 2 * TERM).await?;
    assert_eq!(fences, BTreeMap::from([(last, third)]), "the resumed holder took the lease back");

    fleet.control("POST", "/control/faults", &json!({ "outage": true, "mode": "hang" })).await?;
    watch(&fleet, &rest, 2 * TERM).await?;
    for &index in &rest {
        let lease = shown(&fleet, index).await;
        assert_eq!(lease["left_ms"], Value::Null, "a lease outlived its term without the platform");
    }
    fleet.control("POST", "/control/faults", &json!({ "outage": false })).await?;
    let (_, after) = holder(&fleet, &rest).await?;
    assert!(after > last, "fence {after} after {last}: the lease had ended in between");

    fleet.control("POST", "/control/faults", &json!({ "lose_share": 0.5 })).await?;
    watch(&fleet, &rest, 3 * TERM).await?;
    fleet.control("POST", "/control/faults", &json!({ "lose_share": 0.0 })).await?;
    holder(&fleet, &rest).await?;
    Ok(())
}

/// Guards against a step that is written after the lease has passed on: the check of the time left
/// comes before the write, and the process can be paused in between.
#[tokio::test(flavor = "multi_thread")]
async fn late_step_is_refused() -> Result {
    let dir = tempfile::tempdir()?;
    // The only entry VM is killed, so that this test alone writes steps.
    let mut fleet = start(&dir, 1).await?;
    let declared = json!([
        { "kind": "version", "name": "chat-2", "service": "chat", "pool": "engines" },
        { "kind": "move", "name": "shift", "service": "chat", "from": "chat-1", "to": "chat-2",
          "within_s": 600 },
    ]);
    let answer = fleet.apply(0, &declared).await?;
    assert!(answer.status.is_success(), "{}", answer.text());
    fleet.entries[0].process.kill();

    let client = platform::Client::new(fleet.platform, Duration::from_secs(5));
    let duty = Duty::new("moves", "all");
    let row = client.read_row(&duty.key()).await?.ok_or("no lease row")?;
    let seen: Lease = lease::read(&client, &duty).await?.ok_or("no lease")?;
    let held = Lease { holder: "paused/1".into(), fence: seen.fence + 1, ..seen.clone() };
    let mut transaction = platform::Transaction::default();
    transaction.put(&duty.key(), Some(row.version), held.to_value());
    let platform::Outcome::Done(version) = client.transact(&transaction).await else {
        return Err("the lease was not written".into());
    };
    let id = Id::new(Kind::Move, "shift");
    let base = commit::read_base(&client).await?;
    let found = base.catalog.resources.get(&id).ok_or("no move")?;
    let before = found.status.progress.clone().ok_or("no progress")?;
    assert_eq!(before.phase, Phase::InProgress);
    let raised = Progress { share_permille: before.share_permille + 10, ..before.clone() };
    let guard = commit::Guard { key: duty.key(), process: "paused/1".into(), fence: held.fence };
    commit::record_progress(&client, Some(&guard), &id, &before, &raised, None).await?;

    let taken = Lease { holder: "other/1".into(), fence: held.fence + 1, ..held };
    let mut transaction = platform::Transaction::default();
    transaction.put(&duty.key(), Some(version), taken.to_value());
    let outcome = client.transact(&transaction).await;
    assert!(matches!(outcome, platform::Outcome::Done(_)), "{outcome:?}");
    let late = Progress { share_permille: 900, ..raised.clone() };
    let refused = commit::record_progress(&client, Some(&guard), &id, &raised, &late, None).await;
    assert!(matches!(refused, Err(commit::Failure::NotApplied(_))), "{refused:?}");
    let base = commit::read_base(&client).await?;
    let found = base.catalog.resources.get(&id).ok_or("no move")?;
    assert_eq!(found.status.progress, Some(raised), "the late step took effect");
    Ok(())
}
