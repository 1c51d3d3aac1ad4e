//! What operators see of a node: the state dump and the log during an outage.

mod fixture;

use std::time::Duration;

use fixture::booking::wait_for;
use fixture::{ADMIN_TOKEN, KEY, Site, SiteNode};
use serde_json::Value;

/// The platform's faults last this long, several times the pause between two reads of the log.
const OUTAGE: Duration = Duration::from_secs(2);

async fn dump(node: &SiteNode) -> Value {
    let call = node.client.get(node.admin_url("/admin/dump"));
    let reply = call.bearer_auth(ADMIN_TOKEN).send().await;
    let text = reply.expect("the node answers").text().await;
    let text = text.expect("the answer is complete");
    assert!(!text.contains(KEY), "the dump has a caller's key: {text}");
    serde_json::from_str(&text).expect("the dump is JSON")
}

/// Guards against a dump that lacks the pool or the buckets, so that operators can't see why
/// requests wait or are refused.
#[tokio::test]
async fn the_dump_shows_the_pool_and_the_buckets() {
    let site = Site::start().await;
    for node in &site.nodes {
        let answer = node.stream("gemma/shop-1", "swap two bottles").await;
        assert!(answer.complete, "{answer:?}");
    }
    wait_for("the pins are released", || async {
        let dumps = [dump(&site.nodes[0]).await, dump(&site.nodes[1]).await];
        let mut pools = dumps
            .iter()
            .map(|dump| &dump["pool"]["coordinated"]["gemma"]);
        pools.any(|pool| pool["pinned"] == 0)
    })
    .await;
    let dumps = [dump(&site.nodes[0]).await, dump(&site.nodes[1]).await];
    let mut pools = dumps
        .iter()
        .map(|dump| &dump["pool"]["coordinated"]["gemma"]);
    let pool = pools.find(|pool| !pool.is_null()).expect("one coordinates");
    let target = &pool["targets"]["engine-1"];
    assert_eq!(
        (&target["open"], &target["in_flight"]),
        (&true.into(), &0.into()),
        "{pool}"
    );
    let generations = target["generations"].as_object().expect("an object");
    let loaded = generations
        .iter()
        .find(|(name, _)| name.starts_with("shop-1@"));
    assert_eq!(loaded.expect("it is loaded").1["state"], "ready", "{pool}");
    let partitions = dumps
        .iter()
        .filter_map(|dump| dump["ledger"]["owned"].as_object());
    let mut buckets = partitions.flat_map(|owned| owned.values().map(|p| &p["accounts"]["acme"]));
    let bucket = buckets.find(|bucket| !bucket.is_null());
    let bucket = bucket.expect("one owns the account's partition");
    assert_eq!(bucket["burst_tokens"], 100_000, "{bucket}");
}

/// Guards against a log that fills with one message for each failed call of an outage.
#[tokio::test]
async fn an_outage_of_the_log_is_logged_once_for_each_part() {
    let site = Site::start().await;
    let node = site.extra_node(&[]).await;
    site.set_log_down(true).await;
    wait_for("the outage is logged", || async {
        node.log_lines().contains("config: reading the log fails")
    })
    .await;
    tokio::time::sleep(OUTAGE).await;
    site.set_log_down(false).await;
    wait_for("the end of the outage is logged", || async {
        let log = node.log_lines();
        log.contains("config: reading the log works again")
            && log.contains("claims: reading the log works again")
    })
    .await;
    let log = node.log_lines();
    for part in ["config", "claims", "lease"] {
        let message = format!("{part}: reading the log fails");
        assert_eq!(log.matches(&message).count(), 1, "{log}");
    }
}
