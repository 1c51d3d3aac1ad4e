//! Detects whether a target crashed when its answer broke off, and shares strikes with other nodes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::strikes::{RequestFingerprint, RequestVerdict, StrikeId, StrikeTable};
use super::wire::{ClearUpdate, QuarantineKind, QuarantineMessage, StrikeUpdate, UpdateAck};
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::context::NodeContext;
use crate::ids::{LogOffset, TargetName};
use crate::peer::PeerBody;
use crate::platform_client::PlatformError;
use crate::response_body::read_response;

/// The log stream that holds strikes and clearings.
pub(crate) const STRIKES_STREAM: &str = "strikes";
/// How long a read of the stream waits for new records.
const READ_WAIT: Duration = Duration::from_secs(5);
/// The most records in one read.
const MAX_READ_RECORDS: usize = 1000;
/// The pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// The number of consecutive failed probes after which a target counts as crashed.
const PROBE_ATTEMPTS: usize = 3;
/// The timeout of one probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// The largest response to a probe, which holds a few numbers.
const MAX_HEALTH_BYTES: usize = 16 * 1024;
/// The pause between two probes, since a restarting process refuses connections for a short time.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// The age from which a new request probes the boot id of its target again.
const MAX_BOOT_AGE: Duration = Duration::from_secs(10);
/// The timeout of one call to a peer.
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

/// The result of one probe of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeOutcome {
    Up { boot: Option<u64> },
    Down,
}

/// The last observed boot id of a target.
#[derive(Debug, Clone, Copy)]
struct ObservedBoot {
    boot: Option<u64>,
    observed_at: Timestamp,
}

/// Keeps this node's copy of the strikes and the boot ids of the targets.
#[derive(Debug)]
pub(crate) struct QuarantineService {
    context: Arc<NodeContext>,
    table: Mutex<StrikeTable>,
    boots: Mutex<FastMap<TargetName, ObservedBoot>>,
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

    pub(crate) fn verdict(&self, fingerprint: &RequestFingerprint) -> RequestVerdict {
        self.table().verdict(fingerprint, self.now())
    }

    /// The number of requests with this verdict.
    pub(crate) fn count(&self, verdict: RequestVerdict) -> usize {
        self.table().count(verdict, self.now())
    }

    /// The boot id of a target to which a request is about to be sent. Probes the target first if
    /// the last observation is too old: a probe during the request could already reach the
    /// restarted target.
    pub(crate) async fn boot_before_send(
        &self,
        target: &TargetName,
        address: SocketAddr,
    ) -> Option<u64> {
        if let Some(observed) = self.recent_boot(target) {
            return observed.boot;
        }
        let ProbeOutcome::Up { boot } = self.probe(address).await else {
            return None;
        };
        self.record_boot(target, boot);
        boot
    }

    fn recent_boot(&self, target: &TargetName) -> Option<ObservedBoot> {
        let observed = self.observed_boot(target)?;
        (self.now().since(observed.observed_at) < MAX_BOOT_AGE).then_some(observed)
    }

    /// The last observed boot id, of any age.
    pub(crate) fn last_observed_boot(&self, target: &TargetName) -> Option<u64> {
        self.observed_boot(target)?.boot
    }

    fn observed_boot(&self, target: &TargetName) -> Option<ObservedBoot> {
        let boots = self.boots.lock().expect("no holder of the lock panics");
        boots.get(target).copied()
    }

    fn record_boot(&self, target: &TargetName, boot: Option<u64>) {
        let observed_at = self.now();
        let mut boots = self.boots.lock().expect("no holder of the lock panics");
        boots.insert(target.clone(), ObservedBoot { boot, observed_at });
    }

    /// Adds a strike to a request whose answer broke off, if the target crashed. `boot_before` is
    /// the boot id of the target when the request was sent. Returns whether the target crashed.
    pub(crate) async fn strike_if_crashed(
        &self,
        fingerprint: RequestFingerprint,
        target: &TargetName,
        address: SocketAddr,
        boot_before: Option<u64>,
    ) -> bool {
        let crashed = self.has_crashed(target, address, boot_before).await;
        if crashed {
            self.strike(fingerprint);
        }
        crashed
    }

