//! Tests of the target records that the readers of a large fleet relay to the other VMs.

mod platform_fixture;
#[allow(dead_code, reason = "the soak uses the other modes of links")]
#[path = "soak/proxy.rs"]
mod proxy;

use std::time::{Duration, Instant};

use platform_fixture::{EntryVm, TestCluster};
use proxy::{FaultProxy, LinkMode};

/// More VMs than read the store for themselves.
const FLEET: usize = 17;
/// The VMs that read the store for the fleet.
const READERS: usize = 3;
const TARGETS: usize = 60;
/// What the link of a test VM, 10 Mbit/s, carries in half of the time in which the event of a stream
/// must be passed on, 120 ms.
const MAX_BURST_BYTES: u64 = 75_000;
/// The reports and announcements that a VM sends to its peers in any case.
const USUAL_BYTES_PER_S: u64 = 40_000;

fn publish(cluster: &TestCluster, index: usize, state: &str, sequence: u64) {
    let adapters: Vec<_> = (0..9).map(|i| format!("a{}@1", 1000 + i)).collect();
    let record = serde_json::json!({"service": "other", "address": "127.0.0.1:1", "zone": "a",
        "slots": 8, "state": state, "sequence": sequence, "born": 7,
        "models": [{"name": "m", "version": 1, "adapters": adapters}]});
    let text = record.to_string();
    cluster
        .store
        .put("keyed.servers", &format!("o-{index}"), text.as_bytes());
}

fn publish_all(cluster: &TestCluster, state: &str, sequence: u64) {
    for index in 0..TARGETS {
        publish(cluster, index, state, sequence);
    }
}

fn is_reader(vm: &EntryVm) -> bool {
    let lines = vm.log_lines();
    let mut roles = lines.iter().rev().filter_map(|line| line["role"].as_str());
    roles.next() == Some("Reader")
}

/// The number of times that the VM has logged a change of a target of the test.
fn changes(vm: &EntryVm, change: &str) -> usize {
    let lines = vm.log_lines();
    let concerns_test = |line: &&serde_json::Value| {
        let target = line["target"].as_str().unwrap_or_default();
        target.starts_with("o-") && line["change"] == change
    };
    lines.iter().filter(concerns_test).count()
}

async fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if holds() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    holds()
}

async fn settled_readers(vms: &[EntryVm]) -> Vec<usize> {
    let readers = || (0..vms.len()).filter(|i| is_reader(&vms[*i]));
    let settled = wait_until(Duration::from_secs(20), || readers().count() == READERS).await;
    assert!(settled, "{:?}", readers().collect::<Vec<_>>());
    readers().collect()
}

async fn sent_bytes(vm: &EntryVm) -> u64 {
    vm.metric("bluebellmux_entry_peer_bytes_total").await
}

/// Checks that a VM has sent no more in `span` than usual and the relays of `reads` reads.
fn assert_small_bursts(sent: u64, span: Duration, reads: u64) {
    let usual = (span.as_secs_f64() * USUAL_BYTES_PER_S as f64) as u64;
    let limit = usual + reads * MAX_BURST_BYTES;
    assert!(sent < limit, "{sent} bytes in {span:?}, {limit} expected");
}

/// Guards against a VM whose link is filled for seconds by its relays, so that what it sends to
/// targets arrives after the callers have left: many targets change at the same moment.
#[tokio::test]
async fn many_changes_at_once_do_not_fill_the_links_of_the_readers() {
    let cluster = TestCluster::start().await;
    let vms = cluster.start_fleet(FLEET, 2000).await;
    let readers = settled_readers(&vms).await;
    let mut before = Vec::new();
    for reader in &readers {
        before.push(sent_bytes(&vms[*reader]).await);
    }
    let start = Instant::now();
    publish_all(&cluster, "ready", 1);
    tokio::time::sleep(Duration::from_millis(1500)).await;
    for (reader, before) in readers.iter().zip(before) {
        let sent = sent_bytes(&vms[*reader]).await - before;
        assert_small_bursts(sent, start.elapsed(), 2);
    }
    // Nevertheless, every VM knows in time that the targets leave.
    publish_all(&cluster, "draining", 2);
    let left = Instant::now();
    for vm in &vms {
        let known = wait_until(Duration::from_secs(10), || {
            changes(vm, "Leaving") == TARGETS
        })
        .await;
        assert!(known, "{} of {TARGETS}", changes(vm, "Leaving"));
    }
    assert!(left.elapsed() < Duration::from_secs(4));
}

