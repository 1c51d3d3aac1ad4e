//! The retry budget of a service, shared by all entry VMs.
//!
//! Load pattern: a failing service makes every request fail once; without a budget, retries double
//! its load.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Timestamp;

/// The fraction of the permitted ratio that the VMs use. The rest covers requests that are counted
/// in one window while their retries fall into the next.
const RATIO_UTILIZATION: f64 = 0.7;
/// The fraction of the fixed slack that all VMs use together.
const SLACK_UTILIZATION: f64 = 0.7;

/// The retry limit of one service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RetryLimit {
    /// Retries per request.
    pub(crate) ratio: f64,
    /// The time window in which requests and retries are counted.
    pub(crate) window: Duration,
    /// Retries permitted in addition to the ratio, over all VMs.
    pub(crate) slack: f64,
}

/// This VM's share of one service's budget.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    limit: RetryLimit,
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

impl RetryBudget {
    pub(crate) fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    pub(crate) fn record_request(&mut self, now: Timestamp) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Consumes one retry if the budget allows it. `members` is the number of VMs that share the
    /// budget.
    pub(crate) fn try_retry(&mut self, members: usize, now: Timestamp) -> bool {
        self.expire(now);
        let by_ratio = self.limit.ratio * RATIO_UTILIZATION * self.requests.len() as f64;
        let by_slack = self.limit.slack * SLACK_UTILIZATION / members.max(1) as f64;
        let is_allowed = (self.retries.len() as f64) + 1.0 <= by_ratio + by_slack;
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }

    fn expire(&mut self, now: Timestamp) {
        for times in [&mut self.requests, &mut self.retries] {
            while times
                .front()
                .is_some_and(|time| now.since(*time) > self.limit.window)
            {
                times.pop_front();
            }
        }
    }
}
