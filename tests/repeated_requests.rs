//! Guards idempotent requests that the entry VM retries.

mod common;
mod proof;

use futures_util::{StreamExt, stream};
use proof::{Outcome, Result};
use serde_json::json;

/// Guards against an error that says "not run" because the last attempt did not reach an endpoint,
/// although an earlier attempt did.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_covers_all_attempts() -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = proof::fleet(&dir, 2, 2).await?;
    proof::set_endpoints(&fleet, &json!({ "drop_after": 0.5 })).await?;
    let callers = proof::callers(&fleet);
    let calls = (0..1_200).map(|number| {
        let entry = callers[number % callers.len()];
        async move {
            let key = format!("put-{number}");
            let headers = [("x-operation", key.as_str()), ("x-deadline-ms", "1000")];
            let answer = common::send(entry, "PUT", "/booking/notes/1", &headers, "{}").await;
            let (status, run, body) = match answer {
                Ok(answer) => (
                    answer.status.as_u16(),
                    answer.header("x-request-run").to_owned(),
                    answer.json(),
                ),
                Err(_) => (0, "unknown".to_owned(), json!(null)),
            };
            Outcome { key, status, run, detail: body.to_string(), body }
        }
    });
    let outcomes: Vec<Outcome> = stream::iter(calls).buffer_unordered(32).collect().await;
    let executions = proof::executions(&fleet).await?;
    let mut refused = 0;
    for outcome in &outcomes {
        let ran = executions.get(&outcome.key).copied().unwrap_or(0);
        if outcome.run == "no" {
            assert_eq!(ran, 0, "refused as not run: {outcome:?}");
        }
        if outcome.is_success() {
            assert!(ran >= 1 && outcome.body["operation"] == json!(outcome.key), "{outcome:?}");
        }
        refused += usize::from(!outcome.is_success());
    }
    println!("{refused} of {} refused", outcomes.len());
    assert!(refused > 20, "the fault had no effect");
    Ok(())
}
