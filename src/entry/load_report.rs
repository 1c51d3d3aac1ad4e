//! The periodic reports of load between entry VMs.

use std::net::SocketAddr;
use std::time::Duration;

use super::state::EntryState;
use super::wire::{AccountReport, LoadReport, TargetLoad};
use crate::clock::Timestamp;
use crate::dispatch::account_limit::{AccountUsage, ReportScope, ReportSender};
use crate::dispatch::peer_view::PeerReport;
use crate::ids::{BootId, NodeName};

/// Builds this VM's report for the peers of one scope.
pub(super) fn build_load_report(
    state: &mut EntryState,
    scope: ReportScope,
    interval: Duration,
    now: Timestamp,
) -> LoadReport {
    let (sequence, full) = state.next_report(scope);
    let loads = state.own_loads.iter().filter(|(_, count)| **count > 0);
    // Peers whose zone is unknown are treated as being in another zone, so all reports of that
    // scope include this VM's zone.
    let zone = full || scope == ReportScope::OtherZones;
    let zone = zone.then(|| state.settings.zone.to_string());
    let config = state.config_view();
    let config = config.filter(|_| full || scope == ReportScope::OwnZone);
    let accounts = state.account_limiter.usage_report(scope, full).into_iter();
    LoadReport {
        sequence,
        generation: state.lease.generation().token().into(),
        partitions: state.lease.active_partitions(now),
        loads: loads
            .map(|(target, count)| TargetLoad {
                target: (*target).into(),
                in_flight: *count,
            })
            .collect(),
        accounts: accounts
            .map(|(account, own)| AccountReport {
                account: account.to_string(),
                admitted_units: own.total as u64,
                remaining_units: own.level as i64,
                recent_units: own.recent as u64,
                is_level_unknown: !own.is_level_learned,
                ungranted_units: own.ungranted.map(|units| units as u64),
            })
            .collect(),
        zone,
        interval_ms: interval.as_millis() as u32,
        wall_ms: super::usage_counts::reported_wall_clock(&state.settings),
        config: config.map(Into::into),
        ..LoadReport::default()
    }
}

/// Applies a peer's report.
pub(super) fn apply_report(
    state: &mut EntryState,
    node: &NodeName,
    boot: BootId,
    report: LoadReport,
    from: SocketAddr,
    now: Timestamp,
) {
    let loads = report
        .loads
        .iter()
        .map(|load| (load.target.into(), load.in_flight));
    let report_interval = Duration::from_millis(report.interval_ms.into());
    let peer = PeerReport {
        boot,
        report_interval,
        address: from,
        sequence: report.sequence,
        loads: loads.collect(),
        generation: report.generation,
        partitions: report.partitions,
        received_at: now,
    };
    if !state.peers.apply_report(node.clone(), peer) {
        return;
    }
    if let Some(config) = report.config {
        state.compare_config(node, config.into(), now);
    }
    if let Some(zone) = report.zone.and_then(|zone| zone.parse().ok()) {
        state.update_peer_zone(node, zone);
    }
    super::scaling::apply_peer_demand(
        state,
        node,
        boot,
        &report.shortages,
        &report.adapters_in_use,
        now,
    );
    let sender = ReportSender {
        node,
        boot,
        in_own_zone: state.is_in_own_zone(node),
        interval: report_interval,
    };
    for usage in report.accounts {
        if let Ok(account) = usage.account.parse() {
            let account_usage = AccountUsage {
                total: usage.admitted_units as f64,
                ungranted: usage.ungranted_units.map(|units| units as f64),
                level: usage.remaining_units as f64,
                recent: usage.recent_units as f64,
                is_level_learned: !usage.is_level_unknown,
            };
            state
                .account_limiter
                .apply_peer_usage(&sender, &account, account_usage, now);
        }
    }
    state.account_limiter.mark_peer_reported(&sender, now);
}
