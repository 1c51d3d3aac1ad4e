//! Callers that send a request again with the same id.

use std::sync::atomic::Ordering;
use std::time::Duration;

use super::callers::{CallerConnection, CallerContext, CallerRequest};
use super::history::{RequestKind, RequestOutcome};

/// How often a caller sends one request at most.
const MAX_SENDINGS: u32 = 5;
/// The share of refused callers that come back with the same id.
const RETURN_SHARE: f64 = 0.8;
/// The longest time until a caller comes back. Most of them come back at once.
const LONGEST_PAUSE_MS: u64 = 1_000;
const PROMPT_SHARE: f64 = 0.7;
/// Idempotent requests whose number is a multiple of this are sent by two callers at the same time.
const TWIN_INTERVAL: u64 = 21;
/// The longest time from the first sending to that of the second caller.
const LONGEST_TWIN_DELAY_MS: u64 = 40;

/// Sends a request, and sends it again while it is refused with the promise that it has not run. Only
/// then may a caller repeat a request of any kind. Returns the connection if it can be used further.
pub(crate) async fn send_until_served(
    connection: CallerConnection,
    context: &CallerContext,
    mut request: CallerRequest,
) -> Option<CallerConnection> {
    let (mut outcome, mut open);
    let first_sending = connection.send(context, request);
    if request.kind == RequestKind::Idempotent && request.number.is_multiple_of(TWIN_INTERVAL) {
        request.sending += 1;
        ((outcome, open), _) = tokio::join!(first_sending, send_twin(context, request));
    } else {
        (outcome, open) = first_sending.await;
    }
    while outcome.promises_not_run()
        && request.sending < MAX_SENDINGS
        && rand::random_bool(RETURN_SHARE)
    {
        if !rand::random_bool(PROMPT_SHARE) {
            let pause = Duration::from_millis(rand::random_range(0..LONGEST_PAUSE_MS));
            tokio::time::sleep(pause).await;
        }
        request.sending += 1;
        let connection = choose_connection(open.take(), context, &mut request).await?;
        context.returns.fetch_add(1, Ordering::Relaxed);
        (outcome, open) = connection.send(context, request).await;
    }
    open
}

/// Sends an idempotent request of another caller, with the same id, from a connection of its own.
async fn send_twin(context: &CallerContext, mut request: CallerRequest) -> Option<RequestOutcome> {
    let delay = Duration::from_millis(rand::random_range(0..LONGEST_TWIN_DELAY_MS));
    tokio::time::sleep(delay).await;
    let connection = choose_connection(None, context, &mut request).await?;
    context.returns.fetch_add(1, Ordering::Relaxed);
    let (outcome, _) = connection.send(context, request).await;
    Some(outcome)
}

/// Chooses the open connection, or a new one to the same VM or to any VM.
async fn choose_connection(
    open: Option<CallerConnection>,
    context: &CallerContext,
    request: &mut CallerRequest,
) -> Option<CallerConnection> {
    let choice = rand::random_range(0..4);
    if choice < 2
        && let Some(open) = open
    {
        return Some(open);
    }
    if choice == 3 {
        request.vm = rand::random_range(0..context.vm_addresses.len());
    }
    CallerConnection::open(context, request.vm, request.key).await
}
