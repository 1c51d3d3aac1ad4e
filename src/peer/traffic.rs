//! Counts the bytes on connections between entry VMs, in total and by component.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::{PeerBody, PeerFrame};

/// The size of the length prefix of a frame.
const FRAME_HEADER_BYTES: u64 = 4;

type Labels = [(&'static str, &'static str); 2];

/// Byte counters of all connections to and from peers, opened and accepted.
#[derive(Debug, Default)]
pub(crate) struct PeerTraffic {
    /// Bytes written to the sockets.
    sent: Counter,
    /// Bytes read from the sockets.
    received: Counter,
    /// Bytes of frames by direction and component.
    parts: Family<Labels, Counter>,
}

impl PeerTraffic {
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "peer_sent_bytes",
            "Bytes written to the sockets of all connections to and from peers",
            self.sent.clone(),
        );
        registry.register(
            "peer_received_bytes",
            "Bytes read from the sockets of all connections to and from peers",
            self.received.clone(),
        );
        registry.register(
            "peer_part_bytes",
            "Bytes of frames to and from peers by direction and part",
            self.parts.clone(),
        );
    }

    /// All bytes in both directions.
    pub(crate) fn total(&self) -> u64 {
        self.sent.get() + self.received.get()
    }

    pub(super) fn count_sent(&self, frame: &PeerFrame, bytes: usize) {
        self.count("sent", frame, bytes);
    }

    pub(super) fn count_received(&self, frame: &PeerFrame, bytes: usize) {
        self.count("received", frame, bytes);
    }

    fn count(&self, direction: &'static str, frame: &PeerFrame, bytes: usize) {
        let part = frame.body.as_ref().map_or("none", PeerBody::part);
        let labels = [("direction", direction), ("part", part)];
        let bytes = bytes as u64 + FRAME_HEADER_BYTES;
        self.parts.get_or_create(&labels).inc_by(bytes);
    }
}

/// A connection that counts the bytes read and written.
#[derive(Debug)]
pub(super) struct CountedStream {
    stream: TcpStream,
    traffic: Arc<PeerTraffic>,
}

impl CountedStream {
    pub(super) fn new(stream: TcpStream, traffic: Arc<PeerTraffic>) -> Self {
        Self { stream, traffic }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - before;
        self.traffic.received.inc_by(read as u64);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.traffic.sent.inc_by(written as u64);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
