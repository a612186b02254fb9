//! Measures the decisions on generated traces: `cargo bench --bench decisions`.
//!
//! The targets are those of `docs/design.md`, section 4. All figures of one table come from the same
//! trace, seed and modelled workers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pomelolink::routing::{Endpoint, Key, Locality, Table};
use pomelolink::trace::Record;
use pomelolink::trace::generate::{self, Company, Generator};
use pomelolink::trace::replay::{self, Choice, Fault, Retries, Settings};
use pomelolink::trace::report::Report;

const SEED: u64 = 20_261_204;

/// The busiest hour and a half of the first day.
const START: Duration = Duration::from_secs(13 * 3_600);
const LENGTH: Duration = Duration::from_secs(5_400);

fn main() {
    println!(
        "The traces are generated: 5 workspaces per company (45, 30, 15, 6 and 4% of demand),"
    );
    println!("one system prompt per workspace and service, 40 or 60 documents per system prompt,");
    println!("then turns that repeat the conversation so far; each request reaches a random node.");
    println!("\"recomputed\" counts prompt tokens in blocks that some worker had computed before;");
    println!("\"computed\" also counts the first time, which no choice of endpoint can avoid.");
    prefixes("jernhjem", &generate::jernhjem(), 18);
    prefixes("montaggio", &generate::montaggio(), 9);
    seeds();
    overload("jernhjem", &generate::jernhjem(), 6);
    overload("montaggio", &generate::montaggio(), 3);
    amplification();
    choice_time("plain", false);
    choice_time("prompt", true);
}

fn trace(company: &Company, factor: f64, length: Duration) -> Vec<Record> {
    let mut company = company.clone();
    company.conversations *= factor;
    company.plain *= factor;
    Generator::new(company, SEED, START, length).collect()
}

/// Repeats the comparison with other seeds and times of day, which the policy was not tuned on.
fn seeds() {
    println!("affinity relative to least in flight, 45 min: recomputed tokens, first token p95");
    println!("  seed  from   jernhjem         montaggio");
    for (seed, hour) in [(1, 3), (2, 8), (3, 13), (4, 18), (5, 22)] {
        let ratios =
            [(generate::jernhjem(), 18), (generate::montaggio(), 9)].map(|(company, workers)| {
                let start = Duration::from_secs(hour * 3_600);
                let length = Duration::from_secs(2_700);
                let records: Vec<_> = Generator::new(company, seed, start, length).collect();
                let run = |choice| {
                    let settings =
                        Settings { choice, workers, seed, admission: false, ..Settings::default() };
                    replay::run(&settings, &records)
                };
                let (least, affinity) = (run(Choice::LeastInFlight), run(Choice::Affinity));
                let recomputed = affinity.recomputed as f64 / least.recomputed.max(1) as f64;
                let first = affinity.first_token(0.95).as_secs_f64()
                    / least.first_token(0.95).as_secs_f64();
                format!("{recomputed:.3}  {first:.3}{}", violations(&affinity))
            });
        println!("  {seed:4} {hour:02}:00   {}     {}", ratios[0], ratios[1]);
    }
}

fn prefixes(name: &str, company: &Company, workers: usize) {
    let records = trace(company, 1.0, LENGTH);
    let model = records.iter().filter(|record| record.is_model()).count();
    println!(
        "shared prefixes: {name}, seed {SEED}, 90 min from 13:00, {model} model requests, {workers} workers, 5 nodes"
    );
    println!(
        "  choice          recomputed  ratio  computed  ratio  first token p50/p95 (ms)  in time"
    );
    let run = |choice| {
        let settings = Settings { choice, workers, admission: false, ..Settings::default() };
        replay::run(&settings, &records)
    };
    let least = run(Choice::LeastInFlight);
    for (label, choice) in [
        ("random", Choice::Random),
        ("round robin", Choice::RoundRobin),
        ("least in flight", Choice::LeastInFlight),
        ("affinity", Choice::Affinity),
    ] {
        let report = run(choice);
        let ratio = |own: u64, other: u64| own as f64 / other.max(1) as f64;
        println!(
            "  {label:15} {:10} {:6.3} {:9} {:6.3} {:12.0} / {:.0} {:14.4}{}",
            report.recomputed,
            ratio(report.recomputed, least.recomputed),
            report.prefilled,
            ratio(report.prefilled, least.prefilled),
            report.first_token(0.5).as_secs_f64() * 1e3,
            report.first_token(0.95).as_secs_f64() * 1e3,
            report.in_time as f64 / report.requests as f64,
            violations(&report),
        );
    }
}

fn violations(report: &Report) -> String {
    let found = pomelolink::trace::report::check(report, &Default::default());
    if found.is_empty() { String::new() } else { format!("  VIOLATED: {}", found.join("; ")) }
}

