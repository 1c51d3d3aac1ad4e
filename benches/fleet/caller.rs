//! Sends the planned requests at their arrival times and reads the answers.

use std::time::Duration;

use futures_util::StreamExt;
use serde_json::Value;
use tokio::time::Instant;

use crate::RequestSender;
use crate::arrivals::Arrival;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallEnd {
    Complete,
    /// Refused because the account exceeded its rate limit.
    OverRate,
    /// Refused for another reason before it ran.
    Refused,
    /// Failed when it may already have run, or the connection broke.
    Failed,
    /// The answer belonged to another request or another adapter.
    Wrong,
}

/// The result of one request, measured by the caller.
#[derive(Debug, Clone)]
pub(crate) struct CallOutcome {
    pub(crate) end: CallEnd,
    /// Time from the arrival to the first token.
    pub(crate) first_token: Duration,
    /// Time from the start of the run to the first token.
    pub(crate) first_token_at: Duration,
    pub(crate) tokens: u64,
}

impl CallOutcome {
    pub(crate) fn without_answer(end: CallEnd) -> Self {
        Self {
            end,
            first_token: Duration::ZERO,
            first_token_at: Duration::ZERO,
            tokens: 0,
        }
    }
}

/// Sends each request at its arrival time and returns the outcomes in the order of the plan.
pub(crate) async fn send_all<S: RequestSender>(sender: &S, plan: &[Arrival]) -> Vec<CallOutcome> {
    let start = Instant::now();
    let calls = plan.iter().map(|arrival| async move {
        tokio::time::sleep_until(start + arrival.at).await;
        let mut outcome = sender.send(arrival).await;
        outcome.first_token_at = arrival.at + outcome.first_token;
        outcome
    });
    futures_util::future::join_all(calls).await
}

/// Reads a streamed answer and checks that it belongs to the arrival.
pub(crate) async fn read_answer(
    reply: reqwest::Response,
    arrival: &Arrival,
    sent: Instant,
) -> CallOutcome {
    let expected = format!("[shop-{}/v1 {}]", arrival.adapter, arrival.id);
    let mut outcome = CallOutcome::without_answer(CallEnd::Failed);
    let mut text = String::new();
    let mut pending = Vec::new();
    let mut stream = reply.bytes_stream();
    while let Some(Ok(bytes)) = stream.next().await {
        pending.extend_from_slice(&bytes);
        while let Some(end) = pending.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = pending.drain(..end + 2).collect();
            let event = String::from_utf8_lossy(&event);
            let data = event.trim().trim_start_matches("data: ");
            if data == "[DONE]" {
                outcome.end = classify_answer(&text, &expected, arrival, outcome.tokens);
                return outcome;
            }
            if let Some(token) = parse_token(data) {
                if outcome.tokens == 0 {
                    outcome.first_token = sent.elapsed();
                }
                outcome.tokens += 1;
                text.push_str(&token);
            }
        }
    }
    if !text.is_empty() && !text.starts_with(&expected) {
        outcome.end = CallEnd::Wrong;
    }
    outcome
}

fn parse_token(data: &str) -> Option<String> {
    let event: Value = serde_json::from_str(data).ok()?;
    event["choices"][0]["text"].as_str().map(str::to_owned)
}

fn classify_answer(text: &str, expected: &str, arrival: &Arrival, tokens: u64) -> CallEnd {
    if !text.starts_with(expected) {
        return CallEnd::Wrong;
    }
    if tokens == arrival.tokens {
        CallEnd::Complete
    } else {
        CallEnd::Failed
    }
}
