//! Evidence about the two versions of a roll-out, and the verdict on the new one.
//!
//! Every response is a sample: how long it took relative to its estimate, the pace of its events, or
//! that it failed. Samples are counted in histograms, so that the evidence of all nodes adds up and its
//! size depends neither on the nodes nor on the requests. A version is compared with the other one on the
//! same routes and under the same share of the traffic, never with a fixed time: what slows both down is
//! no evidence.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use xxhash_rust::xxh3;

/// Intervals of a histogram; each is wider than the one before by the square root of two, and the last
/// one counts failures.
const INTERVALS: usize = 17;
const FAILURES: usize = INTERVALS - 1;
/// Number of groups into which routes are divided by a hash of their names.
const ROUTE_GROUPS: u8 = 16;
const INTERVALS_PER_DOUBLING: f64 = 2.0;
/// Lower ends of the second interval: of the time to a response relative to its estimate, and of the time
/// between two events.
const LEAST_RATIO: f64 = 0.5;
const LEAST_PACE: Duration = Duration::from_millis(4);
/// Number of intervals by which a version may be slower without being bad: twice as slow.
const TOLERATED_INTERVALS: usize = 2;
/// Standard deviations above which a difference counts as significant, even though it is tested
/// after every response. If one request in seven fails on the old version and three in ten on the new one,
/// that is detected after about a hundred responses.
const MIN_DEVIATIONS: f64 = 3.3;
/// Standard deviations required by a final analysis, as there are few.
const MIN_DEVIATIONS_FINAL: f64 = 2.0;
/// Log-likelihood ratio, against the number of bad responses expected, above which a difference counts as
/// significant. Where few are expected, standard deviations understate what chance can do. More is required
/// of interim analyses of a small sample, whose share of bad responses changes in coarse steps.
const MIN_STRENGTH: f64 = 5.5;
const MIN_STRENGTH_SMALL_SAMPLE: f64 = 9.0;
const SMALL_SAMPLE_RESPONSES: f64 = 60.0;
/// Bad responses below which a difference may be due to a single event.
const MIN_BAD_RESPONSES: u32 = 4;
/// Prior for the old version's failures: one of this many responses. Few services fail more often.
const PRIOR_RESPONSES: f64 = 20.0;
/// Prior for its slow responses: so many, all of them slow. How fast a service is shows only in its responses.
const PRIOR_SLOW_RESPONSES: f64 = 0.25;
/// Tolerated excess of the share of bad responses over that of the old version.
const EXCESS_TOLERANCE: f64 = 0.05;
/// Tolerated excess once all requests go to the new version: its endpoints have cold caches then,
/// and there are no concurrent responses of the old version for comparison.
const FULL_EXCESS_TOLERANCE: f64 = 0.15;

/// Responses of the old version in one stage that are enough for comparison.
const MIN_REFERENCE_RESPONSES: u32 = 30;

/// Stage of a roll-out. Within one, the shares of the versions are constant, so both serve under the same
/// conditions.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    #[default]
    Canary,
    Ramp,
    /// The new version gets all requests.
    Full,
}

/// What a response shows about the version that gave it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sample {
    /// Time to the response, or to the first event of a stream, relative to its estimate. For a request
    /// that was given up, the time that it had waited.
    Start(f64),
    /// Time between two events of a stream.
    Pace(Duration),
    /// An error response, or none.
    Failed,
    /// A stream that broke off after its first event.
    Broken,
}

/// Kind of analysis of the evidence. Each one can be wrong by chance, so one of many requires more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Analysis {
    /// One of many while responses arrive.
    Interim,
    /// One before the new version gets all requests, or before the old one is stopped.
    Final,
}

/// Way in which the new version is worse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Symptom {
    Failing,
    SlowStart,
    BrokenStreams,
    SlowStreams,
}

impl Symptom {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Symptom::Failing => "failing",
            Symptom::SlowStart => "slow_start",
            Symptom::BrokenStreams => "broken_streams",
            Symptom::SlowStreams => "slow_streams",
        }
    }
}

