//! Guards against bytes of endpoints that are no answers and reach callers of the daemon as answers.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use pomelolink::endpoint::Pool;
use pomelolink::endpoint::answer::{self, Answer, Fault};
use pomelolink::{claim, platform};
use socket2::SockRef;
use standin::fleet::Fleet;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

type Result<T = ()> = std::result::Result<T, Box<dyn std::error::Error>>;

/// Endpoints of each kind, as one that fails gets no requests for some time.
const ENDPOINTS: usize = 6;
/// Body that doesn't fit into the buffers of a connection.
const UPLOAD_BYTES: usize = 12 << 20;
/// Early answers that are reset, at delays from zero to some tenths of a second.
const RESETS: u32 = 24;
const DELAY_STEP: Duration = Duration::from_millis(10);
const CHAT_WAIT: Duration = Duration::from_secs(3);

/// Starts an endpoint that answers each request with a status, which may change.
async fn start_endpoint(status: Arc<AtomicU16>) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let status = status.clone();
            tokio::spawn(async move {
                let mut request = [0; 16_384];
                while stream.read(&mut request).await.is_ok_and(|length| length > 0) {
                    let status = status.load(Ordering::Relaxed);
                    let answer = format!("HTTP/1.1 {status:03} Odd\r\ncontent-length: 2\r\n\r\nok");
                    // The daemon may have closed the connection.
                    let _ = stream.write_all(answer.as_bytes()).await;
                }
            });
        }
    });
    Ok(address)
}

/// Starts two entry VMs whose endpoints answer with a status.
async fn start(dir: &tempfile::TempDir, status: &Arc<AtomicU16>) -> Result<Fleet> {
    let mut fleet = common::start(dir, 2, ENDPOINTS, &[]).await?;
    for _ in 1..ENDPOINTS {
        fleet.endpoint("service", "bookings", common::DOMAINS[0], &[])?;
    }
    for endpoint in &mut fleet.endpoints {
        endpoint.vm.address = start_endpoint(status.clone()).await?;
    }
    fleet.register().await?;
    fleet.joined().await?;
    // The entry VMs poll the list every 200 ms.
    tokio::time::sleep(Duration::from_millis(800)).await;
    Ok(fleet)
}

/// Guards against a status that is none of a final response, for plain requests, for streams, and for bookings whose
/// answer another entry VM has recorded.
#[tokio::test(flavor = "multi_thread")]
async fn odd_statuses_are_no_answers() -> Result {
    for odd in [600, 999, 101, 0] {
        let dir = tempfile::tempdir()?;
        let status = Arc::new(AtomicU16::new(odd));
        let fleet = start(&dir, &status).await?;
        let [entry, other] = [&fleet.entries[0], &fleet.entries[1]].map(|it| it.callers);
        let plain = common::send(entry, "POST", "/booking/book", &[], "{}").await;
        assert_eq!(plain.map(|it| it.status.as_u16()).ok(), Some(502), "{odd}: a plain request");
        let key = [("idempotency-key", "odd")];
        for (callers, place) in [(entry, "its entry VM"), (other, "another entry VM")] {
            let booked = common::send(callers, "POST", "/booking/book", &key, "{}").await;
            assert_eq!(booked.map(|it| it.status.as_u16()).ok(), Some(502), "{odd}: at {place}");
        }
        let chat = common::chat("plan for a wardrobe", 8, false);
        let chat = common::send(entry, "POST", "/v1/chat/completions", &[], &chat);
        // The entry VM tries other engines for longer than the test waits.
        if let Ok(chat) = tokio::time::timeout(CHAT_WAIT, chat).await {
            let status = chat?.status.as_u16();
            assert!((500..600).contains(&status), "{odd}: {status} for a chat");
        }
    }
    Ok(())
}

/// Guards against a recorded answer with such a status, which an entry VM of an earlier version may have written.
#[tokio::test(flavor = "multi_thread")]
async fn recorded_odd_status_is_no_answer() -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = common::start(&dir, 1, 1, &[]).await?;
    let entry = fleet.entries[0].callers;
    let key = [("idempotency-key", "recorded")];
    let booked = common::send(entry, "POST", "/booking/book", &key, "{}").await?;
    assert_eq!(booked.status, 201, "{}", booked.text());
    let client = platform::Client::new(fleet.platform, Duration::from_secs(2));
    let row_key = claim::row_key("counter", "booking", "recorded");
    let row = client.read_row(&row_key).await?.ok_or("no record")?;
    let text = row.value.to_string();
    let odd = text.replace("\"status\":201", "\"status\":600");
    assert_ne!(odd, text, "the record names its status");
    let mut transaction = platform::Transaction::default();
    transaction.put(&row_key, Some(row.version), serde_json::from_str(&odd)?);
    assert!(matches!(client.transact(&transaction).await, platform::Outcome::Done(_)));
    let repeated = common::send(entry, "POST", "/booking/book", &key, "{}").await?;
    assert_eq!(repeated.status, 502, "{}", repeated.text());
    Ok(())
}

/// Sends a part of an answer before the upload is read, and resets the connection.
async fn reset_early(mut stream: TcpStream, delay: Duration) -> Option<()> {
    let mut head = [0; 1_024];
    stream.read_exact(&mut head).await.ok()?;
    stream.write_all(b"HTTP/1.1 200 OK\r\n\r\npart of it").await.ok()?;
    tokio::time::sleep(delay).await;
    // Closing the socket now resets the connection.
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).ok()
}

async fn upload(pool: &Arc<Pool>) -> Result<std::result::Result<Answer, Fault>> {
    let body = Full::new(Bytes::from(vec![b'x'; UPLOAD_BYTES]));
    let request = Request::post("/x").header("host", "endpoint").body(body)?;
    let deadline = Instant::now() + Duration::from_secs(5);
    Ok(answer::exchange(pool, request, 1_000, Duration::from_secs(1), deadline).await)
}

/// Guards against the part of an early answer without length that a reset cuts off while the upload is still being
/// written.
#[tokio::test(flavor = "multi_thread")]
async fn reset_early_answers_are_no_success() -> Result {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let pool = Arc::new(Pool::new(listener.local_addr()?));
    let resets = AtomicU32::new(0);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(reset_early(stream, DELAY_STEP * resets.fetch_add(1, Ordering::Relaxed)));
        }
    });
    for number in 0..RESETS {
        let answer = upload(&pool).await?;
        let is_unproven = matches!(answer, Err(Fault::Incomplete(_) | Fault::Unknown(_)));
        assert!(is_unproven, "request {number}: {answer:?}");
    }
    Ok(())
}
