//! The processes, targets and callers of one soak.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bluebellmux_standins::server::RunningServer;
use bluebellmux_standins::store::MetadataStore;
use tokio::net::{TcpListener, TcpStream};

use super::callers::{CallerWorld, ask, run_caller};
use super::ledger::{AskEnd, AskKind, SoakLedger};
use super::plan::{PlannedFault, SoakFault, SoakSize, draw_faults};
use super::platform_fixture::{EntryVm, config_record};
use super::proxy::{FaultProxy, LinkMode};
use super::target::{PLACES, SoakTarget};

/// How soon everything is served again after the last fault, as the platform's rules demand.
const RECOVERY: Duration = Duration::from_secs(15);

/// What a soak has shown.
#[derive(Debug)]
pub(crate) struct SoakReport {
    pub(crate) asked: u64,
    pub(crate) served: usize,
    pub(crate) broken: Vec<String>,
}

/// One VM between its proxies.
struct SoakVm {
    process: tokio::sync::Mutex<EntryVm>,
    callers: FaultProxy,
    store: FaultProxy,
    /// Faults of the process that last: two of them don't meet in one process.
    busy: AtomicBool,
}

struct SoakWorld {
    store: Arc<MetadataStore>,
    _server: RunningServer,
    targets: Vec<Arc<SoakTarget>>,
    vms: Vec<SoakVm>,
    callers: Arc<CallerWorld>,
    ledger: Arc<Mutex<SoakLedger>>,
}

/// Runs one seed: faults begin during the span, all end, and everything must be served again.
pub(crate) async fn run_soak(seed: u64, size: SoakSize) -> SoakReport {
    let world = Arc::new(SoakWorld::start(size).await);
    let callers: Vec<_> = (0..size.callers)
        .map(|index| tokio::spawn(run_caller(Arc::clone(&world.callers), index)))
        .collect();
    let begin = Instant::now();
    let faults: Vec<_> = draw_faults(seed, size)
        .into_iter()
        .map(|planned| {
            let world = Arc::clone(&world);
            tokio::spawn(async move { world.play(planned, begin).await })
        })
        .collect();
    for fault in faults {
        fault.await.expect("a fault is played");
    }
    world.check_recovery().await;
    world.callers.stops.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("a caller ends");
    }
    world.check_processes().await;
    let (served, broken) = {
        let ledger = world.ledger.lock().unwrap();
        (ledger.answered(), ledger.check())
    };
    if !broken.is_empty() {
        world.keep_logs().await;
    }
    SoakReport {
        asked: world.callers.next_id.load(Ordering::Relaxed),
        served,
        broken,
    }
}

impl SoakWorld {
    async fn start(size: SoakSize) -> Self {
        let store = MetadataStore::new();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = store.start(listener).unwrap();
        publish(&store, 1);
        let ledger = Arc::new(Mutex::new(SoakLedger::default()));
        let mut targets = Vec::new();
        for index in 0..size.targets {
            let (ledger, store) = (Arc::clone(&ledger), Arc::clone(&store));
            targets.push(SoakTarget::start(index, ledger, store).await);
        }
        let mut vms = Vec::new();
        for index in 0..size.vms {
            let link = FaultProxy::start(server.address).await;
            let process = EntryVm::start(&format!("soak-{index}"), link.address);
            let front = SocketAddr::from(([127, 0, 0, 1], process.front));
            vms.push(SoakVm {
                process: tokio::sync::Mutex::new(process),
                callers: FaultProxy::start(front).await,
                store: link,
                busy: AtomicBool::new(false),
            });
        }
        for vm in &vms {
            vm.process.lock().await.wait_until_ready().await;
        }
        let callers = CallerWorld {
            ledger: Arc::clone(&ledger),
            fronts: vms.iter().map(|vm| vm.callers.address).collect(),
            key: AtomicU64::new(1),
            stops: AtomicBool::new(false),
            next_id: AtomicU64::new(0),
        };
        Self {
            store,
            _server: server,
            targets,
            vms,
            callers: Arc::new(callers),
            ledger,
        }
    }

