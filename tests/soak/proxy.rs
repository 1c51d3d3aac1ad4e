//! A loopback proxy whose connections can be delayed, cut, silenced or reset.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What a link does with bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkMode {
    Sound,
    Delayed(Duration),
    /// Bytes towards the server are held.
    CutForward,
    /// Bytes towards the client are held.
    CutBack,
    Silent,
    /// Connections are reset, and so are new ones.
    Reset,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forward,
    Back,
}

impl LinkMode {
    fn holds(self, direction: Direction) -> bool {
        match self {
            Self::CutForward => direction == Direction::Forward,
            Self::CutBack => direction == Direction::Back,
            Self::Silent => true,
            Self::Sound | Self::Delayed(_) | Self::Reset => false,
        }
    }
}

/// A proxy before one server.
#[derive(Debug)]
pub(crate) struct FaultProxy {
    pub(crate) address: SocketAddr,
    mode: watch::Sender<LinkMode>,
}

impl FaultProxy {
    pub(crate) async fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (mode, receiver) = watch::channel(LinkMode::Sound);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay(stream, server, receiver.clone()));
            }
        });
        Self { address, mode }
    }

    pub(crate) fn set(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn relay(mut client: TcpStream, server: SocketAddr, mut mode: watch::Receiver<LinkMode>) {
    let connected = TcpStream::connect(server).await;
    let reset = *mode.borrow() == LinkMode::Reset;
    let (Ok(mut server), false) = (connected, reset) else {
        // A socket without linger time sends a reset when it is closed.
        let _ = client.set_zero_linger();
        return;
    };
    {
        let (mut from_client, mut to_client) = client.split();
        let (mut from_server, mut to_server) = server.split();
        let (forward_mode, back_mode) = (mode.clone(), mode.clone());
        let forward = copy(
            &mut from_client,
            &mut to_server,
            Direction::Forward,
            forward_mode,
        );
        let back = copy(&mut from_server, &mut to_client, Direction::Back, back_mode);
        tokio::select! {
            () = async { tokio::join!(forward, back); } => return,
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
        let present = *mode.borrow();
        if let LinkMode::Delayed(delay) = present {
            tokio::time::sleep(delay).await;
        }
        let passes = |mode: &LinkMode| !mode.holds(direction);
        if mode.wait_for(passes).await.map(drop).is_err() {
            return;
        }
        if writer.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    // The other side may have gone already.
    let _ = writer.shutdown().await;
}
