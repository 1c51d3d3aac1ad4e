//! At-most-once execution with separate processes. The booking stand-in counts the runs.

mod fixture;

use std::time::Duration;

use fixture::booking::{BookingSetup, ServiceResponse, signal, wait_for};
use fixture::raw::exchange;
use serde_json::json;

/// Longer than the time after a claim within which the claimed request may be sent.
const PAST_SEND_LIMIT: Duration = Duration::from_millis(5_600);

/// Asserts that the response comes from a run of the request and not from the log.
fn assert_not_replayed(response: &ServiceResponse) {
    let kind = (response.status, response.is_replay);
    assert_eq!(kind, (200, false), "{response:?}");
}

/// Asserts that a request that has not run yet now runs once.
async fn assert_runs_once_now(setup: &BookingSetup) {
    assert_not_replayed(&setup.book_until_resolved(1, "key-1", "tour").await);
    assert_eq!(setup.run_count("tour").await, 1);
}

/// Asserts that another VM replays the first response from the log, and that nothing ran twice.
async fn assert_replayed(setup: &BookingSetup, first: &ServiceResponse) {
    let repeat = setup.book_until_resolved(1, "key-1", "tour").await;
    let kind = (repeat.status, repeat.is_replay);
    assert_eq!(kind, (200, true), "{repeat:?}");
    assert_eq!(repeat.body, first.body);
    assert_eq!(setup.run_count("tour").await, 1);
}

/// Guards against a second run when the VM that sent the request is killed before the response.
#[tokio::test]
async fn a_request_runs_once_when_its_vm_is_killed_before_the_response() {
    let mut setup = BookingSetup::start(1_500).await;
    let first = setup.spawn_booking(0, "key-1", "tour");
    setup.wait_for_run_count("tour", 1).await;
    let vm = &mut setup.cluster.nodes[0].process.child;
    vm.kill().await.expect("the VM is killed");
    assert!(
        first
            .await
            .expect("the caller's task does not panic")
            .is_err()
    );
    let repeat = setup.book(1, "key-1", "tour").await;
    assert_eq!(
        (repeat.status, repeat.run_value()),
        (409, "unknown"),
        "{repeat:?}"
    );
    assert_eq!(setup.run_count("tour").await, 1);
}

/// Guards against a VM that is suspended after its claim and sends the request when it resumes, and
/// against a claim that blocks its key although the request never ran.
#[tokio::test]
async fn a_vm_suspended_between_claim_and_send_does_not_send() {
    let setup = BookingSetup::start(0).await;
    setup
        .set_platform_faults(json!({"log_delay_ms": 1_000}))
        .await;
    let first = setup.spawn_booking(0, "key-1", "tour");
    tokio::time::sleep(Duration::from_millis(400)).await;
    let vm = &setup.cluster.nodes[0].process;
    signal(vm, "STOP");
    wait_for("the claim is in the log", || async {
        setup.claim_append_count().await == 1
    })
    .await;
    setup.set_platform_faults(json!({})).await;
    tokio::time::sleep(PAST_SEND_LIMIT).await;
    signal(vm, "CONT");
    let refused = first
        .await
        .expect("the caller's task does not panic")
        .expect("a response");
    assert_eq!(
        (refused.status, refused.run_value()),
        (503, "no"),
        "{refused:?}"
    );
    assert_eq!(setup.run_count("tour").await, 0);
    assert_runs_once_now(&setup).await;
}

/// Guards against a second run, or a lost response, when the VM is suspended between sending the
/// request and receiving the response.
#[tokio::test]
async fn a_vm_suspended_between_send_and_response_stores_the_response_after_resuming() {
    let mut setup = BookingSetup::start(500).await;
    let first = setup.spawn_booking(0, "key-1", "tour");
    setup.wait_for_run_count("tour", 1).await;
    signal(&setup.cluster.nodes[0].process, "STOP");
    let early = setup.book(1, "key-1", "tour").await;
    tokio::time::sleep(PAST_SEND_LIMIT).await;
    let late = setup.book(1, "key-1", "tour").await;
    signal(&setup.cluster.nodes[0].process, "CONT");
    assert_eq!(
        (early.status, early.run_value()),
        (409, "unknown"),
        "{early:?}"
    );
    assert_eq!(
        (late.status, late.run_value()),
        (409, "unknown"),
        "{late:?}"
    );
    let response = first.await.expect("the caller's task does not panic");
    let ended = setup.cluster.nodes[0].process.child.try_wait();
    let response = response
        .unwrap_or_else(|error| panic!("no response: {error:?}, exit status of the VM: {ended:?}"));
    assert_not_replayed(&response);
    assert_replayed(&setup, &response).await;
}

