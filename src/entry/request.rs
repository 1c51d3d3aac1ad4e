//! The lifecycle of a request: admission, target selection, attempts, retries and the response.

use std::time::Duration;

use tokio::io::AsyncWriteExt;

use super::admission::{
    AdmittedRequest, CallerRequest, Refusal, RefusedRequest, charge_request, check_request, refuse,
};
use super::attempt::{AttemptOutcome, FailedResponse, send_to_target};
use super::callers::CallerWriter;
use super::cold_permits::PermitInterest;
use super::forward::{forward_or_refuse, is_to_be_forwarded};
use super::load_requests::LoadRequests;
use super::orders::request_load;
use super::relay::RelayProgress;
use super::reservations::TargetReservation;
use super::shared::EntryShared;
use super::stream_records::required_software;
use super::target_rates::send_limit;
use super::usage::send_adapter_load;
use super::wait_queue::WaitTicket;
use crate::clock::Timestamp;
use crate::dispatch::choice::TargetChoice;
use crate::dispatch::choice_request::ChoiceRequest;
use crate::dispatch::directory::TargetKey;
use crate::dispatch::routing::RouteKind;
use crate::ids::SoftwareVersion;
use crate::platform::headers::CallerHeaders;

/// The fraction of a caller's remaining time for which a request may wait for a target. The rest is
/// left for a retry at another VM.
const WAIT_FRACTION: f64 = 0.5;
/// How long a request that has failed on a target waits for a permit for a cold one. The answer to a
/// permit request takes less, and a permit starts within 500 ms of it.
const MAX_RETRY_WAIT: Duration = Duration::from_millis(600);
/// The `Retry-After` value when the wait can't be estimated. Another VM may have newer state.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Targets that may refuse one request before the caller receives a refusal.
const MAX_TARGET_REFUSALS: u32 = 3;
/// How long after the deadline a response may still be sent.
pub(crate) const DEADLINE_GRACE: Duration = Duration::from_millis(120);

/// How a request ended on the caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// The caller received a complete response.
    Complete,
    /// The response is incomplete, so the connection must be closed.
    Incomplete,
}

/// Serves one request and writes the response to `writer`.
pub(crate) async fn serve_request(
    shared: &EntryShared,
    caller: &CallerRequest,
    writer: &mut impl CallerWriter,
    close: bool,
) -> RequestOutcome {
    let refused = RefusedRequest::new(&caller.head);
    let headers = match CallerHeaders::decode(&caller.head) {
        Ok(headers) => headers,
        Err(error) => {
            return refuse(shared, refused, writer, Refusal::new(400, error), true).await;
        }
    };
    let id = headers.id.clone();
    let refused = refused.with_id(&id);
    let mut progress = RelayProgress::new(caller.head.is_http11, close);
    let request = match check_request(shared, caller, headers) {
        Ok(request) => request,
        Err(refusal) => return refuse(shared, refused, writer, refusal, close).await,
    };
    if is_to_be_forwarded(shared, &request) {
        return forward_or_refuse(shared, &request, progress, writer, close).await;
    }
    let request = match charge_request(shared, request).await {
        Ok(request) => request,
        Err(refusal) => return refuse(shared, refused, writer, refusal, close).await,
    };
    let mut execution = RequestExecution::new(shared, &request);
    let limit = request.time_left(shared.clock.now()) + DEADLINE_GRACE;
    let limited = tokio::time::timeout(limit, execution.execute(&mut progress, writer));
    let mut result = match limited.await {
        Ok(result) => result,
        Err(_) => Err(Refusal::new(504, "the time for the request has passed")),
    };
    if let (Err(_), Some(failed_response)) = (&result, execution.failed_response.take())
        && !progress.has_started()
    {
        // No other target succeeded.
        result = Ok(match writer.write_all(&failed_response.bytes).await {
            Ok(()) => RequestOutcome::Complete,
            Err(_) => RequestOutcome::Incomplete,
        });
    }
    let sent = execution.sent_at.is_some();
    execution.refund_if_unsent(&result);
    shared
        .metrics
        .record_request(&execution, &result, shared.clock.now());
    if result.is_err() && !sent && is_to_be_forwarded(shared, &request) {
        // This VM was found to be cut off while the request waited.
        return forward_or_refuse(shared, &request, progress, writer, close).await;
    }
    match result {
        Ok(outcome) => outcome,
        Err(_) if progress.has_started() => RequestOutcome::Incomplete,
        Err(refusal) => {
            // A request that was never sent has not run, which 503 states, even past its deadline.
            let status = if sent { refusal.status } else { 503 };
            let refusal = Refusal { status, ..refusal };
            refuse(shared, refused, writer, refusal, close).await
        }
    }
}

