//! Failing targets and leaving callers, over the built binary.

mod fixture;

use std::time::Duration;

use fixture::booking::{get_json, wait_for};
use fixture::scripted::{Behaviour, LONG_STREAM_EVENTS, ScriptedTarget};
use fixture::{ADMIN_TOKEN, KEY, Site, SiteNode, put};
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;

/// A site whose only engine is scripted.
async fn scripted_site() -> (Site, ScriptedTarget) {
    let site = Site::start().await;
    let target = ScriptedTarget::start().await;
    let entry = json!({"address": target.address, "zone": "a", "base_model": "gemma"});
    let edit = vec![put("targets", "engine-1", entry)];
    assert_eq!(site.nodes[0].publish(edit).await, 204);
    for node in &site.nodes {
        wait_for("requests reach the scripted target", || async {
            let tries = target.tries();
            let (status, _) = node.complete_with_key(KEY, "gemma/shop-1").await;
            status == 200 && target.tries() == tries + 1
        })
        .await;
    }
    (site, target)
}

async fn complete(node: &SiteNode, prompt: &str) -> (u16, Value) {
    let call = node.client.post(node.caller_url("/v1/completions"));
    let body = json!({"model": "gemma/shop-1", "prompt": prompt});
    let reply = call.bearer_auth(KEY).json(&body).send().await;
    let reply = reply.expect("the node answers");
    let status = reply.status().as_u16();
    (status, reply.json().await.expect("the answer is JSON"))
}

/// The quarantined requests that the node knows.
async fn held_requests(node: &SiteNode) -> u64 {
    let call = node.client.get(node.admin_url("/admin/dump"));
    let reply = call.bearer_auth(ADMIN_TOKEN).send().await;
    let dump: Value = reply.expect("the node answers").json().await.expect("JSON");
    dump["quarantine"]["held"].as_u64().expect("a count")
}

/// Guards against a caller who sees the failure of a target that another try would have hidden.
#[tokio::test]
async fn a_failed_try_is_repeated_before_the_first_answer_byte() {
    let (site, target) = scripted_site().await;
    for failure in [Behaviour::Refuse(500), Behaviour::Break] {
        let before = target.tries();
        target.set_script(&[failure], Behaviour::Answer);
        let (status, body) = complete(&site.nodes[0], "a").await;
        assert_eq!(status, 200, "{body}");
        assert_eq!(target.tries() - before, 2);
    }
}

/// Guards against a caller who gets an error, told as run, because an engine restarted empty
/// since the last probe.
#[tokio::test]
async fn a_restarted_engine_is_loaded_again_before_the_caller_sees_an_error() {
    let site = Site::start().await;
    let (status, body) = complete(&site.nodes[0], "a").await;
    assert_eq!(status, 200, "{body}");
    let faults = format!("http://{}/faults", site.engines[0].addresses[0]);
    let call = reqwest::Client::new().put(faults);
    let reply = call.json(&json!({"restart": true})).send().await;
    assert!(reply.expect("the engine answers").status().is_success());
    let (status, body) = complete(&site.nodes[0], "a").await;
    assert_eq!(status, 200, "{body}");
}

/// Guards against a request that crashes every engine again and again, since an engine that ends
/// its answers in order as it crashes was not taken for crashed.
#[tokio::test]
async fn a_request_that_crashes_engines_is_held_back() {
    let site = Site::start().await;
    let node = &site.nodes[0];
    let mut statuses = Vec::new();
    for _ in 0..6 {
        let (status, _) = complete(node, "CRASH-THE-ENGINE").await;
        statuses.push(status);
    }
    let (status, body) = complete(node, "CRASH-THE-ENGINE").await;
    let run = body["error"]["run"].as_str();
    assert_eq!((status, run), (422, Some("no")), "{statuses:?} {body}");
    let stats = format!("http://{}/stats", site.engines[0].addresses[0]);
    assert_eq!(get_json(stats).await["counters"]["crashes"], 3);
    let (status, body) = complete(node, "an innocent request").await;
    assert_eq!(status, 200, "{body}");
}

