//! A test cluster on loopback: a stand-in for the platform's store, one model target and entry VMs
//! as separate processes.

#![allow(dead_code, reason = "each test file uses a part of the fixture")]

mod cold;
pub(crate) mod control;
pub(crate) mod further;
mod ports;
pub(crate) mod repeated_answers;
pub(crate) mod repeated_refusals;
pub(crate) mod target;

use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bluebellmux_standins::server::RunningServer;
use bluebellmux_standins::store::MetadataStore;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use ports::{BLOCKS, free_port};
use target::serve_target;
pub(crate) use target::{TargetMode, TargetState};

/// The limit of every wait for an expected event, long enough for a busy machine.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// A store and one target of the model service "llm". Entry VMs are added with
/// [`Self::start_entry_vm`].
pub(crate) struct TestCluster {
    pub(crate) store: Arc<MetadataStore>,
    _server: RunningServer,
    pub(crate) store_address: SocketAddr,
    pub(crate) target: Arc<Mutex<TargetState>>,
    pub(crate) target_address: SocketAddr,
    serving: tokio::task::JoinHandle<()>,
}

impl TestCluster {
    pub(crate) async fn start() -> Self {
        let store = MetadataStore::new();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = store.start(listener).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target_address = listener.local_addr().unwrap();
        let state = TargetState::new(TargetMode::Healthy);
        let target = Arc::new(Mutex::new(state));
        let serving = tokio::spawn(serve_target(listener, Arc::clone(&target)));
        let cluster = Self {
            store,
            store_address: server.address,
            _server: server,
            target,
            target_address,
            serving,
        };
        cluster.publish(1, &["key-1"]);
        cluster.report_target("ready", 1);
        cluster
    }

    pub(crate) fn publish(&self, version: u64, keys: &[&str]) {
        let config = config_record(version, keys, 2);
        self.store
            .put("keyed.op", "config", config.to_string().as_bytes());
    }

    /// Publishes a configuration with another limit on callers' bodies.
    pub(crate) fn publish_body_limit(&self, version: u64, max_body_bytes: usize) {
        let mut config = config_record(version, &["key-1"], 2);
        config["limits"]["maxBodyBytes"] = max_body_bytes.into();
        self.store
            .put("keyed.op", "config", config.to_string().as_bytes());
    }

    pub(crate) fn report_target(&self, state: &str, sequence: u64) {
        self.report_cold_target(state, sequence, Duration::ZERO);
    }

    /// Starts an entry VM and waits until it is ready.
    pub(crate) async fn start_entry_vm(&self, name: &str) -> EntryVm {
        let vm = EntryVm::start(name, self.store_address);
        vm.wait_until_ready().await;
        vm
    }

    /// Starts many entry VMs, with `drain_ms` as the time in which they must know that a target
    /// leaves, and waits until they are ready.
    pub(crate) async fn start_fleet(&self, count: usize, drain_ms: u64) -> Vec<EntryVm> {
        let name = |index: usize| format!("vm-{index}");
        let vms = (0..count).map(|i| EntryVm::start_with(&name(i), self.store_address, drain_ms));
        let vms: Vec<_> = vms.collect();
        for vm in &vms {
            vm.wait_until_ready().await;
        }
        vms
    }

    pub(crate) fn runs(&self) -> Vec<String> {
        self.target.lock().unwrap().runs.clone()
    }

    pub(crate) fn arrivals(&self) -> usize {
        self.target.lock().unwrap().arrivals
    }

    /// Makes the target refuse new connections.
    pub(crate) fn stop_target(&self) {
        self.serving.abort();
    }

    pub(crate) fn set_mode(&self, mode: TargetMode) {
        self.target.lock().unwrap().mode = mode;
    }
}

/// An entry VM's process, which is killed when this value is dropped.
pub(crate) struct EntryVm {
    pub(crate) child: Child,
    pub(crate) caller_port: u16,
    ready_port: u16,
    pub(crate) metrics_port: u16,
    settings_path: PathBuf,
    program: PathBuf,
    /// Whether the log file is kept after the process ends, to find the cause of a failure.
    pub(crate) keeps_log: bool,
}

impl Drop for EntryVm {
    fn drop(&mut self) {
        // The process may have ended already, so errors are ignored.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings_path);
        if !self.keeps_log && !std::thread::panicking() {
            let _ = std::fs::remove_file(self.settings_path.with_extension("log"));
        }
    }
}

