//! Guards the basic request path from caller to endpoint, with real processes.

mod common;

use serde_json::json;
use standin::client;

type Result = std::result::Result<(), Box<dyn std::error::Error>>;

/// Guards against an answer that is truncated or out of order, and against a difference between the
/// streamed and the full answer.
#[tokio::test(flavor = "multi_thread")]
async fn chat_answers_are_whole() -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = common::start(&dir, 2, 2, &[]).await?;
    let entry = fleet.entries[0].callers;
    let body = common::chat("my pan has rust", 40, true);
    let streamed = common::send(entry, "POST", "/v1/chat/completions", &[], &body).await?;
    assert_eq!(streamed.status, 200, "{}", streamed.text());
    let events = common::events(&streamed.text());
    assert_eq!(events.ids.len(), 41, "40 tokens and the finish carry ids: {events:?}");
    assert_eq!(events.finish.as_deref(), Some("stop"));
    assert!(events.done);

    let body = common::chat("my pan has rust", 40, false);
    let other = fleet.entries[1].callers;
    let whole = common::send(other, "POST", "/v1/chat/completions", &[], &body).await?;
    assert_eq!(whole.status, 200, "{}", whole.text());
    assert_eq!(whole.json()["choices"][0]["message"]["content"], json!(events.content));

    let models = common::send(entry, "GET", "/v1/models", &[], "").await?;
    assert_eq!(models.json()["data"][0]["id"], json!("chat"));
    Ok(())
}

/// Guards against a stream that can't be resumed after its connection broke, or that repeats or
/// skips tokens.
#[tokio::test(flavor = "multi_thread")]
async fn cut_stream_resumes() -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = common::start(&dir, 1, 2, &[]).await?;
    let entry = fleet.entries[0].callers;
    let bearer = common::bearer();
    let headers = [("authorization", bearer.as_str())];
    let body = common::chat("plan for a wardrobe", 60, true);
    let mut stream =
        client::open(entry, "POST", "/v1/chat/completions", &headers, body.clone()).await?;
    let mut text = String::new();
    while common::events(&text).ids.len() < 5 {
        let data = stream.next().await?.ok_or("the stream ended early")?;
        text.push_str(&String::from_utf8_lossy(&data));
    }
    drop(stream);
    let received = common::events(&text);
    let last = received.ids.last().cloned().unwrap_or_default();
    let resumed =
        common::send(entry, "POST", "/v1/chat/completions", &[("last-event-id", &last)], "")
            .await?;
    let remainder = common::events(&resumed.text());
    assert!(remainder.done, "{}", resumed.text());
    let repeated = common::send(entry, "POST", "/v1/chat/completions", &[], &body).await?;
    let whole = common::events(&repeated.text());
    assert_eq!(received.content + &remainder.content, whole.content);
    assert_eq!(received.ids.len() + remainder.ids.len(), 61);
    Ok(())
}

/// Guards against a booking that runs again under the same key, also at another entry VM.
#[tokio::test(flavor = "multi_thread")]
async fn keyed_booking_runs_once() -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = common::start(&dir, 2, 1, &[]).await?;
    let headers = [("idempotency-key", "job-17"), ("x-operation", "job-17")];
    let mut answers = Vec::new();
    for index in [0, 1, 0] {
        let entry = fleet.entries[index].callers;
        let answer = common::send(entry, "POST", "/booking/bookings", &headers, "{}").await?;
        assert_eq!(answer.status, 201, "{}", answer.text());
        answers.push(answer.body);
    }
    assert!(answers.iter().all(|answer| *answer == answers[0]));
    let service = fleet.endpoints.last().ok_or("no service")?.vm.address;
    let counted = client::call(service, "GET", "/control/executions", &[], "").await?;
    assert_eq!(counted.json()["job-17"], json!(1));

    let entry = fleet.entries[0].callers;
    let changed = common::send(entry, "POST", "/booking/bookings", &headers, "{\"a\":1}").await?;
    assert_eq!(changed.status, 422);
    assert_eq!(changed.header("x-request-run"), "no");
    Ok(())
}

/// Guards against invalid input that is accepted, hangs or is refused without a clear error.
#[tokio::test(flavor = "multi_thread")]
async fn bad_input_is_refused() -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = common::start(&dir, 1, 1, &[]).await?;
    let entry = fleet.entries[0].callers;
    let chat = "/v1/chat/completions";
    let none = client::call(entry, "POST", chat, &[], "{}").await?;
    assert_eq!((none.status.as_u16(), none.header("x-request-run")), (401, "no"));
    let wrong = client::call(entry, "POST", chat, &[("authorization", "Bearer x")], "{}").await?;
    assert_eq!(wrong.status, 401);
    for (body, status) in [
        ("{", 400),
        ("{\"model\":\"chat\"}", 400),
        ("{\"model\":\"none\",\"messages\":[]}", 404),
        ("[]", 400),
    ] {
        let answer = common::send(entry, "POST", chat, &[], body).await?;
        assert_eq!(answer.status, status, "{body}: {}", answer.text());
        assert_eq!(answer.header("x-request-run"), "no");
        assert_eq!(answer.json()["error"]["run"], json!("no"));
    }
    let bytes: &[u8] = b"{\"model\":\"\xff\"}";
    let bearer = common::bearer();
    let headers = [("authorization", bearer.as_str())];
    let utf8 = client::call(entry, "POST", chat, &headers, bytes).await?;
    assert_eq!(utf8.status, 400);
    let large = "x".repeat(5 << 20);
    let large = common::send(entry, "POST", chat, &[], &large).await?;
    assert_eq!(large.status, 413);
    let header = "x".repeat(32 << 10);
    let long = common::send(entry, "GET", "/v1/models", &[("x-long", &header)], "").await?;
    assert_eq!(long.status, 431);
    let unknown = common::send(entry, "GET", "/nothing/here", &[], "").await?;
    assert_eq!(unknown.status, 404);
    Ok(())
}

/// Guards against a caller whose oversized body is refused only after the read timeout.
#[tokio::test(flavor = "multi_thread")]
async fn oversized_body_refused_late() -> Result {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let dir = tempfile::tempdir()?;
    let fleet = common::start(&dir, 1, 1, &[]).await?;
    let bearer = common::bearer();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: {bearer}\r\n\
         content-length: 1000000000\r\n\r\n"
    );
    let mut connection = tokio::net::TcpStream::connect(fleet.entries[0].callers).await?;
    connection.write_all(head.as_bytes()).await?;
    let mut start = [0; 12];
    let answer = connection.read_exact(&mut start);
    tokio::time::timeout(std::time::Duration::from_secs(1), answer).await??;
    assert_eq!(String::from_utf8_lossy(&start), "HTTP/1.1 413");
    Ok(())
}
