//! The client of the platform's store, an append-only log with keyed topics and consumer groups.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::dispatch::ownership::{GroupGeneration, GroupMembership};
use crate::entry::http_call::{CallError, HttpClient, HttpRequest, HttpResponse};
use crate::entry::response_memory::ResponseMemory;
use crate::ids::{LogOffset, LogPosition, StoreEra};

/// In all of the store's responses: how often it has come back from a copy.
const ERA: &str = "Store-Era";
/// How often a list is read anew because the store was restored between two of its pages.
const MAX_LIST_READS: u32 = 3;
/// The time limit of one call, in addition to the time that a read may wait for records. The store
/// usually responds in 4 ms, and in a few hundred milliseconds when it is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// The time limit of a join, short enough that the next one renews the lease in time.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a call to the store failed.
#[derive(Debug, Display, Error, From)]
pub(crate) enum StoreError {
    /// The call failed without a response, and the store may have executed it.
    #[display("the call to the store failed: {_0}")]
    Call(CallError),
    #[display("the store refused the call with status {status}")]
    #[from(ignore)]
    Refused { status: u16 },
    #[display("the store's response is malformed: {_0}")]
    Malformed(serde_json::Error),
    /// The store has more records than the VM can hold, or never ends its list.
    #[display("the list of the newest records is longer than the limit")]
    #[from(ignore)]
    TooManyRecords,
    #[display("a record of the store has an invalid length")]
    #[from(ignore)]
    InvalidLength,
    /// The response was given before the store came back from a copy, as is known from another one.
    #[display("the response is from era {era} of the store, which is now in era {known}")]
    #[from(ignore)]
    Outdated { era: StoreEra, known: StoreEra },
    #[display("the store was restored while a list was read")]
    #[from(ignore)]
    RestoredMeanwhile,
}

/// A record of a keyed topic. `None` as the value means that the key was removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KeyedRecord {
    /// The record's place in its topic; not set in lists of the newest records and in relayed ones.
    pub(crate) position: Option<LogPosition>,
    pub(crate) key: String,
    pub(crate) value: Option<Bytes>,
}

impl KeyedRecord {
    /// The memory that the record takes, with its allocations.
    fn memory_bytes(&self) -> usize {
        /// The two headers of the allocator and the value's reference count.
        const ALLOCATION_BYTES: usize = 64;
        let value = self.value.as_ref().map_or(0, Bytes::len);
        size_of::<Self>() + ALLOCATION_BYTES + self.key.len() + value
    }
}

/// The result of a read.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    Records {
        next: LogPosition,
        records: Vec<KeyedRecord>,
        /// The end of the log, which is beyond `next` if the response could not hold all records.
        end: LogPosition,
    },
    /// Records at or after the requested position have been deleted.
    Compacted,
    /// The store has come back from a copy since the position was read, so that its offset has no
    /// meaning any more.
    Restored,
}

/// The newest record of each key, and the position from which to read later records.
#[derive(Debug)]
pub(crate) struct NewestRecords {
    pub(crate) next: LogPosition,
    pub(crate) records: Vec<KeyedRecord>,
}

#[derive(Debug)]
pub(crate) struct StoreClient {
    client: HttpClient,
    /// The highest era that a response or a peer has shown; never decreases.
    era: watch::Sender<Option<StoreEra>>,
    /// The memory for the newest records of a topic.
    max_newest_bytes: usize,
}

/// A response, and the era of the store that gave it.
#[derive(Debug)]
struct StoreResponse {
    era: StoreEra,
    response: HttpResponse,
}

impl StoreClient {
    pub(crate) fn new(address: std::net::SocketAddr, memory: &Arc<ResponseMemory>) -> Self {
        Self {
            client: HttpClient::new(address, memory),
            era: watch::Sender::new(None),
            max_newest_bytes: usize::try_from(memory.limit()).unwrap_or(usize::MAX),
        }
    }

    /// The newest era that this VM knows of.
    pub(crate) fn era(&self) -> Option<StoreEra> {
        *self.era.borrow()
    }

    /// Notified when the store is known to be in a newer era.
    pub(crate) fn subscribe_era(&self) -> watch::Receiver<Option<StoreEra>> {
        self.era.subscribe()
    }

    /// Records that the store has reached an era. Responses of earlier ones are no longer accepted.
    pub(crate) fn record_era(&self, era: StoreEra) {
        self.era.send_if_modified(|known| {
            let is_newer = *known < Some(era);
            if is_newer {
                *known = Some(era);
            }
            is_newer
        });
    }

    async fn call(
        &self,
        request: &HttpRequest,
        wait: Duration,
    ) -> Result<StoreResponse, StoreError> {
        self.call_within(request, CALL_TIMEOUT + wait).await
    }

