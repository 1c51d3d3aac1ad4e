//! A minimal HTTP/1.1 reader and client.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Message {
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 if it can't be read.
    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, limit)?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut block = [0; 65536];
        let count = self.stream.read(&mut block)?;
        self.buffer.extend_from_slice(&block[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|part| part == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).take(end).collect();
                return Ok(String::from_utf8_lossy(&line).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a whole message. Returns `None` if the peer has closed the connection before it.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        if self.buffer.is_empty() && self.fill()? == 0 {
            return Ok(None);
        }
        let start = self.line()?;
        let mut fields = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            if let Some((key, value)) = line.split_once(':') {
                fields.push((key.trim().to_owned(), value.trim().to_owned()));
            }
        }
        let mut message = Message {
            start,
            fields,
            body: Vec::new(),
        };
        if message.field("transfer-encoding").is_some() {
            loop {
                let size = usize::from_str_radix(self.line()?.trim(), 16).unwrap_or(0);
                let data = self.take(size)?;
                message.body.extend(data);
                self.line()?;
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = message.field("content-length") {
            let length = length.parse().unwrap_or(0);
            message.body = self.take(length)?;
        }
        Ok(Some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a request and reads its response within `limit`.
    pub fn exchange(&mut self, request: &[u8], limit: Duration) -> io::Result<Message> {
        self.stream.set_read_timeout(Some(limit))?;
        self.stream.set_write_timeout(Some(limit))?;
        self.write(request)?;
        self.read()?
            .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

pub fn response(status: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut out = format!(
        "HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    out.extend_from_slice(body);
    out
}

/// The value of a text or number field in a flat JSON object.
pub fn json_field(body: &[u8], name: &str) -> Option<String> {
    let text = String::from_utf8_lossy(body).into_owned();
    let rest = text
        .split_once(&format!("\"{name}\":"))?
        .1
        .trim_start()
        .to_owned();
    match rest.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next().map(str::to_owned),
        None => rest
            .split([',', '}', ']'])
            .next()
            .map(|value| value.trim().to_owned()),
    }
}