/// Counts by interval; only those that aren't zero are serialized.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(from = "Counts", into = "Counts")]
struct Histogram([u32; INTERVALS]);

type Counts = SmallVec<[(u8, u32); 8]>;

impl From<Counts> for Histogram {
    /// Ignores counts of unknown intervals, which another build may send.
    fn from(counts: Counts) -> Histogram {
        let mut histogram = Histogram::default();
        for (interval, count) in counts {
            if let Some(known) = histogram.0.get_mut(usize::from(interval)) {
                *known = count;
            }
        }
        histogram
    }
}

impl From<Histogram> for Counts {
    fn from(histogram: Histogram) -> Counts {
        let counts = (0..).zip(histogram.0);
        counts.filter(|(_, count)| *count > 0).collect()
    }
}

impl Histogram {
    /// Counts a value, in multiples of the lower end of the second interval.
    fn record(&mut self, value: f64) {
        let interval = (value.max(1e-9).log2() * INTERVALS_PER_DOUBLING).floor() + 1.0;
        self.0[interval.clamp(0.0, (FAILURES - 1) as f64) as usize] += 1;
    }

    fn add(&mut self, other: &Histogram) {
        for (sum, count) in self.0.iter_mut().zip(other.0) {
            *sum = sum.saturating_add(count);
        }
    }

    fn total(&self) -> u32 {
        self.0.iter().sum()
    }

    /// Returns the number of samples from each interval on.
    fn suffixes(&self) -> Suffixes {
        let mut suffixes = [0; INTERVALS + 1];
        for interval in (0..INTERVALS).rev() {
            suffixes[interval] = suffixes[interval + 1] + self.0[interval];
        }
        suffixes
    }
}

/// Samples of one version.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct Tally {
    /// Starts of responses, and failures.
    starts: Histogram,
    /// Paces of streams, and streams that broke off.
    paces: Histogram,
}

impl Tally {
    fn record(&mut self, sample: Sample) {
        match sample {
            Sample::Start(ratio) => self.starts.record(ratio / LEAST_RATIO),
            Sample::Pace(gap) => self.paces.record(gap.as_secs_f64() / LEAST_PACE.as_secs_f64()),
            Sample::Failed => self.starts.0[FAILURES] += 1,
            Sample::Broken => self.paces.0[FAILURES] += 1,
        }
    }

    fn add(&mut self, other: &Tally) {
        self.starts.add(&other.starts);
        self.paces.add(&other.paces);
    }
}

/// Samples of both versions under the same conditions.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct Stratum {
    /// Number of the stage, and group of the route.
    key: (u8, u8),
    new: Tally,
    old: Tally,
}

/// Samples of both versions, of one node or summed over several.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Sorted by key.
    strata: Vec<Stratum>,
}

/// Conditions under which a sample was taken.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Conditions {
    stage: Stage,
    route_group: u8,
}

impl Conditions {
    pub fn new(stage: Stage, route: &str) -> Conditions {
        let route_group = (xxh3::xxh3_64(route.as_bytes()) % u64::from(ROUTE_GROUPS)) as u8;
        Conditions { stage, route_group }
    }
}

/// Difference by which the new version is worse.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Excess {
    pub symptom: Symptom,
    /// Bad and all samples of the new version.
    pub new: (u32, u32),
    /// Bad and all samples of the old version. A slow sample counts as bad at half of the time from which
    /// it does for the new version.
    pub old: (u32, u32),
    /// Bad samples expected of a new version that is like the old one.
    pub expected: f64,
    /// Standard deviations of a random difference.
    pub deviations: f64,
}

impl Excess {
    /// Returns whether the difference proves the new version bad.
    pub fn is_significant(&self, analysis: Analysis) -> bool {
        let is_small_sample = f64::from(self.new.1) < SMALL_SAMPLE_RESPONSES;
        let (min_deviations, min_strength) = match analysis {
            Analysis::Interim if is_small_sample => (MIN_DEVIATIONS, MIN_STRENGTH_SMALL_SAMPLE),
            Analysis::Interim => (MIN_DEVIATIONS, MIN_STRENGTH),
            Analysis::Final => (MIN_DEVIATIONS_FINAL, MIN_STRENGTH),
        };
        self.new.0 >= MIN_BAD_RESPONSES
            && self.deviations > min_deviations
            && self.strength() > min_strength
    }

