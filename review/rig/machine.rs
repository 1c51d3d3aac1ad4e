//! Entry VMs as separate processes, started with the command of the deploy file.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::store::{Link, Store};

/// The processes that run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the run, and all processes that it has started, if it takes too long.
pub fn end_all_after_limit() {
    thread::sleep(Duration::from_secs(115));
    for id in STARTED.lock().unwrap().iter() {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
    println!("the case took too long");
    std::process::exit(2);
}

/// Loopback addresses and ports that nothing else on this machine uses.
pub struct Addresses {
    second: u8,
    third: u8,
    pub port: u16,
}

impl Addresses {
    pub fn reserve() -> Self {
        let id = std::process::id();
        let (second, third) = (20 + (id % 200) as u8, (id / 200 % 250) as u8);
        let mut port = 20_000 + (id % 1000) as u16 * 10;
        let ip = Ipv4Addr::new(127, second, third, 1);
        let is_free = |port: u16| {
            (port..port + 8).all(|port| {
                std::net::TcpListener::bind((ip, port)).is_ok()
                    && std::net::UdpSocket::bind((ip, port)).is_ok()
            })
        };
        while !is_free(port) {
            port = if port > 29_900 { 20_000 } else { port + 10 };
        }
        Self {
            second,
            third,
            port,
        }
    }

    pub fn at(&self, last: u8, port: u16) -> SocketAddr {
        SocketAddr::new(
            IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, last)),
            port,
        )
    }
}

/// The time limits in `[bounds]` that differ between installations.
pub struct Bounds {
    pub stability_ms: u64,
    pub drain_ms: u64,
    pub config_ms: u64,
    pub retry_slack: u64,
    pub pass_ms: u64,
    pub link_mbps: f64,
}

pub struct Machine {
    pub name: String,
    pub caller: SocketAddr,
    ready: SocketAddr,
    pub link: Arc<Link>,
    settings: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

impl Machine {
    pub fn new(
        index: usize,
        zone: &str,
        addresses: &Addresses,
        bounds: &Bounds,
        store: &Arc<Store>,
        folder: &Path,
    ) -> Self {
        let last = 10 + index as u8;
        let port = addresses.port;
        let (caller, ready) = (addresses.at(last, port), addresses.at(last, port + 1));
        let link = store.link(index, addresses.at(100 + index as u8, port + 2));
        let name = format!("front-{zone}-{}", index + 1);
        let Bounds {
            stability_ms,
            drain_ms,
            config_ms,
            retry_slack,
            pass_ms,
            link_mbps,
        } = bounds;
        let text = format!(
            "nodeName = \"{name}\"\nrole = \"entry\"\nmachineClass = \"front\"\nserves = [\"front\"]\nip = \"{ip}\"\n\
             zone = \"{zone}\"\nregion = \"ec-sierra\"\nportRange = [{peers},{peers}]\nbootstrap = true\n\
             lossCounts = false\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\nheartbeatMs = 1200\n\
             [listen]\nfront = \"{caller}\"\nready = \"{ready}\"\n\
             [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4200\nlinkMbps = {link_mbps:.1}\ndiskMb = 0\n\
             [tolerate]\nmachines = 2\nzones = 1\nregions = 0\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\nstabilityWindowMs = {stability_ms}\nackMs = 4000\ncatchUpS = 4\n\
             drainMs = {drain_ms}\ngraceS = 8\nlossSlackMs = 200\nconfigMs = {config_ms}\nrollbackSlackMs = 250\n\
             maxSkewMs = 5000\nrevokeStrict = true\nrevokeMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\n\
             retrySlack = {retry_slack}\nquotaWindowS = 8\nquotaOverage = 0.1\nquotaSlack = 17000\ncoldOverage = 1.5\n\
             coldSlack = 5\nevacuateMs = 5000\nrecoverS = 12\npassMs = {pass_ms}\nretryAfterS = 0\nrequireFence = true\n\
             leaseMs = 3000\nthawMs = 300\nceilingWindowS = 5\nrateOverageFactor = 1.1\nversion_ms = 5000\n\
             [platform]\naddress = \"{store}\"\nform = \"log\"\nwritesPerS = 400\nreadsPerS = 2000\nparts = 12\n\
             appendMs = 2.0\ningressPerS = 20.0\negressPerS = 80.0\nrecordBytes = 262144\ncallBytes = 2097152\n\
             keep_s = 300\npartMb = 200\nttlMinMs = 1000\n",
            ip = caller.ip(),
            peers = port + 3,
            store = link.address,
        );
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("the settings file must be written");
        Self {
            name,
            caller,
            ready,
            link,
            settings,
            folder: folder.to_owned(),
            child: None,
        }
    }

    pub fn start(&mut self) {
        let deploy = std::fs::read_to_string("deploy/system.toml")
            .expect("run this in the repository's root");
        let line = deploy
            .lines()
            .find(|line| line.starts_with("run "))
            .expect("the deploy file has a command");
        let command = line.split('"').nth(1).expect("the command is quoted");
        let mut words = command.split(' ');
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)));
        let child = Command::new(words.next().unwrap())
            .args(words)
            .env("BLUEBELLMUX_CONFIG", &self.settings)
            .stdout(log.expect("the log must be opened"))
            .stderr(Stdio::null())
            .spawn();
        let child = child.expect("the build of the deploy file must have run");
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    /// Whether the process has ended by itself or by a signal.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            STARTED.lock().unwrap().retain(|id| *id != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        let connection = Connection::connect(self.ready, Duration::from_millis(500));
        let answer = connection
            .and_then(|mut connection| connection.exchange(request, Duration::from_millis(500)));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until the process is ready, for at most ten seconds.
    pub fn wait_until_ready(&self) -> bool {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(10) {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// One request of a client.
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub body: &'a [u8],
}

impl Request<'_> {
    fn encode(&self, fields: &str) -> Vec<u8> {
        let Request {
            method,
            path,
            id,
            deadline_ms,
            body,
        } = self;
        let length = match (*method, body.len()) {
            ("GET", 0) => String::new(),
            (_, length) => format!("Content-Length: {length}\r\n"),
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
             Authorization: Token key-1\r\n{length}{fields}\r\n"
        );
        [head.as_bytes(), body].concat()
    }
}

/// A client with a channel that is kept open.
pub struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Sends a request, on a new channel if there is none. An error closes the channel.
    pub fn send(&mut self, request: &Request<'_>) -> std::io::Result<Message> {
        self.send_with(request, "")
    }

    /// Sends a request with further header fields.
    pub fn send_with(&mut self, request: &Request<'_>, fields: &str) -> std::io::Result<Message> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::connect(self.address, Duration::from_secs(1))?,
        };
        let limit = Duration::from_millis(request.deadline_ms + 500);
        let answer = connection.exchange(&request.encode(fields), limit)?;
        let closes = answer
            .field("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        self.connection = (!closes).then_some(connection);
        Ok(answer)
    }
}
