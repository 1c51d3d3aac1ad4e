//! Counts the requests that targets started, and sends the counts to the VM that reports them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::gossip::new_message;
use super::settings::EntrySettings;
use super::shared::EntryShared;
use super::state::SMALL_FLEET_SIZE;
use super::wire::{PeerMessage, UsageAck, UsageMessage, UsageWindow};
use crate::clock::Timestamp;
use crate::collections::FastMap;
use crate::dispatch::fleet_clock::{FleetClock, WallTime};
use crate::dispatch::usage_windows::{
    UsageCollector, UsageCounter, UsageReport, UsageSender, WindowCounts, WindowGrid, WindowId,
};
use crate::ids::{AccountName, DutyName, NodeName};

/// The interval between reports of counts in a small fleet, where one VM that is killed takes a
/// larger part of a window with it.
const SMALL_FLEET_INTERVAL: Duration = Duration::from_millis(500);
/// The interval in a larger fleet.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The reports per second that the reporting VM receives at most.
const MAX_REPORTS_PER_S: f64 = 100.0;
/// Accounts in one datagram. With names of 20 bytes and the counts of five windows, they take 1,300
/// bytes.
const MAX_ACCOUNTS_PER_DATAGRAM: usize = 40;

/// What a VM knows of the starts of requests.
#[derive(Debug)]
pub(crate) struct UsageCounts {
    pub(crate) duty: DutyName,
    pub(crate) grid: WindowGrid,
    pub(crate) clock: FleetClock,
    counter: UsageCounter,
    /// The counts of all VMs, if this VM reports them.
    pub(crate) collector: UsageCollector,
    /// The VM that this VM sends its counts to.
    leader: Option<SocketAddr>,
}

impl UsageCounts {
    /// Returns `None` if the use of accounts is not reported.
    pub(crate) fn from_settings(settings: &EntrySettings, now: Timestamp) -> Option<Self> {
        let usage = settings.duties.as_ref()?.usage?;
        let grid = WindowGrid::new(usage.window, usage.max_delay);
        Some(Self {
            duty: super::duties::usage_duty(),
            grid,
            clock: FleetClock::new(settings.node.clone(), system_wall_clock(), now),
            counter: UsageCounter::new(grid),
            collector: UsageCollector::default(),
            leader: None,
        })
    }
}

pub(super) fn system_wall_clock() -> WallTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    WallTime::from(since_epoch.unwrap_or_default().as_millis() as u64)
}

/// The wall clock to state in reports to peers, 0 where no duty needs it.
pub(super) fn reported_wall_clock(settings: &EntrySettings) -> u64 {
    let usage = settings.duties.as_ref().and_then(|duties| duties.usage);
    usage.map_or(0, |_| system_wall_clock().into())
}

/// Applies the wall clock that a peer has stated in a report.
pub(super) fn apply_wall_clock(
    shared: &EntryShared,
    node: &NodeName,
    wall_ms: u64,
    now: Timestamp,
) {
    if let (Some(usage), 1..) = (&shared.usage, wall_ms) {
        let wall = WallTime::from(wall_ms);
        usage.borrow_mut().clock.record(node, wall, now);
    }
}

/// Counts a request of `account` that a target started at `started`.
pub(super) fn record_start(shared: &EntryShared, account: &AccountName, started: Timestamp) {
    if let Some(usage) = &shared.usage {
        let usage = &mut *usage.borrow_mut();
        usage.counter.count(account, started, &usage.clock);
    }
}

/// Applies the counts of a peer or its acknowledgement of this VM's counts.
pub(super) fn apply_message(
    shared: &EntryShared,
    node: &NodeName,
    message: &PeerMessage,
    from: SocketAddr,
    now: Timestamp,
) {
    let Some(usage) = &shared.usage else {
        return;
    };
    if let Some(ack) = &message.usage_ack {
        let mut usage = usage.borrow_mut();
        if usage.leader == Some(from) {
            let windows = ack.windows.iter().copied().map(WindowId::from);
            usage.counter.acknowledge(windows);
        }
    }
    let Some(counts) = &message.usage else {
        return;
    };
    let sender = (node.clone(), message.boot.into());
    let windows = {
        let mut usage = usage.borrow_mut();
        let oldest = usage.grid.oldest_open(usage.clock.wall_time(now));
        usage
            .collector
            .apply(sender.clone(), decode_report(counts, oldest));
        usage.collector.final_windows(&sender, oldest)
    };
    let windows = windows.into_iter().map(u64::from).collect();
    let reply = PeerMessage {
        usage_ack: Some(UsageAck { windows }),
        ..new_message(&shared.state.borrow())
    };
    shared.peer_socket.send(&reply, from);
}

