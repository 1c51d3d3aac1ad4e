//! The way of one request: identify, admit, charge, place, send, relay, settle.

use std::time::Duration;

use tokio::io::{AsyncWrite, AsyncWriteExt};

use super::admission::{CallerRequest, KnownRequest, Refusal, admit};
use super::attempt::{AttemptEnd, send_to_target};
use super::orders::ask_load;
use super::relay::RelayProgress;
use super::shared::EntryShared;
use crate::clock::Timestamp;
use crate::dispatch::choice::{ChoiceAsk, TargetChoice};
use crate::dispatch::directory::TargetKey;
use crate::dispatch::routing::RouteKind;
use crate::ids::{RequestId, ServiceName};
use crate::platform::headers::{CallerAsk, OwnAnswer, encode_own};

/// The part of a caller's time for which a request is held here; the rest is for a further try at
/// another VM.
const HOLD_PART: f64 = 0.5;
/// An owner that has not announced an asked load after this time may be gone: another target's
/// owner is asked. Messages between VMs take some milliseconds and are repeated each 60.
const LOAD_PATIENCE: Duration = Duration::from_millis(250);
/// When to come back if it is unknown what the request waits for: other VMs may know better.
pub(crate) const RETRY_SOON: Duration = Duration::from_millis(250);
/// Targets that may refuse one request before the caller hears of it.
const REFUSAL_LIMIT: u32 = 3;
/// An answer may follow this long after the caller's time or the route's has passed.
const DEADLINE_SLACK: Duration = Duration::from_millis(120);

/// How a request ended on the caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// The answer is complete.
    Answered,
    /// The answer is incomplete: the connection must be closed.
    Broken,
}

/// A place for a request on a target, given back when dropped.
#[derive(Debug)]
pub(crate) struct TargetPlace<'a> {
    shared: &'a EntryShared,
    service: ServiceName,
    pub(crate) target: TargetKey,
    /// The target's name, for the log.
    pub(crate) name: String,
    /// The version of the request's adapter there.
    pub(crate) version: Option<u64>,
    /// Whether another target is tried if this one answers with a failure of its own.
    pub(crate) repeats_failure: bool,
}

impl Drop for TargetPlace<'_> {
    fn drop(&mut self) {
        self.shared.state.borrow_mut().release(self.target);
        self.shared
            .waiting
            .note_ended(&self.service, self.shared.clock.now());
    }
}

/// Serves one request and writes its answer to `writer`.
pub(crate) async fn serve_request(
    shared: &EntryShared,
    caller: &CallerRequest,
    writer: &mut (impl AsyncWrite + Unpin),
    close: bool,
) -> RequestEnd {
    let ask = match CallerAsk::decode(&caller.head) {
        Ok(ask) => ask,
        Err(fault) => return refuse(shared, None, writer, Refusal::new(400, fault), true).await,
    };
    let id = ask.id.clone();
    let admitted = admit(shared, caller, ask);
    let request = match admitted {
        Ok(request) => request,
        Err(refusal) => return refuse(shared, Some(&id), writer, refusal, close).await,
    };
    let mut progress = RelayProgress::new(caller.head.is_http11, close);
    let mut run = RequestRun::new(shared, &request);
    let limit = request.time_left(shared.clock.now()) + DEADLINE_SLACK;
    let run_limited = tokio::time::timeout(limit, run.run(&mut progress, writer));
    let mut ended = match run_limited.await {
        Ok(ended) => ended,
        Err(_) => Err(Refusal::new(504, "the time for the request has passed")),
    };
    if let (Err(_), Some(failure)) = (&ended, run.failure.take()) {
        // No other target did better.
        ended = Ok(match writer.write_all(&failure).await {
            Ok(()) => RequestEnd::Answered,
            Err(_) => RequestEnd::Broken,
        });
    }
    let sent = run.sent;
    run.settle(&ended);
    shared
        .metrics
        .note_request(&run, &ended, shared.clock.now());
    match ended {
        Ok(end) => end,
        Err(_) if progress.is_begun() => RequestEnd::Broken,
        Err(refusal) => {
            // What was never sent has not run, also when its time is over.
            let status = if sent { refusal.status } else { 503 };
            let refusal = Refusal { status, ..refusal };
            refuse(shared, Some(&id), writer, refusal, close).await
        }
    }
}

