use std::time::Duration;

/// Weight of a new sample in the running means.
const GAIN: f64 = 1.0 / 32.0;

/// Measures service times, in seconds, and the work that requests take.
#[derive(Debug, Default)]
pub(super) struct Pace {
    elapsed: f64,
    work: f64,
    /// Mean deviation of the time per unit of work, relative to the mean.
    deviation: f64,
    samples: u32,
}

impl Pace {
    /// Records a request that was expected to take `expected` units and took `work`.
    pub fn sample(&mut self, expected: u32, work: u32, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        let work = f64::from(work.max(expected.min(1)).max(1));
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
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.elapsed.max(0.0))
    }

    /// Predicts the service time of a request, with the usual deviation as a margin.
    pub fn service(&self, work: u32) -> Duration {
        if self.samples == 0 {
            return Duration::ZERO;
        }
        let usual = self.elapsed / self.work.max(1.0) * f64::from(work.max(1));
        Duration::from_secs_f64((usual * (1.0 + self.deviation)).clamp(0.0, 86_400.0))
    }
}
