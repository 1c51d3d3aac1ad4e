//! What a node has to tell the owner of one partition.

use std::time::Duration;

use super::wire::{ChargeItem, GrantPart, ReportAnswer, ReturnItem, SettleItem, ShareReport};
use crate::clock::Timestamp;
use crate::ids::FencingToken;

/// How long news for the owner are gathered into one report.
const REPORT_DELAY: Duration = Duration::from_millis(50);
/// After so long without an answer a message is sent again.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(300);

/// An admitted request whose charge is not reported yet.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct PendingCharge {
    pub(crate) id: u64,
    pub(crate) at: Timestamp,
    pub(crate) account: String,
    pub(crate) parts: Vec<GrantPart>,
    pub(crate) refund: i64,
}

#[derive(Debug, Clone)]
struct OpenReport {
    report: ShareReport,
    charges: Vec<u64>,
    last_sent: Timestamp,
}

/// The reports to the owner of one partition: one in flight, numbered.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReportQueue {
    /// The newest fencing token known. Answers with a smaller one are ignored.
    pub(crate) fence: FencingToken,
    seq: u64,
    charges: Vec<PendingCharge>,
    settles: Vec<SettleItem>,
    returns: Vec<ReturnItem>,
    oldest: Option<Timestamp>,
    /// Set when another node waits for the tokens that are returned.
    is_urgent: bool,
    open: Option<OpenReport>,
}

/// What the owner acknowledged.
#[derive(Debug, Clone, Default)]
pub(crate) struct AcknowledgedReport {
    /// The charges, each with the owner's time for it.
    pub(crate) charges: Vec<(u64, u64)>,
    /// The accounts that got tokens back.
    pub(crate) raised: Vec<String>,
}

impl ReportQueue {
    pub(crate) fn add_charge(&mut self, now: Timestamp, charge: PendingCharge) {
        self.charges.push(charge);
        self.oldest.get_or_insert(now);
    }

    /// Adds the settlement to a charge that is not sent yet; false if it was sent.
    pub(crate) fn settle_pending(&mut self, id: u64, refund: i64) -> bool {
        let mut newest_first = self.charges.iter_mut().rev();
        match newest_first.find(|charge| charge.id == id) {
            Some(charge) => {
                charge.refund = refund;
                true
            }
            None => false,
        }
    }

    pub(crate) fn add_settle(&mut self, now: Timestamp, item: SettleItem) {
        self.settles.push(item);
        self.oldest.get_or_insert(now);
    }

    pub(crate) fn add_return(&mut self, now: Timestamp, account: &str, grant: u64) {
        let account = account.to_owned();
        self.returns.push(ReturnItem { account, grant });
        self.oldest.get_or_insert(now);
    }

    /// Sends the next report without gathering.
    pub(crate) fn hurry(&mut self) {
        self.is_urgent = true;
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.oldest.is_none() && self.open.is_none()
    }

    /// The report to send now to the owner with `fence`, if one is due.
    pub(crate) fn due(
        &mut self,
        now: Timestamp,
        partition: u32,
        boot: u64,
        fence: FencingToken,
    ) -> Option<ShareReport> {
        if let Some(open) = &mut self.open {
            let is_new_owner = open.report.fence != u64::from(fence);
            if !is_new_owner && now.since(open.last_sent) < RETRY_DELAY {
                return None;
            }
            open.report.fence = fence.into();
            open.last_sent = now;
            return Some(open.report.clone());
        }
        if now.since(self.oldest?) < REPORT_DELAY && !self.is_urgent {
            return None;
        }
        self.oldest = None;
        self.is_urgent = false;
        self.seq += 1;
        let charges = std::mem::take(&mut self.charges);
        let ids = charges.iter().map(|charge| charge.id).collect();
        let report = ShareReport {
            partition,
            boot,
            seq: self.seq,
            fence: fence.into(),
            charges: charges
                .into_iter()
                .map(|charge| charge_item(now, charge))
                .collect(),
            settles: std::mem::take(&mut self.settles),
            returns: std::mem::take(&mut self.returns),
        };
        self.open = Some(OpenReport {
            report: report.clone(),
            charges: ids,
            last_sent: now,
        });
        Some(report)
    }

    /// Takes the answer to the report in flight; `None` for any other answer.
    pub(crate) fn acknowledge(&mut self, answer: &ReportAnswer) -> Option<AcknowledgedReport> {
        let open = self.open.take_if(|open| open.report.seq == answer.seq)?;
        let items = open.report.charges.iter();
        let refunded = items.filter(|item| item.refund > 0);
        let refunded = refunded.map(|item| item.account.clone());
        let settles = open.report.settles.iter();
        let settled = settles.filter(|item| item.refund > 0);
        let settled = settled.map(|item| item.account.clone());
        let raised = refunded.chain(settled).collect();
        let charges = open.charges.into_iter();
        Some(AcknowledgedReport {
            charges: charges.zip(answer.charged_at.iter().copied()).collect(),
            raised,
        })
    }
}

fn charge_item(now: Timestamp, charge: PendingCharge) -> ChargeItem {
    let elapsed = now.since(charge.at).as_millis();
    ChargeItem {
        account: charge.account,
        elapsed_ms: u64::try_from(elapsed).unwrap_or(u64::MAX),
        parts: charge.parts,
        refund: charge.refund,
    }
}
