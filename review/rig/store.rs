//! A stand-in for the platform's store: keyed topics of one partition and one group.

use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, json_field, response};

const PARTITIONS: u32 = 12;
const MAX_READ_BYTES: usize = 1024 * 1024;

struct Record {
    key: String,
    value: Vec<u8>,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Instant>,
    /// The member that may act for each partition, and the generation since which it is to give it up.
    owners: BTreeMap<u32, (String, Option<u64>)>,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Vec<Record>>,
    group: Group,
    /// The machine, the path and the time of each call.
    calls: Vec<(usize, String, Instant)>,
}

/// One machine's way to the store.
pub struct Link {
    pub address: SocketAddr,
    machine: usize,
    cut: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Link {
    /// Resets the machine's connections and refuses new ones, until the link is healed.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        if cut {
            for stream in self.open.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    appended: Condvar,
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Opens a way to the store for one machine.
    pub fn link(self: &Arc<Self>, machine: usize, address: SocketAddr) -> Arc<Link> {
        let listener = TcpListener::bind(address).expect("the store's address must be free");
        let link = Arc::new(Link {
            address,
            machine,
            cut: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let (store, own) = (Arc::clone(self), Arc::clone(&link));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if own.cut.load(Ordering::SeqCst) {
                    continue;
                }
                if let Ok(copy) = stream.try_clone() {
                    own.open.lock().unwrap().push(copy);
                }
                let (store, link) = (Arc::clone(&store), Arc::clone(&own));
                thread::spawn(move || store.serve(&link, stream));
            }
        });
        link
    }

    fn serve(&self, link: &Link, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            let answer = self.answer(link.machine, &request);
            if link.cut.load(Ordering::SeqCst) || connection.write(&answer).is_err() {
                let _ = connection.stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn answer(&self, machine: usize, request: &Message) -> Vec<u8> {
        let path = request.target().split('?').next().unwrap_or("").to_owned();
        let topic = request.query("topic").unwrap_or("").to_owned();
        {
            let mut state = self.state.lock().unwrap();
            state
                .calls
                .push((machine, format!("{path} {topic}"), Instant::now()));
        }
        let json = |body: String| {
            response(
                "200 OK",
                "Content-Type: application/json\r\n",
                body.as_bytes(),
            )
        };
        match path.as_str() {
            "/api/log-read" => self.read(request, &topic),
            "/api/log-newest" => json(self.newest(&topic)),
            "/api/log-append" if topic == "keyed.op" || topic == "keyed.servers" => {
                response("403 Forbidden", "", b"")
            }
            "/api/log-append" => json(self.append(&topic, &request.body)),
            "/api/log-join" => json(self.join(&request.body)),
            "/api/log-leave" => {
                let member = json_field(&request.body, "member").unwrap_or_default();
                let mut state = self.state.lock().unwrap();
                state.group.members.remove(&member);
                state.group.rebalance(Instant::now(), true);
                json("{}".to_owned())
            }
            _ => response("404 Not Found", "", b""),
        }
    }

    /// Appends a record for a key. Returns when it was accepted.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> Instant {
        let mut state = self.state.lock().unwrap();
        let record = Record {
            key: key.to_owned(),
            value: value.to_vec(),
        };
        state
            .topics
            .entry(topic.to_owned())
            .or_default()
            .push(record);
        self.appended.notify_all();
        Instant::now()
    }

    /// How many calls of this kind each machine has made since `since`.
    pub fn calls_since(&self, call: &str, since: Instant) -> BTreeMap<usize, usize> {
        let mut counts = BTreeMap::new();
        for (machine, path, at) in &self.state.lock().unwrap().calls {
            if path == call && *at >= since {
                *counts.entry(*machine).or_default() += 1;
            }
        }
        counts
    }

    fn read(&self, request: &Message, topic: &str) -> Vec<u8> {
        let number = |name: &str| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let from = number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        while state.topics.get(topic).map_or(0, Vec::len) <= from {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.appended.wait_timeout(state, left).unwrap().0;
        }
        let records = state
            .topics
            .get(topic)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend(0u64.to_be_bytes());
        for record in records.iter().skip(from) {
            if body.len() > MAX_READ_BYTES {
                break;
            }
            let length = 1 + record.key.len() + record.value.len();
            body.extend((length as u32).to_be_bytes());
            body.push(record.key.len() as u8);
            body.extend(record.key.as_bytes());
            body.extend(&record.value);
        }
        response("200 OK", "", &body)
    }

    fn newest(&self, topic: &str) -> String {
        let state = self.state.lock().unwrap();
        let records = state
            .topics
            .get(topic)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            newest.insert(&record.key, (offset, &record.value));
        }
        let items = newest
            .into_iter()
            .filter(|(_, (_, value))| !value.is_empty());
        let items: Vec<_> = items
            .map(|(key, (offset, value))| {
                format!(
                    "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                    base64(value)
                )
            })
            .collect();
        format!(
            "{{\"items\":[{}],\"hasMore\":false,\"end\":{}}}",
            items.join(","),
            records.len()
        )
    }

