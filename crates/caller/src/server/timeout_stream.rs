//! A stream whose writes fail if the peer does not read for too long.

use std::{
    future::Future as _,
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep},
};

/// A TCP stream with a limit on the time for which writes may make no progress.
#[derive(Debug)]
pub(super) struct TimeoutStream {
    stream: TcpStream,
    timeout: Duration,
    expiry: Option<Pin<Box<Sleep>>>,
    write_pending: Arc<AtomicBool>,
}

impl TimeoutStream {
    /// `write_pending` is set while a write makes no progress.
    pub(super) fn new(
        stream: TcpStream,
        timeout: Duration,
        write_pending: Arc<AtomicBool>,
    ) -> Self {
        Self { stream, timeout, expiry: None, write_pending }
    }

    /// Replaces a pending write by an error once writes have been pending for the timeout.
    fn apply_timeout<T>(
        &mut self,
        poll: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        self.write_pending.store(poll.is_pending(), Ordering::Relaxed);
        if poll.is_ready() {
            self.expiry = None;
            return poll;
        }
        let end = Instant::now() + self.timeout;
        let sleep = self.expiry.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(end)));
        ready!(sleep.as_mut().poll(context));
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "the caller does not read the response",
        )))
    }
}

impl AsyncRead for TimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for TimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.apply_timeout(poll, context)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.apply_timeout(poll, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
