use super::{at, ms, report};
use crate::dispatch::choice::TargetChoice;
use crate::dispatch::cold_start::{
    AskNumber, ColdBound, ColdPeriod, ColdPermits, PermitGrant, PermitSchedule, PermitTerms,
};
use crate::dispatch::directory::{TargetDirectory, TargetKey};
use crate::dispatch::ownership::TenureSpan;
use crate::dispatch::target_entry::ColdStatement;
use crate::ids::TargetName;

const RATE: f64 = 8.0;

fn target() -> TargetKey {
    TargetKey::from(7)
}

/// The terms of an owner for the time from `from` to `until`, who knows the target to be cold from its
/// start on.
fn terms(from: u64, until: u64) -> PermitTerms {
    PermitTerms {
        rate: RATE,
        tenure: TenureSpan {
            from: at(from),
            until: at(until),
        },
        period: Some(ColdPeriod::new(ms(60_000), at(0))),
        draw: 0.5,
    }
}

/// Guards against permits for more requests in a second than an installation's own bound allows: a
/// permit may be used at any moment of its lifetime.
#[yare::parameterized(
    usual = { 8.0, 1.5, 5.0 },
    fast = { 100.0, 1.5, 5.0 },
    no_overage = { 20.0, 1.0, 5.0 },
    no_slack = { 20.0, 1.5, 0.0 },
    small = { 2.0, 1.2, 4.0 },
    below_the_rate = { 40.0, 0.5, 5.0 },
)]
fn permits_stay_within_the_bound_of_the_installation(rate: f64, overage: f64, slack: f64) {
    const LIFETIME_MS: u64 = 400;
    let bound = ColdBound { overage, slack };
    let mut schedule = PermitSchedule::default();
    let terms = PermitTerms {
        rate: bound.permit_rate(rate),
        ..terms(1, 60_000)
    };
    let mut starts = Vec::new();
    for now in (10_000..20_000).step_by(50) {
        let delays = schedule.grant(8, terms, at(now)).delays;
        let millis = delays.iter().map(|delay| delay.as_millis() as u64);
        starts.extend(millis.map(|delay| now + delay));
    }
    let in_second = |from: &u64| {
        let usable = |start: &&u64| **start < from + 1000 && **start + LIFETIME_MS > *from;
        starts.iter().filter(usable).count()
    };
    let worst = (10_000..19_000).map(|from| in_second(&from)).max().unwrap();
    assert!(worst as f64 <= rate * overage + slack, "{worst}");
    assert!(worst > 1, "{worst}");
}

/// Guards against permits of a new owner for the second in which those of an earlier one may be used.
#[test]
fn new_owner_grants_no_permit_for_a_second() {
    let mut schedule = PermitSchedule::default();
    let terms = terms(10_000, 60_000);
    for now in [10_000, 10_250, 10_500] {
        assert_eq!(schedule.grant(8, terms, at(now)).delays, [], "{now}");
    }
    let delays = schedule.grant(1, terms, at(10_600)).delays;
    assert_eq!(delays, [ms(400)]);
}

/// Guards against permits that start after the end of the owner's lease: the next owner hands out its
/// own for that time.
#[test]
fn no_permit_starts_after_the_lease() {
    let mut schedule = PermitSchedule::default();
    let delays = schedule.grant(8, terms(1, 10_250), at(10_000)).delays;
    assert_eq!(delays, [ms(0), ms(125)]);
    let delays = schedule.grant(8, terms(1, 10_251), at(10_000)).delays;
    assert_eq!(delays, [ms(250)]);
}

/// Guards against VMs that are kept waiting by the refusals and permits of an earlier tenure.
#[test]
fn schedule_starts_anew_in_a_new_tenure() {
    let mut schedule = PermitSchedule::default();
    let slow = |from, until| PermitTerms {
        rate: 0.5,
        ..terms(from, until)
    };
    assert_eq!(
        schedule.grant(1, slow(1, 10_100), at(10_000)).delays,
        [ms(0)]
    );
    for _ in 0..40 {
        assert_eq!(schedule.grant(1, slow(1, 10_100), at(10_000)).delays, []);
    }
    let delays = schedule.grant(1, slow(10_100, 60_000), at(11_100)).delays;
    assert_eq!(delays, [ms(0)]);
}

/// Guards against permits for the second before the owner learned that a warm target is cold, in which
/// other VMs may have sent to it at the full rate.
#[test]
fn target_that_becomes_cold_gets_no_permit_for_a_second() {
    let mut directory = TargetDirectory::default();
    let name: TargetName = "i-1".parse().unwrap();
    directory.apply(&name, Some(report("z")), at(0));
    let entry = directory.get_mut(TargetKey::new(&name)).unwrap();
    let statement = ColdStatement {
        started_ms: report("z").started_ms,
        sequence: 9,
        remaining: ms(3_000),
    };
    assert!(entry.apply_cold(statement, at(10_000)));
    let mut schedule = PermitSchedule::default();
    let terms = PermitTerms {
        period: entry.cold_period(at(10_000)),
        ..terms(1, 60_000)
    };
    assert_eq!(schedule.grant(8, terms, at(10_000)).delays, []);
    assert_eq!(schedule.grant(1, terms, at(10_600)).delays, [ms(400)]);
}

