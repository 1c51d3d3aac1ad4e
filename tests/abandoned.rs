//! Tests of requests that a VM gives up while a target works on them.

mod platform_fixture;

use std::time::{Duration, Instant};

use platform_fixture::{TargetMode, TestCluster};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const MODEL_HEADERS: &str =
    "Authorization: Token key-1\r\nX-Model: m/a1\r\nX-Token-Count: 10,20\r\n";

/// Guards against a target that goes on with a request whose caller has left: a normal close of the
/// connection does not tell it that nobody reads its answer.
#[tokio::test]
async fn target_is_told_at_once_that_a_request_was_given_up() {
    let cluster = TestCluster::start().await;
    let vm = cluster.start_entry_vm("vm-1").await;
    vm.send_until("/stream/x", MODEL_HEADERS, 200).await;
    cluster.set_mode(TargetMode::Queue);
    let mut caller = TcpStream::connect(("127.0.0.1", vm.caller_port))
        .await
        .unwrap();
    let text = format!(
        "POST /stream/y HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: left\r\nContent-Length: 4\r\n\
         {MODEL_HEADERS}\r\nbody"
    );
    let arrivals = cluster.arrivals();
    caller.write_all(text.as_bytes()).await.unwrap();
    while cluster.arrivals() == arrivals {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    drop(caller);
    let left_at = Instant::now();
    loop {
        let closes = cluster.target.lock().unwrap().closes.clone();
        if let Some(close) = closes.first() {
            assert!(close.is_reset, "a normal close");
            return;
        }
        assert!(left_at.elapsed() < Duration::from_secs(2));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
