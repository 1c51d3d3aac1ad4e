use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

use super::state::state_with_service;
use crate::clock::Clock;
use crate::dispatch::cold_start::{AskNumber, PermitGrant};
use crate::dispatch::directory::TargetKey;
use crate::dispatch::routing::{RouteEntry, RouteKind};
use crate::dispatch::tests::{at, ms, report};
use crate::entry::admission::{CallerRequest, RequestOrigin};
use crate::entry::http::ReadBuffer;
use crate::entry::request::serve_request;
use crate::entry::server::open_shared;
use crate::entry::shared::EntryShared;
use crate::ids::{BootId, TargetName};
use crate::platform::settings::parse_settings;
use crate::platform::tests::SETTINGS;

pub(super) fn open_route() -> RouteEntry {
    RouteEntry {
        name: "open".to_owned(),
        host: "a".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RouteKind::NonIdempotent,
        timeout: Duration::from_secs(9),
        latency_target: Duration::from_secs(9),
        max_event_gap: None,
        priority: 0,
        services: vec![("llm".parse().unwrap(), 1)],
        max_attempts: 1,
        public: true,
    }
}

/// A VM at 10 s of its manual clock that knows one cold target, and holds a permit for it from then on
/// and one from 0.4 s later on. Each lasts 0.4 s.
async fn vm_with_two_permits(target: &TcpListener) -> (EntryShared, Arc<AtomicU64>) {
    let mut settings = parse_settings(SETTINGS, 9464).unwrap();
    settings.peer_address = "127.0.0.1:0".parse().unwrap();
    let mut shared = open_shared(settings, BootId::from(1)).await.unwrap();
    let millis = Arc::new(AtomicU64::new(10_000));
    shared.clock = Clock::Manual(Arc::clone(&millis));
    let mut state = state_with_service();
    let config = (*state.config.take().unwrap()).clone();
    state.set_config(config.with_routes(vec![open_route()]), at(10_000));
    let name: TargetName = "i-1".parse().unwrap();
    let mut cold = report("z");
    cold.address = target.local_addr().unwrap();
    cold.cold_remaining = ms(60_000);
    state.apply_target(&name, Some(cold), at(10_000));
    let (key, number) = (TargetKey::new(&name), AskNumber::from(1));
    state.permits.add_waiting(key);
    state.permits.add_waiting(key);
    assert_eq!(state.permits.begin_ask(key, number, at(10_000)), Some(2));
    let grant = PermitGrant {
        delays: vec![ms(0), ms(400)],
        retry_after: ms(200),
    };
    assert!(state.permits.apply_answer(key, number, &grant, at(10_000)));
    state.permits.remove_waiting(key);
    state.permits.remove_waiting(key);
    shared.state = state.into();
    (shared, millis)
}

async fn request() -> CallerRequest {
    let mut text = &b"GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\n\r\n"[..];
    let mut buffer = ReadBuffer::default();
    buffer.fill(&mut text).await.unwrap();
    CallerRequest {
        origin: RequestOrigin::Caller,
        head: buffer.take_request_head(4096).unwrap().unwrap(),
        body: Bytes::new(),
        arrived: at(10_000),
    }
}

/// Guards against a request to a cold target whose permit has ended while the connection was opened,
/// and against taking this for a refusal by the target: it was excluded, and the connection closed.
#[tokio::test]
async fn request_whose_permit_has_ended_is_sent_with_another_one() {
    let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (shared, millis) = vm_with_two_permits(&target).await;
    let caller_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let _caller = TcpStream::connect(caller_listener.local_addr().unwrap())
        .await
        .unwrap();
    let (_, mut writer) = caller_listener.accept().await.unwrap().0.into_split();
    let request = request().await;
    let key = TargetKey::new(&"i-1".parse().unwrap());
    let has_valid = |now| shared.state.borrow().permits.has_valid(key, at(now));
    let receive = async {
        // The request has been assigned to the target and waits for the connection.
        assert!(!has_valid(10_000));
        millis.store(10_400, Ordering::Relaxed);
        let (mut connection, _) = target.accept().await.unwrap();
        let mut bytes = [0; 4096];
        connection.read(&mut bytes).await.unwrap()
    };
    tokio::select! {
        biased;
        outcome = serve_request(&shared, &request, &mut writer, false) => {
            panic!("{outcome:?} before the target got the request");
        }
        received = receive => assert!(received > 0, "the connection was closed"),
    }
    assert!(!has_valid(10_400));
}
