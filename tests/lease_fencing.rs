//! Guards against two entry VMs that hold the lease of a duty at the same time, and against a
//! status that hides the lease from operators. Runs real processes.

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

/// Returns the lease that the status of an entry VM shows; `Null` if it shows none.
async fn status_lease(fleet: &Fleet, index: usize) -> Value {
    let answer = fleet.operate(index, "GET", "/v1/status", &Value::Null).await;
    answer.map(|answer| answer.json()["leases"][0].clone()).unwrap_or_default()
}

/// Waits until one of the given entry VMs holds the lease; returns its index and fencing number.
async fn wait_for_holder(fleet: &Fleet, entries: &[usize]) -> Result<(usize, u64)> {
    let end = Instant::now() + Duration::from_secs(15);
    while Instant::now() < end {
        for &index in entries {
            let lease = status_lease(fleet, index).await;
            if lease["left_ms"].is_u64() {
                return Ok((index, lease["fence"].as_u64().ok_or("the holder shows no fence")?));
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Err("no entry VM holds the lease".into())
}

/// Polls the statuses of entry VMs for a while; fails if two show that they hold the lease at the
/// same time. Returns the entry VM that held each fencing number.
///
/// The statuses are read one after the other, so two holders count only if the first one still
/// holds the lease after the second one's status was read.
async fn watch_holders(
    fleet: &Fleet,
    entries: &[usize],
    time: Duration,
) -> Result<BTreeMap<u64, usize>> {
    let end = Instant::now() + time;
    let mut fences = BTreeMap::new();
    while Instant::now() < end {
        let mut held: Vec<(usize, u64)> = Vec::new();
        for &index in entries {
            let lease = status_lease(fleet, index).await;
            if lease["left_ms"].is_u64() {
                held.push((index, lease["fence"].as_u64().ok_or("the holder shows no fence")?));
            }
        }
        if let [(first, fence), .., (second, _)] = held[..] {
            let again = status_lease(fleet, first).await;
            let still_holds = again["left_ms"].is_u64() && again["fence"] == json!(fence);
            assert!(!still_holds, "entry VMs {first} and {second} hold the lease at the same time");
        }
        for (index, fence) in held {
            let before = *fences.entry(fence).or_insert(index);
            assert_eq!(before, index, "two entry VMs held the lease with fence {fence}");
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(fences)
}

/// Guards against a status that does not show which entry VM runs the moves and when its lease
/// expires.
#[tokio::test(flavor = "multi_thread")]
async fn status_shows_the_lease() -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = start(&dir, 2).await?;
    let (index, fence) = wait_for_holder(&fleet, &[0, 1]).await?;
    let own = status_lease(&fleet, index).await;
    assert_eq!((&own["duty"], &own["failure_domain"]), (&json!("moves"), &json!("all")), "{own}");
    assert_eq!(own["holder"], json!(fleet.entries[index].name), "{own}");
    let left = own["left_ms"].as_u64().ok_or("the holder does not show left_ms")?;
    assert!(left <= TERM.as_millis() as u64, "{own}");
    let end = Instant::now() + 2 * TERM;
    let mut other = Value::Null;
    while other["fence"] != json!(fence) && Instant::now() < end {
        other = status_lease(&fleet, 1 - index).await;
    }
    assert_eq!(other["holder"], own["holder"], "{other}");
    assert_eq!(other["left_ms"], Value::Null, "only the holder knows when the lease expires");

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

/// Guards against a committed change that the entry VM which committed it does not apply before its
/// next poll of the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn commit_applied_before_poll() -> Result {
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
        assert_eq!(
            status["revision"], revision,
            "the commit did not make the entry VM read the configuration"
        );
    }
    Ok(())
}

/// Guards against two simultaneous holders: when the holder is killed, when it is frozen for longer
/// than the term and resumed, when the platform is down for longer than the term, and when answers
/// to writes are lost.
#[tokio::test(flavor = "multi_thread")]
async fn one_holder_at_a_time() -> Result {
    let dir = tempfile::tempdir()?;
    let mut fleet = start(&dir, 4).await?;
    let (first, fence) = wait_for_holder(&fleet, &[0, 1, 2, 3]).await?;
    fleet.entries[first].process.kill();
    let rest: Vec<usize> = (0..4).filter(|&index| index != first).collect();
    let (second, next) = wait_for_holder(&fleet, &rest).await?;
    assert!(next > fence, "fence {next} after {fence}");

    fleet.entries[second].process.freeze();
    let running: Vec<usize> = rest.iter().copied().filter(|&index| index != second).collect();
    let (third, last) = wait_for_holder(&fleet, &running).await?;
    assert!(last > next, "fence {last} after {next}");
    fleet.entries[second].process.resume();
    let fences = watch_holders(&fleet, &rest, 2 * TERM).await?;
    assert_eq!(
        fences,
        BTreeMap::from([(last, third)]),
        "the resumed process acquired the lease again"
    );

    fleet.control("POST", "/control/faults", &json!({ "outage": true, "mode": "hang" })).await?;
    watch_holders(&fleet, &rest, 2 * TERM).await?;
    for &index in &rest {
        let lease = status_lease(&fleet, index).await;
        assert_eq!(
            lease["left_ms"],
            Value::Null,
            "the lease was held past its term while the platform was down"
        );
    }
    fleet.control("POST", "/control/faults", &json!({ "outage": false })).await?;
    let (_, after) = wait_for_holder(&fleet, &rest).await?;
    assert!(after > last, "fence {after} after {last}, although the lease expired in between");

    fleet.control("POST", "/control/faults", &json!({ "lose_share": 0.5 })).await?;
    watch_holders(&fleet, &rest, 3 * TERM).await?;
    fleet.control("POST", "/control/faults", &json!({ "lose_share": 0.0 })).await?;
    wait_for_holder(&fleet, &rest).await?;
    Ok(())
}

/// Guards against a step that takes effect after another process has acquired the lease: the
/// process checks the expiry before it writes the step, and can be paused in between.
#[tokio::test(flavor = "multi_thread")]
async fn late_step_is_refused() -> Result {
    let dir = tempfile::tempdir()?;
    // The only entry VM is killed, so that only the test writes steps.
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
        return Err("writing the lease failed".into());
    };
    let id = Id::new(Kind::Move, "shift");
    let base = commit::read_base(&client).await?;
    let found = base.catalog.resources.get(&id).ok_or("no move")?;
    let before = found.status.progress.clone().ok_or("no progress")?;
    assert_eq!(before.phase, Phase::InProgress);
    let raised = Progress { share_permille: before.share_permille + 10, ..before.clone() };
    let guard =
        commit::HeldLease { key: duty.key(), process: "paused/1".into(), fence: held.fence };
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
