//! Answers that a target or service sends once more, late, while another request or the same one is
//! under way on the connection.

mod fixture;

use fixture::booking::{BookingSetup, wait_for};
use fixture::scripted::{ScriptedTarget, TargetBehaviour};
use fixture::{KEY, TestCluster, TestNode, put};
use serde_json::{Value, json};

/// How often a test of an engine repeats its case. If loads and probes share the connections of
/// requests, a single case may go by one that nothing can be repeated on.
const ROUNDS: usize = 4;

/// The response to a caller, with the id that the node states.
#[derive(Debug)]
struct IdentifiedResponse {
    status: u16,
    id: String,
    is_not_run: bool,
    body: Value,
}

impl IdentifiedResponse {
    async fn of_request(request: reqwest::RequestBuilder) -> Self {
        let reply = request.bearer_auth(KEY).send().await;
        let reply = reply.expect("the node responds");
        let id = reply.headers()["x-request-id"].to_str().expect("text");
        let (status, id) = (reply.status().as_u16(), id.to_owned());
        let has_statement = reply.headers().contains_key("x-not-run");
        let body: Value = reply.json().await.expect("the response is JSON");
        let is_not_run = has_statement || body["error"]["run"] == "no";
        Self {
            status,
            id,
            is_not_run,
            body,
        }
    }

    fn is_of_own_request(&self) -> bool {
        self.body["id"] == format!("cmpl-{}", self.id)
    }
}

fn booking(node: &TestNode) -> reqwest::RequestBuilder {
    node.client.get(node.caller_url("/bookings"))
}

fn completion(node: &TestNode) -> reqwest::RequestBuilder {
    let body = json!({"model": "gemma/shop-1", "prompt": "a"});
    let request = node.client.post(node.caller_url("/v1/completions"));
    request.json(&body)
}

/// Sends requests that are answered, so that later ones go by a kept connection where the node keeps
/// any.
async fn open_connections(request: impl Fn() -> reqwest::RequestBuilder) {
    for _ in 0..4 {
        let response = IdentifiedResponse::of_request(request()).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
}

/// A booking setup whose only booking server is a scripted target.
async fn scripted_service() -> (BookingSetup, ScriptedTarget) {
    let setup = BookingSetup::start(0).await;
    let target = ScriptedTarget::start().await;
    let entry = json!({"address": target.address, "zone": "a", "service": "bookings"});
    let edits = vec![put("targets", "booking-1", entry)];
    let node = &setup.cluster.nodes[0];
    assert_eq!(node.publish(edits).await, 204);
    wait_for("requests reach the scripted target", || async {
        IdentifiedResponse::of_request(booking(node)).await;
        target.attempt_count() > 0
    })
    .await;
    (setup, target)
}

/// A cluster whose only engine is a scripted target.
async fn scripted_engine() -> (TestCluster, ScriptedTarget) {
    let cluster = TestCluster::start().await;
    let target = ScriptedTarget::start().await;
    let entry = json!({"address": target.address, "zone": "a", "base_model": "gemma"});
    let node = &cluster.nodes[0];
    let edits = vec![put("targets", "engine-1", entry)];
    assert_eq!(node.publish(edits).await, 204);
    wait_for("requests reach the scripted target", || async {
        let response = IdentifiedResponse::of_request(completion(node)).await;
        response.status == 200 && target.attempt_count() > 0
    })
    .await;
    (cluster, target)
}

/// Guards against passing on a late answer to another caller's request.
#[yare::parameterized(
    repeated = { TargetBehaviour::Repeat, true },
    shifted = { TargetBehaviour::Shift, true },
    repeated_without_ids = { TargetBehaviour::Repeat, false },
    shifted_without_ids = { TargetBehaviour::Shift, false },
)]
#[test_macro(tokio::test)]
async fn late_answer_to_another_call_is_not_passed_on(behaviour: TargetBehaviour, has_ids: bool) {
    let (setup, target) = scripted_service().await;
    let node = &setup.cluster.nodes[0];
    if !has_ids {
        target.omit_ids();
    }
    open_connections(|| booking(node)).await;
    target.set_script(&[], behaviour);
    for _ in 0..8 {
        let response = IdentifiedResponse::of_request(booking(node)).await;
        assert_eq!(response.status, 200, "{response:?}");
        assert!(response.is_of_own_request(), "{response:?}");
    }
    // Without ids, answers can't be compared, and only connections that carry one request are safe.
    assert_eq!(target.repeat_count() > 0, has_ids);
}

