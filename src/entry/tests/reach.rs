use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

use super::attempt::open_route;
use super::state::state_with_service;
use crate::clock::Timestamp;
use crate::dispatch::directory::TargetKey;
use crate::dispatch::tests::report;
use crate::entry::admission::{CallerRequest, RequestOrigin};
use crate::entry::http::ReadBuffer;
use crate::entry::request::serve_request;
use crate::entry::server::open_shared;
use crate::ids::{BootId, TargetName};
use crate::platform::settings::parse_settings;
use crate::platform::tests::SETTINGS;

/// Serves a request whose target closes the connection without a response. Returns whether that counts
/// as a crash of the target. `fails` is set if the target accepts no new connections meanwhile.
async fn counts_as_crash(fails: bool) -> bool {
    let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut settings = parse_settings(SETTINGS, 9464).unwrap();
    settings.peer_address = "127.0.0.1:0".parse().unwrap();
    let mut shared = open_shared(settings, BootId::from(1)).await.unwrap();
    let now = shared.clock.now();
    let mut state = state_with_service();
    let config = (*state.config.take().unwrap()).clone();
    state.set_config(config.with_routes(vec![open_route()]), now);
    let name: TargetName = "i-1".parse().unwrap();
    let mut warm = report("z");
    warm.address = target.local_addr().unwrap();
    state.apply_target(&name, Some(warm), now);
    shared.state = state.into();

    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let _caller = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (_, mut writer) = listener.accept().await.unwrap().0.into_split();
    let request = request(now).await;
    let close = async {
        let (mut connection, _) = target.accept().await.unwrap();
        let mut bytes = [0; 4096];
        assert!(connection.read(&mut bytes).await.unwrap() > 0);
        if fails {
            let service = "llm".parse().unwrap();
            let mut state = shared.state.borrow_mut();
            let reach = state.reach(&service);
            reach.record_failure(TargetKey::new(&name), now);
        }
    };
    let served = serve_request(&shared, &request, &mut writer, false);
    let _ = tokio::time::timeout(Duration::from_secs(5), async {
        tokio::join!(served, close)
    })
    .await
    .unwrap();
    !shared.state.borrow().strikes.is_empty()
}

async fn request(arrived: Timestamp) -> CallerRequest {
    let mut text = &b"GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\n\r\n"[..];
    let mut buffer = ReadBuffer::default();
    buffer.fill(&mut text).await.unwrap();
    CallerRequest {
        origin: RequestOrigin::Caller,
        head: buffer.take_request_head(4096).unwrap().unwrap(),
        body: Bytes::new(),
        arrived,
    }
}

/// Guards against requests that are refused as harmful because the connections on which they were sent
/// were lost with all others of this VM.
#[tokio::test]
async fn connection_that_is_lost_behind_a_cut_is_no_crash() {
    assert!(counts_as_crash(false).await);
    assert!(!counts_as_crash(true).await);
}