/// Guards against retries without end, and against a false `run` value after the last one.
#[tokio::test]
async fn a_request_is_tried_three_times_at_most() {
    let (site, target) = scripted_site().await;
    for (failure, run) in [
        (Behaviour::Refuse(500), "yes"),
        (Behaviour::Break, "unknown"),
    ] {
        let before = target.tries();
        target.set_script(&[], failure);
        let (status, body) = complete(&site.nodes[0], "a").await;
        assert_eq!(
            (status, body["error"]["run"].as_str()),
            (503, Some(run)),
            "{body}"
        );
        assert_eq!(target.tries() - before, 3);
    }
}

/// Guards against a retry that turns the `run` value of an earlier try into a weaker one.
#[tokio::test]
async fn a_later_try_does_not_hide_that_an_earlier_one_ran() {
    let (site, target) = scripted_site().await;
    let script = [Behaviour::Refuse(500), Behaviour::Break, Behaviour::Break];
    target.set_script(&script, Behaviour::Answer);
    let (status, body) = complete(&site.nodes[0], "a").await;
    assert_eq!(
        (status, body["error"]["run"].as_str()),
        (503, Some("yes")),
        "{body}"
    );
}

/// Guards against retries of a request that every target refuses for its own fault.
#[tokio::test]
async fn a_request_that_the_target_calls_malformed_is_not_retried() {
    let (site, target) = scripted_site().await;
    let before = target.tries();
    target.set_script(&[], Behaviour::Refuse(400));
    let (status, body) = complete(&site.nodes[0], "a").await;
    assert_eq!(
        (status, body["error"]["run"].as_str()),
        (400, Some("yes")),
        "{body}"
    );
    assert_eq!(target.tries() - before, 1);
}

/// Guards against a failing target whose retries multiply the load on the others.
#[tokio::test]
async fn retries_stay_within_their_budget() {
    let (site, target) = scripted_site().await;
    target.set_script(&[], Behaviour::Refuse(500));
    let before = target.tries();
    const REQUESTS: usize = 100;
    for _ in 0..REQUESTS {
        assert_eq!(complete(&site.nodes[0], "a").await.0, 503);
    }
    let retries = target.tries() - before - REQUESTS;
    assert!(
        (16..=16 + REQUESTS / 10).contains(&retries),
        "{retries} retries"
    );
}

/// Guards against a stream that starts again, or seems complete, after its first byte.
#[tokio::test]
async fn a_stream_that_breaks_after_its_first_event_is_not_retried() {
    let (site, target) = scripted_site().await;
    let before = target.tries();
    target.set_script(&[], Behaviour::BreakStream);
    let answer = site.nodes[0].stream("gemma/shop-1", "a").await;
    assert!(!answer.complete, "{answer:?}");
    assert_eq!(answer.text, "scripted");
    let error = answer.error.expect("an error event");
    assert_eq!(error["error"]["run"], "yes");
    assert_eq!(target.tries() - before, 1);
}

/// Guards against a request that crashes one target after the other, also through another VM.
#[tokio::test]
async fn a_request_that_crashes_three_targets_is_quarantined_everywhere() {
    let (site, target) = scripted_site().await;
    let before = target.tries();
    target.set_script(&[], Behaviour::Crash);
    let (status, body) = complete(&site.nodes[0], "crasher").await;
    assert_eq!(status, 422, "{body}");
    assert_eq!(body["error"]["code"], "request_quarantined");
    assert_eq!(body["error"]["run"], "unknown");
    assert_eq!(target.tries() - before, 3);
    target.set_script(&[], Behaviour::Answer);
    wait_for("the other VM knows the strikes", || async {
        // An answer of this VM before it knows the strikes would clear them.
        held_requests(&site.nodes[1]).await == 1
    })
    .await;
    let tries = target.tries();
    for node in &site.nodes {
        let (status, body) = complete(node, "crasher").await;
        assert_eq!(
            (status, body["error"]["run"].as_str()),
            (422, Some("no")),
            "{body}"
        );
    }
    assert_eq!(target.tries(), tries);
    assert_eq!(complete(&site.nodes[1], "another prompt").await.0, 200);
}

