//! Refuses requests that give two lengths. The HTTP library follows `Transfer-Encoding` and drops
//! `Content-Length` before any handler sees it, so the bytes are checked before it reads them.
//! Follows HTTP/1 only: HTTP/2 has frames, and its library refuses conflicting lengths.

/// The part of a line that is kept; names, lengths and chunk sizes are shorter.
const LINE_LIMIT_BYTES: usize = 256;

/// Where in the connection's bytes the next one is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FramePlace {
    RequestLine,
    HeaderLine,
    /// In a body or chunk with this many bytes left.
    Data {
        left: u64,
        is_chunk: bool,
    },
    ChunkSize,
    /// After the last chunk.
    Trailer,
    /// The rest can't be followed; the library refuses it or it is another protocol.
    Unknown,
}

/// Follows the requests of one connection.
#[derive(Debug)]
pub(crate) struct RequestFraming {
    place: FramePlace,
    line: Vec<u8>,
    length: Option<u64>,
    /// Whether there were two `Content-Length` values.
    is_ambiguous: bool,
    is_chunked: bool,
}

impl Default for RequestFraming {
    fn default() -> Self {
        Self {
            place: FramePlace::RequestLine,
            line: Vec::new(),
            length: None,
            is_ambiguous: false,
            is_chunked: false,
        }
    }
}

impl RequestFraming {
    /// Follows `bytes`; gives the place of the byte that ends a head with two lengths.
    pub(crate) fn find_conflict(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut index = 0;
        while index < bytes.len() {
            if self.place == FramePlace::Unknown {
                return None;
            }
            if let FramePlace::Data { left, is_chunk } = self.place {
                let available = (bytes.len() - index) as u64;
                let step = left.min(available);
                index += usize::try_from(step).unwrap_or(usize::MAX);
                self.place = match (left - step, is_chunk) {
                    (0, true) => FramePlace::ChunkSize,
                    (0, false) => FramePlace::RequestLine,
                    (left, is_chunk) => FramePlace::Data { left, is_chunk },
                };
                continue;
            }
            let byte = bytes[index];
            if byte == b'\n' {
                let line = std::mem::take(&mut self.line);
                if self.end_line(line.strip_suffix(b"\r").unwrap_or(&line)) {
                    return Some(index);
                }
            } else if self.line.len() < LINE_LIMIT_BYTES {
                self.line.push(byte);
            }
            index += 1;
        }
        None
    }

    /// Goes on after a line; `true` when it ends a head with two lengths.
    fn end_line(&mut self, line: &[u8]) -> bool {
        match self.place {
            FramePlace::RequestLine if line.is_empty() => {}
            FramePlace::RequestLine => {
                self.length = None;
                self.is_ambiguous = false;
                self.is_chunked = false;
                self.place = match line.starts_with(b"PRI ") {
                    true => FramePlace::Unknown,
                    false => FramePlace::HeaderLine,
                };
            }
            FramePlace::HeaderLine if line.is_empty() => return self.end_head(),
            FramePlace::HeaderLine => self.note_header(line),
            FramePlace::ChunkSize => self.place = chunk_place(line),
            FramePlace::Trailer if line.is_empty() => self.place = FramePlace::RequestLine,
            FramePlace::Trailer | FramePlace::Data { .. } | FramePlace::Unknown => {}
        }
        false
    }

    /// Whether a head has begun and not ended.
    pub(crate) fn is_in_head(&self) -> bool {
        match self.place {
            FramePlace::HeaderLine => true,
            FramePlace::RequestLine => !self.line.is_empty(),
            _ => false,
        }
    }

    fn note_header(&mut self, line: &[u8]) {
        let line = String::from_utf8_lossy(line);
        let Some((name, value)) = line.split_once(':') else {
            return;
        };
        match name.trim().to_ascii_lowercase().as_str() {
            "content-length" => {
                let length = value.trim().parse().unwrap_or(u64::MAX);
                self.is_ambiguous |= self.length.is_some_and(|first| first != length);
                self.length = Some(length);
            }
            "transfer-encoding" => self.is_chunked = true,
            _ => {}
        }
    }

    fn end_head(&mut self) -> bool {
        self.place = match (self.length, self.is_chunked) {
            (Some(_), is_chunked) if is_chunked || self.is_ambiguous => {
                self.place = FramePlace::Unknown;
                return true;
            }
            (None, true) => FramePlace::ChunkSize,
            (None | Some(0), _) => FramePlace::RequestLine,
            (Some(left), _) => FramePlace::Data {
                left,
                is_chunk: false,
            },
        };
        false
    }
}

/// What follows a line with a chunk's size.
fn chunk_place(line: &[u8]) -> FramePlace {
    let line = String::from_utf8_lossy(line);
    let size = line.split(';').next().unwrap_or_default().trim();
    match u64::from_str_radix(size, 16) {
        Ok(0) => FramePlace::Trailer,
        // The line end after the data belongs to the chunk.
        Ok(size) => FramePlace::Data {
            left: size.saturating_add(2),
            is_chunk: true,
        },
        Err(_) => FramePlace::Unknown,
    }
}