/// Writes an answer of this VM's own.
pub(crate) async fn refuse(
    shared: &EntryShared,
    id: Option<&RequestId>,
    writer: &mut (impl AsyncWrite + Unpin),
    refusal: Refusal,
    close: bool,
) -> RequestEnd {
    shared.metrics.note_refusal(id, &refusal);
    let Refusal {
        status,
        reason,
        retry_after,
    } = refusal;
    let answer = OwnAnswer {
        status,
        reason,
        id,
        retry_after,
        close,
    };
    match writer.write_all(encode_own(&answer).as_bytes()).await {
        Ok(()) => RequestEnd::Answered,
        Err(_) => RequestEnd::Broken,
    }
}

/// The targets on which a request has asked for its adapter, with the times.
#[derive(Debug, Default)]
struct LoadAsks(Vec<(TargetKey, Timestamp)>);

impl LoadAsks {
    /// Returns whether the target was not asked before.
    fn note(&mut self, target: TargetKey, now: Timestamp) -> bool {
        let new = self.0.iter().all(|(asked, _)| *asked != target);
        if new {
            self.0.push((target, now));
        }
        new
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn stalled(&self, now: Timestamp) -> Vec<TargetKey> {
        let stalled = self
            .0
            .iter()
            .filter(|(_, since)| now.since(*since) > LOAD_PATIENCE);
        stalled.map(|(target, _)| *target).collect()
    }
}

/// One request on its way through targets.
pub(crate) struct RequestRun<'a> {
    shared: &'a EntryShared,
    pub(crate) request: &'a KnownRequest<'a>,
    /// Targets that have failed the request.
    avoid: Vec<TargetKey>,
    /// Targets that lost the request's answer.
    pub(crate) runs: u32,
    /// Targets that refused it.
    pub(crate) refusals: u32,
    /// The time until the last place was found.
    pub(crate) waited: Duration,
    /// The target that got the request last, for the log.
    pub(crate) last_target: String,
    /// The targets on which the request asked for its adapter, for the log.
    pub(crate) asked: Vec<String>,
    /// Whether any target may have run it.
    sent: bool,
    /// A target's own failure, for the caller if no other target does better.
    failure: Option<Vec<u8>>,
}

impl<'a> RequestRun<'a> {
    fn new(shared: &'a EntryShared, request: &'a KnownRequest<'a>) -> Self {
        Self {
            shared,
            request,
            avoid: Vec::new(),
            runs: 0,
            refusals: 0,
            waited: Duration::ZERO,
            last_target: String::new(),
            asked: Vec::new(),
            sent: false,
            failure: None,
        }
    }

    async fn run(
        &mut self,
        progress: &mut RelayProgress,
        writer: &mut (impl AsyncWrite + Unpin),
    ) -> Result<RequestEnd, Refusal> {
        loop {
            let place = self.place().await;
            let place = place.map_err(|refusal| refusal.after_runs(self.runs))?;
            let target = place.target;
            self.last_target.clone_from(&place.name);
            self.waited = self.shared.clock.now().since(self.request.caller.arrived);
            let end = send_to_target(
                self.shared,
                self.request,
                &place,
                progress,
                writer,
                &mut self.sent,
            );
            let end = end.await;
            drop(place);
            match end {
                AttemptEnd::Complete => return Ok(RequestEnd::Answered),
                AttemptEnd::CallerGone => return Ok(RequestEnd::Broken),
                AttemptEnd::NotSent => self.note_refused(target, false)?,
                AttemptEnd::NotRun => {
                    self.sent = self.runs > 0;
                    self.note_refused(target, true)?;
                }
                AttemptEnd::Failed(answer) => {
                    self.runs += 1;
                    self.avoid.push(target);
                    self.failure = Some(answer);
                    if !self.take_repeat() {
                        return Err(Refusal::new(502, "the target failed"));
                    }
                }
                AttemptEnd::Lost => self.note_lost(target, progress)?,
            }
        }
    }

    /// The target did not run the request. `arrived` tells whether it has counted it.
    fn note_refused(&mut self, target: TargetKey, arrived: bool) -> Result<(), Refusal> {
        self.refusals += 1;
        self.avoid.push(target);
        if self.refusals >= REFUSAL_LIMIT || (arrived && !self.take_repeat()) {
            let refusal = Refusal::with_retry("no target takes the request", RETRY_SOON);
            return Err(refusal.after_runs(self.runs));
        }
        Ok(())
    }

