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
    let load = Load { deadline_ms: 1_500, concurrency: 64, ..Load::new(name, 1_200) };
    let driver = tokio::spawn(proof::drive(callers.clone(), load));
    let none = json!({ "outage": false, "slow_ms": 0, "lose_share": 0.0 });
    let fine = json!({ "drop_before": 0.0, "drop_after": 0.0, "truncate": 0.0 });
    for _ in 0..3 {
        proof::pause(200).await;
        proof::set_platform(&fleet, &faults).await?;
        proof::set_endpoints(&fleet, &endpoint).await?;
        proof::pause(1_000).await;
        proof::set_platform(&fleet, &none).await?;
        proof::set_endpoints(&fleet, &fine).await?;
    }
    let outcomes = driver.await?;
    proof::check_recorded(&callers, &outcomes).await;
    let summary = proof::check(&outcomes, &proof::executions(&fleet).await?);
    assert!(summary.answered > 300, "too few answers for a proof: {summary:?}");
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
