use std::time::Duration;

use hdrhistogram::Histogram;

/// Samples per window; quantiles come from the last full window, and from the current one before
/// any is full.
const WINDOW: u64 = 1_000;

/// Samples needed before a quantile is given.
const ENOUGH: u64 = 100;

const LONGEST_US: u64 = 3_600_000_000;

/// Holds recent latencies in fixed memory, to a precision of two digits.
#[derive(Debug, Clone)]
pub struct Latency {
    current: Option<Histogram<u32>>,
    previous: Option<Histogram<u32>>,
}

impl Default for Latency {
    fn default() -> Latency {
        Latency { current: histogram(), previous: histogram() }
    }
}

fn histogram() -> Option<Histogram<u32>> {
    Histogram::new_with_bounds(1, LONGEST_US, 2).ok()
}

impl Latency {
    pub fn record(&mut self, latency: Duration) {
        let Some(current) = &mut self.current else { return };
        current.saturating_record((latency.as_micros() as u64).clamp(1, LONGEST_US));
        if current.len() >= WINDOW {
            std::mem::swap(&mut self.current, &mut self.previous);
            if let Some(current) = &mut self.current {
                current.reset();
            }
        }
    }

    /// Gives a quantile (0 to 1) of recent latencies; none before 100 samples.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let (current, previous) = (self.current.as_ref()?, self.previous.as_ref()?);
        let full = if previous.len() >= ENOUGH { previous } else { current };
        (full.len() >= ENOUGH).then(|| Duration::from_micros(full.value_at_quantile(quantile)))
    }
}
