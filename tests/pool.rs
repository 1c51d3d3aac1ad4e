//! The pool's coordinator with separate processes: a crash, a suspension and graceful shutdowns
//! under load.

mod fixture;

use std::time::Duration;

use fixture::booking::get_json;
use fixture::{StreamedResponse, TestCluster, TestNode, put};
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// Lets a node claim expired leases at once. By default it does so only 30 s after its start, for
/// which the tests don't wait.
const CLAIM_IMMEDIATELY: [&str; 2] = ["--claim-age-ms", "1"];
/// Generous for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);
const POOL: &str = "pool/gemma";
/// More adapters than the engine has slots for.
const ADAPTERS: u32 = 10;
/// The length of a stream that outlasts a takeover of the pool, at 10 ms per token.
const LONG_STREAM_TOKENS: u64 = 700;

/// Starts a cluster with more adapters than slots. Returns the indexes of the coordinator's node
/// and of the other node.
async fn start() -> (TestCluster, usize, usize) {
    let (cluster, _proxy) = TestCluster::start_with(&CLAIM_IMMEDIATELY, None).await;
    let mut edits = Vec::new();
    for index in 4..=ADAPTERS {
        let name = format!("shop-{index}");
        let entry = json!({"account": "acme", "base_model": "gemma", "current": "v1"});
        edits.push(put("adapters", &name, entry));
        edits.push(put("versions", &format!("{name}@v1"), json!({})));
    }
    assert_eq!(cluster.nodes[0].publish(edits).await, 204);
    let start = Instant::now();
    loop {
        for index in 0..2 {
            if is_coordinator(&cluster.nodes[index]).await {
                return (cluster, index, 1 - index);
            }
        }
        assert!(start.elapsed() < TIMEOUT, "the pool has no coordinator");
        sleep(Duration::from_millis(20)).await;
    }
}

async fn is_coordinator(node: &TestNode) -> bool {
    node.held_roles().await.iter().any(|(role, _)| role == POOL)
}

