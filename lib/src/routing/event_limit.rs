//! Bounds the size of a server-sent event.

/// Largest event that may be buffered; events of models hold a few hundred bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Counts the bytes of an event until its end, for readers that buffer it.
///
/// An event ends with an empty line; lines end with a line feed, a carriage return, or both.
#[derive(Clone, Debug, Default)]
pub struct EventLimit {
    /// Bytes since the end of the last event.
    event_bytes: usize,
    /// Whether the current line has no bytes yet.
    is_line_empty: bool,
    /// Whether the last byte was a carriage return.
    is_return_last: bool,
}

impl EventLimit {
    /// Observes the next bytes of a stream; returns whether all events are within the limit.
    pub fn observe(&mut self, bytes: &[u8]) -> bool {
        for byte in bytes {
            self.event_bytes += 1;
            let was_return = std::mem::replace(&mut self.is_return_last, *byte == b'\r');
            match byte {
                // The second part of a line end.
                b'\n' if was_return => {}
                b'\n' | b'\r' if self.is_line_empty => self.event_bytes = 0,
                b'\n' | b'\r' => self.is_line_empty = true,
                _ => self.is_line_empty = false,
            }
            if self.event_bytes > MAX_EVENT_BYTES {
                return false;
            }
        }
        true
    }
}
