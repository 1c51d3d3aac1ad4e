//! Tasks that one VM at a time performs for all: the reports of usage to the control service.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use super::http_call::HttpClient;
use super::settings::DutySettings;
use super::shared::EntryShared;
use super::usage_counts::{live_senders, run_counts};
use super::wire::RecordedUsage;
use crate::dispatch::duty_lease::{DutyGrant, DutyHolder};
use crate::dispatch::usage_reports::{
    RecordAnswer, ReportCounts, UsageReports, UsageStep, UsageView,
};
use crate::dispatch::usage_windows::{WindowGrid, WindowId};
use crate::ids::{DutyName, FencingToken, LogPosition, NodeName, StoreEra};
use crate::platform::duty_calls::{DutyAnswer, decode_duty_answer, usage_request};
use crate::platform::store::KeyedRecord;

/// The duty's name. Its hash decides which partition's owner reports.
const USAGE_DUTY: &str = "usage_report";
/// The topic of the recorded reports, by window.
const USAGE_TOPIC: &str = "keyed.usage";
/// How often a VM checks whether it performs the duty, and what is due.
const STEP_INTERVAL: Duration = Duration::from_millis(200);
/// The time limit of the first call for a window. Three calls and a write fit in half of the time
/// that a report may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(1300);
/// The time limit of repeated calls, since the service may be slow.
const REPEATED_CALL_TIMEOUT: Duration = Duration::from_secs(3);

pub(super) fn usage_duty() -> DutyName {
    let name = USAGE_DUTY.parse();
    name.expect("the name of the duty is a valid name")
}

/// Starts the tasks of the duties that the settings name.
pub(super) fn start(shared: &Rc<EntryShared>) {
    let duties = shared.state.borrow().settings.duties.clone();
    let (Some(duties), Some(usage)) = (duties, &shared.usage) else {
        return;
    };
    let reporter = UsageReporter::new(shared, &duties, usage.borrow().grid);
    tokio::task::spawn_local(run_counts(Rc::clone(shared)));
    tokio::task::spawn_local(reporter.run());
}

/// Reports the usage while this VM performs the duty.
struct UsageReporter {
    shared: Rc<EntryShared>,
    duty: DutyName,
    node: NodeName,
    client: HttpClient,
    holder: DutyHolder,
    reports: UsageReports,
    /// The tenure to which `reports` belongs.
    tenure: Option<FencingToken>,
    /// The era of the store to which `reports` belongs.
    era: Option<StoreEra>,
}

/// What a call may use.
struct CallPermit {
    grant: DutyGrant,
    token: FencingToken,
}

impl UsageReporter {
    fn new(shared: &Rc<EntryShared>, settings: &DutySettings, grid: WindowGrid) -> Self {
        let (node, handover_time) = {
            let state = shared.state.borrow();
            let bounds = &state.settings.bounds;
            (state.settings.node.clone(), bounds.owner_handover_time)
        };
        Self {
            shared: Rc::clone(shared),
            duty: usage_duty(),
            node,
            client: HttpClient::new(settings.address, &shared.service_memory)
                .with_discarded_calls(),
            holder: DutyHolder::new(handover_time),
            reports: UsageReports::new(grid),
            tenure: None,
            era: None,
        }
    }

    async fn run(mut self) {
        loop {
            let permit = self.permit();
            self.follow_tenure(permit.as_ref());
            let step = match permit {
                Some(_) => self.next_step(),
                None => UsageStep::Wait,
            };
            match step {
                UsageStep::Wait => tokio::time::sleep(STEP_INTERVAL).await,
                UsageStep::ReadRecords => self.read_records().await,
                UsageStep::WriteRecord {
                    window,
                    counts,
                    at,
                    removed,
                } => self.write_record(window, counts, at, &removed).await,
                UsageStep::Call {
                    window,
                    counts,
                    repeated,
                } => self.report_window(window, &counts, repeated).await,
            }
        }
    }

    /// Checks whether this VM may act now.
    fn permit(&self) -> Option<CallPermit> {
        let now = self.shared.clock.now();
        let grant = self.shared.state.borrow().lease.duty_grant(&self.duty, now);
        let token = self.holder.token(grant, now)?;
        Some(CallPermit {
            grant: grant?,
            token,
        })
    }

    /// Forgets what the store held when the tenure ends or the store was restored, and logs changes.
    fn follow_tenure(&mut self, permit: Option<&CallPermit>) {
        let now = self.shared.clock.now();
        let era = self.shared.store.era();
        if era != self.era {
            self.era = era;
            self.reports.forget_records();
        }
        let tenure = permit.map(|permit| permit.grant.acquired);
        if tenure != self.tenure {
            self.tenure = tenure;
            self.reports.release();
        }
        let held_for = self
            .holder
            .held_since()
            .map(|since| now.since(since).as_millis() as u64);
        if self.holder.update_holding(permit.is_some(), now) {
            let held = permit.is_some();
            let token = permit.map_or(0, |permit| permit.token.into());
            self.shared.metrics.duties.set_held(USAGE_DUTY, held);
            tracing::info!(
                duty = USAGE_DUTY,
                held,
                token,
                held_for_ms = held_for,
                "duties: a change of the VM that performs the duty"
            );
        }
    }

