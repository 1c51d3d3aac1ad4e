//! Streams at targets of two software versions, with entry VMs as separate processes.

mod endless_peer;
mod platform_fixture;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use endless_peer::{EndlessAnswer, EndlessPeer, PeerAnswer};
use platform_fixture::further::FurtherTarget;
use platform_fixture::{CallerResponse, EntryVm, TargetMode, TestCluster};

const HEADERS: &str = "Authorization: Token key-1\r\nX-Model: m\r\nX-Token-Count: 10,10\r\n";
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Two further targets of the service "llm", which run different software.
struct VersionPair {
    cluster: TestCluster,
    targets: [FurtherTarget; 2],
}

impl VersionPair {
    /// Starts both targets, of which only the older one is registered.
    async fn start(mode: TargetMode) -> Self {
        let cluster = TestCluster::start().await;
        cluster.store.put("keyed.servers", "i-1", b"");
        let targets = [
            FurtherTarget::start("old", "v1").await,
            FurtherTarget::start("new", "v1.1").await,
        ];
        for target in &targets {
            target.state.lock().expect("the lock is not poisoned").mode = mode;
        }
        targets[0].register(&cluster);
        Self { cluster, targets }
    }

    async fn start_vm(&self, name: &str) -> EntryVm {
        let vm = self.cluster.start_entry_vm(name).await;
        vm.send_until("/stream/x", HEADERS, 200).await;
        vm
    }

