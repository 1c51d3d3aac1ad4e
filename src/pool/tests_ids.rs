//! Tests of the ids in messages: an id never resolves to the wrong name, even if messages are lost
//! or late and coordinators change.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::assigned_ids::{AssignedIds, MessageError, PoolSession, RequestNames};
use super::event::{PoolAnswer, PoolEvent, ReleaseOutcome};
use super::known_ids::KnownIds;
use super::open::{OpenEntry, OpenRequests};
use super::releases::ReleaseQueue;
use super::service::{PoolRequest, RequestPin};
use super::tests::{at, coordinator, key, pinned_to, request as acquire_request, spec};
use super::wire::{
    AcquireMessage, IdAssignments, PinnedAnswer, PoolKind, ReleaseItem, SessionTag, delta_decode,
    delta_encode, generation_parts,
};
use crate::ids::{BootId, FencingToken, RequestId, TargetName, TokenCount};

/// Lower than the number of names in use, so that tables are cleared and names get new ids.
const ID_LIMIT: usize = 3;

/// A process that coordinates the pool, with its newest fencing token.
struct CoordinatorProcess {
    ids: AssignedIds,
    fence: u64,
}

/// An answer that has not reached the node yet.
struct PendingAnswer {
    message: AcquireMessage,
    request: PoolRequest,
    assigned_ids: Option<IdAssignments>,
    answer: PinnedAnswer,
    expected_placement: (TargetName, String),
}

/// One node, the processes that coordinate the pool in turn, and the messages in flight.
struct TestCluster {
    session: PoolSession,
    known: KnownIds,
    processes: Vec<CoordinatorProcess>,
    requests: Vec<(AcquireMessage, PoolRequest)>,
    answers: Vec<PendingAnswer>,
    fence: u64,
}

#[derive(Debug, Clone)]
enum TestStep {
    /// A process becomes the coordinator under a new fencing token.
    Claim(usize),
    /// The node sends a request to the process that it believes to be the coordinator.
    Request {
        adapter: u8,
        account: u8,
        believed: usize,
    },
    /// A process, not necessarily the addressed one, receives a request.
    Deliver {
        message_index: usize,
        process: usize,
        target: u8,
        repeat: bool,
    },
    /// The node receives an answer.
    ReceiveAnswer(usize),
}

fn session(node: &str) -> PoolSession {
    PoolSession {
        model: "gemma".parse().unwrap(),
        node: node.parse().unwrap(),
        boot: BootId::from(7),
    }
}

fn request(adapter: u8, account: u8) -> PoolRequest {
    PoolRequest {
        request: RequestId::random(),
        account: format!("account-{account}").parse().unwrap(),
        base_model: "gemma".parse().unwrap(),
        adapter: format!("shop-{adapter}@v1").parse().unwrap(),
        tokens: TokenCount::new(1),
        prefix: None,
        suspect: false,
        avoid: None,
    }
}

impl TestCluster {
    fn new() -> Self {
        let process = |fence| CoordinatorProcess {
            ids: AssignedIds::with_limit(ID_LIMIT),
            fence,
        };
        Self {
            session: session("entry-1"),
            known: KnownIds::default(),
            processes: (1..=3).map(process).collect(),
            requests: Vec::new(),
            answers: Vec::new(),
            fence: 3,
        }
    }

    fn acquire_message(&mut self, request: &PoolRequest, fence: u64) -> AcquireMessage {
        let known = self.known.for_fence(fence);
        let mut message = AcquireMessage {
            session: Some(known.session_tag(&self.session)),
            ..AcquireMessage::default()
        };
        known.encode_request(&mut message, request);
        message
    }

    fn run(&mut self, step: TestStep) {
        match step {
            TestStep::Claim(process) => {
                self.fence += 1;
                self.processes[process].fence = self.fence;
            }
            TestStep::Request {
                adapter,
                account,
                believed,
            } => {
                let request = request(adapter, account);
                let message = self.acquire_message(&request, self.processes[believed].fence);
                self.requests.push((message, request));
            }
            TestStep::Deliver {
                message_index,
                process,
                target,
                repeat,
            } => {
                if self.requests.is_empty() {
                    return;
                }
                let index = message_index % self.requests.len();
                let (message, request) = match repeat {
                    true => self.requests[index].clone(),
                    false => self.requests.swap_remove(index),
                };
                self.deliver_request(process, message, request, target);
            }
            TestStep::ReceiveAnswer(index) => {
                if !self.answers.is_empty() {
                    let answer = self.answers.swap_remove(index % self.answers.len());
                    self.receive_answer(&answer);
                }
            }
        }
    }

