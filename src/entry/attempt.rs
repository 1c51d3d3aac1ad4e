//! One send of a request to one target.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;

use super::admission::KnownRequest;
use super::channels::TargetChannel;
use super::http::{AnswerHead, BodyDecoder, BodyFraming, HttpError, ReadBuffer};
use super::relay::{RelayEnd, RelayProgress, relay_answer};
use super::request::TargetPlace;
use super::shared::EntryShared;
use crate::dispatch::directory::TargetKey;
use crate::dispatch::routing::RouteKind;
use crate::ids::RequestId;
use crate::platform::headers::{
    MISDIRECTED, TargetSend, answering_target, answers, encode_request, is_not_run, is_sealed,
};

/// Answers to other requests that are passed over on one connection.
const STRAY_LIMIT: u32 = 4;
/// How many latency targets a repeatable request waits for a silent target before it goes to
/// another: late already, but in time for the caller.
const SILENCE_FACTOR: u32 = 3;

/// How a send ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// The caller has the whole answer.
    Complete,
    CallerGone,
    /// Nothing was sent.
    NotSent,
    /// The target says that it did not run the request.
    NotRun,
    /// The target answered with a failure of its own, and another one may do better. Holds the
    /// answer as the caller would get it.
    Failed(Vec<u8>),
    /// The target may have run the request, and there is no whole answer.
    Lost,
}

/// Sends a request to the target of `place` and relays the answer. `sent` is set as soon as the
/// target may run the request.
pub(crate) async fn send_to_target(
    shared: &EntryShared,
    request: &KnownRequest<'_>,
    place: &TargetPlace<'_>,
    progress: &mut RelayProgress,
    writer: &mut (impl AsyncWrite + Unpin),
    sent: &mut bool,
) -> AttemptEnd {
    let target = place.target;
    let Some(address) = shared.target_address(target) else {
        return AttemptEnd::NotSent;
    };
    let Some(channel) = open_channel(shared, request, target, address).await else {
        return AttemptEnd::NotSent;
    };
    let Some(bytes) = encode_send(shared, request, place, progress) else {
        return AttemptEnd::NotSent;
    };
    *sent = true;
    let mut attempt = TargetAttempt {
        shared,
        request,
        target,
        address,
        channel,
    };
    let head = match attempt.exchange(&bytes).await {
        Ok(head) => head,
        Err(error) => return attempt.note_lost(&error),
    };
    if is_not_run(&head) {
        return attempt.take_refusal(head).await;
    }
    if (200..300).contains(&head.status) && !is_sealed(&head) {
        return attempt.note_lost(&HttpError::Malformed("a success without the target's seal"));
    }
    if progress.is_begun() && !(200..300).contains(&head.status) {
        // The caller has the head and a part of another answer: a failure can't follow them.
        return attempt.note_lost(&HttpError::Malformed(
            "a failure instead of a stream's rest",
        ));
    }
    let framing = match head.framing(&request.caller.head.method) {
        Ok(framing) => framing,
        Err(error) => return attempt.note_lost(&error),
    };
    let whole = !matches!(
        request.route.kind,
        RouteKind::Stream | RouteKind::ResumableStream
    );
    if head.status >= 500 && place.repeats_failure {
        return attempt.take_failure(&head, framing, progress).await;
    }
    progress.begin_answer(request.route.kind == RouteKind::ResumableStream, whole);
    let relayed = relay_answer(&head, framing, &mut attempt.channel, progress, writer).await;
    match relayed {
        RelayEnd::Complete => {
            attempt.note_answered(&head);
            attempt.keep_channel(&head, framing);
            AttemptEnd::Complete
        }
        RelayEnd::CallerGone => AttemptEnd::CallerGone,
        RelayEnd::Broken(error) => attempt.note_lost(&error),
    }
}

/// A connection to the target, kept or new.
async fn open_channel(
    shared: &EntryShared,
    request: &KnownRequest<'_>,
    target: TargetKey,
    address: SocketAddr,
) -> Option<TargetChannel> {
    if let Some(channel) = shared.channels.take(address, shared.clock.now()) {
        return Some(channel);
    }
    match shared.channels.open(address).await {
        Ok(channel) => Some(channel),
        Err(error) => {
            let name = shared.target_name(target);
            tracing::warn!(request = %request.id(), target = name, %error, "attempt: no connection");
            note_broken(shared, target);
            None
        }
    }
}