    /// Registers the newer target and waits until the VM uses it.
    async fn add_new(&self, vm: &EntryVm) {
        self.targets[1].register(&self.cluster);
        let started = Instant::now();
        let id = format!("mix-{}-", vm.caller_port);
        while self.targets[1].runs(&id) == 0 {
            assert!(
                started.elapsed() < WAIT_LIMIT,
                "the new target gets nothing"
            );
            vm.send("/look/x", &id, HEADERS).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until the VM's record in the store holds this many streams, of 8 bytes each.
    async fn wait_for_record(&self, vm: &EntryVm, streams: usize) {
        let started = Instant::now();
        loop {
            let key = record_key(vm).unwrap_or_default();
            let values = self.cluster.store.values("keyed.streams", &key);
            if values
                .last()
                .is_some_and(|value| value.len() >= 8 * streams)
            {
                return;
            }
            assert!(started.elapsed() < WAIT_LIMIT, "no record of {key}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// The key of the VM's record, once the log states which process it is.
fn record_key(vm: &EntryVm) -> Option<String> {
    let lines = vm.log_lines();
    let line = (lines.iter()).find(|line| line["message"] == "process: starting")?;
    let (node, boot) = (line["node"].as_str()?, line["boot"].as_str()?);
    Some(format!("{node}/{boot}"))
}

/// A path for each stream: requests that are the same and break off are not sent for long.
fn stream_path(id: &str) -> String {
    format!("/stream/{id}")
}

async fn begin(vm: &EntryVm, id: &str) {
    let response = vm.send(&stream_path(id), id, HEADERS).await;
    assert!(response.text.contains("data: word 2"), "{id}: {response:?}");
}

/// Sends the request of a caller that has two events of a stream.
async fn take_up(vm: &EntryVm, id: &str, first: &str) -> CallerResponse {
    let headers = format!("{HEADERS}Last-Event-Id: 2\r\nResumes: {first}\r\n");
    vm.send(&stream_path(first), id, &headers).await
}

/// Guards against one answer with events of two software versions: a stream that breaks off goes on
/// at the version that began it, or not at all.
#[tokio::test]
async fn broken_stream_goes_on_at_its_software_version() {
    let pair = VersionPair::start(TargetMode::BreakStream).await;
    let vm = pair.start_vm("vm-1").await;
    pair.add_new(&vm).await;
    for index in 0..12 {
        let id = format!("s-{index}-");
        begin(&vm, &id).await;
        let runs = pair.targets.each_ref().map(|target| target.runs(&id));
        assert_eq!(
            runs.iter().filter(|runs| **runs > 0).count(),
            1,
            "{id}: {runs:?}"
        );
    }
}

/// Guards against streams that are joined from two software versions when the VM that relayed them,
/// or all VMs, have been killed.
#[yare::parameterized(
    at_another_vm = { false },
    after_all_vms_were_killed = { true },
)]
#[test_macro(tokio::test)]
async fn taken_up_stream_goes_on_at_its_software_version(all_killed: bool) {
    const STREAMS: usize = 8;
    let pair = VersionPair::start(TargetMode::BreakStreamAndFail).await;
    let mut vms = [pair.start_vm("vm-1").await, pair.start_vm("vm-2").await];
    // Begun before the newer version is there.
    for index in 0..STREAMS {
        begin(&vms[0], &format!("old-{index}")).await;
    }
    for vm in &vms {
        pair.add_new(vm).await;
    }
    for index in 0..STREAMS {
        begin(&vms[0], &format!("any-{index}")).await;
    }
    pair.wait_for_record(&vms[0], 2 * STREAMS).await;
    let killed = if all_killed { 2 } else { 1 };
    for vm in &mut vms[..killed] {
        vm.signal("KILL");
        vm.child.wait().expect("the process is a child");
    }
    for target in &pair.targets {
        target.state.lock().expect("the lock is not poisoned").mode = TargetMode::Healthy;
    }
    if all_killed {
        vms[1].restart();
        vms[1].wait_until_ready().await;
    }
    for (kind, index) in ["old", "any"]
        .into_iter()
        .flat_map(|kind| (0..STREAMS).map(move |i| (kind, i)))
    {
        let first = format!("{kind}-{index}");
        let began = usize::from(pair.targets[1].runs(&first) > 0);
        let id = format!("again-{first}-");
        let response = take_up(&vms[1], &id, &first).await;
        let runs = pair.targets.each_ref().map(|target| target.runs(&id));
        assert_eq!(runs[1 - began], 0, "{first} began at {began}: {runs:?}");
        assert_eq!(
            (response.status, runs[began]),
            (200, 1),
            "{first}: {response:?}"
        );
    }
}

/// Guards against streams that go on at the newer software version because the older one has just
/// left, and against callers that wait for a target that will not come.
#[tokio::test]
async fn taken_up_stream_is_rejected_without_its_software_version() {
    let pair = VersionPair::start(TargetMode::BreakStreamAndFail).await;
    let mut vm = pair.start_vm("vm-1").await;
    begin(&vm, "old").await;
    pair.add_new(&vm).await;
    pair.wait_for_record(&vm, 1).await;
    pair.cluster.store.put("keyed.servers", "old", b"");
    vm.signal("KILL");
    vm.child.wait().expect("the process is a child");
    vm.restart();
    vm.wait_until_ready().await;
    vm.send_until("/look/x", HEADERS, 200).await;
    for first in ["old", "nobody"] {
        let started = Instant::now();
        let id = format!("again-{first}-");
        assert_eq!(take_up(&vm, &id, first).await.status, 503, "{first}");
        assert_eq!(pair.targets[1].runs(&id), 0, "{first}");
        assert!(started.elapsed() < Duration::from_secs(1), "{first}");
    }
}

/// Guards against streams that no VM takes up after all VMs were killed, although only one software
/// version has been in service.
#[tokio::test]
async fn taken_up_stream_goes_on_where_all_targets_run_the_same_software() {
    let pair = VersionPair::start(TargetMode::BreakStreamAndFail).await;
    let mut vm = pair.start_vm("vm-1").await;
    begin(&vm, "old").await;
    vm.signal("KILL");
    vm.child.wait().expect("the process is a child");
    vm.restart();
    vm.wait_until_ready().await;
    vm.send_until("/look/x", HEADERS, 200).await;
    let state = &pair.targets[0].state;
    state.lock().expect("the lock is not poisoned").mode = TargetMode::Healthy;
    let response = take_up(&vm, "again", "old").await;
    assert_eq!(response.status, 200, "{response:?}");
}

/// Guards against callers that wait for each other while the store doesn't answer: each read of the
/// records serves all that wait for it, also if it fails.
#[tokio::test]
async fn callers_share_the_reads_of_a_store_that_hangs() {
    const CALLERS: usize = 12;
    let pair = VersionPair::start(TargetMode::Healthy).await;
    let store = pair.cluster.store_address;
    let hangs = Arc::new(AtomicBool::new(false));
    let switch = Arc::clone(&hangs);
    let silent = EndlessAnswer::new("", " ", 0);
    let peer = EndlessPeer::start(move |head, _| {
        match switch.load(Ordering::SeqCst) && head.contains("keyed.streams") {
            true => PeerAnswer::Endless(silent.clone()),
            false => PeerAnswer::Forward(store),
        }
    })
    .await;
    let vm = Arc::new(EntryVm::start("vm-1", peer.address));
    vm.wait_until_ready().await;
    vm.send_until("/stream/x", HEADERS, 200).await;
    hangs.store(true, Ordering::SeqCst);
    let callers = (0..CALLERS).map(|index| {
        let vm = Arc::clone(&vm);
        tokio::spawn(
            async move { take_up(&vm, &format!("c-{index}"), &format!("f-{index}")).await },
        )
    });
    for caller in callers.collect::<Vec<_>>() {
        let response = caller.await.expect("the caller doesn't panic");
        assert_eq!(response.status, 200, "{response:?}");
    }
    // A caller that comes during a read waits for the next one.
    assert!(peer.started() <= 3, "{} reads", peer.started());
}

/// Guards against a VM that has not heard of the newer software version, as it was cut off or stood
/// still while targets joined, and takes a stream that began there for one of the version that it knows.
#[yare::parameterized(cut_off_from_the_targets = { false }, stood_still = { true })]
#[test_macro(tokio::test)]
async fn vm_that_is_out_of_step_takes_up_no_stream_at_another_version(stood_still: bool) {
    const STREAMS: usize = 8;
    let pair = VersionPair::start(TargetMode::BreakStreamAndFail).await;
    let store = pair.cluster.store_address;
    let hangs = Arc::new(AtomicBool::new(false));
    let switch = Arc::clone(&hangs);
    let silent = EndlessAnswer::new("", " ", 0);
    let peer = EndlessPeer::start(move |head, _| {
        match switch.load(Ordering::SeqCst) && head.contains("keyed.servers") {
            true => PeerAnswer::Endless(silent.clone()),
            false => PeerAnswer::Forward(store),
        }
    })
    .await;
    let vm = pair.start_vm("vm-1").await;
    let late_vm = EntryVm::start("vm-2", peer.address);
    late_vm.wait_until_ready().await;
    late_vm.send_until("/stream/x", HEADERS, 200).await;
    // From now on the VM reads the records only if it knows of several versions.
    take_up(&late_vm, "early", "nobody").await;
    match stood_still {
        true => late_vm.signal("STOP"),
        false => hangs.store(true, Ordering::SeqCst),
    }
    pair.add_new(&vm).await;
    for index in 0..STREAMS {
        begin(&vm, &format!("any-{index}")).await;
    }
    pair.wait_for_record(&vm, STREAMS).await;
    for target in &pair.targets {
        target.state.lock().expect("the lock is not poisoned").mode = TargetMode::Healthy;
    }
    late_vm.signal("CONT");
    for index in 0..STREAMS {
        let first = format!("any-{index}");
        let began = usize::from(pair.targets[1].runs(&first) > 0);
        let id = format!("again-{first}-");
        let response = take_up(&late_vm, &id, &first).await;
        let runs = pair.targets.each_ref().map(|target| target.runs(&id));
        assert_eq!(runs[1 - began], 0, "{first} began at {began}: {runs:?}");
        assert!([200, 503].contains(&response.status), "{response:?}");
    }
}
