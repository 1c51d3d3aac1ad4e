//! Tests of a planned stop of a VM.

mod platform_fixture;

use std::time::{Duration, Instant};

use platform_fixture::{TargetMode, TestCluster};

const KEY_HEADERS: &str = "Authorization: Token key-1\r\n";
/// The time between SIGTERM and SIGKILL of the test VMs.
const GRACE: Duration = Duration::from_secs(4);
/// Until then after SIGTERM, requests may come that the load balancer sent before it knew.
const LATE: Duration = Duration::from_millis(1600);

/// Guards against a request that arrives late in a planned stop, is passed on to a target and is cut
/// off by the end of the process, so that nobody knows whether it has run.
#[yare::parameterized(
    once = { "/pay/x" },
    repeatable = { "/look/x" },
    stream = { "/stream/x" },
)]
#[test_macro(tokio::test)]
async fn late_request_of_a_planned_stop_is_answered_or_refused(path: &'static str) {
    let cluster = TestCluster::start().await;
    let mut vm = cluster.start_entry_vm("vm-1").await;
    let model = "X-Model: m/a1\r\nX-Token-Count: 10,20\r\n";
    let headers = match path {
        "/stream/x" => format!("{KEY_HEADERS}{model}"),
        _ => KEY_HEADERS.to_owned(),
    };
    vm.send_until(path, &headers, 200).await;
    cluster.set_mode(TargetMode::Slow);
    let runs = cluster.runs().len();
    vm.signal("TERM");
    let start = Instant::now();
    let mut calls = Vec::new();
    for index in 0.. {
        if start.elapsed() >= GRACE {
            break;
        }
        let (port, headers) = (vm.caller_port, headers.clone());
        calls.push(tokio::spawn(async move {
            let sent_at = start.elapsed();
            let id = format!("s-{index}");
            (
                id.clone(),
                sent_at,
                platform_fixture::try_send(port, path, &id, &headers).await,
            )
        }));
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    let mut answered = Vec::new();
    for call in calls {
        let (id, sent_at, response) = call.await.unwrap();
        let was_run = cluster
            .runs()
            .iter()
            .any(|run| run.contains(&format!("X-Request-Id: {id}\r\n")));
        let status = response.as_ref().map_or(0, |response| response.status);
        if sent_at >= LATE {
            assert!(
                !was_run || status == 200,
                "{id} at {sent_at:?}: {response:?}"
            );
        }
        assert!(
            !was_run || status != 503,
            "{id} at {sent_at:?}: {response:?}"
        );
        answered.push((sent_at, status));
    }
    assert!(cluster.runs().len() > runs, "{answered:?}");
    assert!(vm.child.wait().unwrap().success());
}