    /// Returns the log-likelihood ratio of the bad samples against the number expected.
    fn strength(&self) -> f64 {
        let (bad, total) = (f64::from(self.new.0), f64::from(self.new.1));
        let term = |observed: f64, expected: f64| {
            if observed > 0.0 { observed * (observed / expected.max(1e-9)).ln() } else { 0.0 }
        };
        term(bad, self.expected) + term(total - bad, total - self.expected)
    }
}

impl fmt::Display for Excess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Excess { symptom, new, old, expected, deviations } = self;
        write!(
            f,
            "reason={} new_bad={} new={} old_bad={} old={} expected={expected:.1} deviations={deviations:.1}",
            symptom.name(),
            new.0,
            new.1,
            old.0,
            old.1
        )
    }
}

impl Evidence {
    pub fn record(&mut self, conditions: Conditions, is_new: bool, sample: Sample) {
        let stratum = self.stratum((conditions.stage as u8, conditions.route_group));
        if is_new { stratum.new.record(sample) } else { stratum.old.record(sample) }
    }

    /// Adds other evidence, except for stages and groups that this build doesn't have.
    pub fn add(&mut self, other: &Evidence) {
        for added in &other.strata {
            let (stage, route_group) = added.key;
            if stage <= Stage::Full as u8 && route_group < ROUTE_GROUPS {
                let sum = self.stratum(added.key);
                sum.new.add(&added.new);
                sum.old.add(&added.old);
            }
        }
    }

    fn stratum(&mut self, key: (u8, u8)) -> &mut Stratum {
        let index = match self.strata.binary_search_by_key(&key, |stratum| stratum.key) {
            Ok(index) => index,
            Err(index) => {
                self.strata.insert(index, Stratum { key, ..Stratum::default() });
                index
            }
        };
        &mut self.strata[index]
    }

    pub fn is_empty(&self) -> bool {
        self.strata.is_empty()
    }

    /// Returns the responses of the new and of the old version, failures included.
    pub fn responses(&self) -> (u32, u32) {
        let sum = |count: fn(&Stratum) -> u32| self.strata.iter().map(count).sum();
        (sum(|stratum| stratum.new.starts.total()), sum(|stratum| stratum.old.starts.total()))
    }

    /// Returns the responses of the new version that didn't fail.
    pub fn good_responses(&self) -> u32 {
        let good = |stratum: &Stratum| {
            let starts = &stratum.new.starts;
            starts.total() - starts.0[FAILURES]
        };
        self.strata.iter().map(good).sum()
    }

    /// Returns the most significant difference beyond what is tolerated.
    pub fn worst_excess(&self, analysis: Analysis) -> Option<Excess> {
        let is_shared = |stratum: &&Stratum| stratum.key.0 < Stage::Full as u8;
        let (shared, full): (Vec<&Stratum>, Vec<&Stratum>) =
            self.strata.iter().partition(is_shared);
        let shared: Vec<Stratum> = shared.into_iter().copied().collect();
        // All requests of the last stage go to the new version.
        let full = full
            .into_iter()
            .map(|stratum| Stratum { old: reference(&shared, stratum.key.1), ..*stratum });
        let full: Vec<Stratum> = full.collect();
        let full = excesses(&full, FULL_EXCESS_TOLERANCE);
        excesses(&shared, EXCESS_TOLERANCE).chain(full).max_by(|a, b| {
            let is_significant = |excess: &Excess| excess.is_significant(analysis);
            let by_significance = is_significant(a).cmp(&is_significant(b));
            by_significance.then(a.deviations.total_cmp(&b.deviations))
        })
    }
}

