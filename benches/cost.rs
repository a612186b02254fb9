//! Measures cost at the latency target on declining demand: `cargo bench --bench cost`.
//!
//! All policies of one table meet the same demand, prices, reclaims and refusals. `docs/cost.md`
//! describes the trace and what the model leaves out.

#[path = "cost/policy.rs"]
mod policy;
#[path = "cost/world.rs"]
mod world;

use std::time::Duration;

use policy::Policy;
use pomelolink::trace::Record;
use pomelolink::trace::generate::{self, Company, Generator};
use pomelolink::trace::replay;
use world::{Result, Trace};

const SEEDS: [u64; 3] = [20_261_204, 20_261_205, 20_261_206];
/// First-token target of `docs/design.md`, section 2, at the 95th percentile.
const FIRST_TOKEN: Duration = Duration::from_millis(360);
/// The cost target of `docs/design.md`, section 4.
const TARGET: f64 = 0.5;
/// Requests per second that one application VM serves; assumed, not measured.
const PLAIN_PER_VM: f64 = 10.0;
/// Price of an application VM relative to one with an accelerator; assumed.
const PLAIN_PRICE: f64 = 0.1;

fn main() {
    let mut held = true;
    for (company, workers) in [(generate::jernhjem(), 18), (generate::montaggio(), 9)] {
        let per_vm = throughput(&company, workers);
        let turns: f64 = company.talks.iter().map(|talk| talk.part * talk.turns).sum();
        let peak = company.conversations * turns;
        for (label, scale, seeds) in
            [("today", 1.0, &SEEDS[..]), ("20 times the demand", 20.0, &SEEDS[..1])]
        {
            for &seed in seeds {
                println!("{}, {label}, seed {seed}", company.name);
                let model = (peak * scale, per_vm, 1.0);
                let plain = (company.plain * scale, PLAIN_PER_VM, PLAIN_PRICE);
                held &= compare(&company, seed, scale, [model, plain]);
            }
        }
    }
    println!("cost target {TARGET}x of the peak fleet: {}", if held { "held" } else { "MISSED" });
}

/// Runs all policies on the pools of a company; tells whether the plan holds the cost target.
fn compare(company: &Company, seed: u64, scale: f64, pools: [(f64, f64, f64); 2]) -> bool {
    let run = |policy: Policy| {
        let mut sum = Result::default();
        for (index, (peak, per_vm, price)) in pools.into_iter().enumerate() {
            let trace = Trace::new(company, seed + 1_000 * index as u64, peak, price);
            sum.add(&world::run(&trace, per_vm, scale, policy));
        }
        sum
    };
    let peak = run(Policy::Fixed { quantile: 1.0 });
    println!(
        "  policy                          cost per 1,000   ratio  time missed  requests missed  starts"
    );
    let mut held = true;
    for (label, policy) in [
        ("on demand, for the peak", Policy::Fixed { quantile: 1.0 }),
        ("on demand, for 99.5% of time", Policy::Fixed { quantile: 0.995 }),
        ("reactive, cheapest place", Policy::Reactive { spread: false }),
        ("reactive, spread", Policy::Reactive { spread: true }),
        ("plan", Policy::Plan),
    ] {
        let result = run(policy);
        let ratio = result.per_1000() / peak.per_1000();
        println!(
            "  {label:30} {:15.4} {ratio:7.3} {:11.3}% {:15.3}% {:7}",
            result.per_1000(),
            result.minutes_missed as f64 / result.minutes as f64 * 100.0,
            result.requests_missed / result.requests * 100.0,
            result.starts,
        );
        held &= policy != Policy::Plan || ratio <= TARGET;
    }
    held
}

/// Measures the requests per second of one worker at the latency target, by replaying the busiest
/// hour at rising rates on the engine model.
fn throughput(company: &Company, workers: usize) -> f64 {
    let measure = |factor: f64| {
        let mut company = company.clone();
        company.conversations *= factor;
        company.plain = 0.01;
        let start = Duration::from_secs(13 * 3_600);
        let records = Generator::new(company, SEEDS[0], start, Duration::from_secs(3_600));
        let records: Vec<Record> = records.filter(Record::is_model).collect();
        let settings = replay::Settings { workers, admission: false, ..Default::default() };
        let first_token = replay::run(&settings, &records).first_token(0.95);
        (records.len() as f64 / 3_600.0 / workers as f64, first_token)
    };
    let measured: Vec<_> = (1..=12).map(|step| measure(f64::from(step) * 0.25)).collect();
    // Long prompts that no cache holds exceed the target even on idle workers; then load must not
    // make it worse than by a tenth.
    let idle = measured.iter().map(|(_, first)| *first).min().unwrap_or_default();
    let bound = FIRST_TOKEN.max(idle.mul_f64(1.1));
    let good = measured.iter().take_while(|(_, first)| *first <= bound);
    let per_vm = good.map(|(rate, _)| *rate).fold(measured[0].0, f64::max);
    println!(
        "{}: {per_vm:.3} requests/s per worker at a p95 of {} ms to the first token ({workers} workers, idle p95 {} ms)",
        company.name,
        bound.as_millis(),
        idle.as_millis()
    );
    for (rate, first) in measured {
        println!("  {rate:.3} requests/s per worker: p95 {} ms", first.as_millis());
    }
    per_vm
}
