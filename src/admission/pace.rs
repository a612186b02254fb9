use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Weight of a new sample in the running means.
const GAIN: f64 = 1.0 / 32.0;

/// Classes that are measured on their own; requests of further ones count as the mean request.
const MAX_CLASSES: usize = 256;

/// Time, beyond twice the mean service time, in which an estimate without new samples halves. A
/// class whose estimate is above its deadline gets no samples while its requests are refused, and
/// would otherwise be refused forever.
const FADE: Duration = Duration::from_secs(10);

/// Measures all requests of a gate, and those of each class.
#[derive(Debug, Default)]
pub(super) struct Paces {
    all: Pace,
    classes: HashMap<Arc<str>, Pace>,
}

impl Paces {
    pub fn sample(&mut self, now: Duration, class: &Arc<str>, work: u32, elapsed: Duration) {
        self.all.sample(now, work, elapsed);
        if let Some(pace) = self.classes.get_mut(class) {
            pace.sample(now, work, elapsed);
        } else if self.classes.len() < MAX_CLASSES {
            self.classes.entry(class.clone()).or_default().sample(now, work, elapsed);
        }
    }

    /// Gives the mean service time over all classes.
    pub fn mean(&self) -> Duration {
        self.all.mean()
    }

    /// Predicts the service time of a request. A class that is not measured yet counts as fast, so
    /// that some of its requests are accepted and measured.
    pub fn service(&self, now: Duration, class: &str, work: u32) -> Duration {
        match self.classes.get(class) {
            Some(pace) => pace.service(now, work),
            None if self.classes.len() < MAX_CLASSES => Duration::ZERO,
            None => self.all.service(now, work),
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
    /// Time of the last sample.
    sampled: Duration,
}

impl Pace {
    /// Records a request that was expected to take `work` units. The expectation may be off by any
    /// constant factor, since the time is measured against it.
    fn sample(&mut self, now: Duration, work: u32, elapsed: Duration) {
        self.sampled = now;
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
    fn service(&self, now: Duration, work: u32) -> Duration {
        if self.samples == 0 {
            return Duration::ZERO;
        }
        let usual = self.elapsed / self.work.max(1.0) * f64::from(work.max(1));
        let idle = now.saturating_sub(self.sampled).as_secs_f64();
        let faded = 0.5f64.powf(idle / (FADE.as_secs_f64() + 2.0 * self.elapsed));
        let predicted = usual * (1.0 + self.deviation) * faded;
        Duration::from_secs_f64(predicted.clamp(0.0, 86_400.0))
    }
}
