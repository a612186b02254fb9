//! Callers that resume broken streams by themselves and check every token they get.

#![allow(dead_code, reason = "each test file uses its own part of the helpers")]

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use pomelolink::platform::Vm;
use serde_json::json;
use standin::client;
use standin::engine::stream as answers;
use standin::fleet::Fleet;
use tokio::task::JoinSet;

use crate::common;

const CHAT: &str = "/v1/chat/completions";
/// Longest time for one stream with all its resumes.
const PATIENCE: Duration = Duration::from_secs(25);
const PAUSE: Duration = Duration::from_millis(40);

/// Starts a fleet whose entry VMs are on the platform's list, so that they can be reclaimed.
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
    // Before the entry VMs start: one that has read an empty list is ready, and refuses as without
    // endpoints until it reads the list again.
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

/// Chooses entry VMs as a load balancer does: one that refused a request as stopping, or a
/// connection, gets no further ones.
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

/// Sets a reclaim notice.
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

/// Gives the answer that every engine stand-in has for a prompt.
pub fn expected(prompt: &str, tokens: u64) -> String {
    let seed = answers::seed(prompt);
    (0..tokens).map(|index| answers::token(seed, index)).collect()
}

/// Holds what a caller went through until it had its answer.
#[derive(Debug, Default, Clone)]
pub struct Seen {
    pub id: String,
    pub next: u64,
    pub content: String,
    pub finished: bool,
    /// Connections that broke after the answer had begun.
    pub resumes: usize,
    /// Connections that broke before the answer had begun, so that nothing was accepted.
    pub resent: usize,
    /// Longest time without a token after the first one, resumes included.
    pub stall: Duration,
    at: Option<Instant>,
    pub visited: Vec<SocketAddr>,
}

enum End {
    Done,
    /// The request was not accepted here; another entry VM may take it.
    Elsewhere,
    /// The connection broke before the head of the answer.
    NoHead,
    Broken,
}

/// Sends one streaming request and resumes it until its end; checks ids, order and content.
///
/// # Errors
///
/// Fails when a token is missing, repeated or wrong, or when the stream is lost.
pub async fn stream(
    entries: Arc<Balancer>,
    first: usize,
    prompt: String,
    tokens: u64,
) -> Result<Seen, String> {
    let mut seen = Seen::default();
    let body = common::chat(&prompt, u32::try_from(tokens).unwrap_or(u32::MAX), true);
    let end = Instant::now() + PATIENCE;
    let mut turn = first;
    loop {
        if Instant::now() > end {
            return Err(format!("gave up at token {}: {seen:?}", seen.next));
        }
        let entry = entries.pick(turn);
        turn += 1;
        seen.visited.push(entry);
        match attempt(&entries, entry, &body, &mut seen).await? {
            End::Done => break,
            End::Elsewhere => {}
            End::NoHead => seen.resent += 1,
            End::Broken => seen.resumes += 1,
        }
        tokio::time::sleep(PAUSE).await;
    }
    if seen.next != tokens || seen.content != expected(&prompt, tokens) {
        return Err(format!("wrong answer of {} tokens: {seen:?}", seen.next));
    }
    Ok(seen)
}

