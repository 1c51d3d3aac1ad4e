//! Configuration changes, the admin API, metrics and logs of nodes that run as separate processes.

mod fixture;

use std::time::{Duration, Instant};

use fixture::{ADMIN_TOKEN, KEY, TestCluster, TestNode};
use serde_json::{Value, json};
use tokio::io::AsyncBufReadExt;

/// Publishes a change through the node. Returns the status and the error body, or null on success.
async fn publish_change(node: &TestNode, body: Value) -> (u16, Value) {
    let request = node.client.post(node.admin_url("/admin/config/changes"));
    let reply = request.bearer_auth(ADMIN_TOKEN).json(&body).send().await;
    let reply = reply.expect("the node responds");
    let status = reply.status().as_u16();
    (status, reply.json().await.unwrap_or_default())
}

/// Guards against a lost update when two operators change one entry at two nodes at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn a_conflicting_change_is_refused_with_section_and_entry() {
    let cluster = TestCluster::start().await;
    let edit = |rate: u64| {
        let value = json!({"tokens_per_second": rate, "burst": 10});
        let edit = json!({"put": {"section": "rates", "name": "acme", "value": value}});
        json!({"base": {"rates": 0}, "edits": [edit]})
    };
    let (first, second) = tokio::join!(
        publish_change(&cluster.nodes[0], edit(1)),
        publish_change(&cluster.nodes[1], edit(2))
    );
    let mut statuses = [first.0, second.0];
    statuses.sort_unstable();
    assert_eq!(statuses, [204, 409], "{first:?} {second:?}");
    let lost = if first.0 == 409 { first.1 } else { second.1 };
    assert_eq!(
        (&lost["section"], &lost["entry"]),
        (&json!("rates"), &json!("acme"))
    );
    assert_eq!(lost["revision"], 1);
}

/// Guards against an error for a change that is in the log, because the reply to the append was
/// lost.
#[tokio::test]
async fn a_lost_append_reply_is_resolved_from_the_log() {
    let cluster = TestCluster::start().await;
    let faults = json!({"lose_append_replies": 1});
    let request = reqwest::Client::new().put(cluster.platform_url("/faults"));
    request
        .json(&faults)
        .send()
        .await
        .expect("the platform responds");
    let edit = json!({"put": {"section": "accounts", "name": "late", "value": {}}});
    let (status, body) = publish_change(&cluster.nodes[0], json!({"edits": [edit]})).await;
    assert_eq!((status, body), (204, Value::Null));
    let edit = json!({"delete": {"section": "accounts", "name": "late"}});
    // The base is explicit, since the second node may not have applied the first change yet and
    // would use an older revision.
    let body = json!({"base": {"accounts": 1}, "edits": [edit]});
    let (status, body) = publish_change(&cluster.nodes[1], body).await;
    assert_eq!((status, body), (204, Value::Null));
}

/// Guards against an admin API that responds without a valid token, or that reveals a key or token.
#[tokio::test]
async fn the_admin_api_requires_a_valid_token_and_shows_no_key() {
    let cluster = TestCluster::start().await;
    let node = &cluster.nodes[0];
    let client = &node.client;
    for path in ["/admin/config", "/admin/dump"] {
        for token in ["wrong", ""] {
            let reply = client
                .get(node.admin_url(path))
                .bearer_auth(token)
                .send()
                .await
                .unwrap();
            assert_eq!(reply.status(), 401, "{path}");
            let body: Value = reply.json().await.unwrap();
            assert_eq!(body["error"], "the credential is not known");
        }
        let reply = client
            .get(node.admin_url(path))
            .bearer_auth(ADMIN_TOKEN)
            .send()
            .await;
        let text = reply.unwrap().text().await.unwrap();
        assert!(
            !text.contains(KEY) && !text.contains(ADMIN_TOKEN),
            "{path}: {text}"
        );
    }
}

/// Guards against a refusal without a reason, or a closed connection, for an invalid body or query.
#[tokio::test]
async fn invalid_admin_bodies_and_queries_are_refused_with_a_reason() {
    let cluster = TestCluster::start().await;
    let node = &cluster.nodes[0];
    let client = &node.client;
    let large = "x".repeat(1024 * 1024 + 1);
    let cases = [
        ("not JSON".to_owned(), 400, "the body is not a change: "),
        (
            r#"{"edits": []}"#.to_owned(),
            400,
            "the change has no edits",
        ),
        (
            r#"{"edits": [], "more": 1}"#.to_owned(),
            400,
            "the body is not a change: unknown field",
        ),
        (large, 413, "the change is larger than 1048576 bytes"),
    ];
    for (body, status, message) in cases {
        let request = client.post(node.admin_url("/admin/config/changes"));
        let reply = request
            .bearer_auth(ADMIN_TOKEN)
            .body(body)
            .send()
            .await
            .unwrap();
        assert_eq!(reply.status().as_u16(), status);
        let body: Value = reply.json().await.expect("a refusal is JSON");
        assert!(
            body["error"].as_str().unwrap().starts_with(message),
            "{body}"
        );
    }
    let url = node.admin_url("/admin/config?sections=keys,kees");
    let reply = client
        .get(url)
        .bearer_auth(ADMIN_TOKEN)
        .send()
        .await
        .unwrap();
    assert_eq!(reply.status(), 400);
    assert_eq!(
        reply.json::<Value>().await.unwrap()["error"],
        "there is no section \"kees\""
    );
}

