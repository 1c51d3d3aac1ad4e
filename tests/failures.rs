//! Target failures, deadlines and disconnecting callers, tested with the built binary.

mod fixture;

use std::time::Duration;

use fixture::booking::{get_json, wait_for};
use fixture::scripted::{LONG_STREAM_EVENTS, ScriptedTarget, TargetBehaviour};
use fixture::{ADMIN_TOKEN, KEY, TestCluster, TestNode, put};
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;

/// A cluster whose only engine is a scripted target.
async fn scripted_cluster() -> (TestCluster, ScriptedTarget) {
    let cluster = TestCluster::start().await;
    let target = ScriptedTarget::start().await;
    let entry = json!({"address": target.address, "zone": "a", "base_model": "gemma"});
    let edit = vec![put("targets", "engine-1", entry)];
    assert_eq!(cluster.nodes[0].publish(edit).await, 204);
    for node in &cluster.nodes {
        wait_for("requests reach the scripted target", || async {
            let attempt_count = target.attempt_count();
            let (status, _) = node.complete_with_key(KEY, "gemma/shop-1").await;
            status == 200 && target.attempt_count() == attempt_count + 1
        })
        .await;
    }
    (cluster, target)
}

async fn complete(node: &TestNode, prompt: &str) -> (u16, Value) {
    let request = node.client.post(node.caller_url("/v1/completions"));
    let body = json!({"model": "gemma/shop-1", "prompt": prompt});
    let reply = request.bearer_auth(KEY).json(&body).send().await;
    let reply = reply.expect("the node responds");
    let status = reply.status().as_u16();
    (status, reply.json().await.expect("the response is JSON"))
}

/// The number of quarantined requests in the node's dump.
async fn quarantined_requests(node: &TestNode) -> u64 {
    let request = node.client.get(node.admin_url("/admin/dump"));
    let reply = request.bearer_auth(ADMIN_TOKEN).send().await;
    let dump: Value = reply
        .expect("the node responds")
        .json()
        .await
        .expect("JSON");
    dump["quarantine"]["held"].as_u64().expect("a count")
}

/// Guards against reporting a target's failure to the caller although a retry would succeed.
#[tokio::test]
async fn a_failed_attempt_is_retried_before_the_first_response_byte() {
    let (cluster, target) = scripted_cluster().await;
    for failure in [TargetBehaviour::Error(500), TargetBehaviour::Disconnect] {
        let before = target.attempt_count();
        target.set_script(&[failure], TargetBehaviour::Respond);
        let (status, body) = complete(&cluster.nodes[0], "a").await;
        assert_eq!(status, 200, "{body}");
        assert_eq!(target.attempt_count() - before, 2);
    }
}

/// Guards against an error for a request whose engine has restarted, and so lost its adapters,
/// since the last probe.
#[tokio::test]
async fn a_restarted_engine_is_loaded_again_before_the_caller_sees_an_error() {
    let cluster = TestCluster::start().await;
    let (status, body) = complete(&cluster.nodes[0], "a").await;
    assert_eq!(status, 200, "{body}");
    let faults = format!("http://{}/faults", cluster.engines[0].addresses[0]);
    let request = reqwest::Client::new().put(faults);
    let reply = request.json(&json!({"restart": true})).send().await;
    assert!(reply.expect("the engine responds").status().is_success());
    let (status, body) = complete(&cluster.nodes[0], "a").await;
    assert_eq!(status, 200, "{body}");
}

/// Guards against a request that crashes engines again and again. A crashing engine may end its
/// responses properly, and must still count as crashed.
#[tokio::test]
async fn a_request_that_crashes_engines_is_quarantined() {
    let cluster = TestCluster::start().await;
    let node = &cluster.nodes[0];
    let mut statuses = Vec::new();
    for _ in 0..6 {
        let (status, _) = complete(node, "CRASH-THE-ENGINE").await;
        statuses.push(status);
    }
    let (status, body) = complete(node, "CRASH-THE-ENGINE").await;
    let run = body["error"]["run"].as_str();
    assert_eq!((status, run), (422, Some("no")), "{statuses:?} {body}");
    let stats = format!("http://{}/stats", cluster.engines[0].addresses[0]);
    assert_eq!(get_json(stats).await["counters"]["crashes"], 3);
    let (status, body) = complete(node, "an innocent request").await;
    assert_eq!(status, 200, "{body}");
}

