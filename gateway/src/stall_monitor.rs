//! Detects stalled streams, grouped by the head endpoint that serves them.

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

/// Time for which an event of one stream proves that the whole group makes progress.
const PROGRESS_WINDOW: Duration = Duration::from_millis(220);

/// Identifies a stream within this process.
pub(crate) type StreamNumber = u64;

/// Tracks the progress of this router's streams for each head.
#[derive(Default)]
pub(crate) struct StallMonitor {
    state: Mutex<MonitorState>,
}

#[derive(Default)]
struct MonitorState {
    next_number: StreamNumber,
    heads: HashMap<EndpointId, HeadState>,
}

struct HeadState {
    target: ServingTarget,
    detector: StallDetector,
    streams: HashMap<StreamNumber, StreamState>,
    probes: ProbeBackoff,
    is_suspect: bool,
    /// Whether streams were signalled since the last event.
    was_signalled: bool,
}

struct StreamState {
    /// When the first event becomes overdue.
    first_event_due: Instant,
    has_started: bool,
    sender: Sender<()>,
}

impl StallMonitor {
    /// Registers a stream to `target`; the receiver is signalled when the group is found
    /// silent or dissolved.
    pub(crate) fn add_stream(
        &self,
        target: &ServingTarget,
        first_event_limit: Duration,
    ) -> (StreamNumber, Receiver<()>) {
        let now = Instant::now();
        let (sender, receiver) = channel::bounded(1);
        let mut state = self.state.lock().expect("stall lock");
        let number = state.next_number;
        state.next_number += 1;
        let head = state
            .heads
            .entry(target.endpoint.clone())
            .or_insert_with(|| HeadState {
                target: target.clone(),
                detector: StallDetector::new(now),
                streams: HashMap::new(),
                probes: ProbeBackoff::new(now),
                is_suspect: false,
                was_signalled: false,
            });
        head.target = target.clone();
        let stream = StreamState {
            first_event_due: now + first_event_limit,
            has_started: false,
            sender,
        };
        head.streams.insert(number, stream);
        (number, receiver)
    }

    /// Records an event of a stream. Returns the members of its group if its streams had been
    /// signalled as silent: they are all at work again.
    pub(crate) fn observe_event(
        &self,
        endpoint: &EndpointId,
        number: StreamNumber,
    ) -> Vec<EndpointId> {
        let now = Instant::now();
        let mut state = self.state.lock().expect("stall lock");
        let Some(head) = state.heads.get_mut(endpoint) else {
            return Vec::new();
        };
        head.is_suspect = false;
        if let Some(stream) = head.streams.get_mut(&number) {
            if !stream.has_started {
                stream.has_started = true;
                head.detector.stream_started(now);
            }
            head.detector.observe_event(now);
        }
        if !std::mem::take(&mut head.was_signalled) {
            return Vec::new();
        }
        let members = head.target.members.iter();
        members.map(|(member, _)| member.clone()).collect()
    }

    /// Removes a stream that has ended.
    pub(crate) fn remove_stream(&self, endpoint: &EndpointId, number: StreamNumber) {
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

    /// Returns the targets that are due for a probe and marks them as suspect.
    pub(crate) fn due_probes(&self, now: Instant) -> Vec<ServingTarget> {
        let mut due = Vec::new();
        let mut state = self.state.lock().expect("stall lock");
        for head in state.heads.values_mut() {
            if !head.probes.is_due(now) {
                continue;
            }
            let waiting = head.streams.values().filter(|stream| !stream.has_started);
            let first_due = waiting.map(|stream| stream.first_event_due).min();
            let is_silent = head.detector.stall_deadline().is_some_and(|at| now >= at);
            // A first event may be late because of a long queue; recent events of
            // other streams show that the group makes progress.
            let has_progress = now < head.detector.last_event() + PROGRESS_WINDOW;
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

    /// Returns the target of a head to be probed at once, or `None` if the head has no
    /// streams, has sent an event lately, or is not due for another probe yet.
    pub(crate) fn expedite_probe(&self, endpoint: &EndpointId) -> Option<ServingTarget> {
        let now = Instant::now();
        let mut state = self.state.lock().expect("stall lock");
        let head = state.heads.get_mut(endpoint)?;
        let has_recent_event = now < head.detector.last_event() + Duration::from_millis(60);
        if has_recent_event || !head.probes.is_due(now) {
            return None;
        }
        head.probes.record_probe(now);
        Some(head.target.clone())
    }

    /// Clears the suspicion after a probe that found the group working.
    pub(crate) fn clear_suspect(&self, endpoint: &EndpointId) {
        let mut state = self.state.lock().expect("stall lock");
        if let Some(head) = state.heads.get_mut(endpoint) {
            head.is_suspect = false;
        }
    }

    /// Signals all streams of a head that their group is silent; returns their number.
    pub(crate) fn signal_streams(&self, endpoint: &EndpointId) -> usize {
        let mut state = self.state.lock().expect("stall lock");
        let Some(head) = state.heads.get_mut(endpoint) else {
            return 0;
        };
        head.was_signalled = true;
        for stream in head.streams.values() {
            // A full channel means that the signal is already pending.
            let _ = stream.sender.try_send(());
        }
        head.streams.len()
    }

    /// Returns whether this router has streams to a head.
    pub(crate) fn has_streams(&self, endpoint: &EndpointId) -> bool {
        let state = self.state.lock().expect("stall lock");
        state.heads.contains_key(endpoint)
    }

    /// Returns whether a head is suspected to be stalled.
    pub(crate) fn is_suspect(&self, endpoint: &EndpointId) -> bool {
        let state = self.state.lock().expect("stall lock");
        state
            .heads
            .get(endpoint)
            .is_some_and(|head| head.is_suspect)
    }
}
