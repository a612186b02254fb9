//! Shows the whole path on loopback: separate processes, a stream, a booking, a resume, a move.
//!
//! Run it with `cargo run --release --example demo`. The last line is one JSON object; the exit code
//! is 1 when any step is wrong. The program starts itself again as daemon and as stand-ins.

use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use argh::FromArgs;
use pomelolink::{config, daemon};
use serde_json::{Value, json};
use standin::client;
use standin::command::{self, Arguments};
use standin::fleet::{CALLER_TOKEN, Fleet, Programs, digest};

type Result<T> = std::result::Result<T, Box<dyn Error + Send + Sync>>;

/// The demo ends by itself within 30 s, whatever happens.
const TIME_LIMIT: Duration = Duration::from_secs(29);
const MOVE_SECONDS: u64 = 20;
const CHAT: &str = "/v1/chat/completions";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let outcome = match args.get(1).map(String::as_str) {
        Some("daemon") => run_daemon(args.get(2).map_or("", String::as_str)),
        Some("standin") => run_standin(&args[2..]),
        _ => run_demo(),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_daemon(settings: &str) -> Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let settings =
        config::Settings::load(Path::new(settings)).map_err(|mistakes| format!("{mistakes:?}"))?;
    Ok(tokio::runtime::Runtime::new()?.block_on(daemon::run(settings))?)
}

fn run_standin(args: &[String]) -> Result<()> {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let arguments = Arguments::from_args(&["standin"], &args).map_err(|exit| exit.output)?;
    Ok(tokio::runtime::Runtime::new()?.block_on(command::execute(arguments))?)
}

fn run_demo() -> Result<()> {
    let began = Instant::now();
    let runtime = tokio::runtime::Runtime::new()?;
    let dir = tempfile::tempdir()?;
    let steps = async {
        match tokio::time::timeout(TIME_LIMIT, steps(dir.path())).await {
            Ok(result) => result,
            Err(_) => Err("the steps took too long".into()),
        }
    };
    let result = runtime.block_on(steps);
    let seconds = (began.elapsed().as_secs_f64() * 10.0).round() / 10.0;
    let (report, result) = match result {
        Ok(mut figures) => {
            figures["ok"] = json!(true);
            (figures, Ok(()))
        }
        Err(error) => (json!({ "ok": false, "error": error.to_string() }), Err(error)),
    };
    let mut report = report;
    report["seconds"] = json!(seconds);
    println!("{report}");
    result
}

async fn steps(dir: &Path) -> Result<Value> {
    let fleet = start(dir).await?;
    apply(&fleet).await?;
    let tokens = stream(&fleet).await?;
    let executions = book(&fleet).await?;
    let resumed_at = resume(&fleet).await?;
    let moved = shift(&fleet).await?;
    Ok(json!({
        "tokens": tokens,
        "booking_executions": executions,
        "resumed_at_offset": resumed_at,
        "move": moved,
    }))
}

async fn start(dir: &Path) -> Result<Fleet> {
    let program = std::env::current_exe()?.display().to_string();
    let programs = Programs {
        daemon: vec![program.clone(), "daemon".to_owned()],
        standin: vec![program, "standin".to_owned()],
    };
    let mut fleet = Fleet::start(programs, dir)?;
    fleet.timing = json!({ "config_poll_ms": 500, "vm_poll_ms": 300 });
    for (pool, domain) in
        [("engines-1", "dk-a"), ("engines-1", "dk-b"), ("engines-2", "dk-a"), ("engines-2", "dk-b")]
    {
        fleet.endpoint("engine", pool, domain, &["--gap-ms", "5"])?;
    }
    fleet.endpoint("service", "bookings", "dk-a", &[])?;
    fleet.register().await?;
    fleet.entry("dk-a")?;
    fleet.entry("dk-b")?;
    println!(
        "1. started: platform, 4 engines, 1 booking service, 2 entry VMs, as separate processes"
    );
    Ok(fleet)
}

async fn apply(fleet: &Fleet) -> Result<()> {
    let declarations = json!([
        { "kind": "workspace", "name": "counter", "token_digests": [digest(CALLER_TOKEN)] },
        { "kind": "pool", "name": "engines-1", "class": "small", "checks_fencing": true },
        { "kind": "pool", "name": "engines-2", "class": "small", "checks_fencing": true },
        { "kind": "pool", "name": "bookings", "class": "small" },
        { "kind": "service", "name": "chat", "protocol": "model", "version": "chat-1" },
        { "kind": "version", "name": "chat-1", "service": "chat", "pool": "engines-1" },
        { "kind": "version", "name": "chat-2", "service": "chat", "pool": "engines-2" },
        { "kind": "service", "name": "booking", "protocol": "plain", "version": "booking-1" },
        { "kind": "version", "name": "booking-1", "service": "booking", "pool": "bookings" },
    ]);
    retry_until_up(fleet, &declarations).await?;
    fleet.all_ready().await?;
    fleet.joined().await?;
    println!("2. applied: services chat and booking are in effect on both entry VMs");
    Ok(())
}