/// A configuration with a model service "llm" whose targets hold up to `adapter_slots` adapters.
pub(crate) fn config_record(
    version: u64,
    keys: &[&str],
    adapter_slots: usize,
) -> serde_json::Value {
    let route = |name: &str, kind: &str, resumable: bool| {
        serde_json::json!({"name": name, "host": "h.example", "pathPrefix": format!("/{name}/"),
            "kind": kind, "timeoutMs": 4000, "targetLatencyMs": 600, "service": "llm",
            "maxAttempts": 2, "resumable": resumable, "targetGapMs": 250})
    };
    let mut open = route("open", "safe", false);
    open["public"] = true.into();
    let engine = serde_json::json!({"models": [{"name": "m", "weightsMb": 10.0, "adapterMb": 1.0}],
        "weightsMb": 100.0, "adapterSlots": adapter_slots});
    serde_json::json!({"version": version,
        "routes": [route("stream", "stream", true), route("pay", "unsafe", false),
            route("look", "safe", false), route("feed", "stream", false), open],
        "services": [{"name": "llm", "maxConnections": 400, "engine": engine}],
        "limits": {"maxHeaderBytes": 4096, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 9000},
        "tenants": [{"name": "shop", "apiKeys": keys, "unit": "tokens", "plainTokens": 10,
            "ratePerS": 100_000, "burst": 100_000}]})
}

/// Starts an entry VM's process, which appends its log to a file next to its settings.
fn spawn(program: &Path, path: &Path, metrics: u16) -> Child {
    let mut options = OpenOptions::new();
    let log = options.create(true).append(true);
    let log = log.open(path.with_extension("log")).unwrap();
    let _no_port_is_tried = BLOCKS.lock().unwrap();
    Command::new(program)
        .args(["entry", "--metrics-port", &metrics.to_string()])
        .arg("--settings")
        .arg(path)
        .stdout(log)
        // A stopped process gets SIGHUP if its group becomes orphaned, as when the shell that runs
        // the tests ends.
        .process_group(0)
        .spawn()
        .unwrap()
}

/// A response as the caller received it.
#[derive(Debug)]
pub(crate) struct CallerResponse {
    pub(crate) status: u16,
    pub(crate) text: String,
}

impl EntryVm {
    /// Starts the process on free ports without waiting until it is ready.
    pub(crate) fn start(name: &str, store: SocketAddr) -> Self {
        Self::start_with(name, store, 2000)
    }

    pub(crate) fn start_with(name: &str, store: SocketAddr, drain_ms: u64) -> Self {
        Self::start_edited(name, store, drain_ms, |settings| settings)
    }

    /// Starts the process with settings that `edit` has changed.
    pub(crate) fn start_edited(
        name: &str,
        store: SocketAddr,
        drain_ms: u64,
        edit: impl Fn(String) -> String,
    ) -> Self {
        let more = format!("leaseMs = 400\ndrainMs = {drain_ms}\n");
        Self::start_configured(name, store, &more, edit, Self::current_program())
    }

    /// Starts the process with further lines in the settings' table of limits.
    pub(crate) fn start_with_limits(name: &str, store: SocketAddr, limits: &str) -> Self {
        Self::start_edited(name, store, 2000, |settings| {
            settings.replace("[limits]\n", &format!("[limits]\n{limits}"))
        })
    }

    /// The program under test.
    pub(crate) fn current_program() -> PathBuf {
        env!("CARGO_BIN_EXE_bluebellmux").into()
    }

    /// Starts a process of another program in the same way as [`Self::start`].
    pub(crate) fn start_program(name: &str, store: SocketAddr, program: PathBuf) -> Self {
        let more = "leaseMs = 400\ndrainMs = 2000\n";
        Self::start_configured(name, store, more, |settings| settings, program)
    }

    /// Starts the process with `more` at the end of the settings, which begins with bounds and must
    /// state `leaseMs` and `drainMs`.
    pub(crate) fn start_with_settings(name: &str, store: SocketAddr, more: &str) -> Self {
        let program = Self::current_program();
        Self::start_configured(name, store, more, |settings| settings, program)
    }

    fn start_configured(
        name: &str,
        store: SocketAddr,
        more: &str,
        edit: impl Fn(String) -> String,
        program: PathBuf,
    ) -> Self {
        let (front, ready, peers) = (free_port(), free_port(), free_port());
        let metrics = free_port();
        let settings = format!(
            "nodeName = \"{name}\"\nip = \"127.0.0.1\"\nzone = \"a\"\nportRange = [{peers}, {peers}]\n\
             unknownField = 1\n\
             [listen]\nfront = \"127.0.0.1:{front}\"\nready = \"127.0.0.1:{ready}\"\n\
             [limits]\nlinkMbps = 10.0\n\
             [platform]\naddress = \"{store}\"\nparts = 12\nttlMinMs = 1000\n\
             [bounds]\ngraceS = 4\nrevokeMs = 3000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\n\
             retrySlack = 52\nconfigMs = 2000\npassMs = 120\nversion_ms = 2000\n{more}",
        );
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{front}.toml"));
        std::fs::write(&path, edit(settings)).unwrap();
        // A test that failed before may have left the log of a process with the same name and port.
        let _ = std::fs::remove_file(path.with_extension("log"));
        Self {
            child: spawn(&program, &path, metrics),
            caller_port: front,
            ready_port: ready,
            metrics_port: metrics,
            settings_path: path,
            program,
            keeps_log: false,
        }
    }

    pub(crate) fn log_path(&self) -> PathBuf {
        self.settings_path.with_extension("log")
    }