/// Guards against running a request during a log outage, and against idempotency keys that stay
/// claimed after it.
#[tokio::test]
async fn a_request_is_refused_during_a_log_outage_and_runs_after_it() {
    let setup = BookingSetup::start(0).await;
    setup.set_platform_faults(json!({"log_down": true})).await;
    let refused = setup.book(0, "key-1", "tour").await;
    assert_eq!(
        (refused.status, refused.run_value()),
        (503, "no"),
        "{refused:?}"
    );
    assert_eq!(setup.run_count("tour").await, 0);
    setup.set_platform_faults(json!({})).await;
    assert_runs_once_now(&setup).await;
}

/// Guards against a lost outcome when the log goes down between the claim and the response.
#[tokio::test]
async fn an_outcome_reaches_the_log_after_an_outage() {
    let setup = BookingSetup::start(700).await;
    let first = setup.spawn_booking(0, "key-1", "tour");
    setup.wait_for_run_count("tour", 1).await;
    setup.set_platform_faults(json!({"log_down": true})).await;
    let response = first
        .await
        .expect("the caller's task does not panic")
        .expect("a response");
    assert_not_replayed(&response);
    let early = setup.book(1, "key-1", "tour").await;
    assert_eq!(
        (early.status, early.run_value()),
        (409, "unknown"),
        "{early:?}"
    );
    setup.set_platform_faults(json!({})).await;
    assert_replayed(&setup, &response).await;
}

/// Guards against a second claim, or a refusal, when the reply to the append of a claim is lost.
#[tokio::test]
async fn a_lost_append_reply_is_resolved_by_reading_the_log() {
    let setup = BookingSetup::start(0).await;
    // Because of the delay, the node detects the lost reply before it can read the record.
    let faults = json!({"lose_append_replies": 1, "log_delay_ms": 300});
    setup.set_platform_faults(faults).await;
    let response = setup.book(0, "key-1", "tour").await;
    assert_not_replayed(&response);
    assert_replayed(&setup, &response).await;
}

/// Guards against two runs when concurrent requests with one key arrive at two VMs.
#[tokio::test]
async fn concurrent_requests_with_one_key_run_once() {
    let setup = BookingSetup::start(200).await;
    let requests: Vec<_> = (0..24)
        .map(|number| setup.spawn_booking(number % 2, "key-1", "tour"))
        .collect();
    let mut first_responses = 0;
    for request in requests {
        let response = request
            .await
            .expect("the caller's task does not panic")
            .expect("a response");
        first_responses += u32::from(response.status == 200 && !response.is_replay);
        let is_repeat = response.status == 409 && response.run_value() == "unknown";
        assert!(is_repeat || response.status == 200, "{response:?}");
    }
    assert_eq!(first_responses, 1);
    assert_eq!(setup.run_count("tour").await, 1);
}

/// Guards against one append per request, which would exhaust the log's append limit.
#[tokio::test]
async fn claims_that_arrive_together_share_an_append() {
    let setup = BookingSetup::start(0).await;
    setup
        .set_platform_faults(json!({"log_delay_ms": 100}))
        .await;
    let before = setup.claim_append_count().await;
    let keys: Vec<String> = (0..40).map(|number| format!("key-{number}")).collect();
    let requests = keys.iter().map(|key| setup.book(0, key, key));
    let responses = futures_util::future::join_all(requests).await;
    assert!(responses.iter().all(|response| response.status == 200));
    let appends = setup.claim_append_count().await - before;
    assert!(appends < 40, "{appends} appends for 40 requests");
}

