//! Cuts a stream of bytes into whole events.

use bytes::Bytes;
use bytes::BytesMut;

/// One event of a stream, with its bytes as they came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeEvent {
    /// Its id, where it has one.
    pub id: Option<u64>,
    /// All of its bytes, the empty line at its end included.
    pub bytes: Bytes,
}

/// Holds back the bytes of an event until its end has arrived, so that a torn
/// event is never passed on.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Takes bytes as they arrive.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<WholeEvent> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = event_id(&bytes);
        Some(WholeEvent { id, bytes })
    }

    /// Tells whether the start of an event has arrived without its end.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
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
