//! A pool of idle connections to targets.

use std::cell::{Cell, RefCell};
use std::hash::BuildHasher;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;

use super::http::ReadBuffer;
use super::sockets::connect;
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::ids::RequestId;

/// How long a connection is kept if the target states no idle timeout. Targets close idle
/// connections after a few seconds at the earliest.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(2500);
/// The fraction of a stated idle timeout for which a connection is reused. A request that crosses
/// the target's close on the network may have run.
const IDLE_FRACTION: f64 = 0.6;
const MAX_IDLE_PER_TARGET: usize = 24;

/// Identifies a connection in the logs of this process.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, derive_more::Display, derive_more::FromStr,
)]
pub(crate) struct ConnectionNumber(u64);

/// The ids of the requests that were sent on a connection.
#[derive(Debug, Default)]
pub(crate) struct SentIds {
    /// Hashes of the ids, in the order of the requests.
    hashes: Vec<u64>,
}

impl SentIds {
    fn hash(id: &RequestId) -> u64 {
        rustc_hash::FxBuildHasher.hash_one(id.as_str())
    }

    /// The number of requests that were sent.
    pub(crate) fn len(&self) -> usize {
        self.hashes.len()
    }

    /// Records a request that is about to be sent. Returns whether its id was sent before.
    pub(crate) fn record(&mut self, id: &RequestId) -> bool {
        let hash = Self::hash(id);
        let is_repeated = self.hashes.contains(&hash);
        self.hashes.push(hash);
        is_repeated
    }
}

#[derive(Debug)]
pub(crate) struct TargetConnection {
    pub(crate) number: ConnectionNumber,
    pub(crate) stream: TcpStream,
    pub(crate) buffer: ReadBuffer,
    /// Whether an earlier request was sent on this connection.
    pub(crate) reused: bool,
    /// The target responded before the whole request was sent and still expects the rest of it.
    pub(crate) request_unfinished: bool,
    /// Whether a request was sent whose response has not been read completely.
    pub(crate) in_use: bool,
    pub(crate) sent_ids: SentIds,
    _open: OpenSocket,
}

/// Counts a connection until it is closed.
#[derive(Debug)]
struct OpenSocket(Rc<Cell<usize>>);

impl OpenSocket {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for OpenSocket {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Drop for TargetConnection {
    /// Resets the connection of a request that is given up. After a normal close the target could
    /// take the request for one whose caller still reads, and learns otherwise only when it has
    /// written twice.
    fn drop(&mut self) {
        if self.in_use {
            let _ = self.stream.set_zero_linger();
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: TargetConnection,
    expires_at: Timestamp,
}

/// The idle connections of this VM. The most recently used one is taken first.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    /// The largest number of connections, idle or in use.
    max_open: usize,
    open: Rc<Cell<usize>>,
    last_number: Cell<u64>,
    idle: RefCell<FastMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    pub(crate) fn new(max_open: usize) -> Self {
        Self {
            max_open,
            open: Rc::default(),
            last_number: Cell::default(),
            idle: RefCell::default(),
        }
    }

    /// Closes an idle connection, the one that would expire first.
    fn close_one_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let first_to_expire = |connections: &Vec<IdleConnection>| {
            let times = connections.iter().map(|entry| entry.expires_at);
            times.min()
        };
        let found = idle
            .iter()
            .filter_map(|(address, connections)| Some((first_to_expire(connections)?, *address)))
            .min();
        let Some((expires_at, address)) = found else {
            return;
        };
        if let Some(connections) = idle.get_mut(&address)
            && let Some(index) =
                (connections.iter()).position(|entry| entry.expires_at == expires_at)
        {
            connections.remove(index);
        }
    }

    /// Returns an idle connection that is still open and has received nothing.
    pub(crate) fn take_idle(
        &self,
        address: SocketAddr,
        now: Timestamp,
    ) -> Option<TargetConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(mut entry) = connections.pop() {
            let connection = &mut entry.connection;
            if now < entry.expires_at && connection.buffer.is_idle(&connection.stream) {
                return Some(entry.connection);
            }
        }
        None
    }

    pub(crate) async fn open(&self, address: SocketAddr) -> io::Result<TargetConnection> {
        if self.open.get() >= self.max_open {
            self.close_one_idle();
        }
        let open = OpenSocket::new(&self.open);
        let stream = connect(address).await?;
        self.last_number.set(self.last_number.get() + 1);
        Ok(TargetConnection {
            _open: open,
            number: ConnectionNumber(self.last_number.get()),
            stream,
            buffer: ReadBuffer::default(),
            reused: false,
            request_unfinished: false,
            in_use: false,
            sent_ids: SentIds::default(),
        })
    }

    /// Adds a connection whose last response was read completely.
    pub(crate) fn put_idle(
        &self,
        address: SocketAddr,
        mut connection: TargetConnection,
        idle_timeout: Option<Duration>,
        now: Timestamp,
    ) {
        if !connection.buffer.is_empty() || connection.request_unfinished {
            return;
        }
        connection.reused = true;
        connection.in_use = false;
        let idle_time = idle_timeout.map_or(DEFAULT_IDLE_TIME, |time| time.mul_f64(IDLE_FRACTION));
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() >= MAX_IDLE_PER_TARGET {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            connection,
            expires_at: now + idle_time,
        });
    }

    /// Closes the connections whose idle time has passed.
    pub(crate) fn close_expired(&self, now: Timestamp) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|entry| now < entry.expires_at);
            !connections.is_empty()
        });
    }
}