/// Decodes the windows of a report that may still be reported.
fn decode_report(message: &UsageMessage, oldest: WindowId) -> UsageReport {
    let accounts = message.accounts.iter().map(|name| name.parse().ok());
    let accounts: Vec<Option<AccountName>> = accounts.collect();
    let window = |window: &UsageWindow| {
        let counts = accounts.iter().zip(&window.counts);
        let counts = counts.filter_map(|(account, count)| Some((account.clone()?, *count)));
        WindowCounts {
            window: window.window.into(),
            total: window.total,
            counts: counts.filter(|(_, count)| *count > 0).collect(),
        }
    };
    let windows = message.windows.iter().map(window);
    UsageReport {
        first: message.first.into(),
        final_through: message.final_through.into(),
        windows: windows.filter(|part| part.window >= oldest).collect(),
    }
}

/// Encodes a report in as many messages as it needs. Each has the totals of all windows.
fn encode_report(report: &UsageReport) -> Vec<UsageMessage> {
    let counts = report.windows.iter().flat_map(|window| &window.counts);
    let mut accounts: Vec<_> = counts.map(|(account, _)| account.clone()).collect();
    accounts.sort_unstable();
    accounts.dedup();
    let windows = report.windows.iter();
    let by_account = windows.map(|window| window.counts.iter().cloned().collect());
    let by_account: Vec<FastMap<AccountName, u64>> = by_account.collect();
    let encode = |accounts: &[AccountName]| {
        let windows = report.windows.iter().zip(&by_account);
        let windows = windows.map(|(window, known)| {
            let count = |account| known.get(account).copied().unwrap_or(0);
            let counts = match known.is_empty() {
                true => Vec::new(),
                false => accounts.iter().map(count).collect(),
            };
            UsageWindow {
                window: window.window.into(),
                total: window.total,
                counts,
            }
        });
        UsageMessage {
            first: report.first.into(),
            final_through: report.final_through.into(),
            accounts: accounts.iter().map(ToString::to_string).collect(),
            windows: windows.collect(),
        }
    };
    if accounts.is_empty() {
        return vec![encode(&[])];
    }
    let parts = accounts.chunks(MAX_ACCOUNTS_PER_DATAGRAM);
    parts.map(encode).collect()
}

/// Sends this VM's counts periodically to the VM that reports them.
pub(super) async fn run_counts(shared: Rc<EntryShared>) {
    loop {
        let members = shared.state.borrow().peers.member_count();
        let interval = match members <= SMALL_FLEET_SIZE {
            true => SMALL_FLEET_INTERVAL,
            false => {
                REPORT_INTERVAL.max(Duration::from_secs_f64(members as f64 / MAX_REPORTS_PER_S))
            }
        };
        tokio::time::sleep(interval).await;
        send_counts(&shared);
    }
}

fn send_counts(shared: &EntryShared) {
    let Some(usage) = &shared.usage else {
        return;
    };
    let now = shared.clock.now();
    let usage = &mut *usage.borrow_mut();
    usage.clock.refresh(system_wall_clock(), now);
    usage.counter.advance(&usage.clock, now);
    let state = shared.state.borrow();
    let live = live_senders(shared);
    let oldest = usage.grid.oldest_open(usage.clock.wall_time(now));
    usage.collector.expire(oldest, &live);
    let is_own = state.lease.duty_grant(&usage.duty, now).is_some();
    let partition = state.lease.partition_count().partition_of_duty(&usage.duty);
    let leader = state.peers.owner_of(partition).filter(|_| !is_own);
    if leader != usage.leader || is_own {
        usage.leader = leader;
        usage.counter.forget_acknowledgements();
    }
    let Some(report) = usage.counter.report() else {
        return;
    };
    if is_own {
        let own = (state.settings.node.clone(), state.boot);
        usage.collector.apply(own, report);
        return;
    }
    let Some(leader) = leader else {
        return;
    };
    for part in encode_report(&report) {
        let message = PeerMessage {
            usage: Some(part),
            ..new_message(&state)
        };
        shared.peer_socket.send(&message, leader);
    }
}

/// The processes of all live VMs, this one included.
pub(super) fn live_senders(shared: &EntryShared) -> Vec<UsageSender> {
    let state = shared.state.borrow();
    let peers = state.peers.live_processes();
    let peers = peers.map(|(node, boot)| (node.clone(), boot));
    let own = (state.settings.node.clone(), state.boot);
    peers.chain([own]).collect()
}
