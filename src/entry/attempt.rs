//! A single attempt to run a request on one target.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;

use super::admission::AdmittedRequest;
use super::callers::CallerWriter;
use super::checkout::{checkout_connection, record_unreachable};
use super::connections::TargetConnection;
use super::exchange::exchange;
use super::http::{BodyFraming, HttpError, ResponseHead};
use super::leaving::record_leaving;
use super::reach;
use super::relay::{RelayOutcome, RelayProgress, relay_response};
use super::reservations::TargetReservation;
use super::response_body::read_body;
use super::response_memory::ResponseReservation;
use super::shared::EntryShared;
use super::stream_records::{record_stream_end, record_stream_start};
use super::suspects::{record_answer, record_crash};
use super::target_rates::{apply_requested_pause, record_stated_rate};
use super::usage_start::StartCount;
use crate::clock::Timestamp;
use crate::dispatch::directory::TargetKey;
use crate::dispatch::routing::RouteKind;
use crate::platform::headers::{
    MISDIRECTED, TargetHeaders, encode_request, has_seal, is_not_run, promises_not_run,
    requested_pause, responding_target_id, states_leaving,
};

/// A retryable request goes to another target when no response arrives within this multiple of the
/// route's latency target. By then it is late, but the caller still waits.
const RESPONSE_TIMEOUT_FACTOR: u32 = 3;

/// A target's server error response, as it would be sent to the caller.
#[derive(Debug)]
pub(crate) struct FailedResponse {
    pub(crate) bytes: Vec<u8>,
    /// The memory of the response.
    _reservation: ResponseReservation,
}

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The caller received the complete response.
    Complete,
    CallerDisconnected,
    /// Nothing was sent to the target.
    NotSent,
    /// Nothing was sent, because the target is cold and the permit has ended meanwhile.
    PermitEnded,
    /// The target stated that it did not run the request.
    NotRun,
    /// The target responded with a server error, and another target may succeed.
    Failed(FailedResponse),
    /// The target may have run the request, but there is no complete response.
    Incomplete,
}

/// Sends a request to the reserved target and relays the response. Sets `sent_at` as soon as the
/// target may run the request.
pub(crate) async fn send_to_target(
    shared: &EntryShared,
    request: &AdmittedRequest<'_>,
    reservation: &TargetReservation<'_>,
    progress: &mut RelayProgress,
    writer: &mut impl CallerWriter,
    sent_at: &mut Option<Timestamp>,
) -> AttemptOutcome {
    let prepared = prepare_attempt(shared, request, reservation, progress, writer).await;
    let (mut attempt, bytes) = match prepared {
        Ok(prepared) => prepared,
        Err(outcome) => return outcome,
    };
    *sent_at = Some(shared.clock.now());
    attempt.record_send();
    progress.begin_attempt();
    let start = StartCount::new(shared, request, progress.last_event_id().is_some());
    let head = tokio::select! {
        biased;
        head = attempt.exchange(&bytes) => head,
        () = wait_until_version_ends(shared, request, reservation) => {
            Err(HttpError::Malformed("not begun while the adapter's version may be used"))
        }
    };
    let head = match head {
        Ok(head) => head,
        Err(error) => {
            start.record_no_response(attempt.connection.reused);
            return attempt.record_incomplete(&error, progress);
        }
    };
    if is_not_run(&head) {
        start.record_refused();
        return attempt.handle_refusal(head).await;
    }
    let framing = match attempt.check_head(&head, progress) {
        Ok(framing) => framing,
        Err(error) => return attempt.record_incomplete(&error, progress),
    };
    let buffered = !request.route.kind.is_stream();
    if head.status >= 500 && reservation.retry_on_failure {
        return attempt.handle_failure(&head, framing, progress).await;
    }
    progress.begin_response(request.route.kind == RouteKind::ResumableStream, buffered);
    let relayed = relay_response(
        &head,
        framing,
        &mut attempt.connection,
        progress,
        writer,
        &mut attempt.reservation,
        || record_answer_start(shared, request, reservation, &start, head.status),
    );
    match relayed.await {
        RelayOutcome::Complete => {
            attempt.connection.in_use = false;
            record_stream_end(shared, request);
            attempt.record_response(&head);
            attempt.reuse_connection(&head, framing);
            AttemptOutcome::Complete
        }
        RelayOutcome::CallerDisconnected => AttemptOutcome::CallerDisconnected,
        RelayOutcome::TargetFailed(error) => attempt.record_incomplete(&error, progress),
    }
}

