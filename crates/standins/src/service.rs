//! A plain HTTP service that counts how often each booking was executed.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use poem::http::{HeaderMap, StatusCode};
use poem::web::{Data, Json, Path};
use poem::{EndpointExt, Route, get, handler, post};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::server::RunningServer;

/// Executes bookings and counts the executions by booking text, so that a request that ran twice
/// is detected.
#[derive(Debug, Default)]
pub struct BookingService {
    runs: Mutex<HashMap<String, u32>>,
    received_headers: Mutex<Vec<String>>,
    delay: Duration,
}

impl BookingService {
    pub fn new() -> Self {
        Self::default()
    }

    /// Delays the reply to each booking by this long after the booking is counted.
    pub fn with_delay(mut self, delay: Duration) -> Self {
        self.delay = delay;
        self
    }

    pub fn start(self: Arc<Self>, listener: TcpListener) -> std::io::Result<RunningServer> {
        let app = Route::new()
            .at("/bookings", post(book))
            .at("/bookings/:text", get(booking_runs))
            .at("/cylinders/:id", get(cylinder))
            .at("/health", get(service_health))
            .at("/stats", get(service_stats))
            .data(self);
        RunningServer::start(listener, app)
    }

    pub fn run_count(&self, text: &str) -> u32 {
        let runs = self.runs.lock().expect("no holder of the lock panics");
        runs.get(text).copied().unwrap_or(0)
    }

    fn record_request_headers(&self, headers: &HeaderMap) {
        let mut received = self
            .received_headers
            .lock()
            .expect("no holder of the lock panics");
        let lines = headers
            .iter()
            .map(|(name, value)| format!("{name}: {value:?}"));
        received.extend(lines);
    }
}

#[derive(Debug, Deserialize)]
struct BookingRequest {
    text: String,
}

#[derive(Debug, Serialize)]
struct BookingReply {
    text: String,
    runs: u32,
}

#[handler]
async fn book(
    headers: &HeaderMap,
    Json(booking): Json<BookingRequest>,
    Data(service): Data<&Arc<BookingService>>,
) -> Json<BookingReply> {
    service.record_request_headers(headers);
    let runs = {
        let mut runs = service.runs.lock().expect("no holder of the lock panics");
        let count = runs.entry(booking.text.clone()).or_default();
        *count += 1;
        *count
    };
    tokio::time::sleep(service.delay).await;
    Json(BookingReply {
        text: booking.text,
        runs,
    })
}

#[handler]
async fn booking_runs(
    Path(text): Path<String>,
    Data(service): Data<&Arc<BookingService>>,
) -> Json<BookingReply> {
    let runs = service.run_count(&text);
    Json(BookingReply { text, runs })
}

#[handler]
async fn cylinder(
    headers: &HeaderMap,
    Path(id): Path<String>,
    Data(service): Data<&Arc<BookingService>>,
) -> Json<serde_json::Value> {
    service.record_request_headers(headers);
    Json(serde_json::json!({"id": id, "state": "rented"}))
}

#[handler]
async fn service_health() -> StatusCode {
    StatusCode::OK
}

#[handler]
async fn service_stats(Data(service): Data<&Arc<BookingService>>) -> Json<serde_json::Value> {
    let runs = service
        .runs
        .lock()
        .expect("no holder of the lock panics")
        .clone();
    let headers = service
        .received_headers
        .lock()
        .expect("no holder of the lock panics")
        .clone();
    Json(serde_json::json!({"runs": runs, "headers": headers}))
}
