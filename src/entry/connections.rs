//! A pool of idle connections to targets.

use std::cell::{Cell, RefCell};
use std::hash::BuildHasher;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;
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
/// The requests after which a connection is closed, which bounds the memory of their ids.
const MAX_REQUESTS_PER_CONNECTION: usize = 256;

/// Identifies a connection in the logs of this process.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, derive_more::Display, derive_more::FromStr,
)]
pub(crate) struct ConnectionNumber(u64);

/// The ids of the requests that were sent on a connection, as hashes.
#[derive(Debug, Default)]
pub(crate) struct SentIds {
    /// In the order of the requests. None occurs twice.
    hashes: Vec<u64>,
}

impl SentIds {
    fn hash(id: &RequestId) -> u64 {
        rustc_hash::FxBuildHasher.hash_one(id.as_str())
    }

    /// Whether the id was sent. Equal hashes of two ids cost a new connection.
    fn contains(&self, id: &RequestId) -> bool {
        self.hashes.contains(&Self::hash(id))
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
    /// An id is sent at most once on a connection. A target may send a response once more, late, and
    /// its copy has the id of the request, so that the id tells it only from other requests' responses.
    sent_ids: SentIds,
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

impl TargetConnection {
    /// Records that the request `id` is about to be sent.
    pub(crate) fn begin_request(&mut self, id: &RequestId) {
        debug_assert!(
            !self.sent_ids.contains(id),
            "an id is sent at most once on a connection"
        );
        self.sent_ids.hashes.push(SentIds::hash(id));
        self.in_use = true;
    }

    /// The number of requests that were sent.
    pub(crate) fn requests(&self) -> usize {
        self.sent_ids.hashes.len()
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

/// Registers the counter for [`ConnectionPool::with_repeated_ids`].
pub(super) fn register_repeated_ids(registry: &mut Registry) -> Counter {
    let counter = Counter::default();
    registry.register(
        "entry_repeated_ids",
        "Requests that got no idle connection because one or more had carried their id",
        counter.clone(),
    );
    counter
}

/// The idle connections of this VM. The most recently used one is taken first.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    /// The largest number of connections, idle or in use.
    max_open: usize,
    open: Rc<Cell<usize>>,
    last_number: Cell<u64>,
    /// Requests that got no idle connection because one or more had carried their id.
    repeated_ids: Counter,
    idle: RefCell<FastMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    pub(crate) fn new(max_open: usize) -> Self {
        Self {
            max_open,
            open: Rc::default(),
            last_number: Cell::default(),
            repeated_ids: Counter::default(),
            idle: RefCell::default(),
        }
    }

    pub(crate) fn with_repeated_ids(mut self, counter: Counter) -> Self {
        self.repeated_ids = counter;
        self
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

    /// Returns an idle connection that is still open, has received nothing and has not carried the
    /// request `id`.
    pub(crate) fn take_idle(
        &self,
        address: SocketAddr,
        id: &RequestId,
        now: Timestamp,
    ) -> Option<TargetConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let mut passed_over = false;
        for index in (0..connections.len()).rev() {
            if connections[index].connection.sent_ids.contains(id) {
                passed_over = true;
                continue;
            }
            let mut entry = connections.remove(index);
            let connection = &mut entry.connection;
            if now < entry.expires_at && connection.buffer.is_idle(&connection.stream) {
                return Some(entry.connection);
            }
        }
        if passed_over {
            self.repeated_ids.inc();
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
        if connection.requests() >= MAX_REQUESTS_PER_CONNECTION {
            return;
        }
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
