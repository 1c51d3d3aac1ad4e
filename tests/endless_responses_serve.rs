//! Targets, services and the platform that send bytes without end to a VM that runs `bluebellmux
//! serve`, as a process with the memory of the smallest VMs. The bound is this memory: of each
//! connection, the HTTP library holds up to 408 KiB, which the VM's settings don't limit.

mod endless_peer;
mod fixture;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use endless_peer::{CallerResult, EndlessAnswer, EndlessPeer, PeerAnswer, call, request_id, whole};
use fixture::booking::wait_for;
use fixture::{KEY, TestCluster, TestNode, put};
use serde_json::json;

/// The memory that the settings state.
const MEMORY_MB: &str = "160";
const PEAK_LIMIT_KB: u64 = 160 * 1024;
/// Requests whose answers have no end, at the same time.
const ENDLESS_REQUESTS: usize = 200;
/// The hard deadline of requests, after which a response without end is cut.
const DEADLINE_MS: &str = "3000";
/// How often the memory is looked at.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
const WITHOUT_END: usize = usize::MAX;
const JSON: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";

/// One test at a time, so that none takes the processor from another's process.
static ONE_TEST: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// Answers an engine's control calls, and completions and service calls without end.
fn engine_answer(
    loaded: &Mutex<Vec<String>>,
    head: &str,
    body: &str,
    endless: &EndlessAnswer,
) -> PeerAnswer {
    let path = head.split(' ').nth(1).unwrap_or_default();
    let mut loaded = loaded.lock().expect("the lock is not poisoned");
    match path {
        "/health" => whole(r#"{"boot":1,"cold":false}"#),
        "/v1/models" => {
            let entry = |name: &String| {
                let root = name.split('#').next().unwrap_or_default().replace('@', "/");
                json!({"id": name, "root": root, "parent": "odd"})
            };
            let data: Vec<_> = loaded.iter().map(entry).collect();
            whole(&json!({"data": data, "boot": 1}).to_string())
        }
        "/v1/load_lora_adapter" => {
            let body: serde_json::Value = serde_json::from_str(body).expect("the body is JSON");
            let name = body["lora_name"].as_str().unwrap_or_default();
            loaded.push(name.to_owned());
            whole("{}")
        }
        "/odd/whole" => whole("{}"),
        _ => PeerAnswer::Endless(endless.clone()),
    }
}

async fn start_cluster() -> TestCluster {
    let args = [
        "--memory-mb",
        MEMORY_MB,
        "--request-timeout-ms",
        DEADLINE_MS,
    ];
    TestCluster::start_with(&args, None).await.0
}

/// Adds an engine and a service, both at the peer's address.
async fn add_odd_target(cluster: &TestCluster, peer: &EndlessPeer) {
    let address = peer.address;
    let engine = json!({"address": address, "zone": "a", "base_model": "odd",
        "request_limit": 2 * ENDLESS_REQUESTS});
    let service = json!({"prefix": "/odd", "repeatable_methods": ["GET"]});
    let adapter = json!({"account": "acme", "base_model": "odd", "current": "v1"});
    let rate = json!({"tokens_per_second": 1_000_000, "burst": 10_000_000});
    let edits = vec![
        put("rates", "acme", rate),
        put("base_models", "gemma", json!({"loads_in_flight": 1})),
        put("base_models", "odd", json!({"loads_in_flight": 1})),
        put("targets", "odd-1", engine),
        put("adapters", "odd-shop", adapter),
        put("versions", "odd-shop@v1", json!({})),
        put("services", "odd", service),
        put(
            "targets",
            "odd-2",
            json!({"address": address, "zone": "a", "service": "odd"}),
        ),
    ];
    assert_eq!(cluster.nodes[0].publish(edits).await, 204);
    let node = &cluster.nodes[0];
    wait_for("the node routes to the service", || async {
        let request = node.client.get(node.caller_url("/odd/whole"));
        let reply = request.bearer_auth(KEY).send().await;
        reply.is_ok_and(|reply| reply.status() == 200)
    })
    .await;
}

fn port_of(node: &TestNode) -> u16 {
    let port = node.process.addresses[0].rsplit(':').next();
    let port = port.and_then(|text| text.parse().ok());
    port.expect("the address has a port")
}

/// Checks that the nodes run, have stayed within their memory and serve an ordinary request.
async fn check_nodes(case: &str, cluster: &mut TestCluster) {
    for node in &mut cluster.nodes {
        let child = &mut node.process.child;
        let ended = child.try_wait().expect("the process is a child");
        assert!(ended.is_none(), "{case}: the process has ended");
        assert_eq!(node.complete_with_key(KEY, "gemma/shop-1").await.0, 200);
    }
    println!(
        "{case}: peak {} kB of {PEAK_LIMIT_KB} kB",
        check_peaks(case, cluster)
    );
}

/// Checks the largest memory of the nodes so far, and returns that of the largest.
fn check_peaks(case: &str, cluster: &TestCluster) -> u64 {
    let ids = cluster.nodes.iter().map(|node| node.process.child.id());
    let peaks = ids.map(|id| peak_memory_kb(id.expect("the process runs")));
    let peak = peaks.max().expect("there are nodes");
    assert!(peak < PEAK_LIMIT_KB, "{case}: {peak} kB");
    peak
}

fn peak_memory_kb(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"));
    let status = status.expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let text = line.expect("the peak is stated").trim();
    text.trim_end_matches(" kB")
        .parse()
        .expect("the peak is a number")
}

/// The kinds of requests that reach the odd target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    Completion,
    Stream,
    /// A service call that runs at most once, whose response is stored.
    Claimed,
    Repeatable,
}

