//! Sends callers' requests to targets and services, and tells answers to other requests from theirs.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use derive_more::Display;
use poem::http::HeaderMap;

use super::REQUEST_ID_HEADER;
use super::error::RunState;
use super::scope::IdHistory;
use crate::collections::FastMap;
use crate::ids::RequestId;
use crate::platform_client::{POOL_IDLE_TIMEOUT, http_client, unpooled_http_client};

/// Which connection a request is sent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum ConnectionUse {
    /// One that may have carried other requests, none of them with this id.
    #[display("kept")]
    Kept,
    /// One that carries only this request.
    #[display("new")]
    New,
}

/// Why a request got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendError {
    /// No connection was opened, so the request was not sent.
    NotConnected,
    /// The connection failed, or an answer came that is not known to be to this request.
    NoAnswer,
}

/// The HTTP clients for callers' requests.
///
/// A server may send an answer once more, late, when another request has been written to the
/// connection. Such an answer has the id of the request that it was made for, which may be under way
/// again. Therefore a kept connection carries an id at most once, and only an answer that states the
/// id of the request is accepted on it. Servers that do not state ids get a new connection for each
/// request: its first answer can only be to that request, whether it has an id or not. An answer with
/// another id is not accepted on any connection.
#[derive(Debug)]
pub(crate) struct RequestClient {
    kept: reqwest::Client,
    unpooled: reqwest::Client,
    servers: Mutex<AnsweringServers>,
}

/// What is known of the servers that have answered within [`POOL_IDLE_TIMEOUT`]. Connections to
/// all others are new anyway.
#[derive(Debug, Default)]
pub(crate) struct AnsweringServers {
    servers: FastMap<SocketAddr, (AnswerHistory, Instant)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerHistory {
    /// An answer had the id of its request, and none was rejected.
    StatesIds,
    /// An answer was not accepted. Kept connections are avoided until the idle ones have been closed,
    /// since further answers on them may be late too.
    Rejected,
}

/// The id in an answer, compared with that of the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StatedId {
    Same,
    Missing,
    /// Another id, or `None` if it is not valid.
    Other(Option<RequestId>),
}

impl SendError {
    pub(crate) fn run_state(self) -> RunState {
        match self {
            Self::NotConnected => RunState::No,
            Self::NoAnswer => RunState::Unknown,
        }
    }
}

impl RequestClient {
    pub(crate) fn new() -> Self {
        Self {
            kept: http_client(),
            unpooled: unpooled_http_client(),
            servers: Mutex::default(),
        }
    }

    fn servers(&self) -> MutexGuard<'_, AnsweringServers> {
        self.servers.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn connection_use(&self, address: SocketAddr, id: IdHistory) -> ConnectionUse {
        match id {
            IdHistory::Unsent => self.servers().connection_use(address, Instant::now()),
            IdHistory::MaybeSent => ConnectionUse::New,
        }
    }

    /// Sends the request that `build` creates, with `id` in its header.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        id: &RequestId,
        connection: ConnectionUse,
        build: impl FnOnce(&reqwest::Client) -> reqwest::RequestBuilder,
    ) -> Result<reqwest::Response, SendError> {
        let client = match connection {
            ConnectionUse::Kept => &self.kept,
            ConnectionUse::New => &self.unpooled,
        };
        let request = build(client).header(REQUEST_ID_HEADER, id.as_str());
        let reply = request
            .send()
            .await
            .map_err(|error| match error.is_connect() {
                true => SendError::NotConnected,
                false => SendError::NoAnswer,
            })?;
        let stated = StatedId::of_answer(reply.headers(), id);
        self.servers()
            .record_answer(address, &stated, connection, Instant::now());
        if stated.is_accepted(connection) {
            return Ok(reply);
        }
        let stated = match stated {
            StatedId::Other(Some(other)) => format!("the id {other}"),
            StatedId::Other(None) => "an invalid id".to_owned(),
            StatedId::Same | StatedId::Missing => "no id".to_owned(),
        };
        tracing::warn!(
            "gateway: the answer of {address} to request {id} on a {connection} connection has status \
             {} and states {stated}, so it is not accepted",
            reply.status().as_u16()
        );
        // Dropping an answer whose body was not read closes its connection.
        Err(SendError::NoAnswer)
    }
}

impl AnsweringServers {
    pub(crate) fn connection_use(&self, address: SocketAddr, now: Instant) -> ConnectionUse {
        match self.history(address, now) {
            Some(AnswerHistory::StatesIds) => ConnectionUse::Kept,
            Some(AnswerHistory::Rejected) | None => ConnectionUse::New,
        }
    }

    fn history(&self, address: SocketAddr, now: Instant) -> Option<AnswerHistory> {
        let (history, since) = self.servers.get(&address)?;
        is_recent(*since, now).then_some(*history)
    }

    pub(crate) fn record_answer(
        &mut self,
        address: SocketAddr,
        stated: &StatedId,
        connection: ConnectionUse,
        now: Instant,
    ) {
        let history = match (stated, stated.is_accepted(connection)) {
            (_, false) => AnswerHistory::Rejected,
            (StatedId::Same, true) => AnswerHistory::StatesIds,
            (_, true) => return,
        };
        let known = self.history(address, now);
        if known == Some(AnswerHistory::Rejected) && history == AnswerHistory::StatesIds {
            return;
        }
        if !self.servers.contains_key(&address) {
            self.servers.retain(|_, (_, since)| is_recent(*since, now));
        }
        self.servers.insert(address, (history, now));
    }
}

fn is_recent(since: Instant, now: Instant) -> bool {
    now.saturating_duration_since(since) <= POOL_IDLE_TIMEOUT
}

impl StatedId {
    fn of_answer(headers: &HeaderMap, id: &RequestId) -> Self {
        let mut stated = Self::Missing;
        for value in headers.get_all(REQUEST_ID_HEADER) {
            if value.as_bytes() != id.as_str().as_bytes() {
                let text = value.to_str().ok();
                return Self::Other(text.and_then(|text| text.parse().ok()));
            }
            stated = Self::Same;
        }
        stated
    }

    fn is_accepted(&self, connection: ConnectionUse) -> bool {
        match self {
            Self::Same => true,
            Self::Missing => connection == ConnectionUse::New,
            Self::Other(_) => false,
        }
    }
}
