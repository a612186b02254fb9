use std::time::Duration;

/// Latency relative to the baseline above which the limit shrinks. With batching, a moderate rise
/// of latency with load is normal.
const TOLERANCE: f64 = 1.5;

/// Weight of a new sample in the recent latency, and of a lower recent latency in the baseline.
const RECENT_WEIGHT: f64 = 0.1;

/// Weight of a higher recent latency in the baseline. It applies only with few requests in flight:
/// with a full limit, the baseline would rise with the queueing delay that it has to detect.
const BASELINE_RISE_WEIGHT: f64 = 0.01;

/// Limit up to which every sample counts as one with few requests in flight. The headroom and the
/// gradient let the limit shrink no further than 4.
const LOW_LIMIT: f64 = 5.0;

/// Fraction of the distance to the computed limit that one sample moves the limit.
const SMOOTHING: f64 = 0.1;

/// Adapts the number of requests in flight at one endpoint to its latency.
#[derive(Debug, Clone)]
pub struct Limit {
    min: f64,
    max: f64,
    limit: f64,
    recent_latency: f64,
    baseline_latency: f64,
}

impl Limit {
    /// Creates a limit at the geometric mean of `min` and `max`, where `min` is at least 1.
    pub fn new(min: u32, max: u32) -> Limit {
        let min = f64::from(min.max(1));
        let max = f64::from(max).max(min);
        Limit { min, max, limit: (min * max).sqrt(), recent_latency: 0.0, baseline_latency: 0.0 }
    }

    pub fn current(&self) -> u32 {
        self.limit as u32
    }

    /// Adapts the limit to the latency of one request, such as its time to the first byte, and to
    /// the number of requests in flight when it was sent.
    pub fn record(&mut self, latency: Duration, in_flight: u32) {
        let latency = latency.as_secs_f64().max(1e-6);
        if self.recent_latency == 0.0 {
            self.recent_latency = latency;
            self.baseline_latency = latency;
        }
        self.recent_latency += (latency - self.recent_latency) * RECENT_WEIGHT;
        // A limit that is not reached gives no evidence on whether a higher one is appropriate.
        let is_underused = f64::from(in_flight) < self.limit / 2.0;
        let weight = if self.recent_latency < self.baseline_latency {
            RECENT_WEIGHT
        } else if is_underused || self.limit <= LOW_LIMIT {
            BASELINE_RISE_WEIGHT
        } else {
            0.0
        };
        self.baseline_latency += (self.recent_latency - self.baseline_latency) * weight;
        let gradient = (TOLERANCE * self.baseline_latency / self.recent_latency).clamp(0.5, 1.0);
        let headroom = if is_underused { 0.0 } else { self.limit.sqrt() };
        let target = self.limit * gradient + headroom;
        self.limit += (target - self.limit) * SMOOTHING;
        self.limit = self.limit.clamp(self.min, self.max);
    }

    /// Lowers the limit after a failure that indicates overload, such as a timeout or a refusal.
    pub fn record_overload(&mut self) {
        self.limit = (self.limit * 0.9).max(self.min);
    }
}
