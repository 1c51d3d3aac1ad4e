//! Kept connections to targets.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

use super::http::ReadBuffer;
use super::sockets::connect;
use crate::clock::Timestamp;
use crate::collections::FastMap;

/// Targets that state no timeout close idle connections after some seconds at the least.
const IDLE_DEFAULT: Duration = Duration::from_millis(2500);
/// The part of a stated timeout for which a connection is used again; a request that meets the
/// target's close on its way may have run.
const IDLE_USE: f64 = 0.6;
/// Idle connections kept for one target.
const IDLE_LIMIT: usize = 24;

/// A connection to a target.
#[derive(Debug)]
pub(crate) struct TargetChannel {
    pub(crate) stream: TcpStream,
    pub(crate) buffer: ReadBuffer,
    /// Whether it has served a request before.
    pub(crate) reused: bool,
    /// The target answered before the request's body was sent, whose rest it still expects.
    pub(crate) unread_body: bool,
}

#[derive(Debug)]
struct IdleChannel {
    channel: TargetChannel,
    until: Timestamp,
}

/// The idle connections of this VM, the last used first.
#[derive(Debug, Default)]
pub(crate) struct ChannelPool {
    idle: RefCell<FastMap<SocketAddr, Vec<IdleChannel>>>,
}

impl ChannelPool {
    /// An idle connection that is still open and silent.
    pub(crate) fn take(&self, address: SocketAddr, now: Timestamp) -> Option<TargetChannel> {
        let mut idle = self.idle.borrow_mut();
        let channels = idle.get_mut(&address)?;
        while let Some(mut kept) = channels.pop() {
            let channel = &mut kept.channel;
            if now < kept.until && channel.buffer.is_idle(&channel.stream) {
                return Some(kept.channel);
            }
        }
        None
    }

    pub(crate) async fn open(&self, address: SocketAddr) -> io::Result<TargetChannel> {
        let stream = connect(address).await?;
        Ok(TargetChannel {
            stream,
            buffer: ReadBuffer::default(),
            reused: false,
            unread_body: false,
        })
    }

    /// Keeps a connection whose last answer was read whole.
    pub(crate) fn keep(
        &self,
        address: SocketAddr,
        mut channel: TargetChannel,
        idle_timeout: Option<Duration>,
        now: Timestamp,
    ) {
        if !channel.buffer.is_empty() || channel.unread_body {
            return;
        }
        channel.reused = true;
        let time = idle_timeout.map_or(IDLE_DEFAULT, |stated| stated.mul_f64(IDLE_USE));
        let mut idle = self.idle.borrow_mut();
        let channels = idle.entry(address).or_default();
        if channels.len() >= IDLE_LIMIT {
            channels.remove(0);
        }
        channels.push(IdleChannel {
            channel,
            until: now + time,
        });
    }

    /// Closes what has been idle for too long.
    pub(crate) fn expire(&self, now: Timestamp) {
        self.idle.borrow_mut().retain(|_, channels| {
            channels.retain(|kept| now < kept.until);
            !channels.is_empty()
        });
    }
}