    async fn play(&self, planned: PlannedFault, begin: Instant) {
        let PlannedFault { at, lasts, fault } = planned;
        tokio::time::sleep(at.saturating_sub(begin.elapsed())).await;
        match fault {
            SoakFault::PauseVm(vm) | SoakFault::KillVm(vm) | SoakFault::StopVm(vm) => {
                if !self.vms[vm].busy.swap(true, Ordering::SeqCst) {
                    self.play_process(vm, fault, lasts).await;
                    self.vms[vm].busy.store(false, Ordering::SeqCst);
                }
            }
            SoakFault::ReloadVm(vm) => {
                if !self.vms[vm].busy.load(Ordering::SeqCst) {
                    self.vms[vm].process.lock().await.signal("HUP");
                }
            }
            SoakFault::CallerLink(vm, mode) => harm(&self.vms[vm].callers, mode, lasts).await,
            SoakFault::StoreLink(vm, mode) => harm(&self.vms[vm].store, mode, lasts).await,
            SoakFault::TargetLink(target, mode) => {
                harm(&self.targets[target].proxy, mode, lasts).await;
            }
            SoakFault::CrashTarget(target) => {
                harm(&self.targets[target].proxy, LinkMode::Reset, lasts).await;
                self.targets[target].begin_lifetime();
            }
            SoakFault::DrainTarget(target) => {
                self.targets[target].drain();
                tokio::time::sleep(lasts).await;
                self.targets[target].begin_lifetime();
            }
            SoakFault::FailTarget(target) => {
                self.targets[target].set_fails(true);
                tokio::time::sleep(lasts).await;
                self.targets[target].set_fails(false);
            }
            SoakFault::StoreDown => {
                self.store.set_down(true);
                tokio::time::sleep(lasts).await;
                self.store.set_down(false);
            }
            SoakFault::CompactStore => self.store.compact(),
            SoakFault::RotateKey => self.rotate_key(),
        }
    }

    async fn play_process(&self, vm: usize, fault: SoakFault, lasts: Duration) {
        let mut process = self.vms[vm].process.lock().await;
        match fault {
            SoakFault::PauseVm(_) => {
                process.signal("STOP");
                tokio::time::sleep(lasts).await;
                process.signal("CONT");
            }
            SoakFault::KillVm(_) => {
                process.signal("KILL");
                process.child.wait().expect("the process has ended");
                tokio::time::sleep(lasts).await;
                process.start_again();
            }
            _ => {
                process.signal("TERM");
                while process
                    .child
                    .try_wait()
                    .expect("the process is ours")
                    .is_none()
                {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                process.start_again();
            }
        }
    }

    /// Callers get a new key, and the one before stops working.
    fn rotate_key(&self) {
        let version = self.callers.key.load(Ordering::Relaxed) + 1;
        publish(&self.store, version);
        self.ledger.lock().unwrap().note_withdrawn(version);
        self.callers.key.store(version, Ordering::Relaxed);
    }

    /// Each VM must serve each kind of request again.
    async fn check_recovery(&self) {
        let healed = Instant::now();
        for (index, vm) in self.vms.iter().enumerate() {
            for kind in [AskKind::Look, AskKind::Pay, AskKind::Stream] {
                while !self.is_served(vm.callers.address, kind).await {
                    if healed.elapsed() > RECOVERY {
                        let broken = format!("VM {index} doesn't serve {kind:?} again");
                        self.ledger.lock().unwrap().broken.push(broken);
                        break;
                    }
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }

    async fn is_served(&self, front: SocketAddr, kind: AskKind) -> bool {
        let Ok(mut stream) = TcpStream::connect(front).await else {
            return false;
        };
        let number = self.callers.next_id.fetch_add(1, Ordering::Relaxed);
        let key = self.callers.key.load(Ordering::Relaxed);
        let (end, _) = ask(&mut stream, &self.callers, kind, key, number).await;
        matches!(end, AskEnd::Answered { status: 200, .. })
    }

    async fn keep_logs(&self) {
        for vm in &self.vms {
            let mut process = vm.process.lock().await;
            process.keeps_log = true;
            println!("log: {}", process.log_path().display());
        }
    }

    async fn check_processes(&self) {
        for (index, vm) in self.vms.iter().enumerate() {
            let ended = vm.process.lock().await.child.try_wait();
            if let Some(status) = ended.expect("the process is ours") {
                let broken = format!("VM {index} ended by itself: {status}");
                self.ledger.lock().unwrap().broken.push(broken);
            }
        }
    }
}

async fn harm(link: &FaultProxy, mode: LinkMode, lasts: Duration) {
    link.set(mode);
    tokio::time::sleep(lasts).await;
    link.set(LinkMode::Sound);
}

/// Writes the configuration of a version, in which only the key of that version is valid.
fn publish(store: &MetadataStore, version: u64) {
    let key = format!("key-{version}");
    let config = config_record(version, &[&key], PLACES);
    store.put("keyed.op", "config", config.to_string().as_bytes());
}
