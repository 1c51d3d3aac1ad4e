//! Calls to a target's control interface.
//!
//! Nothing in an answer states which call it answers, and a target may send an answer once more, when
//! a later call on the connection is under way.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::http_call::{CallError, ClientConnection, HttpClient, HttpRequest, HttpResponse};
use super::response_memory::ResponseMemory;
use crate::dispatch::load_order::{OrderAnswer, OrderKind};
use crate::dispatch::load_planner::MAX_CONCURRENT_LOADS;
use crate::platform::engine_calls::decode_order_answer;

/// The time limit of a call, which a target normally answers within a few milliseconds. A report
/// fetched after this time is newer than the order. An order without an answer may still be
/// executed.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// A client for one target, which makes each call on a connection of its own. Only the repeats of a
/// load that is in progress share one: the copies that may arrive there state what is known already.
#[derive(Debug)]
pub(crate) struct OrderClient {
    http: HttpClient,
    /// The connections of adapters' loads in progress, the oldest first. On each, only this order was
    /// sent and every answer was [`OrderAnswer::Accepted`].
    load_connections: Vec<(OrderKind, ClientConnection)>,
}

impl OrderClient {
    /// Creates a client whose responses are held in `memory`.
    pub(crate) fn new(address: SocketAddr, memory: &Arc<ResponseMemory>) -> Self {
        Self {
            http: HttpClient::new(address, memory),
            load_connections: Vec::new(),
        }
    }

    pub(crate) async fn fetch_report(
        &mut self,
        request: &HttpRequest,
    ) -> Result<HttpResponse, CallError> {
        let (response, _) = self.http.call_on(None, request, CALL_TIMEOUT).await?;
        Ok(response)
    }

    /// Sends an order. `in_progress` states that the target has accepted it before and that it is not
    /// known to be complete.
    pub(crate) async fn send_order(
        &mut self,
        kind: &OrderKind,
        in_progress: bool,
        request: &HttpRequest,
    ) -> Result<HttpResponse, CallError> {
        let mut connections = self.load_connections.iter();
        let index = connections.position(|(load, _)| load == kind);
        let kept = index.map(|index| self.load_connections.remove(index).1);
        let kept = kept.filter(|_| in_progress);
        let (response, connection) = self.http.call_on(kept, request, CALL_TIMEOUT).await?;
        let is_load = matches!(kind, OrderKind::LoadAdapter { .. });
        let is_accepted = decode_order_answer(response.head.status) == OrderAnswer::Accepted;
        if let (Some(connection), true) = (connection, is_load && is_accepted) {
            if self.load_connections.len() >= MAX_CONCURRENT_LOADS {
                self.load_connections.remove(0);
            }
            self.load_connections.push((kind.clone(), connection));
        }
        Ok(response)
    }
}
