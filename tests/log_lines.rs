//! Guards against logs that take unbounded memory, and against lost lines that nobody counts.

use std::time::Duration;

use pomelolink::logging::{self, Class, QUEUE_BYTES, Queue, RATE};

const NOW: Duration = Duration::from_secs(7);

fn line(event: &str, number: u32) -> String {
    format!("[2026-12-04T11:00:00.000Z INFO  x] handle: event={event} id=r{number}\n")
}

fn offer(queue: &mut Queue, event: &str, count: u32, now: Duration) -> u32 {
    (0..count).map(|number| u32::from(queue.offer(&line(event, number), now))).sum()
}

/// Guards against a rate at which plain successes push out the lines that explain a failure.
#[test]
fn successes_give_way_first() {
    let mut queue = Queue::default();
    assert_eq!(offer(&mut queue, "answered", 5 * RATE, NOW), RATE / 2);
    assert_eq!(offer(&mut queue, "endpoint_new", 5 * RATE, NOW), RATE / 4);
    assert_eq!(offer(&mut queue, "refused", 5 * RATE, NOW), RATE / 4);
    let later = NOW + Duration::from_secs(1);
    assert_eq!(offer(&mut queue, "answered", RATE / 2, later), RATE / 2);
}

/// Guards against dropped lines that are not counted by their event.
#[test]
fn dropped_lines_are_told() {
    let mut queue = Queue::default();
    offer(&mut queue, "answered", RATE / 2 + 3, NOW);
    let text = String::from_utf8(queue.take(NOW)).unwrap();
    assert!(text.ends_with("logging: event=dropped dropped=answered count=3\n"), "{text}");
    assert!(queue.is_empty());
    offer(&mut queue, "answered", 1, NOW);
    let soon = NOW + Duration::from_millis(10);
    assert!(queue.take(soon).is_empty(), "counts are told once a second");
    let text = String::from_utf8(queue.take(NOW + Duration::from_secs(1))).unwrap();
    assert_eq!(text, "logging: event=dropped dropped=answered count=1\n");
}

/// Guards against a queue that grows while nobody reads, or while the names of events are made up.
#[test]
fn memory_is_bounded() {
    let mut queue = Queue::default();
    for second in 0..1_000 {
        offer(&mut queue, "refused", RATE, Duration::from_secs(second));
        offer(&mut queue, &format!("made-up-{second}"), 1, Duration::from_secs(second));
    }
    let text = String::from_utf8(queue.take(Duration::from_secs(1_001))).unwrap();
    assert!(text.len() < QUEUE_BYTES + 10_000, "{} bytes", text.len());
    assert!(text.contains("dropped=others"), "{}", &text[text.len() - 500..]);
}

/// Guards against an event that is classified by what a caller wrote into its id.
#[test]
fn class_is_of_the_first_event() {
    assert_eq!(Class::of("forward: event=answered id=x event=refused"), Class::Success);
    assert_eq!(Class::of("no event"), Class::State);
    assert_eq!(logging::event("handle: event=refused id=r"), Some("refused"));
}
