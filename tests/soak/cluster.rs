//! The cluster of one soak: its entry VMs, targets, store and callers, and the injection of faults.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bluebellmux_standins::server::RunningServer;
use bluebellmux_standins::store::MetadataStore;
use tokio::net::{TcpListener, TcpStream};

use super::callers::{CallerContext, CallerRequest, run_caller, send_request};
use super::faults::{PlannedFault, SoakFault, SoakSize, generate_faults};
use super::history::{FaultyLink, RequestKind, RequestOutcome, SoakHistory};
use super::platform_fixture::{EntryVm, config_record};
use super::proxy::{FaultProxy, LinkMode};
use super::target::{ADAPTER_SLOTS, SoakTarget};
use super::upgrade::{SoakUpgrade, generate_replacements};

/// How soon after the last fault all requests must be served again, by the platform's rules.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

/// How often the replacement of a VM checks whether another fault of its process has ended.
const REPLACE_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The result of a soak.
#[derive(Debug)]
pub(crate) struct SoakReport {
    pub(crate) sent: u64,
    /// The sendings of requests that had been sent before.
    pub(crate) sent_again: u64,
    pub(crate) served: usize,
    pub(crate) violations: Vec<String>,
}

/// An entry VM with the proxies on its links to callers and to the store.
struct SoakVm {
    process: tokio::sync::Mutex<EntryVm>,
    caller_link: FaultProxy,
    store_link: FaultProxy,
    /// Set during a fault of the process, so that two such faults don't overlap in one VM.
    process_fault: AtomicBool,
}

struct SoakCluster {
    store: Arc<MetadataStore>,
    /// Locked while the operator writes to the store.
    operator: Mutex<()>,
    _server: RunningServer,
    targets: Vec<Arc<SoakTarget>>,
    vms: Vec<SoakVm>,
    context: Arc<CallerContext>,
    history: Arc<Mutex<SoakHistory>>,
    upgrade: Option<SoakUpgrade>,
}

/// Runs the soak of one seed: injects its faults and, after all of them have ended, requires that
/// all requests are served again.
pub(crate) async fn run_soak(
    seed: u64,
    size: SoakSize,
    upgrade: Option<SoakUpgrade>,
) -> SoakReport {
    let mut faults = generate_faults(seed, size);
    if upgrade.is_some() {
        faults.extend(generate_replacements(seed, size));
    }
    let cluster = Arc::new(SoakCluster::start(size, upgrade).await);
    let callers: Vec<_> = (0..size.callers)
        .map(|index| tokio::spawn(run_caller(Arc::clone(&cluster.context), index)))
        .collect();
    let soak_start = Instant::now();
    let faults: Vec<_> = faults
        .into_iter()
        .map(|planned| {
            let cluster = Arc::clone(&cluster);
            tokio::spawn(async move { cluster.inject(planned, soak_start).await })
        })
        .collect();
    for fault in faults {
        fault.await.expect("the fault injection must not panic");
    }
    cluster.check_recovery().await;
    cluster.context.stopped.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("the caller must not panic");
    }
    cluster.check_processes().await;
    let (served, violations) = {
        let history = cluster.history.lock().unwrap();
        (history.served_requests(), history.check())
    };
    if !violations.is_empty() {
        cluster.keep_logs().await;
    }
    SoakReport {
        sent: cluster.context.next_id.load(Ordering::Relaxed),
        sent_again: cluster.context.returns.load(Ordering::Relaxed),
        served,
        violations,
    }
}

impl SoakCluster {
    async fn start(size: SoakSize, upgrade: Option<SoakUpgrade>) -> Self {
        let store = MetadataStore::new();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = store.start(listener).unwrap();
        publish_config(&store, 1);
        let history = Arc::new(Mutex::new(SoakHistory::default()));
        let mut targets = Vec::new();
        for index in 0..size.targets {
            let (history, store) = (Arc::clone(&history), Arc::clone(&store));
            targets.push(SoakTarget::start(index, history, store).await);
        }
        let mut vms = Vec::new();
        for index in 0..size.vms {
            let link = FaultProxy::start(server.address).await;
            let process = start_process(index, link.address, upgrade.as_ref(), &history);
            let caller_address = SocketAddr::from(([127, 0, 0, 1], process.caller_port));
            vms.push(SoakVm {
                process: tokio::sync::Mutex::new(process),
                caller_link: FaultProxy::start(caller_address).await,
                store_link: link,
                process_fault: AtomicBool::new(false),
            });
        }
        for vm in &vms {
            vm.process.lock().await.wait_until_ready().await;
        }
        let context = CallerContext {
            history: Arc::clone(&history),
            vm_addresses: vms.iter().map(|vm| vm.caller_link.address).collect(),
            key_version: AtomicU64::new(1),
            stopped: AtomicBool::new(false),
            next_id: AtomicU64::new(0),
            returns: AtomicU64::new(0),
        };
        Self {
            store,
            operator: Mutex::default(),
            _server: server,
            targets,
            vms,
            context: Arc::new(context),
            history,
            upgrade,
        }
    }

