//! The queue of a node's reports to the owner of one partition.

use std::time::Duration;

use super::wire::{ChargeItem, GrantPart, ReportResponse, ReturnItem, SettlementItem, UsageReport};
use crate::clock::Timestamp;
use crate::ids::FencingToken;

/// How long items are batched into one report.
const REPORT_DELAY: Duration = Duration::from_millis(50);
/// How long to wait for a response before a message is sent again.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The charge of an admitted request that has not been reported yet.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct PendingCharge {
    pub(crate) id: u64,
    pub(crate) at: Timestamp,
    pub(crate) account: String,
    pub(crate) parts: Vec<GrantPart>,
    pub(crate) refund: i64,
}

#[derive(Debug, Clone)]
struct InFlightReport {
    report: UsageReport,
    charges: Vec<u64>,
    last_sent: Timestamp,
}

/// Reports to the owner of one partition. They are numbered, and at most one is in flight.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReportQueue {
    /// The newest fencing token known. Responses with a lower token are ignored.
    pub(crate) fence: FencingToken,
    seq: u64,
    charges: Vec<PendingCharge>,
    settlements: Vec<SettlementItem>,
    returns: Vec<ReturnItem>,
    oldest_queued_at: Option<Timestamp>,
    /// Set if the next report must be sent without batching: another node waits for the returned
    /// tokens, or this node shuts down.
    is_urgent: bool,
    in_flight: Option<InFlightReport>,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct AcknowledgedReport {
    /// The charges by id, each with the time at which the owner counts it.
    pub(crate) charges: Vec<(u64, u64)>,
    /// The accounts that received refunds.
    pub(crate) credited: Vec<String>,
}

impl ReportQueue {
    pub(crate) fn add_charge(&mut self, now: Timestamp, charge: PendingCharge) {
        self.charges.push(charge);
        self.oldest_queued_at.get_or_insert(now);
    }

    /// Adds the refund to a charge that has not been sent yet. Returns false if it has been sent.
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

    pub(crate) fn add_settlement(&mut self, now: Timestamp, item: SettlementItem) {
        self.settlements.push(item);
        self.oldest_queued_at.get_or_insert(now);
    }

    pub(crate) fn add_return(&mut self, now: Timestamp, account: &str, grant: u64) {
        let account = account.to_owned();
        self.returns.push(ReturnItem { account, grant });
        self.oldest_queued_at.get_or_insert(now);
    }

    /// Makes the next report due immediately.
    pub(crate) fn mark_urgent(&mut self) {
        self.is_urgent = true;
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.oldest_queued_at.is_none() && self.in_flight.is_none()
    }

    /// The report to send now to the owner with `fence`, if one is due: a retry of the report in
    /// flight, or the next batch.
    pub(crate) fn next_report(
        &mut self,
        now: Timestamp,
        partition: u32,
        boot: u64,
        fence: FencingToken,
    ) -> Option<UsageReport> {
        if let Some(in_flight) = &mut self.in_flight {
            let is_new_owner = in_flight.report.fence != u64::from(fence);
            if !is_new_owner && now.since(in_flight.last_sent) < RETRY_DELAY {
                return None;
            }
            in_flight.report.fence = fence.into();
            in_flight.last_sent = now;
            return Some(in_flight.report.clone());
        }
        if now.since(self.oldest_queued_at?) < REPORT_DELAY && !self.is_urgent {
            return None;
        }
        self.oldest_queued_at = None;
        self.is_urgent = false;
        self.seq += 1;
        let charges = std::mem::take(&mut self.charges);
        let ids = charges.iter().map(|charge| charge.id).collect();
        let report = UsageReport {
            partition,
            boot,
            seq: self.seq,
            fence: fence.into(),
            charges: charges
                .into_iter()
                .map(|charge| charge_item(now, charge))
                .collect(),
            settlements: std::mem::take(&mut self.settlements),
            returns: std::mem::take(&mut self.returns),
        };
        self.in_flight = Some(InFlightReport {
            report: report.clone(),
            charges: ids,
            last_sent: now,
        });
        Some(report)
    }

    /// Ends the report in flight. Returns `None` if the response is for another report.
    pub(crate) fn acknowledge(&mut self, response: &ReportResponse) -> Option<AcknowledgedReport> {
        let in_flight = self
            .in_flight
            .take_if(|in_flight| in_flight.report.seq == response.seq)?;
        let items = in_flight.report.charges.iter();
        let refunded = items.filter(|item| item.refund > 0);
        let refunded = refunded.map(|item| item.account.clone());
        let settlements = in_flight.report.settlements.iter();
        let settled = settlements.filter(|item| item.refund > 0);
        let settled = settled.map(|item| item.account.clone());
        let credited = refunded.chain(settled).collect();
        let charges = in_flight.charges.into_iter();
        Some(AcknowledgedReport {
            charges: charges.zip(response.charged_at.iter().copied()).collect(),
            credited,
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
