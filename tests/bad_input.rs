//! Malformed, hostile and careless callers, over the built binary.

mod fixture;

use std::time::Duration;

use fixture::booking::{BookingSite, get_json, wait_for};
use fixture::raw::{connect, exchange, read_answer};
use fixture::scripted::{Behaviour, ScriptedTarget};
use fixture::{ADMIN_TOKEN, KEY, Site, SiteNode, put};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// A raw completion request with these header lines and this body.
fn raw_request(headers: &[&str], body: &str) -> String {
    let headers = headers.join("\r\n");
    format!(
        "POST /v1/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\n{headers}\r\n\r\n{body}"
    )
}

fn authorization() -> String {
    format!("Authorization: Bearer {KEY}")
}

async fn post(node: &SiteNode, path: &str, body: Vec<u8>) -> (u16, Value) {
    let call = node.client.post(node.caller_url(path)).bearer_auth(KEY);
    let reply = call.body(body).send().await.expect("the node answers");
    let status = reply.status().as_u16();
    (status, reply.json().await.expect("the answer is JSON"))
}

/// Checks that a body is refused and not run.
async fn assert_refused(node: &SiteNode, body: Vec<u8>, status: u16) {
    let shown = String::from_utf8_lossy(&body[..body.len().min(80)]).into_owned();
    let (got, answer) = post(node, "/v1/completions", body).await;
    assert_eq!(got, status, "{shown}: {answer}");
    assert_eq!(answer["error"]["run"], "no", "{shown}: {answer}");
}

async fn engine_answers(site: &Site) -> u64 {
    let stats = get_json(format!("http://{}/stats", site.engines[0].addresses[0])).await;
    stats["counters"]["answers"].as_u64().expect("a count")
}

/// Guards against bodies that crash the parser or reach a target in a form of its own.
#[tokio::test]
async fn malformed_bodies_are_refused() {
    let site = Site::start().await;
    let node = &site.nodes[0];
    let deep = "[".repeat(100_000);
    let bodies: [&[u8]; 9] = [
        b"",
        b"{",
        b"[]",
        b"null",
        b"\xff\xfe{}",
        b"{\"model\": 7}",
        b"{\"prompt\": \"no model\"}",
        b"{\"model\": \"gemma/shop-1\", \"stream\": \"yes\"}",
        deep.as_bytes(),
    ];
    for body in bodies {
        assert_refused(node, body.to_vec(), 400).await;
    }
    assert_eq!(engine_answers(&site).await, 0);
}

/// Guards against a body that fills the node's memory, with and without a declared length.
#[tokio::test]
async fn oversized_bodies_are_refused() {
    let site = Site::start().await;
    let node = &site.nodes[0];
    let body = vec![b' '; 1024 * 1024 + 1];
    assert_refused(node, body.clone(), 413).await;
    let mut stream = connect(node).await;
    let head = raw_request(&[&authorization(), "Transfer-Encoding: chunked"], "");
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the head is sent");
    let chunk = format!("{:x}\r\n", body.len());
    stream
        .write_all(chunk.as_bytes())
        .await
        .expect("the size is sent");
    // The node may answer and close before the whole chunk is written.
    let _ = stream.write_all(&body).await;
    let _ = stream.write_all(b"\r\n0\r\n\r\n").await;
    let mut answer = vec![0; 4096];
    let length = stream.read(&mut answer).await.expect("an answer");
    let answer = String::from_utf8_lossy(&answer[..length]);
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
}