    async fn inject(&self, planned: PlannedFault, soak_start: Instant) {
        let PlannedFault {
            start,
            duration,
            fault,
        } = planned;
        tokio::time::sleep(start.saturating_sub(soak_start.elapsed())).await;
        match fault {
            SoakFault::PauseVm(vm) | SoakFault::KillVm(vm) | SoakFault::StopVm(vm) => {
                if !self.vms[vm].process_fault.swap(true, Ordering::SeqCst) {
                    self.inject_process_fault(vm, fault, duration).await;
                    self.history.lock().unwrap().record_vm_fault(vm);
                    self.vms[vm].process_fault.store(false, Ordering::SeqCst);
                }
            }
            SoakFault::ReplaceVm(vm) => {
                while self.vms[vm].process_fault.swap(true, Ordering::SeqCst) {
                    tokio::time::sleep(REPLACE_RETRY_INTERVAL).await;
                }
                self.inject_process_fault(vm, fault, duration).await;
                self.history.lock().unwrap().record_vm_fault(vm);
                self.vms[vm].process_fault.store(false, Ordering::SeqCst);
            }
            SoakFault::ReloadVm(vm) => {
                if !self.vms[vm].process_fault.load(Ordering::SeqCst) {
                    self.vms[vm].process.lock().await.signal("HUP");
                }
            }
            SoakFault::CallerLink(vm, mode) => {
                let begin = Instant::now();
                disturb_link(&self.vms[vm].caller_link, mode, duration).await;
                self.record_link_fault(FaultyLink::Callers(vm), begin);
            }
            SoakFault::StoreLink(vm, mode) => {
                disturb_link(&self.vms[vm].store_link, mode, duration).await
            }
            SoakFault::TargetLink(target, _)
            | SoakFault::CrashTarget(target)
            | SoakFault::DrainTarget(target)
            | SoakFault::FailTarget(target)
            | SoakFault::LimitTarget(target)
            | SoakFault::RefuseTarget(target) => {
                self.inject_target_fault(target, fault, duration).await;
            }
            SoakFault::StoreDown => {
                self.store.set_down(true);
                tokio::time::sleep(duration).await;
                self.store.set_down(false);
            }
            SoakFault::CompactStore => self.store.compact(),
            SoakFault::RestoreStore => self.restore_store(duration).await,
            SoakFault::RotateKey => self.rotate_key(),
        }
    }

    async fn inject_target_fault(&self, index: usize, fault: SoakFault, duration: Duration) {
        let (begin, target) = (Instant::now(), &self.targets[index]);
        match fault {
            SoakFault::FailTarget(_) => {
                target.set_failing(true);
                tokio::time::sleep(duration).await;
                target.set_failing(false);
                return;
            }
            SoakFault::LimitTarget(_) => {
                target.set_limited(true);
                tokio::time::sleep(duration).await;
                target.set_limited(false);
                return;
            }
            SoakFault::RefuseTarget(_) => {
                target.set_refusing(true);
                tokio::time::sleep(duration).await;
                target.set_refusing(false);
                return;
            }
            SoakFault::TargetLink(_, mode) => disturb_link(&target.proxy, mode, duration).await,
            SoakFault::DrainTarget(_) => {
                target.start_draining();
                tokio::time::sleep(duration).await;
                target.restart();
            }
            _ => {
                disturb_link(&target.proxy, LinkMode::Reset, duration).await;
                target.restart();
            }
        }
        self.record_link_fault(FaultyLink::Target(index), begin);
    }

    fn record_link_fault(&self, link: FaultyLink, start: Instant) {
        let mut history = self.history.lock().unwrap();
        history.record_link_fault(link, start);
    }

