//! Decides whether and when a target has started a request, for the report of usage.

use std::cell::Cell;

use super::admission::AdmittedRequest;
use super::shared::EntryShared;
use super::usage_counts::record_start;
use crate::clock::Timestamp;

/// Counts one attempt at most once. A stream starts with its first event. A plain request starts
/// when it is sent, unless the target states that it did not run; it is counted when the attempt
/// ends, also if it is given up because the caller has disconnected.
pub(super) struct StartCount<'a> {
    shared: &'a EntryShared,
    request: &'a AdmittedRequest<'a>,
    sent_at: Timestamp,
    is_stream: bool,
    /// Whether the attempt has been counted or is not to be counted.
    is_decided: Cell<bool>,
}

impl<'a> StartCount<'a> {
    /// `is_resumed` is set if the attempt continues a stream, whose start was counted before.
    pub(super) fn new(
        shared: &'a EntryShared,
        request: &'a AdmittedRequest<'a>,
        is_resumed: bool,
    ) -> Self {
        Self {
            shared,
            request,
            sent_at: shared.clock.now(),
            is_stream: request.route.kind.is_stream(),
            is_decided: Cell::new(is_resumed || request.account.is_none()),
        }
    }

    /// The target states that it did not run the request.
    pub(super) fn record_refused(&self) {
        self.is_decided.set(true);
    }

    /// No response has arrived. A connection that was idle before may have been closed by the target
    /// before it read the request, and a request on an adapter may have waited in the target's queue.
    pub(super) fn record_no_response(&self, reused: bool) {
        if reused || self.request.headers.adapter.is_some() {
            self.is_decided.set(true);
        }
    }

    /// The first event or the whole response has arrived.
    pub(super) fn record_answer(&self, status: u16) {
        if self.is_stream && (200..300).contains(&status) {
            self.count(self.shared.clock.now());
        }
    }

    fn count(&self, started: Timestamp) {
        if let (false, Some(account)) = (self.is_decided.replace(true), &self.request.account) {
            record_start(self.shared, account, started);
        }
    }
}

impl Drop for StartCount<'_> {
    fn drop(&mut self) {
        if !self.is_stream {
            self.count(self.sent_at);
        }
    }
}
