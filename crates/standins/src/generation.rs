//! Completions of the engine, sent as one JSON body or as server-sent events with one token each.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use poem::http::{HeaderMap, StatusCode};
use poem::web::{Data, Json};
use poem::{Body, IntoResponse, Request, Response, handler};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::engine::{Engine, RunningRequest, error_response};

/// A prompt that contains this text crashes the engine.
pub const CRASH_MARKER: &str = "CRASH-THE-ENGINE";
/// Number of generated tokens when the prompt has no `tokens=N`.
const DEFAULT_TOKENS: u64 = 16;
/// Length of the prompt prefix that identifies an entry of the prefix cache.
const CACHED_PREFIX_BYTES: usize = 32;

#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: String,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<Value>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    stream_options: StreamOptions,
}

#[derive(Debug, Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// The completion that the engine generates for one request.
#[derive(Debug)]
struct GeneratedCompletion {
    id: String,
    model: String,
    chat: bool,
    prompt_tokens: u64,
    tokens: u64,
    first_token: String,
}

impl GeneratedCompletion {
    fn new(body: &CompletionBody, running: &RunningRequest, request_id: &str, chat: bool) -> Self {
        let prompt = body.prompt_text();
        let token_argument = prompt
            .split_whitespace()
            .find_map(|word| word.strip_prefix("tokens="));
        let requested_tokens = token_argument
            .and_then(|text| text.parse().ok())
            .unwrap_or(DEFAULT_TOKENS);
        Self {
            id: format!("cmpl-{request_id}"),
            model: body.model.clone(),
            chat,
            prompt_tokens: prompt.split_whitespace().count() as u64,
            tokens: body
                .max_tokens
                .map_or(requested_tokens, |limit| requested_tokens.min(limit)),
            first_token: format!("[{} {request_id}]", running.weight_path),
        }
    }

    /// The text of token `index`; the first token contains adapter, version and request id.
    fn token(&self, index: u64) -> String {
        if index == 0 {
            self.first_token.clone()
        } else {
            format!(" t{index}")
        }
    }

    fn choice(&self, text: &str, streamed: bool, finish: Option<&str>) -> Value {
        let message = json!({"role": "assistant", "content": text});
        match (self.chat, streamed) {
            (true, true) => json!({"index": 0, "delta": message, "finish_reason": finish}),
            (true, false) => json!({"index": 0, "message": message, "finish_reason": finish}),
            (false, _) => json!({"index": 0, "text": text, "finish_reason": finish}),
        }
    }

    fn object(&self, streamed: bool) -> &'static str {
        match (self.chat, streamed) {
            (true, true) => "chat.completion.chunk",
            (true, false) => "chat.completion",
            (false, _) => "text_completion",
        }
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens, "completion_tokens": self.tokens,
            "total_tokens": self.prompt_tokens + self.tokens,
        })
    }

    fn full_response(&self) -> Value {
        let text: String = (0..self.tokens).map(|index| self.token(index)).collect();
        json!({
            "id": self.id, "object": self.object(false), "model": self.model,
            "choices": [self.choice(&text, false, Some("stop"))], "usage": self.usage(),
        })
    }

    fn token_event(&self, index: u64) -> Bytes {
        let finish = (index + 1 == self.tokens).then_some("stop");
        let choice = self.choice(&self.token(index), true, finish);
        sse_event(&json!({
            "id": self.id, "object": self.object(true), "model": self.model, "choices": [choice],
        }))
    }

    fn usage_event(&self) -> Bytes {
        sse_event(&json!({
            "id": self.id, "object": self.object(true), "model": self.model,
            "choices": [], "usage": self.usage(),
        }))
    }
}

impl CompletionBody {
    fn prompt_text(&self) -> String {
        if let Some(prompt) = &self.prompt {
            return prompt.clone();
        }
        let texts = self
            .messages
            .iter()
            .filter_map(|message| message["content"].as_str());
        texts.collect::<Vec<_>>().join("\n")
    }
}

fn sse_event(value: &Value) -> Bytes {
    Bytes::from(format!("data: {value}\n\n"))
}

fn prefix_hash(prompt: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    prompt.as_bytes()[..prompt.len().min(CACHED_PREFIX_BYTES)].hash(&mut hasher);
    hasher.finish()
}

#[handler]
pub(crate) async fn complete(
    request: &Request,
    headers: &HeaderMap,
    Json(body): Json<CompletionBody>,
    Data(engine): Data<&Arc<Engine>>,
) -> Response {
    let prompt = body.prompt_text();
    let Some(running) = engine.start_request(&body.model, prefix_hash(&prompt), headers) else {
        return error_response(StatusCode::NOT_FOUND, "the adapter is not loaded");
    };
    let request_id = headers
        .get("x-request-id")
        .and_then(|value| value.to_str().ok());
    let chat = request.uri().path().contains("chat");
    let completion = GeneratedCompletion::new(&body, &running, request_id.unwrap_or("none"), chat);
    if prompt.contains(CRASH_MARKER) {
        running.crash();
    }
    if body.stream {
        return stream_completion(running, completion, body.stream_options.include_usage);
    }
    for index in 0..completion.tokens {
        if running.next_token(index == 0).await.is_err() {
            return truncated_response();
        }
    }
    running.record_completed();
    Json(completion.full_response()).into_response()
}

/// A response whose connection closes before the body is complete.
fn truncated_response() -> Response {
    let chunks = stream::iter([
        Ok(Bytes::from_static(b"{")),
        Err(std::io::Error::other(
            "the engine restarted while it ran the request",
        )),
    ]);
    Response::builder().body(Body::from_bytes_stream(chunks))
}

fn stream_completion(
    running: RunningRequest,
    completion: GeneratedCompletion,
    include_usage: bool,
) -> Response {
    let (sender, receiver) = mpsc::channel::<Result<Bytes, std::io::Error>>(4);
    tokio::spawn(async move {
        if send_events(&running, &completion, include_usage, &sender)
            .await
            .is_err()
        {
            running.record_cancelled();
        }
    });
    let events = stream::unfold(receiver, |mut receiver| async {
        receiver.recv().await.map(|sse_event| (sse_event, receiver))
    });
    Response::builder()
        .content_type("text/event-stream")
        .body(Body::from_bytes_stream(events))
}

/// The client closed the connection before the stream ended.
struct ClientDisconnected;

async fn send_events(
    running: &RunningRequest,
    completion: &GeneratedCompletion,
    include_usage: bool,
    sender: &mpsc::Sender<Result<Bytes, std::io::Error>>,
) -> Result<(), ClientDisconnected> {
    for index in 0..completion.tokens {
        tokio::select! {
            token = running.next_token(index == 0) => {
                if let Err(error) = token {
                    return sender.send(Err(error)).await.map_err(|_| ClientDisconnected);
                }
            }
            () = sender.closed() => return Err(ClientDisconnected),
        }
        sender
            .send(Ok(completion.token_event(index)))
            .await
            .map_err(|_| ClientDisconnected)?;
    }
    if include_usage {
        sender
            .send(Ok(completion.usage_event()))
            .await
            .map_err(|_| ClientDisconnected)?;
    }
    let end = Bytes::from_static(b"data: [DONE]\n\n");
    sender.send(Ok(end)).await.map_err(|_| ClientDisconnected)?;
    running.record_completed();
    Ok(())
}
