//! The one client of the platform's store: an append-only log with keyed topics and groups.

use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};

use crate::dispatch::ownership::GroupMembership;
use crate::entry::http_call::{CallError, HttpAsk, HttpCaller, HttpReply};
use crate::ids::LogOffset;

/// The time limit of one call besides the time that a read may wait. The store answers in 4 ms and
/// in some hundred when it is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);

/// Why a call gave nothing to use.
#[derive(Debug, Display, Error, From)]
pub(crate) enum StoreError {
    /// The call may have taken effect.
    #[display("the store gave no answer: {_0}")]
    Call(CallError),
    #[display("the store refused the call with status {status}")]
    #[from(ignore)]
    Refused { status: u16 },
    #[display("the store's answer is malformed: {_0}")]
    Malformed(serde_json::Error),
    #[display("the store's records are malformed")]
    #[from(ignore)]
    Records,
}

/// A record of a keyed topic; no value means that the key was removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KeyedRecord {
    pub(crate) key: String,
    pub(crate) value: Option<Bytes>,
}

/// What a read found.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    Records {
        next: LogOffset,
        records: Vec<KeyedRecord>,
    },
    /// Records from the wanted offset on were deleted.
    Compacted,
}

/// The newest record of each key, and where to read on.
#[derive(Debug)]
pub(crate) struct NewestRecords {
    pub(crate) next: LogOffset,
    pub(crate) records: Vec<KeyedRecord>,
}

/// The store's client.
#[derive(Debug)]
pub(crate) struct StoreClient {
    caller: HttpCaller,
}

impl StoreClient {
    pub(crate) fn new(address: std::net::SocketAddr) -> Self {
        Self {
            caller: HttpCaller::new(address),
        }
    }

    async fn call(&self, ask: &HttpAsk, wait: Duration) -> Result<HttpReply, StoreError> {
        Ok(self.caller.call(ask, CALL_TIMEOUT + wait).await?)
    }

    /// Reads a keyed topic from `from` on; waits up to `wait` for a record.
    pub(crate) async fn read(
        &self,
        topic: &str,
        from: LogOffset,
        wait: Duration,
    ) -> Result<ReadOutcome, StoreError> {
        let millis = wait.as_millis();
        let path = format!("/api/log-read?topic={topic}&part=0&from={from}&waitMs={millis}");
        let reply = self.call(&HttpAsk::get(&path), wait).await?;
        match reply.head.status {
            200 => decode_records(reply.body, from),
            410 => Ok(ReadOutcome::Compacted),
            status => Err(StoreError::Refused { status }),
        }
    }

    /// Reads the newest record of each key of a topic.
    pub(crate) async fn newest(&self, topic: &str) -> Result<NewestRecords, StoreError> {
        let mut records = Vec::new();
        // Pages are no snapshot: reading on from the first page's end misses nothing.
        let mut next = None;
        let mut after = String::new();
        loop {
            let path = format!("/api/log-newest?topic={topic}&part=0{after}");
            let reply = self.call(&HttpAsk::get(&path), Duration::ZERO).await?;
            let page: NewestPage = decode_json(&reply)?;
            let next = *next.get_or_insert(LogOffset::from(page.end));
            let last = page.items.last().map(|item| item.key.clone());
            records.extend(page.items.into_iter().filter_map(decode_item));
            match last.filter(|_| page.has_more) {
                Some(key) => after = format!("&after={}", encode_query(&key)),
                None => return Ok(NewestRecords { next, records }),
            }
        }
    }