/// Starts a streamed completion of about 20 s and reads its first bytes.
async fn long_stream(node: &TestNode) -> reqwest::Response {
    let body = json!({"model": "gemma/shop-1", "prompt": "tokens=2000", "max_tokens": 2000,
                      "stream": true});
    let request = node.client.post(node.caller_url("/v1/completions"));
    let mut reply = request
        .bearer_auth(KEY)
        .json(&body)
        .send()
        .await
        .expect("the node responds");
    assert_eq!(reply.status(), 200);
    let first = reply.chunk().await.expect("the stream continues");
    assert!(first.is_some_and(|first| first.starts_with(b"data: ")));
    reply
}

async fn read_to_end(mut reply: reqwest::Response) -> String {
    let mut text = Vec::new();
    while let Some(bytes) = reply.chunk().await.expect("the stream ends cleanly") {
        text.extend_from_slice(&bytes);
    }
    String::from_utf8(text).expect("the stream is text")
}

/// The time limit for a change to take effect at all nodes.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(4);

/// Guards against a revoked key that stays valid for a caller who is already connected, on a
/// running stream or an idle connection, at the node that published the change or at another one.
#[tokio::test]
async fn a_revoked_key_stops_working_on_streams_and_open_connections() {
    let cluster = TestCluster::start().await;
    let streams = [
        long_stream(&cluster.nodes[0]).await,
        long_stream(&cluster.nodes[1]).await,
    ];
    let start = Instant::now();
    let edit = json!({"delete": {"section": "keys", "name": "k1"}});
    assert_eq!(
        publish_change(&cluster.nodes[0], json!({"edits": [edit]}))
            .await
            .0,
        204
    );
    for stream in streams {
        let left = PROPAGATION_LIMIT.saturating_sub(start.elapsed());
        let text = tokio::time::timeout(left, read_to_end(stream)).await;
        let text = text.expect("the stream ends in time");
        let last = text.trim_end().lines().last().unwrap_or_default();
        assert!(last.contains("\"key_revoked\""), "{last}");
        assert!(!text.contains("[DONE]"));
    }
    for node in &cluster.nodes {
        // The client reuses the connection on which the key was valid.
        let (status, body) = node.complete_with_key(KEY, "gemma/shop-1").await;
        assert_eq!((status, &body["error"]["run"]), (401, &json!("no")));
    }
    assert!(start.elapsed() < PROPAGATION_LIMIT);
}

