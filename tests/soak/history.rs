//! The history of one soak as callers and targets observed it, and the check that it violates none
//! of the guarantees to them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::sendings::SendingKey;

/// The kinds of requests, one for each route of the fixture.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// May run several times.
    Idempotent,
    /// May run once at most.
    NonIdempotent,
    /// A stream that another target may resume.
    Stream,
}

impl RequestKind {
    pub(crate) fn path(self) -> &'static str {
        match self {
            Self::Idempotent => "/look/",
            Self::NonIdempotent => "/pay/",
            Self::Stream => "/stream/",
        }
    }
}

/// The outcome of a request for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// The caller received a complete response.
    Completed {
        status: u16,
        seal: String,
        body: String,
    },
    /// The connection ended or the time ran out before the response was complete.
    Unknown,
}

/// One execution of a request by a target.
#[derive(Debug)]
pub(crate) struct RunRecord {
    pub(crate) target: usize,
    /// The number of the target's lifetime.
    lifetime: u64,
    key_version: u64,
    pub(crate) started_at: Instant,
    /// Unset while the target works on it.
    ended_at: Option<Instant>,
}

/// A run in progress, which ends when this value is dropped.
pub(crate) struct SoakRun {
    history: Arc<Mutex<SoakHistory>>,
    sending: SendingKey,
    /// The position among the runs of the sending.
    index: usize,
}

impl SoakRun {
    pub(crate) fn start(
        history: &Arc<Mutex<SoakHistory>>,
        sending: &SendingKey,
        target: usize,
        lifetime: u64,
    ) -> Self {
        let mut records = history.lock().unwrap();
        let index = records.record_run(sending, target, lifetime);
        drop(records);
        Self {
            history: Arc::clone(history),
            sending: sending.clone(),
            index,
        }
    }
}

impl Drop for SoakRun {
    fn drop(&mut self) {
        let mut history = self.history.lock().unwrap();
        if let Some(runs) = history.runs.get_mut(&self.sending) {
            runs[self.index].ended_at = Some(Instant::now());
        }
    }
}

/// All observations of one soak.
#[derive(Debug, Default)]
pub(crate) struct SoakHistory {
    pub(crate) runs: BTreeMap<SendingKey, Vec<RunRecord>>,
    pub(crate) outcomes: BTreeMap<SendingKey, (RequestKind, RequestOutcome)>,
    /// The newest fencing token that each target received, and the VM that used it.
    newest_tokens: BTreeMap<usize, (u64, String)>,
    /// Configuration versions, and when each of them revoked the keys of all lower versions.
    revocations: Vec<(u64, Instant)>,
    /// The VM to which each sending went, and when.
    pub(crate) sends: BTreeMap<SendingKey, (usize, Instant)>,
    /// When each VM first delivered an answer in which a lifetime of a target states that it leaves.
    leaving_answers: BTreeMap<(usize, usize, u64), Instant>,
    /// When a fault of a VM's process began or ended, after which it may have forgotten what it knew.
    vm_faults: Vec<(usize, Instant)>,
    /// The programs that VMs run, and since when.
    pub(crate) programs: Vec<(usize, Instant, &'static str)>,
    /// When callers left before they had a response.
    departures: BTreeMap<SendingKey, Instant>,
    /// The faults of links that have ended.
    link_faults: Vec<LinkFault>,
    limits: Vec<LimitPhase>,
    /// The requests that arrived at each target: the VM that sent it, and when.
    arrivals: BTreeMap<usize, Vec<(usize, Instant)>>,
    /// Violations that were found while the soak ran.
    pub(crate) violations: Vec<String>,
}

/// The link that a fault disturbs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FaultyLink {
    /// From callers to this VM.
    Callers(usize),
    /// From all VMs to this target, or a restart of the target.
    Target(usize),
}

#[derive(Debug)]
struct LinkFault {
    link: FaultyLink,
    start: Instant,
    end: Instant,
}

/// A time in which a target states the rate that it takes from all VMs together.
#[derive(Debug)]
struct LimitPhase {
    target: usize,
    rate_per_s: f64,
    start: Instant,
    end: Option<Instant>,
    /// The VMs that have passed on an answer with the limit, and when each first did.
    told: BTreeMap<usize, Instant>,
}

