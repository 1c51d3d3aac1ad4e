//! The sendings of a request: a caller may send a request again with the same id.

use std::collections::BTreeMap;

use super::history::{RequestKind, RunRecord, SoakHistory};
use super::platform_fixture::header;

/// Identifies one sending of a request. Targets learn it from the path, which VMs pass on, so that
/// each run belongs to exactly one sending.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SendingKey {
    /// The request's id, which all its sendings have in common.
    pub(crate) id: String,
    /// Counted from 1.
    number: u32,
}

impl SendingKey {
    pub(crate) fn new(id: String, number: u32) -> Self {
        Self { id, number }
    }

    /// The sending to which a request belongs that a target received.
    pub(crate) fn of_request(head: &str) -> Self {
        let path = head.split(' ').nth(1).unwrap_or_default();
        let number = path.split_once("?sending=").map(|(_, number)| number);
        let number = number.and_then(|number| number.parse().ok());
        let id = header(head, "x-request-id").unwrap_or_default();
        Self::new(id.to_owned(), number.unwrap_or(0))
    }

    /// The end of the path with which the sending is sent.
    pub(crate) fn query(&self) -> String {
        format!("?sending={}", self.number)
    }

    /// The seal of a target's response to this sending.
    pub(crate) fn seal(&self, target: usize) -> String {
        format!("s-{}-{}-{target}", self.id, self.number)
    }
}

impl std::fmt::Display for SendingKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.number {
            1 => write!(f, "{}", self.id),
            number => write!(f, "{} (sending {number})", self.id),
        }
    }
}

impl SoakHistory {
    /// Checks that a request that may run only once did so, over all its sendings.
    pub(crate) fn check_run_counts(&self) -> Vec<String> {
        let mut counts = BTreeMap::<&str, usize>::new();
        for (sending, runs) in &self.runs {
            let kind = self.outcomes.get(sending).map(|(kind, _)| *kind);
            if kind == Some(RequestKind::NonIdempotent) {
                *counts.entry(&sending.id).or_default() += runs.len();
            }
        }
        let repeated = counts.into_iter().filter(|(_, count)| *count > 1);
        let describe = |(id, count): (&str, usize)| {
            let runs = self.describe_runs(id);
            format!("{id} ran {count} times, but may run only once: {runs}")
        };
        repeated.map(describe).collect()
    }

    /// Describes the runs of all sendings of a request.
    pub(crate) fn describe_runs(&self, id: &str) -> String {
        let sendings = self.runs.iter().filter(|(sending, _)| sending.id == id);
        let runs = sendings.flat_map(|(sending, runs)| {
            let (vm, sent_at) = (self.describe_vm(sending), self.sends.get(sending));
            let describe = move |run: &RunRecord| {
                let after = sent_at.map(|(_, sent_at)| run.started_at - *sent_at);
                let after_ms = after.unwrap_or_default().as_millis();
                format!(
                    "{sending} of {vm} on target {} after {after_ms} ms",
                    run.target
                )
            };
            runs.iter().map(describe)
        });
        runs.collect::<Vec<_>>().join(", ")
    }
}
