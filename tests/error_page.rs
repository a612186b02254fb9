//! Guards `docs/errors.md` against a table that differs from the error table in the code.

use pomelolink::error::{Advice, Kind};

fn advice_text(advice: Advice) -> String {
    match advice {
        Advice::ChangeRequest => "change the request".to_owned(),
        Advice::RetryAfter(millis) => format!("send it again after {millis} ms"),
        Advice::CheckOutcome => "check the outcome first".to_owned(),
    }
}

/// Guards against an error whose documented status, run state or advice differs from the response.
#[test]
fn page_matches_table() {
    let expected: Vec<String> = Kind::ALL
        .into_iter()
        .map(|kind| {
            let entry = kind.entry();
            let (status, run) = (entry.status.as_u16(), entry.run.as_str());
            format!("| `{}` | {status} | `{run}` | {} |", entry.name, advice_text(entry.advice))
        })
        .collect();
    let page = include_str!("../docs/errors.md");
    let rows: Vec<&str> = page.lines().filter(|line| line.starts_with("| `")).collect();
    assert_eq!(rows, expected);
}
