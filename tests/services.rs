//! Failures of plain service servers, tested with the built binary.

mod fixture;

use std::time::Duration;

use fixture::booking::{BookingSetup, wait_for};
use fixture::raw::{connect, read_response};
use fixture::scripted::{ScriptedTarget, TargetBehaviour};
use fixture::{KEY, TestNode, put};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A booking setup whose only booking server is a scripted target.
async fn scripted_setup() -> (BookingSetup, ScriptedTarget) {
    let setup = BookingSetup::start(0).await;
    let target = ScriptedTarget::start().await;
    set_server(&setup, &target.address.to_string()).await;
    (setup, target)
}

/// Replaces the booking server and waits until both nodes have applied the change. The change also
/// adds a service with a prefix derived from the address. A node that knows this prefix has applied
/// the change.
async fn set_server(setup: &BookingSetup, address: &str) {
    let marker = format!("/{}", address.replace(['.', ':'], "-"));
    let edits = vec![
        put(
            "targets",
            "booking-1",
            json!({"address": address, "zone": "a", "service": "bookings"}),
        ),
        put(
            "services",
            "marker",
            json!({"prefix": marker, "repeatable_methods": ["GET"]}),
        ),
    ];
    assert_eq!(setup.cluster.nodes[0].publish(edits).await, 204);
    for node in &setup.cluster.nodes {
        wait_for("the node has the configuration", || async {
            // A service without servers gives 503, an unknown route 404.
            setup.get(node, &marker).await.status == 503
        })
        .await;
    }
}

/// Guards against sending a request again after its connection broke, since the server may have run
/// it.
#[tokio::test]
async fn a_request_whose_connection_breaks_is_not_resent() {
    let (setup, target) = scripted_setup().await;
    target.set_script(&[TargetBehaviour::Disconnect], TargetBehaviour::Respond);
    let broken = setup.book(0, "key-1", "tour").await;
    assert_eq!(
        (broken.status, broken.run_value()),
        (503, "unknown"),
        "{broken:?}"
    );
    for node in [0, 1] {
        let repeat = setup.book(node, "key-1", "tour").await;
        assert_eq!(
            (repeat.status, repeat.run_value()),
            (409, "unknown"),
            "{repeat:?}"
        );
    }
    assert_eq!(target.attempt_count(), 1);
}

/// Guards against an idempotency key that stays claimed, or a wrong `run` value, when the request
/// could not be sent.
#[tokio::test]
async fn a_request_that_reaches_no_server_did_not_run() {
    let (setup, target) = scripted_setup().await;
    set_server(&setup, "127.0.0.1:1").await;
    let refused = setup.book(0, "key-1", "tour").await;
    assert_eq!(
        (refused.status, refused.run_value()),
        (503, "no"),
        "{refused:?}"
    );
    set_server(&setup, &target.address.to_string()).await;
    let response = setup.book_until_resolved(1, "key-1", "tour").await;
    assert_eq!(
        (response.status, response.is_replay),
        (200, false),
        "{response:?}"
    );
    assert_eq!(target.attempt_count(), 1);
}