fn overload(name: &str, company: &Company, workers: usize) {
    let length = Duration::from_secs(1_500);
    let warm_up = Duration::from_secs(600);
    let deadlines = company.deadlines();
    let base = Settings { workers, warm_up, deadlines, ..Settings::default() };
    let rate = capacity(company, &base, length);
    let own = trace(company, 1.0, length);
    let offered = own.iter().map(|record| f64::from(record.output_length)).sum::<f64>();
    let factor = rate / (offered / length.as_secs_f64());
    println!(
        "overload: {name}, {workers} workers, 1x = {rate:.0} response tokens/s, the rate at which the workers empty a backlog"
    );
    println!("  load   goodput (tokens/s, requests/s) with admission      without");
    let loads = [0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 3.0];
    let mut rows = Vec::new();
    for load in loads {
        let records = trace(company, factor * load, length);
        let goodput = |admission| {
            let report = replay::run(&Settings { admission, ..base.clone() }, &records);
            let seconds = report.measured.as_secs_f64();
            let text = violations(&report);
            if !text.is_empty() {
                println!("{text}");
            }
            if load == 3.0 && admission {
                shares(&records, &report);
            }
            [report.useful_tokens as f64 / seconds, report.useful_requests as f64 / seconds]
        };
        let row = [goodput(true), goodput(false)];
        println!(
            "  {load:4.2}x {:19.0} {:8.2} {:24.0} {:8.2}",
            row[0][0], row[0][1], row[1][0], row[1][1]
        );
        rows.push(row);
    }
    for (label, with) in [("with", 0), ("without", 1)] {
        for (unit, kind) in [("tokens", 0), ("requests", 1)] {
            let most = rows.iter().map(|row| row[with][kind]).fold(0.0, f64::max);
            let at = |index: usize| rows[index][with][kind] / most;
            println!(
                "  {label} admission, {unit}: 1x {:.3}, 2x {:.3}, 3x {:.3} of the maximum",
                at(2),
                at(5),
                at(6)
            );
        }
    }
}

/// Prints which part of each workspace's model requests was answered in time; all have equal shares.
fn shares(records: &[Record], report: &Report) {
    let of = |name: &str| {
        let own = records.iter().filter(|record| &*record.workspace == name);
        own.filter(|record| record.is_model()).count()
    };
    let parts = report.by_workspace.iter().map(|(name, in_time)| {
        let offered = of(name);
        format!("{name} {:.2} of {offered}", *in_time as f64 / offered.max(1) as f64)
    });
    println!("  in time at 3x, by workspace: {}", parts.collect::<Vec<_>>().join(", "));
}

/// Measures the response tokens per second that the workers complete from a permanent backlog.
fn capacity(company: &Company, base: &Settings, length: Duration) -> f64 {
    let records = trace(company, 3.0, length);
    let forever = Duration::from_secs(1 << 30);
    let deadlines = Vec::new();
    let settings =
        Settings { admission: false, model_deadline: forever, deadlines, ..base.clone() };
    let report = replay::run(&settings, &records);
    report.useful_tokens as f64 / report.measured.as_secs_f64()
}

fn amplification() {
    println!(
        "retries: jernhjem, 10 min, failures from minute 2 to 8, attempts per request in that time"
    );
    println!(
        "  (the budget also pays for hedged lookups, and saves up to 10 attempts per node and service)"
    );
    println!("  failing   budget    3 resends without budget");
    let records = trace(&generate::jernhjem(), 1.0, Duration::from_secs(600));
    for part in [0.1, 0.5, 0.9, 1.0] {
        let from = Duration::from_secs(120);
        let fault = Some(Fault { from, until: Duration::from_secs(480), part });
        let run =
            |retries| replay::run(&Settings { fault, retries, ..Settings::default() }, &records);
        let budget = run(Settings::default().retries);
        let fixed = run(Retries::Fixed(3));
        println!(
            "  {part:6.1} {:9.3} {:9.3}{}{}",
            budget.amplification(),
            fixed.amplification(),
            violations(&budget),
            violations(&fixed)
        );
    }
}

/// Measures single choices; without a prompt, only the load matters.
fn choice_time(label: &str, prompt: bool) {
    let endpoint = |index: u16| Endpoint {
        id: format!("worker-{index}").into(),
        address: SocketAddr::from(([127, 0, 0, 1], 10_000 + index)),
        failure_domain: format!("domain-{}", index % 4).into(),
        region: "region".into(),
        pool: "model".into(),
        version: None,
        cost: 1_000,
    };
    let place = Locality {
        node: "node-0".into(),
        failure_domain: "domain-0".into(),
        region: "region".into(),
    };
    let records = trace(&generate::jernhjem(), 1.0, Duration::from_secs(1_800));
    let records: Vec<_> = records.iter().filter(|record| record.is_model()).collect();
    let mut table = Table::new(place, SEED);
    table.update(Duration::ZERO, (0..64).map(endpoint).collect());
    let mut times = Vec::with_capacity(200_000);
    for index in 0..200_000usize {
        let record = records[index % records.len()];
        let now = Duration::from_millis(index as u64);
        let blocks = if prompt { &record.hash_ids[..] } else { &[] };
        let key = Key { blocks, seed: index as u64 };
        let start = Instant::now();
        let chosen = table.choose(now, key, &[]);
        times.push(start.elapsed());
        if let Some(chosen) = chosen {
            table.record_start(now, &chosen.id);
            table.record_load(now, &chosen.id, 8, 0);
            if index % 16 != 0 {
                table.record_answer(&chosen.id);
            }
        }
    }
    times.sort();
    let mean = times.iter().sum::<Duration>() / times.len() as u32;
    let at = |part: f64| times[(times.len() as f64 * part) as usize];
    println!(
        "choose() with 64 endpoints, {label}: mean {mean:?}, median {:?}, p99 {:?} (target: well under 5 us)",
        at(0.5),
        at(0.99)
    );
}
