//! Charges and settlements of this node, and the partitions that it owns.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::{Notify, oneshot};

use super::node_shares::{ChargeOutcome, ChargeStep, NodeShares};
use super::owner::PartitionOwner;
use super::wire::{LedgerKind, LedgerMessage};
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::config::model::RateEntry;
use crate::context::NodeContext;
use crate::ids::{AccountName, FencingToken, TokenCount};
use crate::lease::{LEDGER_PARTITIONS, RoleName, RoleOrigin, RoleOwner};
use crate::peer::PeerBody;

/// How long one call to an owner may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// The pause between two looks at what is due, while something may be.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How long the last reports may take at a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(2);

/// Why an account was not charged.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub(crate) enum ChargeError {
    /// The account is over its rate.
    #[display("the account is over its rate")]
    OverRate { retry_after: Duration },
    /// The request needs more tokens than the account's burst.
    #[display("the request needs {need} tokens, but the account's burst is {burst}")]
    OverBurst { need: TokenCount, burst: TokenCount },
    /// The account has no rate, or its owner can't be reached.
    #[display("the account's rate limit can't be checked now")]
    Unavailable,
}

/// A charge that was made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ChargeReceipt {
    pub(crate) account: AccountName,
    pub(crate) charged: TokenCount,
    /// The number of the charge at this node.
    charge: u64,
}

/// The requests of this node.
#[derive(Debug)]
struct ShareDesk {
    shares: NodeShares,
    waiting: FastMap<u64, oneshot::Sender<ChargeOutcome>>,
}

/// The partitions that this node owns. A state is used only under the lease that it began with.
type OwnedPartitions = FastMap<u32, PartitionOwner>;

/// Owns the buckets of this node's partitions and spends grants of the owners of the others.
#[derive(Debug)]
pub(crate) struct LedgerService {
    context: Arc<NodeContext>,
    desk: Mutex<ShareDesk>,
    owned: Mutex<OwnedPartitions>,
    wake: Notify,
}

impl LedgerService {
    pub(crate) fn new(context: Arc<NodeContext>) -> Self {
        let limit = context.settings.admission_timeout;
        let desk = ShareDesk {
            shares: NodeShares::new(context.boot, limit),
            waiting: FastMap::default(),
        };
        Self {
            desk: Mutex::new(desk),
            owned: Mutex::default(),
            wake: Notify::new(),
            context,
        }
    }

    /// The partitions that this node owns, for operators.
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

    /// The outcome, or where it will arrive.
    fn begin_charge(
        &self,
        account: &AccountName,
        rate: RateEntry,
        need: TokenCount,
    ) -> Result<ChargeOutcome, oneshot::Receiver<ChargeOutcome>> {
        let partition = partition_of(account);
        let mut desk = lock(&self.desk);
        let now = self.context.clock.now();
        let step = desk
            .shares
            .charge(now, account, partition, rate, need.into());
        match step {
            ChargeStep::Done(outcome) => Ok(outcome),
            ChargeStep::Waiting(ticket) => {
                let (sender, receiver) = oneshot::channel();
                desk.waiting.insert(ticket, sender);
                Err(receiver)
            }
        }
    }

    /// Notes what the request really used; the owner learns it with the next report.
    pub(crate) fn settle(&self, receipt: &ChargeReceipt, used: TokenCount) {
        let now = self.context.clock.now();
        lock(&self.desk)
            .shares
            .settle(now, receipt.charge, used.into());
        self.wake.notify_one();
    }

