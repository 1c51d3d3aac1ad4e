//! Plain services whose servers fail, over the built binary.

mod fixture;

use std::time::Duration;

use fixture::booking::{BookingSite, wait_for};
use fixture::raw::{connect, read_answer};
use fixture::scripted::{Behaviour, ScriptedTarget};
use fixture::{KEY, SiteNode, put};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// A booking site whose only booking server is scripted.
async fn scripted_site() -> (BookingSite, ScriptedTarget) {
    let site = BookingSite::start(0).await;
    let target = ScriptedTarget::start().await;
    set_server(&site, &target.address.to_string()).await;
    (site, target)
}

/// Replaces the booking server and waits until both nodes use the new one.
async fn set_server(site: &BookingSite, address: &str) {
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
    assert_eq!(site.site.nodes[0].publish(edits).await, 204);
    for node in &site.site.nodes {
        wait_for("the node has the configuration", || async {
            // A service without servers is refused with 503, an unknown route with 404.
            site.get(node, &marker).await.status == 503
        })
        .await;
    }
}

/// Guards against a second send after a break that does not tell whether the call ran.
#[tokio::test]
async fn a_call_whose_connection_breaks_is_never_sent_again() {
    let (site, target) = scripted_site().await;
    target.set_script(&[Behaviour::Break], Behaviour::Answer);
    let broken = site.book(0, "key-1", "tour").await;
    assert_eq!(
        (broken.status, broken.run()),
        (503, "unknown"),
        "{broken:?}"
    );
    for node in [0, 1] {
        let repeat = site.book(node, "key-1", "tour").await;
        assert_eq!(
            (repeat.status, repeat.run()),
            (409, "unknown"),
            "{repeat:?}"
        );
    }
    assert_eq!(target.tries(), 1);
}

/// Guards against a key that stays blocked, or a false `run` value, when nothing could be sent.
#[tokio::test]
async fn a_call_that_reaches_no_server_did_not_run() {
    let (site, target) = scripted_site().await;
    set_server(&site, "127.0.0.1:1").await;
    let refused = site.book(0, "key-1", "tour").await;
    assert_eq!((refused.status, refused.run()), (503, "no"), "{refused:?}");
    set_server(&site, &target.address.to_string()).await;
    let answer = site.book_until_known(1, "key-1", "tour").await;
    assert_eq!(
        (answer.status, answer.is_replay),
        (200, false),
        "{answer:?}"
    );
    assert_eq!(target.tries(), 1);
}