    async fn call_within(
        &self,
        request: &HttpRequest,
        limit: Duration,
    ) -> Result<StoreResponse, StoreError> {
        let response = self.client.call(request, limit).await?;
        // A store that doesn't state its era has none but the first.
        let era = decode_era(&response).or(self.era()).unwrap_or_default();
        self.record_era(era);
        match self.era() {
            Some(known) if era < known => {
                tracing::info!(%era, %known, "store: dropped a response from before a restore");
                Err(StoreError::Outdated { era, known })
            }
            _ => Ok(StoreResponse { era, response }),
        }
    }

    /// Reads a keyed topic starting at `from`. If there is no record yet, the store waits up to
    /// `wait` for one.
    pub(crate) async fn read(
        &self,
        topic: &str,
        from: LogPosition,
        wait: Duration,
    ) -> Result<ReadOutcome, StoreError> {
        let (millis, offset) = (wait.as_millis(), from.offset);
        let path = format!("/api/log-read?topic={topic}&part=0&from={offset}&waitMs={millis}");
        let StoreResponse { era, response } = self.call(&HttpRequest::get(&path), wait).await?;
        match response.head.status {
            200 | 410 if era != from.era => Ok(ReadOutcome::Restored),
            200 => decode_records(response.body, from),
            410 => Ok(ReadOutcome::Compacted),
            status => Err(StoreError::Refused { status }),
        }
    }

    /// Reads the newest record of each key of a topic. Fails if they need more memory than an eighth
    /// of the VM's.
    pub(crate) async fn newest(&self, topic: &str) -> Result<NewestRecords, StoreError> {
        for _ in 0..MAX_LIST_READS {
            if let Some(newest) = self.newest_of_one_era(topic).await? {
                return Ok(newest);
            }
        }
        Err(StoreError::RestoredMeanwhile)
    }

    /// Reads the newest records, or returns `None` if the store was restored between two pages.
    async fn newest_of_one_era(&self, topic: &str) -> Result<Option<NewestRecords>, StoreError> {
        /// A page holds up to 500 records, so that many pages without an end are a fault.
        const MAX_PAGES: usize = 1000;
        let mut records = Vec::new();
        let mut bytes = 0;
        // The pages together are not a consistent snapshot. Later reads start at the end offset of
        // the first page, so that they include records written between two pages.
        let mut next = None;
        let mut after_parameter = String::new();
        for _ in 0..MAX_PAGES {
            let path = format!("/api/log-newest?topic={topic}&part=0{after_parameter}");
            let called = self.call(&HttpRequest::get(&path), Duration::ZERO).await?;
            let page: NewestPage = decode_json(&called.response)?;
            let page_end = LogPosition::new(called.era, page.end.into());
            let next = *next.get_or_insert(page_end);
            if next.era != called.era {
                return Ok(None);
            }
            let last = page.items.last().map(|item| item.key.clone());
            let page_records = page.items.into_iter().filter_map(decode_item);
            for record in page_records {
                bytes += record.memory_bytes();
                records.push(record);
            }
            if bytes > self.max_newest_bytes {
                return Err(StoreError::TooManyRecords);
            }
            match last.filter(|_| page.has_more) {
                Some(key) => after_parameter = format!("&after={}", encode_query(&key)),
                None => return Ok(Some(NewestRecords { next, records })),
            }
        }
        Err(StoreError::TooManyRecords)
    }

