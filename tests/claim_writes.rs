//! Guards against more claim transactions than the platform's table can handle.

mod common;
mod proof;

use std::time::Instant;

use proof::{Load, Result};
use serde_json::json;
use standin::fleet::Fleet;

const ENTRIES: usize = 5;
const RATE_PER_S: u32 = 300;
const BOOKINGS: usize = 1_500;

/// Transactions and rows that the platform counted while the bookings ran.
#[derive(Debug)]
struct Figures {
    transactions_per_booking: f64,
    transactions_per_second: f64,
    rows_per_booking: f64,
}

async fn measure(window_ms: u64, name: &'static str) -> Result<Figures> {
    let dir = tempfile::tempdir()?;
    let mut fleet = Fleet::start(common::programs(), dir.path())?;
    fleet.timing = json!({ "config_poll_ms": 1000, "vm_poll_ms": 500, "heartbeat_ms": 500,
        "claim_window_ms": window_ms });
    for _ in 0..2 {
        fleet.endpoint("service", "bookings", common::DOMAINS[0], &[])?;
    }
    fleet.register().await?;
    fleet.configure(&common::declarations()).await?;
    for index in 0..ENTRIES {
        fleet.entry(common::DOMAINS[index % common::DOMAINS.len()])?;
    }
    fleet.all_ready().await?;
    let before = proof::platform_counter(&fleet, "transactions").await?;
    let rows_before = proof::platform_counter(&fleet, "rows_written").await?;
    let started_at = Instant::now();
    let load = Load { rate: RATE_PER_S, concurrency: 400, ..Load::new(name, BOOKINGS) };
    let outcomes = proof::drive(proof::callers(&fleet), load).await;
    let seconds = started_at.elapsed().as_secs_f64();
    let transactions = proof::platform_counter(&fleet, "transactions").await? - before;
    let rows = proof::platform_counter(&fleet, "rows_written").await? - rows_before;
    let summary = proof::check(&outcomes, &proof::executions(&fleet).await?);
    assert_eq!(summary.answered, BOOKINGS, "{summary:?}");
    let figures = Figures {
        transactions_per_booking: transactions as f64 / BOOKINGS as f64,
        transactions_per_second: transactions as f64 / seconds,
        rows_per_booking: rows as f64 / BOOKINGS as f64,
    };
    println!("window {window_ms} ms, {:.0} bookings/s: {figures:?}", BOOKINGS as f64 / seconds);
    Ok(figures)
}

/// Guards against claim writes that are not grouped: 300 bookings/s on 5 nodes may take at most 300
/// transactions/s.
#[tokio::test(flavor = "multi_thread")]
async fn grouped_by_window() -> Result {
    let grouped = measure(25, "grouped").await?;
    let single = measure(1, "single").await?;
    assert!(grouped.transactions_per_second <= 300.0, "{grouped:?}");
    assert!(grouped.rows_per_booking >= 3.0, "a booking writes three rows: {grouped:?}");
    assert!(
        grouped.transactions_per_booking < single.transactions_per_booking,
        "{grouped:?}, {single:?}"
    );
    Ok(())
}
