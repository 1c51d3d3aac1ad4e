//! At-most-once execution over real processes: the booking stand-in counts the runs.

mod fixture;

use std::time::Duration;

use fixture::booking::{BookingSite, ServiceAnswer, signal, wait_for};
use fixture::raw::exchange;
use serde_json::json;

/// Longer than the time in which a claim may be sent.
const PAST_SEND_LIMIT: Duration = Duration::from_millis(5_600);

/// The answer came from a run of the call and not from the log.
fn assert_first(answer: &ServiceAnswer) {
    let kind = (answer.status, answer.is_replay);
    assert_eq!(kind, (200, false), "{answer:?}");
}

/// A call that did not run before runs now, and once.
async fn assert_runs_once_now(site: &BookingSite) {
    assert_first(&site.book_until_known(1, "key-1", "tour").await);
    assert_eq!(site.runs("tour").await, 1);
}

/// Another VM repeats the first answer from the log, and nothing runs twice.
async fn assert_replayed(site: &BookingSite, first: &ServiceAnswer) {
    let repeat = site.book_until_known(1, "key-1", "tour").await;
    let kind = (repeat.status, repeat.is_replay);
    assert_eq!(kind, (200, true), "{repeat:?}");
    assert_eq!(repeat.body, first.body);
    assert_eq!(site.runs("tour").await, 1);
}

/// Guards against a second run when the VM that sent the call dies before the answer.
#[tokio::test]
async fn a_call_whose_vm_is_killed_before_its_answer_runs_once() {
    let mut site = BookingSite::start(1_500).await;
    let first = site.book_later(0, "key-1", "tour");
    site.wait_for_runs("tour", 1).await;
    let vm = &mut site.site.nodes[0].process.child;
    vm.kill().await.expect("the VM is killed");
    assert!(first.await.expect("the caller ends").is_err());
    let repeat = site.book(1, "key-1", "tour").await;
    assert_eq!(
        (repeat.status, repeat.run()),
        (409, "unknown"),
        "{repeat:?}"
    );
    assert_eq!(site.runs("tour").await, 1);
}

/// Guards against a send by a VM that was frozen since its claim, and against a key that its
/// claim blocks although it never ran.
#[tokio::test]
async fn a_vm_frozen_between_claim_and_send_never_sends() {
    let site = BookingSite::start(0).await;
    site.set_platform_faults(json!({"log_delay_ms": 1_000}))
        .await;
    let first = site.book_later(0, "key-1", "tour");
    tokio::time::sleep(Duration::from_millis(400)).await;
    let vm = &site.site.nodes[0].process;
    signal(vm, "STOP");
    wait_for("the claim is in the log", || async {
        site.claim_appends().await == 1
    })
    .await;
    site.set_platform_faults(json!({})).await;
    tokio::time::sleep(PAST_SEND_LIMIT).await;
    signal(vm, "CONT");
    let refused = first.await.expect("the caller ends").expect("an answer");
    assert_eq!((refused.status, refused.run()), (503, "no"), "{refused:?}");
    assert_eq!(site.runs("tour").await, 0);
    assert_runs_once_now(&site).await;
}

/// Guards against a second run, or a lost answer, when the VM is frozen between send and answer.
#[tokio::test]
async fn a_vm_frozen_between_send_and_answer_stores_the_answer_when_it_wakes() {
    let mut site = BookingSite::start(500).await;
    let first = site.book_later(0, "key-1", "tour");
    site.wait_for_runs("tour", 1).await;
    signal(&site.site.nodes[0].process, "STOP");
    let early = site.book(1, "key-1", "tour").await;
    tokio::time::sleep(PAST_SEND_LIMIT).await;
    let late = site.book(1, "key-1", "tour").await;
    signal(&site.site.nodes[0].process, "CONT");
    assert_eq!((early.status, early.run()), (409, "unknown"), "{early:?}");
    assert_eq!((late.status, late.run()), (409, "unknown"), "{late:?}");
    let answer = first.await.expect("the caller ends");
    let ended = site.site.nodes[0].process.child.try_wait();
    let answer = answer.unwrap_or_else(|error| panic!("no answer: {error:?}, the VM: {ended:?}"));
    assert_first(&answer);
    assert_replayed(&site, &answer).await;
}

