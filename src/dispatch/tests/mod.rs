mod account_cuts;
mod account_fleet;
mod account_grants;
mod account_limit;
mod account_restart;
mod choice;
mod cold_permits;
mod cold_start;
mod config_lag;
mod copies;
mod copy_replay;
mod directory;
mod duty_lease;
mod fleet_clock;
mod limits;
mod load_planner;
mod load_time;
mod model_choice;
mod overload;
mod ownership;
mod peer_view;
mod prompt_suspects;
mod relay_backlog;
mod relay_coverage;
mod residency;
mod restored_list;
mod scaling;
mod service_reach;
mod stream_origins;
mod target_limit;
mod usage_reports;
mod usage_windows;

use std::time::Duration;

use crate::clock::Timestamp;
use crate::dispatch::directory::TargetReport;
use crate::dispatch::residency::VersionStart;
use crate::dispatch::routing::{EngineSpec, ModelSpec};
use crate::ids::{LogOffset, LogPosition, ModelAdapter, StoreEra};

pub(crate) fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// An engine for the models "m" and "n", of which one fits on a target beside `capacity` adapters.
pub(crate) fn engine(capacity: usize) -> EngineSpec {
    let model = |name: &str| ModelSpec {
        name: name.parse().unwrap(),
        weights_mb: 100.0,
        adapter_mb: 1.0,
    };
    EngineSpec {
        models: vec![model("m"), model("n")],
        weights_mb: 100.0 + capacity as f64,
        adapter_slots: 50,
        host_mb: 0.0,
    }
}

/// The start of a version under a limit of 5 s.
fn set_at(millis: u64) -> VersionStart {
    VersionStart {
        set_at: at(millis),
        version_time: ms(5000),
    }
}

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A position in the first era of the store.
fn position(offset: u64) -> LogPosition {
    LogPosition::new(StoreEra::default(), LogOffset::from(offset))
}

/// An adapter of the model "m".
fn adapter(name: &str) -> ModelAdapter {
    ModelAdapter::from_relative(name, "m").unwrap()
}

pub(crate) fn report(zone: &str) -> TargetReport {
    TargetReport {
        service: "llm".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: zone.parse().unwrap(),
        software: None,
        slots: 10,
        leaving: false,
        departs_in: None,
        cold_remaining: Duration::ZERO,
        sequence: 1,
        started_ms: 1,
        models: Vec::new(),
    }
}