    fn next_step(&mut self) -> UsageStep {
        let Some(usage) = &self.shared.usage else {
            return UsageStep::Wait;
        };
        let usage = usage.borrow();
        let now = self.shared.clock.now();
        if !usage.clock.is_settled(now) {
            return UsageStep::Wait;
        }
        let live = live_senders(&self.shared);
        let view = UsageView {
            collector: &usage.collector,
            live: &live,
            wall: usage.clock.wall_time(now),
            now,
        };
        for window in self.reports.give_up(view) {
            self.shared.metrics.duties.record_window("missed");
            tracing::warn!(%window, "duties: a usage window was missed");
        }
        self.reports.next_step(view)
    }

    async fn read_records(&mut self) {
        let read = self.shared.store.newest(USAGE_TOPIC).await;
        let now = self.shared.clock.now();
        let (Some(usage), Some(_)) = (&self.shared.usage, self.permit()) else {
            return;
        };
        match read {
            Ok(newest) => {
                let records: Vec<_> = newest
                    .records
                    .into_iter()
                    .filter_map(decode_record)
                    .collect();
                tracing::info!(
                    records = records.len(), end = %newest.next,
                    "duties: read the recorded usage"
                );
                let wall = usage.borrow().clock.wall_time(now);
                self.reports.apply_records(newest.next, records, wall);
            }
            Err(error) => {
                tracing::warn!(%error, "duties: reading the recorded usage failed");
                self.reports.delay_read(now);
            }
        }
    }

    async fn write_record(
        &mut self,
        window: WindowId,
        counts: ReportCounts,
        at: LogPosition,
        removed: &[WindowId],
    ) {
        let mut records = vec![(window.to_string(), Some(encode_record(&counts)))];
        records.extend(removed.iter().map(|window| (window.to_string(), None)));
        let written = self.shared.store.append_at(USAGE_TOPIC, at, &records).await;
        let answer = match written {
            Ok(Some(end)) => {
                self.shared.metrics.duties.record_window("recorded");
                RecordAnswer::Written(end)
            }
            Ok(None) => {
                tracing::info!(%window, %at, "duties: another VM has recorded usage");
                RecordAnswer::Unknown
            }
            Err(error) => {
                tracing::warn!(%window, %error, "duties: recording the usage failed");
                RecordAnswer::Unknown
            }
        };
        let now = self.shared.clock.now();
        self.reports
            .apply_write(window, counts, removed, answer, now);
    }

    async fn report_window(&mut self, window: WindowId, counts: &ReportCounts, repeated: bool) {
        let Some(permit) = self.permit() else {
            return;
        };
        let token = permit.token;
        let request = usage_request(window.into(), counts, &self.node, token);
        let limit = match repeated {
            true => REPEATED_CALL_TIMEOUT,
            false => CALL_TIMEOUT,
        };
        let called = self
            .client
            .call_within(&request, permit.grant.time_left, limit);
        let (answer, label) = match called.await {
            Ok(response) => {
                let status = response.head.status;
                (decode_duty_answer(status), status.to_string())
            }
            Err(error) => {
                tracing::info!(%window, %error, "duties: a report got no response");
                (DutyAnswer::Failed, "none".to_owned())
            }
        };
        let now = self.shared.clock.now();
        self.holder.record_call(permit.grant, now);
        if answer == DutyAnswer::Fenced {
            self.holder.record_fenced(token);
        }
        let done = answer == DutyAnswer::Done;
        self.reports.apply_call(window, done, now);
        let metrics = &self.shared.metrics.duties;
        metrics.record_call(USAGE_DUTY, &label);
        if done {
            metrics.record_window(if repeated { "repeated" } else { "reported" });
        }
        let total: u64 = counts.values().sum();
        tracing::info!(
            %window, %token, repeated, accounts = counts.len(), total, ?answer, status = label,
            "duties: result of a usage report"
        );
    }
}

fn encode_record(counts: &ReportCounts) -> Bytes {
    let recorded = RecordedUsage {
        accounts: counts.keys().map(ToString::to_string).collect(),
        counts: counts.values().copied().collect(),
    };
    recorded.encode_to_vec().into()
}

/// Decodes a record of the usage topic. The counts are `None` if they are invalid; the window is
/// taken all the same. Removed records are ignored.
fn decode_record(record: KeyedRecord) -> Option<(WindowId, Option<ReportCounts>)> {
    let value = record.value?;
    let Ok(window) = record.key.parse() else {
        tracing::warn!(key = record.key, "duties: the key of a record is no window");
        return None;
    };
    let counts = decode_counts(value);
    if counts.is_none() {
        tracing::warn!(%window, "duties: a record of usage can't be decoded");
    }
    Some((window, counts))
}

fn decode_counts(value: Bytes) -> Option<ReportCounts> {
    let recorded = RecordedUsage::decode(value).ok()?;
    let accounts = recorded.accounts.iter().map(|name| name.parse().ok());
    let accounts: Option<Vec<_>> = accounts.collect();
    Some(accounts?.into_iter().zip(recorded.counts).collect())
}