/// Guards against running a request without an idempotency key, whose repetition could not be
/// recognised, and against replaying the response to a different request with the same key.
#[tokio::test]
async fn an_idempotency_key_is_required_and_bound_to_one_request() {
    let setup = BookingSetup::start(0).await;
    let node = &setup.cluster.nodes[0];
    let request = node.client.post(node.caller_url("/bookings"));
    let request = request
        .bearer_auth(fixture::KEY)
        .json(&json!({"text": "tour"}));
    let reply = request.send().await.expect("the node responds");
    assert_eq!(reply.status().as_u16(), 400);
    assert_eq!(setup.book(0, "key-1", "tour").await.status, 200);
    let reused = setup.book_until_resolved(0, "key-1", "other").await;
    assert_eq!(
        (reused.status, reused.run_value()),
        (422, "no"),
        "{reused:?}"
    );
    assert_eq!(setup.run_count("tour").await, 1);
    assert_eq!(setup.run_count("other").await, 0);
}

/// Guards against a service that serves accounts without access, and against one that requires a
/// key although it is open to all.
#[tokio::test]
async fn a_route_admits_the_accounts_of_its_configuration() {
    let setup = BookingSetup::start(0).await;
    let node = &setup.cluster.nodes[0];
    let forbidden = setup.get(node, "/stats").await;
    assert_eq!((forbidden.status, forbidden.run_value()), (403, "no"));
    let open = reqwest::get(node.caller_url("/cylinders/7")).await;
    assert_eq!(open.expect("the node responds").status().as_u16(), 200);
    let closed = reqwest::get(node.caller_url("/bookings/none")).await;
    assert_eq!(closed.expect("the node responds").status().as_u16(), 401);
}

/// Guards against a path that is routed by the prefix of an open service but that the server
/// resolves to a path of another service. The request is raw, since an HTTP client would resolve
/// the path.
#[tokio::test]
async fn a_path_with_dot_segments_is_refused() {
    let setup = BookingSetup::start(0).await;
    let node = &setup.cluster.nodes[0];
    for path in [
        "/cylinders/%2e%2E/stats",
        "/cylinders/../stats",
        "/cylinders%2f../stats",
    ] {
        let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        let (status, response) = exchange(node, &request).await;
        assert_eq!(status, 400, "{path}: {response}");
        assert!(response.contains("\"run\":\"no\""), "{path}: {response}");
    }
}

/// Guards against forwarding a caller's key or hop-by-hop headers to a service.
#[tokio::test]
async fn the_callers_key_and_hop_by_hop_headers_are_not_forwarded() {
    let setup = BookingSetup::start(0).await;
    let node = &setup.cluster.nodes[0];
    let request = node.client.get(node.caller_url("/cylinders/7"));
    let request = request
        .bearer_auth(fixture::KEY)
        .header("x-copy", fixture::KEY);
    let request = request
        .header("x-secret-hop", "hop-value")
        .header("x-kept", "kept-value");
    let request = request
        .header("connection", "x-secret-hop")
        .header("te", "trailers");
    assert_eq!(
        request
            .send()
            .await
            .expect("the node responds")
            .status()
            .as_u16(),
        200
    );
    let seen = setup.stats().await["headers"].to_string();
    assert!(seen.contains("kept-value"), "{seen}");
    assert!(!seen.contains(fixture::KEY), "{seen}");
    assert!(
        !seen.contains("hop-value") && !seen.contains("trailers"),
        "{seen}"
    );
}

/// Guards against sending a request after its caller got the response that it did not run, because
/// the hard deadline passed while the claim was being appended.
#[tokio::test]
async fn a_request_is_not_sent_after_its_deadline_response() {
    let setup = BookingSetup::start(0).await;
    let node = setup
        .cluster
        .start_extra_node(&["--request-timeout-ms", "700"])
        .await;
    let faults = json!({"log_delay_ms": 1_200});
    setup.set_platform_faults(faults).await;
    let request = node.client.post(node.caller_url("/bookings"));
    let request = request
        .bearer_auth(fixture::KEY)
        .header("idempotency-key", "key-1");
    let reply = request.json(&json!({"text": "tour"})).send().await;
    let refused = ServiceResponse::read(reply.expect("the node responds")).await;
    assert_eq!(
        (refused.status, refused.run_value()),
        (504, "no"),
        "{refused:?}"
    );
    wait_for("the claim is in the log", || async {
        setup.claim_append_count().await >= 1
    })
    .await;
    setup.set_platform_faults(json!({})).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(setup.run_count("tour").await, 0);
    assert_runs_once_now(&setup).await;
}