async fn attempt(
    entries: &Balancer,
    entry: SocketAddr,
    body: &str,
    seen: &mut Seen,
) -> Result<End, String> {
    let bearer = common::bearer();
    let last = match (seen.id.as_str(), seen.next) {
        ("", _) => None,
        (id, 0) => Some(format!("{id}.-1")),
        (id, next) => Some(format!("{id}.{}", next - 1)),
    };
    let mut headers = vec![("authorization", bearer.as_str())];
    headers.extend(last.iter().map(|last| ("last-event-id", last.as_str())));
    let sent = if last.is_some() { "" } else { body };
    let began = Instant::now();
    let opened = client::open(entry, "POST", CHAT, &headers, sent.to_owned()).await;
    let mut answer = match opened {
        Ok(answer) => answer,
        Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            entries.avoid(entry);
            return Ok(End::Elsewhere);
        }
        Err(_) if last.is_some() => return Ok(End::Elsewhere),
        Err(error) => {
            println!("no answer from {entry} after {:?}: {error:?}", began.elapsed());
            return Ok(End::NoHead);
        }
    };
    if answer.status != 200 {
        let status = answer.status;
        let refusal = answer.collect().await.map_err(|error| error.to_string())?;
        let retry = status == 503 || status == 429;
        if refusal.json()["error"]["kind"] == "stopping" {
            entries.avoid(entry);
        }
        if retry && (last.is_some() || refusal.header("x-request-run") == "no") {
            return Ok(End::Elsewhere);
        }
        return Err(format!("refused with {status}: {} {seen:?}", refusal.text()));
    }
    let mut buffer = Vec::new();
    loop {
        match answer.next().await {
            Ok(Some(data)) => buffer.extend_from_slice(&data),
            Ok(None) | Err(_) if seen.id.is_empty() => {
                return Err("accepted without an id, then broken".to_owned());
            }
            Ok(None) | Err(_) => return Ok(End::Broken),
        }
        while let Some(length) = buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = buffer.drain(..length + 2).collect();
            let before = seen.next;
            if take(&String::from_utf8_lossy(&event), seen)? {
                return Ok(End::Done);
            }
            if seen.next != before {
                let stall = seen.at.map_or(Duration::ZERO, |at| at.elapsed());
                seen.stall = seen.stall.max(stall);
                seen.at = Some(Instant::now());
            }
        }
    }
}

/// Takes one event and tells whether the stream is complete.
fn take(event: &str, seen: &mut Seen) -> Result<bool, String> {
    let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
    if let Some(id) = field("id: ") {
        let (id, number) = id.rsplit_once('.').ok_or("an event id without a number")?;
        if !seen.id.is_empty() && seen.id != id {
            return Err(format!("event of stream {id} in stream {}", seen.id));
        }
        id.clone_into(&mut seen.id);
        if field("data: ").is_some() && number != seen.next.to_string() {
            return Err(format!("event {number} where {} was expected", seen.next));
        }
    }
    let Some(data) = field("data: ") else { return Ok(false) };
    if field("event: ") == Some("error") {
        return Err(format!("the stream failed: {data}"));
    }
    if data == "[DONE]" {
        return if seen.finished { Ok(true) } else { Err("done without a finish".to_owned()) };
    }
    let chunk: serde_json::Value = serde_json::from_str(data).map_err(|error| error.to_string())?;
    let choice = &chunk["choices"][0];
    if choice["finish_reason"].is_string() {
        seen.finished = true;
    } else {
        seen.content.push_str(choice["delta"]["content"].as_str().unwrap_or_default());
        seen.next += 1;
    }
    Ok(false)
}

/// Asks for a whole answer and sends the request again only where that is safe; an answer that
/// moved is resumed with the event id of the refusal.
pub async fn whole(
    entries: Arc<Balancer>,
    first: usize,
    prompt: String,
    tokens: u64,
) -> Result<Seen, String> {
    let mut seen = Seen::default();
    let body = common::chat(&prompt, u32::try_from(tokens).unwrap_or(u32::MAX), false);
    let end = Instant::now() + PATIENCE;
    let mut turn = first;
    while Instant::now() < end {
        let entry = entries.pick(turn);
        turn += 1;
        seen.visited.push(entry);
        let answer = match common::send(entry, "POST", CHAT, &[], &body).await {
            Ok(answer) => answer,
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                entries.avoid(entry);
                continue;
            }
            Err(error) => return Err(format!("whole answer was cut: {error}")),
        };
        if answer.json()["error"]["kind"] == "stopping" {
            entries.avoid(entry);
        }
        if answer.status == 200 {
            let content = &answer.json()["choices"][0]["message"]["content"];
            return if *content == json!(expected(&prompt, tokens)) {
                Ok(seen)
            } else {
                Err(format!("wrong whole answer: {content}"))
            };
        }
        if answer.status == 503 && answer.header("x-request-run") == "yes" {
            let last = answer.header("last-event-id").to_owned();
            let (id, _) = last.rsplit_once('.').ok_or("no event id to resume a whole answer")?;
            id.clone_into(&mut seen.id);
            seen.resumes += 1;
            break;
        }
        if !(answer.status == 503 || answer.status == 429) || answer.header("x-request-run") != "no"
        {
            return Err(format!("refused with {}: {}", answer.status, answer.text()));
        }
        tokio::time::sleep(PAUSE).await;
    }
    while Instant::now() < end {
        let entry = entries.pick(turn);
        turn += 1;
        if matches!(attempt(&entries, entry, &body, &mut seen).await?, End::Done) {
            let right = seen.content == expected(&prompt, tokens);
            return if right { Ok(seen) } else { Err(format!("wrong resumed answer: {seen:?}")) };
        }
        tokio::time::sleep(PAUSE).await;
    }
    Err(format!("gave up: {seen:?}"))
}