    /// The target may have run the request and gave no whole answer.
    fn note_lost(&mut self, target: TargetKey, progress: &RelayProgress) -> Result<(), Refusal> {
        self.runs += 1;
        self.avoid.push(target);
        let route = &self.request.route;
        let more = route.kind.is_repeatable() && self.runs < route.max_attempts;
        if more && progress.can_resume() && self.take_repeat() {
            return Ok(());
        }
        Err(Refusal::new(502, "the target gave no whole answer"))
    }

    fn take_repeat(&self) -> bool {
        let now = self.shared.clock.now();
        let mut state = self.shared.state.borrow_mut();
        let members = state.peers.members();
        state.budget(&self.request.service).take(members, now)
    }

    /// Gives back the charge of a request that did not run.
    fn settle(&self, ended: &Result<RequestEnd, Refusal>) {
        if let (false, Err(_), Some(account)) = (self.sent, ended, &self.request.account) {
            let mut state = self.shared.state.borrow_mut();
            state.allowances.refund(account, self.request.cost);
        }
    }

    /// Waits for a place on a target that can run the request.
    async fn place(&mut self) -> Result<TargetPlace<'a>, Refusal> {
        let (shared, request) = (self.shared, self.request);
        let entered = shared.clock.now();
        let patience = request.route.silence_limit.unwrap_or(Duration::MAX);
        let patience = patience.saturating_sub(entered.since(request.caller.arrived));
        let hold = request.time_left(entered).min(patience).mul_f64(HOLD_PART);
        let mut ticket = None;
        let mut loads = LoadAsks::default();
        loop {
            let now = shared.clock.now();
            let left = hold.saturating_sub(now.since(entered));
            match self.choose(&loads.stalled(now), now) {
                TargetChoice::Send { target, copy_to } => {
                    return Ok(self.take_place(target, copy_to, now));
                }
                TargetChoice::Load(target) => {
                    if let Some(adapter) = &request.ask.adapter {
                        ask_load(shared, target, adapter);
                    }
                    if loads.note(target, now) {
                        self.asked.push(shared.target_name(target));
                    }
                }
                TargetChoice::Wait => {}
                TargetChoice::Unavailable => {
                    return Err(Refusal::with_retry(
                        "no target is in service",
                        RETRY_SOON * 2,
                    ));
                }
            }
            if self.failure.is_some() {
                return Err(Refusal::new(502, "no other target is free at once"));
            }
            if left.is_zero() {
                return Err(Refusal::with_retry(
                    "no place became free in time",
                    RETRY_SOON,
                ));
            }
            let adapter = request.ask.adapter.as_ref();
            let ticket = ticket.get_or_insert_with(|| {
                shared
                    .waiting
                    .enter(&request.service, request.priority, adapter)
            });
            // Places come too slowly: the caller hears at once when to come back.
            let late = ticket.expected_wait().filter(|wait| *wait > left);
            if let Some(wait) = late.filter(|_| loads.is_empty()) {
                return Err(Refusal::with_retry(
                    "too many requests wait for a place",
                    wait,
                ));
            }
            ticket.changed(left).await;
        }
    }

    fn take_place(
        &self,
        target: TargetKey,
        copy_to: Option<TargetKey>,
        now: Timestamp,
    ) -> TargetPlace<'a> {
        let (shared, request) = (self.shared, self.request);
        let version = shared.state.borrow_mut().reserve(
            target,
            &request.service,
            request.ask.adapter.as_ref(),
            now,
        );
        if let (Some(copy), Some(adapter)) = (copy_to, &request.ask.adapter) {
            ask_load(shared, copy, adapter);
        }
        TargetPlace {
            shared,
            service: request.service.clone(),
            target,
            name: shared.target_name(target),
            version,
            repeats_failure: request.route.kind == RouteKind::Idempotent
                && self.runs + 1 < request.route.max_attempts,
        }
    }

    fn choose(&self, stalled: &[TargetKey], now: Timestamp) -> TargetChoice {
        let request = self.request;
        let state = self.shared.state.borrow();
        let has_engine = state.engine_of(&request.service).is_some();
        let ask = ChoiceAsk {
            service: &request.service,
            model: request.ask.model.as_ref().filter(|_| has_engine),
            adapter: request.ask.adapter.as_ref().filter(|_| has_engine),
            avoid: &self.avoid,
            stalled,
        };
        let choice = state.choose(&ask, now);
        if choice != TargetChoice::Unavailable || self.avoid.is_empty() {
            return choice;
        }
        // All others are out: a target that refused before is better than none.
        state.choose(&ChoiceAsk { avoid: &[], ..ask }, now)
    }
}
