use std::time::Duration;

/// Latency, relative to the baseline, from which the limit shrinks. Batching makes a moderate rise
/// of latency with load normal.
const TOLERANCE: f64 = 1.5;

/// Weight of a new sample in the recent latency.
const RECENT: f64 = 0.1;

/// Weight of a new sample above the baseline; the baseline has to follow a lasting change, such as
/// longer prompts, but not an episode of queueing.
const RISE: f64 = 0.0005;

/// Part of the way to the computed limit that one sample moves.
const STEP: f64 = 0.1;

/// Limits the requests in flight at one endpoint; it adapts to latency.
#[derive(Debug, Clone)]
pub struct Limit {
    floor: f64,
    cap: f64,
    limit: f64,
    recent: f64,
    baseline: f64,
}

impl Limit {
    /// Starts in the middle between floor and cap; the floor is at least one request.
    pub fn new(floor: u32, cap: u32) -> Limit {
        let floor = f64::from(floor.max(1));
        let cap = f64::from(cap).max(floor);
        Limit { floor, cap, limit: (floor * cap).sqrt(), recent: 0.0, baseline: 0.0 }
    }

    pub fn current(&self) -> u32 {
        self.limit as u32
    }

    /// Records the latency of one request, such as its time to the first byte, and the number of
    /// requests in flight when it was sent.
    pub fn sample(&mut self, latency: Duration, in_flight: u32) {
        let latency = latency.as_secs_f64().max(1e-6);
        if self.recent == 0.0 {
            self.recent = latency;
            self.baseline = latency;
        }
        self.recent += (latency - self.recent) * RECENT;
        let weight = if self.recent < self.baseline { RECENT } else { RISE };
        self.baseline += (self.recent - self.baseline) * weight;
        let gradient = (TOLERANCE * self.baseline / self.recent).clamp(0.5, 1.0);
        // A limit that is not reached says nothing about whether a higher one would be right.
        let unused = f64::from(in_flight) < self.limit / 2.0;
        let headroom = if unused { 0.0 } else { self.limit.sqrt() };
        let target = self.limit * gradient + headroom;
        self.limit += (target - self.limit) * STEP;
        self.limit = self.limit.clamp(self.floor, self.cap);
    }

    /// Records a failure that suggests overload, such as a timeout or a refusal by the endpoint.
    pub fn overloaded(&mut self) {
        self.limit = (self.limit * 0.9).max(self.floor);
    }
}