/// The state of one request over all of its attempts.
pub(crate) struct RequestExecution<'a> {
    shared: &'a EntryShared,
    pub(crate) request: &'a AdmittedRequest<'a>,
    /// Targets whose attempts did not succeed.
    excluded: Vec<TargetKey>,
    /// The number of attempts in which the target may have run the request without success.
    pub(crate) runs: u32,
    /// The number of attempts in which the target did not run the request.
    pub(crate) refusals: u32,
    /// The time from the request's arrival to the last attempt.
    pub(crate) waited: Duration,
    /// The target of the last attempt, for logging.
    pub(crate) last_target: String,
    /// Whether the target of the last attempt was known to be cold, for logging.
    pub(crate) is_cold: bool,
    /// The targets on which the request requested a load of its adapter, for logging.
    pub(crate) load_targets: Vec<String>,
    /// When the request was last sent to a target, if any target may have run it.
    pub(crate) sent_at: Option<Timestamp>,
    /// The software version that began the stream, if the caller has an event of it.
    software: Option<SoftwareVersion>,
    /// A target's server error response, sent to the caller if no other target succeeds.
    failed_response: Option<FailedResponse>,
}

impl<'a> RequestExecution<'a> {
    fn new(shared: &'a EntryShared, request: &'a AdmittedRequest<'a>) -> Self {
        Self {
            shared,
            request,
            excluded: Vec::new(),
            runs: 0,
            refusals: 0,
            waited: Duration::ZERO,
            last_target: String::new(),
            is_cold: false,
            load_targets: Vec::new(),
            sent_at: None,
            software: None,
            failed_response: None,
        }
    }

    async fn execute(
        &mut self,
        progress: &mut RelayProgress,
        writer: &mut impl CallerWriter,
    ) -> Result<RequestOutcome, Refusal> {
        self.software = required_software(self.shared, self.request).await?;
        loop {
            let reservation = self.reserve_target().await;
            let reservation = reservation.map_err(|refusal| refusal.after_runs(self.runs))?;
            let target = reservation.target;
            if self.has_become_harmful() {
                return Err(Refusal::harmful().after_runs(self.runs));
            }
            self.last_target.clone_from(&reservation.name);
            self.is_cold = reservation.is_cold;
            self.waited = self.shared.clock.now().since(self.request.caller.arrived);
            let outcome = send_to_target(
                self.shared,
                self.request,
                &reservation,
                progress,
                writer,
                &mut self.sent_at,
            );
            let outcome = outcome.await;
            if progress.last_event_id().is_some() {
                self.software.clone_from(&reservation.software);
            }
            drop(reservation);
            match outcome {
                AttemptOutcome::Complete => return Ok(RequestOutcome::Complete),
                AttemptOutcome::CallerDisconnected => return Ok(RequestOutcome::Incomplete),
                // The target has refused nothing, and may still get the request with another permit.
                AttemptOutcome::PermitEnded => {}
                AttemptOutcome::NotSent => self.record_refused(target, false)?,
                AttemptOutcome::NotRun => {
                    self.sent_at = self.sent_at.filter(|_| self.runs > 0);
                    self.record_refused(target, true)?;
                }
                AttemptOutcome::Failed(response) => {
                    self.runs += 1;
                    self.excluded.push(target);
                    self.failed_response = Some(response);
                    if !self.take_retry() {
                        return Err(Refusal::new(502, "the target failed"));
                    }
                }
                AttemptOutcome::Incomplete => self.record_incomplete(target, progress)?,
            }
        }
    }

    /// Handles an attempt in which the target did not run the request. `arrived` is set if the
    /// target received it; another attempt then counts against the retry budget.
    fn record_refused(&mut self, target: TargetKey, arrived: bool) -> Result<(), Refusal> {
        self.refusals += 1;
        self.excluded.push(target);
        if self.refusals >= MAX_TARGET_REFUSALS || (arrived && !self.take_retry()) {
            let refusal = Refusal::unavailable("no target takes the request", DEFAULT_RETRY_AFTER);
            return Err(refusal.after_runs(self.runs));
        }
        Ok(())
    }

