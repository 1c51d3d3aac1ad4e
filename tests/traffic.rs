//! The bytes of control between real nodes, as their metrics count them.

mod fixture;

use std::collections::BTreeMap;
use std::time::Duration;

use fixture::{Site, SiteNode};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

/// Generous for a busy machine.
const LIMIT: Duration = Duration::from_secs(30);

/// A node's counters of bytes, by name and labels.
type Counters = BTreeMap<String, u64>;

async fn counters(node: &SiteNode) -> Counters {
    let call = node.client.get(node.admin_url("/metrics"));
    let reply = call.send().await.expect("the node answers");
    let text = reply.text().await.expect("the metrics are text");
    let lines = text.lines().filter_map(|line| {
        let (name, value) = line.strip_prefix("bluebellmux_")?.split_once(' ')?;
        let counted = name.contains("bytes_total") || name == "control_bytes";
        Some((name.to_owned(), value.parse().ok().filter(|_| counted)?))
    });
    lines.collect()
}

fn of(counters: &Counters, name: &str) -> u64 {
    counters.get(name).copied().unwrap_or(0)
}

/// The sum over the parts in one direction.
fn of_parts(counters: &Counters, direction: &str) -> u64 {
    let prefix = format!("peer_part_bytes_total{{direction=\"{direction}\"");
    let parts = counters
        .iter()
        .filter(|(name, _)| name.starts_with(&prefix));
    parts.map(|(_, bytes)| bytes).sum()
}

/// Guards against connections, directions or messages that the count of control's bytes leaves
/// out, and against callers' bytes in it.
#[tokio::test]
async fn the_parts_sum_up_to_what_the_sockets_carry() {
    let site = Site::start().await;
    for node in &site.nodes {
        let answer = node
            .stream("gemma/shop-1", "count the bytes tokens=4")
            .await;
        assert!(answer.complete, "{answer:?}");
    }
    let start = Instant::now();
    // Messages are on their way most of the time, so that the counts meet only in pauses.
    loop {
        let counts = [
            counters(&site.nodes[0]).await,
            counters(&site.nodes[1]).await,
        ];
        let sums = |node: &Counters| {
            let sockets = [
                of(node, "peer_sent_bytes_total"),
                of(node, "peer_received_bytes_total"),
            ];
            (
                sockets,
                [of_parts(node, "sent"), of_parts(node, "received")],
            )
        };
        let [(first, first_parts), (second, second_parts)] = [sums(&counts[0]), sums(&counts[1])];
        let crossed = [second[1], second[0]];
        if first == first_parts && second == second_parts && first == crossed {
            assert!(first[0] > 0 && first[1] > 0, "{counts:?}");
            for part in ["pool", "ledger", "membership"] {
                let name = format!("peer_part_bytes_total{{direction=\"sent\",part=\"{part}\"}}");
                assert!(of(&counts[0], &name) > 0, "{part}: {counts:?}");
            }
            break;
        }
        assert!(start.elapsed() < LIMIT, "{counts:?}");
        sleep(Duration::from_millis(7)).await;
    }
}

/// The change of all nodes' counters over `time`, each as bytes per second.
async fn rates(nodes: &[SiteNode], time: Duration) -> Vec<BTreeMap<String, f64>> {
    let mut before = Vec::new();
    for node in nodes {
        before.push((Instant::now(), counters(node).await));
    }
    sleep(time).await;
    let mut rates = Vec::new();
    for (node, (at, before)) in nodes.iter().zip(before) {
        let (time, now) = (at.elapsed().as_secs_f64(), counters(node).await);
        let rate = |(name, bytes): (&String, &u64)| {
            let grown = bytes - of(&before, name);
            (name.clone(), grown as f64 / time)
        };
        rates.push(now.iter().map(rate).collect());
    }
    rates
}

/// Prints the rates of the node that coordinates the pool, which is the busiest, and the mean.
fn print_rates(label: &str, rates: &[BTreeMap<String, f64>]) {
    let total = |node: &BTreeMap<String, f64>| node["control_bytes"];
    let most = rates.iter().max_by(|a, b| total(a).total_cmp(&total(b)));
    let mean = rates.iter().map(total).sum::<f64>() / rates.len() as f64;
    println!("{label}: mean {mean:.0} B/s a node; the busiest node:");
    for (name, rate) in most.expect("there is a node") {
        println!("  {rate:8.0} {name}");
    }
}

#[tokio::test]
#[ignore = "a measurement, which is run by hand"]
async fn measure_the_bytes_of_control() {
    let mut site = Site::start().await;
    for count in [2, 4, 8] {
        while site.nodes.len() < count {
            let name = format!("entry-{}", site.nodes.len() + 1);
            let url = site.platform_url("");
            site.nodes
                .push(SiteNode::start_with(&name, "a", &url, &[]).await);
        }
        let vm = |(index, node): (usize, &SiteNode)| {
            json!({
                "name": format!("entry-{}", index + 1), "address": node.process.addresses[1],
                "zone": "a", "state": "live",
            })
        };
        let vms: Vec<Value> = site.nodes.iter().enumerate().map(vm).collect();
        let call = reqwest::Client::new().put(site.platform_url("/vms"));
        let reply = call.json(&json!({"vms": vms})).send().await;
        assert!(reply.expect("the platform answers").status().is_success());
        sleep(Duration::from_secs(5)).await;
        let rates = rates(&site.nodes, Duration::from_secs(10)).await;
        print_rates(&format!("{count} idle nodes"), &rates);
    }
    let start = Instant::now();
    let ask = async |index: usize| {
        sleep(Duration::from_millis(index as u64 * 33)).await;
        let node = &site.nodes[index % site.nodes.len()];
        let model = format!("gemma/shop-{}", index % 3 + 1);
        node.stream(&model, "count the bytes tokens=8")
            .await
            .complete
    };
    let asks = futures_util::future::join_all((0..750).map(ask));
    let measured = async {
        sleep(Duration::from_secs(5)).await;
        rates(&site.nodes, Duration::from_secs(15)).await
    };
    let (answers, rates) = tokio::join!(asks, measured);
    let complete = answers.iter().filter(|complete| **complete).count();
    let label = format!(
        "8 nodes, {} requests in {:.1} s, {complete} complete",
        answers.len(),
        start.elapsed().as_secs_f64()
    );
    print_rates(&label, &rates);
}
