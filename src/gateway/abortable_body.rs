//! Response bodies that can be aborted at any time, also while their caller is not reading.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, Waker, ready};

use bytes::Bytes;
use futures_util::stream::BoxStream;
use futures_util::{Stream, StreamExt};
use poem::Body;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep_until;

use super::auth::CallerIdentity;
use super::connection::CloseSignal;
use super::error::{CallerError, RunState};
use super::running_call::{key_revoked, key_unconfirmed};
use super::scope::RequestScope;
use crate::ids::LogOffset;
use crate::node::Node;

type BodyChunk = io::Result<Bytes>;

/// Waits for a reason to abort a response: its deadline, a revoked key, or a configuration that is
/// too old to know whether the key is revoked.
#[derive(Debug)]
pub(crate) struct ResponseWatch {
    node: Arc<Node>,
    /// `None` on routes that need no key.
    identity: Option<CallerIdentity>,
    scope: RequestScope,
    applied_offset: watch::Receiver<LogOffset>,
}

impl ResponseWatch {
    pub(crate) fn new(
        node: &Arc<Node>,
        identity: Option<CallerIdentity>,
        scope: &RequestScope,
    ) -> Self {
        let applied_offset = node.context.config.subscribe();
        Self {
            node: Arc::clone(node),
            identity,
            scope: scope.clone(),
            applied_offset,
        }
    }

    /// Returns the error for the caller once the response must be aborted.
    pub(crate) async fn abort_reason(&mut self) -> CallerError {
        let Self {
            node,
            identity,
            scope,
            applied_offset,
        } = self;
        let Some(identity) = identity else {
            sleep_until(scope.deadline).await;
            return scope.deadline_passed();
        };
        let revoked = async {
            while identity.is_valid(&node.context.config.current()) {
                if applied_offset.changed().await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            () = sleep_until(scope.deadline) => scope.deadline_passed(),
            () = node.context.membership.wait_until_stale(&node.context.config) => {
                key_unconfirmed().with_run_state(RunState::Yes)
            }
            () = revoked => key_revoked().with_run_state(RunState::Yes),
        }
    }
}

/// The remaining chunks of a response, shared by the connection and the watch task. The connection
/// polls the target's stream itself, so that a chunk wakes one task. A separate reader task with a
/// channel doubled the number of wake-ups of other threads for each token.
#[derive(Default)]
struct SharedStream {
    /// `None` once the response has ended.
    chunks: Option<BoxStream<'static, BodyChunk>>,
    /// The chunk that ends an aborted response.
    final_chunk: Option<BodyChunk>,
    reader_waker: Option<Waker>,
}

fn lock(shared: &Mutex<SharedStream>) -> MutexGuard<'_, SharedStream> {
    shared.lock().expect("no holder of the lock panics")
}

/// The body that the connection reads. Dropping it stops the watch task and closes the target's
/// stream.
struct AbortableStream {
    shared: Arc<Mutex<SharedStream>>,
    watch: JoinHandle<()>,
    /// Told if the body fails.
    connection: Option<Arc<CloseSignal>>,
}

impl Drop for AbortableStream {
    fn drop(&mut self) {
        self.watch.abort();
        lock(&self.shared).chunks = None;
    }
}

impl AbortableStream {
    fn poll_chunk(&self, context: &mut Context<'_>) -> Poll<Option<BodyChunk>> {
        let mut shared = lock(&self.shared);
        if let Some(chunks) = &mut shared.chunks {
            match chunks.poll_next_unpin(context) {
                Poll::Ready(Some(chunk)) => return Poll::Ready(Some(chunk)),
                Poll::Ready(None) => shared.chunks = None,
                Poll::Pending => {
                    shared.reader_waker = Some(context.waker().clone());
                    return Poll::Pending;
                }
            }
        }
        Poll::Ready(shared.final_chunk.take())
    }
}

impl Stream for AbortableStream {
    type Item = BodyChunk;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<BodyChunk>> {
        let chunk = ready!(self.poll_chunk(context));
        if let (Some(Err(_)), Some(connection)) = (&chunk, &self.connection) {
            connection.break_off();
        }
        Poll::Ready(chunk)
    }
}

/// A body of `chunks`. If `aborted` returns before they end, the rest is dropped, even if the
/// caller is not reading, and its result becomes the final chunk. `connection` is reset if a chunk is
/// an error.
pub(crate) fn abortable_body(
    chunks: impl Stream<Item = BodyChunk> + Send + 'static,
    aborted: impl Future<Output = BodyChunk> + Send + 'static,
    connection: Option<Arc<CloseSignal>>,
) -> Body {
    let shared = Arc::new(Mutex::new(SharedStream {
        chunks: Some(chunks.boxed()),
        ..SharedStream::default()
    }));
    let watched_stream = Arc::clone(&shared);
    let watch = tokio::spawn(async move {
        let final_chunk = aborted.await;
        let mut shared = lock(&watched_stream);
        if shared.chunks.take().is_some() {
            shared.final_chunk = Some(final_chunk);
        }
        if let Some(reader_waker) = shared.reader_waker.take() {
            reader_waker.wake();
        }
    });
    Body::from_bytes_stream(AbortableStream {
        shared,
        watch,
        connection,
    })
}
