//! Demand forecast of one service: daily rhythm, slow trend, and headroom by an upper quantile.
//!
//! The memory is bounded: one level per quarter of an hour of the day, and a ring of residuals.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

const DAY: Duration = Duration::from_secs(86_400);
/// Quarters of an hour in a day; demand is interpolated between their centres.
const SLOTS: usize = 96;
/// Weight of the latest day in the level of a slot.
const DAY_WEIGHT: f64 = 0.25;
/// Weight of one slot in the trend; a day has 96 slots, so that the trend follows within weeks.
const TREND_WEIGHT: f64 = 0.001;
/// Largest change per day that counts as trend: about 26% per month. Larger changes are noise or
/// bursts, which the short-term correction follows.
const TREND_LIMIT: f64 = 0.01;
/// Time constant with which demand beside the rhythm is followed and forgotten.
const CORRECTION_TIME: Duration = Duration::from_secs(1_800);
const CORRECTION_LIMIT: f64 = 4.0;
/// Residuals kept; at one per five minutes, two days.
const RESIDUALS: usize = 576;
const RESIDUAL_PERIOD: Duration = Duration::from_secs(300);
/// Residuals below which the headroom is not known yet.
const LEAST_RESIDUALS: usize = 48;
/// Headroom until it is known, and its bounds.
const FIRST_HEADROOM: f64 = 1.5;
const LARGEST_HEADROOM: f64 = 3.0;
/// Samples that make up the demand of now; one sample alone is too noisy.
const RECENT: Duration = Duration::from_secs(300);
/// Demand below which ratios mean nothing.
const TINY: f64 = 1e-6;

/// Holds the level of a quarter of an hour of the day.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
struct Slot {
    level: f64,
    /// Day of the latest level; `None` without any.
    day: Option<u64>,
}

/// Sums the samples of the slot that is being observed.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
struct Open {
    index: u64,
    sum: f64,
    weight: f64,
}

/// Forecasts the demand of one service from what was observed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Series {
    slots: Vec<Slot>,
    open: Open,
    /// Change of the logarithm of demand per day.
    trend: f64,
    /// Recent demand relative to the rhythm, as a logarithm.
    correction: f64,
    recent: f64,
    last: Option<Duration>,
    residuals: VecDeque<f64>,
    /// Forecasts made that the future is compared with: the time they are for and the demand.
    made: VecDeque<(Duration, f64)>,
    /// Time ahead for which the headroom is measured.
    lead: Duration,
}

impl Series {
    /// Starts without observations; `lead` is the time from a decision to a warm VM.
    pub fn new(lead: Duration) -> Series {
        Series {
            slots: vec![Slot::default(); SLOTS],
            open: Open::default(),
            trend: 0.0,
            correction: 0.0,
            recent: 0.0,
            last: None,
            residuals: VecDeque::new(),
            made: VecDeque::new(),
            lead,
        }
    }

    /// Takes the demand observed over the `length` before `now`; late and repeated samples are
    /// ignored.
    pub fn observe(&mut self, now: Duration, length: Duration, demand: f64) {
        let late = self.last.is_some_and(|last| now <= last);
        if late || length.is_zero() || !demand.is_finite() || demand < 0.0 {
            return;
        }
        let gap = self.last.map_or(Duration::MAX, |last| now - last);
        self.last = Some(now);
        let weight = decay(length, RECENT);
        self.recent =
            if gap > RECENT * 4 { demand } else { self.recent * weight + demand * (1.0 - weight) };
        self.follow(now, length, gap);
        self.fill(now, length, demand);
        self.compare(now);
    }

    /// Follows the deviation from the rhythm; after a gap the old deviation means little.
    fn follow(&mut self, now: Duration, length: Duration, gap: Duration) {
        let Some(rhythm) = self.rhythm(now).filter(|rhythm| *rhythm > TINY) else { return };
        let missing = gap.saturating_sub(length);
        self.correction *= decay(missing, CORRECTION_TIME);
        let seen = (self.recent.max(TINY) / rhythm).ln();
        let limit = CORRECTION_LIMIT.ln();
        let weight = decay(length, RECENT);
        self.correction = self.correction * weight + seen.clamp(-limit, limit) * (1.0 - weight);
    }

    /// Sums the samples of a slot and closes it when the next slot begins.
    fn fill(&mut self, now: Duration, length: Duration, demand: f64) {
        let middle = now.saturating_sub(length / 2);
        let index = middle.as_secs() / slot_length().as_secs();
        if index != self.open.index {
            self.close();
            self.open = Open { index, ..Open::default() };
        }
        let weight = length.as_secs_f64();
        self.open.sum += demand * weight;
        self.open.weight += weight;
    }

