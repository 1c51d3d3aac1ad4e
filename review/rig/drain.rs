//! DRAIN: servers leave, without a report that they drain, just after a machine that reads the servers'
//! records for a large fleet was cut off from the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::machine::{Addresses, Bounds, Client, Machine, Request};
use crate::server::{Event, Server};
use crate::store::Store;
use crate::{Run, Sent, Verdict};

/// More than twelve: a few machines read the servers' records for all.
const MACHINES: usize = 14;
const SERVERS: usize = 24;
/// Servers that leave after each cut, one after the other.
const LEAVING: usize = 4;
const ROUNDS: usize = 4;
const DRAIN_MS: u64 = 3000;
const STABILITY_MS: u64 = 4000;
const CUT: Duration = Duration::from_millis(5500);
/// How long a server that has left goes on serving.
const LINGER: Duration = Duration::from_secs(6);

const CONFIG: &str = r#"{"version":1,"routes":[
 {"name":"saldo","host":"shop.example","pathPrefix":"/saldo/","kind":"safe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"ledger","maxAttempts":2,"public":false,"sticky":false,"resumable":false}],
 "services":[{"name":"ledger","healthPath":"/health","maxConnections":560,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["key-1"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":1000000,"burst":1000000}]}"#;

pub fn run(run: &Run) -> Verdict {
    let addresses = Addresses::reserve();
    let store = Store::new();
    store.put("keyed.op", "config", CONFIG.as_bytes());
    let seen = Arc::default();
    let zones = ["a", "b", "c"];
    let server = |index: usize| {
        let address = addresses.at(200 + index as u8, addresses.port + 4);
        let work = Duration::from_millis(20);
        Server::start(
            &format!("s{index}"),
            "ledger",
            zones[index % 3],
            address,
            6,
            work,
            None,
            "",
            &store,
            &seen,
        )
    };
    let servers: Vec<_> = (0..SERVERS).map(server).collect();
    let bounds = Bounds {
        stability_ms: STABILITY_MS,
        drain_ms: DRAIN_MS,
        config_ms: 3000,
        retry_slack: 206,
        pass_ms: 200,
        link_mbps: 1000.0,
    };
    let mut machines: Vec<_> = (0..MACHINES)
        .map(|index| {
            Machine::new(
                index,
                zones[index % 3],
                &addresses,
                &bounds,
                &store,
                &run.folder,
            )
        })
        .collect();
    machines.iter_mut().for_each(Machine::start);
    if !machines.iter().all(Machine::wait_until_ready) {
        return Verdict::NotRun("a machine did not become ready");
    }
    thread::sleep(Duration::from_secs(8));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = machines
        .iter()
        .enumerate()
        .map(|(index, machine)| {
            let (caller, stop) = (machine.caller, Arc::clone(&stop));
            thread::spawn(move || send(index, caller, &stop))
        })
        .collect();
    thread::sleep(Duration::from_secs(4));

    let mut left = BTreeMap::new();
    let mut cut = None;
    for round in 0..ROUNDS {
        if run.trouble {
            let reader = match cut {
                Some(reader) => reader,
                None => match find_reader(run, &store) {
                    Some(reader) => reader,
                    None => return Verdict::NotRun("no machine reads the servers' records"),
                },
            };
            cut = Some(reader);
            let machine = &machines[reader];
            run.note(&format!(
                "{} is cut off from the store: its connections are reset, new ones refused",
                machine.name
            ));
            machine.link.set_cut(true);
            thread::sleep(CUT);
            machine.link.set_cut(false);
            run.note("the cut has healed");
        } else {
            thread::sleep(CUT);
        }
        thread::sleep(Duration::from_millis(700));
        let leaving = &servers[round * LEAVING..(round + 1) * LEAVING];
        for server in leaving {
            let at = server.leave();
            run.note_at(
                at,
                &format!(
                    "the store accepts the removal of {}, which goes on serving",
                    server.id()
                ),
            );
            left.insert(server.id(), at);
            thread::sleep(Duration::from_millis(350));
        }
        thread::sleep(LINGER);
        for server in leaving {
            server.end();
        }
    }
    stop.store(true, Ordering::SeqCst);
    let sent: BTreeMap<String, Sent> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    if machines.iter_mut().any(Machine::has_ended) {
        return Verdict::NotRun("a machine's process ended");
    }
    let seen = seen.lock().unwrap();
    run.note_requests(&sent, &seen);
    let mut late: BTreeMap<(String, usize), (usize, Duration)> = BTreeMap::new();
    let (mut arrivals, mut excused) = (0, 0);
    for arrival in seen.iter().filter(|seen| seen.event == Event::Arrived) {
        arrivals += 1;
        let (Some(left_at), Some(sent)) = (left.get(&arrival.server), sent.get(&arrival.request))
        else {
            continue;
        };
        let lag = arrival.at.saturating_duration_since(*left_at);
        if lag <= Duration::from_millis(DRAIN_MS) {
            continue;
        }
        // Only machines that were in touch all the while are judged.
        if Some(sent.machine) == cut {
            excused += 1;
            continue;
        }
        if sent.at > *left_at {
            let entry = late
                .entry((arrival.server.clone(), sent.machine))
                .or_default();
            *entry = (entry.0 + 1, entry.1.max(lag));
        }
    }
    for ((server, machine), (count, lag)) in &late {
        run.note(&format!(
            "{server} got {count} requests from {} later than {DRAIN_MS} ms after its removal was accepted, the last {:.1} s after",
            machines[*machine].name, lag.as_secs_f64()
        ));
    }
    let total: usize = late.values().map(|(count, _)| count).sum();
    run.note(&format!("{} requests sent, {arrivals} arrived, {total} of them late, {excused} more late from the machine that was cut off", sent.len()));
    if sent.len() < 1000 {
        return Verdict::NotRun("too few requests were sent");
    }
    if total > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// The machine that has read the servers' records most often in the last seconds.
fn find_reader(run: &Run, store: &Store) -> Option<usize> {
    let reads = store.calls_since(
        "/api/log-read keyed.servers",
        Instant::now() - Duration::from_secs(5),
    );
    run.note(&format!(
        "reads of the servers' records in 5 s, by machine: {reads:?}"
    ));
    reads
        .into_iter()
        .max_by_key(|(_, count)| *count)
        .map(|(machine, _)| machine)
}

fn send(machine: usize, caller: SocketAddr, stop: &AtomicBool) -> Vec<(String, Sent)> {
    let mut client = Client::new(caller);
    let mut sent = Vec::new();
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let id = format!("r-{machine}-{number}");
        let at = Instant::now();
        let request = Request {
            method: "GET",
            path: "/saldo/1",
            id: &id,
            deadline_ms: 1000,
            body: b"",
        };
        let status = client.send(&request).map_or(0, |answer| answer.status());
        sent.push((
            id,
            Sent {
                at,
                machine,
                status,
            },
        ));
        thread::sleep(Duration::from_millis(80));
    }
    sent
}
