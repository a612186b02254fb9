use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Weight of a new sample in the running means.
const GAIN: f64 = 1.0 / 32.0;

/// Classes that are measured on their own; requests of further ones count as the mean request.
const MAX_CLASSES: usize = 256;

/// Measures all requests of a gate, and those of each class.
#[derive(Debug, Default)]
pub(super) struct Paces {
    all: Pace,
    classes: HashMap<Arc<str>, Pace>,
}

impl Paces {
    pub fn sample(&mut self, class: &Arc<str>, work: u32, elapsed: Duration) {
        self.all.sample(work, elapsed);
        if let Some(pace) = self.classes.get_mut(class) {
            pace.sample(work, elapsed);
        } else if self.classes.len() < MAX_CLASSES {
            self.classes.entry(class.clone()).or_default().sample(work, elapsed);
        }
    }

    /// Gives the mean service time over all classes.
    pub fn mean(&self) -> Duration {
        self.all.mean()
    }

    /// Predicts the service time of a request. A class that is not measured yet counts as fast, so
    /// that some of its requests are accepted and measured.
    pub fn service(&self, class: &str, work: u32) -> Duration {
        match self.classes.get(class) {
            Some(pace) => pace.service(work),
            None if self.classes.len() < MAX_CLASSES => Duration::ZERO,
            None => self.all.service(work),
        }
    }
}

/// Measures service times, in seconds, and the work that requests are expected to take.
#[derive(Debug, Default)]
struct Pace {
    elapsed: f64,
    work: f64,
    /// Mean deviation of the time per unit of work, relative to the mean.
    deviation: f64,
    samples: u32,
}

impl Pace {
    /// Records a request that was expected to take `work` units. The expectation may be off by any
    /// constant factor, since the time is measured against it.
    fn sample(&mut self, work: u32, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        let work = f64::from(work.max(1));
        self.samples = self.samples.saturating_add(1);
        // The first samples count fully, so that an early mean is not a mean with zero.
        let gain = GAIN.max(1.0 / f64::from(self.samples));
        self.elapsed += (elapsed - self.elapsed) * gain;
        self.work += (work - self.work) * gain;
        let usual = self.elapsed / self.work * work;
        let error = if usual > 0.0 { (elapsed / usual - 1.0).abs().min(1.0) } else { 0.0 };
        self.deviation += (error - self.deviation) * gain;
    }

    /// Gives the mean service time; zero as long as nothing has been measured.
    fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.elapsed.max(0.0))
    }

    /// Predicts the service time of a request, with the usual deviation as a margin.
    fn service(&self, work: u32) -> Duration {
        if self.samples == 0 {
            return Duration::ZERO;
        }
        let usual = self.elapsed / self.work.max(1.0) * f64::from(work.max(1));
        Duration::from_secs_f64((usual * (1.0 + self.deviation)).clamp(0.0, 86_400.0))
    }
}
