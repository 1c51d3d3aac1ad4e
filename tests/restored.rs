//! Tests of VMs whose store comes back from a copy that is some seconds old.

mod platform_fixture;
#[allow(dead_code, reason = "the soak uses the other modes of links")]
#[path = "soak/proxy.rs"]
mod proxy;

use std::time::{Duration, Instant};

use bluebellmux_standins::store::{MetadataStore, StoreCopy};
use platform_fixture::{EntryVm, TestCluster, config_record, try_send};
use proxy::{FaultProxy, LinkMode};

/// More VMs than read the store for themselves.
const FLEET: usize = 14;
/// The time in which a VM must know that a target leaves.
const DRAIN_MS: u64 = 2000;
/// How long the store is away before it comes back.
const OUTAGE: Duration = Duration::from_millis(500);
/// The time after a disruption from which on the bounds hold again.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
const KEY: &str = "Authorization: Token key-1\r\n";

fn publish(store: &MetadataStore, name: &str, state: &str, sequence: u64) {
    let record = serde_json::json!({"service": "other", "address": "127.0.0.1:1", "zone": "a",
        "slots": 8, "state": state, "sequence": sequence, "born": 7, "models": []});
    store.put("keyed.servers", name, record.to_string().as_bytes());
}

/// Publishes a configuration with one more route, which is open to all.
fn publish_with_route(store: &MetadataStore, version: u64, name: &str) {
    let mut config = config_record(version, &["key-1"], 2);
    let routes = config["routes"].as_array_mut().expect("routes are a list");
    let mut route = routes.last().cloned().expect("there are routes");
    route["name"] = name.into();
    route["pathPrefix"] = format!("/{name}/").into();
    routes.push(route);
    store.put("keyed.op", "config", config.to_string().as_bytes());
}

/// Whether the VM has logged this change of a target.
fn has_change(vm: &EntryVm, target: &str, change: &str) -> bool {
    let lines = vm.log_lines();
    let mut lines = lines.iter();
    lines.any(|line| line["target"] == target && line["change"] == change)
}

async fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if holds() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    holds()
}

/// Takes the store away and brings it back from `copy`, with what `write` writes before the first
/// call.
async fn restore(cluster: &TestCluster, copy: StoreCopy, write: impl Fn(&MetadataStore)) {
    cluster.store.set_down(true);
    tokio::time::sleep(OUTAGE).await;
    cluster.store.restore(copy);
    write(&cluster.store);
    cluster.store.set_down(false);
}

