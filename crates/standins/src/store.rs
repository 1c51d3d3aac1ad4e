//! In-memory stand-in for the platform's log service: single-partition topics of keyed records,
//! and consumer groups.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use poem::http::StatusCode;
use poem::web::{Data, Json, Query};
use poem::{EndpointExt, Response, Route, get, handler, post};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::server::RunningServer;

/// The number of partitions that a group distributes among its members.
const PARTITIONS: u32 = 12;

/// The field of every response that tells how many times the store has come back from a copy.
const ERA_FIELD: &str = "Store-Era";

#[derive(Debug, Clone)]
struct StoredRecord {
    key: String,
    value: Vec<u8>,
}

#[derive(Debug, Default)]
struct StoreState {
    topics: BTreeMap<String, Vec<StoredRecord>>,
    /// Reads from a lower offset are answered with 410 Gone, in all topics.
    first_offset: usize,
    members: Vec<GroupMember>,
    generation: u64,
    era: u64,
    down: bool,
}

/// What the store held at a moment, from which it can be restored.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    topics: BTreeMap<String, Vec<StoredRecord>>,
    first_offset: usize,
    members: Vec<GroupMember>,
    generation: u64,
}

#[derive(Debug, Clone)]
struct GroupMember {
    name: String,
    expires_at: Instant,
}

/// An address that readers see in place of another one.
#[derive(Debug, Default)]
pub struct AddressAlias {
    pub address: String,
    pub alias: String,
}

impl AddressAlias {
    fn apply(&self, value: &[u8]) -> Vec<u8> {
        match std::str::from_utf8(value) {
            Ok(text) if !self.address.is_empty() => {
                text.replace(&self.address, &self.alias).into_bytes()
            }
            _ => value.to_vec(),
        }
    }
}

#[derive(Debug, Default)]
pub struct MetadataStore {
    state: Mutex<StoreState>,
    appended: Notify,
}

impl MetadataStore {
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    pub fn start(self: &Arc<Self>, listener: TcpListener) -> std::io::Result<RunningServer> {
        self.start_with_alias(listener, AddressAlias::default())
    }

    /// Starts an address of the store at which readers see another address in place of one.
    pub fn start_with_alias(
        self: &Arc<Self>,
        listener: TcpListener,
        alias: AddressAlias,
    ) -> std::io::Result<RunningServer> {
        let app = Route::new()
            .at("/api/log-read", get(read_log))
            .at("/api/log-newest", get(newest_records))
            .at("/api/log-append", post(append_log))
            .at("/api/log-join", post(join_group))
            .at("/api/log-leave", post(leave_group))
            .data(Arc::clone(self))
            .data(Arc::new(alias));
        let store = Arc::clone(self);
        let app = app.after(move |result: poem::Result<Response>| {
            let store = Arc::clone(&store);
            async move {
                let mut response = result.unwrap_or_else(|error| error.into_response());
                let era = store.lock().era.into();
                response.headers_mut().insert(ERA_FIELD, era);
                poem::Result::Ok(response)
            }
        });
        RunningServer::start(listener, app)
    }

    /// Appends a record for `key`; an empty value is a tombstone that deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let record = StoredRecord {
            key: key.to_owned(),
            value: value.to_vec(),
        };
        self.lock()
            .topics
            .entry(topic.to_owned())
            .or_default()
            .push(record);
        self.appended.notify_waiters();
    }

    /// The values of a topic's records of `key`, from the first to the newest.
    pub fn values(&self, topic: &str, key: &str) -> Vec<Vec<u8>> {
        let state = self.lock();
        let records = state.topics.get(topic).into_iter().flatten();
        let records = records.filter(|record| record.key == key);
        records.map(|record| record.value.clone()).collect()
    }

    /// Sets whether calls are answered with 503; leaving a group is always accepted.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
        self.appended.notify_waiters();
    }

    /// Copies the records and the group as they are.
    pub fn copy(&self) -> StoreCopy {
        let state = self.lock();
        StoreCopy {
            topics: state.topics.clone(),
            first_offset: state.first_offset,
            members: state.members.clone(),
            generation: state.generation,
        }
    }

    /// Comes back from a copy: what was written since is gone, and its offsets are given out again.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.lock();
        state.topics = copy.topics;
        state.first_offset = copy.first_offset;
        state.members = copy.members;
        state.generation = copy.generation;
        state.era += 1;
        drop(state);
        self.appended.notify_waiters();
    }

    /// The number of times that the store has come back from a copy.
    pub fn era(&self) -> u64 {
        self.lock().era
    }

    /// Marks all current offsets as compacted: they can no longer be read from, and only the newest
    /// record of each key stays available.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.first_offset = state.topics.values().map(Vec::len).max().unwrap_or(0);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, StoreState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ReadQuery {
    topic: String,
    from: usize,
    #[serde(default)]
    wait_ms: u64,
}

/// The size of a response, reached by its last record.
const MAX_READ_BYTES: usize = 1024 * 1024;

