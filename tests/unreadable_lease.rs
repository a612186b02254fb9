//! A lease whose row can't be read, without a network.

use std::time::Duration;

use pomelolink::lease::{Action, Event, State};
use pomelolink::platform::{Outcome, Row};
use serde_json::Value;

const TERM: Duration = Duration::from_secs(5);

fn unreadable(version: u64) -> Event {
    Event::Read(Ok(Some(Row { key: "lease/x".to_owned(), version, value: Value::Null })))
}

/// Reads the row at each time until the state asks for a write; returns the time of that.
fn write_time(state: &mut State, version: impl Fn(u64) -> u64, until: u64) -> Option<u64> {
    for second in 0..until {
        let now = Duration::from_secs(second);
        loop {
            match state.next_action(now) {
                Action::Read => state.handle(unreadable(version(second)), now),
                Action::Write(_) => return Some(second),
                Action::Wait(until) if until > now => break,
                Action::Wait(_) => {}
            }
        }
    }
    None
}

/// Guards against a lease that nobody holds again, and against one that is taken from a holder who still renews it.
#[test]
fn unreadable_lease_expires() {
    let new = || State::new("lease/x".to_owned(), "p".into(), TERM);
    let mut state = new();
    state.set_least_fence(1_000);
    assert_eq!(write_time(&mut state, |_| 7, 60), Some(6), "a term after it was first seen");
    let now = Duration::from_secs(6);
    state.handle(Event::Written(Outcome::Done(8)), now);
    let grant = state.grant().expect("a grant");
    assert_eq!(grant.fence, 1_000);
    assert!(grant.predecessor_end > TERM && grant.predecessor_end < now);

    let mut renewed = new();
    renewed.set_least_fence(1_000);
    assert_eq!(write_time(&mut renewed, |second| 7 + second / 2, 60), None);
    let mut without_clock = new();
    assert_eq!(write_time(&mut without_clock, |_| 7, 60), None, "its number may be too low");
}
