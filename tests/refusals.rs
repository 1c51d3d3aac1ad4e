//! Tests of what callers are told about requests that a target has refused, or seems to have refused.

mod platform_fixture;

use platform_fixture::{TargetMode, TestCluster};

const MODEL_HEADERS: &str =
    "Authorization: Token key-1\r\nX-Model: m/a1\r\nX-Token-Count: 10,20\r\n";

/// The statuses that promise callers that their request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Guards against a promise that the target has not made: it ran a request that may not be repeated and
/// answered with a status that callers take for "not run".
#[yare::parameterized(
    payment_503 = { "/pay/x", "HTTP/1.1 503 Busy\r\nX-Request-Id: {id}\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n\r\n" },
    payment_429 = { "/pay/x", "HTTP/1.1 429 Slow\r\nX-Request-Id: {id}\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n\r\n" },
    payment_408 = { "/pay/x", "HTTP/1.1 408 Late\r\nX-Request-Id: {id}\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n\r\n" },
    stream_503 = { "/feed/x", "HTTP/1.1 503 Busy\r\nX-Request-Id: {id}\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n\r\n" }
)]
#[test_macro(tokio::test)]
async fn status_without_the_statement_not_run_is_not_passed_on(path: &str, response: &'static str) {
    let cluster = TestCluster::start().await;
    let vm = cluster.start_entry_vm("vm-1").await;
    vm.send_until("/stream/x", MODEL_HEADERS, 200).await;
    let runs = cluster.runs().len();
    cluster.set_mode(TargetMode::BreakHead(response));
    let answer = vm.send(path, "once", MODEL_HEADERS).await;
    assert_eq!(cluster.runs().len(), runs + 1);
    assert!(!PROMISES.contains(&answer.status), "{}", answer.text);
}

/// Guards against a refusal's body after a HEAD request, which callers take for the start of the next
/// response on the connection.
#[tokio::test]
async fn refusal_of_a_head_request_has_no_body() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let cluster = TestCluster::start().await;
    let vm = cluster.start_entry_vm("vm-1").await;
    let mut stream = tokio::net::TcpStream::connect(("127.0.0.1", vm.caller_port))
        .await
        .unwrap();
    let text = "HEAD /unknown HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: head\r\nConnection: close\r\n\r\n";
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    assert!(response.starts_with("HTTP/1.1 404"), "{response}");
    assert!(response.ends_with("\r\n\r\n"), "{response}");
}
