//! Callers that resume broken streams and check every token they receive.

#![allow(dead_code, reason = "each test file uses its own part of the helpers")]

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use pomelolink::platform::Vm;
use serde_json::json;
use standin::client;
use standin::engine::stream as engine_stream;
use standin::fleet::Fleet;
use tokio::task::JoinSet;

use crate::common;

const CHAT: &str = "/v1/chat/completions";
/// Longest time for one stream, including its resumes.
const STREAM_TIMEOUT: Duration = Duration::from_secs(25);
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Starts a fleet whose entry VMs are on the platform's list of VMs, so that they can be reclaimed.
pub async fn start(
    dir: &tempfile::TempDir,
    entries: usize,
    engines: usize,
    engine_args: &[&str],
    shutdown_ms: u64,
) -> std::io::Result<Fleet> {
    let mut fleet = Fleet::start(common::programs(), dir.path())?;
    fleet.timing = json!({ "config_poll_ms": 200, "vm_poll_ms": 200, "heartbeat_ms": 200,
        "shutdown_ms": shutdown_ms });
    let domain = |index: usize| common::DOMAINS[index % common::DOMAINS.len()];
    for index in 0..engines {
        fleet.endpoint("engine", "engines", domain(index), engine_args)?;
    }
    fleet.endpoint("service", "bookings", domain(0), &[])?;
    // The endpoints are registered before the entry VMs start. An entry VM that has read an empty
    // list is ready but refuses requests for lack of endpoints until it reads the list again.
    fleet.register().await?;
    for index in 0..entries {
        fleet.entry(domain(index))?;
    }
    let vms: Vec<Vm> = fleet.endpoints.iter().map(|endpoint| endpoint.vm.clone()).collect();
    let entry_vms = fleet.entries.iter().map(|entry| Vm {
        id: entry.name.as_str().into(),
        address: entry.callers,
        region: "dk".into(),
        failure_domain: entry.failure_domain.as_str().into(),
        pool: "".into(),
        class: "small".into(),
        reclaimable: true,
        leaving: false,
    });
    let vms: Vec<Vm> = vms.into_iter().chain(entry_vms).collect();
    fleet.control("PUT", "/control/vms", &json!(vms)).await?;
    fleet.configure(&common::declarations()).await?;
    fleet.all_ready().await?;
    Ok(fleet)
}

/// Chooses entry VMs as a load balancer does. An entry VM that refused a connection, or a request
/// because it is stopping, receives no further requests.
#[derive(Debug)]
pub struct Balancer {
    entries: Vec<SocketAddr>,
    down: Mutex<HashSet<SocketAddr>>,
}

impl Balancer {
    pub fn new(fleet: &Fleet) -> Arc<Balancer> {
        let entries = fleet.entries.iter().map(|entry| entry.callers).collect();
        Arc::new(Balancer { entries, down: Mutex::default() })
    }

    fn pick(&self, turn: usize) -> SocketAddr {
        let down = self.down.lock().unwrap_or_else(PoisonError::into_inner);
        let up: Vec<_> = self.entries.iter().filter(|entry| !down.contains(entry)).collect();
        match up.len() {
            0 => self.entries[turn % self.entries.len()],
            count => *up[turn % count],
        }
    }

    fn avoid(&self, entry: SocketAddr) {
        self.down.lock().unwrap_or_else(PoisonError::into_inner).insert(entry);
    }
}

/// Gives a VM a reclaim notice of `left_ms` milliseconds.
pub async fn reclaim(fleet: &Fleet, vm: &str, left_ms: u64) -> std::io::Result<()> {
    fleet.control("POST", "/control/reclaim", &json!({ "vm": vm, "left_ms": left_ms })).await
}

/// Reads a counter of an engine.
pub async fn counter(engine: SocketAddr, name: &str) -> std::io::Result<u64> {
    let answer = client::call(engine, "GET", "/control/counters", &[], "").await?;
    Ok(answer.json()[name].as_u64().unwrap_or_default())
}