/// Guards against a run during an outage of the log, and against keys that stay blocked after it.
#[tokio::test]
async fn a_call_during_a_log_outage_is_refused_and_runs_after_it() {
    let site = BookingSite::start(0).await;
    site.set_platform_faults(json!({"log_down": true})).await;
    let refused = site.book(0, "key-1", "tour").await;
    assert_eq!((refused.status, refused.run()), (503, "no"), "{refused:?}");
    assert_eq!(site.runs("tour").await, 0);
    site.set_platform_faults(json!({})).await;
    assert_runs_once_now(&site).await;
}

/// Guards against a lost outcome when the log goes down between claim and answer.
#[tokio::test]
async fn an_outcome_reaches_the_log_after_an_outage() {
    let site = BookingSite::start(700).await;
    let first = site.book_later(0, "key-1", "tour");
    site.wait_for_runs("tour", 1).await;
    site.set_platform_faults(json!({"log_down": true})).await;
    let answer = first.await.expect("the caller ends").expect("an answer");
    assert_first(&answer);
    let early = site.book(1, "key-1", "tour").await;
    assert_eq!((early.status, early.run()), (409, "unknown"), "{early:?}");
    site.set_platform_faults(json!({})).await;
    assert_replayed(&site, &answer).await;
}

/// Guards against a second claim, or a refusal, when the reply to an append is lost.
#[tokio::test]
async fn a_lost_append_reply_is_resolved_by_reading_the_log() {
    let site = BookingSite::start(0).await;
    // The delay makes the node learn of the lost reply before it can read the record.
    let faults = json!({"lose_append_replies": 1, "log_delay_ms": 300});
    site.set_platform_faults(faults).await;
    let answer = site.book(0, "key-1", "tour").await;
    assert_first(&answer);
    assert_replayed(&site, &answer).await;
}

/// Guards against two runs when calls with one key race on two VMs.
#[tokio::test]
async fn racing_calls_with_one_key_run_once() {
    let site = BookingSite::start(200).await;
    let calls: Vec<_> = (0..24)
        .map(|number| site.book_later(number % 2, "key-1", "tour"))
        .collect();
    let mut first_answers = 0;
    for call in calls {
        let answer = call.await.expect("the caller ends").expect("an answer");
        first_answers += u32::from(answer.status == 200 && !answer.is_replay);
        let is_repeat = answer.status == 409 && answer.run() == "unknown";
        assert!(is_repeat || answer.status == 200, "{answer:?}");
    }
    assert_eq!(first_answers, 1);
    assert_eq!(site.runs("tour").await, 1);
}

/// Guards against one append per call, which would use up the log's append limit.
#[tokio::test]
async fn claims_that_arrive_together_share_an_append() {
    let site = BookingSite::start(0).await;
    site.set_platform_faults(json!({"log_delay_ms": 100})).await;
    let before = site.claim_appends().await;
    let keys: Vec<String> = (0..40).map(|number| format!("key-{number}")).collect();
    let calls = keys.iter().map(|key| site.book(0, key, key));
    let answers = futures_util::future::join_all(calls).await;
    assert!(answers.iter().all(|answer| answer.status == 200));
    let appends = site.claim_appends().await - before;
    assert!(appends < 40, "{appends} appends for 40 calls");
}