    async fn inject_process_fault(&self, vm: usize, fault: SoakFault, duration: Duration) {
        let mut process = self.vms[vm].process.lock().await;
        self.history.lock().unwrap().record_vm_fault(vm);
        match fault {
            SoakFault::PauseVm(_) => {
                process.signal("STOP");
                tokio::time::sleep(duration).await;
                process.signal("CONT");
            }
            SoakFault::KillVm(_) => {
                process.signal("KILL");
                process.child.wait().expect("the killed process must end");
                tokio::time::sleep(duration).await;
                process.restart();
            }
            _ => {
                process.signal("TERM");
                while process
                    .child
                    .try_wait()
                    .expect("the process must be a child of the test")
                    .is_none()
                {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                if let (SoakFault::ReplaceVm(_), Some(upgrade)) = (fault, &self.upgrade) {
                    let program = &upgrade.second;
                    process.set_program(program.path.clone());
                    let mut history = self.history.lock().unwrap();
                    history.record_program(vm, program.label);
                }
                process.restart();
            }
        }
    }

    /// Brings the store back from a copy that is `age` old. The operator writes again what it lacks.
    async fn restore_store(&self, age: Duration) {
        const OUTAGE: Duration = Duration::from_millis(500);
        let copy = self.store.copy();
        tokio::time::sleep(age).await;
        self.store.set_down(true);
        tokio::time::sleep(OUTAGE).await;
        let _no_key_is_rotated = self.operator.lock().unwrap();
        self.store.restore(copy);
        publish_config(
            &self.store,
            self.context.key_version.load(Ordering::Relaxed),
        );
        self.store.set_down(false);
    }

    /// Publishes a configuration in which a new key replaces the callers' previous one.
    fn rotate_key(&self) {
        let _store_is_not_restored = self.operator.lock().unwrap();
        let version = self.context.key_version.load(Ordering::Relaxed) + 1;
        publish_config(&self.store, version);
        self.history.lock().unwrap().record_revocation(version);
        self.context.key_version.store(version, Ordering::Relaxed);
    }

    /// Records a violation for each VM and kind of request that is not served within the limit.
    async fn check_recovery(self: &Arc<Self>) {
        let recovery_start = Instant::now();
        let check = |index| {
            let cluster = Arc::clone(self);
            tokio::spawn(async move { cluster.check_vm_recovery(index, recovery_start).await })
        };
        let checks: Vec<_> = (0..self.vms.len()).map(check).collect();
        for check in checks {
            check.await.expect("the check must not panic");
        }
    }

    async fn check_vm_recovery(&self, index: usize, recovery_start: Instant) {
        for kind in [
            RequestKind::Idempotent,
            RequestKind::NonIdempotent,
            RequestKind::Stream,
        ] {
            while !self
                .is_served(self.vms[index].caller_link.address, kind)
                .await
            {
                if recovery_start.elapsed() > RECOVERY_LIMIT {
                    let violation = format!(
                        "VM {index} did not serve {kind:?} requests within {RECOVERY_LIMIT:?} after the last fault"
                    );
                    self.history.lock().unwrap().violations.push(violation);
                    break;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    async fn is_served(&self, vm_address: SocketAddr, kind: RequestKind) -> bool {
        let Ok(mut stream) = TcpStream::connect(vm_address).await else {
            return false;
        };
        let number = self.context.next_id.fetch_add(1, Ordering::Relaxed);
        let key = self.context.key_version.load(Ordering::Relaxed);
        let addresses = &self.context.vm_addresses;
        let vm = addresses.iter().position(|address| *address == vm_address);
        let request = CallerRequest {
            vm: vm.expect("callers reach each VM at an address of its own"),
            kind,
            key,
            number,
            sending: 1,
        };
        let (outcome, _) = send_request(&mut stream, &self.context, request).await;
        matches!(outcome, RequestOutcome::Completed { status: 200, .. })
    }

    /// Keeps the log files of all VMs and prints their paths.
    async fn keep_logs(&self) {
        for vm in &self.vms {
            let mut process = vm.process.lock().await;
            process.keeps_log = true;
            println!("log: {}", process.log_path().display());
        }
    }

    /// Records a violation for each VM whose process has ended.
    async fn check_processes(&self) {
        for (index, vm) in self.vms.iter().enumerate() {
            let ended = vm.process.lock().await.child.try_wait();
            if let Some(status) = ended.expect("the process must be a child of the test") {
                let violation = format!("VM {index} ended without being stopped: {status}");
                self.history.lock().unwrap().violations.push(violation);
            }
        }
    }
}

/// Starts a VM's process, with the first program of an upgrade.
fn start_process(
    index: usize,
    store: SocketAddr,
    upgrade: Option<&SoakUpgrade>,
    history: &Mutex<SoakHistory>,
) -> EntryVm {
    let name = format!("soak-{index}");
    let Some(SoakUpgrade { first, .. }) = upgrade else {
        return EntryVm::start(&name, store);
    };
    history.lock().unwrap().record_program(index, first.label);
    EntryVm::start_program(&name, store, first.path.clone())
}

/// Applies a fault mode to a link for the given time and then restores the link.
async fn disturb_link(link: &FaultProxy, mode: LinkMode, duration: Duration) {
    link.set_mode(mode);
    tokio::time::sleep(duration).await;
    link.set_mode(LinkMode::Healthy);
}

/// Writes the configuration of a version, in which only the key of that version is valid.
fn publish_config(store: &MetadataStore, version: u64) {
    let key = format!("key-{version}");
    let config = config_record(version, &[&key], ADAPTER_SLOTS);
    store.put("keyed.op", "config", config.to_string().as_bytes());
}