/// Reads a metric of an entry VM.
pub async fn metric(operators: SocketAddr, name: &str) -> std::io::Result<u64> {
    let bearer = format!("Bearer {}", standin::fleet::OPERATOR_TOKEN);
    let headers = [("authorization", bearer.as_str())];
    let answer = client::call(operators, "GET", "/metrics", &headers, "").await?;
    let text = answer.text();
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
    line.ok_or_else(|| std::io::Error::other(format!("no metric {name}: {text}")))
}

/// Returns the answer of every engine stand-in to a prompt.
pub fn expected(prompt: &str, tokens: u64) -> String {
    let seed = engine_stream::seed(prompt);
    (0..tokens).map(|index| engine_stream::token(seed, index)).collect()
}

/// Progress of one request as its caller sees it, over all connections.
#[derive(Debug, Default, Clone)]
pub struct Progress {
    pub id: String,
    pub next: u64,
    pub content: String,
    pub finished: bool,
    /// Connections that broke after the response had begun.
    pub resumes: usize,
    /// Connections that broke before the response had begun, so that nothing was accepted.
    pub resent: usize,
    /// Longest time without a token after the first one, including resumes.
    pub stall: Duration,
    last_token: Option<Instant>,
    pub visited: Vec<SocketAddr>,
}

enum AttemptEnd {
    Done,
    /// The entry VM did not accept the request; another one may.
    Elsewhere,
    /// The connection broke before the response head.
    Disconnected,
    Broken,
}

/// Sends a streaming request, resumes it until it ends, and checks ids, order and content.
///
/// # Errors
///
/// Fails when a token is missing, repeated or wrong, or when the stream is lost.
pub async fn stream(
    entries: Arc<Balancer>,
    first: usize,
    prompt: String,
    tokens: u64,
) -> Result<Progress, String> {
    let mut progress = Progress::default();
    let body = common::chat(&prompt, u32::try_from(tokens).unwrap_or(u32::MAX), true);
    let deadline = Instant::now() + STREAM_TIMEOUT;
    let mut turn = first;
    loop {
        if Instant::now() > deadline {
            return Err(format!("the stream timed out at token {}: {progress:?}", progress.next));
        }
        let entry = entries.pick(turn);
        turn += 1;
        progress.visited.push(entry);
        match attempt(&entries, entry, &body, &mut progress).await? {
            AttemptEnd::Done => break,
            AttemptEnd::Elsewhere => {}
            AttemptEnd::Disconnected => progress.resent += 1,
            AttemptEnd::Broken => progress.resumes += 1,
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    if progress.next != tokens || progress.content != expected(&prompt, tokens) {
        return Err(format!("wrong answer of {} tokens: {progress:?}", progress.next));
    }
    Ok(progress)
}

async fn attempt(
    entries: &Balancer,
    entry: SocketAddr,
    body: &str,
    progress: &mut Progress,
) -> Result<AttemptEnd, String> {
    let bearer = common::bearer();
    let last_event_id = match (progress.id.as_str(), progress.next) {
        ("", _) => None,
        (id, 0) => Some(format!("{id}.-1")),
        (id, next) => Some(format!("{id}.{}", next - 1)),
    };
    let mut headers = vec![("authorization", bearer.as_str())];
    headers.extend(
        last_event_id.iter().map(|last_event_id| ("last-event-id", last_event_id.as_str())),
    );
    let request_body = if last_event_id.is_some() { "" } else { body };
    let began = Instant::now();
    let opened = client::open(entry, "POST", CHAT, &headers, request_body.to_owned()).await;
    let mut answer = match opened {
        Ok(answer) => answer,
        Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            entries.avoid(entry);
            return Ok(AttemptEnd::Elsewhere);
        }
        Err(_) if last_event_id.is_some() => return Ok(AttemptEnd::Elsewhere),
        Err(error) => {
            println!("no response from {entry} after {:?}: {error:?}", began.elapsed());
            return Ok(AttemptEnd::Disconnected);
        }
    };
    if answer.status != 200 {
        let status = answer.status;
        let refusal = answer.collect().await.map_err(|error| error.to_string())?;
        let is_retryable = status == 503 || status == 429;
        if refusal.json()["error"]["kind"] == "stopping" {
            entries.avoid(entry);
        }
        if is_retryable && (last_event_id.is_some() || refusal.header("x-request-run") == "no") {
            return Ok(AttemptEnd::Elsewhere);
        }
        return Err(format!("refused with {status}: {} {progress:?}", refusal.text()));
    }
    let mut buffer = Vec::new();
    loop {
        match answer.next().await {
            Ok(Some(data)) => buffer.extend_from_slice(&data),
            Ok(None) | Err(_) if progress.id.is_empty() => {
                return Err("the connection broke before the first event id".to_owned());
            }
            Ok(None) | Err(_) => return Ok(AttemptEnd::Broken),
        }
        while let Some(length) = buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = buffer.drain(..length + 2).collect();
            let before = progress.next;
            if apply_event(&String::from_utf8_lossy(&event), progress)? {
                return Ok(AttemptEnd::Done);
            }
            if progress.next != before {
                let stall = progress.last_token.map_or(Duration::ZERO, |at| at.elapsed());
                progress.stall = progress.stall.max(stall);
                progress.last_token = Some(Instant::now());
            }
        }
    }
}

