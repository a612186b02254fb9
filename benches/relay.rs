//! Latency that an entry VM adds, and tokens that one core relays, with real processes.
//!
//! Usage: `cargo bench --bench relay`. The program executes itself as daemon and stand-ins. Compare
//! the ratios of one run; single figures depend on what else the machine does.

#[path = "relay/client.rs"]
mod client;

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use argh::FromArgs;
use client::{Call, Pool};
use hdrhistogram::Histogram;
use pomelolink::{config, daemon};
use serde_json::json;
use standin::command;
use standin::fleet::{CALLER_TOKEN, Fleet, Programs, digest};

/// Rate of each side, one request a millisecond.
const RATE: u32 = 1_000;
/// The two sides take turns, so that other load on the machine hits both.
const TURN: Duration = Duration::from_secs(1);
const TURNS: usize = 5;
const LATENCY_THREADS: &str = "2";
const ENGINES: usize = 4;
/// Clock ticks of `/proc/PID/stat` per second.
const TICKS_PER_SECOND: f64 = 100.0;

fn main() -> io::Result<()> {
    let args: Vec<String> = std::env::args().collect();
    let rest: Vec<&str> = args.iter().skip(2).map(String::as_str).collect();
    match (args.get(1).map(String::as_str), rest.as_slice()) {
        (Some("daemon"), [threads, file]) => run_daemon(threads, Path::new(file)),
        (Some("standin"), rest) => {
            let arguments = command::Arguments::from_args(&["standin"], rest);
            let arguments = arguments.map_err(|exit| io::Error::other(exit.output))?;
            runtime(2)?.block_on(command::execute(arguments))
        }
        _ => runtime(4)?.block_on(measure()),
    }
}

fn runtime(threads: usize) -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build()
}

fn run_daemon(threads: &str, file: &Path) -> io::Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let settings = config::Settings::load(file);
    let settings = settings.map_err(|mistakes| io::Error::other(format!("{mistakes:?}")))?;
    runtime(threads.parse().unwrap_or(1))?.block_on(daemon::run(settings))
}

async fn measure() -> io::Result<()> {
    latency().await?;
    throughput("events in batches (gap 0)", &["--gap-ms", "0"], 64, 8_000).await?;
    throughput("one event at a time", &["--gap-ms", "20"], 1_000, 200).await
}

fn declarations() -> String {
    json!([
        { "kind": "workspace", "name": "counter", "share": 1, "token_digests": [digest(CALLER_TOKEN)] },
        { "kind": "pool", "name": "engines", "class": "small", "checks_fencing": true,
          "concurrency": 1_000 },
        { "kind": "pool", "name": "orders", "class": "small", "concurrency": 1_000 },
        { "kind": "service", "name": "chat", "protocol": "model", "version": "chat-1",
          "in_flight": 4_000 },
        { "kind": "version", "name": "chat-1", "service": "chat", "pool": "engines" },
        { "kind": "service", "name": "orders", "protocol": "plain", "version": "orders-1",
          "deadline_ms": 5_000, "in_flight": 4_000 },
        { "kind": "version", "name": "orders-1", "service": "orders", "pool": "orders" },
    ])
    .to_string()
}

async fn start(dir: &Path, threads: &str, engines: usize, args: &[&str]) -> io::Result<Fleet> {
    let me = std::env::current_exe()?.display().to_string();
    let programs = Programs {
        daemon: vec![me.clone(), "daemon".to_owned(), threads.to_owned()],
        standin: vec![me, "standin".to_owned()],
    };
    let mut fleet = Fleet::start(programs, dir)?;
    let fast = ["--prefill-ms", "0", "--batch", "4000", "--slots", "4000"];
    let all: Vec<&str> = fast.iter().chain(args).copied().collect();
    for _ in 0..engines {
        fleet.endpoint("engine", "engines", "dk-a", &all)?;
    }
    fleet.endpoint("service", "orders", "dk-a", &[])?;
    fleet.register().await?;
    fleet.configure(&declarations()).await?;
    fleet.entry("dk-a")?;
    fleet.all_ready().await?;
    // The VM list arrives with the first poll after the start.
    tokio::time::sleep(Duration::from_secs(1)).await;
    Ok(fleet)
}

fn chat(tokens: u64, number: usize) -> String {
    json!({
        "model": "chat", "stream": true, "max_tokens": tokens,
        "messages": [{ "role": "user", "content": format!("question {number}") }],
    })
    .to_string()
}

