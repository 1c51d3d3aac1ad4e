//! Stand-ins for the scripts of this review, with the standard library alone: the platform's store,
//! a launcher of entry VMs, and HTTP/1.1 helpers. All addresses are loopback addresses.

#![allow(dead_code, reason = "each case uses a part")]

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption of the case takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Writes what happened to `record.txt` in the folder of the case.
pub struct Record {
    file: Mutex<fs::File>,
    start: Instant,
}

impl Record {
    pub fn new() -> Arc<Self> {
        let path = std::env::args().nth(1).expect("the path of record.txt is given");
        let file = Mutex::new(fs::File::create(path).expect("record.txt can be written"));
        Arc::new(Self { file, start: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }

    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:8.3} {text}", self.start.elapsed().as_secs_f64());
    }
}

/// The head and the body of a message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
    }
}

/// Reads a head; what follows it stays in `buffer`.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    loop {
        if let Some(end) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            let mut lines = text.split("\r\n");
            let first = lines.next()?.to_owned();
            let fields = lines.filter_map(|line| line.split_once(':'));
            let fields = fields.map(|(k, v)| (k.trim().to_owned(), v.trim().to_owned())).collect();
            return Some(Message { first, fields, body: Vec::new() });
        }
        fill(stream, buffer)?;
    }
}

pub fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 16384];
    match stream.read(&mut part) {
        Ok(count) if count > 0 => buffer.extend_from_slice(&part[..count]),
        _ => return None,
    }
    Some(())
}

/// Reads a whole message whose body has a length or chunks.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let mut message = read_head(stream, buffer)?;
    if message.field("transfer-encoding").is_some() {
        loop {
            match read_chunk(stream, buffer)? {
                part if part.is_empty() => return Some(message),
                part => message.body.extend(part),
            }
        }
    }
    let length = message.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        fill(stream, buffer)?;
    }
    message.body = buffer.drain(..length).collect();
    Some(message)
}

/// Reads one chunk; the last one is empty.
pub fn read_chunk(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Vec<u8>> {
    let end = loop {
        match buffer.windows(2).position(|part| part == b"\r\n") {
            Some(end) => break end,
            None => fill(stream, buffer)?,
        }
    };
    let size = usize::from_str_radix(std::str::from_utf8(&buffer[..end]).ok()?, 16).ok()?;
    while buffer.len() < end + 2 + size + 2 {
        fill(stream, buffer)?;
    }
    let part = buffer[end + 2..end + 2 + size].to_vec();
    buffer.drain(..end + 2 + size + 2);
    Some(part)
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let sign = SIGNS[(bits >> (18 - 6 * i) & 63) as usize] as char;
            text.push(if i <= chunk.len() { sign } else { '=' });
        }
    }
    text
}

/// The text of a string or number field of a flat JSON body.
fn json_value(body: &str, name: &str) -> String {
    let Some(at) = body.find(&format!("\"{name}\":")) else {
        return String::new();
    };
    let rest = &body[at + name.len() + 3..];
    let rest = rest.trim_start().trim_start_matches('"');
    rest.chars().take_while(|sign| !"\",}]".contains(*sign)).collect()
}

#[derive(Default)]
struct StoreState {
    topics: HashMap<String, Vec<(String, Vec<u8>)>>,
    members: Vec<(String, Instant)>,
    generation: u64,
}

/// The platform's store. It serves at several addresses, so that a machine can be partitioned from it.
#[derive(Default)]
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

/// A way to the store. While it is cut, calls are neither executed nor answered.
pub struct StoreWay {
    pub address: SocketAddr,
    pub cut: Arc<AtomicBool>,
}