/// The number of events in a complete stream.
pub(crate) const STREAM_EVENTS: u32 = 6;
/// How long after its revocation a key may still be used: `revokeMs` in the settings, plus the time
/// that a forwarded request may need to reach its target on this machine.
const REVOCATION_LIMIT: Duration = Duration::from_millis(3000 + 250);
/// How long after an answer that states that a target leaves a VM may still send to it: `drainMs` in
/// the settings.
const DRAIN_LIMIT: Duration = Duration::from_millis(2000);
/// How long after its caller has left a request may still arrive at a target, with the time that the
/// close takes on a busy machine.
const DEPARTURE_LIMIT: Duration = Duration::from_millis(500 + 250);
/// How long after a target has first stated its limit the requests that it gets are counted:
/// `stabilityWindowMs`.
const LIMIT_SETTLE_TIME: Duration = Duration::from_secs(3);
/// How long after it has passed on an answer with the limit a VM's requests are counted.
const LIMIT_TOLD_TIME: Duration = Duration::from_millis(500);
/// The window in which a limited target's requests are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// How long a target may go on with a request that another one has begun with, with the time that the
/// close takes on a busy machine.
const OVERLAP_LIMIT: Duration = Duration::from_millis(400 + 250);
/// Statuses that guarantee that a request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

impl RequestOutcome {
    /// Whether the response states that this sending has not run and never will.
    pub(crate) fn promises_not_run(&self) -> bool {
        matches!(self, Self::Completed { status, .. } if NOT_RUN_STATUSES.contains(status))
    }
}

impl SoakHistory {
    /// Records that a target starts to run a request, and returns the position of the run. The id begins
    /// with the version of the caller's key.
    fn record_run(&mut self, sending: &SendingKey, target: usize, lifetime: u64) -> usize {
        let key_version = sending
            .id
            .split('-')
            .next()
            .and_then(|text| text.parse().ok());
        let run = RunRecord {
            target,
            lifetime,
            key_version: key_version.unwrap_or(0),
            started_at: Instant::now(),
            ended_at: None,
        };
        let runs = self.runs.entry(sending.clone()).or_default();
        runs.push(run);
        runs.len() - 1
    }

    pub(crate) fn record_outcome(
        &mut self,
        sending: SendingKey,
        kind: RequestKind,
        outcome: RequestOutcome,
    ) {
        self.outcomes.insert(sending, (kind, outcome));
    }

    pub(crate) fn record_send(&mut self, sending: &SendingKey, vm: usize) {
        self.sends.insert(sending.clone(), (vm, Instant::now()));
    }

    pub(crate) fn record_vm_fault(&mut self, vm: usize) {
        self.vm_faults.push((vm, Instant::now()));
    }

    /// Records that a caller received an answer in which the target that ran the request states that
    /// it leaves.
    pub(crate) fn record_leaving_answer(&mut self, sending: &SendingKey, seal: &str) {
        let mut runs = self.runs.get(sending).into_iter().flatten();
        let run = runs.rfind(|run| sending.seal(run.target) == seal);
        if let (Some((vm, _)), Some(run)) = (self.sends.get(sending), run) {
            let key = (*vm, run.target, run.lifetime);
            self.leaving_answers.entry(key).or_insert_with(Instant::now);
        }
    }

    pub(crate) fn record_departure(&mut self, sending: SendingKey) {
        self.departures.insert(sending, Instant::now());
    }

    pub(crate) fn record_link_fault(&mut self, link: FaultyLink, start: Instant) {
        let end = Instant::now();
        self.link_faults.push(LinkFault { link, start, end });
    }

    /// Records that a target begins to state a limit, or no longer states one.
    pub(crate) fn record_limit(&mut self, target: usize, rate_per_s: Option<f64>) {
        let now = Instant::now();
        let open = self.limits.iter_mut().rfind(|phase| phase.target == target);
        if let Some(phase) = open.filter(|phase| phase.end.is_none()) {
            phase.end = Some(now);
        }
        if let Some(rate_per_s) = rate_per_s {
            self.limits.push(LimitPhase {
                target,
                rate_per_s,
                start: now,
                end: None,
                told: BTreeMap::new(),
            });
        }
    }

    /// Records that a caller received an answer in which the target that ran the request states its
    /// limit.
    pub(crate) fn record_limit_answer(&mut self, sending: &SendingKey, seal: &str) {
        let Some((vm, _)) = self.sends.get(sending) else {
            return;
        };
        let ran_on = |phase: &&mut LimitPhase| seal == sending.seal(phase.target);
        if let Some(phase) = self.limits.iter_mut().rfind(ran_on) {
            phase.told.entry(*vm).or_insert_with(Instant::now);
        }
    }

    /// Records that a request arrived at a target, whether it runs or not.
    pub(crate) fn record_arrival(&mut self, sending: &SendingKey, target: usize) {
        if let Some((vm, _)) = self.sends.get(sending) {
            let arrivals = self.arrivals.entry(target).or_default();
            arrivals.push((*vm, Instant::now()));
        }
    }

