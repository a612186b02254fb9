//! Guards against a log queue of unbounded size, and against dropped lines that are not counted.

use std::time::Duration;

use pomelolink::logging::{self, Class, MAX_LINES_PER_SECOND, MAX_QUEUE_BYTES, Queue};

const NOW: Duration = Duration::from_secs(7);

fn line(event: &str, number: u32) -> String {
    format!("[2026-12-04T11:00:00.000Z INFO  x] handle: event={event} id=r{number}\n")
}

fn offer(queue: &mut Queue, event: &str, count: u32, now: Duration) -> u32 {
    (0..count).map(|number| u32::from(queue.offer(&line(event, number), now))).sum()
}

/// Guards against lines that explain a failure being dropped because lines about successes use up
/// the rate limit.
#[test]
fn successes_are_dropped_first() {
    let mut queue = Queue::default();
    assert_eq!(
        offer(&mut queue, "answered", 5 * MAX_LINES_PER_SECOND, NOW),
        MAX_LINES_PER_SECOND / 2
    );
    assert_eq!(
        offer(&mut queue, "endpoint_new", 5 * MAX_LINES_PER_SECOND, NOW),
        MAX_LINES_PER_SECOND / 4
    );
    assert_eq!(
        offer(&mut queue, "refused", 5 * MAX_LINES_PER_SECOND, NOW),
        MAX_LINES_PER_SECOND / 4
    );
    let later = NOW + Duration::from_secs(1);
    assert_eq!(
        offer(&mut queue, "answered", MAX_LINES_PER_SECOND / 2, later),
        MAX_LINES_PER_SECOND / 2
    );
}

/// Guards against dropped lines that are missing from the counts by event.
#[test]
fn dropped_lines_are_counted() {
    let mut queue = Queue::default();
    offer(&mut queue, "answered", MAX_LINES_PER_SECOND / 2 + 3, NOW);
    let text = String::from_utf8(queue.drain(NOW)).unwrap();
    assert!(text.ends_with("logging: event=dropped dropped=answered count=3\n"), "{text}");
    assert!(queue.is_empty());
    offer(&mut queue, "answered", 1, NOW);
    let soon = NOW + Duration::from_millis(10);
    assert!(queue.drain(soon).is_empty(), "counts are logged once a second");
    let text = String::from_utf8(queue.drain(NOW + Duration::from_secs(1))).unwrap();
    assert_eq!(text, "logging: event=dropped dropped=answered count=1\n");
}

/// Guards against a queue that grows without bound when its reader stalls or when the lines contain
/// arbitrary event names.
#[test]
fn memory_is_bounded() {
    let mut queue = Queue::default();
    for second in 0..1_000 {
        offer(&mut queue, "refused", MAX_LINES_PER_SECOND, Duration::from_secs(second));
        offer(&mut queue, &format!("made-up-{second}"), 1, Duration::from_secs(second));
    }
    let text = String::from_utf8(queue.drain(Duration::from_secs(1_001))).unwrap();
    assert!(text.len() < MAX_QUEUE_BYTES + 10_000, "{} bytes", text.len());
    assert!(text.contains("dropped=others"), "{}", &text[text.len() - 500..]);
}

/// Guards against a line that is classified by text that a caller put into the request id.
#[test]
fn class_uses_first_event() {
    assert_eq!(Class::of("forward: event=answered id=x event=refused"), Class::Success);
    assert_eq!(Class::of("no event"), Class::State);
    assert_eq!(logging::event_name("handle: event=refused id=r"), Some("refused"));
}
