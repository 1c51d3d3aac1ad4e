//! A loopback proxy that can delay the bytes of its connections, block them in one or both
//! directions, or reset the connections.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How the proxy treats its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkMode {
    Healthy,
    /// Each block of bytes is delayed.
    Delay(Duration),
    /// Bytes from the client to the server are held back.
    BlockForward,
    /// Bytes from the server to the client are held back.
    BlockBackward,
    /// Bytes in both directions are held back.
    BlockBoth,
    /// Open and new connections are reset.
    Reset,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forward,
    Backward,
}

impl LinkMode {
    fn blocks(self, direction: Direction) -> bool {
        match self {
            Self::BlockForward => direction == Direction::Forward,
            Self::BlockBackward => direction == Direction::Backward,
            Self::BlockBoth => true,
            Self::Healthy | Self::Delay(_) | Self::Reset => false,
        }
    }
}

/// A proxy in front of one server.
#[derive(Debug)]
pub(crate) struct FaultProxy {
    pub(crate) address: SocketAddr,
    mode: watch::Sender<LinkMode>,
}

impl FaultProxy {
    pub(crate) async fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (mode, receiver) = watch::channel(LinkMode::Healthy);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay(stream, server, receiver.clone()));
            }
        });
        Self { address, mode }
    }

    pub(crate) fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn relay(mut client: TcpStream, server: SocketAddr, mut mode: watch::Receiver<LinkMode>) {
    let connected = TcpStream::connect(server).await;
    let reset = *mode.borrow() == LinkMode::Reset;
    let (Ok(mut server), false) = (connected, reset) else {
        // With a linger time of zero, closing a socket sends a reset.
        let _ = client.set_zero_linger();
        return;
    };
    {
        let (mut from_client, mut to_client) = client.split();
        let (mut from_server, mut to_server) = server.split();
        let (forward_mode, backward_mode) = (mode.clone(), mode.clone());
        let forward = copy(
            &mut from_client,
            &mut to_server,
            Direction::Forward,
            forward_mode,
        );
        let backward = copy(
            &mut from_server,
            &mut to_client,
            Direction::Backward,
            backward_mode,
        );
        tokio::select! {
            () = async { tokio::join!(forward, backward); } => return,
            _ = mode.wait_for(|mode| *mode == LinkMode::Reset) => {}
        }
    }
    let _ = (client.set_zero_linger(), server.set_zero_linger());
}

async fn copy(
    reader: &mut (impl AsyncRead + Unpin),
    writer: &mut (impl AsyncWrite + Unpin),
    direction: Direction,
    mut mode: watch::Receiver<LinkMode>,
) {
    let mut buffer = vec![0; 8192];
    while let Ok(count @ 1..) = reader.read(&mut buffer).await {
        let current = *mode.borrow();
        if let LinkMode::Delay(delay) = current {
            tokio::time::sleep(delay).await;
        }
        let passes = |mode: &LinkMode| !mode.blocks(direction);
        if mode.wait_for(passes).await.map(drop).is_err() {
            return;
        }
        if writer.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    // The peer may have closed the connection already, so errors are ignored.
    let _ = writer.shutdown().await;
}