/// Applies one event and returns whether the stream is complete.
fn apply_event(event: &str, progress: &mut Progress) -> Result<bool, String> {
    let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
    if let Some(id) = field("id: ") {
        let (id, number) = id.rsplit_once('.').ok_or("the event id has no number")?;
        if !progress.id.is_empty() && progress.id != id {
            return Err(format!("event of stream {id} in stream {}", progress.id));
        }
        id.clone_into(&mut progress.id);
        if field("data: ").is_some() && number != progress.next.to_string() {
            return Err(format!("event {number} where {} was expected", progress.next));
        }
    }
    let Some(data) = field("data: ") else { return Ok(false) };
    if field("event: ") == Some("error") {
        return Err(format!("the stream failed: {data}"));
    }
    if data == "[DONE]" {
        return if progress.finished {
            Ok(true)
        } else {
            Err("the stream ended without a finish reason".to_owned())
        };
    }
    let chunk: serde_json::Value = serde_json::from_str(data).map_err(|error| error.to_string())?;
    let choice = &chunk["choices"][0];
    if choice["finish_reason"].is_string() {
        progress.finished = true;
    } else {
        progress.content.push_str(choice["delta"]["content"].as_str().unwrap_or_default());
        progress.next += 1;
    }
    Ok(false)
}

