//! Splitting of streams into whole events; see `docs/platform.md`.

use bytes::Bytes;
use pomelolink::gateway::relay::Splitter;

/// Guards against joining a partial event with an event from the endpoint that resumes the stream.
#[test]
fn partial_events_are_held() {
    let mut splitter = Splitter::default();
    assert_eq!(splitter.push(Bytes::from_static(b"id: 1\ndata: a\n")), None);
    assert!(!splitter.is_at_event_boundary());
    let whole = splitter.push(Bytes::from_static(b"\nid: 2\ndata: b\n\nid: 3\nda"));
    assert_eq!(whole.as_deref(), Some(&b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"[..]));
    assert_eq!(splitter.last_event_id.as_deref(), Some("2"));
    assert_eq!(splitter.event_count, 2);
    assert!(!splitter.is_at_event_boundary(), "the third event is partial");
}

/// Guards against a stream without event separators that fills the node's memory.
#[test]
fn oversized_event_is_detected() {
    let mut splitter = Splitter::default();
    for _ in 0..1_024 {
        assert_eq!(splitter.push(Bytes::from(vec![b'x'; 1_024])), None);
        assert!(!splitter.is_oversized());
    }
    splitter.push(Bytes::from_static(b"x"));
    assert!(splitter.is_oversized());
}

/// Guards against resuming at the wrong event: the `id` field may be on any line of an event.
#[test]
fn event_ids_are_found() {
    let mut splitter = Splitter::default();
    splitter.push(Bytes::from_static(b"x-weight-versions: 2\nid: 41\ndata: id: 7\n\n"));
    assert_eq!(splitter.last_event_id.as_deref(), Some("41"));
    splitter.push(Bytes::from_static(b"data: no identifier\n\n"));
    assert_eq!(splitter.last_event_id.as_deref(), Some("41"));
}
