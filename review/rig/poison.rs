//! BUDGET: a request that crashes its servers comes again and again.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::machine::{Addresses, Bounds, Client, Machine, Request};
use crate::server::{Event, Seen, Server};
use crate::store::Store;
use crate::{Run, Sent, Verdict};

const MACHINES: usize = 8;
const SERVERS: usize = 3;
const WORK: Duration = Duration::from_millis(30);
/// The pause between two attempts of the client whose request crashes servers.
const REPEAT: Duration = Duration::from_secs(2);
const LENGTH: Duration = Duration::from_secs(97);
const STABILITY_MS: u64 = 3000;
/// Retries that may reach servers later than the stability window after the third crash.
const ALLOWED_RETRIES: usize = 3;

pub const CONFIG: &str = r#"{"version":1,"routes":[
 {"name":"pago","host":"shop.example","pathPrefix":"/pago/","kind":"unsafe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"ledger","maxAttempts":1,"public":false,"sticky":false,"resumable":false}],
 "services":[{"name":"ledger","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["key-1"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":110161,"burst":110161}]}"#;

pub fn run(run: &Run) -> Verdict {
    let addresses = Addresses::reserve();
    let store = Store::new();
    store.put("keyed.op", "config", CONFIG.as_bytes());
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let crash_path = run.trouble.then_some("/poison");
    let server = |index: usize| {
        let address = addresses.at(200 + index as u8, addresses.port + 4);
        Server::start(
            &format!("s{index}"),
            "ledger",
            "a",
            address,
            6,
            WORK,
            crash_path,
            "",
            &store,
            &seen,
        )
    };
    let _servers: Vec<_> = (0..SERVERS).map(server).collect();
    let bounds = Bounds {
        stability_ms: STABILITY_MS,
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
    thread::sleep(Duration::from_millis(STABILITY_MS));
    let stop = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = machines
        .iter()
        .enumerate()
        .map(|(index, machine)| {
            let (caller, stop) = (machine.caller, Arc::clone(&stop));
            thread::spawn(move || send_others(index, caller, &stop))
        })
        .collect();

    let start = Instant::now();
    let mut sent = BTreeMap::new();
    for attempt in 0.. {
        if start.elapsed() > LENGTH {
            break;
        }
        let machine = &machines[attempt % MACHINES];
        let id = format!("poison-{attempt}");
        let request = Request {
            method: "POST",
            path: "/pago/poison",
            id: &id,
            deadline_ms: 1000,
            body: b"amount=12",
        };
        let at = Instant::now();
        let answer = Client::new(machine.caller).send(&request);
        let status = answer.map_or(0, |answer| answer.status());
        let machine = attempt % MACHINES;
        sent.insert(
            id,
            Sent {
                at,
                machine,
                status,
            },
        );
        thread::sleep(REPEAT.saturating_sub(at.elapsed()));
    }
    stop.store(true, Ordering::SeqCst);
    let others: BTreeMap<String, Sent> = others
        .into_iter()
        .flat_map(|other| other.join().unwrap())
        .collect();
    if machines.iter_mut().any(Machine::has_ended) {
        return Verdict::NotRun("a machine's process ended");
    }
    let seen = seen.lock().unwrap();
    run.note_requests(&others, &seen);
    run.note_requests(&sent, &seen);
    let unanswered = others
        .values()
        .filter(|other| other.status == 502 || other.status == 0)
        .count();
    judge(run, &seen, &sent, others.len(), unanswered)
}

/// Other clients of the service, whose work is lost where a server crashes.
fn send_others(
    index: usize,
    caller: std::net::SocketAddr,
    stop: &AtomicBool,
) -> Vec<(String, Sent)> {
    let mut client = Client::new(caller);
    let mut answers = Vec::new();
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let id = format!("other-{index}-{number}");
        let request = Request {
            method: "POST",
            path: "/pago/one",
            id: &id,
            deadline_ms: 1000,
            body: b"amount=5",
        };
        let at = Instant::now();
        let status = client.send(&request).map_or(0, |answer| answer.status());
        let machine = index;
        answers.push((
            id,
            Sent {
                at,
                machine,
                status,
            },
        ));
        thread::sleep(Duration::from_secs(1));
    }
    answers
}

fn judge(
    run: &Run,
    seen: &[Seen],
    sent: &BTreeMap<String, Sent>,
    others: usize,
    unanswered: usize,
) -> Verdict {
    let arrived = seen
        .iter()
        .filter(|seen| seen.event == Event::Arrived && seen.request.starts_with("poison"));
    let mut arrived: Vec<_> = arrived.collect();
    arrived.sort_by_key(|seen| seen.at);
    for arrival in &arrived {
        run.note_at(
            arrival.at,
            &format!(
                "server {} begins {}{}",
                arrival.server,
                arrival.request,
                if run.trouble { " and crashes" } else { "" }
            ),
        );
    }
    run.note(&format!(
        "{others} other requests, {unanswered} of them ended with 502 or without an answer"
    ));
    if !run.trouble {
        return if arrived.len() == sent.len() {
            Verdict::Held
        } else {
            Verdict::NotRun("a harmless request did not run")
        };
    }
    let Some(third) = arrived.get(2) else {
        return Verdict::NotRun("the request crashed fewer than three servers");
    };
    let from = third.at + Duration::from_millis(STABILITY_MS);
    let late = arrived
        .iter()
        .filter(|arrival| sent[&arrival.request].at > from)
        .count();
    run.note(&format!("{late} retries reached servers later than {STABILITY_MS} ms after the third crash; allowed are {ALLOWED_RETRIES}"));
    if late > ALLOWED_RETRIES {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
