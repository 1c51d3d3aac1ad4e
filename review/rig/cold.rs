//! FAILBACK: a warm server becomes cold and reports so at once.

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

const MACHINES: usize = 3;
const SERVERS: usize = 3;
const CLIENTS_PER_MACHINE: usize = 9;
const PAUSE: Duration = Duration::from_millis(80);
const WORK: Duration = Duration::from_millis(20);
const COLD: Duration = Duration::from_secs(3);
const COLD_PER_S: f64 = 20.0;
const COLD_OVERAGE: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
const TIMES: usize = 3;

const CONFIG: &str = r#"{"version":1,"routes":[
 {"name":"saldo","host":"shop.example","pathPrefix":"/saldo/","kind":"safe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"ledger","maxAttempts":2,"public":false,"sticky":false,"resumable":false}],
 "services":[{"name":"ledger","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false,"coldS":3.0,"coldPerS":20.0}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["key-1"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":1000000,"burst":1000000}]}"#;

pub fn run(run: &Run) -> Verdict {
    let addresses = Addresses::reserve();
    let store = Store::new();
    store.put("keyed.op", "config", CONFIG.as_bytes());
    let seen = Arc::default();
    let server = |index: usize| {
        let address = addresses.at(200 + index as u8, addresses.port + 4);
        Server::start(
            &format!("s{index}"),
            "ledger",
            "a",
            address,
            6,
            WORK,
            None,
            "",
            &store,
            &seen,
        )
    };
    let servers: Vec<_> = (0..SERVERS).map(server).collect();
    let bounds = Bounds {
        stability_ms: 3000,
        drain_ms: 2000,
        config_ms: 2000,
        retry_slack: 52,
        pass_ms: 120,
        link_mbps: 1000.0,
    };
    let mut machines: Vec<_> = (0..MACHINES)
        .map(|index| Machine::new(index, "a", &addresses, &bounds, &store, &run.folder))
        .collect();
    machines.iter_mut().for_each(Machine::start);
    if !machines.iter().all(Machine::wait_until_ready) {
        return Verdict::NotRun("a machine did not become ready");
    }
    thread::sleep(Duration::from_millis(3500));
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..MACHINES * CLIENTS_PER_MACHINE {
        let (caller, stop) = (machines[client % MACHINES].caller, Arc::clone(&stop));
        clients.push(thread::spawn(move || send(client, caller, &stop)));
    }
    thread::sleep(Duration::from_secs(4));

    let mut spans = Vec::new();
    for server in &servers[..TIMES] {
        let from = Instant::now();
        if run.trouble {
            let at = server.become_cold(COLD);
            run.note_at(
                at,
                &format!(
                    "{} is cold for {COLD:?}; the store has accepted its report",
                    server.id()
                ),
            );
        }
        spans.push((server.id(), from, from + COLD));
        thread::sleep(COLD + Duration::from_secs(3));
    }
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
    let (bound, mut most) = (COLD_PER_S * COLD_OVERAGE + COLD_SLACK, 0);
    for (id, from, until) in &spans {
        let arrivals = seen
            .iter()
            .filter(|seen| seen.event == Event::Arrived && seen.server == *id);
        let arrivals: Vec<_> = arrivals
            .filter(|seen| seen.at >= *from && seen.at < *until)
            .filter_map(|seen| Some((seen.at, sent.get(&seen.request)?.at)))
            .collect();
        let in_second = |start: Instant| {
            let end = start + Duration::from_secs(1);
            arrivals
                .iter()
                .filter(|(at, sent)| *at < end && *sent >= start)
                .count()
        };
        let starts = arrivals
            .iter()
            .map(|(_, sent)| *sent)
            .filter(|start| start >= from);
        let worst = starts
            .map(|start| (in_second(start), start))
            .max_by_key(|(count, _)| *count);
        let (count, start) = worst.unwrap_or((0, *from));
        run.note_at(
            start,
            &format!(
                "in the second from here, {id} got {count} requests; allowed while cold are {bound}"
            ),
        );
        most = most.max(count);
    }
    run.note(&format!("{} requests sent", sent.len()));
    if sent.len() < 1000 {
        return Verdict::NotRun("too few requests were sent");
    }
    if run.trouble && most as f64 > bound {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn send(client: usize, caller: SocketAddr, stop: &AtomicBool) -> Vec<(String, Sent)> {
    let mut channel = Client::new(caller);
    let mut sent = Vec::new();
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let id = format!("r-{client}-{number}");
        let at = Instant::now();
        let request = Request {
            method: "GET",
            path: "/saldo/1",
            id: &id,
            deadline_ms: 1000,
            body: b"",
        };
        let status = channel.send(&request).map_or(0, |answer| answer.status());
        let machine = client % MACHINES;
        sent.push((
            id,
            Sent {
                at,
                machine,
                status,
            },
        ));
        thread::sleep(PAUSE);
    }
    sent
}
