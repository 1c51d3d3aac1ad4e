//! The coordinator's state of one target: limit, cold-start ramp and health.

use std::collections::VecDeque;
use std::time::Duration;

use super::event::TargetSpec;
use crate::clock::Timestamp;

/// The minimum time between two steps of the cold-start ramp.
const RAMP_STEP: Duration = Duration::from_secs(1);
/// The number of consecutive connect failures that suspends a target.
const SUSPEND_AFTER_FAILURES: u32 = 2;
/// A first token counts as slow if it takes more than this many times the moving average.
const SLOW_FACTOR: f64 = 4.0;
/// The number of consecutive slow first tokens after which a target counts as cold. A single one
/// may be due to a long prompt.
const MAX_SLOW_ANSWERS: u32 = 3;
/// The number of samples before the moving average is used.
const MIN_AVERAGE_SAMPLES: u32 = 8;
/// The weight of a new sample in the moving average.
const AVERAGE_WEIGHT: f64 = 0.1;
/// The number of recent prompt prefixes kept for each target.
const PREFIX_LIMIT: usize = 64;

/// The state of a target's cold-start ramp, which raises its limit step by step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RampState {
    Warm,
    Cold {
        limit: u32,
        since: Timestamp,
        /// Completed answers and first tokens of streams since the last step.
        healthy_answers: u32,
        /// Whether the target reports that it is cold.
        reported_cold: bool,
    },
}

/// The state of one target.
#[derive(Debug)]
pub(super) struct TargetState {
    pub(super) spec: TargetSpec,
    /// `None` until the first probe is answered; the target gets no requests before that.
    pub(super) boot: Option<u64>,
    pub(super) ramp: RampState,
    /// The number of pins.
    pub(super) in_flight: u32,
    /// The number of pins of suspect requests.
    pub(super) suspects: u32,
    /// Set after consecutive connect failures, until a probe is answered.
    pub(super) suspended: bool,
    /// Whether the target is returning to service and still in its ramp.
    pub(super) returning: bool,
    pub(super) next_probe: Timestamp,
    /// When the newest answered probe was sent; answers to older probes are ignored.
    pub(super) asked_at: Timestamp,
    /// When the newest load or unload on this target ended. The lists of earlier probes may not
    /// reflect it.
    pub(super) last_command_ended: Timestamp,
    connect_failures: u32,
    mean_first_token_ms: f64,
    first_token_samples: u32,
    slow_answers: u32,
    prefixes: VecDeque<u64>,
}

impl TargetState {
    pub(super) fn new(spec: TargetSpec, now: Timestamp) -> Self {
        Self {
            spec,
            boot: None,
            ramp: RampState::cold(now, false),
            in_flight: 0,
            suspects: 0,
            suspended: false,
            returning: false,
            next_probe: now,
            asked_at: Timestamp::default(),
            last_command_ended: Timestamp::default(),
            connect_failures: 0,
            mean_first_token_ms: 0.0,
            first_token_samples: 0,
            slow_answers: 0,
            prefixes: VecDeque::new(),
        }
    }

    /// Whether the target may get new requests and loads.
    pub(super) fn accepts_work(&self) -> bool {
        self.spec.in_service && self.boot.is_some() && !self.suspended
    }

    pub(super) fn is_cold(&self) -> bool {
        self.ramp != RampState::Warm
    }

    /// The current limit on the target's pins.
    pub(super) fn limit(&self) -> u32 {
        match self.ramp {
            RampState::Warm => self.spec.request_limit,
            RampState::Cold { limit, .. } => limit.min(self.spec.request_limit),
        }
    }

    pub(super) fn has_free_slot(&self) -> bool {
        self.accepts_work() && self.in_flight < self.limit()
    }