/// Guards against a call that fails because one of the servers is gone.
#[tokio::test]
async fn a_call_goes_to_a_server_that_accepts_connections() {
    let (site, target) = scripted_site().await;
    let gone = json!({"address": "127.0.0.1:1", "zone": "a", "service": "bookings"});
    assert_eq!(
        site.site.nodes[0]
            .publish(vec![put("targets", "booking-0", gone)])
            .await,
        204
    );
    for number in 0..6 {
        let answer = site.book(0, &format!("key-{number}"), "tour").await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(target.tries(), 6);
}

/// Guards against a send on a kept connection, which may break without telling whether it ran.
#[tokio::test]
async fn each_claimed_call_opens_a_connection() {
    let (site, target) = scripted_site().await;
    for number in 0..4_u32 {
        let answer = site.book(0, &format!("key-{number}"), "tour").await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(target.connections(), number + 1);
    }
}

/// Guards against an error answer that is run again although the service gave it.
#[tokio::test]
async fn an_error_answer_is_replayed_too() {
    let (site, target) = scripted_site().await;
    target.set_script(&[Behaviour::Refuse(422)], Behaviour::Answer);
    let first = site.book(0, "key-1", "tour").await;
    assert_eq!((first.status, first.is_replay), (422, false), "{first:?}");
    let repeat = site.book_until_known(1, "key-1", "tour").await;
    assert_eq!((repeat.status, repeat.is_replay), (422, true), "{repeat:?}");
    assert_eq!(repeat.body, first.body);
    assert_eq!(target.tries(), 1);
}

/// Guards against a second run of a call whose answer is too large for the log.
#[tokio::test]
async fn an_answer_that_is_not_stored_is_not_run_again() {
    let site = BookingSite::start(0).await;
    let text = "x".repeat(20_000);
    let first = site.book(0, "key-1", &text).await;
    assert_eq!(
        (first.status, first.body["text"].as_str()),
        (200, Some(text.as_str()))
    );
    wait_for("the outcome is known", || async {
        let repeat = site.book(1, "key-1", &text).await;
        assert_eq!(repeat.status, 409, "{repeat:?}");
        repeat.body["error"]["code"] == "answer_not_stored" && repeat.run() == "yes"
    })
    .await;
    assert_eq!(site.runs(&text).await, 1);
}

/// Guards against the failure of a repeatable call that another try would have hidden, and
/// against a false `run` value after the last one.
#[tokio::test]
async fn a_repeatable_call_is_tried_again() {
    let (site, target) = scripted_site().await;
    let node = &site.site.nodes[0];
    target.set_script(&[Behaviour::Break], Behaviour::Answer);
    let answer = site.get(node, "/bookings").await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(target.tries(), 2);
    target.set_script(&[], Behaviour::Break);
    let failed = site.get(node, "/bookings").await;
    assert_eq!(
        (failed.status, failed.run()),
        (503, "unknown"),
        "{failed:?}"
    );
    assert_eq!(target.tries(), 5);
}

/// Guards against a call that runs although its key was revoked after it was checked first.
#[tokio::test]
async fn a_key_revoked_before_the_send_runs_nothing() {
    let (site, target) = scripted_site().await;
    let digest = bluebellmux::KeyDigest::of_key("second-key").to_string();
    let key = json!({"account": "acme", "sha256": digest});
    let node = &site.site.nodes[0];
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
    // The node checks the key when it has the head.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let delete = json!({"delete": {"section": "keys", "name": "k2"}});
    assert_eq!(node.publish(vec![delete]).await, 204);
    let sent = stream.write_all(rest.as_bytes()).await;
    sent.expect("the rest is sent");
    let (status, refused) = read_answer(&mut stream).await;
    assert_eq!(status, 401, "{refused}");
    assert!(
        refused.contains("key_revoked") && refused.contains("\"run\":\"no\""),
        "{refused}"
    );
    assert_eq!(target.tries(), 0);
    let answer = site.book_until_known(1, "key-1", "tour").await;
    assert_eq!(
        (answer.status, answer.is_replay),
        (200, false),
        "{answer:?}"
    );
}

/// Starts a call whose answer never ends and reads nothing of it.
async fn unread_call(node: &SiteNode) -> TcpStream {
    let mut stream = connect(node).await;
    let head = format!("GET /bookings HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\n\r\n");
    let sent = stream.write_all(head.as_bytes()).await;
    sent.expect("the call is sent");
    stream
}

/// Guards against a caller who stops reading and so keeps a server's connection for ever.
#[tokio::test]
async fn the_hard_deadline_ends_an_answer_that_is_not_read() {
    let (site, target) = scripted_site().await;
    let node = site
        .site
        .extra_node(&["--request-timeout-ms", "1500"])
        .await;
    target.set_script(&[], Behaviour::Flood);
    let _stream = unread_call(&node).await;
    wait_for("the server's connection is closed", || async {
        target.closed() == 1
    })
    .await;
}

/// Guards against an answer that goes on under a revoked key.
#[tokio::test]
async fn a_revoked_key_ends_an_answer_that_is_not_read() {
    let (site, target) = scripted_site().await;
    let node = &site.site.nodes[0];
    target.set_script(&[], Behaviour::Flood);
    let _stream = unread_call(node).await;
    wait_for("the call reaches the server", || async {
        target.tries() == 1
    })
    .await;
    let delete = json!({"delete": {"section": "keys", "name": "k1"}});
    assert_eq!(node.publish(vec![delete]).await, 204);
    wait_for("the server's connection is closed", || async {
        target.closed() == 1
    })
    .await;
}
