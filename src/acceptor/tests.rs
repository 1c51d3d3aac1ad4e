use poem::listener::Acceptor;
use tokio::net::{TcpListener, TcpStream};

use super::NodelayAcceptor;

/// Guards against a streamed token that is delayed until the previous one is acknowledged.
#[tokio::test]
async fn an_accepted_connection_does_not_delay_small_writes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut acceptor = NodelayAcceptor::new(listener).unwrap();
    let (_client, accepted) = tokio::join!(TcpStream::connect(address), acceptor.accept());
    assert!(accepted.unwrap().0.nodelay().unwrap());
}
