//! Distributes the requests that a cold target bears over the entry VMs. A cold target serves fewer
//! requests per second for a while, for example after its start.
//!
//! Load pattern: all targets of a zone return cold at the same time under full load, and all VMs
//! see them empty at the same moment; a fleet has many more VMs than a cold target bears requests
//! per second, and a VM may hear of few of the others. So the VM that owns a target hands out
//! permits, and nothing is sent to a cold target without one.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::dispatch::choice::TargetChoice;
use crate::dispatch::directory::TargetKey;
use crate::dispatch::ownership::TenureSpan;

/// How much later a cold time may end by one report than by another without being a new one: reports
/// are read with different delays. Other VMs are told of longer ones at once.
const REPORT_JITTER: Duration = Duration::from_millis(300);
/// How far ahead an owner hands out permits. It covers the way of the answer, and a VM that gives up
/// waiting leaves little unused.
const MAX_AHEAD: Duration = Duration::from_millis(500);
/// How long a permit is valid. Any second then holds the permits of 1.4 s and at most one more.
const PERMIT_LIFETIME: Duration = Duration::from_millis(400);
/// The requests in a second that are left for those that arrive late, and for a permit more.
const RESERVED_REQUESTS: f64 = 3.0;
/// The time before a target is known to be cold, or a VM becomes its owner, in which others may have
/// sent to it without this owner's permits.
const RECENT_SEND_TIME: Duration = Duration::from_secs(1);
/// The time without a permit request after which an owner that takes the target for warm assumes that
/// the other VMs did as well.
const ASK_RETENTION: Duration = Duration::from_secs(2);
/// The permits in one answer, which bounds what one VM takes from the others.
const MAX_PERMITS_PER_ASK: u32 = 8;
/// The time after which an unanswered permit request is repeated, since datagrams may be lost.
const ASK_INTERVAL: Duration = Duration::from_millis(150);
/// The time without an answer after which requests no longer wait for one.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// The shortest and the longest time after which a refused VM asks again. With the longest, 195 VMs
/// send an owner 195 datagrams a second.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// How long a request waits for a permit if its adapter can be loaded on another target, which takes
/// about a second.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(500);

/// A time in which a target is cold.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ColdPeriod {
    until: Timestamp,
    /// No permit is valid before.
    permits_from: Timestamp,
}

impl ColdPeriod {
    /// The period of a target that starts cold.
    pub(crate) fn new(remaining: Duration, now: Timestamp) -> Self {
        Self {
            until: now + remaining,
            permits_from: now,
        }
    }

    /// The period of a target that was warm, and may have got its full load until now.
    pub(crate) fn with_recent_load(remaining: Duration, now: Timestamp) -> Self {
        Self {
            until: now + remaining,
            permits_from: now + RECENT_SEND_TIME,
        }
    }

    pub(crate) fn extended(self, remaining: Duration, now: Timestamp) -> Self {
        Self {
            until: self.until.max(now + remaining),
            ..self
        }
    }

    /// Whether a statement that the target stays cold for `remaining` prolongs the period by more than
    /// the reports of one cold time differ.
    pub(crate) fn is_longer(&self, remaining: Duration, now: Timestamp) -> bool {
        now + remaining > self.until + REPORT_JITTER
    }

    pub(crate) fn is_over(&self, now: Timestamp) -> bool {
        now >= self.until
    }
}

/// How many requests a cold target may get in any second, from all VMs together.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ColdBound {
    /// As a multiple of the requests per second that the target bears.
    pub(crate) overage: f64,
    /// Requests in addition.
    pub(crate) slack: f64,
}

impl ColdBound {
    /// The permits per second for a target that bears `rate` requests per second.
    pub(crate) fn permit_rate(&self, rate: f64) -> f64 {
        let per_second = rate * self.overage + self.slack - RESERVED_REQUESTS;
        let max_rate = per_second / (1.0 + PERMIT_LIFETIME.as_secs_f64());
        max_rate.clamp(0.0, rate.max(0.0))
    }
}

