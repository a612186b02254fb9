//! Guards bookings against a platform that is down, hangs, is slow or loses answers.

mod common;
mod proof;

use proof::{Load, Result};
use serde_json::{Value, json};

/// Switches platform faults on and off while bookings are sent, then checks every outcome.
async fn with_faults(name: &'static str, faults: Value, endpoint: Value) -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = proof::fleet(&dir, 3, 2).await?;
    let callers = proof::callers(&fleet);
    // The load goes on over all faults, and a fault lasts longer than a request waits.
    let load = Load { rate: 250, concurrency: 500, ..Load::new(name, 1_200) };
    let load = Load { deadline_ms: 600, pause_ms: 700, ..load };
    let driver = tokio::spawn(proof::drive(callers.clone(), load));
    let none = json!({ "outage": false, "slow_ms": 0, "lose_share": 0.0 });
    let fine = json!({ "drop_before": 0.0, "drop_after": 0.0, "truncate": 0.0 });
    for _ in 0..4 {
        proof::pause(600).await;
        proof::set_platform(&fleet, &faults).await?;
        proof::set_endpoints(&fleet, &endpoint).await?;
        proof::pause(800).await;
        proof::set_platform(&fleet, &none).await?;
        proof::set_endpoints(&fleet, &fine).await?;
    }
    let mut outcomes = driver.await?;
    proof::finish(&callers, &mut outcomes).await;
    proof::check_recorded(&callers, &outcomes).await;
    let summary = proof::check(&outcomes, &proof::executions(&fleet).await?);
    // Two thirds are repeated; each of them gets its answer, unless the answer was lost.
    assert!(summary.answered + summary.unknown >= 800, "refused for good: {summary:?}");
    assert!(summary.answered >= 600, "too few answers for a proof: {summary:?}");
    let lost = proof::platform_counter(&fleet, "answers_lost").await?;
    let effects = lost + summary.refused_not_run as u64;
    assert!(effects > 10, "the fault had no effect: {lost} answers lost, {summary:?}");
    Ok(())
}

/// Guards against bookings that run, or are refused wrongly, while the platform answers 503.
#[tokio::test(flavor = "multi_thread")]
async fn outage() -> Result {
    with_faults("outage", json!({ "outage": true, "mode": "refuse" }), json!({})).await
}

/// Guards against bookings that run after a refusal because a write took effect late.
#[tokio::test(flavor = "multi_thread")]
async fn hanging() -> Result {
    with_faults("hang", json!({ "outage": true, "mode": "hang" }), json!({})).await
}

/// Guards against slow answers that are taken for failures. The delay is longer than the timeout
/// of the client, so that writes take effect after they were given up.
#[tokio::test(flavor = "multi_thread")]
async fn slow() -> Result {
    with_faults("slow", json!({ "slow_ms": 600 }), json!({})).await
}

/// Guards against a write that took effect and is taken for one that did not.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers() -> Result {
    with_faults("lost", json!({ "lose_share": 0.3 }), json!({})).await
}

/// Guards against the combination of lost table answers and endpoints that drop connections.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_and_drops() -> Result {
    let endpoint = json!({ "drop_before": 0.1, "drop_after": 0.1, "truncate": 0.1 });
    with_faults("both", json!({ "lose_share": 0.2 }), endpoint).await
}
