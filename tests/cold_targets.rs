//! Tests of targets that serve few requests per second for a while.

mod platform_fixture;

use std::time::{Duration, Instant};

use platform_fixture::{EntryVm, TestCluster};

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

/// Waits until all VMs have logged that the target is cold.
async fn wait_until_cold(vms: &[EntryVm]) {
    let is_known = |vm: &EntryVm| vm.log_lines().iter().any(|line| line["change"] == "Cold");
    let start = Instant::now();
    while !vms.iter().all(is_known) {
        assert!(start.elapsed() < Duration::from_secs(20));
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
    wait_until_cold(&vms).await;
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
