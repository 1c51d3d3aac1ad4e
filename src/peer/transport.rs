//! Connections between entry VMs, each with many concurrent calls in length-delimited frames.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::traffic::CountedStream;
use super::{PeerBody, PeerFrame, PeerTraffic};
use crate::collections::FastMap;

/// The size of the largest frame. Handovers and configuration parts stay below it.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// How long a connection attempt to a peer may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The number of frames queued for a slow peer above which calls to it fail.
const SEND_QUEUE_FRAMES: usize = 4096;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub(crate) enum CallError {
    /// The request was not sent.
    #[display("peer is unreachable")]
    Unreachable,
    /// The request may have been handled.
    #[display("peer did not answer in time or closed the connection")]
    NoAnswer,
}

type PendingCalls = Arc<Mutex<FastMap<u64, oneshot::Sender<PeerBody>>>>;

#[derive(Debug, Clone)]
struct PeerConnection {
    sender: mpsc::Sender<PeerFrame>,
    pending: PendingCalls,
}

/// Calls peers over one persistent connection to each.
#[derive(Debug, Default)]
pub(crate) struct PeerClient {
    connections: tokio::sync::Mutex<FastMap<SocketAddr, PeerConnection>>,
    next_call: AtomicU64,
    traffic: Arc<PeerTraffic>,
}

impl PeerClient {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// The bytes of all connections to and from peers.
    pub(crate) fn traffic(&self) -> &Arc<PeerTraffic> {
        &self.traffic
    }

    /// Sends a request to the peer at `address` and waits for the answer.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        body: PeerBody,
        limit: Duration,
    ) -> Result<PeerBody, CallError> {
        let connection = self.connection(address).await?;
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
        let (answer, answered) = oneshot::channel();
        lock(&connection.pending).insert(call, answer);
        let frame = PeerFrame {
            call,
            reply: false,
            body: Some(body),
        };
        if connection.sender.try_send(frame).is_err() {
            lock(&connection.pending).remove(&call);
            return Err(CallError::Unreachable);
        }
        match timeout(limit, answered).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(_)) => Err(CallError::NoAnswer),
            Err(_) => {
                lock(&connection.pending).remove(&call);
                Err(CallError::NoAnswer)
            }
        }
    }

    async fn connection(&self, address: SocketAddr) -> Result<PeerConnection, CallError> {
        if let Some(connection) = self.existing_connection(address).await {
            return Ok(connection);
        }
        // No lock is held while connecting, so that an unreachable peer does not delay calls to
        // other peers.
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| CallError::Unreachable)?;
        let stream = stream.map_err(|_| CallError::Unreachable)?;
        if let Some(connection) = self.existing_connection(address).await {
            return Ok(connection);
        }
        let connection = self.start_connection(stream);
        let mut connections = self.connections.lock().await;
        connections.insert(address, connection.clone());
        Ok(connection)
    }

    async fn existing_connection(&self, address: SocketAddr) -> Option<PeerConnection> {
        let connections = self.connections.lock().await;
        let existing = connections.get(&address);
        let existing = existing.filter(|connection| !connection.sender.is_closed());
        existing.cloned()
    }

    fn start_connection(&self, stream: TcpStream) -> PeerConnection {
        let _ = stream.set_nodelay(true);
        let (sender, receiver) = mpsc::channel(SEND_QUEUE_FRAMES);
        let pending = PendingCalls::default();
        let connection = PeerConnection {
            sender,
            pending: Arc::clone(&pending),
        };
        let traffic = Arc::clone(&self.traffic);
        tokio::spawn(async move {
            run_client(stream, receiver, &pending, &traffic).await;
            lock(&pending).clear();
        });
        connection
    }
}

async fn run_client(
    stream: TcpStream,
    mut receiver: mpsc::Receiver<PeerFrame>,
    pending: &PendingCalls,
    traffic: &Arc<PeerTraffic>,
) {
    let mut framed = framed(stream, traffic);
    loop {
        tokio::select! {
            frame = receiver.recv() => {
                let Some(frame) = frame else { return };
                let bytes = Bytes::from(frame.encode_to_vec());
                traffic.count_sent(&frame, bytes.len());
                if framed.send(bytes).await.is_err() {
                    return;
                }
            }
            bytes = framed.next() => {
                let Some(Ok(bytes)) = bytes else { return };
                let length = bytes.len();
                let Ok(frame) = PeerFrame::decode(bytes) else { return };
                traffic.count_received(&frame, length);
                let waiter = lock(pending).remove(&frame.call);
                if let (Some(waiter), Some(body)) = (waiter, frame.body) {
                    let _ = waiter.send(body);
                }
            }
        }
    }
}

/// Handles the requests of peers.
pub(crate) trait PeerHandler: Send + Sync + 'static {
    /// Handles one request. With `None` no reply is sent.
    fn handle(&self, body: PeerBody) -> impl Future<Output = Option<PeerBody>> + Send;
}

/// Accepts connections from peers.
#[derive(Debug)]
pub(crate) struct PeerServer {
    listener: TcpListener,
    traffic: Arc<PeerTraffic>,
}

impl PeerServer {
    pub(crate) fn new(listener: TcpListener, traffic: Arc<PeerTraffic>) -> Self {
        Self { listener, traffic }
    }

    /// Serves peers until the future is dropped.
    pub(crate) async fn run<H: PeerHandler>(self, handler: Arc<H>) {
        let mut connections = tokio::task::JoinSet::new();
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    let (handler, traffic) = (Arc::clone(&handler), Arc::clone(&self.traffic));
                    connections.spawn(serve_connection(stream, handler, traffic));
                }
                Err(error) => {
                    tracing::warn!("peer: accepting a connection failed: {error}");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
            while connections.try_join_next().is_some() {}
        }
    }
}

async fn serve_connection<H: PeerHandler>(
    stream: TcpStream,
    handler: Arc<H>,
    traffic: Arc<PeerTraffic>,
) {
    let _ = stream.set_nodelay(true);
    let mut framed = framed(stream, &traffic);
    let (sender, mut replies) = mpsc::channel::<PeerFrame>(SEND_QUEUE_FRAMES);
    loop {
        tokio::select! {
            reply = replies.recv() => {
                let Some(reply) = reply else { return };
                let bytes = Bytes::from(reply.encode_to_vec());
                traffic.count_sent(&reply, bytes.len());
                if framed.send(bytes).await.is_err() {
                    return;
                }
            }
            bytes = framed.next() => {
                let Some(Ok(bytes)) = bytes else { return };
                let length = bytes.len();
                let Ok(frame) = PeerFrame::decode(bytes) else { return };
                traffic.count_received(&frame, length);
                let Some(body) = frame.body else { continue };
                let (handler, sender) = (Arc::clone(&handler), sender.clone());
                tokio::spawn(async move {
                    let body = handler.handle(body).await;
                    if body.is_some() {
                        let _ = sender.send(PeerFrame { call: frame.call, reply: true, body }).await;
                    }
                });
            }
        }
    }
}

fn framed(
    stream: TcpStream,
    traffic: &Arc<PeerTraffic>,
) -> Framed<CountedStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    Framed::new(CountedStream::new(stream, Arc::clone(traffic)), codec)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}