    fn deliver_request(
        &mut self,
        process: usize,
        message: AcquireMessage,
        request: PoolRequest,
        target: u8,
    ) {
        let CoordinatorProcess { ids, fence } = &mut self.processes[process];
        let held = FencingToken::from(*fence);
        let names = match ids.resolve_request(&message, |_| Some(held)) {
            Ok(names) => names,
            Err(MessageError::UnknownId) => {
                self.known.clear();
                let fence = self.processes[process].fence;
                let again = self.acquire_message(&request, fence);
                assert_eq!((again.adapter, again.account), (0, 0));
                let ids = &self.processes[process].ids;
                let names = ids.resolve_request(&again, |_| Some(held));
                assert!(names.is_ok(), "a request with names always resolves");
                return;
            }
            Err(MessageError::Malformed) => panic!("{message:?} is well formed"),
        };
        let expected = RequestNames {
            session: self.session.clone(),
            adapter: request.adapter.clone(),
            account: request.account.clone(),
        };
        assert_eq!(
            names, expected,
            "the coordinator resolves the names that were sent"
        );
        let assigned_ids = ids.assign_ids(&message, &names, held);
        let target: TargetName = format!("engine-{target}").parse().unwrap();
        let generation = format!("{}#{}-{}", names.adapter, 2, 5);
        let answer = PoolAnswer::Pinned {
            pin: 1,
            target: target.clone(),
            generation: generation.clone(),
            fence: held,
        };
        let PoolKind::Pinned(answer) = ids.encode_answer(answer, &message, &names.adapter) else {
            panic!("the answer is a pin");
        };
        self.answers.push(PendingAnswer {
            message,
            request,
            assigned_ids,
            answer,
            expected_placement: (target, generation),
        });
    }

    fn receive_answer(&mut self, pending: &PendingAnswer) {
        if let Some(assigned_ids) = &pending.assigned_ids {
            let sent_names = (&pending.request.adapter, &pending.request.account);
            self.known
                .for_fence(assigned_ids.fence)
                .record_ids(assigned_ids, Some(sent_names));
        }
        let sent_fence = pending.message.session.as_ref().unwrap().fence;
        let known = self
            .known
            .for_fence(pending.answer.fence.unwrap_or(sent_fence));
        let placement =
            known.decode_pin(&pending.message, &pending.answer, &pending.request.adapter);
        if let Some(placement) = placement {
            assert_eq!(
                placement, pending.expected_placement,
                "the node decodes the pin that was sent"
            );
        }
    }
}

fn step() -> impl Strategy<Value = TestStep> {
    let request = (0u8..6, 0u8..5, 0usize..3);
    let deliver = (any::<usize>(), 0usize..3, 0u8..6, any::<bool>());
    prop_oneof![
        1 => (0usize..3).prop_map(TestStep::Claim),
        4 => request.prop_map(|(adapter, account, believed)| TestStep::Request { adapter, account, believed }),
        6 => deliver.prop_map(|(message_index, process, target, repeat)| {
            TestStep::Deliver { message_index, process, target, repeat }
        }),
        6 => any::<usize>().prop_map(TestStep::ReceiveAnswer),
    ]
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(11), cases: 400, ..Config::default() })]

    /// Guards against ids of another process, an earlier lease or a cleared table that resolve to
    /// a wrong name, and against pins that are decoded to the wrong target.
    #[test]
    fn ids_resolve_to_the_sent_names(steps in prop::collection::vec(step(), 1..120)) {
        let mut cluster = TestCluster::new();
        for step in steps {
            cluster.run(step);
        }
    }

    /// Guards against serials that delta encoding does not preserve.
    #[test]
    fn delta_encoding_preserves_serials(mut serials in prop::collection::vec(any::<u64>(), 0..20)) {
        serials.sort_unstable();
        serials.dedup();
        prop_assert_eq!(delta_decode(&delta_encode(serials.clone())), serials);
    }
}