/// Guards against a field that the node drops because it does not know it.
#[tokio::test]
async fn unknown_fields_reach_the_target() {
    let site = Site::start().await;
    let target = ScriptedTarget::start().await;
    target.set_script(&[], Behaviour::Answer);
    let entry = json!({"address": target.address, "zone": "a", "base_model": "gemma"});
    let edit = vec![put("targets", "engine-1", entry)];
    assert_eq!(site.nodes[0].publish(edit).await, 204);
    let body = json!({
        "model": "gemma/shop-1", "prompt": "a", "logit_bias": {"7": -1}, "x-new": [1, {"y": null}],
    });
    wait_for("the request reaches the scripted target", || async {
        let body = body.to_string().into_bytes();
        post(&site.nodes[0], "/v1/completions", body).await.0 == 200 && target.tries() > 0
    })
    .await;
    let (_, received) = target.requests().pop().expect("a request");
    assert_eq!(received["logit_bias"], body["logit_bias"]);
    assert_eq!(received["x-new"], body["x-new"]);
}

/// Guards against a request whose two keys are read differently by different parts.
#[tokio::test]
async fn two_authorization_headers_are_refused() {
    let site = Site::start().await;
    let body = json!({"model": "gemma/shop-1", "prompt": "a"}).to_string();
    let length = format!("Content-Length: {}", body.len());
    let first = authorization();
    for second in [
        first.as_str(),
        "Authorization: Bearer other",
        "authorization: Basic eA==",
    ] {
        let request = raw_request(&[&first, second, &length], &body);
        let (status, answer) = exchange(&site.nodes[0], &request).await;
        assert_eq!(status, 400, "{answer}");
    }
    assert_eq!(engine_answers(&site).await, 0);
}

/// Guards against request smuggling: two lengths that a proxy and the node read differently.
#[tokio::test]
async fn content_length_beside_transfer_encoding_is_refused() {
    let site = Site::start().await;
    let body = json!({"model": "gemma/shop-1", "prompt": "a"}).to_string();
    let chunked = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    let (key, length) = (
        authorization(),
        format!("Content-Length: {}", chunked.len()),
    );
    let coding = "Transfer-Encoding: chunked";
    for headers in [[key.as_str(), &length, coding], [&key, coding, &length]] {
        let request = raw_request(&headers, &chunked);
        let (status, answer) = exchange(&site.nodes[0], &request).await;
        assert_eq!(status, 400, "{headers:?}: {answer}");
        assert!(answer.contains("\"run\":\"no\""), "{answer}");
    }
    let other = format!("Content-Length: {}", body.len() + 1);
    let own = format!("Content-Length: {}", body.len());
    let request = raw_request(&[&key, &own, &other], &body);
    let (status, answer) = exchange(&site.nodes[0], &request).await;
    assert_eq!(status, 400, "{answer}");
    assert!(answer.contains("\"run\":\"no\""), "{answer}");
    assert_eq!(engine_answers(&site).await, 0);
}

/// Guards against callers who hold a connection with a head that never ends, also when each byte
/// comes soon after the one before.
#[tokio::test]
async fn a_head_that_never_ends_is_refused() {
    let site = Site::start().await;
    let node = site.extra_node(&["--body-timeout-ms", "500"]).await;
    for pause in [Duration::from_millis(20), Duration::from_secs(60)] {
        let (mut reader, mut writer) = connect(&node).await.into_split();
        let writes = tokio::spawn(async move {
            let head = b"POST /v1/completions HTTP/1.1\r\nHost: ".iter();
            for byte in head.chain(std::iter::repeat(&b'a')) {
                if writer.write_all(&[*byte]).await.is_err() {
                    return;
                }
                tokio::time::sleep(pause).await;
            }
        });
        let mut answer = vec![0; 4096];
        let read = tokio::time::timeout(Duration::from_secs(30), reader.read(&mut answer)).await;
        let length = read.expect("an answer in time").expect("an answer");
        writes.abort();
        let answer = String::from_utf8_lossy(&answer[..length]);
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        assert!(
            answer.contains("head_timeout") && answer.contains("\"run\":\"no\""),
            "{answer}"
        );
    }
}

