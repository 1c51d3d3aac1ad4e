//! The ports of the processes that a test starts.

use std::sync::Mutex;

/// Ports that only this test process uses. They lie below the range from which the system takes ports
/// for outgoing connections.
pub(super) struct PortBlock {
    next: u16,
    end: u16,
    /// Bound to the block's first port, so that no other test process takes the block.
    _guard: std::net::TcpListener,
}

impl PortBlock {
    const FIRST_PORT: u16 = 10_000;
    const PORTS: u16 = 200;
    const BLOCKS: u16 = 110;

    fn reserve() -> Self {
        loop {
            let start = Self::FIRST_PORT + rand::random_range(0..Self::BLOCKS) * Self::PORTS;
            if let Ok(guard) = std::net::TcpListener::bind(("127.0.0.1", start)) {
                return Self {
                    next: start + 1,
                    end: start + Self::PORTS,
                    _guard: guard,
                };
            }
        }
    }

    /// The next port that no program outside the tests uses, if one is left.
    fn next_port(&mut self) -> Option<u16> {
        let port = (self.next..self.end).find(|port| {
            let address = ("127.0.0.1", *port);
            let tcp = std::net::TcpListener::bind(address);
            tcp.is_ok() && std::net::UdpSocket::bind(address).is_ok()
        })?;
        self.next = port + 1;
        Some(port)
    }
}

/// Also locked while a process is started: until it runs its own program, it holds copies of the
/// sockets with which ports are tried.
pub(super) static BLOCKS: Mutex<Vec<PortBlock>> = Mutex::new(Vec::new());

/// Returns a port that a process can bind later, and again after a restart, and that no other test
/// gets.
pub(super) fn free_port() -> u16 {
    let mut blocks = BLOCKS.lock().unwrap();
    loop {
        if let Some(port) = blocks.last_mut().and_then(PortBlock::next_port) {
            return port;
        }
        blocks.push(PortBlock::reserve());
    }
}