/// Guards against unlimited retries, and against a wrong `run` value after the last attempt.
#[tokio::test]
async fn a_request_is_attempted_at_most_three_times() {
    let (cluster, target) = scripted_cluster().await;
    for (failure, run) in [
        (TargetBehaviour::Error(500), "yes"),
        (TargetBehaviour::Disconnect, "unknown"),
    ] {
        let before = target.attempt_count();
        target.set_script(&[], failure);
        let (status, body) = complete(&cluster.nodes[0], "a").await;
        assert_eq!(
            (status, body["error"]["run"].as_str()),
            (503, Some(run)),
            "{body}"
        );
        assert_eq!(target.attempt_count() - before, 3);
    }
}

/// Guards against a `run` value of `unknown` after an earlier attempt whose value was `yes`.
#[tokio::test]
async fn a_later_attempt_does_not_hide_that_an_earlier_one_ran() {
    let (cluster, target) = scripted_cluster().await;
    let script = [
        TargetBehaviour::Error(500),
        TargetBehaviour::Disconnect,
        TargetBehaviour::Disconnect,
    ];
    target.set_script(&script, TargetBehaviour::Respond);
    let (status, body) = complete(&cluster.nodes[0], "a").await;
    assert_eq!(
        (status, body["error"]["run"].as_str()),
        (503, Some("yes")),
        "{body}"
    );
}

/// Guards against retrying an invalid request, which every target rejects.
#[tokio::test]
async fn a_request_that_the_target_rejects_as_malformed_is_not_retried() {
    let (cluster, target) = scripted_cluster().await;
    let before = target.attempt_count();
    target.set_script(&[], TargetBehaviour::Error(400));
    let (status, body) = complete(&cluster.nodes[0], "a").await;
    assert_eq!(
        (status, body["error"]["run"].as_str()),
        (400, Some("yes")),
        "{body}"
    );
    assert_eq!(target.attempt_count() - before, 1);
}

/// Guards against retries that multiply the load on the other targets when one target fails.
#[tokio::test]
async fn retries_stay_within_their_budget() {
    let (cluster, target) = scripted_cluster().await;
    target.set_script(&[], TargetBehaviour::Error(500));
    let before = target.attempt_count();
    const REQUESTS: usize = 100;
    for _ in 0..REQUESTS {
        assert_eq!(complete(&cluster.nodes[0], "a").await.0, 503);
    }
    let retries = target.attempt_count() - before - REQUESTS;
    assert!(
        (16..=16 + REQUESTS / 10).contains(&retries),
        "{retries} retries"
    );
}

/// Guards against a stream that is restarted, or that appears complete, when the target's
/// connection breaks after the first byte.
#[tokio::test]
async fn a_stream_that_breaks_after_its_first_event_is_not_retried() {
    let (cluster, target) = scripted_cluster().await;
    let before = target.attempt_count();
    target.set_script(&[], TargetBehaviour::DisconnectMidStream);
    let response = cluster.nodes[0].stream("gemma/shop-1", "a").await;
    assert!(!response.complete, "{response:?}");
    assert_eq!(response.text, "scripted");
    let error = response.error.expect("an error event");
    assert_eq!(error["error"]["run"], "yes");
    assert_eq!(target.attempt_count() - before, 1);
}

/// Guards against a request that crashes one target after another, also when it is sent to another
/// VM.
#[tokio::test]
async fn a_request_that_crashes_three_targets_is_quarantined_everywhere() {
    let (cluster, target) = scripted_cluster().await;
    let before = target.attempt_count();
    target.set_script(&[], TargetBehaviour::Crash);
    let (status, body) = complete(&cluster.nodes[0], "crasher").await;
    assert_eq!(status, 422, "{body}");
    assert_eq!(body["error"]["code"], "request_quarantined");
    assert_eq!(body["error"]["run"], "unknown");
    assert_eq!(target.attempt_count() - before, 3);
    target.set_script(&[], TargetBehaviour::Respond);
    wait_for("the other VM knows the strikes", || async {
        // A complete response through this VM would clear the strikes, so it must know them before
        // it gets the request.
        quarantined_requests(&cluster.nodes[1]).await == 1
    })
    .await;
    let attempt_count = target.attempt_count();
    for node in &cluster.nodes {
        let (status, body) = complete(node, "crasher").await;
        assert_eq!(
            (status, body["error"]["run"].as_str()),
            (422, Some("no")),
            "{body}"
        );
    }
    assert_eq!(target.attempt_count(), attempt_count);
    assert_eq!(complete(&cluster.nodes[1], "another prompt").await.0, 200);
}

