//! Guards bookings against entry VMs that die, pause or receive the same key at the same time.

mod common;
mod proof;

use std::time::Duration;

use futures_util::{StreamExt, stream};
use proof::{Load, Outcome, Result};
use serde_json::json;
use standin::client;
use standin::fleet::Fleet;

/// Kills and restarts one entry VM after the other while bookings are in flight.
async fn kill_in_turn(fleet: &mut Fleet, load: Load) -> Result<Vec<Outcome>> {
    let callers = proof::callers(fleet);
    let driver = tokio::spawn(proof::drive(callers, load));
    for index in [0, 1, 2] {
        proof::pause(400).await;
        fleet.entries[index].process.kill();
        proof::pause(300).await;
        fleet.restart(index)?;
        fleet.ready(index).await?;
    }
    Ok(driver.await?)
}

/// Guards against a booking that runs twice when its caller repeats it at another entry VM after
/// the first one died.
#[tokio::test(flavor = "multi_thread")]
async fn killed_in_flight() -> Result {
    let dir = tempfile::tempdir()?;
    let mut fleet = proof::fleet(&dir, 3, 2).await?;
    proof::set_endpoints(&fleet, &json!({ "delay_ms": 60 })).await?;
    let load = Load { deadline_ms: 1_500, attempts: 4, ..Load::new("killed", 1_200) };
    let outcomes = kill_in_turn(&mut fleet, load).await?;
    proof::check_recorded(&proof::callers(&fleet), &outcomes).await;
    let summary = proof::check(&outcomes, &proof::executions(&fleet).await?);
    assert!(summary.answered > 600 && summary.unknown > 20, "{summary:?}");
    Ok(())
}

/// Guards against a booking that runs twice when entry VMs die and responses of the table are lost.
#[tokio::test(flavor = "multi_thread")]
async fn killed_and_lost_answers() -> Result {
    let dir = tempfile::tempdir()?;
    let mut fleet = proof::fleet(&dir, 3, 2).await?;
    proof::set_platform(&fleet, &json!({ "lose_share": 0.2 })).await?;
    let load = Load { deadline_ms: 1_500, attempts: 4, ..Load::new("killed-lost", 1_200) };
    let outcomes = kill_in_turn(&mut fleet, load).await?;
    proof::set_platform(&fleet, &json!({ "lose_share": 0.0 })).await?;
    proof::check_recorded(&proof::callers(&fleet), &outcomes).await;
    let summary = proof::check(&outcomes, &proof::executions(&fleet).await?);
    assert!(summary.answered > 600 && summary.unknown > 20, "{summary:?}");
    Ok(())
}

/// Guards against an entry VM that resumes after a pause and sends bookings whose claims were taken
/// over in the meantime.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_after_claim() -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = proof::fleet(&dir, 3, 1).await?;
    // A claim takes effect at once but its response is delayed, so the VM is frozen after the
    // claim.
    proof::set_platform(&fleet, &json!({ "slow_ms": 400 })).await?;
    let callers = proof::callers(&fleet);
    let keys: Vec<String> = (0..500).map(|number| format!("frozen-{number}")).collect();
    let frozen = send_all(callers[0], keys.clone(), 1_000);
    proof::pause(300).await;
    fleet.entries[0].process.freeze();
    proof::set_platform(&fleet, &json!({ "slow_ms": 0 })).await?;
    // A claim can be taken over 5 s after the deadline of the attempt that made it.
    proof::pause(6_300).await;
    let taken = send_all(callers[1], keys.clone(), 4_000);
    proof::pause(150).await;
    fleet.entries[0].process.resume();
    let taken = taken.await?;
    let resumed = frozen.await?;
    let done = taken.iter().filter(|outcome| outcome.is_success()).count();
    println!("{done} of {} claims taken over", taken.len());
    assert!(done >= 250, "claims were not taken over: {:?}", taken.first());
    let outcomes: Vec<Outcome> = resumed.into_iter().chain(taken).collect();
    proof::check_recorded(&callers, &outcomes).await;
    proof::check(&outcomes, &proof::executions(&fleet).await?);
    Ok(())
}

/// Sends bookings concurrently to one entry VM.
fn send_all(
    entry: std::net::SocketAddr,
    keys: Vec<String>,
    deadline_ms: u64,
) -> tokio::task::JoinHandle<Vec<Outcome>> {
    tokio::spawn(async move {
        let calls = keys
            .into_iter()
            .map(move |key| async move { proof::book(entry, &key, deadline_ms, true).await });
        stream::iter(calls).buffer_unordered(500).collect().await
    })
}

/// Guards against two entry VMs that both run a booking because they received its key at the same
/// time.
#[tokio::test(flavor = "multi_thread")]
async fn same_key_concurrently() -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = proof::fleet(&dir, 4, 2).await?;
    let callers = proof::callers(&fleet);
    let calls = (0..400).flat_map(|number| {
        let callers = callers.clone();
        callers.into_iter().map(move |entry| async move {
            proof::book(entry, &format!("same-{number}"), 5_000, true).await
        })
    });
    let outcomes: Vec<Outcome> = stream::iter(calls).buffer_unordered(64).collect().await;
    for outcome in &outcomes {
        assert!(
            outcome.is_success(),
            "the caller did not receive the recorded answer: {outcome:?}"
        );
    }
    let summary = proof::check(&outcomes, &proof::executions(&fleet).await?);
    assert_eq!(summary.answered, 400);
    Ok(())
}

/// Guards against a booking without a recorded answer because its caller disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnects() -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = proof::fleet(&dir, 2, 1).await?;
    proof::set_endpoints(&fleet, &json!({ "delay_ms": 300 })).await?;
    let callers = proof::callers(&fleet);
    let calls = (0..200).map(|number| {
        let callers = callers.clone();
        async move {
            let key = format!("gone-{number}");
            let bearer = common::bearer();
            let headers =
                [("authorization", &*bearer), ("idempotency-key", &key), ("x-operation", &key)];
            let first = client::open(callers[0], "POST", "/booking/bookings", &headers, "{}");
            // Callers disconnect at various points between the claim and the response.
            let cancelled = tokio::time::timeout(Duration::from_millis(number * 2), first).await;
            drop(cancelled);
            proof::book(callers[1], &key, 4_000, true).await
        }
    });
    let outcomes: Vec<Outcome> = stream::iter(calls).buffer_unordered(50).collect().await;
    let summary = proof::check(&outcomes, &proof::executions(&fleet).await?);
    let lost: Vec<_> = outcomes.iter().filter(|outcome| !outcome.is_success()).collect();
    assert!(lost.is_empty(), "{} of 200 got no answer, first {:?}", lost.len(), lost[0]);
    assert_eq!(summary.answered, 200);
    Ok(())
}
