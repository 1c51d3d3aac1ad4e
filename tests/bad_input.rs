//! Malformed and hostile requests, sent to the built binary.

mod fixture;

use std::time::Duration;

use fixture::booking::{BookingSetup, get_json, wait_for};
use fixture::raw::{connect, exchange, read_response};
use fixture::scripted::{ScriptedTarget, TargetBehaviour};
use fixture::{ADMIN_TOKEN, KEY, TestCluster, TestNode, put};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// A raw completion request. The connection closes after the response.
fn raw_request(headers: &[&str], body: &str) -> String {
    let headers = headers.join("\r\n");
    format!(
        "POST /v1/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\n{headers}\r\n\r\n{body}"
    )
}

fn authorization() -> String {
    format!("Authorization: Bearer {KEY}")
}

async fn post(node: &TestNode, path: &str, body: Vec<u8>) -> (u16, Value) {
    let request = node.client.post(node.caller_url(path)).bearer_auth(KEY);
    let reply = request.body(body).send().await.expect("the node responds");
    let status = reply.status().as_u16();
    (status, reply.json().await.expect("the response is JSON"))
}

/// Asserts that the body is refused with `status` and not run.
async fn assert_refused(node: &TestNode, body: Vec<u8>, status: u16) {
    let body_start = String::from_utf8_lossy(&body[..body.len().min(80)]).into_owned();
    let (actual_status, response) = post(node, "/v1/completions", body).await;
    assert_eq!(actual_status, status, "{body_start}: {response}");
    assert_eq!(response["error"]["run"], "no", "{body_start}: {response}");
}

async fn engine_response_count(cluster: &TestCluster) -> u64 {
    let stats = get_json(format!("http://{}/stats", cluster.engines[0].addresses[0])).await;
    stats["counters"]["answers"].as_u64().expect("a count")
}

/// Guards against bodies that crash the parser, or that reach a target although the node could not
/// parse them.
#[tokio::test]
async fn malformed_bodies_are_refused() {
    let cluster = TestCluster::start().await;
    let node = &cluster.nodes[0];
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
    assert_eq!(engine_response_count(&cluster).await, 0);
}

/// Guards against a body that exhausts the node's memory, with and without a content length.
#[tokio::test]
async fn oversized_bodies_are_refused() {
    let cluster = TestCluster::start().await;
    let node = &cluster.nodes[0];
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
    // The node may respond and close the connection before the whole chunk is written.
    let _ = stream.write_all(&body).await;
    let _ = stream.write_all(b"\r\n0\r\n\r\n").await;
    let mut response = vec![0; 4096];
    let length = stream.read(&mut response).await.expect("a response");
    let response = String::from_utf8_lossy(&response[..length]);
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
}

/// Guards against dropping fields of the body that the node does not know.
#[tokio::test]
async fn unknown_fields_reach_the_target() {
    let cluster = TestCluster::start().await;
    let target = ScriptedTarget::start().await;
    target.set_script(&[], TargetBehaviour::Respond);
    let entry = json!({"address": target.address, "zone": "a", "base_model": "gemma"});
    let edit = vec![put("targets", "engine-1", entry)];
    assert_eq!(cluster.nodes[0].publish(edit).await, 204);
    let body = json!({
        "model": "gemma/shop-1", "prompt": "a", "logit_bias": {"7": -1}, "x-new": [1, {"y": null}],
    });
    wait_for("the request reaches the scripted target", || async {
        let body = body.to_string().into_bytes();
        post(&cluster.nodes[0], "/v1/completions", body).await.0 == 200
            && target.attempt_count() > 0
    })
    .await;
    let (_, received) = target.requests().pop().expect("a request");
    assert_eq!(received["logit_bias"], body["logit_bias"]);
    assert_eq!(received["x-new"], body["x-new"]);
}

/// Guards against a request with two keys, of which proxies and the node could use different ones.
#[tokio::test]
async fn two_authorization_headers_are_refused() {
    let cluster = TestCluster::start().await;
    let body = json!({"model": "gemma/shop-1", "prompt": "a"}).to_string();
    let length = format!("Content-Length: {}", body.len());
    let first = authorization();
    for second in [
        first.as_str(),
        "Authorization: Bearer other",
        "authorization: Basic eA==",
    ] {
        let request = raw_request(&[&first, second, &length], &body);
        let (status, response) = exchange(&cluster.nodes[0], &request).await;
        assert_eq!(status, 400, "{response}");
    }
    assert_eq!(engine_response_count(&cluster).await, 0);
}