    /// Writes the newest record of a key; no value removes it.
    pub(crate) async fn put(
        &self,
        topic: &str,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<(), StoreError> {
        let value = value.unwrap_or_default();
        let mut body = BytesMut::new();
        let length = 1 + key.len() + value.len();
        body.put_u32(u32::try_from(length).map_err(|_| StoreError::Records)?);
        body.put_u8(u8::try_from(key.len()).map_err(|_| StoreError::Records)?);
        body.put_slice(key.as_bytes());
        body.put_slice(value);
        let path = format!("/api/log-append?topic={topic}&part=0");
        let reply = self
            .call(&HttpAsk::post(&path, body.freeze()), Duration::ZERO)
            .await?;
        match reply.head.status {
            200 => Ok(()),
            status => Err(StoreError::Refused { status }),
        }
    }

    /// Joins a group or stays in it.
    pub(crate) async fn join(&self, join: &GroupJoin<'_>) -> Result<GroupMembership, StoreError> {
        let ask = HttpAsk::post_json("/api/log-join", join);
        let reply = self.call(&ask, Duration::ZERO).await?;
        let answer: JoinAnswer = decode_json(&reply)?;
        let partitions = answer.parts.into_iter().map(|(_, partition, _)| partition);
        Ok(GroupMembership {
            generation: answer.generation,
            partitions: partitions.collect(),
        })
    }

    /// Leaves a group.
    pub(crate) async fn leave(&self, group: &str, member: &str) -> Result<(), StoreError> {
        let body = GroupLeave { group, member };
        let reply = self
            .call(&HttpAsk::post_json("/api/log-leave", &body), Duration::ZERO)
            .await?;
        match reply.head.status {
            200 => Ok(()),
            status => Err(StoreError::Refused { status }),
        }
    }
}

/// The request to join a group.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct GroupJoin<'a> {
    pub(crate) group: &'a str,
    pub(crate) member: &'a str,
    pub(crate) topics: [&'a str; 1],
    /// The membership's lifetime after the join's arrival.
    pub(crate) ttl_ms: u64,
    /// The last one received, 0 at first.
    pub(crate) generation: u64,
}

#[derive(Debug, Serialize)]
struct GroupLeave<'a> {
    group: &'a str,
    member: &'a str,
}

#[derive(Debug, Deserialize)]
struct JoinAnswer {
    generation: u64,
    /// Topic, partition and committed offset of what the member holds.
    parts: Vec<(String, u32, u64)>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct NewestPage {
    items: Vec<NewestItem>,
    has_more: bool,
    end: u64,
}

#[derive(Debug, Deserialize)]
struct NewestItem {
    key: String,
    /// In base64; absent where the key was removed.
    value: Option<String>,
}

fn decode_json<T: serde::de::DeserializeOwned>(reply: &HttpReply) -> Result<T, StoreError> {
    match reply.head.status {
        200 => Ok(serde_json::from_slice(&reply.body)?),
        status => Err(StoreError::Refused { status }),
    }
}

/// Decodes a read's answer: the end, the first kept offset, then records with their lengths.
fn decode_records(mut body: Bytes, from: LogOffset) -> Result<ReadOutcome, StoreError> {
    const OFFSETS_BYTES: usize = 16;
    if body.len() < OFFSETS_BYTES {
        return Err(StoreError::Records);
    }
    body.advance(OFFSETS_BYTES);
    let (mut next, mut records) = (from, Vec::new());
    while body.has_remaining() {
        let record = take_prefixed(&mut body, |body| body.try_get_u32().ok());
        let mut record = record.ok_or(StoreError::Records)?;
        next = next.next();
        let key = take_prefixed(&mut record, |record| {
            record.try_get_u8().ok().map(u32::from)
        });
        let key = key.and_then(|key| String::from_utf8(key.to_vec()).ok());
        let Some(key) = key else {
            tracing::warn!("store: a record without a readable key is skipped");
            continue;
        };
        let value = (!record.is_empty()).then_some(record);
        records.push(KeyedRecord { key, value });
    }
    Ok(ReadOutcome::Records { next, records })
}

/// Takes bytes that follow their own length.
fn take_prefixed(bytes: &mut Bytes, length: impl Fn(&mut Bytes) -> Option<u32>) -> Option<Bytes> {
    let length = length(bytes)? as usize;
    (length <= bytes.len()).then(|| bytes.split_to(length))
}

/// Escapes what a query may not hold.
fn encode_query(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
                out.push(byte as char)
            }
            byte => out.push_str(&format!("%{byte:02X}")),
        }
    }
    out
}

fn decode_item(item: NewestItem) -> Option<KeyedRecord> {
    let value = match item.value.as_deref().map(decode_base64) {
        Some(None) => {
            tracing::warn!(key = item.key, "store: a record's value is not base64");
            return None;
        }
        Some(value) => value,
        None => None,
    };
    Some(KeyedRecord {
        key: item.key,
        value,
    })
}

fn decode_base64(text: &str) -> Option<Bytes> {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD
        .decode(text)
        .ok()
        .map(Bytes::from)
}
