//! The snapshot of the nodes' counters in rows of the store, without a network.

use std::collections::BTreeMap;
use std::sync::Arc;

use pomelolink::gateway::recall::{self, Snapshot};
use pomelolink::platform::Row;

/// Largest row that the platform stores, in bytes.
const ROW_BYTES: usize = 65_536;
/// Largest number of entries and of bytes in one of the platform's transactions.
const TRANSACTION_ENTRIES: usize = 100;
const TRANSACTION_BYTES: usize = 1_000_000;

/// Returns the snapshot of a holder in a fleet: its own domain's nodes one by one, the others as sums.
fn snapshot(nodes: usize, domains: usize, tenants: usize) -> Snapshot {
    let tenant = |index: usize| Arc::from(format!("tenant-{index:06}"));
    let own = (0..nodes / domains).map(|node| (Arc::from(format!("edge-east-a-{node}")), 7_u64));
    let others = (1..domains).map(|domain| (Arc::from(format!("east-{domain}")), 0));
    // A node of its share serves a few of the tenants in a window.
    let counts = |start: u64| -> BTreeMap<Arc<str>, u64> {
        let count = if start == 0 { tenants } else { tenants.min(60) };
        (0..count).map(|index| (tenant(index), 123)).collect()
    };
    let usage = own
        .chain(others)
        .flat_map(|source: (Arc<str>, u64)| {
            (0..3).map(move |window| (source.clone(), 353_445_120 + window))
        })
        .map(|(source, window)| {
            let counts = counts(source.1);
            (source, window, counts)
        })
        .collect();
    Snapshot {
        true_ms: 1_767_986_533_007,
        window: (0..tenants).map(|index| (tenant(index), [123_456; 4])).collect(),
        usage,
        ..Snapshot::default()
    }
}

fn rows(parts: &[Snapshot]) -> Vec<Row> {
    let row = |(index, part): (usize, &Snapshot)| Row {
        key: recall::part_key(index),
        version: 1,
        value: serde_json::to_value(part).expect("a part in JSON"),
    };
    parts.iter().enumerate().map(row).collect()
}

/// Guards against a snapshot that the store refuses because a row is too large, so that a loss of all
/// nodes loses the counters.
#[test]
fn rows_stay_within_limit() {
    for (nodes, domains, tenants) in [(5, 4, 5), (117, 6, 40), (334, 8, 1_000)] {
        let parts = snapshot(nodes, domains, tenants).split();
        let sizes: Vec<_> = rows(&parts).iter().map(|row| row.value.to_string().len()).collect();
        println!("{nodes} nodes, {tenants} tenants: rows of {sizes:?} bytes");
        assert!(sizes.iter().all(|size| *size <= ROW_BYTES), "{sizes:?}");
        assert!(sizes.len() <= TRANSACTION_ENTRIES);
        // In Base64, a row takes a third more.
        assert!(sizes.iter().sum::<usize>() * 4 / 3 < TRANSACTION_BYTES, "{sizes:?}");
    }
}

/// Guards against counters that are lost or mixed when the parts are joined again.
#[test]
fn parts_join_again() {
    let whole = snapshot(334, 8, 1_000);
    let parts = whole.clone().split();
    assert!(parts.len() > 1);
    let joined = Snapshot::join(&rows(&parts)).expect("all parts");
    assert_eq!(joined.window, whole.window);
    assert_eq!(joined.usage, whole.usage);
    let mut torn = parts.clone();
    torn[1].true_ms += 500;
    assert_eq!(Snapshot::join(&rows(&torn)), None, "a part of another write");
    assert_eq!(Snapshot::join(&rows(&parts)[..1]), None, "a part is missing");
}