    /// Handles an attempt in which the target may have run the request without a complete response.
    fn record_incomplete(
        &mut self,
        target: TargetKey,
        progress: &RelayProgress,
    ) -> Result<(), Refusal> {
        self.runs += 1;
        self.excluded.push(target);
        let route = &self.request.route;
        let may_retry =
            route.kind.is_retryable() && self.runs < route.max_attempts && !self.is_suspected();
        if may_retry && progress.can_resume() && self.take_retry() {
            return Ok(());
        }
        Err(Refusal::new(502, "the target gave no whole answer"))
    }

    /// Whether requests like this one have crashed so many targets that it is not sent, although it
    /// was admitted.
    fn has_become_harmful(&self) -> bool {
        let now = self.shared.clock.now();
        let mut state = self.shared.state.borrow_mut();
        let parts = &self.request.headers.shared_parts;
        state.suspects.is_harmful(parts, now)
    }

    fn is_suspected(&self) -> bool {
        let state = self.shared.state.borrow();
        let parts = &self.request.headers.shared_parts;
        state.suspects.is_suspected(parts)
    }

    fn take_retry(&self) -> bool {
        let now = self.shared.clock.now();
        let mut state = self.shared.state.borrow_mut();
        state.take_retry(&self.request.service, now)
    }

    /// Refunds the account for a request that no target can have run.
    fn refund_if_unsent(&self, result: &Result<RequestOutcome, Refusal>) {
        let complete = matches!(result, Ok(RequestOutcome::Complete));
        if let (None, false, Some(account)) = (self.sent_at, complete, &self.request.account) {
            let mut state = self.shared.state.borrow_mut();
            let AdmittedRequest { cost, charge, .. } = self.request;
            state.account_limiter.refund(account, *cost, charge);
        }
    }

