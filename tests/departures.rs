//! Tests of callers that leave before the VM has sent their request to a target.

mod platform_fixture;

use std::time::Duration;

use platform_fixture::{TargetMode, TestCluster};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const MODEL_HEADERS: &str =
    "Authorization: Token key-1\r\nX-Model: m/a1\r\nX-Token-Count: 10,20\r\n";
/// How long a paused VM stays paused after the caller has left.
const PAUSE: Duration = Duration::from_millis(700);

/// How a caller closes its connection.
#[derive(Debug, Clone, Copy)]
enum Departure {
    Close,
    Reset,
}

async fn leave(stream: TcpStream, departure: Departure) {
    if let Departure::Reset = departure {
        stream.set_zero_linger().unwrap();
    }
    drop(stream);
}

fn request(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nContent-Length: 4\r\n\
         {MODEL_HEADERS}\r\nbody"
    )
}

/// Guards against sending a request whose caller has left already when a VM that is late reads it.
#[yare::parameterized(
    plain = { "/look/x", false, Departure::Close },
    plain_kept = { "/look/x", true, Departure::Close },
    plain_reset = { "/look/x", false, Departure::Reset },
    once = { "/pay/x", false, Departure::Close },
    once_kept = { "/pay/x", true, Departure::Close },
    stream = { "/stream/x", false, Departure::Close },
    stream_kept_reset = { "/stream/x", true, Departure::Reset },
)]
#[test_macro(tokio::test)]
async fn request_read_after_its_caller_left_is_not_sent(
    path: &str,
    kept: bool,
    departure: Departure,
) {
    let cluster = TestCluster::start().await;
    let vm = cluster.start_entry_vm("vm-1").await;
    vm.send_until("/stream/x", MODEL_HEADERS, 200).await;
    let connect = || TcpStream::connect(("127.0.0.1", vm.caller_port));
    let kept_stream = if kept {
        Some(connect().await.unwrap())
    } else {
        None
    };
    // An idle connection to the target, on which a request is sent without waiting.
    vm.send_until(path, MODEL_HEADERS, 200).await;
    vm.signal("STOP");
    let mut stream = match kept_stream {
        Some(stream) => stream,
        None => connect().await.unwrap(),
    };
    stream
        .write_all(request(path, "gone").as_bytes())
        .await
        .unwrap();
    leave(stream, departure).await;
    tokio::time::sleep(PAUSE).await;
    vm.signal("CONT");
    vm.send_until(path, MODEL_HEADERS, 200).await;
    assert_not_run(&cluster, "gone");
}

/// Guards against sending a request that waits for a target when its caller leaves, if a VM that is
/// late notices at the same moment that the target takes requests again.
#[tokio::test]
async fn waiting_request_is_not_sent_after_its_caller_left() {
    let cluster = TestCluster::start().await;
    let vm = cluster.start_entry_vm("vm-1").await;
    vm.send_until("/look/x", MODEL_HEADERS, 200).await;
    // The target asks for a pause of two seconds.
    cluster.set_mode(TargetMode::RefuseForAWhile);
    vm.send(
        "/look/x",
        "first",
        "Authorization: Token key-1\r\nX-Deadline-Ms: 800\r\n",
    )
    .await;
    cluster.set_mode(TargetMode::Healthy);
    let mut streams = Vec::new();
    for index in 0..8 {
        let mut stream = TcpStream::connect(("127.0.0.1", vm.caller_port))
            .await
            .unwrap();
        let text = request("/look/x", &format!("gone-{index}"));
        stream.write_all(text.as_bytes()).await.unwrap();
        streams.push(stream);
    }
    // The requests wait for the end of the pause.
    tokio::time::sleep(Duration::from_millis(300)).await;
    vm.signal("STOP");
    for stream in streams {
        leave(stream, Departure::Close).await;
    }
    tokio::time::sleep(Duration::from_millis(2200)).await;
    vm.signal("CONT");
    vm.send_until("/look/x", MODEL_HEADERS, 200).await;
    assert_not_run(&cluster, "gone");
}

fn assert_not_run(cluster: &TestCluster, id: &str) {
    let field = format!("X-Request-Id: {id}");
    let runs = cluster.runs();
    let run = runs.iter().find(|run| run.contains(&field));
    assert!(run.is_none(), "sent after its caller had left: {run:?}");
}