    /// In-flight requests as a fraction of the limit.
    pub(super) fn load(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.limit().max(1))
    }

    pub(super) fn has_prefix(&self, prefix: Option<u64>) -> bool {
        prefix.is_some_and(|prefix| self.prefixes.contains(&prefix))
    }

    pub(super) fn record_prefix(&mut self, prefix: Option<u64>) {
        let Some(prefix) = prefix else { return };
        if !self.prefixes.contains(&prefix) {
            self.prefixes.push_back(prefix);
        }
        if self.prefixes.len() > PREFIX_LIMIT {
            self.prefixes.pop_front();
        }
    }

    /// Restarts the ramp. A target that reported itself cold stays so until a newer report says
    /// otherwise, since a broken answer or a return to service is no evidence that it is warm.
    pub(super) fn restart_ramp(&mut self, now: Timestamp, reported_cold: bool) {
        let known_cold = matches!(
            self.ramp,
            RampState::Cold {
                reported_cold: true,
                ..
            }
        );
        self.ramp = RampState::cold(now, reported_cold || known_cold);
        self.slow_answers = 0;
    }

    /// Applies the target's own report on whether it is cold.
    pub(super) fn apply_reported_cold(&mut self, now: Timestamp, cold: bool) {
        match &mut self.ramp {
            RampState::Warm if cold => self.restart_ramp(now, true),
            RampState::Warm => {}
            // The ramp has advanced although the target is still cold.
            RampState::Cold { limit, .. } if cold && *limit > 1 => self.restart_ramp(now, true),
            RampState::Cold { reported_cold, .. } => *reported_cold = cold,
        }
    }

    /// Records a completed answer.
    pub(super) fn record_completion(&mut self, now: Timestamp, first_token: Option<Duration>) {
        self.connect_failures = 0;
        if let RampState::Cold {
            healthy_answers, ..
        } = &mut self.ramp
        {
            *healthy_answers += 1;
            return;
        }
        let Some(first_token) = first_token else {
            return;
        };
        let millis = first_token.as_secs_f64() * 1000.0;
        let has_average = self.first_token_samples >= MIN_AVERAGE_SAMPLES;
        if has_average && millis > SLOW_FACTOR * self.mean_first_token_ms {
            self.slow_answers += 1;
            if self.slow_answers >= MAX_SLOW_ANSWERS {
                self.restart_ramp(now, false);
            }
            return;
        }
        self.slow_answers = 0;
        self.first_token_samples += 1;
        let weight = AVERAGE_WEIGHT.max(1.0 / f64::from(self.first_token_samples));
        self.mean_first_token_ms += weight * (millis - self.mean_first_token_ms);
    }

    /// Records the first token of a stream as a healthy answer. Otherwise a long stream would keep
    /// a cold target at one request until its end.
    pub(super) fn record_first_token(&mut self) {
        if let RampState::Cold {
            healthy_answers, ..
        } = &mut self.ramp
        {
            *healthy_answers += 1;
        }
    }

    /// Records an incomplete answer, which restarts the ramp of a cold target.
    pub(super) fn record_broken_answer(&mut self, now: Timestamp) {
        if self.is_cold() {
            self.restart_ramp(now, false);
        }
    }

    /// Records a failed connection. The second consecutive one suspends the target.
    pub(super) fn record_connect_failure(&mut self, now: Timestamp) {
        self.connect_failures += 1;
        if self.connect_failures >= SUSPEND_AFTER_FAILURES && !self.suspended {
            self.suspended = true;
            self.restart_ramp(now, false);
        }
    }

    /// Records an answered probe, which ends a suspension and restarts the ramp.
    pub(super) fn record_probe_answer(&mut self, now: Timestamp) {
        self.connect_failures = 0;
        if self.suspended {
            self.suspended = false;
            self.returning = true;
            self.restart_ramp(now, false);
        }
    }

    /// Applies a changed configuration entry. A target that comes back into service restarts its
    /// ramp.
    pub(super) fn update_spec(&mut self, spec: TargetSpec, now: Timestamp) {
        if spec.in_service && !self.spec.in_service {
            self.returning = true;
            self.restart_ramp(now, false);
        }
        self.spec = spec;
    }

    /// Doubles the limit of a cold target after each second with healthy answers, unless the target
    /// reports that it is still cold.
    pub(super) fn step_ramp(&mut self, now: Timestamp) {
        let RampState::Cold {
            limit,
            since,
            healthy_answers,
            reported_cold,
        } = self.ramp
        else {
            return;
        };
        if now.since(since) < RAMP_STEP || healthy_answers == 0 || reported_cold {
            return;
        }
        let limit = limit.saturating_mul(2);
        if limit >= self.spec.request_limit {
            self.ramp = RampState::Warm;
            self.returning = false;
            self.slow_answers = 0;
            return;
        }
        self.ramp = RampState::Cold {
            limit,
            since: now,
            healthy_answers: 0,
            reported_cold,
        };
    }
}

impl RampState {
    fn cold(now: Timestamp, reported_cold: bool) -> Self {
        Self::Cold {
            limit: 1,
            since: now,
            healthy_answers: 0,
            reported_cold,
        }
    }
}
