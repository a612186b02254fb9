//! Guards the demand forecast against a lost daily profile, too little or too much headroom, gaps
//! in the samples and unbounded memory.

use std::time::Duration;

use pomelolink::capacity::{Forecast, offer, vms_for_demand};
use pomelolink::trace::generate;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3_600);
const DAY: Duration = Duration::from_secs(86_400);
const LEAD: Duration = Duration::from_secs(900);
const QUANTILE: f64 = 0.98;

/// Returns the demand, without noise, of a company that declines by 4% per month.
fn demand(at: Duration) -> f64 {
    100.0 * generate::montaggio().demand(at)
}

fn noisy(random: &mut StdRng, at: Duration) -> f64 {
    demand(at) * (0.9 + 0.2 * random.random::<f64>())
}

fn observe(forecast: &mut Forecast, random: &mut StdRng, from: Duration, to: Duration) {
    let mut now = from;
    while now < to {
        now += MINUTE;
        forecast.observe(now, MINUTE, noisy(random, now));
    }
}

#[test]
fn profile_and_trend_learned() {
    let (mut forecast, mut random) = (Forecast::new(LEAD), StdRng::seed_from_u64(11));
    let (mut checked, mut above, mut planned, mut actual) = (0, 0, 0.0, 0.0);
    let mut now = DAY * 100;
    while now < DAY * 160 {
        observe(&mut forecast, &mut random, now, now + MINUTE);
        now += MINUTE;
        if now > DAY * 107 && now.as_secs().is_multiple_of(840) {
            let plan = forecast.planned_demand(now, QUANTILE);
            let later = noisy(&mut random, now + LEAD);
            checked += 1;
            above += u64::from(later > plan * 1.1);
            planned += plan;
            actual += later;
        }
    }
    assert!(above * 100 < checked, "demand was 10% above the plan in {above} of {checked} minutes");
    assert!(planned < actual * 1.35, "the plan is {} of the demand", planned / actual);
    // The true change is a factor of 0.96 per month.
    assert!(
        (0.93..0.99).contains(&forecast.monthly_factor()),
        "monthly factor {}",
        forecast.monthly_factor()
    );
    let night = forecast.mean(now, now + HOUR * 28);
    let noon = forecast.mean(now, now + HOUR * 38);
    assert!(noon > night * 4.0, "14:00 has {noon}, 04:00 has {night}");
}

#[test]
fn gaps_keep_daily_profile() {
    let (mut forecast, mut random) = (Forecast::new(LEAD), StdRng::seed_from_u64(12));
    observe(&mut forecast, &mut random, DAY * 100, DAY * 110 + HOUR * 14);
    // A burst just before the gap must not be taken for the demand of later days.
    for minute in 1..=30 {
        let now = DAY * 110 + HOUR * 14 + MINUTE * minute;
        forecast.observe(now, MINUTE, demand(now) * 3.0);
    }
    let burst = DAY * 110 + HOUR * 14 + MINUTE * 30;
    assert!(
        forecast.planned_demand(burst, QUANTILE) > demand(burst) * 2.0,
        "the burst is not followed"
    );
    for gap in [HOUR * 9, DAY * 3] {
        let later = burst + gap;
        let mean = forecast.mean(later, later + HOUR);
        let actual = demand(later + HOUR);
        assert!((mean / actual - 1.0).abs() < 0.25, "{mean} after {gap:?} instead of {actual}");
    }
    let (late, unchanged) = (burst - HOUR, forecast.clone());
    forecast.observe(late, MINUTE, 1e9);
    forecast.observe(burst + MINUTE, MINUTE, f64::NAN);
    forecast.observe(burst + MINUTE, Duration::ZERO, 5.0);
    assert_eq!(forecast, unchanged);
}

#[test]
fn serialized_size_is_bounded() {
    let (mut forecast, mut random) = (Forecast::new(LEAD), StdRng::seed_from_u64(13));
    observe(&mut forecast, &mut random, DAY * 100, DAY * 103);
    let size = serde_json::to_string(&forecast).unwrap().len();
    observe(&mut forecast, &mut random, DAY * 103, DAY * 120);
    let text = serde_json::to_string(&forecast).unwrap();
    assert!(text.len() < size * 11 / 10, "{} bytes after {size}", text.len());
    let read: Forecast = serde_json::from_str(&text).unwrap();
    let now = DAY * 120;
    assert!(
        (read.planned_demand(now, QUANTILE) / forecast.planned_demand(now, QUANTILE) - 1.0).abs()
            < 1e-6
    );
    assert_eq!(vms_for_demand(100.1, 50.0), 3);
}

#[test]
fn offer_mistakes_name_fields() {
    let text = r#"{ "quantile": 2, "pools": [{ "pool": "engines", "unit": "tokens", "per_vm": 0,
        "offers": [{ "failure_domain": "dk-a", "class": "small", "prize": 1 }] }] }"#;
    let mistakes: Vec<String> =
        offer::Sheet::parse(text).unwrap_err().into_iter().map(|mistake| mistake.field).collect();
    let expected = ["quantile", "pools[0].per_vm", "pools[0].offers[0].price"];
    for field in expected {
        assert!(mistakes.iter().any(|found| found == field), "{field} is not in {mistakes:?}");
    }
}
