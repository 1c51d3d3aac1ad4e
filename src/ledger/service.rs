//! The rate limit service of a node: charges and settles requests, and handles messages for the
//! partitions that the node owns.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::{Notify, oneshot};

use super::node_limiter::{ChargeOutcome, ChargeStep, NodeLimiter};
use super::owner::PartitionOwner;
use super::wire::{LedgerKind, LedgerMessage};
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::config::model::RateEntry;
use crate::context::NodeContext;
use crate::ids::{AccountName, FencingToken, TokenCount};
use crate::lease::{LEDGER_PARTITIONS, RoleName, RoleOrigin, RoleOwner};
use crate::peer::PeerBody;

/// The timeout of a call to a partition's owner.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// The poll interval while anything is pending.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How long a planned shutdown waits for the last reports to be confirmed.
const SHUTDOWN_REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an account was not charged.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub(crate) enum ChargeError {
    #[display("the account is over its rate")]
    OverRate { retry_after: Duration },
    #[display("the request needs {need} tokens, but the account's burst is {burst}")]
    OverBurst { need: TokenCount, burst: TokenCount },
    /// The account has no rate, or its partition's owner did not decide in time.
    #[display("the account's rate limit can't be checked now")]
    Unavailable,
}

/// A charge that was made, for its settlement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ChargeReceipt {
    pub(crate) account: AccountName,
    pub(crate) charged: TokenCount,
    /// The id of the charge at this node.
    charge: u64,
}

/// The rate limits at this node, and the callers that wait for a charge.
#[derive(Debug)]
struct ChargeQueue {
    limiter: NodeLimiter,
    waiting: FastMap<u64, oneshot::Sender<ChargeOutcome>>,
}

/// The partitions that this node owns, by number. The state of a partition is used only under the
/// lease for which it was created or restored.
type OwnedPartitions = FastMap<u32, PartitionOwner>;

/// Owns the buckets of this node's partitions, and charges requests to grants from the owners of
/// all partitions.
#[derive(Debug)]
pub(crate) struct LedgerService {
    context: Arc<NodeContext>,
    charge_queue: Mutex<ChargeQueue>,
    owned: Mutex<OwnedPartitions>,
    wake: Notify,
}

impl LedgerService {
    pub(crate) fn new(context: Arc<NodeContext>) -> Self {
        let timeout = context.settings.admission_timeout;
        let queue = ChargeQueue {
            limiter: NodeLimiter::new(context.boot, timeout),
            waiting: FastMap::default(),
        };
        Self {
            charge_queue: Mutex::new(queue),
            owned: Mutex::default(),
            wake: Notify::new(),
            context,
        }
    }

