//! Tests of targets that state how many requests they take from all VMs together.

mod platform_fixture;

use std::time::{Duration, Instant};

use platform_fixture::target::STATED_RATE;
use platform_fixture::{EntryVm, TargetMode, TestCluster};

/// The window in which a target's requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How long after a target has stated its limit the requests count.
const SETTLE_TIME: Duration = Duration::from_secs(2);
const VMS: usize = 3;

/// The most requests that arrived in any window since `since`.
fn most_in_window(cluster: &TestCluster, since: Instant) -> usize {
    let times = cluster.target.lock().unwrap().arrived_at.clone();
    let times: Vec<_> = times.into_iter().filter(|time| *time >= since).collect();
    let count_from = |start: Instant| {
        let in_window = times
            .iter()
            .filter(|time| (start..start + WINDOW).contains(time));
        in_window.count()
    };
    times
        .iter()
        .map(|start| count_from(*start))
        .max()
        .unwrap_or(0)
}

/// What the platform allows: half more than the target states, and five requests.
fn allowed_in_window() -> usize {
    (1.5 * STATED_RATE * WINDOW.as_secs_f64()) as usize + 5
}

/// Sends requests through all VMs, many more than the target takes, for `span`.
async fn press(vms: &[EntryVm], span: Duration) -> Vec<u16> {
    let start = Instant::now();
    let mut statuses = Vec::new();
    for round in 0.. {
        if start.elapsed() >= span {
            break;
        }
        let id = format!("r-{round}");
        let calls = (0..VMS * 4).map(|call| {
            let headers = "X-Deadline-Ms: 600\r\n";
            let (vm, id) = (&vms[call % VMS], format!("{id}-{call}"));
            async move { vm.send("/open/x", &id, headers).await.status }
        });
        statuses.extend(futures_util::future::join_all(calls).await);
    }
    statuses
}

/// Guards against a rate-limited target that gets many times what it has stated to take, because the VMs
/// ignore its limit or because each one takes it for its own.
#[tokio::test]
async fn target_gets_no_more_requests_than_it_states_to_take() {
    let cluster = TestCluster::start().await;
    let mut vms = Vec::new();
    for index in 0..VMS {
        vms.push(cluster.start_entry_vm(&format!("vm-{index}")).await);
    }
    for vm in &vms {
        vm.send_until("/open/x", "", 200).await;
    }
    cluster.set_mode(TargetMode::Limited);
    let since = Instant::now() + SETTLE_TIME;
    let statuses = press(&vms, SETTLE_TIME + WINDOW + Duration::from_secs(2)).await;
    let most = most_in_window(&cluster, since);
    let allowed = allowed_in_window();
    assert!(
        most <= allowed,
        "{most} requests in a window, {allowed} allowed"
    );
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(
        most as f64 > STATED_RATE * WINDOW.as_secs_f64() / 2.0,
        "{most}, {served} served"
    );
    assert!(statuses.iter().all(|status| [200, 503].contains(status)));
}

/// Guards against a limit that outlasts the target's need: it holds only for as long as the target's
/// responses state it.
#[tokio::test]
async fn limit_ends_when_the_target_no_longer_states_it() {
    let cluster = TestCluster::start().await;
    let vm = cluster.start_entry_vm("vm-1").await;
    vm.send_until("/open/x", "", 200).await;
    cluster.set_mode(TargetMode::Limited);
    vm.send("/open/x", "limited", "").await;
    cluster.set_mode(TargetMode::Healthy);
    vm.send_until("/open/x", "", 200).await;
    let start = Instant::now();
    for index in 0..40 {
        let response = vm.send("/open/x", &format!("free-{index}"), "").await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    let at_the_limit = Duration::from_secs_f64(40.0 / STATED_RATE);
    assert!(start.elapsed() < at_the_limit / 2, "{:?}", start.elapsed());
}