fn note_broken(shared: &EntryShared, target: TargetKey) {
    let now = shared.clock.now();
    if let Some(entry) = shared.state.borrow_mut().directory.get_mut(target) {
        entry.note_broken(now);
    }
}

/// The bytes to send, unless the target has gone or the key can no longer be trusted.
fn encode_send(
    shared: &EntryShared,
    request: &KnownRequest<'_>,
    place: &TargetPlace<'_>,
    progress: &RelayProgress,
) -> Option<BytesMut> {
    let now = shared.clock.now();
    let state = shared.state.borrow();
    let entry = state.directory.get(place.target)?;
    let trusted = request.account.is_none() || state.is_fresh(now);
    if !trusted || !state.directory.is_open(entry) {
        return None;
    }
    let body = &request.caller.body;
    let send = TargetSend {
        target: &entry.name,
        account: request.account.as_ref(),
        time_left: request.time_left(now),
        adapter_version: place.version,
        priority: state.engine_of(&request.service).map(|_| request.priority),
        last_event: progress.last_event(),
    };
    let mut bytes = encode_request(&request.caller.head, body.len(), &send);
    bytes.extend_from_slice(body);
    Some(bytes)
}

struct TargetAttempt<'a> {
    shared: &'a EntryShared,
    request: &'a KnownRequest<'a>,
    target: TargetKey,
    address: SocketAddr,
    channel: TargetChannel,
}

impl TargetAttempt<'_> {
    /// Sends the request and reads the head of its answer.
    async fn exchange(&mut self, bytes: &[u8]) -> Result<AnswerHead, HttpError> {
        let (id, route) = (self.request.id(), &self.request.route);
        let exchange = exchange(
            &mut self.channel,
            bytes,
            id,
            &self.request.caller.head.method,
        );
        if route.kind.is_repeatable() && route.max_attempts > 1 {
            let patience = (route.latency_target * SILENCE_FACTOR).min(route.timeout / 2);
            return tokio::time::timeout(patience, exchange)
                .await
                .unwrap_or(Err(HttpError::Malformed(
                    "no answer for several latency targets",
                )));
        }
        exchange.await
    }

    /// The target refused the request.
    async fn take_refusal(self, head: AnswerHead) -> AttemptEnd {
        let (shared, target) = (self.shared, self.target);
        let name = shared.target_name(target);
        tracing::info!(
            request = %self.request.id(), target = name, status = head.status,
            load = shared.state.borrow().load(target), "attempt: refused by the target"
        );
        if head.status == MISDIRECTED {
            let other = answering_target(&head).is_some_and(|id| id != name);
            match &self.request.ask.adapter {
                Some(adapter) if !other => shared.state.borrow_mut().note_absent(target, adapter),
                _ => note_broken(shared, target),
            }
        }
        self.keep_after_refusal(&head).await;
        AttemptEnd::NotRun
    }

    /// Reads a refusal's body, so that its connection serves further requests.
    async fn keep_after_refusal(mut self, head: &AnswerHead) {
        /// Refusals are short; a longer one is not worth its connection.
        const BODY_LIMIT: usize = 4096;
        /// The body follows its head at once.
        const BODY_TIMEOUT: Duration = Duration::from_millis(20);
        let (Ok(framing), true) = (head.framing("GET"), head.keeps_alive()) else {
            return;
        };
        let TargetChannel { stream, buffer, .. } = &mut self.channel;
        let body = super::http::read_body(stream, buffer, framing, BODY_LIMIT);
        if let Ok(Ok(_)) = tokio::time::timeout(BODY_TIMEOUT, body).await {
            self.keep_channel(head, framing);
        }
    }

    /// Keeps a failure's answer aside.
    async fn take_failure(
        mut self,
        head: &AnswerHead,
        framing: BodyFraming,
        progress: &RelayProgress,
    ) -> AttemptEnd {
        let mut answer = Vec::new();
        let mut aside = progress.aside();
        let relayed = relay_answer(head, framing, &mut self.channel, &mut aside, &mut answer);
        if let RelayEnd::Broken(error) = relayed.await {
            return self.note_lost(&error);
        }
        tracing::info!(
            request = %self.request.id(), target = self.shared.target_name(self.target),
            status = head.status, "attempt: failed at the target"
        );
        self.note_answered(head);
        self.keep_channel(head, framing);
        AttemptEnd::Failed(answer)
    }

    /// Keeps the connection for further requests, if the target does.
    fn keep_channel(self, head: &AnswerHead, framing: BodyFraming) {
        if head.keeps_alive() && framing != BodyFraming::UntilClose {
            let now = self.shared.clock.now();
            let channels = &self.shared.channels;
            channels.keep(self.address, self.channel, head.idle_timeout(), now);
        }
    }

    fn note_answered(&self, head: &AnswerHead) {
        let mut state = self.shared.state.borrow_mut();
        if let Some(entry) = state.directory.get_mut(self.target) {
            entry.note_outcome(head.status < 500);
        }
        let now = self.shared.clock.now();
        if !state.strikes.is_empty() {
            state.strikes.clear(self.request.fingerprint(), now);
        }
    }

    fn note_lost(&self, error: &HttpError) -> AttemptEnd {
        let now = self.shared.clock.now();
        let name = self.shared.target_name(self.target);
        let mut state = self.shared.state.borrow_mut();
        if let Some(entry) = state.directory.get_mut(self.target) {
            entry.note_outcome(false);
        }
        let broken = matches!(error, HttpError::Io(_) | HttpError::Ended);
        let strikes = if broken {
            let fingerprint = self.request.fingerprint();
            state.strikes.note(fingerprint, self.target, now)
        } else {
            0
        };
        tracing::warn!(
            request = %self.request.id(), target = name, %error, strikes,
            reused = self.channel.reused, "attempt: no whole answer"
        );
        AttemptEnd::Lost
    }
}

