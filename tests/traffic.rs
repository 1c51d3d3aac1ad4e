//! Control traffic between node processes, as counted by their metrics.

mod fixture;

use std::collections::BTreeMap;
use std::time::Duration;

use fixture::{TestCluster, TestNode};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

/// The time limit for equal counts, generous for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A node's byte counters by name and labels.
type Counters = BTreeMap<String, u64>;

async fn counters(node: &TestNode) -> Counters {
    let request = node.client.get(node.admin_url("/metrics"));
    let reply = request.send().await.expect("the node responds");
    let text = reply.text().await.expect("the metrics are text");
    let lines = text.lines().filter_map(|line| {
        let (name, value) = line.strip_prefix("bluebellmux_")?.split_once(' ')?;
        let counted = name.contains("bytes_total") || name == "control_bytes";
        Some((name.to_owned(), value.parse().ok().filter(|_| counted)?))
    });
    lines.collect()
}

fn counter_value(counters: &Counters, name: &str) -> u64 {
    counters.get(name).copied().unwrap_or(0)
}

/// The sum of the per-part counters in one direction.
fn parts_total(counters: &Counters, direction: &str) -> u64 {
    let prefix = format!("peer_part_bytes_total{{direction=\"{direction}\"");
    let parts = counters
        .iter()
        .filter(|(name, _)| name.starts_with(&prefix));
    parts.map(|(_, bytes)| bytes).sum()
}

/// Guards against connections, directions or messages that the metrics of control traffic leave
/// out, and against callers' bytes counted as control traffic.
#[tokio::test]
async fn the_byte_counts_per_part_match_those_of_the_sockets() {
    let cluster = TestCluster::start().await;
    for node in &cluster.nodes {
        let response = node
            .stream("gemma/shop-1", "count the bytes tokens=4")
            .await;
        assert!(response.complete, "{response:?}");
    }
    let start = Instant::now();
    // The counts of the two nodes are equal only while no message is in transit, which is rare.
    loop {
        let counts = [
            counters(&cluster.nodes[0]).await,
            counters(&cluster.nodes[1]).await,
        ];
        let sums = |node: &Counters| {
            let sockets = [
                counter_value(node, "peer_sent_bytes_total"),
                counter_value(node, "peer_received_bytes_total"),
            ];
            (
                sockets,
                [parts_total(node, "sent"), parts_total(node, "received")],
            )
        };
        let [(first, first_parts), (second, second_parts)] = [sums(&counts[0]), sums(&counts[1])];
        let swapped = [second[1], second[0]];
        if first == first_parts && second == second_parts && first == swapped {
            assert!(first[0] > 0 && first[1] > 0, "{counts:?}");
            for part in ["pool", "ledger", "membership"] {
                let name = format!("peer_part_bytes_total{{direction=\"sent\",part=\"{part}\"}}");
                assert!(counter_value(&counts[0], &name) > 0, "{part}: {counts:?}");
            }
            break;
        }
        assert!(start.elapsed() < TIMEOUT, "{counts:?}");
        sleep(Duration::from_millis(7)).await;
    }
}

/// The growth of each node's counters over `time`, in bytes per second.
async fn rates(nodes: &[TestNode], time: Duration) -> Vec<BTreeMap<String, f64>> {
    let mut before = Vec::new();
    for node in nodes {
        before.push((Instant::now(), counters(node).await));
    }
    sleep(time).await;
    let mut rates = Vec::new();
    for (node, (at, before)) in nodes.iter().zip(before) {
        let (time, now) = (at.elapsed().as_secs_f64(), counters(node).await);
        let rate = |(name, bytes): (&String, &u64)| {
            let growth = bytes - counter_value(&before, name);
            (name.clone(), growth as f64 / time)
        };
        rates.push(now.iter().map(rate).collect());
    }
    rates
}

/// Prints the mean rate, and the counters of the node with the highest rate: the pool's
/// coordinator.
fn print_rates(label: &str, rates: &[BTreeMap<String, f64>]) {
    let total = |node: &BTreeMap<String, f64>| node["control_bytes"];
    let busiest = rates.iter().max_by(|a, b| total(a).total_cmp(&total(b)));
    let mean = rates.iter().map(total).sum::<f64>() / rates.len() as f64;
    println!("{label}: mean {mean:.0} B/s per node; the busiest node:");
    for (name, rate) in busiest.expect("there is a node") {
        println!("  {rate:8.0} {name}");
    }
}

#[tokio::test]
#[ignore = "a measurement, which is run by hand"]
async fn measure_control_traffic() {
    let mut cluster = TestCluster::start().await;
    for count in [2, 4, 8] {
        while cluster.nodes.len() < count {
            let name = format!("entry-{}", cluster.nodes.len() + 1);
            let url = cluster.platform_url("");
            cluster
                .nodes
                .push(TestNode::start_with(&name, "a", &url, &[]).await);
        }
        let vm = |(index, node): (usize, &TestNode)| {
            json!({
                "name": format!("entry-{}", index + 1), "address": node.process.addresses[1],
                "zone": "a", "state": "live",
            })
        };
        let vms: Vec<Value> = cluster.nodes.iter().enumerate().map(vm).collect();
        let request = reqwest::Client::new().put(cluster.platform_url("/vms"));
        let reply = request.json(&json!({"vms": vms})).send().await;
        assert!(reply.expect("the platform responds").status().is_success());
        sleep(Duration::from_secs(5)).await;
        let rates = rates(&cluster.nodes, Duration::from_secs(10)).await;
        print_rates(&format!("{count} idle nodes"), &rates);
    }
    let start = Instant::now();
    let send_request = async |index: usize| {
        sleep(Duration::from_millis(index as u64 * 33)).await;
        let node = &cluster.nodes[index % cluster.nodes.len()];
        let model = format!("gemma/shop-{}", index % 3 + 1);
        node.stream(&model, "count the bytes tokens=8")
            .await
            .complete
    };
    let requests = futures_util::future::join_all((0..750).map(send_request));
    let measured = async {
        sleep(Duration::from_secs(5)).await;
        rates(&cluster.nodes, Duration::from_secs(15)).await
    };
    let (responses, rates) = tokio::join!(requests, measured);
    let complete = responses.iter().filter(|complete| **complete).count();
    let label = format!(
        "8 nodes, {} requests in {:.1} s, {complete} complete",
        responses.len(),
        start.elapsed().as_secs_f64()
    );
    print_rates(&label, &rates);
}