/// Guards against strikes that add up over runs that went well.
#[tokio::test]
async fn a_complete_answer_clears_the_strikes_of_its_request() {
    let (site, target) = scripted_site().await;
    for _ in 0..4 {
        target.set_script(&[Behaviour::Crash, Behaviour::Crash], Behaviour::Answer);
        let (status, body) = complete(&site.nodes[0], "shaky").await;
        assert_eq!(status, 200, "{body}");
    }
}

/// Guards against a strike for a connection that broke without a crash.
#[tokio::test]
async fn a_broken_connection_alone_is_no_strike() {
    let (site, target) = scripted_site().await;
    for _ in 0..2 {
        target.set_script(&[], Behaviour::Break);
        assert_eq!(complete(&site.nodes[0], "plain").await.0, 503);
    }
    target.set_script(&[], Behaviour::Answer);
    assert_eq!(complete(&site.nodes[0], "plain").await.0, 200);
}

/// Guards against a request that outlives its hard deadline.
#[tokio::test]
async fn the_hard_deadline_ends_a_request_with_504() {
    let (site, target) = scripted_site().await;
    let node = site.extra_node(&["--request-timeout-ms", "1500"]).await;
    target.set_script(&[], Behaviour::Hang);
    let closed = target.closed();
    let (status, body) = complete(&node, "a").await;
    assert_eq!(
        (status, body["error"]["run"].as_str()),
        (504, Some("unknown")),
        "{body}"
    );
    wait_for("the target's work is cancelled", || async {
        target.closed() == closed + 1
    })
    .await;
}

/// Guards against a caller who stops reading and so keeps a place on a target for ever.
#[tokio::test]
async fn the_hard_deadline_ends_the_stream_of_a_caller_who_stops_reading() {
    let (site, target) = scripted_site().await;
    let node = site.extra_node(&["--request-timeout-ms", "1500"]).await;
    target.set_script(&[], Behaviour::Flood);
    let mut stream = fixture::raw::connect(&node).await;
    let request = stream_request(KEY);
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the request is sent");
    wait_for("the target's work is cancelled", || async {
        target.closed() == 1
    })
    .await;
    let (status, answer) = fixture::raw::read_answer(&mut stream).await;
    assert_eq!(status, 200);
    let (_, tail) = answer.split_at(answer.len().saturating_sub(300));
    assert!(answer.contains("deadline_passed"), "ends in {tail}");
    assert!(!answer.contains("[DONE]"));
}

