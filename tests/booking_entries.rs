//! Guards bookings against entry VMs that die, pause or work on the same key at the same time.

mod common;
mod proof;

use std::time::Duration;

use futures_util::{StreamExt, stream};
use proof::{Load, Outcome, Result};
use serde_json::json;
use standin::client;
use standin::fleet::Fleet;

/// Kills one entry VM after the other while bookings are in flight, and starts it again.
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

/// Guards against a second run when a caller repeats a booking elsewhere after its entry VM died.
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

/// Guards against the combination of dying entry VMs and lost answers of the table.
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

/// Guards against a resumed entry VM that sends bookings which were taken over during its pause.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_after_claim() -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = proof::fleet(&dir, 3, 1).await?;
    // A claim takes effect at once and its answer comes late, so the VM stops after the claim.
    proof::set_platform(&fleet, &json!({ "slow_ms": 400 })).await?;
    let callers = proof::callers(&fleet);
    let keys: Vec<String> = (0..500).map(|number| format!("frozen-{number}")).collect();
    let frozen = send_all(callers[0], keys.clone(), 1_000);
    proof::pause(300).await;
    fleet.entries[0].process.freeze();
    proof::set_platform(&fleet, &json!({ "slow_ms": 0 })).await?;
    // The takeover waits for the claimer's deadline and the grace time of 5 s.
    proof::pause(6_300).await;
    let taken = send_all(callers[1], keys.clone(), 4_000);
    proof::pause(150).await;
    fleet.entries[0].process.resume();
    let taken = taken.await?;
    let late = frozen.await?;
    let done = taken.iter().filter(|outcome| outcome.is_success()).count();
    println!("{done} of {} taken over", taken.len());
    assert!(done >= 250, "claims were not taken over: {:?}", taken.first());
    let outcomes: Vec<Outcome> = late.into_iter().chain(taken).collect();
    proof::check_recorded(&callers, &outcomes).await;
    proof::check(&outcomes, &proof::executions(&fleet).await?);
    Ok(())
}

/// Sends bookings at the same time to one entry VM.
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

/// Guards against two entry VMs that both run a booking whose key they got at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn same_key_everywhere() -> Result {
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
        assert!(outcome.is_success(), "the holder's answer was not given: {outcome:?}");
    }
    let summary = proof::check(&outcomes, &proof::executions(&fleet).await?);
    assert_eq!(summary.answered, 400);
    Ok(())
}

/// Guards against a booking that stays without a recorded answer because its caller went away.
#[tokio::test(flavor = "multi_thread")]
async fn caller_gone() -> Result {
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
            // The caller leaves at any point between the claim and the answer.
            let left = tokio::time::timeout(Duration::from_millis(number * 2), first).await;
            drop(left);
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