async fn latency() -> io::Result<()> {
    let dir = tempfile::tempdir()?;
    let fleet =
        start(dir.path(), LATENCY_THREADS, 1, &["--gap-ms", "0", "--tick-ms", "0.1"]).await?;
    let (entry, engine) = (fleet.entries[0].callers, fleet.endpoints[0].vm.address);
    let service = fleet.endpoints[1].vm.address;
    println!(
        "Time to first byte at {RATE} requests/s, direct and through the entry VM in turns of \
         {TURN:?}; microseconds"
    );
    println!("{:16} {:>10} {:>10} {:>10} {:>10}", "request", "p50", "p90", "p99", "max");
    let lookup = Call { method: "GET", path: "/orders/17", body: String::new() };
    pair(
        "lookup",
        (service, lookup.clone()),
        (entry, Call { path: "/orders/orders/17", ..lookup }),
    )
    .await?;
    let stream = Call { method: "POST", path: "/v1/chat/completions", body: chat(8, 1) };
    pair("stream", (engine, stream.clone()), (entry, stream)).await
}

async fn pair(name: &str, direct: (SocketAddr, Call), entry: (SocketAddr, Call)) -> io::Result<()> {
    let sides = [direct, entry];
    let mut times = [new_histogram()?, new_histogram()?];
    let pools = sides.each_ref().map(|(address, _)| Arc::new(Pool::new(*address)));
    // The first round opens connections and is not counted.
    for round in 0..=TURNS {
        for side in 0..2 {
            let taken = turn(&pools[side], &sides[side].1).await?;
            if round > 0 {
                for time in taken {
                    times[side].saturating_record(time.as_nanos() as u64);
                }
            }
        }
    }
    for (side, histogram) in ["direct", "entry"].iter().zip(&times) {
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
        println!(
            "{:16} {:10.0} {:10.0} {:10.0} {:10.0}",
            format!("{name} {side}"),
            at(0.5),
            at(0.9),
            at(0.99),
            at(1.0)
        );
    }
    let added = |quantile: f64| {
        let [direct, entry] =
            times.each_ref().map(|times| times.value_at_quantile(quantile) as f64);
        (entry - direct) / 1e3
    };
    let ratio = times[1].value_at_quantile(0.5) as f64 / times[0].value_at_quantile(0.5) as f64;
    println!(
        "{:16} {:10.0} {:10.0} {:10.0}            ratio of medians {ratio:.2}; targets p50 300, p99 1000",
        format!("{name} added"),
        added(0.5),
        added(0.9),
        added(0.99),
    );
    Ok(())
}

fn new_histogram() -> io::Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, 60_000_000_000, 3).map_err(io::Error::other)
}

/// Sends requests at a fixed rate, whether or not earlier ones were answered.
async fn turn(pool: &Arc<Pool>, call: &Call) -> io::Result<Vec<Duration>> {
    let began = tokio::time::Instant::now();
    let count = (TURN.as_secs_f64() * f64::from(RATE)) as u32;
    let mut tasks = Vec::new();
    for number in 0..count {
        tokio::time::sleep_until(began + TURN * number / count).await;
        let (pool, call) = (pool.clone(), call.clone());
        tasks.push(tokio::spawn(async move { pool.first_byte(&call).await }));
    }
    let mut times = Vec::new();
    for task in tasks {
        times.push(task.await.map_err(io::Error::other)??);
    }
    Ok(times)
}

async fn throughput(name: &str, args: &[&str], streams: usize, tokens: u64) -> io::Result<()> {
    let dir = tempfile::tempdir()?;
    let fleet = start(dir.path(), "1", ENGINES, args).await?;
    let pool = Arc::new(Pool::new(fleet.entries[0].callers));
    let id = fleet.entries[0].process.id();
    let before = processor_seconds(id)?;
    let began = Instant::now();
    let tasks: Vec<_> = (0..streams)
        .map(|number| {
            let call =
                Call { method: "POST", path: "/v1/chat/completions", body: chat(tokens, number) };
            let pool = pool.clone();
            tokio::spawn(async move { pool.read_all(&call).await })
        })
        .collect();
    let (mut bytes, mut events) = (0, 0);
    for task in tasks {
        let read = task.await.map_err(io::Error::other)??;
        bytes += read.bytes;
        events += read.events;
    }
    let wall = began.elapsed().as_secs_f64();
    let processor = processor_seconds(id)? - before;
    let relayed = streams as u64 * tokens;
    // Each stream ends with one event for its finish and one for its end.
    if events != relayed + 2 * streams as u64 {
        return Err(io::Error::other(format!("{events} events for {relayed} tokens")));
    }
    let per_core = relayed as f64 / processor;
    println!(
        "\n{name}: {streams} streams x {tokens} tokens from {ENGINES} engines, one worker thread\n\
         wall {wall:.2} s, {:.0} tokens/s, daemon's processor time {processor:.2} s, {:.1} MB\n\
         {per_core:.0} tokens per core second, {:.2} of the target of 100,000",
        relayed as f64 / wall,
        bytes as f64 / 1e6,
        per_core / 1e5
    );
    Ok(())
}

fn processor_seconds(id: u32) -> io::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks = rest.split_whitespace().skip(11).take(2);
    let ticks: f64 = ticks.filter_map(|text| text.parse::<f64>().ok()).sum();
    Ok(ticks / TICKS_PER_SECOND)
}
