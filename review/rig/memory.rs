//! LOST: many clients at once send bodies that the configuration allows, and the platform kills the
//! process that exceeds its memory.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::machine::{Addresses, Bounds, Client, Machine, Request};
use crate::server::{Event, Seen, Server};
use crate::store::Store;
use crate::{Run, Sent, Verdict};

const SERVERS: usize = 3;
const WORK: Duration = Duration::from_millis(220);
/// The largest body that the configuration allows.
const BODY_BYTES: usize = 4_194_304;
/// Clients that send one request after the other at usual times.
const USUAL_CLIENTS: usize = 15;
/// The factor by which they are more in a burst.
const BURST: f64 = 1.7;
/// `memoryMb` of the machine's settings.
const MEMORY_MB: u64 = 260;
const LENGTH: Duration = Duration::from_secs(12);

pub fn run(run: &Run) -> Verdict {
    let addresses = Addresses::reserve();
    let store = Store::new();
    store.put(
        "keyed.op",
        "config",
        crate::poison::CONFIG
            .replace("1000,\"targetLatencyMs\"", "5000,\"targetLatencyMs\"")
            .as_bytes(),
    );
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
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
    let _servers: Vec<_> = (0..SERVERS).map(server).collect();
    let bounds = Bounds {
        stability_ms: 3000,
        drain_ms: 2000,
        config_ms: 2000,
        retry_slack: 52,
        pass_ms: 120,
        link_mbps: 1000.0,
    };
    let mut machine = Machine::new(0, "a", &addresses, &bounds, &store, &run.folder);
    machine.start();
    if !machine.wait_until_ready() {
        return Verdict::NotRun("the machine did not become ready");
    }
    thread::sleep(Duration::from_millis(3500));
    let caller = machine.caller;
    let (stop, peak, kills) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
        Arc::new(Mutex::new(Vec::new())),
    );
    let watch = {
        let (stop, peak, kills) = (Arc::clone(&stop), Arc::clone(&peak), Arc::clone(&kills));
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let used = resident_mb(machine.process_id());
                peak.fetch_max(used, Ordering::SeqCst);
                if used > MEMORY_MB {
                    machine.kill();
                    kills.lock().unwrap().push((Instant::now(), used));
                    thread::sleep(Duration::from_secs(1));
                    machine.start();
                }
                thread::sleep(Duration::from_millis(10));
            }
            machine
        })
    };
    let clients = |count: usize, first: usize| {
        let send = |index: usize| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || send(first + index, caller, &stop))
        };
        (0..count).map(send).collect::<Vec<_>>()
    };
    let mut threads = clients(USUAL_CLIENTS, 0);
    thread::sleep(LENGTH / 2);
    if run.trouble {
        let more = (USUAL_CLIENTS as f64 * BURST) as usize - USUAL_CLIENTS;
        run.note(&format!(
            "{more} more clients come, {BURST} times as many as usual"
        ));
        threads.extend(clients(more, USUAL_CLIENTS));
    }
    thread::sleep(LENGTH / 2);
    stop.store(true, Ordering::SeqCst);
    let sent: BTreeMap<String, Sent> = threads
        .into_iter()
        .flat_map(|one| one.join().unwrap())
        .collect();
    drop(watch.join().unwrap());
    for (at, used) in kills.lock().unwrap().iter() {
        run.note_at(*at, &format!("the process uses {used} MB, more than memoryMb = {MEMORY_MB}, and is killed; it starts again after 1 s"));
    }
    run.note(&format!("most memory: {} MB", peak.load(Ordering::SeqCst)));
    let seen = seen.lock().unwrap();
    run.note_requests(&sent, &seen);
    let mut lost = 0;
    for (id, Sent { status, .. }) in &sent {
        let arrived = seen
            .iter()
            .any(|seen| seen.request == *id && seen.event == Event::Arrived);
        if *status == 0 && arrived {
            lost += 1;
            run.note(&format!(
                "{id} was passed on to a server, and its channel ended without an answer"
            ));
        }
    }
    run.note(&format!(
        "{} requests sent, {lost} of them passed on and not answered; allowed are 3",
        sent.len()
    ));
    if lost > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn resident_mb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kilobytes.unwrap_or(0) / 1024
}

fn send(client: usize, caller: SocketAddr, stop: &AtomicBool) -> Vec<(String, Sent)> {
    let body = vec![b'x'; BODY_BYTES];
    let mut channel = Client::new(caller);
    let mut answers = Vec::new();
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let id = format!("c{client}-{number}");
        let request = Request {
            method: "POST",
            path: "/pago/1",
            id: &id,
            deadline_ms: 5000,
            body: &body,
        };
        let at = Instant::now();
        let status = channel.send(&request).map_or(0, |answer| answer.status());
        answers.push((
            id,
            Sent {
                at,
                machine: 0,
                status,
            },
        ));
        thread::sleep(Duration::from_millis(50));
    }
    answers
}