/// Guards against strikes that accumulate although complete responses lie between them.
#[tokio::test]
async fn a_complete_response_clears_the_strikes_of_its_request() {
    let (cluster, target) = scripted_cluster().await;
    for _ in 0..4 {
        target.set_script(
            &[TargetBehaviour::Crash, TargetBehaviour::Crash],
            TargetBehaviour::Respond,
        );
        let (status, body) = complete(&cluster.nodes[0], "shaky").await;
        assert_eq!(status, 200, "{body}");
    }
}

/// Guards against a strike for a connection that breaks although the target did not crash.
#[tokio::test]
async fn a_broken_connection_without_a_crash_is_not_a_strike() {
    let (cluster, target) = scripted_cluster().await;
    for _ in 0..2 {
        target.set_script(&[], TargetBehaviour::Disconnect);
        assert_eq!(complete(&cluster.nodes[0], "plain").await.0, 503);
    }
    target.set_script(&[], TargetBehaviour::Respond);
    assert_eq!(complete(&cluster.nodes[0], "plain").await.0, 200);
}

/// Guards against a request that continues after its hard deadline.
#[tokio::test]
async fn the_hard_deadline_ends_a_request_with_504() {
    let (cluster, target) = scripted_cluster().await;
    let node = cluster
        .start_extra_node(&["--request-timeout-ms", "1500"])
        .await;
    target.set_script(&[], TargetBehaviour::Hang);
    let closed = target.closed_connections();
    let (status, body) = complete(&node, "a").await;
    assert_eq!(
        (status, body["error"]["run"].as_str()),
        (504, Some("unknown")),
        "{body}"
    );
    wait_for("the target's work is cancelled", || async {
        target.closed_connections() == closed + 1
    })
    .await;
}

/// Guards against a caller who stops reading and thereby occupies a request slot of the target
/// without end.
#[tokio::test]
async fn the_hard_deadline_ends_the_stream_of_a_caller_who_stops_reading() {
    let (cluster, target) = scripted_cluster().await;
    let node = cluster
        .start_extra_node(&["--request-timeout-ms", "1500"])
        .await;
    target.set_script(&[], TargetBehaviour::Flood);
    let mut stream = fixture::raw::connect(&node).await;
    let request = stream_request(KEY);
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the request is sent");
    wait_for("the target's work is cancelled", || async {
        target.closed_connections() == 1
    })
    .await;
    let (status, response) = fixture::raw::read_response(&mut stream).await;
    assert_eq!(status, 200);
    let (_, tail) = response.split_at(response.len().saturating_sub(300));
    assert!(
        response.contains("deadline_passed"),
        "no deadline error in the stream, which ends with {tail}"
    );
    assert!(!response.contains("[DONE]"));
}

