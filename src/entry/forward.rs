//! Forwards requests to a peer that reaches the targets from which this VM is cut off.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;

use super::admission::{AdmittedRequest, Refusal, RefusedRequest, refuse};
use super::callers::CallerWriter;
use super::connections::TargetConnection;
use super::exchange::exchange;
use super::http::HttpError;
use super::relay::{RelayOutcome, RelayProgress, relay_response};
use super::request::{DEADLINE_GRACE, DEFAULT_RETRY_AFTER, RequestOutcome};
use super::response_memory::ResponseReservation;
use super::shared::EntryShared;
use crate::platform::headers::encode_forwarded_request;

/// The time in which a peer accepts a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Peers that are tried, if they accept no connection.
const MAX_PEERS: usize = 2;

/// Whether a peer is to serve a request that no target has got, since this VM is cut off from them.
pub(super) fn is_to_be_forwarded(shared: &EntryShared, request: &AdmittedRequest<'_>) -> bool {
    let now = shared.clock.now();
    request.may_be_forwarded()
        && !request.time_left(now).is_zero()
        && shared.state.borrow().is_cut_off(&request.service, now)
}

/// Lets a peer serve a request, or rejects it.
pub(super) async fn forward_or_refuse(
    shared: &EntryShared,
    request: &AdmittedRequest<'_>,
    mut progress: RelayProgress,
    writer: &mut impl CallerWriter,
    close: bool,
) -> RequestOutcome {
    match forward_request(shared, request, &mut progress, writer).await {
        Ok(outcome) => outcome,
        Err(_) if progress.has_started() => RequestOutcome::Incomplete,
        Err(refusal) => {
            let refused = RefusedRequest::new(&request.caller.head).with_id(request.id());
            refuse(shared, refused, writer, refusal, close).await
        }
    }
}

/// Lets a peer serve a request that no target has got from this VM. The peer checks and charges it, and
/// forwards it no further.
async fn forward_request(
    shared: &EntryShared,
    request: &AdmittedRequest<'_>,
    progress: &mut RelayProgress,
    writer: &mut impl CallerWriter,
) -> Result<RequestOutcome, Refusal> {
    let peers = {
        let state = shared.state.borrow();
        state.ways_to(&request.service, shared.clock.now())
    };
    for peer in peers.sample(&mut rand::rng(), MAX_PEERS) {
        let opening = shared.connections.open(*peer);
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, opening).await;
        let Ok(Ok(mut connection)) = opened else {
            tracing::info!(
                request = %request.id(), %peer, "forward: the peer accepts no connection"
            );
            continue;
        };
        shared.metrics.record_forward(&request.route.name);
        connection.begin_request(request.id());
        // The peer ends the request at its deadline itself.
        let limit = request.time_left(shared.clock.now()) + DEADLINE_GRACE * 2;
        let relaying = relay_from_peer(shared, request, &mut connection, progress, writer);
        let relayed = tokio::time::timeout(limit, relaying).await;
        let outcome = match relayed {
            Ok(Ok(RelayOutcome::Complete)) => {
                connection.in_use = false;
                Ok(RequestOutcome::Complete)
            }
            Ok(Ok(RelayOutcome::CallerDisconnected)) => Ok(RequestOutcome::Incomplete),
            Ok(Ok(RelayOutcome::TargetFailed(error)) | Err(error)) => {
                tracing::warn!(request = %request.id(), %peer, %error, "forward: no whole answer");
                Err(Refusal::new(502, "the peer gave no whole answer"))
            }
            Err(_) => Err(Refusal::new(504, "the time for the request has passed")),
        };
        log_forward(shared, request, *peer, &outcome);
        return outcome;
    }
    Err(Refusal::unavailable(
        "neither a target nor a peer can be reached",
        DEFAULT_RETRY_AFTER,
    ))
}

async fn relay_from_peer(
    shared: &EntryShared,
    request: &AdmittedRequest<'_>,
    connection: &mut TargetConnection,
    progress: &mut RelayProgress,
    writer: &mut impl CallerWriter,
) -> Result<RelayOutcome, HttpError> {
    let (head, body) = (&request.caller.head, &request.caller.body);
    let time_left = request.time_left(shared.clock.now());
    let mut bytes = encode_forwarded_request(head, body.len(), time_left);
    bytes.extend_from_slice(body);
    let mut reservation = ResponseReservation::new(&shared.target_memory);
    let (id, method) = (request.id(), &head.method);
    let response = exchange(connection, &bytes, id, method, &mut reservation).await?;
    let framing = response.framing(method)?;
    progress.begin_response(false, !request.route.kind.is_stream());
    let relayed = relay_response(
        &response,
        framing,
        connection,
        progress,
        writer,
        &mut reservation,
        || {},
    );
    Ok(relayed.await)
}

fn log_forward(
    shared: &EntryShared,
    request: &AdmittedRequest<'_>,
    peer: SocketAddr,
    outcome: &Result<RequestOutcome, Refusal>,
) {
    let took = shared.clock.now().since(request.caller.arrived);
    let outcome = match outcome {
        Ok(RequestOutcome::Complete) => "answered",
        Ok(RequestOutcome::Incomplete) => "caller_gone",
        Err(refusal) => refusal.reason,
    };
    tracing::info!(
        request = %request.id(), route = request.route.name, service = %request.service, %peer,
        took_ms = took.as_millis() as u64, outcome, "request: forwarded"
    );
}