/// Guards against a run without a way to recognise its repeat, and against an answer to another
/// request.
#[tokio::test]
async fn a_call_needs_a_key_of_its_own() {
    let site = BookingSite::start(0).await;
    let node = &site.site.nodes[0];
    let call = node.client.post(node.caller_url("/bookings"));
    let call = call
        .bearer_auth(fixture::KEY)
        .json(&json!({"text": "tour"}));
    let reply = call.send().await.expect("the node answers");
    assert_eq!(reply.status().as_u16(), 400);
    assert_eq!(site.book(0, "key-1", "tour").await.status, 200);
    let reused = site.book_until_known(0, "key-1", "other").await;
    assert_eq!((reused.status, reused.run()), (422, "no"), "{reused:?}");
    assert_eq!(site.runs("tour").await, 1);
    assert_eq!(site.runs("other").await, 0);
}

/// Guards against a service that is open to accounts that may not use it, and against one that
/// asks for a key although it is open to all.
#[tokio::test]
async fn a_route_admits_the_accounts_of_its_configuration() {
    let site = BookingSite::start(0).await;
    let node = &site.site.nodes[0];
    let forbidden = site.get(node, "/stats").await;
    assert_eq!((forbidden.status, forbidden.run()), (403, "no"));
    let open = reqwest::get(node.caller_url("/cylinders/7")).await;
    assert_eq!(open.expect("the node answers").status().as_u16(), 200);
    let closed = reqwest::get(node.caller_url("/bookings/none")).await;
    assert_eq!(closed.expect("the node answers").status().as_u16(), 401);
}

/// Guards against a path that is routed by an open prefix and resolved to another service's path
/// on its way to the server. An HTTP client would resolve it before sending.
#[tokio::test]
async fn a_path_with_dot_segments_is_refused() {
    let site = BookingSite::start(0).await;
    let node = &site.site.nodes[0];
    for path in [
        "/cylinders/%2e%2E/stats",
        "/cylinders/../stats",
        "/cylinders%2f../stats",
    ] {
        let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        let (status, answer) = exchange(node, &request).await;
        assert_eq!(status, 400, "{path}: {answer}");
        assert!(answer.contains("\"run\":\"no\""), "{path}: {answer}");
    }
}

/// Guards against a caller's key or hop-by-hop header that reaches a service.
#[tokio::test]
async fn a_service_sees_neither_the_key_nor_hop_by_hop_headers() {
    let site = BookingSite::start(0).await;
    let node = &site.site.nodes[0];
    let call = node.client.get(node.caller_url("/cylinders/7"));
    let call = call
        .bearer_auth(fixture::KEY)
        .header("x-copy", fixture::KEY);
    let call = call
        .header("x-secret-hop", "hop-value")
        .header("x-kept", "kept-value");
    let call = call
        .header("connection", "x-secret-hop")
        .header("te", "trailers");
    assert_eq!(
        call.send()
            .await
            .expect("the node answers")
            .status()
            .as_u16(),
        200
    );
    let seen = site.stats().await["headers"].to_string();
    assert!(seen.contains("kept-value"), "{seen}");
    assert!(!seen.contains(fixture::KEY), "{seen}");
    assert!(
        !seen.contains("hop-value") && !seen.contains("trailers"),
        "{seen}"
    );
}
/// Guards against a call that is sent after its caller was told that it did not run, because the
/// hard deadline passed while the claim was on its way.
#[tokio::test]
async fn a_call_is_not_sent_after_its_deadline_answer() {
    let site = BookingSite::start(0).await;
    let node = site.site.extra_node(&["--request-timeout-ms", "700"]).await;
    let faults = json!({"log_delay_ms": 1_200});
    site.set_platform_faults(faults).await;
    let call = node.client.post(node.caller_url("/bookings"));
    let call = call
        .bearer_auth(fixture::KEY)
        .header("idempotency-key", "key-1");
    let reply = call.json(&json!({"text": "tour"})).send().await;
    let refused = ServiceAnswer::read(reply.expect("the node answers")).await;
    assert_eq!((refused.status, refused.run()), (504, "no"), "{refused:?}");
    wait_for("the claim is in the log", || async {
        site.claim_appends().await >= 1
    })
    .await;
    site.set_platform_faults(json!({})).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(site.runs("tour").await, 0);
    assert_runs_once_now(&site).await;
}
