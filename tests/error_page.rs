//! Guards `docs/errors.md` against a table that differs from the code.

use pomelolink::error::{Advice, Kind};

fn advice(advice: Advice) -> String {
    match advice {
        Advice::Change => "change the request".to_owned(),
        Advice::After(millis) => format!("send it again after {millis} ms"),
        Advice::Check => "check the outcome first".to_owned(),
    }
}

/// Guards against a caller who follows a page that says something else than the system does.
#[test]
fn page_matches_table() {
    let expected: Vec<String> = Kind::ALL
        .into_iter()
        .map(|kind| {
            let answer = kind.answer();
            let (status, run) = (answer.status.as_u16(), answer.run.as_str());
            format!("| `{}` | {status} | `{run}` | {} |", answer.name, advice(answer.advice))
        })
        .collect();
    let page = include_str!("../docs/errors.md");
    let rows: Vec<&str> = page.lines().filter(|line| line.starts_with("| `")).collect();
    assert_eq!(rows, expected);
}