    /// Waits until a target can run the request and reserves capacity on it.
    async fn reserve_target(&mut self) -> Result<TargetReservation<'a>, Refusal> {
        let (shared, request) = (self.shared, self.request);
        let started_at = shared.clock.now();
        let max_wait = self.max_wait(started_at);
        let (mut ticket, mut interest) = (None, None);
        let mut loads = LoadRequests::new(started_at);
        loop {
            // A request that chooses again no longer waits for a permit.
            drop(interest.take());
            let now = shared.clock.now();
            let remaining = max_wait.saturating_sub(now.since(started_at));
            loads.remove_refused(&shared.state.borrow().residency, now);
            let choice = self.choose_target(&loads, now);
            match choice {
                TargetChoice::Send { target, copy_to } => {
                    return Ok(self.reserve(target, copy_to, now));
                }
                TargetChoice::Load(target) => {
                    if !self.request_load(target, &mut loads, now) {
                        // Another target may have an open slot.
                        continue;
                    }
                }
                TargetChoice::WaitForPermit(target) => {
                    interest = PermitInterest::register(shared, target, now);
                    if interest.is_none() {
                        // The permit is valid at once.
                        continue;
                    }
                }
                TargetChoice::Wait
                | TargetChoice::WaitForCopy
                | TargetChoice::Paused(_)
                | TargetChoice::Unavailable => {}
            }
            let lacks_capacity = choice.lacks_capacity();
            if let Some(refusal) = self.refusal_instead_of_waiting(choice, remaining) {
                if lacks_capacity {
                    shared.wait_queue.record_rejection(&request.service);
                }
                return Err(refusal);
            }
            let ticket = ticket.get_or_insert_with(|| self.enqueue());
            ticket.set_lacks_capacity(lacks_capacity);
            // The queue drains too slowly, so the caller is refused at once with a time to retry.
            let too_long = ticket.expected_wait().filter(|wait| *wait > remaining);
            let may_wait = !loads.is_empty() || choice.is_short_wait();
            if let Some(wait) = too_long.filter(|_| !may_wait) {
                shared.wait_queue.record_rejection(&request.service);
                return Err(Refusal::unavailable(
                    "too many requests wait for a place",
                    wait,
                ));
            }
            let limit = match &interest {
                Some(interest) => interest.max_wait(ticket, now).min(remaining),
                None => remaining,
            };
            ticket.wait_for_change(limit).await;
        }
    }

    fn enqueue(&self) -> WaitTicket<'a> {
        let (queue, request) = (&self.shared.wait_queue, self.request);
        let adapter = request.headers.adapter.as_ref();
        queue.enqueue(&request.service, request.priority, adapter)
    }

    /// How long the request may wait for a target from `started_at` on.
    fn max_wait(&self, started_at: Timestamp) -> Duration {
        let request = self.request;
        let event_gap_left = request.route.max_event_gap.unwrap_or(Duration::MAX);
        let event_gap_left =
            event_gap_left.saturating_sub(started_at.since(request.caller.arrived));
        let max_wait = request
            .time_left(started_at)
            .min(event_gap_left)
            .mul_f64(WAIT_FRACTION);
        match self.failed_response {
            Some(_) => max_wait.min(MAX_RETRY_WAIT),
            None => max_wait,
        }
    }

    /// The refusal of a request for which waiting would be in vain, after a choice without a target.
    fn refusal_instead_of_waiting(
        &self,
        choice: TargetChoice,
        remaining: Duration,
    ) -> Option<Refusal> {
        if self.sent_at.is_none() && is_to_be_forwarded(self.shared, self.request) {
            return Some(Refusal::unavailable(
                "no target is in reach",
                DEFAULT_RETRY_AFTER,
            ));
        }
        match choice {
            TargetChoice::Unavailable => Some(Refusal::unavailable(
                "no target is in service",
                DEFAULT_RETRY_AFTER * 2,
            )),
            TargetChoice::Paused(pause) if pause > remaining => Some(Refusal::unavailable(
                "all targets have asked to wait",
                pause,
            )),
            TargetChoice::WaitForPermit(_) if !remaining.is_zero() => None,
            _ if self.failed_response.is_some() => {
                Some(Refusal::new(502, "no other target is free at once"))
            }
            _ if remaining.is_zero() => Some(Refusal::unavailable(
                "no place became free in time",
                DEFAULT_RETRY_AFTER,
            )),
            _ => None,
        }
    }

    /// Requests a load of the request's adapter. Returns false if it was refused at once.
    fn request_load(
        &mut self,
        target: TargetKey,
        loads: &mut LoadRequests,
        now: Timestamp,
    ) -> bool {
        let adapter = self.request.headers.adapter.as_ref();
        if adapter.is_some_and(|adapter| request_load(self.shared, target, adapter)) {
            return false;
        }
        if loads.add(target, now) {
            self.load_targets.push(self.shared.target_name(target));
        }
        true
    }

    fn reserve(
        &self,
        target: TargetKey,
        copy_to: Option<TargetKey>,
        now: Timestamp,
    ) -> TargetReservation<'a> {
        let (shared, request) = (self.shared, self.request);
        let adapter = request.headers.adapter.as_ref();
        let (version, software, is_limited, is_cold, permit) = {
            let mut state = shared.state.borrow_mut();
            let version = state.reserve(target, adapter);
            let entry = state.directory.get_mut(target);
            let software = entry
                .as_ref()
                .and_then(|entry| entry.report.software.clone());
            let (is_limited, is_cold) = entry.map_or((false, false), |entry| {
                (entry.record_send(now), entry.is_cold(now))
            });
            let permit = is_cold.then(|| state.permits.take(target, now));
            (version, software, is_limited, is_cold, permit.flatten())
        };
        if is_cold {
            shared.metrics.cold.record_send(&request.service);
        }
        if is_limited {
            send_limit(shared, target);
        }
        if let Some(adapter) = adapter {
            send_adapter_load(shared, target, adapter);
            if let Some(copy) = copy_to {
                request_load(shared, copy, adapter);
            }
        }
        TargetReservation {
            shared,
            service: request.service.clone(),
            target,
            adapter: adapter.cloned(),
            name: shared.target_name(target),
            is_cold,
            permit,
            version,
            software,
            retry_on_failure: request.route.kind == RouteKind::Idempotent
                && self.runs + 1 < request.route.max_attempts,
        }
    }

    fn choose_target(&self, loads: &LoadRequests, now: Timestamp) -> TargetChoice {
        let request = self.request;
        let state = self.shared.state.borrow();
        let is_model_service = state.engine_of(&request.service).is_some();
        let headers = &request.headers;
        let choice_request = ChoiceRequest {
            service: &request.service,
            model: headers.model.as_ref().filter(|_| is_model_service),
            adapter: headers.adapter.as_ref().filter(|_| is_model_service),
            excluded: &self.excluded,
            stalled: &loads.stalled(now),
            waited: now.since(loads.waits_since),
            software: self.software.as_ref(),
        };
        let choice = state.choose(&choice_request, now);
        if choice != TargetChoice::Unavailable || self.excluded.is_empty() {
            return choice;
        }
        // No other target is available, and one that refused before is better than none.
        state.choose(
            &ChoiceRequest {
                excluded: &[],
                ..choice_request
            },
            now,
        )
    }
}