/// An owner's answer to a permit request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PermitGrant {
    /// The time from the answer to the start of each permit.
    pub(crate) delays: Vec<Duration>,
    /// The time after which to ask for further permits.
    pub(crate) retry_after: Duration,
}

impl PermitGrant {
    pub(crate) fn refused() -> Self {
        Self {
            delays: Vec::new(),
            retry_after: ANSWER_TIMEOUT,
        }
    }
}

/// What an owner knows when it hands out permits for a target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PermitTerms {
    /// The requests per second that the target bears from all VMs together.
    pub(crate) rate: f64,
    pub(crate) tenure: TenureSpan,
    /// Unset if the owner takes the target for warm.
    pub(crate) period: Option<ColdPeriod>,
    /// A random number from 0 to 1, which spreads the permit requests of the VMs.
    pub(crate) draw: f64,
}

/// The permits that the owner of a target has handed out: one each 1 / rate seconds. None are saved
/// up while nobody asks.
#[derive(Debug, Default)]
pub(crate) struct PermitSchedule {
    /// The start of the tenure that the other fields belong to.
    tenure_from: Timestamp,
    /// The start of the next permit in milliseconds, which need not be whole.
    next_ms: f64,
    /// The earliest start of permits for a target that this owner takes for warm: other VMs may have
    /// done so until its first permit request.
    hold_until: Timestamp,
    asked_at: Option<Timestamp>,
    /// Permit requests that were refused, less the permits handed out since.
    backlog: f64,
}

impl PermitSchedule {
    pub(crate) fn grant(&mut self, wanted: u32, terms: PermitTerms, now: Timestamp) -> PermitGrant {
        if self.tenure_from != terms.tenure.from {
            *self = Self {
                tenure_from: terms.tenure.from,
                ..Self::default()
            };
        }
        self.record_ask(terms, now);
        // This also exceeds the time for which an earlier owner hands out permits ahead.
        let tenure_start = terms.tenure.from + RECENT_SEND_TIME;
        let period_start = terms.period.map(|period| period.permits_from);
        let start = now.max(tenure_start).max(self.hold_until);
        let start = start.max(period_start.unwrap_or_default());
        let now_ms = now.as_millis() as f64;
        // Later permits could overlap with those of the next owner.
        let horizon = (now + MAX_AHEAD).min(terms.tenure.until);
        let mut delays = Vec::new();
        for _ in 0..wanted.min(MAX_PERMITS_PER_ASK) {
            self.next_ms = self.next_ms.max(start.as_millis() as f64);
            if terms.rate <= 0.0 || self.next_ms >= horizon.as_millis() as f64 {
                break;
            }
            delays.push(Duration::from_millis((self.next_ms - now_ms).ceil() as u64));
            self.next_ms += 1000.0 / terms.rate;
        }
        let granted = delays.len() as f64;
        let is_refused = delays.is_empty();
        self.backlog = (self.backlog - granted).max(0.0) + f64::from(u8::from(is_refused));
        let retry_after = self.retry_delay(terms, now_ms);
        PermitGrant {
            delays,
            retry_after,
        }
    }

    fn record_ask(&mut self, terms: PermitTerms, now: Timestamp) {
        let asked_at = self.asked_at.replace(now);
        let is_recent = asked_at.is_some_and(|asked_at| now.since(asked_at) < ASK_RETENTION);
        if terms.period.is_none() && !is_recent {
            self.hold_until = now + RECENT_SEND_TIME;
        }
    }

    fn retry_delay(&self, terms: PermitTerms, now_ms: f64) -> Duration {
        let until_free = (self.next_ms - now_ms) / 1000.0 - MAX_AHEAD.as_secs_f64();
        let delay = until_free.max(0.0) + self.backlog / terms.rate.max(0.1);
        let limits = (MIN_RETRY_DELAY.as_secs_f64(), MAX_RETRY_DELAY.as_secs_f64());
        Duration::from_secs_f64(delay.clamp(limits.0, limits.1) * (0.75 + terms.draw / 2.0))
    }
}

/// The right to send one request to a cold target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ColdPermit {
    from: Timestamp,
    until: Timestamp,
}