    /// Records that a target accepted the fencing token of an order. Two VMs must not use the same
    /// token for one target.
    pub(crate) fn record_order(&mut self, target: usize, holder: &str, token: u64) {
        let newest = self
            .newest_tokens
            .entry(target)
            .or_insert((token, holder.to_owned()));
        if token == newest.0 && holder != newest.1 {
            let violation = format!(
                "target {target} got orders from {holder} and {} with the same fencing token {token}",
                newest.1
            );
            self.violations.push(violation);
        }
        if token > newest.0 {
            *newest = (token, holder.to_owned());
        }
    }

    /// The newest fencing token that a target has received.
    pub(crate) fn newest_token(&self, target: usize) -> u64 {
        self.newest_tokens
            .get(&target)
            .map_or(0, |(token, _)| *token)
    }

    /// Records that a configuration revoked the keys of all versions below `version`.
    pub(crate) fn record_revocation(&mut self, version: u64) {
        self.revocations.push((version, Instant::now()));
    }

    pub(crate) fn served_requests(&self) -> usize {
        let outcomes = self.outcomes.values();
        let served = |outcome: &RequestOutcome| {
            matches!(outcome, RequestOutcome::Completed { status: 200, .. })
        };
        outcomes.filter(|(_, outcome)| served(outcome)).count()
    }

    /// Lists all violations of the guarantees.
    pub(crate) fn check(&self) -> Vec<String> {
        let mut violations = self.violations.clone();
        violations.extend(self.check_run_counts());
        for (sending, runs) in &self.runs {
            let Some((_, outcome)) = self.outcomes.get(sending) else {
                violations.push(format!("{sending} ran, but no caller sent it"));
                continue;
            };
            if let RequestOutcome::Completed { status, .. } = outcome
                && outcome.promises_not_run()
            {
                let (vm, runs) = (self.describe_vm(sending), self.describe_runs(&sending.id));
                violations.push(format!(
                    "{sending} ran, but the response of {vm} has the status {status}, which states that it did not: {runs}"
                ));
            }
            violations.extend(
                runs.windows(2)
                    .filter_map(|pair| self.check_overlap(sending, pair)),
            );
            violations.extend(runs.iter().filter_map(|run| self.check_key(sending, run)));
            violations.extend(
                runs.iter()
                    .filter_map(|run| self.check_leaving(sending, run)),
            );
            violations.extend(
                runs.iter()
                    .filter_map(|run| self.check_departure(sending, run)),
            );
        }
        violations.extend(
            self.limits
                .iter()
                .filter_map(|phase| self.check_limit(phase)),
        );
        for (sending, (kind, outcome)) in &self.outcomes {
            if let RequestOutcome::Completed {
                status: 200,
                seal,
                body,
            } = outcome
            {
                violations.extend(self.check_response(sending, *kind, seal, body));
            }
        }
        violations
    }

    /// Checks that a VM has not passed a request on to a target that had stated in an answer of this
    /// VM that it leaves. A fault of the VM's process since then excuses it.
    fn check_leaving(&self, sending: &SendingKey, run: &RunRecord) -> Option<String> {
        let (vm, sent_at) = self.sends.get(sending)?;
        let key = (*vm, run.target, run.lifetime);
        let stated_at = *self.leaving_answers.get(&key)?;
        let mut faults = self.vm_faults.iter();
        let excused = faults.any(|(other, at)| other == vm && *at > stated_at);
        let late = *sent_at > stated_at + DRAIN_LIMIT;
        (late && !excused).then(|| {
            let after = sent_at.duration_since(stated_at).as_millis();
            format!("{sending} was sent to target {} {after} ms after it had stated to VM {vm} that it leaves", run.target)
        })
    }

    /// Checks that no target goes on with a request for long after the next one has begun with it. A
    /// fault of the first target's link, which hides the VM's close from it, excuses it.
    fn check_overlap(&self, sending: &SendingKey, pair: &[RunRecord]) -> Option<String> {
        let (first, next) = (&pair[0], &pair[1]);
        let ended_at = first.ended_at.unwrap_or_else(Instant::now);
        let link = FaultyLink::Target(first.target);
        let excused = self.is_disturbed(link, first.started_at, ended_at);
        (ended_at > next.started_at + OVERLAP_LIMIT && !excused).then(|| {
            let overlap = ended_at.duration_since(next.started_at).as_millis();
            format!(
                "target {} worked on {sending} until {overlap} ms after target {} had begun with it",
                first.target, next.target
            )
        })
    }

    fn is_disturbed(&self, link: FaultyLink, from: Instant, until: Instant) -> bool {
        let faults = self.link_faults.iter().filter(|fault| fault.link == link);
        faults
            .into_iter()
            .any(|fault| fault.start < until && fault.end > from)
    }