    /// The operator dump: the partitions that this node owns.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let owned = lock(&self.owned);
        let owned: BTreeMap<u32, _> = owned
            .iter()
            .map(|(partition, owner)| (*partition, owner.dump()))
            .collect();
        serde_json::json!({"owned": owned})
    }

    /// Charges `need` tokens to the account, before the request is admitted.
    pub(crate) async fn charge(
        &self,
        account: &AccountName,
        need: TokenCount,
    ) -> Result<ChargeReceipt, ChargeError> {
        let rate = self.rate_of(account).ok_or(ChargeError::Unavailable)?;
        let outcome = match self.begin_charge(account, rate, need) {
            Ok(outcome) => outcome,
            Err(waiting) => {
                self.wake.notify_one();
                waiting.await.unwrap_or(ChargeOutcome::Unavailable)
            }
        };
        match outcome {
            ChargeOutcome::Admitted { charge } => Ok(ChargeReceipt {
                account: account.clone(),
                charged: need,
                charge,
            }),
            ChargeOutcome::OverRate { retry_after } => Err(ChargeError::OverRate { retry_after }),
            ChargeOutcome::OverBurst { burst } => Err(ChargeError::OverBurst {
                need,
                burst: TokenCount::new(burst),
            }),
            ChargeOutcome::Unavailable => Err(ChargeError::Unavailable),
        }
    }

    /// Returns the outcome, or the channel on which it will arrive.
    fn begin_charge(
        &self,
        account: &AccountName,
        rate: RateEntry,
        need: TokenCount,
    ) -> Result<ChargeOutcome, oneshot::Receiver<ChargeOutcome>> {
        let partition = partition_of(account);
        let mut queue = lock(&self.charge_queue);
        let now = self.context.clock.now();
        let step = queue
            .limiter
            .charge(now, account, partition, rate, need.into());
        match step {
            ChargeStep::Done(outcome) => Ok(outcome),
            ChargeStep::Waiting(ticket) => {
                let (sender, receiver) = oneshot::channel();
                queue.waiting.insert(ticket, sender);
                Err(receiver)
            }
        }
    }

    /// Settles the charge of an ended request, which used `used` tokens. The next report transmits
    /// the settlement to the owner.
    pub(crate) fn settle(&self, receipt: &ChargeReceipt, used: TokenCount) {
        let now = self.context.clock.now();
        lock(&self.charge_queue)
            .limiter
            .settle(now, receipt.charge, used.into());
        self.wake.notify_one();
    }

    /// Returns all grants and waits for up to [`SHUTDOWN_REPORT_TIMEOUT`] until the owners have
    /// confirmed all settlements. To be called when no request is running any more, while the node
    /// still follows the leases.
    pub(crate) async fn shut_down(&self) {
        let deadline = tokio::time::Instant::now() + SHUTDOWN_REPORT_TIMEOUT;
        lock(&self.charge_queue).limiter.start_shutdown();
        self.wake.notify_one();
        while !lock(&self.charge_queue).limiter.all_reported() {
            if tokio::time::Instant::now() >= deadline {
                tracing::warn!("ledger: shut down before the owners confirmed all settlements");
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Handles a message as the owner of its partition. Returns `None` if this node is not the
    /// owner or the message is malformed.
    pub(crate) fn handle(&self, message: LedgerMessage) -> Option<LedgerMessage> {
        let kind = match message.kind? {
            LedgerKind::GrantRequest(request) => {
                let account: AccountName = request.account.parse().ok()?;
                let rate = self.rate_of(&account)?;
                let decide = |owner: &mut PartitionOwner, now| owner.grant(now, rate, &request);
                LedgerKind::GrantResponse(self.with_owner(partition_of(&account), decide)??)
            }
            LedgerKind::Report(report) => {
                let apply = |owner: &mut PartitionOwner, now| {
                    owner.apply_report(now, |account| self.rate_of(account), &report)
                };
                LedgerKind::ReportResponse(self.with_owner(report.partition, apply)??)
            }
            LedgerKind::GrantResponse(_) | LedgerKind::ReportResponse(_) => return None,
        };
        Some(LedgerMessage { kind: Some(kind) })
    }

    /// Removes a partition and returns its exact state for the next owner. The lease must have been
    /// withdrawn before, so that no message is handled for the partition any more.
    pub(crate) fn export_partition(&self, partition: u32) -> Option<Bytes> {
        let owner = lock(&self.owned).remove(&partition)?;
        Some(owner.export(self.context.clock.now()).into())
    }

    /// Starts to own a partition under the lease with the fencing token `fence`. If the previous
    /// owner's state is lost, the accounts start at level 0 and are refilled after a pause.
    pub(crate) fn begin_partition(&self, partition: u32, fence: FencingToken, origin: RoleOrigin) {
        let now = self.context.clock.now();
        let mut owned = lock(&self.owned);
        let restored = match origin {
            RoleOrigin::New => {
                Some(PartitionOwner::after_claim(fence, now).with_full_accounts(now))
            }
            RoleOrigin::HandedOver(bytes) => PartitionOwner::import(&bytes, fence, now),
            RoleOrigin::Kept => owned
                .remove(&partition)
                .and_then(|owner| PartitionOwner::import(&owner.export(now), fence, now)),
            RoleOrigin::Lost => None,
        };
        let owner = restored.unwrap_or_else(|| PartitionOwner::after_claim(fence, now));
        tracing::info!("ledger: became owner of partition {partition} with fencing token {fence}");
        owned.insert(partition, owner);
    }

    /// Runs `decide` if this node holds the partition's lease and its state began under that lease.
    fn with_owner<T>(
        &self,
        partition: u32,
        decide: impl FnOnce(&mut PartitionOwner, Timestamp) -> T,
    ) -> Option<T> {
        let mut owned = lock(&self.owned);
        let fence = self
            .context
            .leases
            .fence_if_held(&RoleName::Ledger(partition))?;
        let owner = owned.get_mut(&partition)?;
        let is_current = owner.fence == fence;
        is_current.then(|| decide(owner, self.context.clock.now()))
    }

    fn rate_of(&self, account: &AccountName) -> Option<RateEntry> {
        self.context.config.current().rates.get(account).copied()
    }

    /// Sends due messages and applies their responses until the future is dropped.
    pub(crate) async fn run(&self) {
        let mut calls = FuturesUnordered::new();
        loop {
            let (messages, is_idle) = self.poll();
            for (partition, kind) in messages {
                calls.push(self.call_owner(partition, kind));
            }
            tokio::select! {
                () = self.wake.notified() => {}
                () = tokio::time::sleep(POLL_INTERVAL), if !is_idle => {}
                Some(response) = calls.next(), if !calls.is_empty() => self.receive(response),
            }
        }
    }

    fn poll(&self) -> (Vec<(u32, LedgerKind)>, bool) {
        let mut queue = lock(&self.charge_queue);
        let now = self.context.clock.now();
        let messages = queue
            .limiter
            .poll(now, |partition| self.fence_of(partition));
        queue.deliver_outcomes(now);
        (messages, queue.limiter.is_idle())
    }

    fn receive(&self, response: Option<LedgerKind>) {
        let Some(response) = response else {
            return;
        };
        let mut queue = lock(&self.charge_queue);
        let now = self.context.clock.now();
        queue.limiter.receive(now, &response);
        queue.deliver_outcomes(now);
    }

    fn fence_of(&self, partition: u32) -> Option<FencingToken> {
        match self.context.leases.owner(&RoleName::Ledger(partition)) {
            RoleOwner::Local { fence } | RoleOwner::Remote { fence, .. } => Some(fence),
            RoleOwner::Nobody => None,
        }
    }

    async fn call_owner(&self, partition: u32, kind: LedgerKind) -> Option<LedgerKind> {
        let message = LedgerMessage { kind: Some(kind) };
        match self.context.leases.owner(&RoleName::Ledger(partition)) {
            RoleOwner::Local { .. } => self.handle(message)?.kind,
            RoleOwner::Remote { address, .. } => {
                let body = PeerBody::Ledger(message);
                match self.context.peers.call(address, body, CALL_TIMEOUT).await {
                    Ok(PeerBody::Ledger(response)) => response.kind,
                    _ => None,
                }
            }
            RoleOwner::Nobody => None,
        }
    }
}

impl ChargeQueue {
    /// Sends the known outcomes to the waiting callers. If a caller has been cancelled, its charge
    /// is refunded.
    fn deliver_outcomes(&mut self, now: Timestamp) {
        for (ticket, outcome) in self.limiter.take_outcomes() {
            let Some(waiting) = self.waiting.remove(&ticket) else {
                continue;
            };
            if let Err(ChargeOutcome::Admitted { charge }) = waiting.send(outcome) {
                self.limiter.settle(now, charge, 0);
            }
        }
    }
}

/// The partition of an account. The hash is unseeded, so that all nodes compute the same partition.
pub(crate) fn partition_of(account: &AccountName) -> u32 {
    let mut hasher = rustc_hash::FxHasher::default();
    account.as_str().hash(&mut hasher);
    u32::try_from(hasher.finish() % u64::from(LEDGER_PARTITIONS)).unwrap_or(0)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}