impl ColdPermit {
    /// `delay` is the time from the owner's answer to the start of the permit. The answer was made
    /// after the permit request and before its receipt, so the permit never lasts longer than the owner
    /// assumes.
    fn new(delay: Duration, asked_at: Timestamp, received_at: Timestamp) -> Self {
        Self {
            from: received_at + delay,
            until: asked_at + delay + PERMIT_LIFETIME,
        }
    }

    pub(crate) fn is_valid(&self, now: Timestamp) -> bool {
        self.from <= now && now < self.until
    }
}

/// Identifies a permit request, so that a repeated or late answer to another one is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::From, derive_more::Into)]
pub(crate) struct AskNumber(u64);

/// A permit request that has not been answered.
#[derive(Debug, Clone, Copy)]
struct PendingAsk {
    number: AskNumber,
    wanted: u32,
    asked_at: Timestamp,
}

/// Whether a request may expect a permit for a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PermitOutlook {
    /// A permit that no other request waits for, valid at once or soon.
    Granted,
    /// The owner has been asked.
    Asked,
    /// The owner may be asked now.
    Open,
    /// The owner has refused, or does not answer.
    Closed,
}

/// This VM's permits for one target.
#[derive(Debug, Default)]
struct PermitQueue {
    permits: Vec<ColdPermit>,
    /// The latest permit requests; there are few, since older ones are dropped.
    asks: Vec<PendingAsk>,
    /// When the owner was first asked since its last answer.
    silent_since: Option<Timestamp>,
    refused_until: Timestamp,
    /// Requests that wait for a permit.
    waiting: u32,
}

impl PermitQueue {
    fn outlook(&self, now: Timestamp) -> PermitOutlook {
        let permits = self.permits.iter().filter(|permit| now < permit.until);
        let silence = self.silent_since.map(|since| now.since(since));
        match silence {
            _ if permits.count() > self.waiting as usize => PermitOutlook::Granted,
            Some(silence) if silence < ANSWER_TIMEOUT => PermitOutlook::Asked,
            Some(silence) if silence < ANSWER_TIMEOUT * 2 => PermitOutlook::Closed,
            _ if now < self.refused_until => PermitOutlook::Closed,
            _ => PermitOutlook::Open,
        }
    }

    /// Requests that wait without a permit, including one more.
    fn excess(&self) -> i64 {
        i64::from(self.waiting) + 1 - self.permits.len() as i64
    }
}

/// This VM's permits for cold targets, and its requests for more.
#[derive(Debug, Default)]
pub(crate) struct ColdPermits {
    queues: FastMap<TargetKey, PermitQueue>,
}

impl ColdPermits {
    pub(crate) fn has_valid(&self, target: TargetKey, now: Timestamp) -> bool {
        let queue = self.queues.get(&target);
        queue.is_some_and(|queue| queue.permits.iter().any(|permit| permit.is_valid(now)))
    }

    /// Takes the valid permit that ends first.
    pub(crate) fn take(&mut self, target: TargetKey, now: Timestamp) -> Option<ColdPermit> {
        let permits = &mut self.queues.get_mut(&target)?.permits;
        let valid = permits.iter().enumerate();
        let valid = valid.filter(|(_, permit)| permit.is_valid(now));
        let (first, _) = valid.min_by_key(|(_, permit)| permit.until)?;
        Some(permits.swap_remove(first))
    }

    /// The time until the next permit for a target becomes valid.
    pub(crate) fn time_to_next(&self, target: TargetKey, now: Timestamp) -> Option<Duration> {
        let permits = &self.queues.get(&target)?.permits;
        let valid = permits.iter().filter(|permit| now < permit.until);
        valid.map(|permit| permit.from.since(now)).min()
    }

