//! Guards traces and their replay, and the targets of `docs/design.md` that a replay can check.

use std::time::Duration;

use pomelolink::trace::generate::{self, Company, Generator};
use pomelolink::trace::replay::{self, Choice, Crash, Fault, Settings};
use pomelolink::trace::report::{self, Expected, Report};
use pomelolink::trace::{self, Reader, Record};

const AFTERNOON: Duration = Duration::from_secs(13 * 3_600);

fn records(company: Company, minutes: u64) -> Vec<Record> {
    Generator::new(company, 5, AFTERNOON, Duration::from_secs(60 * minutes)).collect()
}

fn checked(settings: &Settings, records: &[Record], expected: Expected) -> Report {
    let report = replay::run(settings, records);
    let none: Vec<String> = Vec::new();
    assert_eq!(report::check(&report, &expected), none, "{:?}", report.refused);
    report
}

#[test]
fn records_are_read_back_as_written() {
    let records = records(generate::montaggio(), 2);
    let mut text = Vec::new();
    records.iter().for_each(|record| trace::write(&mut text, record).unwrap());
    let read: Result<Vec<Record>, _> = Reader::new(&text[..]).collect();
    assert_eq!(read.unwrap(), records);
}

#[test]
fn public_traces_are_read_and_mistakes_name_their_line() {
    let good = r#"{"timestamp": 5, "input_length": 600, "output_length": 7, "hash_ids": [1, 2]}"#;
    let early = good.replace('5', "4");
    let text = format!("{good}\n\n{{\"timestamp\": -1}}\nnot json\n{early}\n{good}");
    let read: Vec<_> = Reader::new(text.as_bytes()).collect();
    let record = read[0].as_ref().unwrap();
    assert_eq!((record.input_length, &*record.workspace, record.priority), (600, "default", 5));
    let lines = read.iter().filter_map(|read| read.as_ref().err()).map(|mistake| mistake.line);
    assert_eq!(lines.collect::<Vec<_>>(), [3, 4, 5]);
    assert!(read[5 - 1].is_ok(), "reading continues after a mistake");
}

#[test]
fn demand_has_a_daily_rhythm_and_declines() {
    let company = generate::jernhjem();
    let demand = |hours: u64| company.demand(Duration::from_secs(hours * 3_600));
    assert!(demand(4) < 0.25 && demand(14) > 0.99, "{} {}", demand(4), demand(14));
    assert!((demand(14 + 720) / demand(14) - company.monthly).abs() < 0.01);
    let records = records(company, 10);
    assert!(records.is_sorted_by_key(|record| record.timestamp));
    let prompts = records.iter().filter(|record| record.is_model());
    assert!(prompts.count() > 500, "{}", records.len());
    let large = records.iter().filter(|record| &*record.workspace == "jernhjem-1").count();
    assert!(large * 10 > records.len() * 3, "the largest workspace sent {large}");
}

#[test]
fn generation_and_replay_depend_on_the_seed_only() {
    let (one, two) = (records(generate::montaggio(), 5), records(generate::montaggio(), 5));
    assert_eq!(one, two);
    // With one worker the gates have to choose between workspaces as well.
    let settings = Settings { workers: 1, ..Settings::default() };
    let run = |records: &[Record]| replay::run(&settings, records);
    let (one, two) = (run(&one), run(&two));
    assert!(one.refusals() > 0);
    assert_eq!((one.recomputed, one.ended), (two.recomputed, two.ended));
    assert_eq!((&one.refused, &one.by_workspace), (&two.refused, &two.by_workspace));
    let other = Generator::new(generate::montaggio(), 6, AFTERNOON, Duration::from_secs(300));
    assert_ne!(other.collect::<Vec<_>>().len(), records(generate::montaggio(), 5).len());
}

#[test]
fn affinity_recomputes_at_most_two_fifths_of_least_in_flight() {
    for (company, workers) in [(generate::jernhjem(), 18), (generate::montaggio(), 9)] {
        let records = records(company, 40);
        let run = |choice| Settings { choice, workers, ..Settings::default() };
        let least = replay::run(&run(Choice::LeastInFlight), &records);
        let expected = Expected {
            most_recomputed: Some(least.recomputed * 2 / 5),
            most_first_token_p95: Some(least.first_token(0.95)),
            least_in_time: Some(0.99),
            ..Expected::default()
        };
        checked(&run(Choice::Affinity), &records, expected);
    }
}

#[test]
fn goodput_stays_flat_at_three_times_the_load() {
    let company = |factor: f64| {
        let mut company = generate::montaggio();
        company.conversations *= factor;
        company.plain *= factor;
        company
    };
    // Three workers are saturated by about the usual demand of the company.
    let deadlines = generate::montaggio().deadlines();
    let warm_up = Duration::from_secs(300);
    let settings = Settings { workers: 3, deadlines, warm_up, ..Settings::default() };
    let goodput = [0.75, 1.0, 1.5, 2.0, 3.0].map(|factor| {
        let report = checked(&settings, &records(company(factor), 20), Expected::default());
        report.useful_tokens as f64 / report.measured.as_secs_f64()
    });
    let most = goodput.iter().copied().fold(0.0, f64::max);
    assert!(goodput[4] >= 0.95 * most, "{goodput:?}");
}

#[test]
fn retries_do_not_amplify_a_failing_service() {
    let records = records(generate::jernhjem(), 10);
    let (from, until) = (Duration::from_secs(60), Duration::from_secs(540));
    for part in [0.5, 1.0] {
        let fault = Some(Fault { from, until, part });
        // A tenth of the successes, the floor and the attempts saved before.
        let expected = Expected { most_amplification: Some(1.2), ..Expected::default() };
        checked(&Settings { fault, ..Settings::default() }, &records, expected);
    }
}

#[test]
fn a_leaving_worker_gets_nothing_and_a_crashed_one_little() {
    let records = records(generate::jernhjem(), 10);
    let leaving = Some(Duration::from_secs(200));
    let expected = Expected { least_in_time: Some(0.99), ..Expected::default() };
    checked(&Settings { leaving, ..Settings::default() }, &records, expected);
    let (from, until) = (Duration::from_secs(100), Duration::from_secs(400));
    let crash = Some(Crash { from, until });
    let report = checked(&Settings { crash, ..Settings::default() }, &records, expected);
    // Five nodes try again at most every 5 to 10 seconds, after a shorter start.
    let refused = report.refused_connections;
    assert!((5..=400).contains(&refused), "{refused} attempts at the crashed worker");
}