    /// Starts the process again with the same settings, after it has ended.
    pub(crate) fn restart(&mut self) {
        self.child = spawn(&self.program, &self.settings_path, self.metrics_port);
    }

    /// Sets the program of the next start.
    pub(crate) fn set_program(&mut self, program: PathBuf) {
        self.program = program;
    }

    /// Sends a signal by the name that the `kill` command uses.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(sent.expect("the kill command must run").success());
    }

    /// The largest resident memory of the process so far, in kilobytes.
    pub(crate) fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        line.unwrap()
            .trim()
            .trim_end_matches(" kB")
            .parse()
            .unwrap()
    }

    pub(crate) async fn wait_until_ready(&self) {
        let start = Instant::now();
        while self.ready_status().await != 200 {
            let log = self.log_path();
            assert!(
                start.elapsed() < WAIT_LIMIT,
                "the entry VM did not become ready, see {}",
                log.display()
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    pub(crate) async fn ready_status(&self) -> u16 {
        let text = "GET /api/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        match exchange(self.ready_port, text, b"\r\n\r\n").await {
            Ok(text) => status_of(&text),
            Err(_) => 0,
        }
    }

    /// The lines that the process has logged so far.
    pub(crate) fn log_lines(&self) -> Vec<serde_json::Value> {
        let text = std::fs::read_to_string(self.log_path()).unwrap_or_default();
        let lines = text.lines().map(serde_json::from_str);
        lines.filter_map(Result::ok).collect()
    }

    /// The value of one of the process's metrics without labels.
    pub(crate) async fn metric(&self, name: &str) -> u64 {
        let text = "GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n";
        let text = exchange(self.metrics_port, text, b"# EOF\n").await.unwrap();
        let mut values = text
            .lines()
            .filter_map(|line| line.strip_prefix(name)?.trim().parse().ok());
        values.next().expect("the metric must be served")
    }

    /// Sends one request on a new connection and reads until the connection is closed.
    pub(crate) async fn send(&self, path: &str, id: &str, headers: &str) -> CallerResponse {
        self.send_raw(&request_text(path, id, headers)).await
    }

    pub(crate) async fn send_raw(&self, text: &str) -> CallerResponse {
        let text = exchange(self.caller_port, text, b"").await.unwrap();
        CallerResponse {
            status: status_of(&text),
            text,
        }
    }

    /// Repeats a request, each time with a new id, until a response has the status `status`.
    pub(crate) async fn send_until(
        &self,
        path: &str,
        headers: &str,
        status: u16,
    ) -> CallerResponse {
        let start = Instant::now();
        for attempt in 0.. {
            let response = self.send(path, &format!("try-{attempt}"), headers).await;
            if response.status == status {
                return response;
            }
            assert!(
                start.elapsed() < WAIT_LIMIT,
                "no response with status {status} in time; the last was {response:?}"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        unreachable!("the loop ends only by returning or by a failed assertion")
    }
}

/// Sends one request to a VM that may have ended. Returns `None` if it can't be reached.
pub(crate) async fn try_send(
    port: u16,
    path: &str,
    id: &str,
    headers: &str,
) -> Option<CallerResponse> {
    let text = exchange(port, &request_text(path, id, headers), b"")
        .await
        .ok()?;
    let status = status_of(&text);
    Some(CallerResponse { status, text })
}

fn request_text(path: &str, id: &str, headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nConnection: close\r\n\
         Content-Length: 4\r\n{headers}\r\nbody"
    )
}

fn status_of(text: &str) -> u16 {
    text.split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0)
}

/// Sends `text` and reads until the connection is closed or, if `end` is not empty, the received
/// bytes end with it.
async fn exchange(port: u16, text: &str, end: &[u8]) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(("127.0.0.1", port)).await?;
    stream.write_all(text.as_bytes()).await?;
    let mut bytes = Vec::new();
    let reading = async {
        while end.is_empty() || !bytes.ends_with(end) {
            match stream.read_buf(&mut bytes).await {
                Ok(1..) => {}
                _ => break,
            }
        }
    };
    tokio::time::timeout(WAIT_LIMIT, reading)
        .await
        .expect("the response must end within the time limit");
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Reads the head and the body of one request.
pub(crate) async fn read_request(
    stream: &mut (impl AsyncRead + Unpin),
    bytes: &mut Vec<u8>,
) -> Option<(String, Vec<u8>)> {
    let head_end = loop {
        if let Some(at) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            break at + 4;
        }
        let Ok(1..) = stream.read_buf(bytes).await else {
            return None;
        };
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let length = header(&head, "content-length").and_then(|text| text.parse().ok());
    let end = head_end + length.unwrap_or(0);
    while bytes.len() < end {
        let Ok(1..) = stream.read_buf(bytes).await else {
            return None;
        };
    }
    let body = bytes.drain(..end).skip(head_end).collect();
    Some((head, body))
}

pub(crate) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.lines().filter_map(|line| line.split_once(": "));
    let mut values = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    values.next().map(|(_, value)| value)
}