/// Requests a full answer. The request is sent again only if it did not run; if its stream moved,
/// it is resumed with the event id in the error response.
pub async fn full_answer(
    entries: Arc<Balancer>,
    first: usize,
    prompt: String,
    tokens: u64,
) -> Result<Progress, String> {
    let mut progress = Progress::default();
    let body = common::chat(&prompt, u32::try_from(tokens).unwrap_or(u32::MAX), false);
    let deadline = Instant::now() + STREAM_TIMEOUT;
    let mut turn = first;
    while Instant::now() < deadline {
        let entry = entries.pick(turn);
        turn += 1;
        progress.visited.push(entry);
        let answer = match common::send(entry, "POST", CHAT, &[], &body).await {
            Ok(answer) => answer,
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                entries.avoid(entry);
                continue;
            }
            Err(error) => return Err(format!("the full answer was cut: {error}")),
        };
        if answer.json()["error"]["kind"] == "stopping" {
            entries.avoid(entry);
        }
        if answer.status == 200 {
            let content = &answer.json()["choices"][0]["message"]["content"];
            return if *content == json!(expected(&prompt, tokens)) {
                Ok(progress)
            } else {
                Err(format!("wrong full answer: {content}"))
            };
        }
        if answer.status == 503 && answer.header("x-request-run") == "yes" {
            let last_event_id = answer.header("last-event-id").to_owned();
            let (id, _) =
                last_event_id.rsplit_once('.').ok_or("no event id to resume a full answer")?;
            id.clone_into(&mut progress.id);
            progress.resumes += 1;
            break;
        }
        if !(answer.status == 503 || answer.status == 429) || answer.header("x-request-run") != "no"
        {
            return Err(format!("refused with {}: {}", answer.status, answer.text()));
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    while Instant::now() < deadline {
        let entry = entries.pick(turn);
        turn += 1;
        if matches!(attempt(&entries, entry, &body, &mut progress).await?, AttemptEnd::Done) {
            let is_correct = progress.content == expected(&prompt, tokens);
            return if is_correct {
                Ok(progress)
            } else {
                Err(format!("wrong resumed answer: {progress:?}"))
            };
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    Err(format!("the request timed out: {progress:?}"))
}

/// Callers that each send one request after the other until the total is reached.
#[derive(Debug)]
pub struct Load {
    tasks: JoinSet<Vec<Result<Progress, String>>>,
    remaining: Arc<AtomicUsize>,
    total: usize,
}

impl Load {
    /// Starts callers that together send `total` requests. About every fifth answer is four times
    /// as long; if `mixed` is set, about every tenth request asks for a full answer.
    pub fn start(
        entries: &Arc<Balancer>,
        callers: usize,
        total: usize,
        tokens: u64,
        mixed: bool,
    ) -> Load {
        let remaining = Arc::new(AtomicUsize::new(total));
        let mut tasks = JoinSet::new();
        for caller in 0..callers {
            let (entries, remaining) = (entries.clone(), remaining.clone());
            tasks.spawn(async move {
                let mut all = Vec::new();
                let mut number = caller;
                let decrement = |remaining: usize| remaining.checked_sub(1);
                while remaining
                    .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement)
                    .is_ok()
                {
                    // Each caller has its own prompts, so that an answer to another caller is
                    // detected.
                    let prompt = format!("caller {caller} asks question {number} about iron pans");
                    // Some streams outlast a reclaim notice and have to be handed over.
                    let tokens = if number % 5 == 3 { tokens * 4 } else { tokens };
                    let result = if mixed && number % 10 == 9 {
                        full_answer(entries.clone(), number / 10, prompt, tokens).await
                    } else {
                        // Spread long and short streams over all entry VMs.
                        stream(entries.clone(), number / 5, prompt, tokens).await
                    };
                    all.push(result);
                    number += callers + 1;
                }
                all
            });
        }
        Load { tasks, remaining, total }
    }

    /// Returns how many requests have been started.
    pub fn started(&self) -> usize {
        self.total - self.remaining.load(Ordering::Relaxed).min(self.total)
    }

    /// Waits for all callers and returns the progress of every request, or the first few failures.
    pub async fn finish(mut self) -> Result<Vec<Progress>, String> {
        let mut finished = Vec::new();
        let mut failures = Vec::new();
        while let Some(results) = self.tasks.join_next().await {
            for result in results.map_err(|error| error.to_string())? {
                match result {
                    Ok(request) => finished.push(request),
                    Err(failure) => failures.push(failure),
                }
            }
        }
        if failures.is_empty() {
            return Ok(finished);
        }
        let count = failures.len();
        failures.truncate(5);
        Err(format!("{count} of {} failed: {}", count + finished.len(), failures.join("\n")))
    }
}

/// Prints a summary of all requests, so that runs can be compared.
pub fn print(name: &str, requests: &[Progress]) {
    let resumed = requests.iter().filter(|request| request.resumes > 0).count();
    let resent: usize = requests.iter().map(|request| request.resent).sum();
    let mut stalls: Vec<Duration> = requests.iter().map(|request| request.stall).collect();
    stalls.sort_unstable();
    let at = |permille: usize| stalls.get(stalls.len() * permille / 1_000).copied();
    let (median, high) = (at(500).unwrap_or_default(), at(990).unwrap_or_default());
    let longest = stalls.last().copied().unwrap_or_default();
    println!(
        "{name}: {} answers, {resumed} resumed by callers, {resent} sent again before acceptance, \
         longest token gap: median {median:?}, 99% {high:?}, max {longest:?}",
        requests.len()
    );
}

/// Prints the log lines about the handovers of each entry VM.
pub fn print_hand_overs(fleet: &Fleet) {
    for entry in &fleet.entries {
        let log = fleet.log(&entry.name);
        for line in log.lines().filter(|line| line.contains("drain: handed over")) {
            let text = line.split_once("drain: ").map_or(line, |(_, text)| text);
            println!("{}: {text}", entry.name);
        }
    }
}
