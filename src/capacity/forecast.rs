//! Demand forecast of one service: a daily seasonal profile, a slow trend, and headroom from an
//! upper quantile of the forecast errors.
//!
//! Memory is bounded: one level per quarter of an hour of the day, and a ring buffer of residuals.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

const DAY: Duration = Duration::from_secs(86_400);
/// Quarters of an hour in a day; demand is interpolated between their centres.
const SLOTS_PER_DAY: usize = 96;
/// Weight of the latest day in the level of a slot.
const DAY_WEIGHT: f64 = 0.25;
/// Weight of one slot in the trend; with 96 slots a day, the trend adapts within weeks.
const TREND_WEIGHT: f64 = 0.001;
/// Largest change per day that counts as trend: about 26% per month. Larger changes are noise or
/// bursts, which the short-term correction covers.
const MAX_DAILY_TREND: f64 = 0.01;
/// Time constant with which the forecast forgets a deviation from the seasonal profile.
const CORRECTION_TIME_CONSTANT: Duration = Duration::from_secs(1_800);
const MAX_CORRECTION_FACTOR: f64 = 4.0;
/// Maximum number of residuals kept: two days at one per five minutes.
const MAX_RESIDUALS: usize = 576;
const RESIDUAL_PERIOD: Duration = Duration::from_secs(300);
/// Residuals needed to compute the headroom.
const MIN_RESIDUALS: usize = 48;
/// Headroom until `MIN_RESIDUALS` are known, and its upper bound after that.
const DEFAULT_HEADROOM: f64 = 1.5;
const MAX_HEADROOM: f64 = 3.0;
/// Time constant of the average that gives the current demand; a single sample is too noisy.
const RECENT_TIME_CONSTANT: Duration = Duration::from_secs(300);
/// Demand below which ratios are meaningless.
const MIN_DEMAND: f64 = 1e-6;

/// The demand level of one quarter of an hour of the day.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
struct Slot {
    level: f64,
    /// Day of the latest level; `None` if there is none.
    day: Option<u64>,
}

/// Weighted sum of the samples of the slot being observed.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
struct SlotSum {
    index: u64,
    sum: f64,
    weight: f64,
}

/// Forecast of the demand of one service, from observed samples.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Forecast {
    slots: Vec<Slot>,
    #[serde(rename = "open")]
    current_slot: SlotSum,
    /// Change of the logarithm of demand per day.
    trend: f64,
    /// Logarithm of the ratio of recent demand to the seasonal profile.
    correction: f64,
    recent: f64,
    last: Option<Duration>,
    residuals: VecDeque<f64>,
    /// Forecasts not yet compared with the observed demand: their target time and demand.
    #[serde(rename = "made")]
    pending: VecDeque<(Duration, f64)>,
    /// Time ahead for which the headroom is computed.
    lead: Duration,
}

impl Forecast {
    /// Creates a forecast without observations; `lead` is the time from a decision to a warm VM.
    pub fn new(lead: Duration) -> Forecast {
        Forecast {
            slots: vec![Slot::default(); SLOTS_PER_DAY],
            current_slot: SlotSum::default(),
            trend: 0.0,
            correction: 0.0,
            recent: 0.0,
            last: None,
            residuals: VecDeque::new(),
            pending: VecDeque::new(),
            lead,
        }
    }

    /// Records the demand observed over the `length` before `now`; ignores late and repeated
    /// samples.
    pub fn observe(&mut self, now: Duration, length: Duration, demand: f64) {
        let is_late = self.last.is_some_and(|last| now <= last);
        if is_late || length.is_zero() || !demand.is_finite() || demand < 0.0 {
            return;
        }
        let gap = self.last.map_or(Duration::MAX, |last| now - last);
        self.last = Some(now);
        let weight = decay_factor(length, RECENT_TIME_CONSTANT);
        self.recent = if gap > RECENT_TIME_CONSTANT * 4 {
            demand
        } else {
            self.recent * weight + demand * (1.0 - weight)
        };
        self.update_correction(now, length, gap);
        self.add_to_slot(now, length, demand);
        self.update_residuals(now);
    }

    /// Updates the deviation from the seasonal profile; it decays over a gap without samples.
    fn update_correction(&mut self, now: Duration, length: Duration, gap: Duration) {
        let Some(seasonal) = self.seasonal(now).filter(|mean| *mean > MIN_DEMAND) else { return };
        let unobserved = gap.saturating_sub(length);
        self.correction *= decay_factor(unobserved, CORRECTION_TIME_CONSTANT);
        let observed = (self.recent.max(MIN_DEMAND) / seasonal).ln();
        let limit = MAX_CORRECTION_FACTOR.ln();
        let weight = decay_factor(length, RECENT_TIME_CONSTANT);
        self.correction = self.correction * weight + observed.clamp(-limit, limit) * (1.0 - weight);
    }

    /// Adds a sample to its slot, and finishes the previous slot when a new one begins.
    fn add_to_slot(&mut self, now: Duration, length: Duration, demand: f64) {
        let middle = now.saturating_sub(length / 2);
        let index = middle.as_secs() / slot_length().as_secs();
        if index != self.current_slot.index {
            self.finish_slot();
            self.current_slot = SlotSum { index, ..SlotSum::default() };
        }
        let weight = length.as_secs_f64();
        self.current_slot.sum += demand * weight;
        self.current_slot.weight += weight;
    }

