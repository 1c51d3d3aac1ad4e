//! Finds out whether a broken answer was a crash, and shares strikes with the other nodes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::strikes::{RequestFingerprint, RequestVerdict, StrikeId, StrikeTable};
use super::wire::{ClearNote, NotedAnswer, QuarantineKind, QuarantineMessage, StrikeNote};
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::context::NodeContext;
use crate::ids::{LogOffset, TargetName};
use crate::log_service::PlatformError;
use crate::peer::PeerBody;

/// The log stream of strikes.
pub(crate) const STRIKES_STREAM: &str = "strikes";
/// How long one read of the stream waits for new records.
const READ_WAIT: Duration = Duration::from_secs(5);
/// The most records in one read.
const READ_RECORDS: usize = 1000;
/// The pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// The probes in a row that must fail before a target counts as unreachable.
const PROBES: usize = 3;
/// How long one probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause between two probes: a restarting process refuses connections for a moment.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// How old the known boot id of a target may be before a new request refreshes it.
const BOOT_AGE_LIMIT: Duration = Duration::from_secs(10);
/// How long a peer may take to note a strike.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// A record of the strikes stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum StrikeRecord {
    Strike {
        fingerprint: String,
        strike: StrikeId,
    },
    Clear {
        fingerprint: String,
        strikes: Vec<StrikeId>,
    },
}

#[derive(Debug, Deserialize)]
struct TargetHealth {
    #[serde(default)]
    boot: Option<u64>,
}

/// What one probe of a target saw.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeEnd {
    Up { boot: Option<u64> },
    Down,
}

/// The boot id of a target as last seen.
#[derive(Debug, Clone, Copy)]
struct KnownBoot {
    boot: Option<u64>,
    seen: Timestamp,
}

/// Owns this node's strikes.
#[derive(Debug)]
pub(crate) struct QuarantineService {
    context: Arc<NodeContext>,
    table: Mutex<StrikeTable>,
    boots: Mutex<FastMap<TargetName, KnownBoot>>,
}

impl QuarantineService {
    pub(crate) fn new(context: Arc<NodeContext>) -> Self {
        Self {
            context,
            table: Mutex::default(),
            boots: Mutex::default(),
        }
    }

