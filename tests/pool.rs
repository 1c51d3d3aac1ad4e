//! The pool's coordinator with real processes: a crash, a freeze and a planned stop under load.

mod fixture;

use std::time::Duration;

use fixture::booking::get_json;
use fixture::{Site, SiteNode, StreamedAnswer, put};
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// Lets nodes claim expired leases at once, since the tests don't wait until they are 30 s old.
const ANY_AGE: [&str; 2] = ["--claim-age-ms", "1"];
/// Generous for a busy machine.
const LIMIT: Duration = Duration::from_secs(30);
const POOL: &str = "pool/gemma";
/// More adapters than the engine has slots for.
const ADAPTERS: u32 = 10;
/// Tokens of a stream that outlasts a takeover, at 10 ms each.
const LONG_STREAM: u64 = 700;

/// A site with more adapters than slots, and the indexes of the coordinator and the other node.
async fn start() -> (Site, usize, usize) {
    let (site, _link) = Site::start_with(&ANY_AGE, None).await;
    let mut edits = Vec::new();
    for index in 4..=ADAPTERS {
        let name = format!("shop-{index}");
        let entry = json!({"account": "acme", "base_model": "gemma", "current": "v1"});
        edits.push(put("adapters", &name, entry));
        edits.push(put("versions", &format!("{name}@v1"), json!({})));
    }
    assert_eq!(site.nodes[0].publish(edits).await, 204);
    let start = Instant::now();
    loop {
        for index in 0..2 {
            if coordinates(&site.nodes[index]).await {
                return (site, index, 1 - index);
            }
        }
        assert!(start.elapsed() < LIMIT, "the pool has no coordinator");
        sleep(Duration::from_millis(20)).await;
    }
}

async fn coordinates(node: &SiteNode) -> bool {
    node.held().await.iter().any(|(role, _)| role == POOL)
}