impl RequestKind {
    fn requests(self) -> usize {
        match self {
            // A target that has not answered yet gets one completion at a time.
            Self::Completion | Self::Stream => 4,
            Self::Claimed | Self::Repeatable => ENDLESS_REQUESTS,
        }
    }

    /// The answers that begin while the requests are open.
    fn answers(self) -> usize {
        match self {
            Self::Completion | Self::Stream => 1,
            Self::Claimed | Self::Repeatable => ENDLESS_REQUESTS / 2,
        }
    }

    fn request(self, index: usize) -> String {
        let (line, extra, body) = match self {
            Self::Completion | Self::Stream => {
                let streamed = self == Self::Stream;
                let body = json!({"model": "odd/odd-shop", "prompt": format!("p {index}"),
                    "stream": streamed, "max_tokens": 1});
                ("POST /v1/completions", String::new(), body.to_string())
            }
            Self::Claimed => {
                let key = format!("Idempotency-Key: key-{index}\r\n");
                ("POST /odd/x", key, "{}".to_owned())
            }
            Self::Repeatable => ("GET /odd/x", String::new(), String::new()),
        };
        format!(
            "{line} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\n{extra}\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        )
    }
}

/// Sends requests whose answers have no end, and an ordinary one at the same time and afterwards.
/// Checks what their callers got.
async fn check_requests(case: &str, kind: RequestKind, endless: EndlessAnswer) {
    let _one_test = ONE_TEST.lock().await;
    let mut cluster = start_cluster().await;
    let loaded = Mutex::new(Vec::new());
    let answer = move |head: &str, body: &str| engine_answer(&loaded, head, body, &endless);
    let peer = EndlessPeer::start(answer).await;
    add_odd_target(&cluster, &peer).await;
    let port = port_of(&cluster.nodes[0]);
    let count = kind.requests();
    let callers = (0..count).map(|index| tokio::spawn(call(port, kind.request(index))));
    let callers: Vec<_> = callers.collect();
    wait_for("the answers have begun", || async {
        peer.started() >= kind.answers()
    })
    .await;
    let ordinary = cluster.nodes[0]
        .complete_with_key(KEY, "gemma/shop-1")
        .await;
    assert_eq!(ordinary.0, 200, "{ordinary:?}");
    let mut results = Vec::new();
    for mut caller in callers {
        let result = loop {
            // A process that fills its memory must not fill the machine's until the test ends.
            check_peaks(case, &cluster);
            tokio::select! {
                result = &mut caller => break result,
                () = tokio::time::sleep(SAMPLE_INTERVAL) => {}
            }
        };
        results.push(result.expect("the caller doesn't panic"));
    }
    println!("{case}: {} answers begun", peer.started());
    check_nodes(case, &mut cluster).await;
    let complete = results
        .iter()
        .filter(|result| result.status == 200 && result.looks_complete());
    println!("{case}: {} look complete", complete.count());
    for result in &results {
        check_result(result, &peer);
    }
}

fn check_result(result: &CallerResult, peer: &EndlessPeer) {
    let text = result.first_text();
    let states_failure = text.contains(r#""run":"yes""#) || text.contains(r#""run":"unknown""#);
    assert!(
        result.status != 200 || !result.looks_complete() || states_failure,
        "{} bytes, {text}",
        result.bytes
    );
    // A request that waited for a place has not been sent.
    let was_not_sent = text.contains(r#""run":"no""#)
        && request_id(&text).is_some_and(|id| !peer.has_answered(id));
    if result.status != 200 && result.status != 0 {
        assert!(states_failure || was_not_sent, "{text}");
    }
}

/// Guards against bytes without end in each part of a response, which fill the memory, hold the
/// caller until it leaves or look like a whole response.
#[yare::parameterized(
    completion = { RequestKind::Completion, "{json}\r\n", " " },
    completion_with_length = { RequestKind::Completion, "{json}Content-Length: 1000000000\r\n\r\n", " " },
    completion_head = { RequestKind::Completion, "HTTP/1.1 200 OK\r\nA: ", "b" },
    completion_header_lines = { RequestKind::Completion, "HTTP/1.1 200 OK\r\n", "A: b\r\n" },
    completion_chunk_size = { RequestKind::Completion, "{json}Transfer-Encoding: chunked\r\n\r\n", "0" },
    completion_chunk_extension = { RequestKind::Completion, "{json}Transfer-Encoding: chunked\r\n\r\n1;a=", "x" },
    completion_trailers = { RequestKind::Completion, "{json}Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n" },
    informational = { RequestKind::Completion, "", "HTTP/1.1 102 Processing\r\n\r\n" },
    empty_lines = { RequestKind::Completion, "", "\r\n" },
    no_http = { RequestKind::Completion, "", "\u{0}" },
    failure = { RequestKind::Completion, "HTTP/1.1 500 E\r\n\r\n", "x" },
    event = { RequestKind::Stream, "HTTP/1.1 200 OK\r\n\r\ndata: ", "x" },
    comments = { RequestKind::Stream, "HTTP/1.1 200 OK\r\n\r\n", ": x\n\n" },
    claimed = { RequestKind::Claimed, "{json}\r\n", " " },
    claimed_failure = { RequestKind::Claimed, "HTTP/1.1 500 E\r\n\r\n", " " },
    repeatable = { RequestKind::Repeatable, "{json}\r\n", " " },
    repeatable_with_length = { RequestKind::Repeatable, "{json}Content-Length: 1000000000000\r\n\r\n", " " },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn bytes_without_end_do_not_exhaust_the_memory(
    kind: RequestKind,
    start: &str,
    repeated: &str,
) {
    let start = start.replace("{json}", JSON);
    let endless = EndlessAnswer::new(&start, repeated, WITHOUT_END);
    let case = format!("{kind:?} {start:?} {repeated:?}");
    check_requests(&case, kind, endless).await;
}

/// Guards against events that are held until their end, which never comes: each stops below what
/// the VM holds of one event.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_events_do_not_exhaust_the_memory() {
    let start = "HTTP/1.1 200 OK\r\n\r\ndata: ";
    let endless = EndlessAnswer::new(start, "x", 1000 * 1000);
    check_requests("stalled events", RequestKind::Stream, endless).await;
}

/// Guards against probes of targets whose answers have no end.
#[yare::parameterized(
    health = { "/health" },
    models = { "/v1/models" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn probes_without_end_do_not_exhaust_the_memory(path: &'static str) {
    const TARGETS: usize = 20;
    let _one_test = ONE_TEST.lock().await;
    let mut cluster = start_cluster().await;
    let endless = EndlessAnswer::new(&format!("{JSON}\r\n"), " ", WITHOUT_END);
    let peer = EndlessPeer::start(move |head, _| match head.contains(path) {
        true => PeerAnswer::Endless(endless.clone()),
        false => whole(r#"{"boot":1,"cold":false,"data":[]}"#),
    })
    .await;
    let target = json!({"address": peer.address, "zone": "a", "base_model": "odd"});
    let targets = (0..TARGETS).map(|index| put("targets", &format!("odd-{index}"), target.clone()));
    let mut edits = vec![
        put("base_models", "gemma", json!({"loads_in_flight": 1})),
        put("base_models", "odd", json!({"loads_in_flight": 1})),
    ];
    edits.extend(targets);
    assert_eq!(cluster.nodes[0].publish(edits).await, 204);
    while peer.settled() < 2 * TARGETS {
        check_peaks("probes", &cluster);
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    check_nodes(&format!("probes {path}"), &mut cluster).await;
}

/// Guards against a log or a list of VMs whose responses have no end.
#[yare::parameterized(
    log = { "/streams/" },
    vms = { "/vms" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn platform_without_end_does_not_exhaust_the_memory(path: &'static str) {
    let _one_test = ONE_TEST.lock().await;
    let mut cluster = start_cluster().await;
    let platform = cluster.platform.addresses[0].parse().expect("an address");
    let is_faulty = Arc::new(AtomicBool::new(false));
    let switch = Arc::clone(&is_faulty);
    let endless = EndlessAnswer::new(&format!("{JSON}\r\n"), " ", WITHOUT_END);
    let peer = EndlessPeer::start(move |head, _| {
        match switch.load(Ordering::SeqCst) && head.contains(path) {
            true => PeerAnswer::Endless(endless.clone()),
            false => PeerAnswer::Forward(platform),
        }
    })
    .await;
    let url = format!("http://{}", peer.address);
    let args = ["--memory-mb", MEMORY_MB];
    let node = TestNode::start_with("entry-9", "a", &url, &args).await;
    wait_for("the node serves requests", || async {
        node.complete_with_key(KEY, "gemma/shop-1").await.0 == 200
    })
    .await;
    cluster.nodes.push(node);
    is_faulty.store(true, Ordering::SeqCst);
    while peer.settled() < 4 {
        check_peaks("platform", &cluster);
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    is_faulty.store(false, Ordering::SeqCst);
    let node = &cluster.nodes[2];
    wait_for("the node serves requests again", || async {
        node.complete_with_key(KEY, "gemma/shop-1").await.0 == 200
    })
    .await;
    check_nodes(&format!("platform {path}"), &mut cluster).await;
}
