//! Memory of the bodies of requests and answers.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use bytes::Bytes;
use jujuberoad::admission::BodyBudget;
use jujuberoad::admission::BodyVerdict;
use jujuberoad::ids::BodyId;
use jujuberoad_node::runtime::StopSignal;
use jujuberoad_node::runtime::StopTrigger;

use crate::segmented_buffer::SegmentedBuffer;

/// Why a body gets no memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BodyRefusal {
    #[error("the memory for bodies is used up")]
    NoRoom,
    #[error("the memory for bodies is used up, and this body has made no progress for longest")]
    Evicted,
}

/// Holds the bodies that are gathered, within a [`BodyBudget`].
pub(crate) struct BodyMemory {
    state: Mutex<MemoryState>,
    eviction_count: AtomicU64,
}

struct MemoryState {
    budget: BodyBudget,
    /// Bodies that are not complete. They are kept here, so that the memory of an evicted one is
    /// free before another one takes it.
    bodies: HashMap<BodyId, GatheredBody>,
}

struct GatheredBody {
    buffer: SegmentedBuffer,
    /// Tells the reader of an evicted body when it is dropped.
    _evicted: StopTrigger,
}

/// The reservation of one body, which is freed when this is dropped.
pub(crate) struct BodyHold {
    memory: Arc<BodyMemory>,
    id: BodyId,
}

/// The bytes of a complete body with their reservation.
struct HeldBytes {
    bytes: Vec<u8>,
    _hold: BodyHold,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyMemory {
    /// Creates memory for `total_bytes` of bodies.
    pub(crate) fn new(total_bytes: u64) -> Arc<Self> {
        let state = MemoryState {
            budget: BodyBudget::new(total_bytes),
            bodies: HashMap::new(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            eviction_count: AtomicU64::new(0),
        })
    }

    /// Adds the body of a request; the signal is set if it is evicted.
    pub(crate) fn begin_request(self: &Arc<Self>) -> (BodyHold, StopSignal) {
        let id = self.lock().budget.begin_request(Instant::now());
        self.begin(id)
    }

    /// Adds the body of an answer, which is never evicted.
    pub(crate) fn begin_answer(self: &Arc<Self>) -> BodyHold {
        let id = self.lock().budget.begin_answer(Instant::now());
        self.begin(id).0
    }

    fn begin(self: &Arc<Self>, id: BodyId) -> (BodyHold, StopSignal) {
        let (trigger, evicted) = StopSignal::new();
        let body = GatheredBody {
            buffer: SegmentedBuffer::default(),
            _evicted: trigger,
        };
        self.lock().bodies.insert(id, body);
        let memory = Arc::clone(self);
        (BodyHold { memory, id }, evicted)
    }

    /// Returns the number of bytes that bodies have reserved.
    pub(crate) fn used_bytes(&self) -> u64 {
        self.lock().budget.used_bytes()
    }

    /// Returns the number of bodies that were evicted.
    pub(crate) fn eviction_count(&self) -> u64 {
        self.eviction_count.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, MemoryState> {
        self.state.lock().expect("body memory lock")
    }

    /// Reserves capacity for a body and adds it.
    fn grow(
        &self,
        state: &mut MemoryState,
        id: BodyId,
        bytes: usize,
        now: Instant,
    ) -> Result<(), BodyRefusal> {
        match state.budget.reserve(id, bytes as u64, now) {
            BodyVerdict::Granted(evicted) => {
                for victim in evicted {
                    self.eviction_count.fetch_add(1, Ordering::Relaxed);
                    state.bodies.remove(&victim);
                }
            }
            BodyVerdict::NoRoom => return Err(BodyRefusal::NoRoom),
            BodyVerdict::Evicted => return Err(BodyRefusal::Evicted),
        }
        let body = state.bodies.get_mut(&id).ok_or(BodyRefusal::Evicted)?;
        body.buffer.grow(bytes);
        Ok(())
    }
}

impl BodyHold {
    /// Reserves memory for a body of `bytes` at once.
    pub(crate) fn reserve_whole(&self, bytes: usize) -> Result<(), BodyRefusal> {
        let mut state = self.memory.lock();
        self.memory.grow(&mut state, self.id, bytes, Instant::now())
    }

    /// Appends `bytes`, which are moved behind what was appended.
    pub(crate) fn append(&self, bytes: &mut &[u8]) -> Result<(), BodyRefusal> {
        let mut state = self.memory.lock();
        let now = Instant::now();
        state.budget.observe(self.id, bytes.len() as u64, now);
        loop {
            let body = state.bodies.get_mut(&self.id);
            let body = body.ok_or(BodyRefusal::Evicted)?;
            body.buffer.fill(bytes);
            if bytes.is_empty() {
                return Ok(());
            }
            let more = body.buffer.growth(bytes.len());
            self.memory.grow(&mut state, self.id, more, now)?;
        }
    }

    /// Returns the whole body, whose reservation is freed when its last copy is dropped.
    pub(crate) fn finish(self) -> Result<Bytes, BodyRefusal> {
        let body = {
            let mut state = self.memory.lock();
            if !state.budget.complete(self.id) {
                return Err(BodyRefusal::Evicted);
            }
            let body = state.bodies.remove(&self.id);
            body.ok_or(BodyRefusal::Evicted)?
        };
        let bytes = body.buffer.join();
        if bytes.is_empty() {
            return Ok(Bytes::new());
        }
        Ok(Bytes::from_owner(HeldBytes { bytes, _hold: self }))
    }
}

impl Drop for BodyHold {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.budget.release(self.id);
        state.bodies.remove(&self.id);
    }
}
