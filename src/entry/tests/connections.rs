//! Which idle connections a request gets.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;

use crate::clock::Timestamp;
use crate::entry::connections::ConnectionPool;
use crate::ids::RequestId;

fn request_id(text: &str) -> RequestId {
    text.parse().expect("a valid id")
}

async fn start_listener() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the address is known");
    tokio::spawn(async move {
        let mut accepted = Vec::new();
        while let Ok(connection) = listener.accept().await {
            accepted.push(connection);
        }
    });
    address
}

/// Guards against a copy of an earlier response that is taken for the response to a later request with
/// the same id.
#[tokio::test]
async fn connection_does_not_carry_an_id_twice() {
    let (address, now) = (start_listener().await, Timestamp::default());
    let pool = ConnectionPool::new(10);
    let (first, second) = (request_id("first"), request_id("second"));
    for id in [&first, &second] {
        let mut connection = pool.open(address).await.expect("the listener accepts");
        connection.begin_request(id);
        pool.put_idle(address, connection, None, now);
    }
    let mut connection = (pool.take_idle(address, &second, now)).expect("the other one is idle");
    connection.begin_request(&second);
    pool.put_idle(address, connection, None, now);
    assert!(pool.take_idle(address, &second, now).is_none());
    let connection = pool.take_idle(address, &first, now).expect("one is left");
    assert_eq!(connection.requests(), 1);
}

/// Guards against ids that are remembered without limit.
#[tokio::test]
async fn connection_is_closed_after_a_number_of_requests() {
    let (address, now) = (start_listener().await, Timestamp::default());
    let pool = ConnectionPool::new(10);
    let mut connection = pool.open(address).await.expect("the listener accepts");
    for number in 0..255 {
        connection.begin_request(&request_id(&format!("r-{number}")));
        pool.put_idle(address, connection, None, now);
        let taken = pool.take_idle(address, &request_id("other"), now);
        connection = taken.expect("the connection is kept");
    }
    connection.begin_request(&request_id("last"));
    pool.put_idle(address, connection, None, now);
    assert!(pool.take_idle(address, &request_id("other"), now).is_none());
}

/// Guards against a connection that counts as idle although it has received bytes, or was closed, while
/// the VM was busy.
#[yare::parameterized(
    bytes = { b"HTTP/1.1 503 Busy\r\n" },
    closed = { b"" },
)]
#[test_macro(tokio::test)]
async fn connection_that_has_received_something_is_not_taken(received: &[u8]) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the address is known");
    let (pool, now) = (ConnectionPool::new(10), Timestamp::default());
    let connection = pool.open(address).await.expect("the listener accepts");
    let (mut target, _) = listener.accept().expect("a connection waits");
    pool.put_idle(address, connection, None, now);
    target.write_all(received).expect("the connection is open");
    drop(target);
    // Blocks the thread, so that no events of sockets are processed meanwhile.
    std::thread::sleep(Duration::from_millis(50));
    let taken = pool.take_idle(address, &request_id("next"), now);
    assert!(taken.is_none());
}