/// Guards against events that are lost, truncated or reordered when a caller pauses reading.
#[tokio::test]
async fn a_caller_who_pauses_gets_every_event_in_order() {
    let (cluster, target) = scripted_cluster().await;
    target.set_script(&[], TargetBehaviour::LongStream);
    let node = &cluster.nodes[0];
    let body = json!({"model": "gemma/shop-1", "prompt": "a", "stream": true});
    let request = node.client.post(node.caller_url("/v1/completions"));
    let reply = request.bearer_auth(KEY).json(&body).send().await;
    let mut reply = reply.expect("the node responds");
    let mut text = Vec::new();
    while let Some(part) = reply.chunk().await.expect("the stream continues") {
        if text.is_empty() {
            // During the pause all buffers on the path fill up, and the relay has to wait.
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        text.extend_from_slice(&part);
    }
    let text = String::from_utf8(text).expect("the events are text");
    let mut events = text.split_terminator("\n\n");
    for number in 0..LONG_STREAM_EVENTS {
        let event = events.next().and_then(|event| event.strip_prefix("data: "));
        let event: Value = serde_json::from_str(event.expect("an event")).expect("JSON");
        let text = event["choices"][0]["text"].as_str().expect("a text");
        assert!(text.starts_with(&format!("<{number}>")), "event {number}");
        assert_eq!(text.len(), 64 * 1024 + format!("<{number}>").len());
    }
    assert_eq!(events.next(), Some("data: [DONE]"));
    assert_eq!(events.next(), None);
}

fn stream_request(key: &str) -> String {
    let body = json!({
        "model": "gemma/shop-1", "prompt": "tokens=400", "stream": true, "max_tokens": 400,
    })
    .to_string();
    format!(
        "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {key}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}

/// Guards against an engine that continues a request after its caller has disconnected.
#[tokio::test]
async fn a_disconnect_mid_stream_cancels_the_engines_work() {
    let cluster = TestCluster::start().await;
    let node = &cluster.nodes[1];
    let body = json!({
        "model": "gemma/shop-1", "prompt": "tokens=2000", "stream": true, "max_tokens": 2000,
    });
    let request = node.client.post(node.caller_url("/v1/completions"));
    let reply = request.bearer_auth(KEY).json(&body).send().await;
    let mut reply = reply.expect("the node responds");
    assert!(reply.chunk().await.expect("an event").is_some());
    drop(reply);
    wait_for("the engine cancels the work", || async {
        let stats = get_json(format!("http://{}/stats", cluster.engines[0].addresses[0])).await;
        stats["counters"]["cancelled"] == 1 && stats["in_flight"] == 0
    })
    .await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(
        cluster.nodes[0]
            .stream("gemma/shop-1", "tokens=3")
            .await
            .complete
    );
}

/// Sets the account's burst to `burst` tokens, with a refill of only one token per second.
async fn set_burst(cluster: &TestCluster, node: &TestNode, burst: u64) {
    let rate = json!({"tokens_per_second": 1, "burst": burst});
    let edit = vec![put("rates", "acme", rate)];
    assert_eq!(cluster.nodes[0].publish(edit).await, 204);
    wait_for("the node knows the burst", || async {
        completion_status(node, burst + 1, "probe").await == Some(422)
    })
    .await;
}

/// Sends a completion request with a limit of `tokens` tokens and the request id `id`. Returns
/// `None` if it gets no response in time because it waits in the queue.
async fn completion_status(node: &TestNode, tokens: u64, id: &str) -> Option<u16> {
    let body = json!({"model": "gemma/shop-1", "prompt": "tokens=3", "max_tokens": tokens});
    let request = node.client.post(node.caller_url("/v1/completions"));
    let request = request.bearer_auth(KEY).header("x-request-id", id);
    let request = request.timeout(Duration::from_millis(700)).json(&body);
    Some(request.send().await.ok()?.status().as_u16())
}

/// Starts a stream of `tokens` tokens and reads its first event.
async fn start_stream(node: &TestNode, tokens: u64) -> reqwest::Response {
    let body = json!({
        "model": "gemma/shop-1", "prompt": format!("tokens={tokens}"), "stream": true,
        "max_tokens": tokens,
    });
    let request = node.client.post(node.caller_url("/v1/completions"));
    let reply = request.bearer_auth(KEY).json(&body).send().await;
    let mut reply = reply.expect("the node responds");
    assert!(reply.chunk().await.expect("an event").is_some());
    reply
}

/// Guards against tokens that stay charged for the part of a stream that was not generated, because
/// the caller disconnected.
#[tokio::test]
async fn a_disconnect_mid_stream_refunds_the_unused_tokens() {
    let cluster = TestCluster::start().await;
    let node = &cluster.nodes[1];
    set_burst(&cluster, node, 3000).await;
    drop(start_stream(node, 2900).await);
    wait_for("the engine cancels the work", || async {
        let stats = get_json(format!("http://{}/stats", cluster.engines[0].addresses[0])).await;
        stats["counters"]["cancelled"] == 1 && stats["in_flight"] == 0
    })
    .await;
    wait_for("the tokens are refunded", || async {
        completion_status(node, 2000, "again").await == Some(200)
    })
    .await;
}

/// Guards against a request that stays queued, and tokens that stay charged, after the caller
/// disconnected.
#[tokio::test]
async fn a_request_cancelled_in_the_queue_is_not_charged_and_not_run() {
    let cluster = TestCluster::start().await;
    let node = &cluster.nodes[1];
    let engine = &cluster.engines[0].addresses[0];
    let target = json!({
        "address": engine, "zone": "a", "base_model": "gemma", "checks_fencing": true,
        "request_limit": 1,
    });
    let edit = vec![put("targets", "engine-1", target)];
    assert_eq!(cluster.nodes[0].publish(edit).await, 204);
    set_burst(&cluster, node, 40_000).await;
    let running = start_stream(node, 20_000).await;
    assert_eq!(
        completion_status(node, 15_000, "left-the-queue").await,
        None
    );
    wait_for("the tokens are refunded", || async {
        completion_status(node, 15_000, "probe").await.is_none()
    })
    .await;
    drop(running);
    wait_for("the request slot is free", || async {
        completion_status(node, 100, "after").await == Some(200)
    })
    .await;
    let stats = get_json(format!("http://{engine}/stats")).await.to_string();
    assert!(
        stats.contains("after"),
        "the engine does not list request ids: {stats}"
    );
    assert!(!stats.contains("left-the-queue"), "{stats}");
}