/// Repeats the first apply while the operator interface is starting.
async fn retry_until_up(fleet: &Fleet, declarations: &Value) -> Result<()> {
    let end = Instant::now() + Duration::from_secs(5);
    loop {
        match fleet.apply(0, declarations).await {
            Ok(answer) if answer.status.is_success() => return Ok(()),
            Ok(answer) => return Err(format!("apply: {} {}", answer.status, answer.text()).into()),
            Err(error) if Instant::now() > end => return Err(error.into()),
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn stream(fleet: &Fleet) -> Result<usize> {
    let answer = send(fleet.entries[0].callers, CHAT, &[], &chat("My pan has rust.", 50)).await?;
    let events = ids(&answer.text()).len();
    check(answer.status == 200 && events == 51, "the stream is not whole")?;
    check(answer.text().ends_with("data: [DONE]\n\n"), "the stream has no end")?;
    println!("3. streamed: a chat reply of {} tokens with its end", events - 1);
    Ok(events - 1)
}

async fn book(fleet: &Fleet) -> Result<u64> {
    let headers = [("idempotency-key", "pan-17"), ("x-operation", "pan-17")];
    let first = send(fleet.entries[0].callers, "/booking/bookings", &headers, "{}").await?;
    let second = send(fleet.entries[1].callers, "/booking/bookings", &headers, "{}").await?;
    check(first.status == 201, "the booking failed")?;
    check(first.body == second.body, "the second answer differs from the first")?;
    let service = fleet.endpoints[4].vm.address;
    let counted = client::call(service, "GET", "/control/executions", &[], "").await?;
    let executions = counted.json()["pan-17"].as_u64().unwrap_or(0);
    check(executions == 1, "the booking was not run exactly once")?;
    println!("4. booked: the same key at two entry VMs, two equal answers, {executions} execution");
    Ok(executions)
}

async fn resume(fleet: &Fleet) -> Result<usize> {
    let body = chat("Draft a plan for a wardrobe.", 60);
    let bearer = format!("Bearer {CALLER_TOKEN}");
    let headers = [("authorization", bearer.as_str())];
    let mut stream =
        client::open(fleet.entries[0].callers, "POST", CHAT, &headers, body.clone()).await?;
    let mut text = String::new();
    while ids(&text).len() < 10 {
        let part = stream.next().await?.ok_or("the stream ended early")?;
        text.push_str(&String::from_utf8_lossy(&part));
    }
    drop(stream);
    let seen = ids(&text);
    let last = seen.last().cloned().unwrap_or_default();
    let rest = send(fleet.entries[1].callers, CHAT, &[("last-event-id", &last)], "").await?;
    let whole = send(fleet.entries[0].callers, CHAT, &[], &body).await?;
    check(seen.len() + ids(&rest.text()).len() == 61, "tokens were lost or repeated")?;
    let joined = content(&text) + &content(&rest.text());
    check(joined == content(&whole.text()), "the resumed answer differs from the whole one")?;
    println!("5. resumed: a stream cut after {} tokens, at the other entry VM", seen.len());
    Ok(seen.len())
}

async fn shift(fleet: &Fleet) -> Result<Value> {
    let declaration = json!([{
        "kind": "move", "name": "to-chat-2", "service": "chat",
        "from": "chat-1", "to": "chat-2", "within_s": MOVE_SECONDS,
    }]);
    let answer = fleet.apply(1, &declaration).await?;
    check(answer.status.is_success(), &format!("the move was refused: {}", answer.text()))?;
    println!("6. move from chat-1 to chat-2 within {MOVE_SECONDS} s, under traffic:");
    let mut share = -1;
    let mut sent = 0;
    loop {
        let requests = (0..20).map(|number| {
            let entry = fleet.entries[number % 2].callers;
            let body = chat(&format!("question {number}"), 8);
            async move { send(entry, CHAT, &[], &body).await }
        });
        for answer in futures_util::future::join_all(requests).await {
            check(answer?.status == 200, "a request failed during the move")?;
            sent += 1;
        }
        let progress = fleet.progress(0, "to-chat-2").await?;
        let now = progress["share_permille"].as_i64().unwrap_or(0);
        if now != share {
            println!("   share of the new version: {}%", now as f64 / 10.0);
            share = now;
        }
        match progress["phase"].as_str() {
            Some("in_progress") | None => {}
            Some("done") => {
                println!("   done, after {sent} requests");
                return Ok(json!({ "phase": "done", "requests": sent }));
            }
            Some(phase) => return Err(format!("the move is {phase}: {progress}").into()),
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

async fn send(
    entry: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<client::Answer> {
    let bearer = format!("Bearer {CALLER_TOKEN}");
    let mut all = vec![("authorization", bearer.as_str()), ("content-type", "application/json")];
    all.extend_from_slice(headers);
    Ok(client::call(entry, "POST", path, &all, body.to_owned()).await?)
}

fn chat(prompt: &str, tokens: u32) -> String {
    let messages = [json!({ "role": "user", "content": prompt })];
    json!({ "model": "chat", "stream": true, "max_tokens": tokens, "messages": messages })
        .to_string()
}

fn ids(text: &str) -> Vec<String> {
    let whole = &text[..text.rfind("\n\n").unwrap_or(0)];
    let lines = whole.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.map(str::to_owned).collect()
}

fn content(text: &str) -> String {
    let whole = &text[..text.rfind("\n\n").unwrap_or(0)];
    let data = whole.lines().filter_map(|line| line.strip_prefix("data: "));
    let chunks = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    let parts = chunks
        .filter_map(|chunk| chunk["choices"][0]["delta"]["content"].as_str().map(str::to_owned));
    parts.collect()
}

fn check(holds: bool, failure: &str) -> Result<()> {
    if holds { Ok(()) } else { Err(failure.into()) }
}
