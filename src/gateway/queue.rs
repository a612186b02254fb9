//! Queue of requests that wait on a node for capacity at the endpoints of one service.
//!
//! It fills when a burst exceeds what the endpoints can run, or when a failure domain is lost.
//! Requests are served by priority, then by the shares of their tenants, then by deadline; see
//! [`crate::gateway::share`]. A request is refused as soon as the rate at which capacity is released shows that
//! it would miss its deadline, so that its caller can retry later or elsewhere; no request stays queued that
//! can't be served in time.

use std::time::Duration;

use crate::gateway::share::{Claim, Class, Share};

/// Weight of the newest interval in the moving average of the time between two releases.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Assumed time between two releases before any was observed.
const INITIAL_INTERVAL: Duration = Duration::from_millis(50);
/// Bounds of the advised time before a retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);

/// A queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rank {
    /// 0 is the most urgent.
    pub class: Class,
    /// Time by which the request must be sent to an endpoint.
    pub deadline: Duration,
    /// Position in the order of arrival.
    pub serial: u64,
}

/// A request in the queue with what it asks for.
#[derive(Debug)]
struct Entry {
    rank: Rank,
    claim: Claim,
}

/// Queued requests of one service.
#[derive(Debug)]
pub struct Queue {
    /// In the order in which they are served.
    waiting: Vec<Entry>,
    /// Number of requests at the front whose tenant or class got nothing for too long.
    overdue: usize,
    /// Recent use of the service, which decides between tenants.
    pub share: Share,
    serial: u64,
    /// Moving average of the time between two releases.
    interval: Duration,
    last_release: Option<Duration>,
    /// Least time between two requests that the rate limits of endpoints allow.
    min_interval: Duration,
}

impl Default for Queue {
    fn default() -> Queue {
        Queue {
            waiting: Vec::new(),
            overdue: 0,
            share: Share::default(),
            serial: 0,
            interval: INITIAL_INTERVAL,
            last_release: None,
            min_interval: Duration::ZERO,
        }
    }
}

impl Queue {
    /// Records that a request has released its slot at an endpoint.
    pub fn record_release(&mut self, now: Duration) {
        if let Some(last) = self.last_release {
            let interval = now.saturating_sub(last).as_secs_f64().min(2.0);
            let mean = self.interval.as_secs_f64();
            self.interval = Duration::from_secs_f64(mean + (interval - mean) * INTERVAL_WEIGHT);
        }
        self.last_release = Some(now);
        self.share.record_release(now);
    }