/// Guards against keys in places that proxies log.
#[tokio::test]
async fn a_key_in_the_query_is_refused() {
    let site = Site::start().await;
    for name in ["key", "api_key", "API-KEY", "access_token", "%6bey"] {
        let path = format!("/v1/completions?x=1&{name}={KEY}");
        let body = json!({"model": "gemma/shop-1", "prompt": "a"}).to_string();
        let (status, answer) = post(&site.nodes[0], &path, body.into_bytes()).await;
        assert_eq!(
            (status, answer["error"]["run"].as_str()),
            (400, Some("no")),
            "{name}"
        );
    }
}

/// Guards against a request that runs on another adapter than the one it names, or on one of
/// another account.
#[tokio::test]
async fn only_known_adapters_of_the_account_are_served() {
    let site = Site::start().await;
    let adapter = json!({"account": "other", "base_model": "gemma", "current": "v1"});
    let edits = vec![
        put("accounts", "other", json!({})),
        put("adapters", "foreign", adapter),
        put("versions", "foreign@v1", json!({})),
    ];
    assert_eq!(site.nodes[0].publish(edits).await, 204);
    for (model, status) in [
        ("gemma/absent", 404),
        ("absent", 404),
        ("gemma/shop-1@v9", 404),
        ("llama/shop-1", 404),
        ("gemma/shop-1@", 404),
        ("gemma/../shop-1", 404),
        ("gemma", 404),
        ("", 404),
        ("gemma/foreign", 403),
        ("foreign@v1", 403),
    ] {
        let body = json!({"model": model, "prompt": "a"}).to_string();
        assert_refused(&site.nodes[0], body.into_bytes(), status).await;
    }
    assert_eq!(engine_answers(&site).await, 0);
}

/// Guards against a charge that is negative, overflows or is not a number.
#[tokio::test]
async fn absurd_max_tokens_are_refused() {
    let site = Site::start().await;
    for limit in [
        "-1",
        "0",
        "1.5",
        "\"many\"",
        "18446744073709551616",
        "1e300",
        "[]",
        "1000001",
    ] {
        for field in ["max_tokens", "max_completion_tokens"] {
            let body =
                format!("{{\"model\":\"gemma/shop-1\",\"prompt\":\"a\",\"{field}\":{limit}}}");
            assert_refused(&site.nodes[0], body.into_bytes(), 400).await;
        }
    }
    let body = json!({"model": "gemma/shop-1", "prompt": "a", "max_tokens": 900_000});
    assert_refused(&site.nodes[0], body.to_string().into_bytes(), 422).await;
    assert_eq!(engine_answers(&site).await, 0);
}

/// Guards against callers who hold a connection with half a body.
#[tokio::test]
async fn a_caller_who_hangs_mid_body_is_refused() {
    let site = Site::start().await;
    let node = site.extra_node(&["--body-timeout-ms", "500"]).await;
    let mut stream = connect(&node).await;
    let request = raw_request(&[&authorization(), "Content-Length: 1000"], "{\"model\":");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the part is sent");
    let (status, answer) = read_answer(&mut stream).await;
    assert_eq!(status, 400, "{answer}");
    assert!(
        answer.contains("body_timeout") && answer.contains("\"run\":\"no\""),
        "{answer}"
    );
    assert_eq!(engine_answers(&site).await, 0);
}

/// Guards against a body that ends early and is taken for a whole one.
#[tokio::test]
async fn a_caller_who_leaves_mid_body_runs_nothing() {
    let site = Site::start().await;
    let mut stream = connect(&site.nodes[0]).await;
    let body = json!({"model": "gemma/shop-1", "prompt": "a"}).to_string();
    let length = format!("Content-Length: {}", body.len() + 1);
    let request = raw_request(&[&authorization(), &length], &body);
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the part is sent");
    stream.shutdown().await.expect("the caller leaves");
    let (status, answer) = read_answer(&mut stream).await;
    assert!([0, 400].contains(&status), "{answer}");
    assert_eq!(engine_answers(&site).await, 0);
}

