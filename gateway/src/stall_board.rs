//! Streams under way by head, and the heads that have fallen silent.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::fleet::ProbeBackoff;
use jujuberoad::fleet::ServingTarget;
use jujuberoad::fleet::StallDetector;
use jujuberoad::ids::EndpointId;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;

/// Time within which events of other streams show that a group works.
const PROGRESS_SPAN: Duration = Duration::from_millis(220);

/// Number of a stream.
pub(crate) type StreamNumber = u64;

/// Watches all heads to which this router has streams.
#[derive(Default)]
pub(crate) struct StallBoard {
    state: Mutex<BoardState>,
}

#[derive(Default)]
struct BoardState {
    next: StreamNumber,
    heads: HashMap<EndpointId, HeadState>,
}

struct HeadState {
    target: ServingTarget,
    detector: StallDetector,
    streams: HashMap<StreamNumber, StreamState>,
    probes: ProbeBackoff,
    is_suspect: bool,
}

struct StreamState {
    /// Moment at which its first event is missing.
    missing_at: Instant,
    has_started: bool,
    sender: Sender<()>,
}

impl StallBoard {
    /// Notes a stream that is sent to `target`; the receiver tells when it is lost.
    pub(crate) fn enter(
        &self,
        target: &ServingTarget,
        first_event_limit: Duration,
    ) -> (StreamNumber, Receiver<()>) {
        let now = Instant::now();
        let (sender, receiver) = channel::bounded(1);
        let mut state = self.state.lock().expect("stall lock");
        let number = state.next;
        state.next += 1;
        let head = state
            .heads
            .entry(target.endpoint.clone())
            .or_insert_with(|| HeadState {
                target: target.clone(),
                detector: StallDetector::new(now),
                streams: HashMap::new(),
                probes: ProbeBackoff::new(now),
                is_suspect: false,
            });
        head.target = target.clone();
        let stream = StreamState {
            missing_at: now + first_event_limit,
            has_started: false,
            sender,
        };
        head.streams.insert(number, stream);
        (number, receiver)
    }

    /// Notes an event of a stream.
    pub(crate) fn observe_event(&self, endpoint: &EndpointId, number: StreamNumber) {
        let now = Instant::now();
        let mut state = self.state.lock().expect("stall lock");
        let Some(head) = state.heads.get_mut(endpoint) else {
            return;
        };
        head.is_suspect = false;
        let Some(stream) = head.streams.get_mut(&number) else {
            return;
        };
        if !stream.has_started {
            stream.has_started = true;
            head.detector.stream_started(now);
        }
        head.detector.observe_event(now);
    }

    /// Notes the end of a stream.
    pub(crate) fn leave(&self, endpoint: &EndpointId, number: StreamNumber) {
        let mut state = self.state.lock().expect("stall lock");
        let Some(head) = state.heads.get_mut(endpoint) else {
            return;
        };
        if let Some(stream) = head.streams.remove(&number)
            && stream.has_started
        {
            head.detector.stream_ended();
        }
        if head.streams.is_empty() {
            state.heads.remove(endpoint);
        }
    }

    /// Returns the heads that are due for a probe and marks them as suspect.
    pub(crate) fn due_probes(&self, now: Instant) -> Vec<ServingTarget> {
        let mut due = Vec::new();
        let mut state = self.state.lock().expect("stall lock");
        for head in state.heads.values_mut() {
            if !head.probes.is_due(now) {
                continue;
            }
            let waiting = head.streams.values().filter(|stream| !stream.has_started);
            let first_due = waiting.map(|stream| stream.missing_at).min();
            let is_silent = head.detector.stall_deadline().is_some_and(|at| now >= at);
            // A first event may be late because of a long queue; events of other
            // streams show that the group works.
            let has_progress = now < head.detector.last_event() + PROGRESS_SPAN;
            let is_late = first_due.is_some_and(|at| now >= at) && !has_progress;
            if !is_silent && !is_late {
                continue;
            }
            head.probes.record_probe(now);
            head.is_suspect = true;
            due.push(head.target.clone());
        }
        due
    }

    /// Makes a head due for a probe at once; tells whether there are streams to it
    /// that have not had an event lately.
    pub(crate) fn hurry_probe(&self, endpoint: &EndpointId) -> Option<ServingTarget> {
        let now = Instant::now();
        let mut state = self.state.lock().expect("stall lock");
        let head = state.heads.get_mut(endpoint)?;
        let is_moving = now < head.detector.last_event() + Duration::from_millis(60);
        if is_moving || !head.probes.is_due(now) {
            return None;
        }
        head.probes.record_probe(now);
        Some(head.target.clone())
    }

    /// Takes the result of a probe: the group answered as it should.
    pub(crate) fn clear(&self, endpoint: &EndpointId) {
        let mut state = self.state.lock().expect("stall lock");
        if let Some(head) = state.heads.get_mut(endpoint) {
            head.is_suspect = false;
        }
    }

    /// Tells all streams of a head that it is lost; returns their number.
    pub(crate) fn give_up(&self, endpoint: &EndpointId) -> usize {
        let state = self.state.lock().expect("stall lock");
        let Some(head) = state.heads.get(endpoint) else {
            return 0;
        };
        for stream in head.streams.values() {
            // A full channel means that it has been told already.
            let _ = stream.sender.try_send(());
        }
        head.streams.len()
    }

    /// Tells whether this router has streams to a head.
    pub(crate) fn has_streams(&self, endpoint: &EndpointId) -> bool {
        let state = self.state.lock().expect("stall lock");
        state.heads.contains_key(endpoint)
    }

    /// Tells whether a head is silent at the moment.
    pub(crate) fn is_suspect(&self, endpoint: &EndpointId) -> bool {
        let state = self.state.lock().expect("stall lock");
        state
            .heads
            .get(endpoint)
            .is_some_and(|head| head.is_suspect)
    }
}