impl Store {
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        drop(state);
        self.changed.notify_all();
    }

    pub fn open(self: &Arc<Self>, ip: &str) -> StoreWay {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().unwrap();
        let cut = Arc::new(AtomicBool::new(false));
        let (store, flag) = (Arc::clone(self), Arc::clone(&cut));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, flag) = (Arc::clone(&store), Arc::clone(&flag));
                thread::spawn(move || store.serve(stream, &flag));
            }
        });
        StoreWay { address, cut }
    }

    fn serve(&self, mut stream: TcpStream, cut: &AtomicBool) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(call) = read_message(&mut stream, &mut buffer) {
            if cut.load(Ordering::SeqCst) {
                // The partition holds the call up until its sender has given up.
                while cut.load(Ordering::SeqCst) {
                    sleep_ms(20);
                }
                return;
            }
            let (status, body) = self.answer(&call);
            if cut.load(Ordering::SeqCst) {
                return;
            }
            let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
            let mut bytes = head.into_bytes();
            bytes.extend(body);
            if stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, Vec<u8>) {
        let topic = call.query("topic").unwrap_or_default();
        let path = call.target().split('?').next().unwrap_or("");
        let body = String::from_utf8_lossy(&call.body).into_owned();
        match path {
            "/api/log-read" => {
                let number = |name| call.query(name).and_then(|text| text.parse().ok());
                self.read(&topic, number("from").unwrap_or(0), number("waitMs").unwrap_or(0))
            }
            "/api/log-newest" => (200, self.newest(&topic)),
            "/api/log-append" => self.append(&topic, call),
            "/api/log-join" => (200, self.join(&body)),
            "/api/log-leave" => {
                let mut state = self.state.lock().unwrap();
                let member = json_value(&body, "member");
                state.members.retain(|(name, _)| *name != member);
                state.generation += 1;
                (200, b"{}".to_vec())
            }
            _ => (404, Vec::new()),
        }
    }

    fn read(&self, topic: &str, from: u64, wait_ms: u64) -> (u16, Vec<u8>) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() as u64 > from || left.is_zero() {
                let mut body = Vec::new();
                body.extend((records.len() as u64).to_be_bytes());
                body.extend(0u64.to_be_bytes());
                for (key, value) in records.iter().skip(from as usize) {
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return (200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let state = self.state.lock().unwrap();
        let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items = newest.into_iter().filter(|(_, (_, value))| !value.is_empty());
        let items = items.map(|(key, (offset, value))| {
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        });
        let items: Vec<_> = items.collect();
        let end = records.len();
        format!("{{\"items\":[{}],\"hasMore\":false,\"end\":{end}}}", items.join(",")).into_bytes()
    }

    fn append(&self, topic: &str, call: &Message) -> (u16, Vec<u8>) {
        let mut state = self.state.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        if call.query("at").is_some_and(|at| at != offset.to_string()) {
            return (412, format!("{{\"end\":{offset}}}").into_bytes());
        }
        let mut rest = &call.body[..];
        while rest.len() >= 5 {
            let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
            let (record, key) = (&rest[4..4 + length], rest[4] as usize);
            let text = String::from_utf8_lossy(&record[1..1 + key]).into_owned();
            records.push((text, record[1 + key..].to_vec()));
            rest = &rest[4 + length..];
        }
        let end = records.len();
        drop(state);
        self.changed.notify_all();
        (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
    }

    fn join(&self, body: &str) -> Vec<u8> {
        const PARTS: usize = 12;
        let (member, topic) = (json_value(body, "member"), "owners");
        let ttl: u64 = json_value(body, "ttlMs").parse().unwrap_or(1000);
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let before = state.members.len();
        state.members.retain(|(name, until)| *until > now || *name == member);
        let mut changed = state.members.len() != before;
        if !state.members.iter().any(|(name, _)| *name == member) {
            state.members.push((member.clone(), now));
            changed = true;
        }
        state.generation += u64::from(changed);
        let index = state.members.iter().position(|(name, _)| *name == member).unwrap();
        state.members[index].1 = now + Duration::from_millis(ttl);
        let count = state.members.len();
        let parts = (0..PARTS).filter(|part| part % count == index);
        let parts: Vec<_> = parts.map(|part| format!("[\"{topic}\",{part},0]")).collect();
        let generation = state.generation;
        format!("{{\"generation\":{generation},\"ttlMs\":{ttl},\"parts\":[{}]}}", parts.join(","))
            .into_bytes()
    }
}

/// A block of loopback addresses that no other run uses, and a temporary folder.
pub struct Place {
    pub block: String,
    pub folder: PathBuf,
    _guard: TcpListener,
}

impl Place {
    pub fn new() -> Self {
        let mut seed = unix_ms() ^ u64::from(std::process::id()) << 20;
        loop {
            seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let block = format!("127.{}.{}", 16 + (seed >> 40) % 200, (seed >> 50) % 250);
            if let Ok(guard) = TcpListener::bind((format!("{block}.1"), 9464)) {
                let name = format!("review-2-{}-{}", std::process::id(), seed >> 48);
                let folder = std::env::temp_dir().join(name);
                fs::create_dir_all(&folder).expect("a temporary folder");
                return Self { block, folder, _guard: guard };
            }
        }
    }

    pub fn ip(&self, number: usize) -> String {
        format!("{}.{number}", self.block)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The bounds of the settings that `fleetbench wire` shows for a small site.
const SETTINGS: &str = r#"
role = "entry"
machineClass = "front"
serves = ["front"]
region = "ec-sierra"
portRange = [7600, 7615]
seeds = []
lossCounts = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","tenants","quota","places","platform"]
[zones]
quito-norte = "ec-sierra"
quito-sur = "ec-sierra"
valle-chillos = "ec-sierra"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stabilityWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
revokeStrict = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retrySlack = 52
quotaWindowS = 8
quotaOverage = 0.1
quotaSlack = 17000
coldOverage = 1.5
coldSlack = 5
evacuateMs = 5000
recoverS = 12
passMs = 120
retryAfterS = 0
requireFence = true
leaseMs = 3000
thawMs = 300
ceilingWindowS = 5
rateOverageFactor = 1.1
version_ms = 5000
"#;

const ZONES: [&str; 3] = ["quito-norte", "quito-sur", "valle-chillos"];

pub fn zone(number: usize) -> &'static str {
    ZONES[number % ZONES.len()]
}

/// An entry VM: the command of the deploy file as a process of its own.
pub struct EntryVm {
    child: Child,
    pub ip: String,
    pub front: String,
    ready: String,
    log: PathBuf,
    settings: PathBuf,
}

impl EntryVm {
    /// Starts the VM with this number, from 0 on. The current folder is the repository's root.
    pub fn start(place: &Place, number: usize, store: SocketAddr) -> Self {
        let ip = place.ip(10 + number);
        let name = format!("front-{}-{number}", zone(number));
        let mut text = format!("nodeName = \"{name}\"\nip = \"{ip}\"\nzone = \"{}\"\n", zone(number));
        text += "bootstrap = true\n";
        text += SETTINGS;
        text += &format!(
            "[listen]\nfront = \"{ip}:8221\"\nready = \"{ip}:8224\"\ncontrol = \"{ip}:8229\"\n\
             [platform]\naddress = \"{store}\"\nform = \"log\"\nwritesPerS = 400\nreadsPerS = 2000\n\
             parts = 12\nappendMs = 2.0\ningressPerS = 20.0\negressPerS = 80.0\nrecordBytes = 262144\n\
             callBytes = 2097152\nkeep_s = 300\npartMb = 200\nttlMinMs = 1000\n"
        );
        let path = place.folder.join(format!("{name}.toml"));
        fs::write(&path, text).expect("the settings can be written");
        let log = place.folder.join(format!("{name}.log"));
        let child = Self::spawn(&path, &log);
        let (front, ready) = (format!("{ip}:8221"), format!("{ip}:8224"));
        Self { child, ip, front, ready, log, settings: path }
    }

    fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
        let output = fs::OpenOptions::new().create(true).append(true).open(log);
        let output = output.expect("the log can be written");
        Command::new("target/release/bluebellmux")
            .args(["entry", "--metrics-port", "9464"])
            .env("BLUEBELLMUX_CONFIG", settings)
            .stdin(Stdio::null())
            .stderr(output.try_clone().unwrap())
            .stdout(output)
            .spawn()
            .unwrap_or_else(|error| give_up(&format!("the program doesn't start: {error}")))
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args(["-TERM", &id]).status();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills the process and starts it again, as the platform does with one that exceeds its memory.
    pub fn kill_and_restart(&mut self) {
        self.kill();
        let text = fs::read_to_string(&self.settings).unwrap_or_default();
        let text = text.replace("bootstrap = true", "bootstrap = false");
        fs::write(&self.settings, text).expect("the settings can be written");
        self.child = Self::spawn(&self.settings, &self.log);
    }

    pub fn is_ready(&self) -> bool {
        let call = "GET /api/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        let Ok(mut stream) = TcpStream::connect(&self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let sent = stream.write_all(call.as_bytes()).is_ok();
        sent && read_head(&mut stream, &mut Vec::new()).is_some_and(|head| head.status() == 200)
    }

    pub fn wait_until_ready(&self) {
        let started = Instant::now();
        while !self.is_ready() {
            if started.elapsed() > Duration::from_secs(15) {
                give_up("a VM does not become ready");
            }
            sleep_ms(50);
        }
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// The resident memory in kilobytes, and whether the process still runs.
    pub fn memory_kb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for EntryVm {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Ends the script with the code for a case that couldn't run. Unwinds, so that all processes end.
pub fn give_up(reason: &str) -> ! {
    println!("the case can't run: {reason}");
    std::panic::panic_any(2i32)
}

/// Runs the case and exits with 1 if the rule was broken, 0 if it held, and 2 if it couldn't run.
pub fn run_case(case: impl FnOnce() -> bool + std::panic::UnwindSafe) -> ! {
    let code = match std::panic::catch_unwind(case) {
        Ok(broken) => i32::from(broken),
        Err(_) => 2,
    };
    std::process::exit(code)
}

pub static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// A stand-in of a server, which can be ended and started again at the same address.
pub struct Server<S: Send + 'static> {
    pub name: String,
    pub address: SocketAddr,
    pub state: Arc<Mutex<S>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    running: Arc<AtomicBool>,
}

impl<S: Send + 'static> Server<S> {
    /// `serve` handles one connection until it ends.
    pub fn start(
        name: &str,
        address: &str,
        state: S,
        serve: fn(TcpStream, Arc<Mutex<S>>),
    ) -> Self {
        let listener = TcpListener::bind(address).expect("the address is free");
        let server = Self {
            name: name.to_owned(),
            address: listener.local_addr().unwrap(),
            state: Arc::new(Mutex::new(state)),
            open: Arc::default(),
            running: Arc::new(AtomicBool::new(true)),
        };
        server.listen(listener, serve);
        server
    }

    fn listen(&self, listener: TcpListener, serve: fn(TcpStream, Arc<Mutex<S>>)) {
        let (state, open) = (Arc::clone(&self.state), Arc::clone(&self.open));
        let running = Arc::clone(&self.running);
        listener.set_nonblocking(true).unwrap();
        thread::spawn(move || {
            while running.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep_ms(1);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                open.lock().unwrap().push(stream.try_clone().unwrap());
                let state = Arc::clone(&state);
                thread::spawn(move || serve(stream, state));
            }
        });
    }

    /// Ends the process: no connection is accepted, and all open ones end.
    pub fn stop(&self) {
        self.running.store(false, Ordering::SeqCst);
        sleep_ms(10);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Starts a new process at the same address.
    pub fn restart(&self, serve: fn(TcpStream, Arc<Mutex<S>>)) {
        for _ in 0..200 {
            if let Ok(listener) = TcpListener::bind(self.address) {
                self.running.store(true, Ordering::SeqCst);
                return self.listen(listener, serve);
            }
            sleep_ms(10);
        }
        give_up("a server's address is not free");
    }
}
