//! The internal HTTP endpoints of an entry VM: readiness and metrics.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

use super::http::ReadBuffer;
use super::server::accept_next;
use super::shared::EntryShared;

/// Accepts connections to an internal endpoint forever and serves each one in its own task. Closes
/// the oldest one when there are more than `limit`.
pub(super) async fn accept_endpoint<F>(
    listener: TcpListener,
    limit: usize,
    serve: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    let mut open: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let Some(stream) = accept_next(&listener).await else {
            continue;
        };
        open.retain(|connection| !connection.is_finished());
        if open.len() >= limit
            && let Some(oldest) = open.pop_front()
        {
            oldest.abort();
        }
        open.push_back(tokio::task::spawn_local(serve(stream)).abort_handle());
    }
}

/// What an internal HTTP endpoint serves, for every path.
#[derive(Debug, Clone, Copy)]
pub(super) enum EndpointKind {
    Ready,
    Metrics,
}

/// Serves requests to an internal endpoint on one connection until it closes.
pub(super) async fn serve_endpoint(
    shared: Rc<EntryShared>,
    mut stream: TcpStream,
    kind: EndpointKind,
) {
    const MAX_HEAD_BYTES: usize = 8 * 1024;
    /// Readiness checks arrive every second and metric scrapes every five.
    const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
    let mut buffer = ReadBuffer::default();
    loop {
        match buffer.take_request_head(MAX_HEAD_BYTES) {
            Ok(Some(_)) => {
                let (status, body) = match kind {
                    EndpointKind::Ready => readiness_response(&shared),
                    EndpointKind::Metrics => ("200 OK", shared.metrics.encode()),
                };
                let length = body.len();
                let response =
                    format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}");
                if stream.write_all(response.as_bytes()).await.is_err() {
                    return;
                }
            }
            Ok(None) => {
                let read = tokio::time::timeout(IDLE_TIMEOUT, buffer.fill(&mut stream)).await;
                if !matches!(read, Ok(Ok(1..))) {
                    return;
                }
            }
            Err(_) => return,
        }
    }
}

fn readiness_response(shared: &EntryShared) -> (&'static str, String) {
    let state = shared.state.borrow();
    let ready = state.stopping_since.is_none()
        && state.config.is_some()
        && state.is_config_fresh(shared.clock.now());
    let status = if ready {
        "200 OK"
    } else {
        "503 Service Unavailable"
    };
    (status, String::new())
}
