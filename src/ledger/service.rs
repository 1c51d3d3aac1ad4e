//! Charges and settlements, at the owner of the account's partition.

use std::hash::{Hash, Hasher};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use derive_more::{Display, Error};

use super::bucket::{AccountBucket, BucketAnswer};
use super::wire::{ChargeAnswer, ChargeAsk, LedgerKind, LedgerMessage, SettleAnswer, SettleNote};
use crate::collections::FastMap;
use crate::context::NodeContext;
use crate::ids::{AccountName, TokenCount};
use crate::lease::{LEDGER_PARTITIONS, RoleName, RoleOwner};
use crate::peer::PeerBody;

/// How long one call to an owner may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

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
    /// On the owner's clock in milliseconds.
    charged_at: u64,
}

/// Owns the buckets of this node's partitions and charges at the owners of the others.
#[derive(Debug)]
pub(crate) struct LedgerService {
    context: Arc<NodeContext>,
    buckets: Mutex<FastMap<AccountName, AccountBucket>>,
}

impl LedgerService {
    pub(crate) fn new(context: Arc<NodeContext>) -> Self {
        Self {
            context,
            buckets: Mutex::default(),
        }
    }

    /// Charges `need` tokens to the account, before the request is admitted.
    pub(crate) async fn charge(
        &self,
        account: &AccountName,
        need: TokenCount,
    ) -> Result<ChargeReceipt, ChargeError> {
        let rate = self.context.config.current().rates.get(account).copied();
        let rate = rate.ok_or(ChargeError::Unavailable)?;
        if need > rate.burst {
            return Err(ChargeError::OverBurst {
                need,
                burst: rate.burst,
            });
        }
        let ask = ChargeAsk {
            account: account.to_string(),
            need: need.into(),
        };
        let answer = match self.call_owner(account, LedgerKind::Charge(ask)).await {
            Some(LedgerKind::Charged(answer)) => answer,
            _ => return Err(ChargeError::Unavailable),
        };
        if !answer.granted {
            let retry_after = Duration::from_millis(answer.wait_ms);
            return Err(ChargeError::OverRate { retry_after });
        }
        let account = account.clone();
        Ok(ChargeReceipt {
            account,
            charged: need,
            charged_at: answer.charged_at,
        })
    }

    /// Tells the owner what the request really used.
    pub(crate) async fn settle(&self, receipt: ChargeReceipt, used: TokenCount) {
        let refund = receipt.charged.saturating_sub(used);
        if refund == TokenCount::ZERO {
            return;
        }
        let note = SettleNote {
            account: receipt.account.to_string(),
            refund: refund.into(),
            charged_at: receipt.charged_at,
        };
        self.call_owner(&receipt.account, LedgerKind::Settle(note))
            .await;
    }

    /// Answers a peer's message.
    pub(crate) fn handle(&self, message: LedgerMessage) -> Option<LedgerMessage> {
        let kind = match message.kind? {
            LedgerKind::Charge(ask) => LedgerKind::Charged(self.handle_charge(&ask)?),
            LedgerKind::Settle(_) => LedgerKind::Settled(SettleAnswer {}),
            LedgerKind::Charged(_) | LedgerKind::Settled(_) => return None,
        };
        Some(LedgerMessage { kind: Some(kind) })
    }

    fn handle_charge(&self, ask: &ChargeAsk) -> Option<ChargeAnswer> {
        let account: AccountName = ask.account.parse().ok()?;
        let rate = *self.context.config.current().rates.get(&account)?;
        let now = self.context.clock.now();
        let mut buckets = self.buckets.lock().expect("no holder of the lock panics");
        let bucket = buckets
            .entry(account)
            .or_insert_with(|| AccountBucket::new(rate, now));
        bucket.set_rate(rate, now);
        let answer = bucket.charge(now, TokenCount::new(ask.need));
        let (granted, wait_ms) = match answer {
            BucketAnswer::Charged => (true, 0),
            BucketAnswer::Wait(wait) => (false, u64::try_from(wait.as_millis()).unwrap_or(0)),
        };
        Some(ChargeAnswer {
            granted,
            wait_ms,
            charged_at: now.as_millis(),
        })
    }

    async fn call_owner(&self, account: &AccountName, kind: LedgerKind) -> Option<LedgerKind> {
        let message = LedgerMessage { kind: Some(kind) };
        let role = RoleName::Ledger(partition_of(account));
        let wait = self.context.settings.admission_timeout;
        match self.context.leases.wait_for_owner(&role, wait).await {
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

/// The partition of an account; the same on every node.
pub(crate) fn partition_of(account: &AccountName) -> u32 {
    let mut hasher = rustc_hash::FxHasher::default();
    account.as_str().hash(&mut hasher);
    u32::try_from(hasher.finish() % u64::from(LEDGER_PARTITIONS)).unwrap_or(0)
}