/// Guards against requests that still carry names after the coordinator has assigned ids.
#[test]
fn a_second_request_carries_ids_only() {
    let mut cluster = TestCluster::new();
    let wanted = request(1, 1);
    for _ in 0..2 {
        let message = cluster.acquire_message(&wanted, 1);
        cluster.deliver_request(0, message, wanted.clone(), 1);
        cluster.run(TestStep::ReceiveAnswer(0));
    }
    let message = cluster.acquire_message(&wanted, 1);
    assert!(message.adapter != 0 && message.account != 0 && message.known_targets == 1);
    assert!(message.adapter_name.is_empty() && message.account_name.is_empty());
    assert!(message.session.unwrap().node.is_empty());
}

/// Guards against generation names that are not restored exactly from their short form.
#[yare::parameterized(
    usual = { "shop-1@v1#12-7", Some((12, 7)) },
    leading_zero = { "shop-1@v1#12-07", None },
    another_adapter = { "shop-2@v1#12-7", None },
    no_sequence = { "shop-1@v1#12", None },
    foreign = { "something", None },
)]
fn only_usual_generation_names_are_shortened(name: &str, parts: Option<(u64, u64)>) {
    assert_eq!(generation_parts(&request(1, 1).adapter, name), parts);
}

fn pin_of(serial: u64) -> RequestPin {
    RequestPin {
        serial,
        base_model: "gemma".parse().unwrap(),
        target: "engine-1".parse().unwrap(),
        generation: format!("shop-1@v1#5-{serial}"),
    }
}

/// Guards against pin reports without details to a coordinator that did not grant the pins.
#[yare::parameterized(
    by_id = { 7, 5, vec![3, 1], 1 },
    by_name = { 0, 5, vec![], 3 },
    after_a_new_lease = { 7, 6, vec![], 3 },
)]
fn reports_are_short_only_for_the_granting_coordinator(
    id: u64,
    fence: u64,
    held: Vec<u64>,
    detailed_pins: usize,
) {
    let open = OpenRequests::default();
    for serial in 1..=4 {
        let entry = OpenEntry::new(&request(1, 1));
        assert_eq!(open.begin(entry), serial);
    }
    for (serial, fence) in [(1, 5), (2, 5), (3, 4)] {
        open.pin(&pin_of(serial), FencingToken::from(fence));
    }
    open.mark_streaming(1);
    let tag = SessionTag {
        fence,
        id,
        ..SessionTag::default()
    };
    let report = open.report(&"gemma".parse().unwrap(), tag);
    // The entries are 3 for serial 1, which has its first token, and 4 for serial 2.
    assert_eq!((report.held, report.pins.len()), (held, detailed_pins));
    assert_eq!(delta_decode(&report.waiting), vec![4]);
}

/// Guards against a separate message for each of several simultaneous releases.
#[test]
fn simultaneous_releases_share_a_message() {
    let queue = ReleaseQueue::default();
    let model = "gemma".parse().unwrap();
    let push = |serial| queue.push(&model, ReleaseItem::new(serial, ReleaseOutcome::Cancelled));
    assert_eq!([push(1), push(2), push(3)], [true, false, false]);
    assert_eq!(queue.take(&model).len(), 3);
    assert!(push(4), "the next release starts a new batch");
}

/// Guards against pins with unknown serials that are skipped as if their requests had ended.
#[test]
fn an_unknown_pin_needs_a_report_with_details() {
    let resident: &[(&str, bool, &[&str])] = &[("engine-1", false, &["shop-1@v1"])];
    let mut coordinator = coordinator(&[("engine-1", spec("a", true))], resident);
    let now = at(122_000);
    for serial in 1..=2 {
        let request = acquire_request(serial, "acme", "shop-1@v1", now);
        let actions = coordinator.handle(now, PoolEvent::Acquire(request));
        assert!(pinned_to(&actions, serial).is_some());
    }
    let (key, outcome) = (key(2), ReleaseOutcome::Cancelled);
    coordinator.handle(now, PoolEvent::Release { key, outcome });
    let serials = |held: &[u64]| {
        let pins = coordinator.resolve_held_pins(super::tests::key, held)?;
        let pins = pins.into_iter().map(|pin| (pin.serial, pin.streaming));
        Some(pins.collect::<Vec<_>>())
    };
    assert_eq!(serials(&[1 << 1, 2 << 1]), Some(vec![(1, false)]));
    assert_eq!(serials(&[(1 << 1) | 1]), Some(vec![(1, true)]));
    assert_eq!(serials(&[1 << 1, 3 << 1]), None, "serial 3 is unknown");
}
