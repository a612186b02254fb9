//! Requests that wait on a node for room at the endpoints of one service.
//!
//! The load to answer is a burst beyond what the endpoints can run, or the sudden loss of a failure
//! domain. Requests are served in order of urgency, then of the time that is left. A request is
//! refused as soon as the rate at which room comes up shows that its turn would come too late, so
//! that its caller can go elsewhere or come back; nothing waits that has been given up.

use std::collections::BTreeSet;
use std::time::Duration;

/// Weight of the newest interval in the mean time between two releases.
const RATE_WEIGHT: f64 = 0.1;
/// Mean time between releases before any was seen.
const FIRST_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest and longest advice when to come back.
const RETRY_MIN: Duration = Duration::from_millis(200);
const RETRY_MAX: Duration = Duration::from_secs(4);

/// Orders the waiting requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// 0 is the most urgent.
    pub priority: u8,
    /// Time by which the request must have been sent to an endpoint.
    pub latest: Duration,
    pub serial: u64,
}

/// Holds the waiting requests of one service in the order in which they are served.
#[derive(Debug)]
pub struct Queue {
    waiting: BTreeSet<Rank>,
    serial: u64,
    interval: Duration,
    last_release: Option<Duration>,
}

impl Default for Queue {
    fn default() -> Queue {
        Queue { waiting: BTreeSet::new(), serial: 0, interval: FIRST_INTERVAL, last_release: None }
    }
}

impl Queue {
    /// Records that a place at an endpoint has become free.
    pub fn record_release(&mut self, now: Duration) {
        if let Some(last) = self.last_release {
            let interval = now.saturating_sub(last).as_secs_f64().min(2.0);
            let mean = self.interval.as_secs_f64();
            self.interval = Duration::from_secs_f64(mean + (interval - mean) * RATE_WEIGHT);
        }
        self.last_release = Some(now);
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Lets a request wait until `latest`, or refuses it.
    ///
    /// # Errors
    ///
    /// Gives the time after which the caller should come back.
    pub fn join(
        &mut self,
        priority: u8,
        latest: Duration,
        now: Duration,
    ) -> Result<Rank, Duration> {
        self.serial += 1;
        let rank = Rank { priority, latest, serial: self.serial };
        let ahead = self.waiting.range(..rank).count();
        if now + self.wait(ahead) >= latest {
            return Err(self.retry_after());
        }
        self.waiting.insert(rank);
        Ok(rank)
    }

    pub fn leave(&mut self, rank: &Rank) {
        self.waiting.remove(rank);
    }

    /// Tells whether a new request with this rank would go before all that wait.
    pub fn is_first(&self, priority: u8) -> bool {
        self.waiting.first().is_none_or(|first| priority < first.priority)
    }

    /// Gives the waiting requests in the order in which they are served.
    pub fn ranks(&self) -> impl Iterator<Item = Rank> {
        self.waiting.iter().copied()
    }

    /// Gives the requests whose turn would come too late; they are refused now.
    pub fn hopeless(&self, now: Duration) -> Vec<Rank> {
        let late = |(ahead, rank): &(usize, &Rank)| now + self.wait(*ahead) >= rank.latest;
        self.waiting.iter().enumerate().filter(late).map(|(_, rank)| *rank).collect()
    }

    /// Gives the time until a request with `ahead` others before it is served.
    fn wait(&self, ahead: usize) -> Duration {
        self.interval * (ahead as u32 + 1)
    }

    /// Gives the time by which the queue as it stands has been served.
    pub fn retry_after(&self) -> Duration {
        (self.wait(self.waiting.len()) * 2).clamp(RETRY_MIN, RETRY_MAX)
    }
}

/// Spreads the advice so that refused callers don't come back in one moment.
pub fn spread(advice: Duration, hash: u64) -> Duration {
    let fraction = (hash >> 40) as f64 / (1_u64 << 24) as f64;
    advice.mul_f64(0.75 + 0.75 * fraction)
}