async fn wait_until_coordinator(node: &TestNode) {
    let start = Instant::now();
    while !is_coordinator(node).await {
        assert!(
            start.elapsed() < TIMEOUT,
            "the node did not become the coordinator of the pool"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// Sends a short request. Repeats it while the node does not know the adapter yet.
async fn request_adapter(node: &TestNode, adapter: u32) -> StreamedResponse {
    let model = format!("gemma/shop-{adapter}");
    let start = Instant::now();
    loop {
        let response = node.stream(&model, "swap two bottles tokens=4").await;
        let unknown = response.error.as_ref().map(|error| &error["error"]["code"]);
        if unknown != Some(&json!("not_found")) || start.elapsed() > TIMEOUT {
            return response;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Fills the engine's slots with adapters 1 to 8.
async fn load_all_slots(node: &TestNode) {
    for adapter in 1..=8 {
        let response = request_adapter(node, adapter).await;
        assert!(response.complete, "{response:?}");
    }
}

async fn engine_stats(cluster: &TestCluster) -> Value {
    get_json(format!("http://{}/stats", cluster.engines[0].addresses[0])).await
}

/// Asserts that the engine ran every request once and evicted no adapter that a request was using.
async fn assert_served(cluster: &TestCluster, requests: u64) {
    let stats = &engine_stats(cluster).await["counters"];
    assert_eq!(stats["evicted_while_serving"], 0, "{stats}");
    assert_eq!(stats["cancelled"], 0, "{stats}");
    assert_eq!(stats["answers"], requests, "{stats}");
}

/// Guards against interrupted streams, requests that are refused or run twice, and adapters that
/// are evicted while in use, when the coordinator's VM is killed.
#[tokio::test]
async fn the_coordinator_is_killed_while_streams_run_and_requests_wait() {
    let (mut cluster, owner, other) = start().await;
    load_all_slots(&cluster.nodes[other]).await;
    let started = Notify::new();
    let (stream, ninth) = {
        let node = &cluster.nodes[other];
        let stream = node.long_stream("gemma/shop-1", LONG_STREAM_TOKENS, &started);
        // All slots are taken, so this adapter can be loaded only after an eviction.
        let ninth = async {
            sleep(Duration::from_secs(1)).await;
            request_adapter(node, 9).await
        };
        let kill_coordinator = async {
            started.notified().await;
            cluster.nodes[owner].process.signal("KILL");
            // These requests wait for the new coordinator. All their adapters are loaded.
            let responses =
                futures_util::future::join_all((2..=8).map(|index| request_adapter(node, index)));
            for response in responses.await {
                assert!(response.complete, "{response:?}");
            }
        };
        let work = async { tokio::join!(stream, kill_coordinator) };
        tokio::pin!(work);
        // The caller of the ninth adapter disconnects when the other requests are complete.
        tokio::select! {
            (stream, ()) = &mut work => (stream, None),
            ninth = ninth => (work.await.0, Some(ninth)),
        }
    };
    assert!(stream.complete, "{stream:?}");
    let ninth_answered = ninth.as_ref().is_some_and(|ninth| ninth.complete);
    if let Some(error) = ninth.as_ref().and_then(|ninth| ninth.error.as_ref()) {
        assert_eq!(error["error"]["run"], "no", "{ninth:?}");
    }
    assert!(is_coordinator(&cluster.nodes[other]).await);
    let _ = cluster.nodes[owner].process.child.wait().await;
    assert_served(&cluster, 8 + 1 + 7 + u64::from(ninth_answered)).await;
}

/// Guards against a coordinator that resumes after a suspension and continues to make decisions
/// from outdated state, concurrently with its successor.
#[tokio::test]
async fn the_coordinator_is_suspended_and_resumed() {
    let (cluster, owner, other) = start().await;
    load_all_slots(&cluster.nodes[other]).await;
    cluster.nodes[owner].process.signal("STOP");
    wait_until_coordinator(&cluster.nodes[other]).await;
    let started = Notify::new();
    let node = &cluster.nodes[other];
    let stream = node.long_stream("gemma/shop-1", 200, &started);
    let resume = async {
        started.notified().await;
        cluster.nodes[owner].process.signal("CONT");
        cluster.nodes[owner].wait_until_ready(true, TIMEOUT).await;
        let requests = (2..=8).map(|index| request_adapter(&cluster.nodes[owner], index));
        for response in futures_util::future::join_all(requests).await {
            assert!(response.complete, "{response:?}");
        }
    };
    let (stream, ()) = tokio::join!(stream, resume);
    assert!(stream.complete, "{stream:?}");
    assert!(!is_coordinator(&cluster.nodes[owner]).await);
    assert_served(&cluster, 8 + 1 + 7).await;
}

/// Guards against requests that are interrupted, refused or run twice when the coordinator shuts
/// down gracefully under load.
#[tokio::test]
async fn the_coordinator_shuts_down_gracefully_under_load() {
    let (mut cluster, owner, other) = start().await;
    load_all_slots(&cluster.nodes[other]).await;
    let started = Notify::new();
    let (stream, request_count) = {
        let stream = cluster.nodes[owner].long_stream("gemma/shop-1", 300, &started);
        let load = async {
            started.notified().await;
            cluster.nodes[owner].process.signal("TERM");
            let mut request_count = 0;
            while !is_coordinator(&cluster.nodes[other]).await {
                let requests = (2..=8).map(|index| request_adapter(&cluster.nodes[other], index));
                for response in futures_util::future::join_all(requests).await {
                    assert!(response.complete, "{response:?}");
                    request_count += 1;
                }
            }
            request_count
        };
        tokio::join!(stream, load)
    };
    assert!(stream.complete, "{stream:?}");
    let exit_status = cluster.nodes[owner].process.child.wait().await;
    assert!(exit_status.expect("the process was running").success());
    assert_served(&cluster, 8 + 1 + request_count).await;
}

/// Guards against a graceful shutdown that interrupts a stream, or does not end, while the log is
/// down.
#[tokio::test]
async fn the_coordinator_shuts_down_gracefully_during_a_log_outage() {
    let (mut cluster, owner, other) = start().await;
    load_all_slots(&cluster.nodes[other]).await;
    let started = Notify::new();
    let (stream, ()) = {
        let stream = cluster.nodes[owner].long_stream("gemma/shop-1", 300, &started);
        let stop = async {
            started.notified().await;
            cluster.set_log_down(true).await;
            cluster.nodes[owner].process.signal("TERM");
        };
        tokio::join!(stream, stop)
    };
    assert!(stream.complete, "{stream:?}");
    let exit_status = cluster.nodes[owner].process.child.wait().await;
    assert!(exit_status.expect("the process was running").success());
    assert_served(&cluster, 8 + 1).await;
}
