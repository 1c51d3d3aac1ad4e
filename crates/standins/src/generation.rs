//! The engine's answers: whole or as server-sent events, one token an event.

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

use crate::engine::{Engine, RunningRequest, refusal};

/// A prompt with this text crashes the engine.
pub const CRASH_MARKER: &str = "CRASH-THE-ENGINE";
/// The number of tokens when the prompt does not say `tokens=N`.
const DEFAULT_TOKENS: u64 = 16;
/// How many bytes of the prompt count as its cacheable prefix.
const PREFIX_BYTES: usize = 32;

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

/// One answer in the making.
#[derive(Debug)]
struct Answer {
    id: String,
    model: String,
    chat: bool,
    prompt_tokens: u64,
    tokens: u64,
    header: String,
}

impl Answer {
    fn new(body: &CompletionBody, running: &RunningRequest, request_id: &str, chat: bool) -> Self {
        let prompt = body.prompt_text();
        let asked = prompt
            .split_whitespace()
            .find_map(|word| word.strip_prefix("tokens="));
        let wanted = asked
            .and_then(|text| text.parse().ok())
            .unwrap_or(DEFAULT_TOKENS);
        Self {
            id: format!("cmpl-{request_id}"),
            model: body.model.clone(),
            chat,
            prompt_tokens: prompt.split_whitespace().count() as u64,
            tokens: body.max_tokens.map_or(wanted, |most| wanted.min(most)),
            header: format!("[{} {request_id}]", running.path),
        }
    }

    /// The text of token `index`; the first one names adapter, version and request.
    fn token(&self, index: u64) -> String {
        if index == 0 {
            self.header.clone()
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

    fn whole(&self) -> Value {
        let text: String = (0..self.tokens).map(|index| self.token(index)).collect();
        json!({
            "id": self.id, "object": self.object(false), "model": self.model,
            "choices": [self.choice(&text, false, Some("stop"))], "usage": self.usage(),
        })
    }

    fn chunk(&self, index: u64) -> Bytes {
        let finish = (index + 1 == self.tokens).then_some("stop");
        let choice = self.choice(&self.token(index), true, finish);
        event(&json!({
            "id": self.id, "object": self.object(true), "model": self.model, "choices": [choice],
        }))
    }

    fn usage_chunk(&self) -> Bytes {
        event(&json!({
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

fn event(value: &Value) -> Bytes {
    Bytes::from(format!("data: {value}\n\n"))
}

fn prefix_hash(prompt: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)].hash(&mut hasher);
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
    let Some(running) = engine.begin(&body.model, prefix_hash(&prompt), headers) else {
        return refusal(StatusCode::NOT_FOUND, "the adapter is not loaded");
    };
    let request_id = headers
        .get("x-request-id")
        .and_then(|value| value.to_str().ok());
    let chat = request.uri().path().contains("chat");
    let answer = Answer::new(&body, &running, request_id.unwrap_or("none"), chat);
    if prompt.contains(CRASH_MARKER) {
        running.crash();
    }
    if body.stream {
        return stream_answer(running, answer, body.stream_options.include_usage);
    }
    for index in 0..answer.tokens {
        if running.next_token(index == 0).await.is_err() {
            return broken_answer();
        }
    }
    running.finish();
    Json(answer.whole()).into_response()
}

/// An answer whose connection breaks before the body ends.
fn broken_answer() -> Response {
    let broken = stream::iter([
        Ok(Bytes::from_static(b"{")),
        Err(std::io::Error::other("the engine restarted")),
    ]);
    Response::builder().body(Body::from_bytes_stream(broken))
}

fn stream_answer(running: RunningRequest, answer: Answer, include_usage: bool) -> Response {
    let (sender, receiver) = mpsc::channel::<Result<Bytes, std::io::Error>>(4);
    tokio::spawn(async move {
        if send_answer(&running, &answer, include_usage, &sender)
            .await
            .is_err()
        {
            running.cancel();
        }
    });
    let events = stream::unfold(receiver, |mut receiver| async {
        receiver.recv().await.map(|event| (event, receiver))
    });
    Response::builder()
        .content_type("text/event-stream")
        .body(Body::from_bytes_stream(events))
}

/// The reader of the answer has left.
struct ReaderGone;

async fn send_answer(
    running: &RunningRequest,
    answer: &Answer,
    include_usage: bool,
    sender: &mpsc::Sender<Result<Bytes, std::io::Error>>,
) -> Result<(), ReaderGone> {
    for index in 0..answer.tokens {
        tokio::select! {
            token = running.next_token(index == 0) => {
                if let Err(error) = token {
                    return sender.send(Err(error)).await.map_err(|_| ReaderGone);
                }
            }
            () = sender.closed() => return Err(ReaderGone),
        }
        sender
            .send(Ok(answer.chunk(index)))
            .await
            .map_err(|_| ReaderGone)?;
    }
    if include_usage {
        sender
            .send(Ok(answer.usage_chunk()))
            .await
            .map_err(|_| ReaderGone)?;
    }
    let end = Bytes::from_static(b"data: [DONE]\n\n");
    sender.send(Ok(end)).await.map_err(|_| ReaderGone)?;
    running.finish();
    Ok(())
}