/// Guards against request smuggling, where a proxy and the node derive different body lengths from
/// conflicting headers.
#[tokio::test]
async fn content_length_beside_transfer_encoding_is_refused() {
    let cluster = TestCluster::start().await;
    let body = json!({"model": "gemma/shop-1", "prompt": "a"}).to_string();
    let chunked = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    let (key, length) = (
        authorization(),
        format!("Content-Length: {}", chunked.len()),
    );
    let coding = "Transfer-Encoding: chunked";
    for headers in [[key.as_str(), &length, coding], [&key, coding, &length]] {
        let request = raw_request(&headers, &chunked);
        let (status, response) = exchange(&cluster.nodes[0], &request).await;
        assert_eq!(status, 400, "{headers:?}: {response}");
        assert!(response.contains("\"run\":\"no\""), "{response}");
    }
    let other = format!("Content-Length: {}", body.len() + 1);
    let own = format!("Content-Length: {}", body.len());
    let request = raw_request(&[&key, &own, &other], &body);
    let (status, response) = exchange(&cluster.nodes[0], &request).await;
    assert_eq!(status, 400, "{response}");
    assert!(response.contains("\"run\":\"no\""), "{response}");
    assert_eq!(engine_response_count(&cluster).await, 0);
}

/// Guards against callers who keep a connection open with a request head that never ends, both when
/// they stall and when they send a byte at short intervals.
#[tokio::test]
async fn a_head_that_never_ends_is_refused() {
    let cluster = TestCluster::start().await;
    let node = cluster
        .start_extra_node(&["--body-timeout-ms", "500"])
        .await;
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
        let mut response = vec![0; 4096];
        let read = tokio::time::timeout(Duration::from_secs(30), reader.read(&mut response)).await;
        let length = read.expect("a response in time").expect("a response");
        writes.abort();
        let response = String::from_utf8_lossy(&response[..length]);
        assert!(response.starts_with("HTTP/1.1 400"), "{response}");
        assert!(
            response.contains("head_timeout") && response.contains("\"run\":\"no\""),
            "{response}"
        );
    }
}

/// Guards against keys in the URL, which proxies log.
#[tokio::test]
async fn a_key_in_the_query_is_refused() {
    let cluster = TestCluster::start().await;
    for name in ["key", "api_key", "API-KEY", "access_token", "%6bey"] {
        let path = format!("/v1/completions?x=1&{name}={KEY}");
        let body = json!({"model": "gemma/shop-1", "prompt": "a"}).to_string();
        let (status, response) = post(&cluster.nodes[0], &path, body.into_bytes()).await;
        assert_eq!(
            (status, response["error"]["run"].as_str()),
            (400, Some("no")),
            "{name}"
        );
    }
}

/// Guards against running a request on a different adapter from the one it names, or on an adapter
/// of another account.
#[tokio::test]
async fn only_known_adapters_of_the_account_are_served() {
    let cluster = TestCluster::start().await;
    let adapter = json!({"account": "other", "base_model": "gemma", "current": "v1"});
    let edits = vec![
        put("accounts", "other", json!({})),
        put("adapters", "foreign", adapter),
        put("versions", "foreign@v1", json!({})),
    ];
    assert_eq!(cluster.nodes[0].publish(edits).await, 204);
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
        assert_refused(&cluster.nodes[0], body.into_bytes(), status).await;
    }
    assert_eq!(engine_response_count(&cluster).await, 0);
}

/// Guards against a token charge that is negative, overflows or is not a number.
#[tokio::test]
async fn out_of_range_max_tokens_are_refused() {
    let cluster = TestCluster::start().await;
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
            assert_refused(&cluster.nodes[0], body.into_bytes(), 400).await;
        }
    }
    let body = json!({"model": "gemma/shop-1", "prompt": "a", "max_tokens": 900_000});
    assert_refused(&cluster.nodes[0], body.to_string().into_bytes(), 422).await;
    assert_eq!(engine_response_count(&cluster).await, 0);
}

/// Guards against callers who keep a connection open with an incomplete body.
#[tokio::test]
async fn an_incomplete_body_is_refused_after_the_timeout() {
    let cluster = TestCluster::start().await;
    let node = cluster
        .start_extra_node(&["--body-timeout-ms", "500"])
        .await;
    let mut stream = connect(&node).await;
    let request = raw_request(&[&authorization(), "Content-Length: 1000"], "{\"model\":");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the incomplete request is sent");
    let (status, response) = read_response(&mut stream).await;
    assert_eq!(status, 400, "{response}");
    assert!(
        response.contains("body_timeout") && response.contains("\"run\":\"no\""),
        "{response}"
    );
    assert_eq!(engine_response_count(&cluster).await, 0);
}

