//! Whole events of streams; see `docs/platform.md`.

use bytes::Bytes;
use pomelolink::gateway::relay::Splitter;

/// Guards against joining the rest of a torn event with an event from another endpoint.
#[test]
fn only_whole_events_pass() {
    let mut splitter = Splitter::default();
    assert_eq!(splitter.push(Bytes::from_static(b"id: 1\ndata: a\n")), None);
    assert!(!splitter.is_whole());
    let whole = splitter.push(Bytes::from_static(b"\nid: 2\ndata: b\n\nid: 3\nda"));
    assert_eq!(whole.as_deref(), Some(&b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"[..]));
    assert_eq!(splitter.last_id.as_deref(), Some("2"));
    assert_eq!(splitter.events, 2);
    assert!(!splitter.is_whole(), "the third event is torn");
}

/// Guards against a stream without ends of events that fills the memory of the node.
#[test]
fn endless_events_are_noticed() {
    let mut splitter = Splitter::default();
    for _ in 0..1_024 {
        assert_eq!(splitter.push(Bytes::from(vec![b'x'; 1_024])), None);
        assert!(!splitter.is_too_long());
    }
    splitter.push(Bytes::from_static(b"x"));
    assert!(splitter.is_too_long());
}

/// Guards against a resume at the wrong event: the identifier may stand on any line of an event.
#[test]
fn identifiers_are_found() {
    let mut splitter = Splitter::default();
    splitter.push(Bytes::from_static(b"x-weight-versions: 2\nid: 41\ndata: id: 7\n\n"));
    assert_eq!(splitter.last_id.as_deref(), Some("41"));
    splitter.push(Bytes::from_static(b"data: no identifier\n\n"));
    assert_eq!(splitter.last_id.as_deref(), Some("41"));
}