/// Guards against permits for the second in which the VMs that took the target for warm sent to it.
#[test]
fn target_that_was_warm_gets_no_permit_for_a_second() {
    let tenure = TenureSpan {
        from: at(0),
        until: at(60_000),
    };
    let terms = |period| PermitTerms {
        rate: RATE,
        tenure,
        period,
        draw: 0.5,
    };
    let unaware = |schedule: &mut PermitSchedule, now| schedule.grant(8, terms(None), at(now));
    let mut schedule = PermitSchedule::default();
    assert!(unaware(&mut schedule, 5_000).delays.is_empty());
    assert!(unaware(&mut schedule, 5_400).delays.is_empty());
    assert!(!unaware(&mut schedule, 6_000).delays.is_empty());
    let period = ColdPeriod::with_recent_load(ms(3_000), at(10_000));
    let mut schedule = PermitSchedule::default();
    let aware = schedule.grant(8, terms(Some(period)), at(10_600));
    assert_eq!(aware.delays.first(), Some(&ms(400)));
    assert!(!aware.delays.iter().any(|delay| *delay >= ms(500)));
}

/// Guards against a permit that outlasts what its owner assumes, because its answer was late.
#[test]
fn late_answer_shortens_a_permit() {
    let mut permits = ColdPermits::default();
    permits.add_waiting(target());
    let number = AskNumber::from(1);
    assert_eq!(permits.begin_ask(target(), number, at(1_000)), Some(1));
    let grant = PermitGrant {
        delays: vec![ms(100)],
        retry_after: ms(200),
    };
    assert!(permits.apply_answer(target(), number, &grant, at(1_250)));
    // A repeated datagram grants nothing.
    assert!(!permits.apply_answer(target(), number, &grant, at(1_250)));
    assert!(!permits.has_valid(target(), at(1_349)));
    let permit = permits.take(target(), at(1_350)).unwrap();
    assert!(permit.is_valid(at(1_499)) && !permit.is_valid(at(1_500)));
    assert_eq!(permits.take(target(), at(1_350)), None);
}

/// Guards against requests that wait for a permit for good, though the owner does not answer, and
/// against loads of an adapter elsewhere while a permit for a target that holds it may come.
#[test]
fn request_waits_for_a_permit_only_while_the_owner_may_answer() {
    let mut permits = ColdPermits::default();
    let load = TargetChoice::Load(TargetKey::from(8));
    let wait = TargetChoice::WaitForPermit(target());
    let choose = |permits: &ColdPermits, choice, now: u64| {
        permits.revise_choice(choice, &[target()], ms(now), at(now))
    };
    assert_eq!(choose(&permits, load, 0), wait);
    permits.add_waiting(target());
    permits.begin_ask(target(), AskNumber::from(1), at(0));
    assert_eq!(choose(&permits, load, 299), wait);
    assert_eq!(choose(&permits, load, 300), load);
    assert_eq!(
        choose(&permits, TargetChoice::Wait, 300),
        TargetChoice::Wait
    );
    // The owner is asked again later, but no load waits for it.
    assert_eq!(choose(&permits, TargetChoice::Wait, 600), wait);
    assert_eq!(choose(&permits, load, 600), load);
    permits.begin_ask(target(), AskNumber::from(2), at(600));
    let refused = PermitGrant::refused();
    assert!(permits.apply_answer(target(), AskNumber::from(2), &refused, at(610)));
    assert_eq!(
        choose(&permits, TargetChoice::Wait, 620),
        TargetChoice::Wait
    );
    let unsuitable = TargetChoice::Unavailable;
    assert_eq!(choose(&permits, unsuitable, 2_000), unsuitable);
}

/// Guards against more asks than one at a time, and against asks for permits that nobody wants.
#[test]
fn one_ask_is_open_at_a_time() {
    let mut permits = ColdPermits::default();
    let ask = |permits: &mut ColdPermits, number: u64, now| {
        permits.begin_ask(target(), AskNumber::from(number), at(now))
    };
    assert_eq!(ask(&mut permits, 1, 0), None);
    for _ in 0..20 {
        permits.add_waiting(target());
    }
    assert_eq!(ask(&mut permits, 1, 0), Some(8));
    assert_eq!(ask(&mut permits, 2, 149), None);
    assert_eq!(ask(&mut permits, 3, 150), Some(8));
    let grant = PermitGrant {
        delays: vec![ms(0); 8],
        retry_after: ms(200),
    };
    assert!(permits.apply_answer(target(), AskNumber::from(3), &grant, at(160)));
    for _ in 0..12 {
        permits.remove_waiting(target());
    }
    assert_eq!(ask(&mut permits, 4, 400), None);
}

/// Guards against requests that wait for a permit that had ended before its answer arrived.
#[test]
fn permit_of_a_very_late_answer_is_not_waited_for() {
    let mut permits = ColdPermits::default();
    permits.add_waiting(target());
    let number = AskNumber::from(1);
    assert_eq!(permits.begin_ask(target(), number, at(0)), Some(1));
    permits.remove_waiting(target());
    let grant = PermitGrant {
        delays: vec![ms(300)],
        retry_after: ms(200),
    };
    assert!(permits.apply_answer(target(), number, &grant, at(400)));
    assert_eq!(permits.time_to_next(target(), at(400)), None);
}