/// Guards against a zone that is out of service at one node but in service at another.
#[tokio::test]
async fn a_zone_taken_out_of_service_is_out_of_service_at_every_node() {
    let cluster = TestCluster::start().await;
    let start = Instant::now();
    let value = json!({"in_service": false});
    let edit = json!({"put": {"section": "zones", "name": "a", "value": value}});
    assert_eq!(
        publish_change(&cluster.nodes[1], json!({"edits": [edit]}))
            .await
            .0,
        204
    );
    for node in &cluster.nodes {
        loop {
            assert!(start.elapsed() < PROPAGATION_LIMIT);
            let request = node
                .client
                .get(node.admin_url("/admin/config?sections=zones"));
            let reply = request
                .bearer_auth(ADMIN_TOKEN)
                .send()
                .await
                .expect("the node responds");
            let view: Value = reply.json().await.expect("the view is JSON");
            if view["sections"]["zones"]["a"]["in_service"] == false {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

async fn config_dump(node: &TestNode) -> Value {
    let request = node
        .client
        .get(node.admin_url("/admin/dump"))
        .bearer_auth(ADMIN_TOKEN);
    let reply = request.send().await.expect("the node responds");
    let dump: Value = reply.json().await.expect("the dump is JSON");
    dump["config"].clone()
}

/// Waits until the configuration part of the node's dump fulfils `is_wanted`.
async fn wait_for(node: &TestNode, is_wanted: impl Fn(&Value) -> bool) -> Value {
    let start = Instant::now();
    loop {
        let dump = config_dump(node).await;
        if is_wanted(&dump) {
            return dump;
        }
        assert!(start.elapsed() < Duration::from_secs(30), "{dump}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a new node that can't start, or lacks entries, after the log has discarded the
/// oldest changes, and against one that can't start while the log is down.
#[tokio::test]
async fn a_new_node_starts_from_a_snapshot_or_from_peers() {
    let platform_args = ["--retention-records", "40"];
    let node_args = ["--snapshot-records", "10"];
    let (cluster, _proxy) =
        TestCluster::start_with_platform_args(&platform_args, &node_args, None).await;
    for index in 0..60 {
        let name = format!("account-{index}");
        let edit = json!({"put": {"section": "accounts", "name": name, "value": {}}});
        assert_eq!(
            publish_change(&cluster.nodes[0], json!({"edits": [edit]}))
                .await
                .0,
            204
        );
        if index % 15 == 14 {
            // The snapshot's lease holder checks once a second whether a snapshot is due.
            tokio::time::sleep(Duration::from_millis(1500)).await;
        }
    }
    let url = cluster.platform_url("");
    let has_all = |dump: &Value| dump["accounts"] == 61;
    // If peers respond, a node reads no snapshot from the log. The peers send the offset of the
    // newest one.
    let from_peers = cluster.start_extra_node(&[]).await;
    let dump = wait_for(&from_peers, has_all).await;
    assert!(dump["newest_snapshot"].is_u64(), "{dump}");
    let log = from_peers.log_lines();
    assert!(log.contains("from peer"), "{log}");
    assert!(!log.contains("looking for a snapshot"), "{log}");

    let set_log_down = async |down: bool| {
        let request = reqwest::Client::new().put(cluster.platform_url("/faults"));
        let reply = request.json(&json!({"log_down": down})).send().await;
        reply.expect("the platform responds");
    };
    set_log_down(true).await;
    let entry_4 = TestNode::start_with("entry-4", "a", &url, &[]).await;
    let dump = wait_for(&entry_4, has_all).await;
    assert_eq!(
        dump["next_offset"],
        config_dump(&cluster.nodes[0]).await["next_offset"]
    );
    set_log_down(false).await;
    drop((from_peers, entry_4));

    // If no peer responds, the node starts from the snapshot in the log. Its dump shows the
    // snapshot only after the node has read the snapshot's parts again, as records of the log.
    let platform = cluster.platform;
    drop(cluster.nodes);
    let entry_3 = TestNode::start_with("entry-3", "a", &url, &[]).await;
    let dump = wait_for(&entry_3, |dump| {
        has_all(dump) && dump["newest_snapshot"].is_u64()
    })
    .await;
    assert!(dump["log_first"].as_u64() > Some(0), "{dump}");
    drop(platform);
}

/// Guards against metrics in an invalid format, and against gauges that are never set.
#[tokio::test]
async fn the_metrics_include_service_goals_and_control_overhead() {
    let cluster = TestCluster::start().await;
    let node = &cluster.nodes[0];
    let reply = node
        .client
        .get(node.admin_url("/metrics"))
        .send()
        .await
        .unwrap();
    let text = reply.text().await.unwrap();
    for name in [
        "load_stalls_total 0",
        "batch_requests_count 0",
        "worst_account_share 1",
        "wrongful_refusals_total 0",
        "zone_change_first_token_seconds_count 0",
        "control_bytes ",
        "config_next_offset 1",
        "config_entries 12",
    ] {
        let line = format!("\nbluebellmux_{name}");
        assert!(text.contains(&line), "{name} is not in {text}");
    }
    let memory = text
        .lines()
        .find_map(|line| line.strip_prefix("bluebellmux_control_memory_bytes "));
    assert!(
        memory.is_some_and(|bytes| bytes.parse::<u64>().unwrap() > 1_000_000),
        "{memory:?}"
    );
    assert!(text.ends_with("# EOF\n"), "{text}");
    assert!(!text.contains(KEY) && !text.contains(ADMIN_TOKEN));
}

/// Guards against log lines that are not JSON objects, or whose messages lack the prefix that names
/// the component.
#[tokio::test]
async fn json_log_lines_are_objects_with_a_prefixed_message() {
    let output = tokio::process::Command::new(env!("CARGO_BIN_EXE_bluebellmux"))
        .args([
            "serve",
            "--node",
            "n",
            "--zone",
            "a",
            "--platform-url",
            "http://127.0.0.1:1",
        ])
        .args(["--admin-token", ADMIN_TOKEN, "--log-format", "json"])
        .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
        .args(["--admin-listen", "127.0.0.1:0"])
        .stderr(std::process::Stdio::piped())
        .stdout(std::process::Stdio::null())
        .kill_on_drop(true)
        .spawn();
    let mut child = output.expect("the binary was built");
    let stderr = child.stderr.take().expect("standard error is piped");
    let mut lines = tokio::io::BufReader::new(stderr).lines();
    for _ in 0..3 {
        let line = tokio::time::timeout(Duration::from_secs(30), lines.next_line()).await;
        let line = line.expect("a line in time").unwrap().expect("more lines");
        assert!(!line.contains(ADMIN_TOKEN));
        let line: Value = serde_json::from_str(&line).expect("each line is an object");
        let message = line["fields"]["message"]
            .as_str()
            .expect("a line has a message");
        let part = message.split(": ").next().unwrap_or_default();
        let parts = [
            "node",
            "config",
            "lease",
            "membership",
            "ledger",
            "pool",
            "claims",
        ];
        assert!(parts.contains(&part), "{message}");
    }
}
