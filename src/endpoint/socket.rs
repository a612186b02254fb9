//! TCP connection that is reset when its peer stops acknowledging what was sent.
//!
//! The kernel's own limit (`TCP_USER_TIMEOUT`) ends a connection without a reset, and what a network
//! partition holds back may then reach the peer after the request was given up. See
//! `docs/platform.md`.

use std::io;
use std::net::Shutdown;
use std::os::fd::AsRawFd;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures_util::task::AtomicWaker;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// Interval between two looks at the send queue while a response is awaited.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Checks in a row without progress after which the connection is given up. Checks are counted
/// instead of time, so that a process that was suspended doesn't take its own absence for the peer's.
const MAX_STALLED_CHECKS: u32 = 4;

/// What the kernel still keeps to be sent or acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Queue {
    pub bytes: u64,
    /// Segments sent and not acknowledged; 0 while the peer's receive window is closed.
    pub unacked_segments: u32,
}

/// Decides when the peer no longer acknowledges.
#[derive(Debug, Default)]
pub struct Progress {
    /// Bytes in the queue at the last check; what was written since is added.
    bytes: u64,
    stalled_checks: u32,
}

impl Progress {
    pub fn record_write(&mut self, bytes: u64) {
        self.bytes += bytes;
    }

    /// Returns whether nothing was acknowledged in the last `MAX_STALLED_CHECKS` checks.
    pub fn check(&mut self, queue: Queue) -> bool {
        let is_stalled = queue.unacked_segments > 0 && queue.bytes >= self.bytes;
        self.stalled_checks = if is_stalled { self.stalled_checks + 1 } else { 0 };
        self.bytes = queue.bytes;
        self.stalled_checks >= MAX_STALLED_CHECKS
    }
}

/// Asks for the end of a connection's own side, while the peer's is still read.
#[derive(Debug, Default)]
pub struct Hangup {
    is_asked: AtomicBool,
    waker: AtomicWaker,
}

impl Hangup {
    /// Tells the peer that nothing more is sent. A peer that takes this for the end of the caller stops its work,
    /// and what it has sent before still arrives.
    pub fn ask(&self) {
        self.is_asked.store(true, Ordering::Relaxed);
        self.waker.wake();
    }
}

/// A TCP connection that fails when the peer doesn't acknowledge in time. The stream has to be set to
/// reset the connection when it is closed, and to send keep-alive probes.
///
/// Either this check or TCP keep-alive watches the connection, never both: keep-alive started while
/// the connection was idle could end it like the kernel's own limit just after a request was sent.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    /// Set while bytes may be unacknowledged.
    progress: Option<Progress>,
    next_check: Pin<Box<Sleep>>,
    hangup: Arc<Hangup>,
}

impl Socket {
    pub fn new(stream: TcpStream) -> Socket {
        let next_check = Box::pin(tokio::time::sleep(CHECK_INTERVAL));
        Socket { stream, progress: None, next_check, hangup: Arc::default() }
    }

    pub fn hangup(&self) -> Arc<Hangup> {
        self.hangup.clone()
    }

    fn poll_hangup(&self, cx: &Context<'_>) -> io::Result<()> {
        self.hangup.waker.register(cx.waker());
        match self.hangup.is_asked.swap(false, Ordering::Relaxed) {
            true => SockRef::from(&self.stream).shutdown(Shutdown::Write),
            false => Ok(()),
        }
    }

    fn begin_check(&mut self, cx: &mut Context<'_>, bytes: usize) -> io::Result<()> {
        if self.progress.is_none() {
            SockRef::from(&self.stream).set_keepalive(false)?;
            self.next_check.as_mut().reset(Instant::now() + CHECK_INTERVAL);
            // Polling registers the task, which may not read again before it is woken.
            let _ = self.next_check.as_mut().poll(cx);
        }
        self.progress.get_or_insert_default().record_write(bytes as u64);
        Ok(())
    }

    fn end_check(&mut self) -> io::Result<()> {
        match self.progress.take() {
            Some(_) => SockRef::from(&self.stream).set_keepalive(true),
            None => Ok(()),
        }
    }

    /// Checks the send queue when it is time; is ready only with an error.
    fn poll_queue(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        while let Some(progress) = &mut self.progress
            && self.next_check.as_mut().poll(cx).is_ready()
        {
            let queue = match read_queue(&self.stream) {
                Ok(queue) => queue,
                Err(error) => return Poll::Ready(error),
            };
            if progress.check(queue) {
                let text = format!("{} bytes are not acknowledged", queue.bytes);
                return Poll::Ready(io::Error::new(io::ErrorKind::TimedOut, text));
            }
            self.next_check.as_mut().reset(Instant::now() + CHECK_INTERVAL);
            if queue.bytes == 0
                && let Err(error) = self.end_check()
            {
                return Poll::Ready(error);
            }
        }
        Poll::Pending
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = self.get_mut();
        match Pin::new(&mut socket.stream).poll_read(cx, buffer) {
            // The peer responds, so the path works.
            Poll::Ready(Ok(())) => Poll::Ready(socket.end_check()),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => match socket.poll_hangup(cx) {
                Ok(()) => socket.poll_queue(cx).map(Err),
                Err(error) => Poll::Ready(Err(error)),
            },
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let socket = self.get_mut();
        let written = ready!(Pin::new(&mut socket.stream).poll_write(cx, buffer))?;
        socket.begin_check(cx, written)?;
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let socket = self.get_mut();
        let stream = Pin::new(&mut socket.stream);
        let written = ready!(stream.poll_write_vectored(cx, buffers))?;
        socket.begin_check(cx, written)?;
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

/// Reads the state of the send queue from the kernel.
fn read_queue(stream: &TcpStream) -> io::Result<Queue> {
    let descriptor = stream.as_raw_fd();
    let mut bytes: libc::c_int = 0;
    // SAFETY: `TIOCOUTQ` writes one `c_int` and keeps no pointer.
    if unsafe { libc::ioctl(descriptor, libc::TIOCOUTQ, &raw mut bytes) } != 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: the structure has only integer fields.
    let mut info: libc::tcp_info = unsafe { std::mem::zeroed() };
    let mut length = size_of_val(&info) as libc::socklen_t;
    let target = (&raw mut info).cast();
    // SAFETY: the kernel writes at most `length` bytes to `info` and keeps no pointer.
    let status = unsafe {
        libc::getsockopt(descriptor, libc::IPPROTO_TCP, libc::TCP_INFO, target, &raw mut length)
    };
    if status != 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(Queue { bytes: bytes.max(0) as u64, unacked_segments: info.tcpi_unacked })
}
