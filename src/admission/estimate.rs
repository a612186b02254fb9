use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Weight of a new sample in the exponentially weighted means.
const GAIN: f64 = 1.0 / 32.0;

/// Maximum number of classes with their own estimate; other classes use the estimate over all
/// requests.
const MAX_CLASSES: usize = 256;

/// Half-life of an estimate without new samples, to which twice the mean service time is added. A
/// class whose estimate exceeds its deadlines gets no samples, because its requests are refused;
/// without decay it would be refused forever.
const MIN_HALF_LIFE: Duration = Duration::from_secs(10);

/// Estimates the service times of all requests of a gate and of each class.
#[derive(Debug, Default)]
pub(super) struct Estimates {
    all: Estimate,
    classes: HashMap<Arc<str>, Estimate>,
}

impl Estimates {
    pub fn record(&mut self, now: Duration, class: &Arc<str>, work: u32, elapsed: Duration) {
        self.all.record(now, work, elapsed);
        if let Some(estimate) = self.classes.get_mut(class) {
            estimate.record(now, work, elapsed);
        } else if self.classes.len() < MAX_CLASSES {
            self.classes.entry(class.clone()).or_default().record(now, work, elapsed);
        }
    }

    /// Returns the mean service time over all classes.
    pub fn mean(&self) -> Duration {
        self.all.mean()
    }

    /// Predicts the service time of a request. A class without samples is predicted to take no
    /// time, so that its first requests are admitted and measured.
    pub fn predict(&self, now: Duration, class: &str, work: u32) -> Duration {
        match self.classes.get(class) {
            Some(estimate) => estimate.predict(now, work),
            None if self.classes.len() < MAX_CLASSES => Duration::ZERO,
            None => self.all.predict(now, work),
        }
    }
}

/// Holds weighted means of service times, in seconds, and of the expected work of requests.
#[derive(Debug, Default)]
struct Estimate {
    elapsed: f64,
    work: f64,
    /// Mean relative deviation of the service time from the one expected for the work.
    deviation: f64,
    samples: u32,
    /// Time of the last sample.
    sampled_at: Duration,
}

impl Estimate {
    /// Records the service time of a request with `work` expected units. A constant factor in
    /// `work` does not matter, since predictions use the time per unit.
    fn record(&mut self, now: Duration, work: u32, elapsed: Duration) {
        self.sampled_at = now;
        let elapsed = elapsed.as_secs_f64();
        let work = f64::from(work.max(1));
        self.samples = self.samples.saturating_add(1);
        // The first samples form a plain mean, so that the initial zero does not bias it.
        let gain = GAIN.max(1.0 / f64::from(self.samples));
        self.elapsed += (elapsed - self.elapsed) * gain;
        self.work += (work - self.work) * gain;
        let expected = self.elapsed / self.work * work;
        let error = if expected > 0.0 { (elapsed / expected - 1.0).abs().min(1.0) } else { 0.0 };
        self.deviation += (error - self.deviation) * gain;
    }

    /// Returns the mean service time; zero without samples.
    fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.elapsed.max(0.0))
    }

    /// Predicts the service time of a request, with the mean deviation as a margin.
    fn predict(&self, now: Duration, work: u32) -> Duration {
        if self.samples == 0 {
            return Duration::ZERO;
        }
        let expected = self.elapsed / self.work.max(1.0) * f64::from(work.max(1));
        let idle = now.saturating_sub(self.sampled_at).as_secs_f64();
        let decay = 0.5f64.powf(idle / (MIN_HALF_LIFE.as_secs_f64() + 2.0 * self.elapsed));
        let predicted = expected * (1.0 + self.deviation) * decay;
        Duration::from_secs_f64(predicted.clamp(0.0, 86_400.0))
    }
}