#[handler]
async fn read_log(
    query: Query<ReadQuery>,
    store: Data<&Arc<MetadataStore>>,
    alias: Data<&Arc<AddressAlias>>,
) -> Response {
    let appended = store.appended.notified();
    let at_end = {
        let state = store.lock();
        let end = state.topics.get(&query.topic).map_or(0, Vec::len);
        query.from == end && !state.down
    };
    if at_end {
        let _ = tokio::time::timeout(Duration::from_millis(query.wait_ms), appended).await;
    }
    let state = store.lock();
    if state.down {
        return StatusCode::SERVICE_UNAVAILABLE.into();
    }
    let records = state
        .topics
        .get(&query.topic)
        .map(Vec::as_slice)
        .unwrap_or_default();
    if query.from < state.first_offset.min(records.len()) || query.from > records.len() {
        return StatusCode::GONE.into();
    }
    let mut body = Vec::new();
    body.extend((records.len() as u64).to_be_bytes());
    body.extend((state.first_offset as u64).to_be_bytes());
    for record in records.iter().skip(query.from) {
        if body.len() >= MAX_READ_BYTES {
            break;
        }
        let value = alias.apply(&record.value);
        let length = 1 + record.key.len() + value.len();
        body.extend((length as u32).to_be_bytes());
        body.push(record.key.len() as u8);
        body.extend(record.key.as_bytes());
        body.extend(&value);
    }
    Response::builder().body(body)
}

#[derive(Debug, Deserialize)]
struct TopicQuery {
    topic: String,
}

#[handler]
fn newest_records(
    query: Query<TopicQuery>,
    store: Data<&Arc<MetadataStore>>,
    alias: Data<&Arc<AddressAlias>>,
) -> poem::Result<Json<Value>> {
    let state = store.lock();
    if state.down {
        return Err(StatusCode::SERVICE_UNAVAILABLE.into());
    }
    let records = state.topics.get(&query.topic).cloned().unwrap_or_default();
    let end = records.len();
    let newest: BTreeMap<_, _> = records
        .into_iter()
        .enumerate()
        .map(|(offset, record)| (record.key, (offset, record.value)))
        .collect();
    let items = newest
        .into_iter()
        .filter(|(_, (_, value))| !value.is_empty());
    let item = |(key, (offset, value)): (String, (usize, Vec<u8>))| json!({"key": key, "value": encode_base64(&alias.apply(&value)), "offset": offset});
    let items: Vec<_> = items.map(item).collect();
    Ok(Json(json!({"items": items, "hasMore": false, "end": end})))
}

fn encode_base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = ALPHABET[(bits >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

#[derive(Debug, Deserialize)]
struct AppendQuery {
    topic: String,
    /// The append is executed only if the topic ends at this offset.
    at: Option<usize>,
}

#[handler]
fn append_log(
    query: Query<AppendQuery>,
    body: Vec<u8>,
    store: Data<&Arc<MetadataStore>>,
) -> poem::Result<Json<Value>> {
    let mut remaining = body.as_slice();
    let mut records = Vec::new();
    while let Some((length, after_record)) = remaining.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        let (Some(record), Some(after_record)) =
            (after_record.get(..length), after_record.get(length..))
        else {
            return Err(StatusCode::BAD_REQUEST.into());
        };
        let key_end = 1 + record.first().map_or(0, |length| *length as usize);
        let Some(key) = record.get(1..key_end) else {
            return Err(StatusCode::BAD_REQUEST.into());
        };
        records.push(StoredRecord {
            key: String::from_utf8_lossy(key).into_owned(),
            value: record[key_end..].to_vec(),
        });
        remaining = after_record;
    }
    let mut state = store.lock();
    if state.down {
        return Err(StatusCode::SERVICE_UNAVAILABLE.into());
    }
    let topic = state.topics.entry(query.topic.clone()).or_default();
    let offset = topic.len();
    if query.at.is_some_and(|at| at != offset) {
        return Err(StatusCode::PRECONDITION_FAILED.into());
    }
    topic.extend(records);
    let end = topic.len();
    drop(state);
    store.appended.notify_waiters();
    Ok(Json(json!({"offset": offset, "end": end})))
}

#[derive(Debug, Deserialize)]
struct GroupBody {
    member: String,
    #[serde(default)]
    topics: Vec<String>,
    #[serde(default, rename = "ttlMs")]
    ttl_ms: u64,
}

#[handler]
fn join_group(
    body: Json<GroupBody>,
    store: Data<&Arc<MetadataStore>>,
) -> poem::Result<Json<Value>> {
    let mut state = store.lock();
    if state.down {
        return Err(StatusCode::SERVICE_UNAVAILABLE.into());
    }
    let now = Instant::now();
    let expires_at = now + Duration::from_millis(body.ttl_ms);
    let before = state.members.len();
    state
        .members
        .retain(|member| member.expires_at > now || member.name == body.member);
    let mut changed = state.members.len() != before;
    let members = state.members.iter();
    let index = match members
        .into_iter()
        .position(|member| member.name == body.member)
    {
        Some(index) => index,
        None => {
            changed = true;
            let name = body.member.clone();
            state.members.push(GroupMember { name, expires_at });
            state.members.len() - 1
        }
    };
    state.members[index].expires_at = expires_at;
    state.generation += u64::from(changed);
    let assigned = (0..PARTITIONS).filter(|part| *part as usize % state.members.len() == index);
    let parts: Vec<_> = assigned
        .map(|part| json!([body.topics.first(), part, 0]))
        .collect();
    Ok(Json(
        json!({"generation": state.generation, "ttlMs": body.ttl_ms, "parts": parts}),
    ))
}

#[handler]
fn leave_group(body: Json<GroupBody>, store: Data<&Arc<MetadataStore>>) -> Json<Value> {
    let mut state = store.lock();
    state.members.retain(|member| member.name != body.member);
    state.generation += 1;
    Json(json!({}))
}