/// Guards against VMs that take the records after the restore for known ones, since their offsets
/// are lower than those before: they went on sending requests to targets that had left.
#[tokio::test]
async fn target_that_leaves_after_a_restore_is_known_to_the_whole_fleet_in_time() {
    const TARGETS: usize = 12;
    let cluster = TestCluster::start().await;
    let vms = cluster.start_fleet(FLEET, DRAIN_MS).await;
    let report_all = |store: &MetadataStore, sequence| {
        for index in 0..TARGETS {
            publish(store, &format!("o-{index}"), "ready", sequence);
        }
    };
    report_all(&cluster.store, 1);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let copy = cluster.store.copy();
    for sequence in 2..12 {
        report_all(&cluster.store, sequence);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    restore(&cluster, copy, |store| report_all(store, 13)).await;
    tokio::time::sleep(STABILITY_WINDOW).await;
    publish(&cluster.store, "o-0", "draining", 14);
    tokio::time::sleep(Duration::from_millis(DRAIN_MS)).await;
    let late = vms.iter().filter(|vm| !has_change(vm, "o-0", "Leaving"));
    assert_eq!(
        late.count(),
        0,
        "VMs that don't know that the target leaves"
    );
}

/// Guards against a VM that misses a record because the log has grown past its own offset again
/// before it reads.
#[tokio::test]
async fn change_before_the_known_offset_of_a_restored_log_is_not_missed() {
    let cluster = TestCluster::start().await;
    let vm = cluster.start_entry_vm("vm-0").await;
    publish(&cluster.store, "o-0", "ready", 1);
    let copy = cluster.store.copy();
    for sequence in 1..4 {
        publish(&cluster.store, "o-1", "ready", sequence);
    }
    assert!(wait_until(Duration::from_secs(5), || has_change(&vm, "o-1", "Added")).await);
    restore(&cluster, copy, |store| {
        publish(store, "o-0", "draining", 2);
        for sequence in 4..10 {
            publish(store, "o-1", "ready", sequence);
        }
    })
    .await;
    let is_known = || has_change(&vm, "o-0", "Leaving");
    assert!(wait_until(Duration::from_millis(DRAIN_MS), is_known).await);
}

/// Guards against a VM that never reads a configuration whose record has the offset of one that was
/// lost, and one whose configuration becomes older.
#[tokio::test]
async fn route_that_is_added_at_a_known_offset_is_served_and_none_is_lost() {
    let cluster = TestCluster::start().await;
    let vm = cluster.start_entry_vm("vm-0").await;
    let copy = cluster.store.copy();
    publish_with_route(&cluster.store, 2, "first");
    vm.send_until("/first/x", "", 200).await;
    restore(&cluster, copy, |_| {}).await;
    let start = Instant::now();
    while start.elapsed() < STABILITY_WINDOW {
        let status = vm.send("/first/x", "known", "").await.status;
        assert_ne!(status, 404, "{:?} after the restore", start.elapsed());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let copy = cluster.store.copy();
    publish_with_route(&cluster.store, 3, "first");
    vm.send_until("/first/x", "", 200).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    restore(&cluster, copy, |store| {
        publish_with_route(store, 4, "second")
    })
    .await;
    let served = vm.send_until("/second/x", "", 200);
    let served = tokio::time::timeout(Duration::from_secs(4), served).await;
    assert!(served.is_ok(), "the new route is not served");
}

/// Guards against a VM that puts a zone back into service because the copy lacks the operator's
/// order, which is written again a moment later.
#[tokio::test]
async fn evacuated_zone_stays_out_of_service_until_the_order_is_written_again() {
    let cluster = TestCluster::start().await;
    let vm = cluster.start_entry_vm("vm-0").await;
    vm.send_until("/look/x", KEY, 200).await;
    let copy = cluster.store.copy();
    cluster.store.put("keyed.op", "evacuate/a", b"{}");
    vm.send_until("/look/x", KEY, 503).await;
    let before = cluster.arrivals();
    restore(&cluster, copy, |_| {}).await;
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(1500) {
        vm.send("/look/x", "evacuated", KEY).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    cluster.store.put("keyed.op", "evacuate/a", b"{}");
    tokio::time::sleep(Duration::from_secs(4)).await;
    vm.send("/look/x", "late", KEY).await;
    assert_eq!(cluster.arrivals(), before);
    // The order is taken back.
    cluster.store.put("keyed.op", "evacuate/a", b"");
    vm.send_until("/look/x", KEY, 200).await;
}

/// Guards against VMs that don't find each other because the copy lacks their addresses.
#[tokio::test]
async fn addresses_of_vms_are_written_again() {
    let cluster = TestCluster::start().await;
    let copy = cluster.store.copy();
    let _vm = cluster.start_entry_vm("vm-0").await;
    restore(&cluster, copy, |_| {}).await;
    let is_listed = || !cluster.store.values("keyed.nodes", "vm-0").is_empty();
    assert!(wait_until(Duration::from_secs(5), is_listed).await);
}

/// Guards against a process that starts right after a restore with the configuration of the copy, and
/// accepts a key that was taken away.
#[tokio::test]
async fn vm_that_starts_with_an_older_configuration_waits_for_the_newer_one() {
    const NEW_KEY: &str = "Authorization: Token key-2\r\n";
    let cluster = TestCluster::start().await;
    let old = cluster.start_entry_vm("vm-0").await;
    let copy = cluster.store.copy();
    cluster.publish(2, &["key-2"]);
    old.send_until("/look/x", KEY, 401).await;
    restore(&cluster, copy, |_| {}).await;
    // The process isn't ready before it has the newer configuration.
    let new = EntryVm::start("vm-1", cluster.store_address);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(new.ready_status().await, 503);
    assert_eq!(new.send("/look/x", "revoked", KEY).await.status, 503);
    assert_eq!(new.send("/none/x", "unknown", KEY).await.status, 503);
    cluster.publish(2, &["key-2"]);
    new.send_until("/look/x", NEW_KEY, 200).await;
    assert_eq!(new.send("/look/x", "late", KEY).await.status, 401);
}

/// Guards against a process that accepts a withdrawn key until its first report of a peer arrives: the
/// configuration of the copy must not be used even for a moment.
#[tokio::test]
async fn withdrawn_key_is_not_accepted_right_after_a_start_on_a_restored_store() {
    let cluster = TestCluster::start().await;
    let old = cluster.start_entry_vm("vm-0").await;
    let copy = cluster.store.copy();
    cluster.publish(2, &["key-2"]);
    old.send_until("/look/x", KEY, 401).await;
    restore(&cluster, copy, |_| {}).await;
    let new = EntryVm::start("vm-1", cluster.store_address);
    let start = Instant::now();
    let mut responses = 0;
    while start.elapsed() < Duration::from_secs(2) {
        let response = try_send(new.caller_port, "/look/x", "withdrawn", KEY).await;
        if let Some(response) = response {
            assert_eq!(response.status, 503, "after {responses}: {response:?}");
            responses += 1;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    assert!(responses > 0);
}

/// Guards against a VM that takes the configuration of a restored store for the newest: it went on
/// accepting an API key whose removal it had not read, and the copy lacked, though a peer knew of it.
#[tokio::test]
async fn revoked_key_is_not_accepted_again_after_a_restore() {
    /// Beyond the fixture's `revokeMs`.
    const REVOCATION_TIME: Duration = Duration::from_millis(3_500);
    let cluster = TestCluster::start().await;
    let link = FaultProxy::start(cluster.store_address).await;
    let informed = cluster.start_entry_vm("vm-0").await;
    let late = EntryVm::start_with("vm-1", link.address, DRAIN_MS);
    late.wait_until_ready().await;
    late.send_until("/look/x", KEY, 200).await;
    let copy = cluster.store.copy();
    link.set_mode(LinkMode::BlockBoth);
    // A read that waits for records would be answered with the new one when the link heals.
    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.publish(2, &["key-2"]);
    let revoked_at = Instant::now();
    informed.send_until("/look/x", KEY, 401).await;
    restore(&cluster, copy, |_| {}).await;
    link.set_mode(LinkMode::Healthy);
    tokio::time::sleep(REVOCATION_TIME.saturating_sub(revoked_at.elapsed())).await;
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(3) {
        let status = late.send("/look/x", "revoked", KEY).await.status;
        assert_ne!(status, 200, "{:?} after the ack", revoked_at.elapsed());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
