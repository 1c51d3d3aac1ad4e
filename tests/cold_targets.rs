//! Tests of targets that serve few requests per second for a while.

mod platform_fixture;
#[allow(dead_code, reason = "the soak uses the other modes of links")]
#[path = "soak/proxy.rs"]
mod proxy;

use std::time::{Duration, Instant};

use platform_fixture::target::serve_target;
use platform_fixture::{EntryVm, TargetMode, TargetState, TestCluster};
use proxy::{FaultProxy, LinkMode};

/// More VMs than the requests that a cold target may get in a second.
const FLEET: usize = 17;
const COLD_PER_S: f64 = 4.0;
/// What the platform allows in any second: half more than the target bears, and five requests.
const MAX_PER_SECOND: usize = (1.5 * COLD_PER_S) as usize + 5;
/// How long the target is cold, from before the VMs learn of it until after the last request.
const COLD_TIME: Duration = Duration::from_secs(60);
/// How long no VM has a request for the cold target.
const IDLE_TIME: Duration = Duration::from_secs(6);
const PRESS_TIME: Duration = Duration::from_secs(5);

async fn start_fleet(cluster: &TestCluster) -> Vec<EntryVm> {
    let settings = "leaseMs = 3000\ndrainMs = 2000\n";
    let start = |index| {
        let name = format!("vm-{index}");
        EntryVm::start_with_settings(&name, cluster.store_address, settings)
    };
    let vms: Vec<_> = (0..FLEET).map(start).collect();
    for vm in &vms {
        vm.wait_until_ready().await;
    }
    vms
}

/// The number of targets that the VM has learned to be cold, by itself or from a peer.
fn known_cold_targets(vm: &EntryVm) -> usize {
    let lines = vm.log_lines();
    let is_cold = |line: &&serde_json::Value| {
        let message = line["message"].as_str().unwrap_or_default();
        line["change"] == "Cold" || message.contains("a peer has learned that a target is cold")
    };
    let keys = lines.iter().filter(is_cold).map(|line| &line["key"]);
    keys.collect::<std::collections::HashSet<_>>().len()
}