/// Writes `bytes` while reading, since a target may answer before it has read a long body.
async fn exchange(
    channel: &mut TargetChannel,
    bytes: &[u8],
    id: &RequestId,
    method: &str,
) -> Result<AnswerHead, HttpError> {
    let TargetChannel {
        stream,
        buffer,
        unread_body,
        ..
    } = channel;
    let written = write_ready(stream, bytes);
    if written == bytes.len() {
        return read_answer(stream, buffer, id, method).await;
    }
    let (mut reader, mut writer) = stream.split();
    let mut reading = std::pin::pin!(read_answer(&mut reader, buffer, id, method));
    tokio::select! {
        biased;
        head = &mut reading => {
            *unread_body = true;
            head
        }
        written = writer.write_all(&bytes[written..]) => {
            written?;
            reading.await
        }
    }
}

/// Writes what the socket takes at once.
fn write_ready(stream: &TcpStream, bytes: &[u8]) -> usize {
    stream.try_write(bytes).unwrap_or(0)
}

/// Reads the head of the answer to the request `id`, past answers that belong to other requests.
async fn read_answer(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut ReadBuffer,
    id: &RequestId,
    method: &str,
) -> Result<AnswerHead, HttpError> {
    let mut strays = 0;
    loop {
        let head = buffer.read_answer(stream).await?;
        if head.status < 200 {
            continue;
        }
        if answers(&head, id) {
            return Ok(head);
        }
        strays += 1;
        tracing::warn!(request = %id, status = head.status, "attempt: an answer to another request");
        if strays > STRAY_LIMIT {
            return Err(HttpError::Malformed("too many answers to other requests"));
        }
        skip_body(stream, buffer, &head, method).await?;
    }
}

async fn skip_body(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut ReadBuffer,
    head: &AnswerHead,
    method: &str,
) -> Result<(), HttpError> {
    let mut decoder = BodyDecoder::new(head.framing(method)?);
    let mut dropped = BytesMut::new();
    loop {
        decoder.decode(buffer, &mut dropped)?;
        dropped.clear();
        if decoder.is_done() {
            return Ok(());
        }
        if buffer.fill(stream).await? == 0 {
            return Err(HttpError::Ended);
        }
    }
}
