//! Guards against a journal that refuses streams because of streams that have ended.

use std::sync::Arc;

use pomelolink::endpoint::sse::Usage;
use pomelolink::stream::{Finish, Journal, Request};

const LIMIT: usize = 64;

fn request(number: usize) -> Request {
    Request {
        id: format!("entry-1~1-{number:x}").into(),
        workspace: "counter".into(),
        service: "chat".into(),
        body: "{}".into(),
        priority: 5,
        deadline_ms: 120_000,
        draft: false,
    }
}

fn complete() -> Finish {
    Finish::Complete { reason: "stop".into(), usage: Usage::default() }
}

/// Guards against a limit that ended streams use up: a node then refused everything above
/// `limit / 60 s` streams a second.
#[test]
fn ended_streams_make_room() {
    let journal = Journal::new(LIMIT);
    for number in 0..LIMIT * 10 {
        let entry = journal.open(request(number), Vec::new());
        let entry = entry.unwrap_or_else(|| panic!("stream {number} was refused"));
        assert!(entry.start_carrying());
        entry.close(complete());
    }
    assert!(journal.len() <= LIMIT);
}

/// Guards against running or read streams that are forgotten to make room.
#[test]
fn streams_in_use_stay() {
    let journal = Journal::new(LIMIT);
    let open = |number| journal.open(request(number), Vec::new());
    let running: Vec<_> = (0..LIMIT / 2).filter_map(open).collect();
    assert!(running.iter().all(|entry| entry.start_carrying()));
    let read = open(1_000).map(|entry| {
        entry.close(complete());
        entry.reader(0)
    });
    for number in 2_000..2_000 + LIMIT * 4 {
        if let Some(entry) = open(number) {
            entry.close(complete());
        }
    }
    assert_eq!(journal.unfinished().len(), running.len());
    let id = read.as_ref().map(|reader| reader.entry().request.id.clone());
    assert!(id.is_some_and(|id: Arc<str>| journal.get(&id).is_some()));
}

/// Guards against a full journal that accepts more than its limit.
#[test]
fn full_journal_refuses() {
    let journal = Journal::new(LIMIT);
    for number in 0..LIMIT {
        let entry = journal.open(request(number), Vec::new());
        assert!(entry.is_some_and(|entry| entry.start_carrying()));
    }
    assert!(journal.open(request(LIMIT), Vec::new()).is_none());
}
