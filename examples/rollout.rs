//! Prints how moves of good and bad versions end, against the targets of `docs/design.md`.
//!
//! Usage: `cargo run --release --example rollout [MOVES_PER_CASE] [FIRST_SEED]`. With
//! `ROLLOUT_DETAIL` set, moves that ended otherwise than intended are listed.

#[path = "rollout/simulation.rs"]
mod simulation;

use simulation::{Case, Result, Setup};

/// Requests per second and seconds until the deadline.
const SIZES: [(f64, u64); 6] =
    [(100.0, 600), (1_000.0, 300), (1_000.0, 60), (100.0, 120), (20.0, 600), (0.5, 600)];

fn main() {
    let mut numbers = std::env::args().skip(1).map(|text| text.parse::<u64>().unwrap_or(1));
    let moves = numbers.next().unwrap_or(40);
    let first_seed = numbers.next().unwrap_or(1);
    println!("{moves} moves per line, 5 nodes; share of all requests that a bad version got");
    println!(
        "rate/s deadline case          share mean  worst  over 2%  late node  late any  done  reverted"
    );
    for (rate, within_s) in SIZES {
        for case in Case::ALL {
            print_line(case, rate, within_s, &run_all(case, rate, within_s, moves, first_seed));
        }
    }
}

fn run_all(case: Case, rate: f64, within_s: u64, moves: u64, first_seed: u64) -> Vec<Result> {
    let seeds = (first_seed..first_seed + moves).map(|seed| seed * 1_000 + case as u64);
    let setups: Vec<Setup> = seeds.map(|seed| Setup { case, rate, within_s, seed }).collect();
    let threads = 4;
    std::thread::scope(|scope| {
        let parts: Vec<_> = setups
            .chunks(setups.len().div_ceil(threads).max(1))
            .map(|part| scope.spawn(|| part.iter().map(|setup| simulation::run(*setup)).collect()))
            .collect();
        parts.into_iter().flat_map(|part| part.join().unwrap_or_else(|_| Vec::new())).collect()
    })
}

fn print_line(case: Case, rate: f64, within_s: u64, all: &[Result]) {
    let name = format!("{case:?}");
    let count = all.len().max(1);
    let percent = |test: fn(&Result) -> bool| {
        100.0 * all.iter().filter(|result| test(result)).count() as f64 / count as f64
    };
    let (done, reverted) = (percent(|result| result.done), percent(|result| result.reverted));
    if std::env::var_os("ROLLOUT_DETAIL").is_some() {
        let surprising = |result: &&Result| {
            if case.is_good() { !result.done } else { result.done || result.share() > 0.02 }
        };
        all.iter().filter(surprising).for_each(|result| println!("    {result:?}"));
    }
    if case.is_good() {
        println!("{rate:6} {within_s:7}s {name:13} {:49} {done:5.1}% {reverted:5.1}%", "");
        return;
    }
    let mean = all.iter().map(Result::share).sum::<f64>() / count as f64;
    let worst = all.iter().map(Result::share).fold(0.0, f64::max);
    let over = all.iter().filter(|result| result.share() > 0.02).count();
    let late_node: u64 = all.iter().map(|result| result.late_on_node).sum();
    let late_any: u64 = all.iter().map(|result| result.late_anywhere).sum();
    println!(
        "{rate:6} {within_s:7}s {name:13} {:9.2}% {:6.2}% {over:8} {late_node:10} {late_any:9} \
         {done:5.1}% {reverted:5.1}%",
        mean * 100.0,
        worst * 100.0
    );
}