    /// Checks that a request was not sent on after its caller had left. A fault of the links on which
    /// the close or the request travels excuses it; a pause of the VM does not.
    fn check_departure(&self, sending: &SendingKey, run: &RunRecord) -> Option<String> {
        let left_at = *self.departures.get(sending)?;
        let (vm, sent_at) = self.sends.get(sending)?;
        let excused = [FaultyLink::Callers(*vm), FaultyLink::Target(run.target)];
        let excused = excused
            .iter()
            .any(|link| self.is_disturbed(*link, *sent_at, run.started_at));
        (run.started_at > left_at + DEPARTURE_LIMIT && !excused).then(|| {
            let after = run.started_at.duration_since(left_at).as_millis();
            format!(
                "{sending} of VM {vm} reached target {} {after} ms after its caller had left",
                run.target
            )
        })
    }

    /// Checks that a target did not get more than half more than it states to take, and five requests,
    /// from the VMs that had passed on its limit and had no fault since.
    fn check_limit(&self, phase: &LimitPhase) -> Option<String> {
        let end = phase.end.unwrap_or_else(Instant::now);
        if self.is_disturbed(FaultyLink::Target(phase.target), phase.start, end) {
            return None;
        }
        let is_counted = |(vm, at): &&(usize, Instant)| {
            let told_at = phase.told.get(vm).copied();
            let mut faults = self.vm_faults.iter().filter(|(other, _)| other == vm);
            let told = told_at.is_some_and(|told_at| {
                *at >= told_at + LIMIT_TOLD_TIME
                    && !faults.any(|(_, fault_at)| (told_at..end).contains(fault_at))
            });
            told && *at >= phase.start + LIMIT_SETTLE_TIME && *at < end
        };
        let arrivals = self.arrivals.get(&phase.target).into_iter().flatten();
        let times: Vec<_> = arrivals.filter(is_counted).map(|(_, at)| *at).collect();
        let count_from = |start: &Instant| {
            let window = *start..*start + LIMIT_WINDOW;
            times.iter().filter(|at| window.contains(at)).count()
        };
        let most = times.iter().map(count_from).max().unwrap_or(0);
        let allowed = 1.5 * phase.rate_per_s * LIMIT_WINDOW.as_secs_f64() + 5.0;
        (most as f64 > allowed).then(|| {
            format!(
                "target {} states to take {} requests a second and got {most} in {LIMIT_WINDOW:?}",
                phase.target, phase.rate_per_s
            )
        })
    }

    /// Checks that a request did not run after its key had been revoked. A fault of the target's link
    /// that held it back excuses it if its caller had sent it in time.
    fn check_key(&self, sending: &SendingKey, run: &RunRecord) -> Option<String> {
        let sent_at = self.sends.get(sending).map(|(_, sent_at)| *sent_at)?;
        let link = FaultyLink::Target(run.target);
        let held_back = self.is_disturbed(link, sent_at, run.started_at);
        let late = |(version, revoked_at): &&(u64, Instant)| {
            let limit = *revoked_at + REVOCATION_LIMIT;
            let excused = held_back && sent_at <= limit;
            run.key_version < *version && run.started_at > limit && !excused
        };
        let (version, revoked_at) = self.revocations.iter().find(late)?;
        let after = run.started_at.duration_since(*revoked_at).as_millis();
        Some(format!(
            "{sending} ran {after} ms after configuration version {version} revoked its key"
        ))
    }

    fn check_response(
        &self,
        sending: &SendingKey,
        kind: RequestKind,
        seal: &str,
        body: &str,
    ) -> Option<String> {
        let runs = self.runs.get(sending).into_iter().flatten();
        let sealed = runs.map(|run| sending.seal(run.target));
        if !sealed.into_iter().any(|expected| expected == seal) {
            return Some(format!(
                "{sending} has a response with the seal {seal:?}, which none of its runs has"
            ));
        }
        let expected = match kind {
            RequestKind::Stream => (1..=STREAM_EVENTS)
                .map(|event| event_text(&sending.id, event))
                .collect(),
            RequestKind::Idempotent | RequestKind::NonIdempotent => plain_body(&sending.id),
        };
        (body != expected).then(|| {
            format!("{sending} has a response with the body {body:?} instead of {expected:?}")
        })
    }
}

pub(crate) fn event_text(id: &str, event: u32) -> String {
    format!("id: {event}\ndata: word {event} of {id}\n\n")
}

pub(crate) fn plain_body(id: &str) -> String {
    format!("answer to {id}")
}
