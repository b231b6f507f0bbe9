//! A buffer that grows in pieces of equal size.

/// Size of a piece. All large bodies use pieces of this size, so that the memory of one that is
/// freed fits the next one, and no body is copied to grow.
const SEGMENT_BYTES: usize = 64 << 10;
/// Smallest size of the first piece, which grows to [`SEGMENT_BYTES`].
const FIRST_BYTES: usize = 1 << 10;

/// Bytes in pieces whose capacity its owner reserves before it grows.
#[derive(Debug, Default)]
pub(crate) struct SegmentedBuffer {
    segments: Vec<Vec<u8>>,
}

impl SegmentedBuffer {
    /// Takes the start of `bytes` into the capacity that is left, and moves `bytes` behind it.
    pub(crate) fn fill(&mut self, bytes: &mut &[u8]) {
        let Some(last) = self.segments.last_mut() else {
            return;
        };
        let count = bytes.len().min(last.capacity() - last.len());
        let (taken, rest) = bytes.split_at(count);
        last.extend_from_slice(taken);
        *bytes = rest;
    }

    /// Returns how much capacity to add for `wanted` more bytes, or for the first ones of them.
    pub(crate) fn growth(&self, wanted: usize) -> usize {
        match &self.segments[..] {
            [] => wanted.clamp(FIRST_BYTES, SEGMENT_BYTES),
            [first] if first.capacity() < SEGMENT_BYTES => {
                let doubled = 2 * first.capacity();
                let needed = first.len() + wanted;
                doubled.max(needed).min(SEGMENT_BYTES) - first.capacity()
            }
            _ => SEGMENT_BYTES,
        }
    }

    /// Adds `bytes` of capacity.
    pub(crate) fn grow(&mut self, bytes: usize) {
        match &mut self.segments[..] {
            [first] if first.capacity() < SEGMENT_BYTES => {
                let capacity = first.capacity() + bytes;
                first.reserve_exact(capacity - first.len());
            }
            _ => self.segments.push(Vec::with_capacity(bytes)),
        }
    }

    /// Returns all bytes in one piece. Each piece is freed once it is copied.
    pub(crate) fn join(mut self) -> Vec<u8> {
        if self.segments.len() <= 1 {
            return self.segments.pop().unwrap_or_default();
        }
        let total = self.segments.iter().map(Vec::len).sum();
        let mut whole = Vec::with_capacity(total);
        for segment in self.segments {
            whole.extend_from_slice(&segment);
        }
        whole
    }
}