    fn finish_slot(&mut self) {
        // A slot that was observed for less than a third of its length says little about its level.
        if self.current_slot.weight * 3.0 < slot_length().as_secs_f64() {
            return;
        }
        let mean = self.current_slot.sum / self.current_slot.weight;
        let day = self.current_slot.index / SLOTS_PER_DAY as u64;
        let slot = &mut self.slots[(self.current_slot.index % SLOTS_PER_DAY as u64) as usize];
        let Some(days) =
            slot.day.map(|last_day| day.saturating_sub(last_day)).filter(|days| *days > 0)
        else {
            *slot = Slot { level: mean, day: Some(day) };
            return;
        };
        let expected = slot.level * (self.trend * days as f64).exp();
        if mean > MIN_DEMAND && expected > MIN_DEMAND {
            // The level lags by its weight, so a deviation covers several days of trend.
            let change = (mean / expected).ln() * DAY_WEIGHT / days as f64;
            self.trend +=
                TREND_WEIGHT * change.clamp(-MAX_DAILY_TREND * 10.0, MAX_DAILY_TREND * 10.0);
            self.trend = self.trend.clamp(-MAX_DAILY_TREND, MAX_DAILY_TREND);
        }
        slot.level = expected * (1.0 - DAY_WEIGHT) + mean * DAY_WEIGHT;
        slot.day = Some(day);
    }

    /// Compares earlier forecasts with the current demand and makes the next forecast.
    fn update_residuals(&mut self, now: Duration) {
        while let Some(&(at, forecast)) = self.pending.front().filter(|(at, _)| *at <= now) {
            self.pending.pop_front();
            // After a gap, the forecast was for an earlier time than the current demand.
            if now - at <= RESIDUAL_PERIOD && forecast > MIN_DEMAND {
                self.residuals.push_back((self.recent.max(MIN_DEMAND) / forecast).ln());
            }
        }
        while self.residuals.len() > MAX_RESIDUALS {
            self.residuals.pop_front();
        }
        let is_due =
            self.pending.back().is_none_or(|(at, _)| now + self.lead >= *at + RESIDUAL_PERIOD);
        if is_due && self.seasonal(now).is_some() {
            let forecast = self.mean(now, now + self.lead);
            self.pending.push_back((now + self.lead, forecast));
        }
    }

    /// Returns the demand that the seasonal profile and the trend predict; `None` without history.
    fn seasonal(&self, at: Duration) -> Option<f64> {
        let position = at.as_secs_f64() / slot_length().as_secs_f64() - 0.5;
        let fraction = position - position.floor();
        let first_slot = position.max(0.0).floor() as u64;
        let left = self.slot_level(first_slot, at);
        let right = self.slot_level(first_slot + 1, at);
        match (left, right) {
            (Some(left), Some(right)) => Some(left * (1.0 - fraction) + right * fraction),
            (one, other) => one.or(other),
        }
    }

    fn slot_level(&self, index: u64, at: Duration) -> Option<f64> {
        let slot = &self.slots[(index % SLOTS_PER_DAY as u64) as usize];
        let day = slot.day?;
        let days = (at.as_secs() / DAY.as_secs()).saturating_sub(day);
        // The trend is extrapolated over at most a month without observations.
        Some(slot.level * (self.trend * days.min(30) as f64).exp())
    }

    /// Forecasts the mean demand at the time `at` from what is known at `now`.
    pub fn mean(&self, now: Duration, at: Duration) -> f64 {
        let Some(seasonal) = self.seasonal(at) else { return self.recent };
        let age = self.last.map_or(Duration::MAX, |last| at.max(now).saturating_sub(last));
        seasonal * (self.correction * decay_factor(age, CORRECTION_TIME_CONSTANT)).exp()
    }

    /// Returns the factor by which demand exceeds the mean at the given quantile of past residuals.
    pub fn headroom(&self, quantile: f64) -> f64 {
        if self.residuals.len() < MIN_RESIDUALS {
            return DEFAULT_HEADROOM;
        }
        let mut sorted: Vec<f64> = self.residuals.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let rank = (quantile.clamp(0.0, 1.0) * (sorted.len() - 1) as f64).ceil() as usize;
        sorted[rank.min(sorted.len() - 1)].exp().clamp(1.0, MAX_HEADROOM)
    }

    /// Returns the demand to plan for: the highest mean within the lead time, times the headroom,
    /// and at least the current demand.
    pub fn planned_demand(&self, now: Duration, quantile: f64) -> f64 {
        let steps = (self.lead.as_secs() / 300).clamp(1, 48) as u32;
        let means = (0..=steps).map(|step| self.mean(now, now + self.lead * step / steps));
        let highest = means.fold(0.0, f64::max);
        let is_recent =
            self.last.is_some_and(|last| now.saturating_sub(last) < RECENT_TIME_CONSTANT * 2);
        let current = if is_recent { self.recent } else { 0.0 };
        (highest * self.headroom(quantile)).max(current)
    }

    /// Returns the trend as a factor per month of 30 days.
    pub fn monthly_factor(&self) -> f64 {
        (self.trend * 30.0).exp()
    }
}

fn slot_length() -> Duration {
    DAY / SLOTS_PER_DAY as u32
}

/// Returns the factor of an exponential decay over a time with a time constant.
fn decay_factor(time: Duration, constant: Duration) -> f64 {
    (-time.as_secs_f64() / constant.as_secs_f64()).exp()
}
