//! Crowds of uncontrolled callers, and what a process holds while they are connected.

#![allow(dead_code, reason = "each test file uses only some items")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use tokio::sync::{Mutex, MutexGuard};

/// Memory of the smallest VM, in kB; also the limit on the data of each process under test.
pub const MEMORY_KB: u64 = 160_000;
/// A quarter of it, for a crowd whose bytes fit while what they cost does not.
pub const QUARTER_KB: u64 = MEMORY_KB / 4;
/// File descriptors of the smallest VM.
pub const DESCRIPTORS: usize = 4_100;
/// Declared limit on a request body.
pub const BODY_BYTES: usize = 4_194_304;
/// Connections of a crowd whose bodies hold more than `MEMORY_KB` together.
pub const CALLERS: usize = 64;
/// Descriptors of a process that more connections meet than it may open.
pub const FEW_DESCRIPTORS: usize = 256;
/// Bytes that the last part of an unfinished body is short of its end.
const MISSING_BYTES: usize = 16;
/// Longest wait of a caller for room to write; a process may stop reading a body.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);

/// What each caller of a crowd sends after its head.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    /// A body with a length, written whole by even callers and in pieces by odd ones.
    Large,
    /// A chunked body in chunks of 64 KiB.
    LargeChunks,
    /// A chunked body of this number of one-byte chunks.
    TinyChunks(usize),
    /// A body of this number of bytes, which its length announces.
    AnnouncedExcess(usize),
    /// A chunked body of this number of bytes.
    SentExcess(usize),
    /// A request without a body that waits for its response.
    NoBody,
    /// Nothing, not even a head.
    Silent,
}

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Makes the tests of one binary run one at a time, as each loads the machine.
pub async fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().await
}

/// Returns a command that runs a program with limited memory and descriptors.
pub fn limited(program: &str, memory_kb: u64, descriptors: usize) -> Vec<String> {
    let script = format!("ulimit -d {memory_kb} && ulimit -n {descriptors} && exec \"$0\" \"$@\"");
    ["sh", "-c", &script, program].map(str::to_owned).to_vec()
}

/// Connects a crowd and returns its open connections once each caller has sent what it sends. Three of four bodies of
/// legal size stop just short of their end.
pub fn connect(address: SocketAddr, head: &str, kind: Kind, callers: usize) -> Vec<TcpStream> {
    let threads: Vec<_> = (0..callers)
        .map(|index| {
            let head = head.replace("{index}", &index.to_string());
            std::thread::spawn(move || {
                let mut stream = TcpStream::connect(address).ok()?;
                stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
                // A refused caller goes on sending until the connection is closed or full.
                let _ = send(&mut stream, &head, kind, index);
                Some(stream)
            })
        })
        .collect();
    threads.into_iter().filter_map(|thread| thread.join().expect("no panic")).collect()
}

fn send(stream: &mut TcpStream, head: &str, kind: Kind, index: usize) -> std::io::Result<()> {
    let missing = if index.is_multiple_of(4) { 0 } else { MISSING_BYTES };
    let with_length = |length: usize| format!("{head}content-length: {length}\r\n\r\n");
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
    let piece = vec![b'x'; 64 << 10];
    let chunk = |length: usize| {
        let mut chunk = format!("{length:x}\r\n").into_bytes();
        chunk.extend_from_slice(&piece[..length]);
        chunk.extend_from_slice(b"\r\n");
        chunk
    };
    match kind {
        Kind::Large if index.is_multiple_of(2) => {
            stream.write_all(with_length(BODY_BYTES).as_bytes())?;
            stream.write_all(&vec![b'x'; BODY_BYTES - missing])
        }
        Kind::Large => {
            stream.write_all(with_length(BODY_BYTES).as_bytes())?;
            let mut left = BODY_BYTES - missing;
            while left > 0 {
                let length = left.min(5_000);
                stream.write_all(&piece[..length])?;
                left -= length;
            }
            Ok(())
        }
        Kind::LargeChunks => {
            stream.write_all(chunked.as_bytes())?;
            for _ in 0..BODY_BYTES / piece.len() {
                stream.write_all(&chunk(piece.len()))?;
            }
            if missing == 0 { stream.write_all(b"0\r\n\r\n") } else { Ok(()) }
        }
        Kind::TinyChunks(count) => {
            stream.write_all(chunked.as_bytes())?;
            let chunks = b"1\r\nx\r\n".repeat(1_000);
            for _ in 0..count / 1_000 {
                stream.write_all(&chunks)?;
            }
            if missing == 0 { stream.write_all(b"0\r\n\r\n") } else { Ok(()) }
        }
        Kind::AnnouncedExcess(length) => {
            stream.write_all(with_length(length).as_bytes())?;
            (0..length / piece.len()).try_for_each(|_| stream.write_all(&piece))
        }
        Kind::SentExcess(length) => {
            stream.write_all(chunked.as_bytes())?;
            (0..length / piece.len()).try_for_each(|_| stream.write_all(&chunk(piece.len())))
        }
        Kind::NoBody => {
            stream.write_all(with_length(0).as_bytes())?;
            stream.set_read_timeout(Some(WRITE_TIMEOUT))?;
            stream.read(&mut [0; 64]).map(drop)
        }
        Kind::Silent => Ok(()),
    }
}

/// Waits until a process has taken from its connections what it reads: until it uses no more processor time than an idle
/// one does, or for longer than the timeout of a body.
pub fn settle(process: u32) {
    let ticks = || {
        let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
        stat.split(' ').skip(13).take(2).filter_map(|field| field.parse::<u64>().ok()).sum::<u64>()
    };
    let mut last = ticks();
    for _ in 0..24 {
        std::thread::sleep(Duration::from_millis(500));
        let now = ticks();
        if now.saturating_sub(last) < 3 {
            return;
        }
        last = now;
    }
}

/// Checks that a process runs and has stayed within its memory and its descriptors.
pub fn check(process: u32, memory_kb: u64, descriptors: usize) {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("it runs");
    assert!(!status.contains("State:\tZ"), "the process has ended");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("it runs");
    let peak: u64 = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    let open = std::fs::read_dir(format!("/proc/{process}/fd")).expect("it runs").count();
    eprintln!("peak resident memory {peak} kB, {open} open descriptors");
    assert!(peak < memory_kb, "peak resident memory {peak} kB");
    assert!(open <= descriptors, "{open} open descriptors");
}
