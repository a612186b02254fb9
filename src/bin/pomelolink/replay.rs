//! Usage: pomelolink replay TRACE [--workers COUNT] [--nodes COUNT] [--seed NUMBER]
//!
//! Replays a trace through the routing and retry decisions of this version against simulated
//! endpoints and checks the rules that every replay must satisfy. Needs no server.

use std::fs::File;
use std::io::BufReader;

use argh::FromArgs;
use pomelolink::trace;
use pomelolink::trace::replay::Settings;
use pomelolink::trace::report::{self, Report};
use serde_json::{Value, json};

use crate::config::Config;
use crate::error::Error;
use crate::util;

/// Replay a trace against simulated endpoints and check the outcome.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct Arguments {
    #[argh(positional, arg_name = "TRACE")]
    /// file with one JSON record per line
    trace: String,
    #[argh(option, arg_name = "COUNT", default = "Settings::default().workers")]
    /// simulated assistant workers (18)
    workers: usize,
    #[argh(option, arg_name = "COUNT", default = "Settings::default().nodes")]
    /// simulated entry VMs (5)
    nodes: usize,
    #[argh(option, arg_name = "NUMBER", default = "Settings::default().seed")]
    /// seed of the simulation (1)
    seed: u64,
}

pub fn run(config: &Config, arguments: Arguments) -> Result<(), Error> {
    let Arguments { trace: path, workers, nodes, seed } = arguments;
    if workers == 0 || nodes == 0 {
        return Err(Error::Usage("a replay needs at least one worker and one node".to_owned()));
    }
    let records = read(&path)?;
    let settings = Settings { workers, nodes, seed, ..Settings::default() };
    let report = trace::replay::run(&settings, &records);
    let violations = report::check(&report, &report::Expected::default());
    let summary = summary(&report, &violations);
    if config.json {
        util::print_line(&summary.to_string())?;
    } else {
        for (name, value) in summary.as_object().into_iter().flatten() {
            util::print_line(&format!("{name}: {value}"))?;
        }
    }
    if violations.is_empty() {
        return Ok(());
    }
    Err(Error::Violations(violations))
}

/// Reads all records of a file; the error lists every malformed line.
fn read(path: &str) -> Result<Vec<trace::Record>, Error> {
    let file = File::open(path)
        .map_err(|error| Error::Failed(format!("{path}: cannot be read: {error}")))?;
    let mut records = Vec::new();
    let mut mistakes = Vec::new();
    for record in trace::Reader::new(BufReader::new(file)) {
        match record {
            Ok(record) => records.push(record),
            Err(mistake) => mistakes.push(format!("{path}:{}: {}", mistake.line, mistake.message)),
        }
    }
    match (mistakes.is_empty(), records.is_empty()) {
        (false, _) => Err(Error::Failed(mistakes.join("\n"))),
        (true, true) => Err(Error::Failed(format!("{path}: contains no records"))),
        (true, false) => Ok(records),
    }
}

fn summary(report: &Report, violations: &[String]) -> Value {
    let ms = |quantile| report.first_token(quantile).as_millis() as u64;
    json!({
        "requests": report.requests,
        "answered": report.answered,
        "in_time": report.in_time,
        "refused": report.refused,
        "failed": report.failed,
        "lost": report.lost,
        "ran_twice": report.ran_twice,
        "attempts": report.attempts,
        "prompt_tokens": report.prompt_tokens,
        "recomputed_tokens": report.recomputed,
        "first_token_ms": { "p50": ms(0.5), "p95": ms(0.95) },
        "violations": violations,
    })
}