/// Records that the target has begun to answer.
fn record_answer_start(
    shared: &EntryShared,
    request: &AdmittedRequest<'_>,
    reservation: &TargetReservation<'_>,
    start: &StartCount<'_>,
    status: u16,
) {
    record_answer(shared, request);
    start.record_answer(status);
    record_stream_start(shared, request, reservation, status);
}

/// Connects to the target and encodes the request, or returns why it is not sent.
async fn prepare_attempt<'a>(
    shared: &'a EntryShared,
    request: &'a AdmittedRequest<'a>,
    reservation: &TargetReservation<'_>,
    progress: &RelayProgress,
    writer: &impl CallerWriter,
) -> Result<(TargetAttempt<'a>, BytesMut), AttemptOutcome> {
    let target = reservation.target;
    let address = shared.target_address(target);
    let address = address.ok_or(AttemptOutcome::NotSent)?;
    let connection = checkout_connection(shared, request, reservation, address).await;
    let connection = connection.ok_or(AttemptOutcome::NotSent)?;
    let now = shared.clock.now();
    if !is_permitted(shared, reservation, now) {
        shared.connections.put_idle(address, connection, None, now);
        return Err(AttemptOutcome::PermitEnded);
    }
    let encoded = encode_for_target(shared, request, reservation, progress, now);
    let (bytes, started_ms) = encoded.ok_or(AttemptOutcome::NotSent)?;
    if writer.is_disconnected() {
        shared.connections.put_idle(address, connection, None, now);
        return Err(AttemptOutcome::CallerDisconnected);
    }
    let attempt = TargetAttempt {
        shared,
        request,
        target,
        address,
        connection,
        started_ms,
        sent_at: now,
        reservation: ResponseReservation::new(&shared.target_memory),
    };
    Ok((attempt, bytes))
}

/// Waits until a request may no longer begin on the version of its adapter on the target, because the
/// operator has set a newer one.
async fn wait_until_version_ends(
    shared: &EntryShared,
    request: &AdmittedRequest<'_>,
    reservation: &TargetReservation<'_>,
) {
    let adapter = request.headers.adapter.as_ref();
    let Some((adapter, version)) = adapter.zip(reservation.version) else {
        return std::future::pending().await;
    };
    loop {
        let version_set = shared.version_set.notified();
        let limit = shared
            .state
            .borrow()
            .residency
            .begin_limit(adapter, version);
        let Some(limit) = limit else {
            version_set.await;
            continue;
        };
        let left = limit.since(shared.clock.now());
        if left.is_zero() {
            return;
        }
        let _ = tokio::time::timeout(left, version_set).await;
    }
}

/// Whether the target may get the request: it is warm, or the permit is still valid.
fn is_permitted(shared: &EntryShared, reservation: &TargetReservation<'_>, now: Timestamp) -> bool {
    let state = shared.state.borrow();
    let entry = state.directory.get(reservation.target);
    let is_cold = entry.is_some_and(|entry| entry.is_cold(now));
    let permit = reservation.permit;
    !is_cold || permit.is_some_and(|permit| permit.is_valid(now))
}

/// Encodes the request for the target. Returns it with the start of the target's process, or `None`
/// if the target is no longer available, if the version of the adapter on it may no longer be used,
/// or if the caller's key is no longer accepted or the configuration too old to tell.
fn encode_for_target(
    shared: &EntryShared,
    request: &AdmittedRequest<'_>,
    reservation: &TargetReservation<'_>,
    progress: &RelayProgress,
    now: Timestamp,
) -> Option<(BytesMut, u64)> {
    let state = shared.state.borrow();
    let entry = state.directory.get(reservation.target)?;
    // The request may have waited, or been refused by a target, since its key was checked.
    let key_trusted = request.account.is_none()
        || (state.is_config_fresh(now) && state.accepts_key(request.headers.key.as_deref()));
    let paused = !entry.pause_left(now).is_zero();
    let adapter = request.headers.adapter.as_ref();
    let is_usable = adapter
        .zip(reservation.version)
        .is_none_or(|(adapter, version)| state.residency.is_usable(adapter, version, now));
    if !key_trusted || !is_usable || paused || !state.directory.is_open(entry, now) {
        return None;
    }
    let body = &request.caller.body;
    let headers = TargetHeaders {
        target: &entry.name,
        account: request.account.as_ref(),
        time_left: request.time_left(now),
        adapter_version: reservation.version,
        priority: state.engine_of(&request.service).map(|_| request.priority),
        last_event: progress.last_event_id(),
    };
    let mut bytes = encode_request(&request.caller.head, body.len(), &headers);
    bytes.extend_from_slice(body);
    Some((bytes, entry.report.started_ms))
}

