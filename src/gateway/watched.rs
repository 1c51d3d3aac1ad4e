//! Answer bodies that a watch can end while their caller does not read.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use futures_util::stream::BoxStream;
use futures_util::{Stream, StreamExt};
use poem::Body;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep_until;

use super::auth::CallerIdentity;
use super::error::{CallerError, RunState};
use super::running::{key_revoked, key_unconfirmed};
use super::scope::RequestScope;
use crate::ids::LogOffset;
use crate::node::Node;

type BodyPart = io::Result<Bytes>;

/// What ends an answer before its last part: the deadline, a revoked key, a node out of date.
#[derive(Debug)]
pub(crate) struct AnswerWatch {
    node: Arc<Node>,
    /// Not set on routes that are open to all.
    identity: Option<CallerIdentity>,
    scope: RequestScope,
    applied: watch::Receiver<LogOffset>,
}

impl AnswerWatch {
    pub(crate) fn new(
        node: &Arc<Node>,
        identity: Option<CallerIdentity>,
        scope: &RequestScope,
    ) -> Self {
        let applied = node.context.config.subscribe();
        Self {
            node: Arc::clone(node),
            identity,
            scope: scope.clone(),
            applied,
        }
    }

    /// Returns when the answer must end, with the caller's error.
    pub(crate) async fn ended(&mut self) -> CallerError {
        let Self {
            node,
            identity,
            scope,
            applied,
        } = self;
        let Some(identity) = identity else {
            sleep_until(scope.deadline).await;
            return scope.deadline_passed();
        };
        let revoked = async {
            while identity.is_valid(&node.context.config.current()) {
                if applied.changed().await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            () = sleep_until(scope.deadline) => scope.deadline_passed(),
            () = node.context.membership.wait_until_stale(&node.context.config) => {
                key_unconfirmed().with_run(RunState::Yes)
            }
            () = revoked => key_revoked().with_run(RunState::Yes),
        }
    }
}

/// The parts still to come, shared by the connection and the watch. The connection reads the
/// target itself, so that a part wakes one task. Reading in a task of its own, with a channel in
/// between, doubled the wake-ups of other threads for each token.
#[derive(Default)]
struct SharedParts {
    /// `None` once the answer has ended.
    parts: Option<BoxStream<'static, BodyPart>>,
    /// What follows the parts when the watch ended them.
    last: Option<BodyPart>,
    reader: Option<Waker>,
}

fn lock(shared: &Mutex<SharedParts>) -> MutexGuard<'_, SharedParts> {
    shared.lock().expect("no holder of the lock panics")
}

/// The body as the connection reads it. Its drop cancels the work behind it.
struct WatchedParts {
    shared: Arc<Mutex<SharedParts>>,
    watch: JoinHandle<()>,
}

impl Drop for WatchedParts {
    fn drop(&mut self) {
        self.watch.abort();
        lock(&self.shared).parts = None;
    }
}

impl Stream for WatchedParts {
    type Item = BodyPart;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<BodyPart>> {
        let mut shared = lock(&self.shared);
        if let Some(parts) = &mut shared.parts {
            match parts.poll_next_unpin(context) {
                Poll::Ready(Some(part)) => return Poll::Ready(Some(part)),
                Poll::Ready(None) => shared.parts = None,
                Poll::Pending => {
                    shared.reader = Some(context.waker().clone());
                    return Poll::Pending;
                }
            }
        }
        Poll::Ready(shared.last.take())
    }
}

/// A body of `parts`. When `ended` returns first, the parts are dropped, also if the caller does
/// not read, and its result is the last part.
pub(crate) fn watched_body(
    parts: impl Stream<Item = BodyPart> + Send + 'static,
    ended: impl Future<Output = BodyPart> + Send + 'static,
) -> Body {
    let shared = Arc::new(Mutex::new(SharedParts {
        parts: Some(parts.boxed()),
        ..SharedParts::default()
    }));
    let watched = Arc::clone(&shared);
    let watch = tokio::spawn(async move {
        let last = ended.await;
        let mut shared = lock(&watched);
        if shared.parts.take().is_some() {
            shared.last = Some(last);
        }
        if let Some(reader) = shared.reader.take() {
            reader.wake();
        }
    });
    Body::from_bytes_stream(WatchedParts { shared, watch })
}