/// Waits until all VMs know that as many targets are cold.
async fn wait_until_cold(vms: &[EntryVm], targets: usize, limit: Duration) {
    let start = Instant::now();
    let known = || vms.iter().map(known_cold_targets).collect::<Vec<_>>();
    while known().iter().any(|known| *known < targets) {
        assert!(start.elapsed() < limit, "{:?} of {targets}", known());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Sends requests through all VMs at once, again and again.
async fn press(vms: &[EntryVm]) -> usize {
    let start = Instant::now();
    let mut served = 0;
    for round in 0.. {
        if start.elapsed() >= PRESS_TIME {
            break;
        }
        let calls = vms.iter().enumerate().map(|(index, vm)| async move {
            let id = format!("r-{round}-{index}");
            vm.send("/open/x", &id, "X-Deadline-Ms: 1000\r\n").await
        });
        let responses = futures_util::future::join_all(calls).await;
        let statuses = responses.iter().map(|response| response.status);
        served += statuses.filter(|status| *status == 200).count();
    }
    served
}

/// Guards against requests that each VM saves up for a cold target while there is no demand, and
/// that all VMs send at once: their sum is as large as the fleet.
#[tokio::test]
async fn cold_target_gets_no_more_than_it_bears_when_demand_sets_in_at_all_vms() {
    let cluster = TestCluster::start().await;
    cluster.publish_cold_rate(2, COLD_PER_S);
    let vms = start_fleet(&cluster).await;
    cluster.report_cold_target("ready", 2, COLD_TIME);
    wait_until_cold(&vms, 1, Duration::from_secs(20)).await;
    tokio::time::sleep(IDLE_TIME).await;
    let served = press(&vms).await;
    let times = cluster.target.lock().unwrap().arrived_at.clone();
    let in_second = |start: &Instant| {
        let second = *start..*start + Duration::from_secs(1);
        times.iter().filter(|time| second.contains(time)).count()
    };
    let most = times.iter().map(in_second).max().unwrap_or(0);
    assert!(
        most <= MAX_PER_SECOND,
        "{most} requests in a second, {MAX_PER_SECOND} allowed, {served} served"
    );
    // At least half of what the target bears is used, except in the first second.
    let usable = COLD_PER_S * (PRESS_TIME.as_secs_f64() - 1.0);
    assert!(served as f64 >= usable / 2.0, "{served} served");
}

/// Guards against VMs that take targets for warm until they have read the store themselves: in a small
/// fleet, each VM reads it on its own, and in a large one, the records of many targets are too long
/// to be relayed.
#[yare::parameterized(small_fleet = {3}, large_fleet = {14})]
#[test_macro(tokio::test)]
async fn vm_learns_from_its_peers_that_targets_are_cold(fleet: usize) {
    const TARGETS: usize = 60;
    let cluster = TestCluster::start().await;
    let publish = |remaining_ms: u64, sequence: u64| {
        let adapters: Vec<_> = (0..9).map(|i| format!("a{}@1", 1000 + i)).collect();
        for index in 0..TARGETS {
            let record = serde_json::json!({"service": "other", "address": "127.0.0.1:1",
                "zone": "a", "slots": 8, "state": "ready", "sequence": sequence, "born": 7,
                "coldRemainingMs": remaining_ms,
                "models": [{"name": "m", "version": 1, "adapters": adapters}]});
            let (key, text) = (format!("o-{index}"), record.to_string());
            cluster.store.put("keyed.servers", &key, text.as_bytes());
        }
    };
    let (mut links, mut vms) = (Vec::new(), Vec::new());
    for index in 0..fleet {
        let link = FaultProxy::start(cluster.store_address).await;
        let name = format!("vm-{index}");
        vms.push(EntryVm::start_with(&name, link.address, 2000));
        links.push(link);
    }
    for vm in &vms {
        vm.wait_until_ready().await;
    }
    publish(0, 1);
    tokio::time::sleep(Duration::from_secs(4)).await;
    // A VM that reads the store for others could not tell them.
    let is_reader = |vm: &EntryVm| {
        let lines = vm.log_lines();
        let mut roles = lines.iter().rev().filter_map(|line| line["role"].as_str());
        roles.next() == Some("Reader")
    };
    let cut = vms.iter().position(|vm| !is_reader(vm)).unwrap();
    links[cut].set_mode(LinkMode::BlockBoth);
    publish(30_000, 2);
    wait_until_cold(&vms, TARGETS, Duration::from_secs(5)).await;
}

/// Guards against a retry that is refused although the only other target is cold and takes requests: no
/// permit is held before a request waits for one.
#[tokio::test]
async fn failed_request_is_retried_on_a_cold_target() {
    let cluster = TestCluster::start().await;
    cluster.publish_cold_rate(2, 20.0);
    let vm = EntryVm::start_with_settings(
        "vm-0",
        cluster.store_address,
        "leaseMs = 3000\ndrainMs = 2000\n",
    );
    vm.wait_until_ready().await;
    cluster.report_cold_target("ready", 2, COLD_TIME);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let failing = TargetState::new(TargetMode::Fail);
    let failing = std::sync::Arc::new(std::sync::Mutex::new(failing));
    tokio::spawn(serve_target(listener, std::sync::Arc::clone(&failing)));
    let record = serde_json::json!({"service": "llm", "address": address, "zone": "a",
        "slots": 8, "state": "ready", "sequence": 1, "born": 1, "coldRemainingMs": 0,
        "models": [{"name": "m", "version": 1, "adapters": []}]});
    cluster
        .store
        .put("keyed.servers", "i-2", record.to_string().as_bytes());
    // The VM owns both targets by then.
    tokio::time::sleep(Duration::from_secs(6)).await;
    let mut statuses = Vec::new();
    for round in 0..6 {
        let id = format!("r-{round}");
        statuses.push(
            vm.send("/open/x", &id, "X-Deadline-Ms: 3000\r\n")
                .await
                .status,
        );
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let failed = failing.lock().unwrap().arrivals;
    assert!(
        statuses.iter().all(|status| *status == 200),
        "{statuses:?}, {failed} failed attempts, {} on the cold target",
        cluster.arrivals()
    );
}