/// Returns the samples of the old version on a route with which those of the last stage are compared: of the
/// stage before, as the conditions have changed least since then, or of all stages if it has few.
fn reference(shared: &[Stratum], route_group: u8) -> Tally {
    let same_route = || shared.iter().filter(|stratum| stratum.key.1 == route_group);
    let last = same_route().next_back().map(|stratum| stratum.old);
    if let Some(last) = last.filter(|last| last.starts.total() >= MIN_REFERENCE_RESPONSES) {
        return last;
    }
    let mut all = Tally::default();
    same_route().for_each(|stratum| all.add(&stratum.old));
    all
}

type Metric = fn(&Tally) -> &Histogram;
/// Number of samples from each interval on.
type Suffixes = [u32; INTERVALS + 1];

/// Returns the differences beyond the tolerance, by symptom and by the time from which a response is slow.
fn excesses(strata: &[Stratum], tolerance: f64) -> impl Iterator<Item = Excess> {
    let metrics: [(Metric, Symptom, Symptom); 2] = [
        (|tally| &tally.starts, Symptom::Failing, Symptom::SlowStart),
        (|tally| &tally.paces, Symptom::BrokenStreams, Symptom::SlowStreams),
    ];
    metrics.into_iter().flat_map(move |(metric, failure, slowness)| {
        let suffixes =
            |stratum: &Stratum| (metric(&stratum.new).suffixes(), metric(&stratum.old).suffixes());
        let suffixes: Vec<(Suffixes, Suffixes)> =
            strata.iter().map(suffixes).filter(|(new, _)| new[0] > 0).collect();
        let failing = (failure, FAILURES, INTERVALS);
        // Slow ones are compared among all samples, and without the failures.
        let slow = (1..FAILURES - TOLERATED_INTERVALS)
            .flat_map(move |start| [INTERVALS, FAILURES].map(|end| (slowness, start, end)));
        std::iter::once(failing).chain(slow).filter_map(move |(symptom, start, end)| {
            let is_slow = start < FAILURES;
            let new_start = if is_slow { start + TOLERATED_INTERVALS } else { start };
            let prior = if is_slow {
                (PRIOR_SLOW_RESPONSES, PRIOR_SLOW_RESPONSES)
            } else {
                (1.0, PRIOR_RESPONSES)
            };
            let counts = suffixes.iter().map(|(new, old)| {
                let new = (new[new_start] - new[end], new[0] - new[end]);
                (new, (old[start] - old[end], old[0] - old[end]))
            });
            // Without responses of the old version, nothing tells how slow the route is.
            let counts = counts.filter(|(_, (_, old_total))| !is_slow || *old_total > 0);
            compare(symptom, counts, prior, tolerance)
        })
    })
}

/// Compares the shares of bad samples stratum by stratum, so that conditions that differ between the
/// strata cancel out.
fn compare(
    symptom: Symptom,
    strata: impl Iterator<Item = ((u32, u32), (u32, u32))>,
    (prior_bad, prior_total): (f64, f64),
    tolerance: f64,
) -> Option<Excess> {
    let (mut new_sum, mut old_sum) = ((0, 0), (0, 0));
    let (mut expected, mut surplus, mut variance) = (0.0, 0.0, 0.0);
    for (new, old) in strata {
        let (new_bad, new_total) = (f64::from(new.0), f64::from(new.1));
        let (old_bad, old_total) = (f64::from(old.0) + prior_bad, f64::from(old.1) + prior_total);
        let total = new_total + old_total;
        let bad_share = (new_bad + old_bad) / total;
        expected += new_total * old_bad / old_total;
        surplus += new_bad - new_total * bad_share;
        variance += new_total * old_total / total * bad_share * (1.0 - bad_share);
        new_sum = (new_sum.0 + new.0, new_sum.1 + new.1);
        old_sum = (old_sum.0 + old.0, old_sum.1 + old.1);
    }
    let excess = (f64::from(new_sum.0) - expected) / f64::from(new_sum.1.max(1));
    let deviations = surplus / variance.sqrt().max(1e-9);
    let (new, old) = (new_sum, old_sum);
    (excess > tolerance).then_some(Excess { symptom, new, old, expected, deviations })
}