/// Guards against passing on an answer that names another request, also on a new connection.
#[tokio::test]
async fn answer_with_another_id_is_not_passed_on() {
    let (setup, target) = scripted_service().await;
    let node = &setup.cluster.nodes[0];
    target.set_script(&[], TargetBehaviour::ForeignId);
    let call = IdentifiedResponse::of_request(booking(node)).await;
    let run = call.body["error"]["run"].as_str();
    assert_eq!((call.status, run), (503, Some("unknown")), "{call:?}");
    let call = setup.book(0, "key-1", "tour").await;
    assert_eq!(
        (call.status, call.run_value()),
        (503, "unknown"),
        "{call:?}"
    );
}

/// Guards against a call that runs although its caller was told that it had not: the copy of an
/// earlier refusal was passed on when the caller came back with the same id.
#[yare::parameterized(
    busy = { 503 },
    too_many = { 429 },
    misdirected = { 421 },
    timed_out = { 408 },
)]
#[test_macro(tokio::test)]
async fn repeated_refusal_is_not_passed_on_for_a_call_that_runs(status: u16) {
    let (setup, target) = scripted_service().await;
    let node = &setup.cluster.nodes[0];
    open_connections(|| booking(node)).await;
    target.set_script(&[TargetBehaviour::Refuse(status)], TargetBehaviour::Repeat);
    let request = || booking(node).header("x-request-id", "again");
    let refused = IdentifiedResponse::of_request(request()).await;
    assert_eq!((refused.status, refused.is_not_run), (status, true));
    assert_eq!(target.run_count("again"), 0);
    let response = IdentifiedResponse::of_request(request()).await;
    assert_eq!(response.status, 200, "{response:?}");
    assert!(response.is_of_own_request(), "{response:?}");
    assert_eq!(target.run_count("again"), 1);
}

/// Guards against a completion that runs twice: the copy of the answer that the adapter is not loaded
/// was taken for the answer to the caller's next request with the same id.
#[tokio::test]
async fn completion_that_returns_after_a_refusal_runs_once() {
    let (cluster, target) = scripted_engine().await;
    let node = &cluster.nodes[0];
    open_connections(|| completion(node)).await;
    for round in 0..ROUNDS {
        let id = format!("again-{round}");
        let refusal = TargetBehaviour::LoseAdapters;
        target.set_script(&[refusal; 3], TargetBehaviour::Repeat);
        let request = || completion(node).header("x-request-id", &id);
        let refused = IdentifiedResponse::of_request(request()).await;
        assert!(refused.is_not_run, "{refused:?}");
        let response = IdentifiedResponse::of_request(request()).await;
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(target.run_count(&id), 1);
    }
}

/// Guards against the same within one request, whose next attempt goes to the same engine.
#[tokio::test]
async fn completion_that_is_retried_after_a_refusal_runs_once() {
    let (cluster, target) = scripted_engine().await;
    let node = &cluster.nodes[0];
    open_connections(|| completion(node)).await;
    for _ in 0..ROUNDS {
        let script = [TargetBehaviour::LoseAdapters, TargetBehaviour::Repeat];
        target.set_script(&script, TargetBehaviour::Respond);
        let response = IdentifiedResponse::of_request(completion(node)).await;
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(target.run_count(&response.id), 1);
    }
}

/// Guards against telling a caller that a completion has not run because of a late answer to another
/// request.
#[yare::parameterized(
    with_ids = { true },
    without_ids = { false },
)]
#[test_macro(tokio::test)]
async fn late_refusal_of_another_completion_does_not_state_that_none_ran(has_ids: bool) {
    let (cluster, target) = scripted_engine().await;
    let node = &cluster.nodes[0];
    if !has_ids {
        target.omit_ids();
    }
    open_connections(|| completion(node)).await;
    let refusal = TargetBehaviour::LoseAdapters;
    for _ in 0..ROUNDS {
        target.set_script(&[], refusal);
        let refused = IdentifiedResponse::of_request(completion(node)).await;
        assert!(refused.is_not_run, "{refused:?}");
        target.set_script(&[TargetBehaviour::Repeat], refusal);
        let response = IdentifiedResponse::of_request(completion(node)).await;
        assert_eq!(target.run_count(&response.id), 1);
        assert!(!response.is_not_run, "{response:?}");
    }
    assert_eq!(target.repeat_count() > 0, has_ids);
}

/// Guards against a load that counts as failed because the answer to an earlier, refused one was sent
/// once more.
#[tokio::test]
async fn answer_to_an_earlier_command_is_not_the_result_of_a_load() {
    let cluster = TestCluster::start().await;
    let target = ScriptedTarget::start().await;
    target.repeat_commands();
    let entry = json!({"address": target.address, "zone": "a", "base_model": "gemma"});
    let node = &cluster.nodes[0];
    assert_eq!(
        node.publish(vec![put("targets", "engine-1", entry)]).await,
        204
    );
    wait_for("a completion is served", || async {
        let response = IdentifiedResponse::of_request(completion(node)).await;
        response.status == 200 && target.attempt_count() > 0
    })
    .await;
    assert_eq!(target.load_count(), 2);
}