    /// Appends a record for a key. `None` as the value removes the key.
    pub(crate) async fn put(
        &self,
        topic: &str,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<(), StoreError> {
        let mut body = BytesMut::new();
        put_record(&mut body, key, value)?;
        let path = format!("/api/log-append?topic={topic}&part=0");
        let called = self
            .call(&HttpRequest::post(&path, body.freeze()), Duration::ZERO)
            .await?;
        match called.response.head.status {
            200 => Ok(()),
            status => Err(StoreError::Refused { status }),
        }
    }

    /// Appends records if the topic ends at `at`. Returns the new end, or `None` if the topic ends
    /// elsewhere or the store has come back from a copy, in which the same offset has another meaning.
    pub(crate) async fn append_at(
        &self,
        topic: &str,
        at: LogPosition,
        records: &[(String, Option<Bytes>)],
    ) -> Result<Option<LogPosition>, StoreError> {
        let mut body = BytesMut::new();
        for (key, value) in records {
            put_record(&mut body, key, value.as_deref())?;
        }
        let path = format!("/api/log-append?topic={topic}&part=0&at={}", at.offset);
        let StoreResponse { era, response } = self
            .call(&HttpRequest::post(&path, body.freeze()), Duration::ZERO)
            .await?;
        match response.head.status {
            200 if era == at.era => {
                let end = u64::from(at.offset) + records.len() as u64;
                Ok(Some(LogPosition::new(era, end.into())))
            }
            200 | 412 => Ok(None),
            status => Err(StoreError::Refused { status }),
        }
    }

    /// Joins a consumer group, or renews the membership in it.
    pub(crate) async fn join(&self, join: &GroupJoin<'_>) -> Result<GroupMembership, StoreError> {
        let request = HttpRequest::post_json("/api/log-join", join);
        let called = self.call_within(&request, JOIN_TIMEOUT).await?;
        let join_response: JoinResponse = decode_json(&called.response)?;
        let partitions = join_response
            .parts
            .into_iter()
            .map(|(_, partition, _)| partition);
        Ok(GroupMembership {
            generation: GroupGeneration::new(called.era, join_response.generation),
            partitions: partitions.collect(),
        })
    }

    pub(crate) async fn leave(&self, group: &str, member: &str) -> Result<(), StoreError> {
        let body = GroupLeave { group, member };
        let called = self
            .call(
                &HttpRequest::post_json("/api/log-leave", &body),
                Duration::ZERO,
            )
            .await?;
        match called.response.head.status {
            200 => Ok(()),
            status => Err(StoreError::Refused { status }),
        }
    }
}

/// The body of the request to join a consumer group.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct GroupJoin<'a> {
    pub(crate) group: &'a str,
    pub(crate) member: &'a str,
    pub(crate) topics: [&'a str; 1],
    /// How long the membership lasts, counted from the arrival of the request.
    pub(crate) ttl_ms: u64,
    /// The generation in the last response to a join, 0 before the first of an era.
    pub(crate) generation: u64,
}

#[derive(Debug, Serialize)]
struct GroupLeave<'a> {
    group: &'a str,
    member: &'a str,
}

#[derive(Debug, Deserialize)]
struct JoinResponse {
    generation: u64,
    /// The partitions assigned to the member: topic, partition and committed offset.
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
    /// Base64-encoded; absent if the key was removed.
    value: Option<String>,
}

/// The era that a response states.
fn decode_era(response: &HttpResponse) -> Option<StoreEra> {
    response.head.fields.text(ERA)?.trim().parse().ok()
}

fn decode_json<T: serde::de::DeserializeOwned>(response: &HttpResponse) -> Result<T, StoreError> {
    match response.head.status {
        200 => Ok(serde_json::from_slice(&response.body)?),
        status => Err(StoreError::Refused { status }),
    }
}

/// Decodes the body of a read's response: the topic's end offset, the first offset that is still
/// stored, then records that are each prefixed with their length.
fn decode_records(mut body: Bytes, from: LogPosition) -> Result<ReadOutcome, StoreError> {
    const OFFSETS_BYTES: usize = 16;
    if body.len() < OFFSETS_BYTES {
        return Err(StoreError::InvalidLength);
    }
    let end = LogPosition::new(from.era, LogOffset::from(body.get_u64()));
    body.advance(size_of::<u64>());
    let (mut next, mut records) = (from, Vec::new());
    while body.has_remaining() {
        let record = split_prefixed(&mut body, |body| body.try_get_u32().ok());
        let mut record = record.ok_or(StoreError::InvalidLength)?;
        let position = Some(next);
        next = next.next();
        let key = split_prefixed(&mut record, |record| {
            record.try_get_u8().ok().map(u32::from)
        });
        let key = key.and_then(|key| String::from_utf8(key.to_vec()).ok());
        let Some(key) = key else {
            tracing::warn!("store: skipped a record whose key is missing or not UTF-8");
            continue;
        };
        let value = (!record.is_empty()).then_some(record);
        records.push(KeyedRecord {
            position,
            key,
            value,
        });
    }
    Ok(ReadOutcome::Records { next, records, end })
}

/// Encodes a record of a keyed topic for an append. `None` as the value removes the key.
fn put_record(body: &mut BytesMut, key: &str, value: Option<&[u8]>) -> Result<(), StoreError> {
    let value = value.unwrap_or_default();
    let length = 1 + key.len() + value.len();
    body.put_u32(u32::try_from(length).map_err(|_| StoreError::InvalidLength)?);
    body.put_u8(u8::try_from(key.len()).map_err(|_| StoreError::InvalidLength)?);
    body.put_slice(key.as_bytes());
    body.put_slice(value);
    Ok(())
}

/// Splits off bytes that are prefixed with their length.
fn split_prefixed(bytes: &mut Bytes, length: impl Fn(&mut Bytes) -> Option<u32>) -> Option<Bytes> {
    let length = length(bytes)? as usize;
    (length <= bytes.len()).then(|| bytes.split_to(length))
}

/// Percent-encodes all bytes except the unreserved characters of a URL.
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
            tracing::warn!(
                key = item.key,
                "store: skipped a record whose value is not valid base64"
            );
            return None;
        }
        Some(value) => value,
        None => None,
    };
    Some(KeyedRecord {
        position: None,
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