    /// Replaces a choice without a target by a wait for a permit, if one of the targets in `lacking`
    /// would be chosen with a permit and one may be expected. A load of an adapter elsewhere costs
    /// more than a short wait.
    pub(crate) fn revise_choice(
        &self,
        choice: TargetChoice,
        lacking: &[TargetKey],
        waited: Duration,
        now: Timestamp,
    ) -> TargetChoice {
        let may_wait = match choice {
            TargetChoice::Wait => true,
            TargetChoice::Load(_) | TargetChoice::WaitForCopy => waited < MAX_PERMIT_WAIT,
            _ => false,
        };
        if !may_wait {
            return choice;
        }
        let outlook = |target: &TargetKey| {
            let queue = self.queues.get(target);
            queue.map_or(PermitOutlook::Open, |queue| queue.outlook(now))
        };
        let open = lacking
            .iter()
            .filter(|target| outlook(target) != PermitOutlook::Closed);
        let excess = |target: &&TargetKey| {
            let queue = self.queues.get(*target);
            queue.map_or(1, PermitQueue::excess)
        };
        match open.min_by_key(excess) {
            Some(target) => TargetChoice::WaitForPermit(*target),
            None => choice,
        }
    }

    pub(crate) fn add_waiting(&mut self, target: TargetKey) {
        self.queues.entry(target).or_default().waiting += 1;
    }

    pub(crate) fn remove_waiting(&mut self, target: TargetKey) {
        if let Some(queue) = self.queues.get_mut(&target) {
            queue.waiting = queue.waiting.saturating_sub(1);
        }
    }

    /// Records a permit request if more permits are wanted and the owner may be asked now. Returns the
    /// number of permits to ask for.
    pub(crate) fn begin_ask(
        &mut self,
        target: TargetKey,
        number: AskNumber,
        now: Timestamp,
    ) -> Option<u32> {
        /// The permit requests whose late answers still count.
        const MAX_PENDING: usize = 3;
        let queue = self.queues.get_mut(&target)?;
        queue.permits.retain(|permit| now < permit.until);
        let missing = queue.waiting.saturating_sub(queue.permits.len() as u32);
        let last_ask = queue.asks.last();
        let is_too_early = last_ask.is_some_and(|ask| now.since(ask.asked_at) < ASK_INTERVAL);
        if missing == 0 || is_too_early || now < queue.refused_until {
            return None;
        }
        let is_given_up = |since: &Timestamp| now.since(*since) >= ANSWER_TIMEOUT * 2;
        if queue.silent_since.is_none_or(|since| is_given_up(&since)) {
            queue.silent_since = Some(now);
        }
        if queue.asks.len() == MAX_PENDING {
            queue.asks.remove(0);
        }
        let wanted = missing.min(MAX_PERMITS_PER_ASK);
        queue.asks.push(PendingAsk {
            number,
            wanted,
            asked_at: now,
        });
        Some(wanted)
    }

    /// Applies the owner's answer to a permit request. Returns false if the request is unknown or was
    /// answered before.
    pub(crate) fn apply_answer(
        &mut self,
        target: TargetKey,
        number: AskNumber,
        grant: &PermitGrant,
        now: Timestamp,
    ) -> bool {
        let Some(queue) = self.queues.get_mut(&target) else {
            return false;
        };
        let Some(index) = queue.asks.iter().position(|ask| ask.number == number) else {
            return false;
        };
        let ask = queue.asks.remove(index);
        queue.silent_since = None;
        let permit = |delay: &Duration| ColdPermit::new(*delay, ask.asked_at, now);
        // A permit of a very late answer ends before it could be used.
        let permits = grant.delays.iter().map(permit);
        let usable = permits.filter(|permit| permit.from < permit.until);
        queue.permits.extend(usable);
        if grant.delays.len() < ask.wanted as usize {
            queue.refused_until = now + grant.retry_after;
        }
        true
    }

    /// Records that nobody can be asked for permits now.
    pub(crate) fn refuse(&mut self, target: TargetKey, now: Timestamp) {
        let queue = self.queues.entry(target).or_default();
        queue.silent_since = None;
        queue.refused_until = now + ANSWER_TIMEOUT;
    }

    pub(crate) fn remove_target(&mut self, target: TargetKey) {
        // Requests that still wait stay counted until they choose again.
        let waiting = self.queues.remove(&target).map_or(0, |queue| queue.waiting);
        if waiting > 0 {
            self.queues.entry(target).or_default().waiting = waiting;
        }
    }
}