/// Guards against events that are lost, cut or out of order while a caller reads slowly.
#[tokio::test]
async fn a_caller_who_pauses_gets_every_event_in_order() {
    let (site, target) = scripted_site().await;
    target.set_script(&[], Behaviour::LongStream);
    let node = &site.nodes[0];
    let body = json!({"model": "gemma/shop-1", "prompt": "a", "stream": true});
    let call = node.client.post(node.caller_url("/v1/completions"));
    let reply = call.bearer_auth(KEY).json(&body).send().await;
    let mut reply = reply.expect("the node answers");
    let mut text = Vec::new();
    while let Some(part) = reply.chunk().await.expect("the stream goes on") {
        if text.is_empty() {
            // The relay fills every buffer on the way and has to wait.
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

/// Guards against work that goes on at an engine for a caller who left.
#[tokio::test]
async fn a_caller_who_leaves_mid_stream_cancels_the_engines_work() {
    let site = Site::start().await;
    let node = &site.nodes[1];
    let body = json!({
        "model": "gemma/shop-1", "prompt": "tokens=2000", "stream": true, "max_tokens": 2000,
    });
    let call = node.client.post(node.caller_url("/v1/completions"));
    let reply = call.bearer_auth(KEY).json(&body).send().await;
    let mut reply = reply.expect("the node answers");
    assert!(reply.chunk().await.expect("an event").is_some());
    drop(reply);
    wait_for("the engine cancels the work", || async {
        let stats = get_json(format!("http://{}/stats", site.engines[0].addresses[0])).await;
        stats["counters"]["cancelled"] == 1 && stats["in_flight"] == 0
    })
    .await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(
        site.nodes[0]
            .stream("gemma/shop-1", "tokens=3")
            .await
            .complete
    );
}

/// Gives the account a burst of `burst` tokens and a rate that earns next to nothing.
async fn set_burst(site: &Site, node: &SiteNode, burst: u64) {
    let rate = json!({"tokens_per_second": 1, "burst": burst});
    let edit = vec![put("rates", "acme", rate)];
    assert_eq!(site.nodes[0].publish(edit).await, 204);
    wait_for("the node knows the burst", || async {
        status_of(node, burst + 1, "probe").await == Some(422)
    })
    .await;
}

/// The status of a completion of up to `tokens` tokens; `None` while it still waits.
async fn status_of(node: &SiteNode, tokens: u64, id: &str) -> Option<u16> {
    let body = json!({"model": "gemma/shop-1", "prompt": "tokens=3", "max_tokens": tokens});
    let call = node.client.post(node.caller_url("/v1/completions"));
    let call = call.bearer_auth(KEY).header("x-request-id", id);
    let call = call.timeout(Duration::from_millis(700)).json(&body);
    Some(call.send().await.ok()?.status().as_u16())
}

/// A caller who has read the first event of a long stream.
async fn begun_stream(node: &SiteNode, tokens: u64) -> reqwest::Response {
    let body = json!({
        "model": "gemma/shop-1", "prompt": format!("tokens={tokens}"), "stream": true,
        "max_tokens": tokens,
    });
    let call = node.client.post(node.caller_url("/v1/completions"));
    let reply = call.bearer_auth(KEY).json(&body).send().await;
    let mut reply = reply.expect("the node answers");
    assert!(reply.chunk().await.expect("an event").is_some());
    reply
}

/// Guards against tokens that stay charged for the part of a stream that its caller did not
/// wait for.
#[tokio::test]
async fn a_caller_who_leaves_mid_stream_may_spend_the_rest_again() {
    let site = Site::start().await;
    let node = &site.nodes[1];
    set_burst(&site, node, 3000).await;
    drop(begun_stream(node, 2900).await);
    wait_for("the engine cancels the work", || async {
        let stats = get_json(format!("http://{}/stats", site.engines[0].addresses[0])).await;
        stats["counters"]["cancelled"] == 1 && stats["in_flight"] == 0
    })
    .await;
    wait_for("the tokens are back", || async {
        status_of(node, 2000, "again").await == Some(200)
    })
    .await;
}

/// Guards against a request that stays in the queue, and tokens that stay charged, after its
/// caller left.
#[tokio::test]
async fn a_caller_who_leaves_the_queue_is_not_charged_and_not_run() {
    let site = Site::start().await;
    let node = &site.nodes[1];
    let engine = &site.engines[0].addresses[0];
    let target = json!({
        "address": engine, "zone": "a", "base_model": "gemma", "checks_fencing": true,
        "request_limit": 1,
    });
    let edit = vec![put("targets", "engine-1", target)];
    assert_eq!(site.nodes[0].publish(edit).await, 204);
    set_burst(&site, node, 40_000).await;
    let running = begun_stream(node, 20_000).await;
    assert_eq!(status_of(node, 15_000, "left-the-queue").await, None);
    wait_for("the tokens are back", || async {
        status_of(node, 15_000, "probe").await.is_none()
    })
    .await;
    drop(running);
    wait_for("the place is free", || async {
        status_of(node, 100, "after").await == Some(200)
    })
    .await;
    let stats = get_json(format!("http://{engine}/stats")).await.to_string();
    assert!(stats.contains("after"), "the request ids are listed");
    assert!(!stats.contains("left-the-queue"), "{stats}");
}