async fn wait_until_coordinates(node: &SiteNode) {
    let start = Instant::now();
    while !coordinates(node).await {
        assert!(start.elapsed() < LIMIT, "the node does not coordinate");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Sends a short request; a node that does not know an adapter yet is asked again.
async fn ask(node: &SiteNode, adapter: u32) -> StreamedAnswer {
    let model = format!("gemma/shop-{adapter}");
    let start = Instant::now();
    loop {
        let answer = node.stream(&model, "swap two bottles tokens=4").await;
        let unknown = answer.error.as_ref().map(|error| &error["error"]["code"]);
        if unknown != Some(&json!("not_found")) || start.elapsed() > LIMIT {
            return answer;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Fills the engine's slots with adapters 1 to 8.
async fn load_all_slots(node: &SiteNode) {
    for adapter in 1..=8 {
        let answer = ask(node, adapter).await;
        assert!(answer.complete, "{answer:?}");
    }
}

async fn engine_stats(site: &Site) -> Value {
    get_json(format!("http://{}/stats", site.engines[0].addresses[0])).await
}

/// Every request reached the engine once, and no adapter was evicted under a request.
async fn assert_served(site: &Site, requests: u64) {
    let stats = &engine_stats(site).await["counters"];
    assert_eq!(stats["evicted_while_serving"], 0, "{stats}");
    assert_eq!(stats["cancelled"], 0, "{stats}");
    assert_eq!(stats["answers"], requests, "{stats}");
}

/// Guards against streams that are cut, requests that are refused or run twice, and adapters that
/// are evicted under a request, when the coordinator's VM is killed.
#[tokio::test]
async fn the_coordinator_is_killed_while_streams_run_and_requests_wait() {
    let (mut site, owner, other) = start().await;
    load_all_slots(&site.nodes[other]).await;
    let started = Notify::new();
    let (stream, ninth) = {
        let node = &site.nodes[other];
        let stream = node.long_stream("gemma/shop-1", LONG_STREAM, &started);
        // Has no slot without an eviction.
        let ninth = async {
            sleep(Duration::from_secs(1)).await;
            ask(node, 9).await
        };
        let killer = async {
            started.notified().await;
            site.nodes[owner].process.signal("KILL");
            // These wait for the new coordinator; all their adapters are loaded.
            let answers = futures_util::future::join_all((2..=8).map(|index| ask(node, index)));
            for answer in answers.await {
                assert!(answer.complete, "{answer:?}");
            }
        };
        let work = async { tokio::join!(stream, killer) };
        tokio::pin!(work);
        // The caller of the ninth adapter leaves when the others are done.
        tokio::select! {
            (stream, ()) = &mut work => (stream, None),
            ninth = ninth => (work.await.0, Some(ninth)),
        }
    };
    assert!(stream.complete, "{stream:?}");
    let ninth_answered = ninth.as_ref().is_some_and(|ninth| ninth.complete);
    if let Some(error) = ninth.as_ref().and_then(|ninth| ninth.error.as_ref()) {
        assert_eq!(error["error"]["run"], "no", "{ninth:?}");
    }
    assert!(coordinates(&site.nodes[other]).await);
    let _ = site.nodes[owner].process.child.wait().await;
    assert_served(&site, 8 + 1 + 7 + u64::from(ninth_answered)).await;
}

/// Guards against a coordinator that decides on from its old state when it wakes, beside its
/// successor.
#[tokio::test]
async fn the_coordinator_is_frozen_and_woken() {
    let (site, owner, other) = start().await;
    load_all_slots(&site.nodes[other]).await;
    site.nodes[owner].process.signal("STOP");
    wait_until_coordinates(&site.nodes[other]).await;
    let started = Notify::new();
    let node = &site.nodes[other];
    let stream = node.long_stream("gemma/shop-1", 200, &started);
    let woken = async {
        started.notified().await;
        site.nodes[owner].process.signal("CONT");
        site.nodes[owner].wait_until_ready(true, LIMIT).await;
        let asks = (2..=8).map(|index| ask(&site.nodes[owner], index));
        for answer in futures_util::future::join_all(asks).await {
            assert!(answer.complete, "{answer:?}");
        }
    };
    let (stream, ()) = tokio::join!(stream, woken);
    assert!(stream.complete, "{stream:?}");
    assert!(!coordinates(&site.nodes[owner]).await);
    assert_served(&site, 8 + 1 + 7).await;
}

/// Guards against requests that are cut, refused or run twice by a planned stop of the
/// coordinator under load.
#[tokio::test]
async fn the_coordinator_stops_as_planned_under_load() {
    let (mut site, owner, other) = start().await;
    load_all_slots(&site.nodes[other]).await;
    let started = Notify::new();
    let (stream, asked) = {
        let stream = site.nodes[owner].long_stream("gemma/shop-1", 300, &started);
        let load = async {
            started.notified().await;
            site.nodes[owner].process.signal("TERM");
            let mut asked = 0;
            while !coordinates(&site.nodes[other]).await {
                let asks = (2..=8).map(|index| ask(&site.nodes[other], index));
                for answer in futures_util::future::join_all(asks).await {
                    assert!(answer.complete, "{answer:?}");
                    asked += 1;
                }
            }
            asked
        };
        tokio::join!(stream, load)
    };
    assert!(stream.complete, "{stream:?}");
    let ended = site.nodes[owner].process.child.wait().await;
    assert!(ended.expect("it ran").success());
    assert_served(&site, 8 + 1 + asked).await;
}

/// Guards against a planned stop that cuts a stream or does not end while the log is down.
#[tokio::test]
async fn the_coordinator_stops_as_planned_while_the_log_is_down() {
    let (mut site, owner, other) = start().await;
    load_all_slots(&site.nodes[other]).await;
    let started = Notify::new();
    let (stream, ()) = {
        let stream = site.nodes[owner].long_stream("gemma/shop-1", 300, &started);
        let stop = async {
            started.notified().await;
            site.set_log_down(true).await;
            site.nodes[owner].process.signal("TERM");
        };
        tokio::join!(stream, stop)
    };
    assert!(stream.complete, "{stream:?}");
    let ended = site.nodes[owner].process.child.wait().await;
    assert!(ended.expect("it ran").success());
    assert_served(&site, 8 + 1).await;
}