/// Runs callers that send one stream after the other until they are told to stop.
#[derive(Debug)]
pub struct Load {
    tasks: JoinSet<Vec<Result<Seen, String>>>,
    left: Arc<AtomicUsize>,
    total: usize,
}

impl Load {
    /// Starts callers that together send `total` streams, each fifth of them four times as long;
    /// every tenth asks for a whole answer when
    /// `mixed` is set.
    pub fn start(
        entries: &Arc<Balancer>,
        callers: usize,
        total: usize,
        tokens: u64,
        mixed: bool,
    ) -> Load {
        let left = Arc::new(AtomicUsize::new(total));
        let mut tasks = JoinSet::new();
        for caller in 0..callers {
            let (entries, left) = (entries.clone(), left.clone());
            tasks.spawn(async move {
                let mut all = Vec::new();
                let mut number = caller;
                let take = |left: usize| left.checked_sub(1);
                while left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok() {
                    // Each caller gets its own prompts, so that a mixed-up answer shows.
                    let prompt = format!("caller {caller} asks question {number} about iron pans");
                    // Some streams outlast a reclaim notice, so that they have to be handed over.
                    let tokens = if number % 5 == 3 { tokens * 4 } else { tokens };
                    let result = if mixed && number % 10 == 9 {
                        whole(entries.clone(), number / 10, prompt, tokens).await
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
        Load { tasks, left, total }
    }

    /// Gives how many streams have been started.
    pub fn started(&self) -> usize {
        self.total - self.left.load(Ordering::Relaxed).min(self.total)
    }

    /// Waits for all callers and gives what they saw; fails with the first few failures.
    pub async fn finish(mut self) -> Result<Vec<Seen>, String> {
        let mut seen = Vec::new();
        let mut failures = Vec::new();
        while let Some(results) = self.tasks.join_next().await {
            for result in results.map_err(|error| error.to_string())? {
                match result {
                    Ok(one) => seen.push(one),
                    Err(failure) => failures.push(failure),
                }
            }
        }
        if failures.is_empty() {
            return Ok(seen);
        }
        let count = failures.len();
        failures.truncate(5);
        Err(format!("{count} of {} failed: {}", count + seen.len(), failures.join("\n")))
    }
}

/// Prints what the callers went through, so that runs can be compared.
pub fn print(name: &str, seen: &[Seen]) {
    let resumed = seen.iter().filter(|one| one.resumes > 0).count();
    let resent: usize = seen.iter().map(|one| one.resent).sum();
    let mut stalls: Vec<Duration> = seen.iter().map(|one| one.stall).collect();
    stalls.sort_unstable();
    let at = |permille: usize| stalls.get(stalls.len() * permille / 1_000).copied();
    let (median, high) = (at(500).unwrap_or_default(), at(990).unwrap_or_default());
    let longest = stalls.last().copied().unwrap_or_default();
    println!(
        "{name}: {} answers, {resumed} resumed by callers, {resent} sent again before acceptance, \
         longest token gap: median {median:?}, 99% {high:?}, max {longest:?}",
        seen.len()
    );
}

/// Prints how long the hand-overs of each entry VM took.
pub fn print_hand_overs(fleet: &Fleet) {
    for entry in &fleet.entries {
        let log = fleet.log(&entry.name);
        for line in log.lines().filter(|line| line.contains("drain: handed over")) {
            let text = line.split_once("drain: ").map_or(line, |(_, text)| text);
            println!("{}: {text}", entry.name);
        }
    }
}