    /// Tells the owners what the ended requests used, at most for [`STOP_LIMIT`]. To be called
    /// when no request runs any more, while the node still follows the leases.
    pub(crate) async fn shut_down(&self) {
        let deadline = tokio::time::Instant::now() + STOP_LIMIT;
        lock(&self.desk).shares.stop();
        self.wake.notify_one();
        while !lock(&self.desk).shares.is_reported() {
            if tokio::time::Instant::now() >= deadline {
                tracing::warn!("ledger: stopped before all settlements were reported");
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Answers a peer's message as the owner of its partition.
    pub(crate) fn handle(&self, message: LedgerMessage) -> Option<LedgerMessage> {
        let kind = match message.kind? {
            LedgerKind::Ask(ask) => {
                let account: AccountName = ask.account.parse().ok()?;
                let rate = self.rate_of(&account)?;
                let decide = |owner: &mut PartitionOwner, now| owner.grant(now, rate, &ask);
                LedgerKind::Answer(self.with_owner(partition_of(&account), decide)??)
            }
            LedgerKind::Report(report) => {
                let apply = |owner: &mut PartitionOwner, now| {
                    owner.report(now, |account| self.rate_of(account), &report)
                };
                LedgerKind::Reported(self.with_owner(report.partition, apply)??)
            }
            LedgerKind::Answer(_) | LedgerKind::Reported(_) => return None,
        };
        Some(LedgerMessage { kind: Some(kind) })
    }

    /// The exact state of a partition for its next owner. The lease was withdrawn before, so that
    /// nothing is decided for the partition any more.
    pub(crate) fn export_partition(&self, partition: u32) -> Option<Bytes> {
        let owner = lock(&self.owned).remove(&partition)?;
        Some(owner.export(self.context.clock.now()).into())
    }

    /// Begins the state of a partition under the lease with `fence`.
    pub(crate) fn begin_partition(&self, partition: u32, fence: FencingToken, origin: RoleOrigin) {
        let now = self.context.clock.now();
        let mut owned = lock(&self.owned);
        let exact = match origin {
            RoleOrigin::New => {
                Some(PartitionOwner::after_claim(fence, now).with_full_accounts(now))
            }
            RoleOrigin::HandedOver(bytes) => PartitionOwner::import(&bytes, fence, now),
            RoleOrigin::Kept => owned
                .remove(&partition)
                .and_then(|owner| PartitionOwner::import(&owner.export(now), fence, now)),
            RoleOrigin::Lost => None,
        };
        let owner = exact.unwrap_or_else(|| PartitionOwner::after_claim(fence, now));
        tracing::info!("ledger: owner of partition {partition} with fencing token {fence}");
        owned.insert(partition, owner);
    }

    /// Runs `decide` if this node owns the partition now.
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
        let current = owner.fence == fence;
        current.then(|| decide(owner, self.context.clock.now()))
    }

    fn rate_of(&self, account: &AccountName) -> Option<RateEntry> {
        self.context.config.current().rates.get(account).copied()
    }

    /// Sends what is due until the future is dropped.
    pub(crate) async fn run(&self) {
        let mut calls = FuturesUnordered::new();
        loop {
            let (messages, idle) = self.poll();
            for (partition, kind) in messages {
                calls.push(self.call_owner(partition, kind));
            }
            tokio::select! {
                () = self.wake.notified() => {}
                () = tokio::time::sleep(POLL_INTERVAL), if !idle => {}
                Some(answer) = calls.next(), if !calls.is_empty() => self.receive(answer),
            }
        }
    }

    fn poll(&self) -> (Vec<(u32, LedgerKind)>, bool) {
        let mut desk = lock(&self.desk);
        let now = self.context.clock.now();
        let messages = desk.shares.poll(now, |partition| self.fence_of(partition));
        desk.deliver(now);
        (messages, desk.shares.is_idle())
    }

    fn receive(&self, answer: Option<LedgerKind>) {
        let Some(answer) = answer else {
            return;
        };
        let mut desk = lock(&self.desk);
        let now = self.context.clock.now();
        desk.shares.receive(now, &answer);
        desk.deliver(now);
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
                    Ok(PeerBody::Ledger(answer)) => answer.kind,
                    _ => None,
                }
            }
            RoleOwner::Nobody => None,
        }
    }
}

impl ShareDesk {
    /// Wakes the charges whose outcome is known. The tokens of a caller that has left go back.
    fn deliver(&mut self, now: Timestamp) {
        for (ticket, outcome) in self.shares.take_outcomes() {
            let Some(waiting) = self.waiting.remove(&ticket) else {
                continue;
            };
            if let Err(ChargeOutcome::Admitted { charge }) = waiting.send(outcome) {
                self.shares.settle(now, charge, 0);
            }
        }
    }
}

/// The partition of an account; the same on every node.
pub(crate) fn partition_of(account: &AccountName) -> u32 {
    let mut hasher = rustc_hash::FxHasher::default();
    account.as_str().hash(&mut hasher);
    u32::try_from(hasher.finish() % u64::from(LEDGER_PARTITIONS)).unwrap_or(0)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}
