//! What callers and targets have seen, and the promises that it must keep.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What a caller asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AskKind {
    /// May run any number of times.
    Look,
    /// Runs at most once.
    Pay,
    /// A stream that another target may continue.
    Stream,
}

impl AskKind {
    pub(crate) fn path(self) -> &'static str {
        match self {
            Self::Look => "/look/",
            Self::Pay => "/pay/",
            Self::Stream => "/stream/",
        }
    }
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AskEnd {
    /// A whole answer: its status and body.
    Answered {
        status: u16,
        seal: String,
        body: String,
    },
    /// The connection ended, or nothing came in time.
    Unknown,
}

/// A run at a target.
#[derive(Debug)]
struct RunNote {
    target: usize,
    key_version: u64,
    at: Instant,
}

/// All that was seen in one soak.
#[derive(Debug, Default)]
pub(crate) struct SoakLedger {
    runs: BTreeMap<String, Vec<RunNote>>,
    ends: BTreeMap<String, (AskKind, AskEnd)>,
    /// The newest fencing token of each target's orders, with its holder.
    tokens: BTreeMap<usize, (u64, String)>,
    /// When the keys below a version were withdrawn.
    withdrawn: Vec<(u64, Instant)>,
    pub(crate) broken: Vec<String>,
}

/// The events of a whole stream.
pub(crate) const STREAM_EVENTS: u32 = 6;
/// How long a withdrawn key may still be used: `revokeMs` of the settings, and time for a request
/// that a VM has sent to reach its target on this machine.
const KEY_BOUND: Duration = Duration::from_millis(3000 + 250);
/// Statuses that promise that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

impl SoakLedger {
    /// A target begins to run a request. Ids begin with the version of the caller's key.
    pub(crate) fn note_run(&mut self, id: &str, target: usize) {
        let key_version = id.split('-').next().and_then(|text| text.parse().ok());
        let run = RunNote {
            target,
            key_version: key_version.unwrap_or(0),
            at: Instant::now(),
        };
        self.runs.entry(id.to_owned()).or_default().push(run);
    }

    pub(crate) fn note_end(&mut self, id: String, kind: AskKind, end: AskEnd) {
        self.ends.insert(id, (kind, end));
    }

    /// A target got an order.
    pub(crate) fn note_order(&mut self, target: usize, holder: &str, token: u64) {
        let newest = self
            .tokens
            .entry(target)
            .or_insert((token, holder.to_owned()));
        if token == newest.0 && holder != newest.1 {
            let broken = format!("{holder} and {} ordered under token {token}", newest.1);
            self.broken.push(broken);
        }
        if token > newest.0 {
            *newest = (token, holder.to_owned());
        }
    }

    /// The newest token that a target has seen.
    pub(crate) fn token(&self, target: usize) -> u64 {
        self.tokens.get(&target).map_or(0, |(token, _)| *token)
    }

    /// Keys of versions below `version` are no longer valid.
    pub(crate) fn note_withdrawn(&mut self, version: u64) {
        self.withdrawn.push((version, Instant::now()));
    }

    pub(crate) fn answered(&self) -> usize {
        let ends = self.ends.values();
        let served = |end: &AskEnd| matches!(end, AskEnd::Answered { status: 200, .. });
        ends.filter(|(_, end)| served(end)).count()
    }

    /// Lists all promises that were broken.
    pub(crate) fn check(&self) -> Vec<String> {
        let mut broken = self.broken.clone();
        for (id, runs) in &self.runs {
            let Some((kind, end)) = self.ends.get(id) else {
                broken.push(format!("{id} ran but nobody sent it"));
                continue;
            };
            if *kind == AskKind::Pay && runs.len() > 1 {
                broken.push(format!("{id} ran {} times", runs.len()));
            }
            if let AskEnd::Answered { status, .. } = end
                && NOT_RUN.contains(status)
            {
                broken.push(format!("{id} ran and was answered {status}"));
            }
            broken.extend(runs.iter().filter_map(|run| self.check_key(id, run)));
        }
        for (id, (kind, end)) in &self.ends {
            if let AskEnd::Answered {
                status: 200,
                seal,
                body,
            } = end
            {
                broken.extend(self.check_answer(id, *kind, seal, body));
            }
        }
        broken
    }

    fn check_key(&self, id: &str, run: &RunNote) -> Option<String> {
        let late = |(version, at): &&(u64, Instant)| {
            run.key_version < *version && run.at > *at + KEY_BOUND
        };
        let (version, at) = self.withdrawn.iter().find(late)?;
        let after = run.at.duration_since(*at).as_millis();
        Some(format!(
            "{id} ran {after} ms after version {version} withdrew its key"
        ))
    }

    fn check_answer(&self, id: &str, kind: AskKind, seal: &str, body: &str) -> Option<String> {
        let ran = self.runs.get(id).into_iter().flatten();
        let sealed = ran.map(|run| format!("s-{id}-{}", run.target));
        if !sealed.into_iter().any(|expected| expected == seal) {
            return Some(format!("{id} was answered with the seal {seal:?}"));
        }
        let expected = match kind {
            AskKind::Stream => (1..=STREAM_EVENTS)
                .map(|event| event_text(id, event))
                .collect(),
            AskKind::Look | AskKind::Pay => plain_body(id),
        };
        (body != expected).then(|| format!("{id} was answered with {body:?}"))
    }
}

pub(crate) fn event_text(id: &str, event: u32) -> String {
    format!("id: {event}\ndata: word {event} of {id}\n\n")
}

pub(crate) fn plain_body(id: &str) -> String {
    format!("answer to {id}")
}
