//! Guards against stamps that put an effect before its cause, and against lost events that the
//! merged time line does not show as gaps.

mod workdir;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use pomelolink::timeline::{self, Buffer, Clock, Draft, Entry, Event, Flusher, Gap, Stamp};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

fn draft(text: &str) -> Draft {
    Draft { part: "test", text: text.to_owned(), ..Draft::default() }
}

fn gaps(entries: &[Entry]) -> Vec<(&str, Option<u64>)> {
    let gaps = entries.iter().filter_map(|entry| match entry {
        Entry::Gap(Gap { node, missing, .. }) => Some((&**node, *missing)),
        Entry::Event(_) => None,
    });
    gaps.collect()
}

/// Guards against stamps that do not increase when the wall clock stands still or goes back.
#[test]
fn clock_order() {
    let mut clock = Clock::default();
    let stamps = [5, 5, 3, 9].map(|now_ms| clock.tick(now_ms));
    assert!(stamps.is_sorted_by(|left, right| left < right), "{stamps:?}");
    let received = Stamp { wall_ms: 50, logical: 7 };
    assert_eq!(clock.observe(10, received), Some(Stamp { wall_ms: 50, logical: 8 }));
    let full = Stamp { wall_ms: 60, logical: u32::MAX };
    assert_eq!(clock.observe(10, full), Some(Stamp { wall_ms: 61, logical: 0 }));
    let faulty = Stamp { wall_ms: 12 + timeline::MAX_DRIFT_MS, logical: 0 };
    assert_eq!((clock.observe(11, faulty), clock.rejected()), (None, 1));
    assert_eq!(clock.tick(70), Stamp { wall_ms: 70, logical: 0 });
}

/// Guards against a merged order in which a message is received before it is sent, which clock skew
/// between the nodes would cause.
#[test]
fn causal_order() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let skews: Vec<u64> = (0..4).map(|_| random.random_range(0..400)).collect();
        let nodes: Vec<Buffer> =
            (0..4).map(|node| Buffer::new(format!("n{node}").into(), 1, 1_000)).collect();
        for step in 0..100_u64 {
            let (from, to) = (random.random_range(0..4), random.random_range(0..4));
            let now = |node: usize| 10_000 + step + skews[node];
            let sent = nodes[from].record(now(from), draft(&format!("send {step}")));
            assert!(nodes[to].observe(now(to), sent).is_some(), "seed {seed}");
            nodes[to].record(now(to), draft(&format!("receive {step}")));
        }
        let mut events: Vec<Event> = nodes.iter().flat_map(|node| node.events_since(0)).collect();
        events.extend_from_slice(&events.clone()[..50]);
        events.shuffle(&mut random);
        let entries = timeline::merge(events);
        assert_eq!((entries.len(), gaps(&entries).len()), (200, 0), "seed {seed}");
        let find_position = |text: String| {
            let found = entries
                .iter()
                .position(|entry| matches!(entry, Entry::Event(event) if *event.text == *text));
            found.unwrap()
        };
        for step in 0..100 {
            let is_ordered =
                find_position(format!("send {step}")) < find_position(format!("receive {step}"));
            assert!(is_ordered, "seed {seed}, step {step}");
        }
    }
}

/// Guards against events lost in an object store outage or a crash that are not shown as gaps, and
/// against unbounded memory use in an outage.
#[tokio::test]
async fn outage_gaps() {
    let (platform, client) = workdir::start_platform().await;
    let buffer = Buffer::new("n1".into(), 1_000, 10);
    let mut flusher = Flusher::default();
    buffer.record(1_000, draft("first"));
    platform.down.store(true, Ordering::SeqCst);
    assert!(flusher.write_pending(&buffer, &client).await.is_err());
    for number in 0..25 {
        buffer.record(2_000 + number, draft("during the outage"));
    }
    assert_eq!((buffer.events_since(0).len(), buffer.dropped()), (10, 15));
    platform.down.store(false, Ordering::SeqCst);
    assert_eq!(flusher.write_pending(&buffer, &client).await, Ok(2));
    assert_eq!(flusher.write_pending(&buffer, &client).await, Ok(0));
    // The first run has no closing event, so a gap precedes the second run; the second run has one.
    for boot in [5_000, 9_000] {
        let buffer = Buffer::new("n1".into(), boot, 10);
        buffer.record(boot, draft("started"));
        buffer.close(boot + 1);
        flusher.write_pending(&buffer, &client).await.unwrap();
    }
    let keys = client.list_objects(timeline::OBJECT_PREFIX).await.unwrap();
    assert_eq!(timeline::keys_since(keys.clone(), 6_000).len(), 2, "{keys:?}");
    let mut events = buffer.events_since(0);
    for key in &keys {
        let (found, malformed) =
            timeline::parse_lines(&client.get_object(key).await.unwrap().unwrap());
        assert_eq!(malformed, 0);
        events.extend(found);
    }
    let entries = timeline::merge(events);
    assert_eq!(gaps(&entries), [("n1", Some(15)), ("n1", None)]);
    assert_eq!(entries.len(), 1 + 10 + 4 + 2);
}

/// Guards against events that are not written when the process stops.
#[tokio::test]
async fn flush_at_stop() {
    let (_, client) = workdir::start_platform().await;
    let buffer = Arc::new(Buffer::new("n/1".into(), 1_000, 10));
    buffer.record(1_000, draft("final event"));
    let period = std::time::Duration::from_secs(3_600);
    timeline::flush_periodically(buffer, client.clone(), period, async {}).await;
    let objects = client.list_objects("").await.unwrap();
    assert_eq!(objects, ["timeline/n_1/0000000001000-0000000000"]);
}
