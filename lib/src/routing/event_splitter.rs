//! Splits a byte stream into complete server-sent events.

use bytes::Bytes;
use bytes::BytesMut;

/// Largest event that is buffered; events of models hold a few hundred bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// One complete event of a stream, with its bytes as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeEvent {
    /// Numeric value of its `id` field, if it has one.
    pub id: Option<u64>,
    /// All of its bytes, including the empty line at the end.
    pub bytes: Bytes,
}

impl WholeEvent {
    /// Returns whether it holds comments only, which keep a connection alive.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.all(|line| line.is_empty() || line == b"\r" || line.starts_with(b":"))
    }
}

/// Buffers the bytes of an event until its end has arrived, so that a partial
/// event is never forwarded.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next complete event from the buffer and returns it.
    pub fn next_event(&mut self) -> Option<WholeEvent> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = event_id(&bytes);
        Some(WholeEvent { id, bytes })
    }

    /// Tells whether bytes remain in the buffer; once `next_event` has returned `None`,
    /// they are a partial event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether the event that has begun is longer than any sound one.
    pub fn is_oversized(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    fn find_end(&mut self) -> Option<usize> {
        let start = self.searched.saturating_sub(3);
        let window = &self.buffer[start..];
        for (offset, pair) in window.windows(2).enumerate() {
            if pair == b"\n\n" {
                return Some(start + offset + 2);
            }
            if pair == b"\n\r" && window.get(offset + 2) == Some(&b'\n') {
                return Some(start + offset + 3);
            }
        }
        self.searched = self.buffer.len();
        None
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    for line in bytes.split(|byte| *byte == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        return std::str::from_utf8(value).ok()?.trim().parse().ok();
    }
    None
}