struct TargetAttempt<'a> {
    shared: &'a EntryShared,
    request: &'a AdmittedRequest<'a>,
    target: TargetKey,
    address: SocketAddr,
    connection: TargetConnection,
    /// The start of the target's process, as Unix time in milliseconds.
    started_ms: u64,
    /// When the request was sent.
    sent_at: Timestamp,
    /// The memory of the response.
    reservation: ResponseReservation,
}

impl TargetAttempt<'_> {
    /// Records that the target may get the request from now on.
    fn record_send(&mut self) {
        self.sent_at = self.shared.clock.now();
        self.connection.begin_request(self.request.id());
    }

    /// Sends the request and reads the head of its response.
    async fn exchange(&mut self, bytes: &[u8]) -> Result<ResponseHead, HttpError> {
        let route = &self.request.route;
        let exchange = exchange(
            &mut self.connection,
            bytes,
            self.request.id(),
            &self.request.caller.head.method,
            &mut self.reservation,
        );
        let limit = if route.kind.is_retryable() && route.max_attempts > 1 {
            (route.latency_target * RESPONSE_TIMEOUT_FACTOR).min(route.timeout / 2)
        } else {
            Duration::MAX
        };
        let service = &self.request.service;
        let exchange = reach::note_silence(self.shared, service, exchange);
        let head =
            tokio::time::timeout(limit, exchange)
                .await
                .unwrap_or(Err(HttpError::Malformed(
                    "no response within the time limit of an attempt",
                )))?;
        reach::record_answer(self.shared, service);
        if states_leaving(&head) {
            record_leaving(self.shared, self.target, self.started_ms, "request");
        }
        apply_requested_pause(self.shared, self.target, &head);
        record_stated_rate(
            self.shared,
            self.target,
            self.started_ms,
            self.sent_at,
            &head,
        );
        Ok(head)
    }

    /// Checks that a response may be passed on, and returns the framing of its body.
    fn check_head(
        &self,
        head: &ResponseHead,
        progress: &RelayProgress,
    ) -> Result<BodyFraming, HttpError> {
        let success = (200..300).contains(&head.status);
        if success && !has_seal(head) {
            return Err(HttpError::Malformed(
                "a success response without the target's seal",
            ));
        }
        if promises_not_run(head) && !self.request.route.kind.is_retryable() {
            // Callers would send the request again.
            return Err(HttpError::Malformed(
                "a refusal that does not state that the request did not run",
            ));
        }
        if progress.has_started() && !success {
            // The caller has received the head and part of another response, which an error
            // response can't follow.
            return Err(HttpError::Malformed(
                "an error response instead of the rest of a stream",
            ));
        }
        head.framing(&self.request.caller.head.method)
    }

    /// The time since the request was sent, in milliseconds.
    fn sent_ms(&self) -> u64 {
        self.shared.clock.now().since(self.sent_at).as_millis() as u64
    }

    /// Handles a response that states that the request did not run.
    async fn handle_refusal(self, head: ResponseHead) -> AttemptOutcome {
        let (shared, target) = (self.shared, self.target);
        let name = shared.target_name(target);
        tracing::info!(
            request = %self.request.id(), target = name, status = head.status,
            connection = %self.connection.number, requests = self.connection.requests(),
            after_ms = self.sent_ms(),
            load = shared.state.borrow().load(target),
            pause_ms = requested_pause(&head).map(|pause| pause.as_millis() as u64),
            "attempt: the target refused the request"
        );
        if head.status == MISDIRECTED {
            let from_other_target = responding_target_id(&head).is_some_and(|id| id != name);
            match &self.request.headers.adapter {
                Some(adapter) if !from_other_target => shared
                    .state
                    .borrow_mut()
                    .mark_adapter_absent(target, adapter),
                _ => record_unreachable(shared, target),
            }
        }
        self.reuse_after_refusal(&head).await;
        AttemptOutcome::NotRun
    }

    /// Reads the body of a refusal so that the connection can be reused.
    async fn reuse_after_refusal(mut self, head: &ResponseHead) {
        /// Refusals are short. Reading a longer one costs more than a new connection.
        const MAX_BODY_BYTES: usize = 4096;
        /// The body directly follows its head.
        const BODY_TIMEOUT: Duration = Duration::from_millis(20);
        let (Ok(framing), true) = (head.framing("GET"), head.keeps_alive()) else {
            return;
        };
        let TargetConnection { stream, buffer, .. } = &mut self.connection;
        let reservation = &mut self.reservation;
        let body = read_body(stream, buffer, framing, MAX_BODY_BYTES, reservation);
        if let Ok(Ok(_)) = tokio::time::timeout(BODY_TIMEOUT, body).await {
            self.reuse_connection(head, framing);
        }
    }

    /// Reads a server error response completely, to be sent if no other target succeeds.
    async fn handle_failure(
        mut self,
        head: &ResponseHead,
        framing: BodyFraming,
        progress: &RelayProgress,
    ) -> AttemptOutcome {
        let mut response = Vec::new();
        let mut failure_progress = progress.detached();
        let relayed = relay_response(
            head,
            framing,
            &mut self.connection,
            &mut failure_progress,
            &mut response,
            &mut self.reservation,
            || record_answer(self.shared, self.request),
        );
        if let RelayOutcome::TargetFailed(error) = relayed.await {
            return self.record_incomplete(&error, progress);
        }
        tracing::info!(
            request = %self.request.id(), target = self.shared.target_name(self.target),
            status = head.status, connection = %self.connection.number,
            after_ms = self.sent_ms(),
            "attempt: the target responded with a server error"
        );
        self.record_response(head);
        let memory = &self.shared.target_memory;
        let empty = ResponseReservation::new(memory);
        let failed = FailedResponse {
            bytes: response,
            _reservation: std::mem::replace(&mut self.reservation, empty),
        };
        self.reuse_connection(head, framing);
        AttemptOutcome::Failed(failed)
    }

    /// Returns the connection to the pool unless the target closes it.
    fn reuse_connection(self, head: &ResponseHead, framing: BodyFraming) {
        if head.keeps_alive() && framing != BodyFraming::UntilClose {
            let now = self.shared.clock.now();
            let connections = &self.shared.connections;
            connections.put_idle(self.address, self.connection, head.idle_timeout(), now);
        }
    }

    fn record_response(&self, head: &ResponseHead) {
        let mut state = self.shared.state.borrow_mut();
        if let Some(entry) = state.directory.get_mut(self.target) {
            entry.record_outcome(head.status < 500);
        }
        let now = self.shared.clock.now();
        if !state.strikes.is_empty() {
            state.strikes.clear(self.request.fingerprint(), now);
        }
    }

    fn record_incomplete(&self, error: &HttpError, progress: &RelayProgress) -> AttemptOutcome {
        let (shared, request) = (self.shared, self.request);
        let now = shared.clock.now();
        let name = shared.target_name(self.target);
        let connection_lost = matches!(error, HttpError::Io(_) | HttpError::UnexpectedEof);
        let begun = progress.answer_has_begun();
        // A reclaimed target ends whatever it runs.
        let is_reclaimed = shared.state.borrow().directory.is_reclaimed(self.target);
        // Behind a cut, connections are lost although their targets go on.
        let is_cut = shared.state.borrow().may_be_cut_off(self.target);
        let is_crash = connection_lost && !is_reclaimed && !is_cut;
        let strikes = {
            let mut state = shared.state.borrow_mut();
            if let Some(entry) = state.directory.get_mut(self.target) {
                entry.record_outcome(false);
            }
            if is_crash {
                let fingerprint = request.fingerprint();
                state.strikes.record_crash(fingerprint, self.target, now)
            } else {
                0
            }
        };
        if is_crash && !begun {
            record_crash(shared, request, self.target);
        }
        tracing::warn!(
            request = %request.id(), target = name, %error, strikes, begun,
            parts = %request.headers.parts_summary(), reused = self.connection.reused,
            connection = %self.connection.number, requests = self.connection.requests(),
            after_ms = self.sent_ms(),
            "attempt: no complete response from the target"
        );
        AttemptOutcome::Incomplete
    }
}
