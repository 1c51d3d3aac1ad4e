//! Finds requests with conflicting lengths, which allow request smuggling. The HTTP library uses
//! `Transfer-Encoding` and drops `Content-Length` before any handler sees it, so the bytes are
//! checked before the library reads them. Parses HTTP/1 only: HTTP/2 has its own frames, and its
//! library rejects conflicting lengths.

/// How much of a line is buffered. Header names, lengths and chunk sizes are shorter.
const LINE_LIMIT_BYTES: usize = 256;

/// The part of a request that the next byte belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FrameState {
    RequestLine,
    HeaderLine,
    /// A body or chunk, with the number of bytes left in it.
    Data {
        left: u64,
        is_chunk: bool,
    },
    ChunkSize,
    /// The trailer section after the last chunk.
    Trailer,
    /// Not parsed any further: malformed input that the library rejects, or another protocol.
    Unknown,
}

/// An incremental parser for the framing of the requests on one connection.
#[derive(Debug)]
pub(crate) struct RequestFraming {
    state: FrameState,
    line: Vec<u8>,
    length: Option<u64>,
    /// Whether there were different `Content-Length` values.
    has_two_lengths: bool,
    is_chunked: bool,
}

impl Default for RequestFraming {
    fn default() -> Self {
        Self {
            state: FrameState::RequestLine,
            line: Vec::new(),
            length: None,
            has_two_lengths: false,
            is_chunked: false,
        }
    }
}

impl RequestFraming {
    /// Parses `bytes`. Returns the index of the byte that ends a head with conflicting lengths.
    pub(crate) fn find_length_conflict(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut index = 0;
        while index < bytes.len() {
            if self.state == FrameState::Unknown {
                return None;
            }
            if let FrameState::Data { left, is_chunk } = self.state {
                let available = (bytes.len() - index) as u64;
                let step = left.min(available);
                index += usize::try_from(step).unwrap_or(usize::MAX);
                self.state = match (left - step, is_chunk) {
                    (0, true) => FrameState::ChunkSize,
                    (0, false) => FrameState::RequestLine,
                    (left, is_chunk) => FrameState::Data { left, is_chunk },
                };
                continue;
            }
            let byte = bytes[index];
            if byte == b'\n' {
                let line = std::mem::take(&mut self.line);
                if self.process_line(line.strip_suffix(b"\r").unwrap_or(&line)) {
                    return Some(index);
                }
            } else if self.line.len() < LINE_LIMIT_BYTES {
                self.line.push(byte);
            }
            index += 1;
        }
        None
    }

    /// Processes a complete line. Returns `true` if it ends a head with conflicting lengths.
    fn process_line(&mut self, line: &[u8]) -> bool {
        match self.state {
            FrameState::RequestLine if line.is_empty() => {}
            FrameState::RequestLine => {
                self.length = None;
                self.has_two_lengths = false;
                self.is_chunked = false;
                self.state = match line.starts_with(b"PRI ") {
                    true => FrameState::Unknown,
                    false => FrameState::HeaderLine,
                };
            }
            FrameState::HeaderLine if line.is_empty() => return self.finish_head(),
            FrameState::HeaderLine => self.process_header(line),
            FrameState::ChunkSize => self.state = state_after_chunk_size(line),
            FrameState::Trailer if line.is_empty() => self.state = FrameState::RequestLine,
            FrameState::Trailer | FrameState::Data { .. } | FrameState::Unknown => {}
        }
        false
    }

    /// Whether a head has begun, but is not complete.
    pub(crate) fn is_in_head(&self) -> bool {
        match self.state {
            FrameState::HeaderLine => true,
            FrameState::RequestLine => !self.line.is_empty(),
            _ => false,
        }
    }

    fn process_header(&mut self, line: &[u8]) {
        let line = String::from_utf8_lossy(line);
        let Some((name, value)) = line.split_once(':') else {
            return;
        };
        match name.trim().to_ascii_lowercase().as_str() {
            "content-length" => {
                let length = value.trim().parse().unwrap_or(u64::MAX);
                self.has_two_lengths |= self.length.is_some_and(|first| first != length);
                self.length = Some(length);
            }
            "transfer-encoding" => self.is_chunked = true,
            _ => {}
        }
    }

    /// Determines the length of the body after a head. Returns `true` if the lengths conflict.
    fn finish_head(&mut self) -> bool {
        self.state = match (self.length, self.is_chunked) {
            (Some(_), is_chunked) if is_chunked || self.has_two_lengths => {
                self.state = FrameState::Unknown;
                return true;
            }
            (None, true) => FrameState::ChunkSize,
            (None | Some(0), _) => FrameState::RequestLine,
            (Some(left), _) => FrameState::Data {
                left,
                is_chunk: false,
            },
        };
        false
    }
}

fn state_after_chunk_size(line: &[u8]) -> FrameState {
    let line = String::from_utf8_lossy(line);
    let size = line.split(';').next().unwrap_or_default().trim();
    match u64::from_str_radix(size, 16) {
        Ok(0) => FrameState::Trailer,
        // The CRLF after the data counts as part of the chunk.
        Ok(size) => FrameState::Data {
            left: size.saturating_add(2),
            is_chunk: true,
        },
        Err(_) => FrameState::Unknown,
    }
}
