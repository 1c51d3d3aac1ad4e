//! Refusals that a target repeats while the refused request is under way again.

mod platform_fixture;

use std::time::{Duration, Instant};

use platform_fixture::repeated_refusals::RepeatedRefusal;
use platform_fixture::{CallerResponse, EntryVm, TargetMode, TestCluster};

const HEADERS: &str = "Authorization: Token key-1\r\nX-Model: m\r\nX-Token-Count: 10,10\r\n";
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// The statuses that promise callers that their request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Sends a request again, with the same id, as long as callers are told that it has not run.
async fn send_until_run(vm: &EntryVm, path: &str, id: &str) -> CallerResponse {
    let started = Instant::now();
    loop {
        let response = vm.send(path, id, HEADERS).await;
        if !PROMISES.contains(&response.status) {
            return response;
        }
        assert!(started.elapsed() < WAIT_LIMIT, "{response:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a request that runs although its caller was told that it had not: the copy of an
/// earlier refusal was taken for the answer when the caller came back with the same id.
#[yare::parameterized(
    busy = { "/pay/x", RepeatedRefusal::new("503 Busy") },
    busy_late = { "/pay/x", RepeatedRefusal::new("503 Busy").with_delay(Duration::from_millis(2000)) },
    busy_in_parts = { "/pay/x", RepeatedRefusal::new("503 Busy").with_delay(Duration::from_millis(200)).with_parts(3) },
    too_many = { "/pay/x", RepeatedRefusal::new("429 Slow").with_delay(Duration::from_millis(300)) },
    too_many_in_parts = { "/pay/x", RepeatedRefusal::new("429 Slow").with_parts(4) },
    misdirected = { "/pay/x", RepeatedRefusal::new("421 No").with_delay(Duration::from_millis(100)) },
    misdirected_in_parts = { "/pay/x", RepeatedRefusal::new("421 No").with_parts(2) },
    timed_out = { "/pay/x", RepeatedRefusal::new("408 Late") },
    stream = { "/feed/x", RepeatedRefusal::new("503 Busy").with_delay(Duration::from_millis(100)) },
)]
#[test_macro(tokio::test)]
async fn request_that_returns_after_a_refusal_runs_once(path: &str, refusal: RepeatedRefusal) {
    let cluster = TestCluster::start().await;
    let vm = cluster.start_entry_vm("vm-1").await;
    vm.send_until(path, HEADERS, 200).await;
    let runs = cluster.runs().len();
    cluster.set_mode(TargetMode::RepeatRefusals(refusal));
    let refused = vm.send(path, "again", HEADERS).await;
    assert!(PROMISES.contains(&refused.status), "{refused:?}");
    cluster.set_mode(TargetMode::Healthy);
    let response = send_until_run(&vm, path, "again").await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(cluster.runs().len(), runs + 1);
}

/// Guards against the same for a request that waits in the VM while its target is registered under
/// another name: the pool of connections goes by address.
#[tokio::test]
async fn request_runs_once_at_a_target_that_is_renamed() {
    let cluster = TestCluster::start().await;
    let vm = cluster.start_entry_vm("vm-1").await;
    vm.send_until("/pay/x", HEADERS, 200).await;
    let runs = cluster.runs().len();
    let refusal = RepeatedRefusal::new("503 Busy").with_lines("Retry-After: 1\r\n");
    cluster.set_mode(TargetMode::RepeatRefusals(refusal));
    let rename = async {
        let arrivals = cluster.arrivals();
        while cluster.arrivals() == arrivals {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        cluster.set_mode(TargetMode::Healthy);
        let record = serde_json::json!({"service": "llm", "address": cluster.target_address,
            "zone": "a", "slots": 8, "state": "ready", "sequence": 1, "born": 1,
            "models": [{"name": "m", "version": 1, "adapters": []}]});
        let text = record.to_string();
        cluster.store.put("keyed.servers", "i-1", b"");
        cluster.store.put("keyed.servers", "i-2", text.as_bytes());
    };
    let (response, ()) = tokio::join!(vm.send("/pay/x", "renamed", HEADERS), rename);
    let response = match response.status {
        200 => response,
        _ => send_until_run(&vm, "/pay/x", "renamed").await,
    };
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(cluster.runs().len(), runs + 1);
}

/// Guards against a copy that is taken for the answer to another request, or that keeps its answer from
/// it, on the connections that have carried the refused one.
#[yare::parameterized(
    at_once = { "/pay/x", RepeatedRefusal::new("503 Busy") },
    late_in_parts = { "/pay/x", RepeatedRefusal::new("503 Busy").with_delay(Duration::from_millis(1000)).with_parts(4) },
    misdirected = { "/pay/x", RepeatedRefusal::new("421 No").with_delay(Duration::from_millis(100)) },
    stream = { "/feed/x", RepeatedRefusal::new("429 Slow").with_parts(3) },
)]
#[test_macro(tokio::test)]
async fn copy_of_a_refusal_does_not_answer_another_request(path: &str, refusal: RepeatedRefusal) {
    let cluster = TestCluster::start().await;
    let vm = cluster.start_entry_vm("vm-1").await;
    vm.send_until(path, HEADERS, 200).await;
    let runs = cluster.runs().len();
    cluster.set_mode(TargetMode::RepeatRefusals(refusal));
    let refused = vm.send(path, "refused", HEADERS).await;
    assert!(PROMISES.contains(&refused.status), "{refused:?}");
    cluster.set_mode(TargetMode::Healthy);
    let others = ["other-1", "other-2", "other-3"].map(|id| send_until_run(&vm, path, id));
    for response in futures_util::future::join_all(others).await {
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert_eq!(cluster.runs().len(), runs + 3);
    let is_skip = |line: &serde_json::Value| {
        line["message"] == "attempt: skipped a response to another request"
    };
    let started = Instant::now();
    // Log lines are written with a delay.
    while !vm.log_lines().iter().any(is_skip) {
        assert!(started.elapsed() < WAIT_LIMIT, "no copy was skipped");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
