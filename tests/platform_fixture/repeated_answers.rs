//! Answers to orders and reports that a target sends once more, on the connection of a later call.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::target::TargetState;

/// What the control interface answers, and which of its answers it repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RepeatedAnswer {
    /// The path of the calls whose answers are repeated.
    path: &'static str,
    /// The status of the answers that are repeated.
    status: u16,
    /// The number of the later call on the connection before whose answer the copy is sent.
    later_call: usize,
    /// The time from a copy to the answer that follows it.
    pause: Duration,
    refusal: Option<OrderRefusal>,
}

/// A refusal of the first order of a kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OrderRefusal {
    pub(crate) operation: &'static str,
    /// The adapter that the order is about; any if it is empty.
    pub(crate) adapter: &'static str,
    pub(crate) status: u16,
}

impl RepeatedAnswer {
    /// Repeats the answers with `status` to calls of `path` before the answer to the next call.
    pub(crate) fn new(path: &'static str, status: u16) -> Self {
        Self {
            path,
            status,
            later_call: 1,
            pause: Duration::ZERO,
            refusal: None,
        }
    }

    /// Repeats them before the answer to this later call.
    pub(crate) fn with_later_call(mut self, later_call: usize) -> Self {
        self.later_call = later_call;
        self
    }

    pub(crate) fn with_pause(mut self, pause: Duration) -> Self {
        self.pause = pause;
        self
    }

    /// Refuses the first order of this kind.
    pub(crate) fn with_refusal(
        mut self,
        operation: &'static str,
        adapter: &'static str,
        status: u16,
    ) -> Self {
        self.refusal = Some(OrderRefusal {
            operation,
            adapter,
            status,
        });
        self
    }

    /// The status with which the target refuses an order, if it does.
    pub(crate) fn refused_status(
        &self,
        operation: &str,
        adapter: &str,
        state: &TargetState,
    ) -> Option<u16> {
        let refusal = self.refusal?;
        let is_about = |order: &AnsweredOrder| {
            let is_adapter = refusal.adapter.is_empty() || order.adapter == refusal.adapter;
            order.operation == refusal.operation && is_adapter
        };
        let order = AnsweredOrder::new(operation, adapter, refusal.status);
        let is_first = !state.answered_orders.iter().any(is_about);
        (is_first && is_about(&order)).then_some(refusal.status)
    }
}

/// An order and the status of its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AnsweredOrder {
    pub(crate) operation: String,
    pub(crate) adapter: String,
    pub(crate) status: u16,
}

impl AnsweredOrder {
    pub(crate) fn new(operation: &str, adapter: &str, status: u16) -> Self {
        Self {
            operation: operation.to_owned(),
            adapter: adapter.to_owned(),
            status,
        }
    }
}

/// The copies that are still to be sent on a connection.
#[derive(Debug, Default)]
pub(crate) struct AnswerCopies(Vec<AnswerCopy>);

#[derive(Debug)]
struct AnswerCopy {
    calls_left: usize,
    pause: Duration,
    response: String,
}

impl AnswerCopies {
    /// Keeps a copy of a call's answer if it is to be repeated.
    pub(crate) fn add(&mut self, repeated: RepeatedAnswer, head: &str, response: &str) {
        let status = format!("HTTP/1.1 {} ", repeated.status);
        if head.contains(repeated.path) && response.starts_with(&status) {
            self.0.push(AnswerCopy {
                calls_left: repeated.later_call,
                pause: repeated.pause,
                response: response.to_owned(),
            });
        }
    }

    /// Writes the copies that are due at a call, before its answer.
    pub(crate) async fn write_due(&mut self, stream: &mut TcpStream) -> std::io::Result<()> {
        for copy in &mut self.0 {
            copy.calls_left -= 1;
        }
        for copy in self.0.extract_if(.., |copy| copy.calls_left == 0) {
            stream.write_all(copy.response.as_bytes()).await?;
            tokio::time::sleep(copy.pause).await;
        }
        Ok(())
    }
}
