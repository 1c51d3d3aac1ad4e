//! LIMIT: a service whose servers hold different models.

use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Message, json_field, response};
use crate::machine::{Addresses, Bounds, Client, Machine, Request};
use crate::server::HEARTBEAT;
use crate::store::Store;
use crate::{Run, Verdict};

const MACHINES: usize = 2;
/// Clients of each model at each machine.
const CLIENTS: usize = 4;
/// The model that each server holds at startup: the busy one is on several servers.
const PLACED: [&str; 3] = ["m0", "m0", "m1"];
const MODEL_MB: f64 = 42_700.0;
const WEIGHTS_MB: f64 = 45_400.0;
const LOAD_TIME: Duration = Duration::from_millis(1700);
/// How long a run of a stream takes.
const WORK: Duration = Duration::from_millis(600);
const DOWN_TIME: Duration = Duration::from_secs(2);
const LENGTH: Duration = Duration::from_secs(20);

fn config(models: &[&str]) -> String {
    let model = |name: &&str| {
        format!(
            "{{\"name\":\"{name}\",\"weightsMb\":{MODEL_MB:.1},\"loadS\":1.7,\"adapters\":3000,\"adapterMb\":66.0,\
             \"warmS\":0.44,\"diskS\":0.68}}"
        )
    };
    let models: Vec<_> = models.iter().map(model).collect();
    format!(
        r#"{{"version":1,"routes":[
 {{"name":"nota","host":"shop.example","pathPrefix":"/nota/","kind":"stream","timeoutMs":12000,"targetLatencyMs":600,"priority":1,"service":"lm","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"targetGapMs":250}}],
 "services":[{{"name":"lm","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,"coldS":3.0,"coldPerS":20.0,
 "engine":{{"slots":64,"kvCapacity":145001,"kvTokenBytes":163840,"linkMbps":1100000.0,"moves":true,"backups":true,"stride":6,"cap":12,"hostMb":140000.0,"diskMb":400000.0,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,
 "models":[{}],"weightsMb":{WEIGHTS_MB:.1},"adapterSlots":28,"loadsPerS":3.7}}}}],
 "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
 "tenants":[{{"name":"t1","apiKeys":["key-1"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":1000000,"burst":1000000}}]}}"#,
        models.join(",")
    )
}

struct Life {
    number: u64,
    id: String,
    born_ms: u128,
    reports: u64,
    orders: u64,
    is_up: bool,
    models: Vec<String>,
    loading: Option<String>,
    open: Vec<TcpStream>,
}

/// What the servers have seen: notes for the record, and the ids of requests that began and ended.
#[derive(Default)]
struct Seen {
    notes: Vec<(Instant, String)>,
    overloads: usize,
    begun: Vec<String>,
    lost: Vec<String>,
}

struct ModelServer {
    name: String,
    address: SocketAddr,
    life: Mutex<Life>,
    store: Arc<Store>,
    seen: Arc<Mutex<Seen>>,
}

impl ModelServer {
    fn start(
        index: usize,
        model: &str,
        address: SocketAddr,
        store: &Arc<Store>,
        seen: &Arc<Mutex<Seen>>,
    ) {
        let server = Arc::new(Self {
            name: format!("s{index}"),
            address,
            life: Mutex::new(Life {
                number: 0,
                id: String::new(),
                born_ms: 0,
                reports: 0,
                orders: 0,
                is_up: false,
                models: vec![model.to_owned()],
                loading: None,
                open: Vec::new(),
            }),
            store: Arc::clone(store),
            seen: Arc::clone(seen),
        });
        server.begin();
        let own = Arc::clone(&server);
        thread::spawn(move || own.accept());
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                server.report();
            }
        });
    }

    fn begin(&self) {
        {
            let mut life = self.life.lock().unwrap();
            life.number += 1;
            life.id = format!("i-{}-{}", self.name, life.number);
            life.born_ms = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap()
                .as_millis();
            (life.reports, life.orders, life.is_up, life.loading) = (0, 0, true, None);
        }
        self.report();
    }

    fn models_json(life: &Life) -> String {
        let model =
            |name: &String| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}");
        life.models.iter().map(model).collect::<Vec<_>>().join(",")
    }

    fn report(&self) {
        let mut life = self.life.lock().unwrap();
        if !life.is_up {
            return;
        }
        life.reports += 1;
        let text = format!(
            "{{\"service\":\"lm\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\
             \"coldRemainingMs\":0,\"stage\":\"colocated\",\"models\":[{}],\"sequence\":{},\"born\":{}}}",
            self.address,
            Self::models_json(&life),
            life.reports,
            life.born_ms
        );
        self.store.put("keyed.servers", &life.id, text.as_bytes());
    }

    fn accept(self: &Arc<Self>) {
        let mut listener: Option<TcpListener> = None;
        loop {
            let is_up = self.life.lock().unwrap().is_up;
            if !is_up {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
                if let Some(listener) = &listener {
                    let _ = listener.set_nonblocking(true);
                }
            }
            match listener.as_ref().map(TcpListener::accept) {
                Some(Ok((stream, _))) => {
                    let _ = stream.set_nonblocking(false);
                    let server = Arc::clone(self);
                    thread::spawn(move || server.serve(stream));
                }
                _ => thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    fn crash(self: &Arc<Self>) {
        let old = {
            let mut life = self.life.lock().unwrap();
            (life.is_up, life.models) = (false, Vec::new());
            for stream in life.open.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            life.id.clone()
        };
        let server = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(DOWN_TIME);
            server.begin();
            thread::sleep((HEARTBEAT * 3).saturating_sub(DOWN_TIME));
            server.store.put("keyed.servers", &old, b"");
        });
    }

    fn order(self: &Arc<Self>, request: &Message) -> Option<Vec<u8>> {
        let field = |name: &str| json_field(&request.body, name).unwrap_or_default();
        let (operation, model, adapter) = (field("operation"), field("model"), field("adapter"));
        let note = format!(
            "order to {}: {}",
            self.name,
            String::from_utf8_lossy(&request.body)
        );
        self.seen.lock().unwrap().notes.push((Instant::now(), note));
        let mut life = self.life.lock().unwrap();
        if field("expected")
            .parse()
            .is_ok_and(|expected: u64| expected != life.orders)
            || life.loading.is_some()
        {
            return Some(response("409 Conflict", "", b""));
        }
        if operation != "loading" || !adapter.is_empty() {
            return Some(response("400 Bad Request", "", b""));
        }
        if life.models.contains(&model) {
            return Some(response("200 OK", "", b""));
        }
        life.orders += 1;
        if (life.models.len() + 1) as f64 * MODEL_MB > WEIGHTS_MB {
            let note = format!(
                "{} holds {:?} and crashes: there is no room for {model}",
                life.id, life.models
            );
            drop(life);
            let mut seen = self.seen.lock().unwrap();
            seen.notes.push((Instant::now(), note));
            seen.overloads += 1;
            drop(seen);
            self.crash();
            return None;
        }
        life.loading = Some(model.clone());
        let (server, number) = (Arc::clone(self), life.number);
        thread::spawn(move || {
            thread::sleep(LOAD_TIME);
            let mut life = server.life.lock().unwrap();
            if life.number == number && life.is_up {
                life.loading = None;
                life.models.push(model);
            }
            drop(life);
            server.report();
        });
        Some(response("202 Accepted", "", b""))
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) {
        let number = {
            let mut life = self.life.lock().unwrap();
            if let Ok(copy) = stream.try_clone() {
                life.open.push(copy);
            }
            life.number
        };
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            let answer = self.answer(&request, number);
            let is_same = {
                let life = self.life.lock().unwrap();
                life.is_up && life.number == number
            };
            match answer {
                Some(answer) if is_same && connection.write(&answer).is_ok() => {}
                _ => {
                    let id = request.field("x-request-id").unwrap_or("").to_owned();
                    let mut seen = self.seen.lock().unwrap();
                    if seen.begun.contains(&id) {
                        seen.lost.push(id);
                    }
                    return;
                }
            }
        }
    }

    fn answer(self: &Arc<Self>, request: &Message, number: u64) -> Option<Vec<u8>> {
        let (own_id, holds, report) = {
            let life = self.life.lock().unwrap();
            if life.number != number || !life.is_up {
                return None;
            }
            let model = request.field("x-model").unwrap_or("").to_owned();
            let report = format!(
                "{{\"stage\":\"colocated\",\"models\":[{}],\"busy\":{},\"sequence\":{},\"queued\":0,\"inFlight\":0,\
                 \"kvUsed\":0,\"kvTotal\":145001,\"handles\":0,\"pending\":[]}}",
                Self::models_json(&life),
                life.loading.is_some(),
                life.orders
            );
            (life.id.clone(), life.models.contains(&model), report)
        };
        let request_id = request.field("x-request-id").unwrap_or("").to_owned();
        let refusal =
            format!("X-Instance-Id: {own_id}\r\nX-Not-Run: 1\r\nX-Request-Id: {request_id}\r\n");
        if request
            .field("x-expect-instance")
            .is_some_and(|expected| expected != own_id)
        {
            return Some(response("421 Misdirected Request", &refusal, b""));
        }
        if request.target() == "/api/report" {
            return Some(response(
                "200 OK",
                "Content-Type: application/json\r\n",
                report.as_bytes(),
            ));
        }
        if request.target() == "/api/order" {
            return self.order(request);
        }
        if !holds {
            return Some(response("421 Misdirected Request", &refusal, b""));
        }
        self.seen.lock().unwrap().begun.push(request_id.clone());
        thread::sleep(WORK);
        let fields = format!(
            "Content-Type: text/event-stream\r\nX-Request-Id: {request_id}\r\nX-Server-Seal: seal.{request_id}\r\n"
        );
        Some(response("200 OK", &fields, b"id: 1\ndata: done\n\n"))
    }
}

pub fn run(run: &Run) -> Verdict {
    let addresses = Addresses::reserve();
    let store = Store::new();
    let models: &[&str] = if run.trouble { &["m0", "m1"] } else { &["m0"] };
    store.put("keyed.op", "config", config(models).as_bytes());
    let seen: Arc<Mutex<Seen>> = Arc::default();
    for (index, model) in PLACED.iter().enumerate() {
        let model = if run.trouble { model } else { "m0" };
        ModelServer::start(
            index,
            model,
            addresses.at(200 + index as u8, addresses.port + 4),
            &store,
            &seen,
        );
    }
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
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (index, machine) in machines.iter().enumerate() {
        for (client, model) in models
            .iter()
            .cycle()
            .take(models.len() * CLIENTS)
            .enumerate()
        {
            let (caller, stop, model) = (machine.caller, Arc::clone(&stop), (*model).to_owned());
            clients.push(thread::spawn(move || {
                send(index * 100 + client, &model, caller, &stop)
            }));
        }
    }
    thread::sleep(LENGTH);
    stop.store(true, Ordering::SeqCst);
    let answers: Vec<(Instant, String, String, u16)> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    if machines.iter_mut().any(Machine::has_ended) {
        return Verdict::NotRun("a machine's process ended");
    }
    let seen = seen.lock().unwrap();
    for (at, note) in &seen.notes {
        run.note_at(*at, note);
    }
    let mut by_status: BTreeMap<(&str, u16), usize> = BTreeMap::new();
    for (at, id, model, status) in &answers {
        let outcome = if seen.lost.contains(id) {
            "lost in the server's crash"
        } else if seen.begun.contains(id) {
            "run"
        } else {
            "not run"
        };
        run.note_at(*at, &format!("{id} for {model}: {status}, {outcome}"));
        *by_status.entry((model, *status)).or_default() += 1;
    }
    for ((model, status), count) in by_status {
        run.note(&format!("{count} requests for {model} ended with {status}"));
    }
    run.note(&format!(
        "{} requests were lost in a server's crash",
        seen.lost.len()
    ));
    run.note(&format!(
        "{} orders asked for more than weightsMb holds",
        seen.overloads
    ));
    if answers.len() < 20 {
        return Verdict::NotRun("too few requests were sent");
    }
    if seen.overloads > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn send(
    client: usize,
    model: &str,
    caller: SocketAddr,
    stop: &AtomicBool,
) -> Vec<(Instant, String, String, u16)> {
    let mut channel = Client::new(caller);
    let mut answers = Vec::new();
    // The clients don't send at the same moments.
    thread::sleep(Duration::from_millis(90) * (client % 100) as u32);
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let id = format!("r-{client}-{model}-{number}");
        let request = Request {
            method: "POST",
            path: "/nota/1",
            id: &id,
            deadline_ms: 12_000,
            body: b"prompt",
        };
        let at = Instant::now();
        let status = channel
            .send_with(&request, &format!("X-Model: {model}\r\n"))
            .map_or(0, |answer| answer.status());
        answers.push((at, id, model.to_owned(), status));
        thread::sleep(Duration::from_millis(100));
    }
    answers
}