    fn append(&self, topic: &str, mut body: &[u8]) -> String {
        let offset = self
            .state
            .lock()
            .unwrap()
            .topics
            .get(topic)
            .map_or(0, Vec::len);
        let mut end = offset;
        while body.len() >= 4 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let record = &body[4..4 + length];
            let key = 1 + record[0] as usize;
            self.put(
                topic,
                &String::from_utf8_lossy(&record[1..key]),
                &record[key..],
            );
            body = &body[4 + length..];
            end += 1;
        }
        format!("{{\"offset\":{offset},\"end\":{end}}}")
    }

    fn join(&self, body: &[u8]) -> String {
        let text = |name: &str| json_field(body, name).unwrap_or_default();
        let (member, now) = (text("member"), Instant::now());
        let ttl = Duration::from_millis(text("ttlMs").parse().unwrap_or(3000));
        let known = text("generation").parse().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        let group = &mut state.group;
        let is_new = group.members.insert(member.clone(), now + ttl).is_none();
        for (owner, leaving) in group.owners.values_mut() {
            if *owner == member && leaving.is_some_and(|since| known >= since) {
                owner.clear();
            }
        }
        group.rebalance(now, is_new);
        let own = group
            .owners
            .iter()
            .filter(|(_, (owner, leaving))| *owner == member && leaving.is_none());
        let parts: Vec<_> = own
            .map(|(part, _)| format!("[\"owners\",{part},0]"))
            .collect();
        format!(
            "{{\"generation\":{},\"ttlMs\":{},\"parts\":[{}]}}",
            group.generation,
            ttl.as_millis(),
            parts.join(",")
        )
    }
}

impl Group {
    /// Distributes the partitions evenly. A live member gives a partition up when it joins with the new
    /// generation.
    fn rebalance(&mut self, now: Instant, changed: bool) {
        let before = self.members.len();
        self.members.retain(|_, until| *until > now);
        let free = self
            .owners
            .values()
            .any(|(owner, _)| !self.members.contains_key(owner));
        if !changed && before == self.members.len() && !free && !self.owners.is_empty() {
            return;
        }
        self.generation += 1;
        let names: Vec<_> = self.members.keys().cloned().collect();
        for part in 0..PARTITIONS {
            let Some(wanted) = names.get(part as usize % names.len().max(1)) else {
                self.owners.clear();
                return;
            };
            let entry = self
                .owners
                .entry(part)
                .or_insert_with(|| (wanted.clone(), None));
            if !self.members.contains_key(&entry.0) {
                *entry = (wanted.clone(), None);
            } else if entry.0 == *wanted {
                entry.1 = None;
            } else if entry.1.is_none() {
                entry.1 = Some(self.generation);
            }
        }
    }
}

fn base64(bytes: &[u8]) -> String {
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