    fn table(&self) -> std::sync::MutexGuard<'_, StrikeTable> {
        self.table.lock().expect("no holder of the lock panics")
    }

    fn now(&self) -> Timestamp {
        self.context.clock.now()
    }

    /// How a request with this fingerprint is to be treated.
    pub(crate) fn verdict(&self, fingerprint: &RequestFingerprint) -> RequestVerdict {
        self.table().verdict(fingerprint, self.now())
    }

    /// The number of requests with this verdict.
    pub(crate) fn count(&self, verdict: RequestVerdict) -> usize {
        self.table().count(verdict, self.now())
    }

    /// The boot id of a target to which a request is about to be sent. Probes when none was seen
    /// lately: a probe beside the request could see the target only after its crash.
    pub(crate) async fn boot_before_send(
        &self,
        target: &TargetName,
        address: SocketAddr,
    ) -> Option<u64> {
        if let Some(known) = self.recent_boot(target) {
            return known.boot;
        }
        let ProbeEnd::Up { boot } = self.probe(address).await else {
            return None;
        };
        self.note_boot(target, boot);
        boot
    }

    fn recent_boot(&self, target: &TargetName) -> Option<KnownBoot> {
        let known = self.known_boot(target)?;
        (self.now().since(known.seen) < BOOT_AGE_LIMIT).then_some(known)
    }

    /// The boot id that a probe saw last, however long ago.
    pub(crate) fn seen_boot(&self, target: &TargetName) -> Option<u64> {
        self.known_boot(target)?.boot
    }

    fn known_boot(&self, target: &TargetName) -> Option<KnownBoot> {
        let boots = self.boots.lock().expect("no holder of the lock panics");
        boots.get(target).copied()
    }

    fn note_boot(&self, target: &TargetName, boot: Option<u64>) {
        let seen = self.now();
        let mut boots = self.boots.lock().expect("no holder of the lock panics");
        boots.insert(target.clone(), KnownBoot { boot, seen });
    }

    /// Strikes the request if its broken answer came with a crash of the target, whose boot id
    /// was `before` when the request was sent.
    pub(crate) async fn report_break(
        &self,
        fingerprint: RequestFingerprint,
        target: &TargetName,
        address: SocketAddr,
        before: Option<u64>,
    ) -> bool {
        let crashed = self.has_crashed(target, address, before).await;
        if crashed {
            self.strike(fingerprint);
        }
        crashed
    }

    async fn has_crashed(
        &self,
        target: &TargetName,
        address: SocketAddr,
        before: Option<u64>,
    ) -> bool {
        for number in 0..PROBES {
            if number > 0 {
                tokio::time::sleep(PROBE_PAUSE).await;
            }
            if let ProbeEnd::Up { boot } = self.probe(address).await {
                self.note_boot(target, boot);
                return before.is_some() && boot != before;
            }
        }
        true
    }

    async fn probe(&self, address: SocketAddr) -> ProbeEnd {
        let url = format!("http://{address}/health");
        let call = self.context.targets.get(url).timeout(PROBE_TIMEOUT);
        let Ok(reply) = call.send().await else {
            return ProbeEnd::Down;
        };
        let health = reply.json::<TargetHealth>().await.ok();
        ProbeEnd::Up {
            boot: health.and_then(|health| health.boot),
        }
    }

    fn strike(&self, fingerprint: RequestFingerprint) {
        let (strike, now) = (rand::random(), self.now());
        let verdict = self.table().strike(fingerprint, strike, now, now);
        tracing::warn!("quarantine: strike against request {fingerprint}, now {verdict:?}");
        let note = StrikeNote {
            fingerprint: fingerprint.as_bytes().to_vec(),
            strike,
        };
        let fingerprint = fingerprint.to_string();
        let record = StrikeRecord::Strike {
            fingerprint,
            strike,
        };
        self.share(QuarantineKind::Strike(note), &record);
    }

    /// Clears the strikes of a request that was answered completely.
    pub(crate) fn clear(&self, fingerprint: &RequestFingerprint) {
        let strikes = self.table().clear(fingerprint, self.now());
        if strikes.is_empty() {
            return;
        }
        let note = ClearNote {
            fingerprint: fingerprint.as_bytes().to_vec(),
            strikes: strikes.clone(),
        };
        let fingerprint = fingerprint.to_string();
        let record = StrikeRecord::Clear {
            fingerprint,
            strikes,
        };
        self.share(QuarantineKind::Clear(note), &record);
    }

    /// Tells all peers and the log, both as well as it goes.
    fn share(&self, kind: QuarantineKind, record: &StrikeRecord) {
        let data = serde_json::to_string(record).expect("a record has only string keys");
        let context = Arc::clone(&self.context);
        tokio::spawn(async move {
            let log = context.log.append(STRIKES_STREAM, &data);
            let peers = tell_peers(&context, kind);
            let (appended, ()) = tokio::join!(log, peers);
            if let Err(error) = appended {
                tracing::warn!("quarantine: a record was not stored: {error}");
            }
        });
    }

    /// Answers a peer's message.
    pub(crate) fn handle(&self, message: QuarantineMessage) -> Option<QuarantineMessage> {
        let now = self.now();
        match message.kind? {
            QuarantineKind::Strike(note) => {
                let fingerprint = RequestFingerprint::from_bytes(&note.fingerprint)?;
                self.table().strike(fingerprint, note.strike, now, now);
            }
            QuarantineKind::Clear(note) => {
                let fingerprint = RequestFingerprint::from_bytes(&note.fingerprint)?;
                self.table().clear_strikes(fingerprint, &note.strikes, now);
            }
            QuarantineKind::Noted(_) => return None,
        }
        let kind = Some(QuarantineKind::Noted(NotedAnswer {}));
        Some(QuarantineMessage { kind })
    }

    /// Follows the stream until the future is dropped.
    pub(crate) async fn run(&self) {
        let mut next = LogOffset::default();
        loop {
            if let Err(error) = self.read_once(&mut next).await {
                tracing::debug!("quarantine: reading the log failed: {error}");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn read_once(&self, next: &mut LogOffset) -> Result<(), PlatformError> {
        let log = &self.context.log;
        let page = log
            .read(STRIKES_STREAM, *next, READ_RECORDS, READ_WAIT)
            .await?;
        let now = self.now();
        for record in &page.records {
            let age = page.at_ms.saturating_sub(record.at_ms);
            self.apply_record(&record.data, Duration::from_millis(age), now);
            *next = record.offset.next();
        }
        *next = (*next).max(page.first);
        Ok(())
    }

    /// Applies a record of this age; the log's times are not this node's.
    fn apply_record(&self, data: &str, age: Duration, now: Timestamp) {
        let at = now.as_millis();
        let at = at.checked_sub(u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
        // A record from before this process started is as old as the process clock can tell.
        let at = Timestamp::from_millis(at.unwrap_or(0));
        if age >= super::strikes::QUARANTINE_TIME {
            return;
        }
        match serde_json::from_str(data) {
            Ok(StrikeRecord::Strike {
                fingerprint,
                strike,
            }) => {
                if let Some(fingerprint) = RequestFingerprint::from_hex(&fingerprint) {
                    self.table().strike(fingerprint, strike, at, now);
                }
            }
            Ok(StrikeRecord::Clear {
                fingerprint,
                strikes,
            }) => {
                if let Some(fingerprint) = RequestFingerprint::from_hex(&fingerprint) {
                    self.table().clear_strikes(fingerprint, &strikes, now);
                }
            }
            Err(error) => tracing::warn!("quarantine: a record is malformed: {error}"),
        }
    }
}

async fn tell_peers(context: &NodeContext, kind: QuarantineKind) {
    let peers = context.membership.table().addresses(context.clock.now());
    let calls = peers.into_iter().map(|(_, address)| {
        let kind = Some(kind.clone());
        let body = PeerBody::Quarantine(QuarantineMessage { kind });
        async move { context.peers.call(address, body, CALL_TIMEOUT).await }
    });
    futures_util::future::join_all(calls).await;
}
