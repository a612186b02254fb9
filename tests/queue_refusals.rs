//! Queueing and refusing requests on a node, without a network.

use std::time::Duration;

use pomelolink::gateway::queue::{self, Queue};
use pomelolink::gateway::share::{Claim, Class};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the claim of a request with a priority; all requests are those of one tenant.
fn claim(priority: u8) -> Claim {
    let class = Class { priority, route_priority: priority };
    Claim { class, tenant: "t".into(), work: 1, is_restricted: false }
}

/// Returns a queue after 100 releases of capacity, one every `interval` milliseconds, and the time of the
/// last release in milliseconds.
fn queue_released_every(interval: u64) -> (Queue, u64) {
    let mut queue = Queue::default();
    let mut now = 0;
    for _ in 0..100 {
        now += interval;
        queue.record_release(at(now));
    }
    (queue, now)
}

/// Guards against queueing a request that can't be served before its deadline.
#[test]
fn unservable_refused_at_once() {
    let (mut queue, now) = queue_released_every(100);
    for _ in 0..10 {
        queue.enqueue(&claim(1), at(now + 1_500), at(now)).expect("ten can be served in time");
    }
    let refused = queue.enqueue(&claim(2), at(now + 1_000), at(now));
    let after = refused.expect_err("the eleventh, less urgent, would wait 1.1 s");
    assert!(after >= at(1_000), "retry advised before the queue can be served: {after:?}");
}

/// Guards against urgent requests that wait behind less urgent ones.
#[test]
fn urgent_goes_first() {
    let (mut queue, now) = queue_released_every(10);
    let later = queue.enqueue(&claim(2), at(now + 5_000), at(now)).expect("can be served in time");
    let sooner = queue.enqueue(&claim(2), at(now + 4_000), at(now)).expect("can be served in time");
    let urgent = queue.enqueue(&claim(0), at(now + 5_000), at(now)).expect("can be served in time");
    assert_eq!(queue.ranks().collect::<Vec<_>>(), [urgent, sooner, later]);
    assert!(!queue.is_first(&claim(0), at(now)), "a queued request of equal priority goes first");
}

/// Guards against keeping requests queued that more urgent ones have pushed past their deadlines.
#[test]
fn displaced_are_refused() {
    let (mut queue, now) = queue_released_every(100);
    let displaced =
        queue.enqueue(&claim(2), at(now + 350), at(now)).expect("can be served in time");
    assert!(queue.unservable(at(now)).is_empty());
    for _ in 0..3 {
        queue.enqueue(&claim(0), at(now + 5_000), at(now)).expect("can be served in time");
    }
    assert_eq!(queue.unservable(at(now)), [displaced]);
}

/// Guards against refused callers that all retry at one moment.
#[test]
fn retries_are_jittered() {
    let retry_after = at(1_000);
    let times: Vec<_> = (0..64_u64)
        .map(|id| queue::jitter(retry_after, id.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
        .collect();
    let (first, last) = (times.iter().min().expect("some"), times.iter().max().expect("some"));
    assert!(*last - *first > at(500), "{first:?} to {last:?}");
}

/// Guards against lost capacity under overload: three times what the endpoints can run, with mixed
/// priorities. Every request that is served meets its deadline, and capacity doesn't stay unused.
#[test]
fn overload_meets_deadlines() {
    let (mut queue, start) = queue_released_every(10);
    let (mut served, mut late, mut offered) = ([0_u32; 3], 0, [0_u32; 3]);
    for step in 0..3_000_u64 {
        let now = start + step * 10;
        for request in 0..3 {
            let priority = ((step + request) % 3) as u8;
            offered[usize::from(priority)] += 1;
            // A refused caller doesn't retry here.
            let _ = queue.enqueue(&claim(priority), at(now + 1_000), at(now));
        }
        for rank in queue.unservable(at(now)) {
            queue.remove(&rank, at(now));
        }
        let next = queue.ranks().next();
        if let Some(rank) = next {
            queue.remove(&rank, at(now));
            queue.record_release(at(now));
            late += u32::from(rank.deadline < at(now));
            served[usize::from(rank.class.priority)] += 1;
        }
    }
    let total: u32 = served.iter().sum();
    assert_eq!(late, 0, "a request was served after its deadline");
    assert!(total >= 2_990, "{total} of 3,000 released slots were used");
    assert!(served[0] * 10 >= offered[0] * 9, "urgent: {served:?} of {offered:?}");
}