    /// Sets the least time between two requests that the rate limits of endpoints allow.
    pub fn set_min_interval(&mut self, interval: Duration) {
        self.min_interval = interval;
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Queues a request, or refuses it if its expected wait reaches the deadline.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller should retry.
    pub fn enqueue(
        &mut self,
        claim: &Claim,
        deadline: Duration,
        now: Duration,
    ) -> Result<Rank, Duration> {
        self.serial += 1;
        let rank = Rank { class: claim.class, deadline, serial: self.serial };
        self.waiting.push(Entry { rank, claim: claim.clone() });
        self.sort(now);
        let ahead = self.waiting.iter().take_while(|entry| entry.rank != rank).count();
        if now + self.interval(now) * (ahead as u32 + 1) >= deadline {
            self.remove(&rank, now);
            return Err(self.retry_after(now));
        }
        Ok(rank)
    }

    pub fn remove(&mut self, rank: &Rank, now: Duration) {
        self.waiting.retain(|entry| entry.rank != *rank);
        self.sort(now);
    }

    /// Sorts the requests; the share of a tenant changes with each request that starts.
    fn sort(&mut self, now: Duration) {
        let key = |entry: &Entry| (entry.rank.deadline, entry.rank.serial);
        self.overdue = self.share.sort(&mut self.waiting, |entry| &entry.claim, key, now);
    }

    /// Returns whether a new request would be served before all queued ones.
    pub fn is_first(&self, claim: &Claim, now: Duration) -> bool {
        let first = self.waiting.iter().position(|entry| !entry.claim.is_restricted);
        first.is_none_or(|first| {
            first >= self.overdue
                && (claim.class < self.waiting[first].rank.class
                    || self.share.is_overdue(claim, now))
        })
    }

    /// Returns whether a queued request is the next, apart from those that wait for an endpoint that others
    /// don't need.
    pub fn is_next(&self, rank: &Rank) -> bool {
        let is_other_ahead = |entry: &&Entry| !entry.claim.is_restricted || entry.rank == *rank;
        self.waiting.iter().find(is_other_ahead).is_some_and(|entry| entry.rank == *rank)
    }

    /// Returns the queued requests in the order in which they are served.
    pub fn ranks(&self) -> impl Iterator<Item = Rank> {
        self.waiting.iter().map(|entry| entry.rank)
    }

    /// Returns the first requests to try when some room was released: `count` of those that any endpoint
    /// can serve, and the restricted ones before them.
    pub fn next(&self, count: usize) -> impl Iterator<Item = Rank> {
        let mut remaining = count;
        let is_taken = move |entry: &&Entry| {
            let is_taken = remaining > 0;
            remaining -= usize::from(is_taken && !entry.claim.is_restricted);
            is_taken
        };
        self.waiting.iter().take_while(is_taken).map(|entry| entry.rank)
    }

    /// Returns the requests that are expected to miss their deadline, to be refused now.
    pub fn unservable(&self, now: Duration) -> Vec<Rank> {
        let interval = self.interval(now);
        let is_late =
            |(ahead, rank): &(usize, Rank)| now + interval * (*ahead as u32 + 1) >= rank.deadline;
        self.ranks().enumerate().filter(is_late).map(|(_, rank)| rank).collect()
    }

    /// Returns the expected time between two waiting requests of this node that are served: the room that is
    /// released at the endpoints goes to the nodes with waiting requests in equal parts. A node that hears
    /// nothing from others goes by its own releases.
    fn interval(&self, now: Duration) -> Duration {
        let flow = self.share.flow(self.len(), now).filter(|_| self.share.has_reports(now));
        let interval = flow.map_or(self.interval, |flow| {
            Duration::from_secs(1) * flow.waiting_nodes / flow.releases
        });
        interval.max(self.min_interval)
    }

    /// Returns the time over which rejected callers come back: until the room that is released serves
    /// the waiting requests and those that were rejected in the last second, within bounds. Without a
    /// known release it is twice the time to serve this node's queue.
    pub fn retry_after(&self, now: Duration) -> Duration {
        let by_releases = self.share.flow(self.len(), now).map(|flow| {
            let returning = flow.waiting.saturating_add(flow.rejections).saturating_add(1);
            Duration::from_secs_f64(f64::from(returning) / f64::from(flow.releases))
        });
        let by_queue = || self.interval(now) * (self.len() as u32 + 1) * 2;
        by_releases.unwrap_or_else(by_queue).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}

/// Spreads the return of rejected callers evenly over the time in which room becomes free for them.
pub fn spread(retry_after: Duration, hash: u64) -> Duration {
    let span = retry_after.saturating_sub(MIN_RETRY_AFTER);
    MIN_RETRY_AFTER + span.mul_f64(fraction(hash))
}

/// Adds jitter to the time until an endpoint takes requests again: 1 to 1.25 times it, never less.
pub fn delay(available_after: Duration, hash: u64) -> Duration {
    available_after.mul_f64(1.0 + 0.25 * fraction(hash))
}

/// Adds jitter, so that refused callers don't all retry at one moment: 0.75 to 1.5 times the advice.
pub fn jitter(retry_after: Duration, hash: u64) -> Duration {
    retry_after.mul_f64(0.75 + 0.75 * fraction(hash))
}

/// Returns a number from 0 to 1 that depends on the hash only.
fn fraction(hash: u64) -> f64 {
    (hash >> 40) as f64 / (1_u64 << 24) as f64
}