/// Guards against an answer that is cut for a caller who reads slowly.
#[tokio::test]
async fn a_slow_reader_gets_the_whole_stream() {
    let site = Site::start().await;
    let mut stream = connect(&site.nodes[1]).await;
    let body = json!({"model": "gemma/shop-1", "prompt": "tokens=40", "stream": true}).to_string();
    let length = format!("Content-Length: {}", body.len());
    let request = raw_request(&[&authorization(), &length], &body);
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the request is sent");
    let mut answer = Vec::new();
    let mut part = [0; 512];
    loop {
        let length = stream.read(&mut part).await.expect("the stream goes on");
        if length == 0 {
            break;
        }
        answer.extend_from_slice(&part[..length]);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let answer = String::from_utf8_lossy(&answer);
    let places: Vec<_> = (1..40)
        .map(|token| answer.find(&format!("\" t{token}\"")))
        .collect();
    assert!(places.iter().all(Option::is_some), "{answer}");
    assert!(places.is_sorted() && answer.contains("[DONE]"), "{answer}");
}

/// Everything that targets received and that the node and the log wrote down.
async fn seen_places(site: &BookingSite, node: &SiteNode) -> Vec<(&'static str, Value)> {
    let mut places = vec![
        (
            "engine",
            get_json(format!(
                "http://{}/stats",
                site.site.engines[0].addresses[0]
            ))
            .await,
        ),
        ("service", site.stats().await),
    ];
    for stream in ["config", "claims", "leases", "strikes"] {
        let url = site
            .site
            .platform_url(&format!("/streams/{stream}/records?from=0"));
        places.push((stream, get_json(url).await));
    }
    for path in ["/admin/dump", "/metrics"] {
        let call = node
            .client
            .get(node.admin_url(path))
            .bearer_auth(ADMIN_TOKEN);
        let text = call.send().await.expect("an answer").text().await;
        places.push((path, Value::String(text.expect("the answer is text"))));
    }
    places.push(("log lines", Value::String(node.log_lines())));
    places
}

/// Guards against a caller's key that is passed on or written down anywhere.
#[tokio::test]
async fn the_callers_key_appears_nowhere() {
    let site = BookingSite::start(0).await;
    let node = site.site.extra_node(&["--log", "trace"]).await;
    let answer = node.stream("gemma/shop-1", "tokens=3").await;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(
        node.complete_with_key("unknown-key", "gemma/shop-1")
            .await
            .0,
        401
    );
    let call = node
        .client
        .post(node.caller_url("/bookings"))
        .bearer_auth(KEY);
    let call = call
        .header("idempotency-key", "key-1")
        .header("x-copy", KEY);
    let call = call.json(&json!({"text": "tour"}));
    assert_eq!(call.send().await.expect("an answer").status().as_u16(), 200);
    let path = format!("/bookings/{KEY}");
    assert_eq!(site.get(&node, &path).await.status, 400);
    let query = format!("/v1/completions?key={KEY}");
    assert_eq!(post(&node, &query, Vec::new()).await.0, 400);
    let escaped = KEY.replacen('f', "\\u0066", 1);
    for text in [KEY, &escaped] {
        let body = format!("{{\"model\":\"gemma/shop-1\",\"prompt\":\"my key is {text}\"}}");
        assert_refused(&node, body.into_bytes(), 400).await;
        let call = node.client.post(node.caller_url("/bookings"));
        let call = call.bearer_auth(KEY).header("idempotency-key", text.len());
        let call = call.body(format!("{{\"text\":\"{text}\"}}"));
        let reply = call.send().await.expect("an answer");
        assert_eq!(reply.status().as_u16(), 400);
    }
    let places = seen_places(&site, &node).await;
    for (place, seen) in &places {
        let seen = seen.to_string();
        assert!(
            !seen.contains(KEY) && !seen.contains("unknown-key"),
            "{place}: {seen}"
        );
    }
    assert!(
        node.log_lines().contains("node:"),
        "the log lines were read"
    );
    assert!(
        places[0].1.to_string().contains("x-request-id"),
        "the engine's headers were read"
    );
}