/// Guards against a truncated body that is treated as complete.
#[tokio::test]
async fn a_body_cut_short_by_a_disconnect_is_not_run() {
    let cluster = TestCluster::start().await;
    let mut stream = connect(&cluster.nodes[0]).await;
    let body = json!({"model": "gemma/shop-1", "prompt": "a"}).to_string();
    let length = format!("Content-Length: {}", body.len() + 1);
    let request = raw_request(&[&authorization(), &length], &body);
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the incomplete request is sent");
    stream.shutdown().await.expect("the caller closes its side");
    let (status, response) = read_response(&mut stream).await;
    assert!([0, 400].contains(&status), "{response}");
    assert_eq!(engine_response_count(&cluster).await, 0);
}

/// Guards against a response that is truncated for a caller who reads slowly.
#[tokio::test]
async fn a_slow_reader_gets_the_whole_stream() {
    let cluster = TestCluster::start().await;
    let mut stream = connect(&cluster.nodes[1]).await;
    let body = json!({"model": "gemma/shop-1", "prompt": "tokens=40", "stream": true}).to_string();
    let length = format!("Content-Length: {}", body.len());
    let request = raw_request(&[&authorization(), &length], &body);
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the request is sent");
    let mut response = Vec::new();
    let mut part = [0; 512];
    loop {
        let length = stream.read(&mut part).await.expect("the stream continues");
        if length == 0 {
            break;
        }
        response.extend_from_slice(&part[..length]);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let response = String::from_utf8_lossy(&response);
    let positions: Vec<_> = (1..40)
        .map(|token| response.find(&format!("\" t{token}\"")))
        .collect();
    assert!(positions.iter().all(Option::is_some), "{response}");
    assert!(
        positions.is_sorted() && response.contains("[DONE]"),
        "{response}"
    );
}

/// The requests that the targets received, the records of the log, and the node's dump, metrics and
/// log lines.
async fn collect_outputs(setup: &BookingSetup, node: &TestNode) -> Vec<(&'static str, Value)> {
    let mut outputs = vec![
        (
            "engine",
            get_json(format!(
                "http://{}/stats",
                setup.cluster.engines[0].addresses[0]
            ))
            .await,
        ),
        ("service", setup.stats().await),
    ];
    for stream in ["config", "claims", "leases", "strikes"] {
        let url = setup
            .cluster
            .platform_url(&format!("/streams/{stream}/records?from=0"));
        outputs.push((stream, get_json(url).await));
    }
    for path in ["/admin/dump", "/metrics"] {
        let request = node
            .client
            .get(node.admin_url(path))
            .bearer_auth(ADMIN_TOKEN);
        let text = request.send().await.expect("a response").text().await;
        outputs.push((path, Value::String(text.expect("the response is text"))));
    }
    outputs.push(("log lines", Value::String(node.log_lines())));
    outputs
}

/// Guards against a caller's key that is forwarded to a target, or written to the log, the dump,
/// the metrics or log lines.
#[tokio::test]
async fn the_callers_key_is_neither_forwarded_nor_logged() {
    let setup = BookingSetup::start(0).await;
    let node = setup.cluster.start_extra_node(&["--log", "trace"]).await;
    let response = node.stream("gemma/shop-1", "tokens=3").await;
    assert!(response.complete, "{response:?}");
    assert_eq!(
        node.complete_with_key("unknown-key", "gemma/shop-1")
            .await
            .0,
        401
    );
    let request = node
        .client
        .post(node.caller_url("/bookings"))
        .bearer_auth(KEY);
    let request = request
        .header("idempotency-key", "key-1")
        .header("x-copy", KEY);
    let request = request.json(&json!({"text": "tour"}));
    assert_eq!(
        request.send().await.expect("a response").status().as_u16(),
        200
    );
    let path = format!("/bookings/{KEY}");
    assert_eq!(setup.get(&node, &path).await.status, 400);
    let query = format!("/v1/completions?key={KEY}");
    assert_eq!(post(&node, &query, Vec::new()).await.0, 400);
    let escaped = KEY.replacen('f', "\\u0066", 1);
    for text in [KEY, &escaped] {
        let body = format!("{{\"model\":\"gemma/shop-1\",\"prompt\":\"my key is {text}\"}}");
        assert_refused(&node, body.into_bytes(), 400).await;
        let request = node.client.post(node.caller_url("/bookings"));
        let request = request
            .bearer_auth(KEY)
            .header("idempotency-key", text.len());
        let request = request.body(format!("{{\"text\":\"{text}\"}}"));
        let reply = request.send().await.expect("a response");
        assert_eq!(reply.status().as_u16(), 400);
    }
    let outputs = collect_outputs(&setup, &node).await;
    for (source, content) in &outputs {
        let content = content.to_string();
        assert!(
            !content.contains(KEY) && !content.contains("unknown-key"),
            "{source}: {content}"
        );
    }
    assert!(
        node.log_lines().contains("node:"),
        "the log lines were not captured"
    );
    assert!(
        outputs[0].1.to_string().contains("x-request-id"),
        "the headers received by the engine were not captured"
    );
}