/// Guards against failed requests when one of the servers refuses connections.
#[tokio::test]
async fn a_request_is_sent_to_a_server_that_accepts_connections() {
    let (setup, target) = scripted_setup().await;
    let gone = json!({"address": "127.0.0.1:1", "zone": "a", "service": "bookings"});
    assert_eq!(
        setup.cluster.nodes[0]
            .publish(vec![put("targets", "booking-0", gone)])
            .await,
        204
    );
    for number in 0..6 {
        let response = setup.book(0, &format!("key-{number}"), "tour").await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert_eq!(target.attempt_count(), 6);
}

/// Guards against sending a claimed request on a reused connection. If the server closes that
/// connection at the same time, it is unknown whether the request ran.
#[tokio::test]
async fn each_claimed_request_opens_a_connection() {
    let (setup, target) = scripted_setup().await;
    for number in 0..4_u32 {
        let response = setup.book(0, &format!("key-{number}"), "tour").await;
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(target.opened_connections(), number + 1);
    }
}

/// Guards against running a request again after the service responded with an error.
#[tokio::test]
async fn an_error_response_is_replayed() {
    let (setup, target) = scripted_setup().await;
    target.set_script(&[TargetBehaviour::Error(422)], TargetBehaviour::Respond);
    let first = setup.book(0, "key-1", "tour").await;
    assert_eq!((first.status, first.is_replay), (422, false), "{first:?}");
    let repeat = setup.book_until_resolved(1, "key-1", "tour").await;
    assert_eq!((repeat.status, repeat.is_replay), (422, true), "{repeat:?}");
    assert_eq!(repeat.body, first.body);
    assert_eq!(target.attempt_count(), 1);
}

/// Guards against a second run of a request whose response is too large to store in the log.
#[tokio::test]
async fn a_request_whose_response_is_not_stored_is_not_run_again() {
    let setup = BookingSetup::start(0).await;
    let text = "x".repeat(20_000);
    let first = setup.book(0, "key-1", &text).await;
    assert_eq!(
        (first.status, first.body["text"].as_str()),
        (200, Some(text.as_str()))
    );
    wait_for("the outcome is known", || async {
        let repeat = setup.book(1, "key-1", &text).await;
        assert_eq!(repeat.status, 409, "{repeat:?}");
        repeat.body["error"]["code"] == "answer_not_stored" && repeat.run_value() == "yes"
    })
    .await;
    assert_eq!(setup.run_count(&text).await, 1);
}

/// Guards against a repeatable request that fails although a retry would succeed, and against a
/// wrong `run` value after the last attempt.
#[tokio::test]
async fn a_repeatable_request_is_retried() {
    let (setup, target) = scripted_setup().await;
    let node = &setup.cluster.nodes[0];
    target.set_script(&[TargetBehaviour::Disconnect], TargetBehaviour::Respond);
    let response = setup.get(node, "/bookings").await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(target.attempt_count(), 2);
    target.set_script(&[], TargetBehaviour::Disconnect);
    let failed = setup.get(node, "/bookings").await;
    assert_eq!(
        (failed.status, failed.run_value()),
        (503, "unknown"),
        "{failed:?}"
    );
    assert_eq!(target.attempt_count(), 5);
}

/// Guards against passing on an answer whose status is none.
#[tokio::test]
async fn an_answer_with_status_000_is_no_response() {
    let (setup, target) = scripted_setup().await;
    let node = &setup.cluster.nodes[0];
    target.set_script(&[TargetBehaviour::Error(0)], TargetBehaviour::Respond);
    let response = setup.get(node, "/bookings").await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(target.attempt_count(), 2);
    target.set_script(&[], TargetBehaviour::Error(0));
    let failed = setup.get(node, "/bookings").await;
    assert_eq!(
        (failed.status, failed.run_value()),
        (503, "unknown"),
        "{failed:?}"
    );
}

/// Guards against a response that its server broke off and that looks whole to the caller: the server
/// library ended its chunks, or closed the connection of a caller that reads until the close.
#[yare::parameterized(
    chunked = { "1.1" },
    until_close = { "1.0" },
)]
#[test_macro(tokio::test)]
async fn a_response_that_breaks_off_does_not_look_whole(version: &str) {
    let (setup, target) = scripted_setup().await;
    target.set_script(&[], TargetBehaviour::DisconnectMidStream);
    let mut stream = connect(&setup.cluster.nodes[0]).await;
    let request = format!(
        "GET /bookings HTTP/{version}\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\n\
         Connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut response = Vec::new();
    let end = stream.read_to_end(&mut response).await;
    let text = String::from_utf8_lossy(&response);
    assert!(text.contains(" 200 "), "{text}");
    let is_chunked = text.contains("transfer-encoding: chunked");
    assert_eq!(is_chunked, version == "1.1", "{text}");
    let looks_whole = match is_chunked {
        true => text.ends_with("0\r\n\r\n"),
        false => end.is_ok(),
    };
    assert!(!looks_whole, "{text}");
}

/// Guards against running a request whose key is revoked between the first check and the send.
#[tokio::test]
async fn a_key_revoked_before_the_send_runs_nothing() {
    let (setup, target) = scripted_setup().await;
    let digest = bluebellmux::KeyDigest::of_key("second-key").to_string();
    let key = json!({"account": "acme", "sha256": digest});
    let node = &setup.cluster.nodes[0];
    assert_eq!(node.publish(vec![put("keys", "k2", key)]).await, 204);
    let body = json!({"text": "tour"}).to_string();
    let head = format!(
        "POST /bookings HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer second-key\r\n\
         Idempotency-Key: key-1\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    let mut stream = connect(node).await;
    let (first, rest) = body.split_at(5);
    let sent = stream.write_all((head + first).as_bytes()).await;
    sent.expect("the first part is sent");
    // The node first checks the key when it has received the head.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let delete = json!({"delete": {"section": "keys", "name": "k2"}});
    assert_eq!(node.publish(vec![delete]).await, 204);
    let sent = stream.write_all(rest.as_bytes()).await;
    sent.expect("the rest is sent");
    let (status, refused) = read_response(&mut stream).await;
    assert_eq!(status, 401, "{refused}");
    assert!(
        refused.contains("key_revoked") && refused.contains("\"run\":\"no\""),
        "{refused}"
    );
    assert_eq!(target.attempt_count(), 0);
    let response = setup.book_until_resolved(1, "key-1", "tour").await;
    assert_eq!(
        (response.status, response.is_replay),
        (200, false),
        "{response:?}"
    );
}

/// Sends a request to the booking service and does not read the response.
async fn start_unread_request(node: &TestNode) -> TcpStream {
    let mut stream = connect(node).await;
    let head = format!("GET /bookings HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\n\r\n");
    let sent = stream.write_all(head.as_bytes()).await;
    sent.expect("the request is sent");
    stream
}

/// Guards against a caller who stops reading and thereby keeps the connection to the server open
/// without end.
#[tokio::test]
async fn the_hard_deadline_ends_a_response_that_is_not_read() {
    let (setup, target) = scripted_setup().await;
    let node = setup
        .cluster
        .start_extra_node(&["--request-timeout-ms", "1500"])
        .await;
    target.set_script(&[], TargetBehaviour::Flood);
    let _stream = start_unread_request(&node).await;
    wait_for("the server's connection is closed", || async {
        target.closed_connections() == 1
    })
    .await;
}

/// Guards against a response that continues after its key was revoked.
#[tokio::test]
async fn a_revoked_key_ends_a_response_that_is_not_read() {
    let (setup, target) = scripted_setup().await;
    let node = &setup.cluster.nodes[0];
    target.set_script(&[], TargetBehaviour::Flood);
    let _stream = start_unread_request(node).await;
    wait_for("the request reaches the server", || async {
        target.attempt_count() == 1
    })
    .await;
    let delete = json!({"delete": {"section": "keys", "name": "k1"}});
    assert_eq!(node.publish(vec![delete]).await, 204);
    wait_for("the server's connection is closed", || async {
        target.closed_connections() == 1
    })
    .await;
}
