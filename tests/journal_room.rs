//! Guards against a journal that rejects streams because ended ones fill it, or that evicts streams
//! in use.

use std::sync::Arc;

use pomelolink::endpoint::sse::Usage;
use pomelolink::stream::{Finish, Journal, Request};

const MAX_ENTRIES: usize = 64;

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

fn completed() -> Finish {
    Finish::Complete { reason: "stop".into(), usage: Usage::default() }
}

/// Guards against ended streams that fill the journal. As they are kept for 60 s, a node rejected
/// all streams above a rate of `limit / 60 s`.
#[test]
fn ended_streams_are_evicted() {
    let journal = Journal::new(MAX_ENTRIES);
    for number in 0..MAX_ENTRIES * 10 {
        let entry = journal.open(request(number), Vec::new());
        let entry = entry.unwrap_or_else(|| panic!("stream {number} was rejected"));
        assert!(entry.become_primary());
        entry.close(completed());
    }
    assert!(journal.len() <= MAX_ENTRIES);
}

/// Guards against the eviction of streams in progress, or of ended streams that have a reader.
#[test]
fn used_streams_are_kept() {
    let journal = Journal::new(MAX_ENTRIES);
    let open = |number| journal.open(request(number), Vec::new());
    let running: Vec<_> = (0..MAX_ENTRIES / 2).filter_map(open).collect();
    assert!(running.iter().all(|entry| entry.become_primary()));
    let read = open(1_000).map(|entry| {
        entry.close(completed());
        entry.reader(0)
    });
    for number in 2_000..2_000 + MAX_ENTRIES * 4 {
        if let Some(entry) = open(number) {
            entry.close(completed());
        }
    }
    assert_eq!(journal.unfinished().len(), running.len());
    let id = read.as_ref().map(|reader| reader.entry().request.id.clone());
    assert!(id.is_some_and(|id: Arc<str>| journal.get(&id).is_some()));
}

/// Guards against a journal that accepts more streams than its limit.
#[test]
fn full_journal_refuses() {
    let journal = Journal::new(MAX_ENTRIES);
    for number in 0..MAX_ENTRIES {
        let entry = journal.open(request(number), Vec::new());
        assert!(entry.is_some_and(|entry| entry.become_primary()));
    }
    assert!(journal.open(request(MAX_ENTRIES), Vec::new()).is_none());
}
