//! DRAIN: many servers of a large fleet report at once that they drain.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::machine::{Addresses, Bounds, Client, Machine, Request};
use crate::server::{Event, Seen, Server};
use crate::store::Store;
use crate::{Run, Sent, Verdict};

/// More than twelve: a few machines read the servers' records for all.
const MACHINES: usize = 14;
const SERVERS: usize = 143;
const LEAVING: usize = 20;
const CLIENTS_PER_MACHINE: usize = 4;
const DRAIN_MS: u64 = 3000;
/// The pause between two reports if they don't come at once.
const PAUSE: Duration = Duration::from_millis(400);
/// How long the fleet runs in calm before the servers leave.
const CALM: Duration = Duration::from_secs(33);
/// How long a server that drains goes on serving, before it ends.
const LINGER: Duration = Duration::from_millis(DRAIN_MS + 600);
/// How long a run takes.
const WORK: Duration = Duration::from_millis(100);

const CONFIG: &str = r#"{"version":1,"routes":[
 {"name":"nota","host":"shop.example","pathPrefix":"/nota/","kind":"stream","timeoutMs":10000,"targetLatencyMs":600,"priority":1,"service":"lm","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"targetGapMs":300}],
 "services":[{"name":"lm","healthPath":"/health","maxConnections":610,"protocol":"h1","tls":false,"coldS":3.0,"coldPerS":8.0,
 "engine":{"slots":12,"kvCapacity":70722,"kvTokenBytes":163840,"linkMbps":1100000.0,"moves":true,"backups":true,"stride":8,"cap":12,"hostMb":140000.0,"diskMb":400000.0,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,
 "models":[{"name":"m0","weightsMb":42700.0,"loadS":1.7,"adapters":10000,"adapterMb":66.0,"warmS":0.44,"diskS":0.68}],"weightsMb":44200.0,"adapterSlots":9,"loadsPerS":40.0}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["key-1"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":1000000,"burst":1000000}]}"#;

/// A model, nine adapters in its slots, and 54 in the memory of the server's host, as on the sheet of
/// grown Quito.
fn holdings(server: usize) -> String {
    let adapter = |index: usize| format!("\"a{}@1\"", 1000 + (server * 61 + index * 7) % 9000);
    let held: Vec<_> = (0..9).map(adapter).collect();
    let host: Vec<_> = (0..54)
        .map(|index| format!("\"m0/{}", &adapter(index)[1..]))
        .collect();
    format!(
        "\"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[{}]}}],\
         \"available\":{{\"inMemory\":[\"m0\",{}],\"onDisk\":[\"m0\"]}},",
        held.join(","),
        host.join(",")
    )
}

pub fn run(run: &Run) -> Verdict {
    let addresses = Addresses::reserve();
    let store = Store::new();
    store.put("keyed.op", "config", CONFIG.as_bytes());
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let zones = ["a", "b", "c"];
    let server = |index: usize| {
        Server::start(
            &format!("s{index}"),
            "lm",
            zones[index % 3],
            addresses.of_server(index),
            12,
            WORK,
            None,
            &holdings(index),
            &store,
            &seen,
        )
    };
    let servers: Vec<_> = (0..SERVERS).map(server).collect();
    let bounds = Bounds {
        stability_ms: 4000,
        drain_ms: DRAIN_MS,
        config_ms: 3000,
        retry_slack: 206,
        pass_ms: 200,
        link_mbps: 10.0,
    };
    let mut machines: Vec<_> = (0..MACHINES)
        .map(|index| {
            let zone = zones[index % 3];
            Machine::new(index, zone, &addresses, &bounds, &store, &run.folder)
        })
        .collect();
    machines.iter_mut().for_each(Machine::start);
    if !machines.iter().all(Machine::wait_until_ready) {
        return Verdict::NotRun("a machine did not become ready");
    }
    thread::sleep(CALM);
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..MACHINES * CLIENTS_PER_MACHINE {
        let (caller, stop) = (machines[client % MACHINES].caller, Arc::clone(&stop));
        clients.push(thread::spawn(move || send(client, caller, &stop)));
    }
    thread::sleep(Duration::from_secs(2));

    let mut left = BTreeMap::new();
    let leaving: Vec<_> = servers
        .iter()
        .step_by(SERVERS / LEAVING)
        .take(LEAVING)
        .collect();
    for server in &leaving {
        let at = server.drain();
        run.note_at(
            at,
            &format!("the store accepts that {} drains", server.id()),
        );
        left.insert(server.id(), at);
        if !run.trouble {
            thread::sleep(PAUSE);
        }
    }
    let last = left.values().max().copied().unwrap_or_else(Instant::now);
    thread::sleep(LINGER.saturating_sub(last.elapsed()));
    for server in &leaving {
        server.end();
    }
    run.note("the servers that drained have ended");
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::SeqCst);
    let joined = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap());
    let sent: BTreeMap<String, Sent> = joined.collect();
    if machines.iter_mut().any(Machine::has_ended) {
        return Verdict::NotRun("a machine's process ended");
    }
    let seen = seen.lock().unwrap();
    run.note_requests(&sent, &seen);
    let mut late: BTreeMap<usize, (usize, Duration)> = BTreeMap::new();
    for arrival in seen.iter().filter(|seen| seen.event == Event::Arrived) {
        let found = (left.get(&arrival.server), sent.get(&arrival.request));
        let (Some(left_at), Some(sent)) = found else {
            continue;
        };
        let lag = arrival.at.saturating_duration_since(*left_at);
        if lag > Duration::from_millis(DRAIN_MS) && sent.at > *left_at {
            let entry = late.entry(sent.machine).or_default();
            *entry = (entry.0 + 1, entry.1.max(lag));
        }
    }
    for (machine, (count, lag)) in &late {
        run.note(&format!(
            "{} sent {count} requests to servers later than {DRAIN_MS} ms after the report that they drain, the last {:.1} s after",
            machines[*machine].name,
            lag.as_secs_f64()
        ));
    }
    let total: usize = late.values().map(|(count, _)| count).sum();
    let is_late = |seen: &&Seen| {
        let found = (left.get(&seen.server), sent.get(&seen.request));
        found.0.zip(found.1).is_some_and(|(left_at, sent)| {
            sent.at > *left_at && seen.at - *left_at > Duration::from_millis(DRAIN_MS)
        })
    };
    let lost = seen
        .iter()
        .filter(|seen| seen.event == Event::Lost)
        .filter(is_late)
        .count();
    run.note(&format!(
        "{} requests sent, {total} of them late; {lost} runs were cut as the servers ended",
        sent.len()
    ));
    if sent.len() < 1000 {
        return Verdict::NotRun("too few requests were sent");
    }
    if total > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn send(client: usize, caller: SocketAddr, stop: &AtomicBool) -> Vec<(String, Sent)> {
    let machine = client % MACHINES;
    let mut channel = Client::new(caller);
    let mut sent = Vec::new();
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let id = format!("r-{client}-{number}");
        let at = Instant::now();
        let request = Request {
            method: "POST",
            path: "/nota/1",
            id: &id,
            deadline_ms: 10_000,
            body: b"prompt",
        };
        let status = channel
            .send_with(&request, "X-Model: m0\r\n")
            .map_or(0, |answer| answer.status());
        sent.push((
            id,
            Sent {
                at,
                machine,
                status,
            },
        ));
        thread::sleep(Duration::from_millis(10));
    }
    sent
}