    fn close(&mut self) {
        // A slot that was observed for less than a third says little about its level.
        if self.open.weight * 3.0 < slot_length().as_secs_f64() {
            return;
        }
        let mean = self.open.sum / self.open.weight;
        let day = self.open.index / SLOTS as u64;
        let slot = &mut self.slots[(self.open.index % SLOTS as u64) as usize];
        let Some(days) = slot.day.map(|known| day.saturating_sub(known)).filter(|days| *days > 0)
        else {
            *slot = Slot { level: mean, day: Some(day) };
            return;
        };
        let expected = slot.level * (self.trend * days as f64).exp();
        if mean > TINY && expected > TINY {
            // The level lags behind by its weight, so a deviation stands for several days of trend.
            let change = (mean / expected).ln() * DAY_WEIGHT / days as f64;
            self.trend += TREND_WEIGHT * change.clamp(-TREND_LIMIT * 10.0, TREND_LIMIT * 10.0);
            self.trend = self.trend.clamp(-TREND_LIMIT, TREND_LIMIT);
        }
        slot.level = expected * (1.0 - DAY_WEIGHT) + mean * DAY_WEIGHT;
        slot.day = Some(day);
    }

    /// Compares earlier forecasts with the demand of now and makes the next one.
    fn compare(&mut self, now: Duration) {
        while let Some(&(at, forecast)) = self.made.front().filter(|(at, _)| *at <= now) {
            self.made.pop_front();
            // After a gap the forecast was for another time.
            if now - at <= RESIDUAL_PERIOD && forecast > TINY {
                self.residuals.push_back((self.recent.max(TINY) / forecast).ln());
            }
        }
        while self.residuals.len() > RESIDUALS {
            self.residuals.pop_front();
        }
        let due = self.made.back().is_none_or(|(at, _)| now + self.lead >= *at + RESIDUAL_PERIOD);
        if due && self.rhythm(now).is_some() {
            let forecast = self.mean(now, now + self.lead);
            self.made.push_back((now + self.lead, forecast));
        }
    }

    /// Gives the demand that the rhythm and the trend predict; `None` without any history.
    fn rhythm(&self, at: Duration) -> Option<f64> {
        let position = at.as_secs_f64() / slot_length().as_secs_f64() - 0.5;
        let part = position - position.floor();
        let first = position.max(0.0).floor() as u64;
        let left = self.level(first, at);
        let right = self.level(first + 1, at);
        match (left, right) {
            (Some(left), Some(right)) => Some(left * (1.0 - part) + right * part),
            (one, other) => one.or(other),
        }
    }

    fn level(&self, index: u64, at: Duration) -> Option<f64> {
        let slot = &self.slots[(index % SLOTS as u64) as usize];
        let day = slot.day?;
        let days = (at.as_secs() / DAY.as_secs()).saturating_sub(day);
        // A trend is not carried on over more than a month without observations.
        Some(slot.level * (self.trend * days.min(30) as f64).exp())
    }

    /// Forecasts the mean demand at a time from what is known `now`.
    pub fn mean(&self, now: Duration, at: Duration) -> f64 {
        let Some(rhythm) = self.rhythm(at) else { return self.recent };
        let age = self.last.map_or(Duration::MAX, |last| at.max(now).saturating_sub(last));
        rhythm * (self.correction * decay(age, CORRECTION_TIME)).exp()
    }

    /// Gives the factor above the mean that the given part of the past demand stayed below.
    pub fn headroom(&self, quantile: f64) -> f64 {
        if self.residuals.len() < LEAST_RESIDUALS {
            return FIRST_HEADROOM;
        }
        let mut sorted: Vec<f64> = self.residuals.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let rank = (quantile.clamp(0.0, 1.0) * (sorted.len() - 1) as f64).ceil() as usize;
        sorted[rank.min(sorted.len() - 1)].exp().clamp(1.0, LARGEST_HEADROOM)
    }

    /// Gives the demand to plan for: the largest mean until `now` plus the lead time with headroom,
    /// and never less than the demand of now.
    pub fn upper(&self, now: Duration, quantile: f64) -> f64 {
        let steps = (self.lead.as_secs() / 300).clamp(1, 48) as u32;
        let means = (0..=steps).map(|step| self.mean(now, now + self.lead * step / steps));
        let largest = means.fold(0.0, f64::max);
        let fresh = self.last.is_some_and(|last| now.saturating_sub(last) < RECENT * 2);
        let present = if fresh { self.recent } else { 0.0 };
        (largest * self.headroom(quantile)).max(present)
    }

    /// Gives the change of demand per month of 30 days, as a factor.
    pub fn monthly(&self) -> f64 {
        (self.trend * 30.0).exp()
    }
}

fn slot_length() -> Duration {
    DAY / SLOTS as u32
}

/// Gives the part that remains after a time with a time constant.
fn decay(time: Duration, constant: Duration) -> f64 {
    (-time.as_secs_f64() / constant.as_secs_f64()).exp()
}
