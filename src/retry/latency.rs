use std::time::Duration;

use hdrhistogram::Histogram;

/// Number of samples per window. Quantiles are taken from the last full window, or from the current
/// one until a window is full.
const WINDOW_SAMPLES: u64 = 1_000;

/// Minimum number of samples for a quantile.
const MIN_SAMPLES: u64 = 100;

const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Estimates quantiles of recent latencies with histograms of fixed size and two significant
/// digits.
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
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).ok()
}

impl Latency {
    pub fn record(&mut self, latency: Duration) {
        let Some(current) = &mut self.current else { return };
        current.saturating_record((latency.as_micros() as u64).clamp(1, MAX_LATENCY_US));
        if current.len() >= WINDOW_SAMPLES {
            std::mem::swap(&mut self.current, &mut self.previous);
            if let Some(current) = &mut self.current {
                current.reset();
            }
        }
    }

    /// Returns a quantile (0 to 1) of recent latencies; `None` before 100 samples.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let (current, previous) = (self.current.as_ref()?, self.previous.as_ref()?);
        let window = if previous.len() >= MIN_SAMPLES { previous } else { current };
        (window.len() >= MIN_SAMPLES)
            .then(|| Duration::from_micros(window.value_at_quantile(quantile)))
    }
}