    async fn has_crashed(
        &self,
        target: &TargetName,
        address: SocketAddr,
        boot_before: Option<u64>,
    ) -> bool {
        for attempt in 0..PROBE_ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(PROBE_PAUSE).await;
            }
            if let ProbeOutcome::Up { boot } = self.probe(address).await {
                self.record_boot(target, boot);
                return boot_before.is_some() && boot != boot_before;
            }
        }
        true
    }

    async fn probe(&self, address: SocketAddr) -> ProbeOutcome {
        let url = format!("http://{address}/health");
        let call = self.context.target_client.get(url).timeout(PROBE_TIMEOUT);
        let Ok(reply) = call.send().await else {
            return ProbeOutcome::Down;
        };
        // A target that answers without end runs, and its boot id is not known.
        let body = read_response(reply, MAX_HEALTH_BYTES, &self.context.target_memory).await;
        let health: Option<TargetHealth> =
            (body.ok()).and_then(|body| serde_json::from_slice(&body.bytes).ok());
        ProbeOutcome::Up {
            boot: health.and_then(|health| health.boot),
        }
    }

    fn strike(&self, fingerprint: RequestFingerprint) {
        let (strike, now) = (rand::random(), self.now());
        let verdict = self.table().strike(fingerprint, strike, now, now);
        tracing::warn!(
            "quarantine: target crashed, strike added to request {fingerprint}, now {verdict:?}"
        );
        let update = StrikeUpdate {
            fingerprint: fingerprint.as_bytes().to_vec(),
            strike,
        };
        let fingerprint = fingerprint.to_string();
        let record = StrikeRecord::Strike {
            fingerprint,
            strike,
        };
        self.publish(QuarantineKind::Strike(update), &record);
    }

    /// Clears the strikes of a request that received a complete answer.
    pub(crate) fn clear(&self, fingerprint: &RequestFingerprint) {
        let strikes = self.table().clear(fingerprint, self.now());
        if strikes.is_empty() {
            return;
        }
        let update = ClearUpdate {
            fingerprint: fingerprint.as_bytes().to_vec(),
            strikes: strikes.clone(),
        };
        let fingerprint = fingerprint.to_string();
        let record = StrikeRecord::Clear {
            fingerprint,
            strikes,
        };
        self.publish(QuarantineKind::Clear(update), &record);
    }

    /// Sends an update to all peers and appends it to the log, both without a retry.
    fn publish(&self, kind: QuarantineKind, record: &StrikeRecord) {
        let data = serde_json::to_string(record).expect("a record has only string keys");
        let context = Arc::clone(&self.context);
        tokio::spawn(async move {
            let log = context.log.append(STRIKES_STREAM, &data);
            let peers = notify_peers(&context, kind);
            let (appended, ()) = tokio::join!(log, peers);
            if let Err(error) = appended {
                tracing::warn!(
                    "quarantine: appending a record to the strikes stream failed: {error}"
                );
            }
        });
    }

    /// Applies an update from a peer and acknowledges it.
    pub(crate) fn handle(&self, message: QuarantineMessage) -> Option<QuarantineMessage> {
        let now = self.now();
        match message.kind? {
            QuarantineKind::Strike(update) => {
                let fingerprint = RequestFingerprint::from_bytes(&update.fingerprint)?;
                self.table().strike(fingerprint, update.strike, now, now);
            }
            QuarantineKind::Clear(update) => {
                let fingerprint = RequestFingerprint::from_bytes(&update.fingerprint)?;
                self.table()
                    .clear_strikes(fingerprint, &update.strikes, now);
            }
            QuarantineKind::Ack(_) => return None,
        }
        let kind = Some(QuarantineKind::Ack(UpdateAck {}));
        Some(QuarantineMessage { kind })
    }

    /// Reads and applies the strikes stream until the future is dropped.
    pub(crate) async fn run(&self) {
        let mut next = LogOffset::default();
        loop {
            if let Err(error) = self.read_once(&mut next).await {
                tracing::debug!("quarantine: reading the strikes stream failed: {error}");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn read_once(&self, next: &mut LogOffset) -> Result<(), PlatformError> {
        let log = &self.context.log;
        let page = log
            .read(STRIKES_STREAM, *next, MAX_READ_RECORDS, READ_WAIT)
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

    /// Applies a record. Its time is computed from its age, since the clocks of the log and of this
    /// node differ.
    fn apply_record(&self, data: &str, age: Duration, now: Timestamp) {
        let at = now.as_millis();
        let at = at.checked_sub(u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
        // A record from before the start of the process clock gets the time 0.
        let at = Timestamp::from_millis(at.unwrap_or(0));
        if age >= super::strikes::QUARANTINE_DURATION {
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
            Err(error) => tracing::warn!(
                "quarantine: skipped a malformed record of the strikes stream: {error}"
            ),
        }
    }
}

async fn notify_peers(context: &NodeContext, kind: QuarantineKind) {
    let peers = context
        .membership
        .table()
        .peer_addresses(context.clock.now());
    let calls = peers.into_iter().map(|(_, address)| {
        let kind = Some(kind.clone());
        let body = PeerBody::Quarantine(QuarantineMessage { kind });
        async move { context.peers.call(address, body, CALL_TIMEOUT).await }
    });
    futures_util::future::join_all(calls).await;
}
