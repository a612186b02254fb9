//! Guards against lost or damaged streams when engines freeze, stop sending, truncate responses or
//! send those of other requests.

mod callers;
mod common;

use std::time::Duration;

use serde_json::json;
use standin::fleet;

type Result = std::result::Result<(), Box<dyn std::error::Error>>;

const ENGINE: [&str; 6] = ["--gap-ms", "10", "--batch", "128", "--slots", "512"];

async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Guards against streams that hang, before or after their first token, because the engine process
/// is stopped.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_engine_is_replaced() -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = callers::start(&dir, 2, 3, &ENGINE, 20_000).await?;
    let load = callers::Load::start(&callers::Balancer::new(&fleet), 60, 400, 80, true);
    pause(1_500).await;
    fleet.endpoints[0].process.freeze();
    let outcomes = load.finish().await?;
    callers::print("frozen engine", &outcomes);
    assert_eq!(outcomes.len(), 400);
    let stall = outcomes.iter().map(|outcome| outcome.stall).max().unwrap_or_default();
    assert!(stall > Duration::from_secs(1), "no stream was on the frozen engine");
    assert!(stall < Duration::from_secs(8), "a stream stalled for {stall:?}");
    Ok(())
}

/// Guards against streams that hang because an engine keeps its connections open but sends nothing.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_connections_are_replaced() -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = callers::start(&dir, 2, 3, &ENGINE, 20_000).await?;
    let load = callers::Load::start(&callers::Balancer::new(&fleet), 60, 300, 80, true);
    pause(1_200).await;
    let engine = fleet.endpoints[0].vm.address;
    fleet::control(engine, "POST", "/control/faults", &json!({ "freeze": true })).await?;
    pause(2_500).await;
    fleet::control(engine, "POST", "/control/faults", &json!({ "freeze": false })).await?;
    let outcomes = load.finish().await?;
    callers::print("silent engine", &outcomes);
    assert_eq!(outcomes.len(), 300);
    Ok(())
}

/// Guards against a truncated stream that is relayed as complete, whether or not the body ends
/// regularly, and against tokens of another request.
#[tokio::test(flavor = "multi_thread")]
async fn damaged_streams_are_resumed() -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = callers::start(&dir, 2, 4, &ENGINE, 20_000).await?;
    let faults = [
        json!({ "truncate_after": 7 }),
        json!({ "truncate_after": 11, "truncate_abort": true }),
        json!({ "wrong_id": 0.5 }),
    ];
    for (index, fault) in faults.iter().enumerate() {
        let engine = fleet.endpoints[index].vm.address;
        fleet::control(engine, "POST", "/control/faults", fault).await?;
    }
    let load = callers::Load::start(&callers::Balancer::new(&fleet), 60, 400, 40, true);
    let outcomes = load.finish().await?;
    callers::print("truncated and mismatched", &outcomes);
    assert_eq!(outcomes.len(), 400);
    let mut resumed = 0;
    for entry in &fleet.entries {
        resumed += callers::metric(entry.operators, "pomelolink_resumed_streams_total").await?;
    }
    // The stand-in sends wrong ids with the right tokens, so only the log shows that ids are
    // checked.
    for reason in ["the stream ended early", "belongs to another request"] {
        let found = fleet.entries.iter().any(|entry| fleet.log(&entry.name).contains(reason));
        assert!(found, "no stream changed its engine with the reason: {reason}");
    }
    println!("streams resumed on another engine: {resumed}");
    assert!(resumed > 0, "no stream was affected by a fault");
    Ok(())
}