/// Guards against a VM that begins to read for the fleet and relays what it missed itself, although
/// all others know it: its link was filled for five seconds.
#[tokio::test]
async fn new_reader_does_not_relay_what_others_have_relayed() {
    let cluster = TestCluster::start().await;
    // New readers are chosen before their own wait for relays ends.
    let vms = cluster.start_fleet(FLEET, 6000).await;
    let readers = settled_readers(&vms).await;
    for (state, sequence) in [("ready", 1), ("ready", 2)] {
        publish_all(&cluster, state, sequence);
        tokio::time::sleep(Duration::from_millis(1200)).await;
    }
    for index in 0..TARGETS {
        cluster
            .store
            .put("keyed.servers", &format!("o-{index}"), b"");
    }
    // Longer than a removed target's late reports are recognized by their time.
    tokio::time::sleep(Duration::from_millis(4500)).await;
    let mut before = Vec::new();
    for vm in &vms {
        before.push(sent_bytes(vm).await);
    }
    let start = Instant::now();
    for reader in &readers {
        vms[*reader].signal("STOP");
    }
    let successors = || (0..vms.len()).filter(|i| !readers.contains(i) && is_reader(&vms[*i]));
    let replaced = wait_until(Duration::from_secs(20), || successors().next().is_some()).await;
    assert!(replaced);
    tokio::time::sleep(Duration::from_millis(600)).await;
    for successor in successors() {
        let sent = sent_bytes(&vms[successor]).await - before[successor];
        assert_small_bursts(sent, start.elapsed(), 1);
    }
    for reader in &readers {
        vms[*reader].signal("CONT");
    }
}

/// Guards against requests to targets that have left without a report: a reader of the store that was
/// cut off defers their removal, but claims to have relayed it, and all other VMs ignore it in the
/// relays of the readers that were not cut off.
#[tokio::test]
async fn removal_that_one_reader_defers_is_known_to_all_vms_in_time() {
    const ROUNDS: usize = 4;
    const LEAVING: usize = 3;
    const DRAIN: Duration = Duration::from_secs(2);
    let cluster = TestCluster::start().await;
    let (mut links, mut vms) = (Vec::new(), Vec::new());
    for index in 0..FLEET {
        let link = FaultProxy::start(cluster.store_address).await;
        vms.push(EntryVm::start_with(
            &format!("vm-{index}"),
            link.address,
            2000,
        ));
        links.push(link);
    }
    for vm in &vms {
        vm.wait_until_ready().await;
    }
    let cut = settled_readers(&vms).await[0];
    publish_all(&cluster, "ready", 1);
    tokio::time::sleep(Duration::from_secs(3)).await;
    for round in 0..ROUNDS {
        links[cut].set_mode(LinkMode::Reset);
        tokio::time::sleep(Duration::from_secs(3)).await;
        links[cut].set_mode(LinkMode::Healthy);
        tokio::time::sleep(Duration::from_millis(700)).await;
        for index in round * LEAVING..(round + 1) * LEAVING {
            cluster
                .store
                .put("keyed.servers", &format!("o-{index}"), b"");
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        tokio::time::sleep(DRAIN).await;
        let removed = (round + 1) * LEAVING;
        let others = vms.iter().enumerate().filter(|(index, _)| *index != cut);
        let late: Vec<_> = others
            .filter(|(_, vm)| changes(vm, "Removed") < removed)
            .map(|(index, _)| index)
            .collect();
        assert!(
            late.is_empty(),
            "round {round}: VMs {late:?} miss a removal"
        );
    }
}

/// Guards against VMs that know late that targets leave: they read the log from their own last read on,
/// which took several responses with a pause after each.
#[tokio::test]
async fn change_that_is_not_relayed_is_read_in_time_after_a_long_log() {
    /// Reports of each target, which together fill two responses of the store and a part of a third.
    const REPORTS: u64 = 110;
    let cluster = TestCluster::start().await;
    let vms = cluster.start_fleet(FLEET, 2000).await;
    settled_readers(&vms).await;
    publish_all(&cluster, "ready", 1);
    tokio::time::sleep(Duration::from_millis(1500)).await;
    for sequence in 2..REPORTS {
        publish_all(&cluster, "ready", sequence);
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    // Too many records to be relayed.
    publish_all(&cluster, "draining", REPORTS);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let late = vms.iter().filter(|vm| changes(vm, "Leaving") < TARGETS);
    assert_eq!(late.count(), 0);
}
