//! Checks that the configuration is a linearizable register under concurrent edits and
//! lost responses of the store.

mod testutils;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use jujube::CommandError;
use jujube::ConfigStore;
use jujube_lab::fleet::LabFleet;
use jujube_lab::standins::FaultKind;
use jujuberoad::config::ConfigEdit;
use jujuberoad::config::EditError;
use jujuberoad_node::runtime;
use smol::channel;
use testutils::inject_fault;
use testutils::with_fleet;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::Action;
use todc_utils::linearizability::history::History;
use todc_utils::specifications::Specification;

const OPERATOR_COUNT: usize = 4;
const EDITS_PER_OPERATOR: usize = 8;

/// One call of an operator and its result.
#[derive(Clone, Debug, PartialEq, Eq)]
enum RegisterCall {
    /// An apply on revision `base`; `accepted` is `None` if its result is unknown.
    Apply {
        base: u64,
        value: u64,
        accepted: Option<bool>,
    },
    /// A read of the revision and of the value of the last accepted apply.
    Read { revision: u64, value: u64 },
}

struct ConfigRegister;

impl Specification for ConfigRegister {
    type State = (u64, u64);
    type Operation = RegisterCall;

    fn init() -> Self::State {
        (1, 0)
    }

    fn apply(call: &RegisterCall, state: &Self::State) -> (bool, Self::State) {
        match call {
            RegisterCall::Read { revision, value } => ((*revision, *value) == *state, *state),
            RegisterCall::Apply {
                base,
                value,
                accepted,
            } => {
                let fits = *base == state.0;
                let is_valid = accepted.is_none_or(|accepted| accepted == fits);
                (is_valid, if fits { (state.0 + 1, *value) } else { *state })
            }
        }
    }
}

#[derive(Clone, Debug)]
struct RegisterEvent {
    process: usize,
    called_at: Instant,
    returned_at: Instant,
    call: RegisterCall,
}

fn is_linearizable(events: &[RegisterEvent]) -> bool {
    let mut actions = Vec::new();
    let last = events
        .iter()
        .map(|event| event.returned_at)
        .max()
        .unwrap_or_else(Instant::now);
    for event in events {
        let in_doubt = matches!(event.call, RegisterCall::Apply { accepted: None, .. });
        let returned_at = if in_doubt { last } else { event.returned_at };
        actions.push((
            event.called_at,
            0,
            event.process,
            Action::Call(event.call.clone()),
        ));
        actions.push((
            returned_at,
            1,
            event.process,
            Action::Response(event.call.clone()),
        ));
    }
    actions.sort_by_key(|(at, order, _, _)| (*at, *order));
    let actions = actions
        .into_iter()
        .map(|(_, _, process, action)| (process, action))
        .collect();
    WGLChecker::<ConfigRegister>::is_linearizable(History::from_actions(actions))
}

fn marker_value(files: &std::collections::BTreeMap<smol_str::SmolStr, String>) -> u64 {
    let text = files.get("80-mark.ini").map_or("", String::as_str);
    let marker = text.lines().find_map(|line| line.strip_prefix("; mark "));
    marker.and_then(|marker| marker.parse().ok()).unwrap_or(0)
}

async fn run_operator(
    store: Arc<ConfigStore>,
    operator: usize,
    history: Arc<Mutex<Vec<RegisterEvent>>>,
) {
    for edit in 0..EDITS_PER_OPERATOR {
        // Each call gets a process id of its own: a call whose result is unknown stays
        // open until the end of the history, and a process has one open call at a time.
        let process = 2 * (operator * EDITS_PER_OPERATOR + edit);
        let called_at = Instant::now();
        let Ok((record, _)) = store.read().await else {
            continue;
        };
        let read = RegisterCall::Read {
            revision: record.revision,
            value: marker_value(&record.files),
        };
        record_event(&history, process, called_at, read);
        let value = (operator * 1_000 + edit + 1) as u64;
        let mut files = record.files.clone();
        files.insert("80-mark.ini".into(), format!("; mark {value}\n"));
        let base = record.revision;
        let called_at = Instant::now();
        let accepted = match store.edit(&ConfigEdit::Apply { base, files }).await {
            Ok(_) => Some(true),
            Err(CommandError::Edit(EditError::StaleRevision { .. })) => Some(false),
            Err(CommandError::InDoubt { .. }) => None,
            // The other errors are returned before anything is written.
            Err(_) => continue,
        };
        record_event(
            &history,
            process + 1,
            called_at,
            RegisterCall::Apply {
                base,
                value,
                accepted,
            },
        );
    }
}

fn record_event(
    history: &Mutex<Vec<RegisterEvent>>,
    process: usize,
    called_at: Instant,
    call: RegisterCall,
) {
    let event = RegisterEvent {
        process,
        called_at,
        returned_at: Instant::now(),
        call,
    };
    history.lock().expect("history lock").push(event);
}

#[test]
fn concurrent_edits_are_linearizable() {
    with_fleet(3, async |fleet: &mut LabFleet| {
        inject_fault(fleet, FaultKind::StoreSlow, "", 15).await;
        inject_fault(fleet, FaultKind::StoreLoses, "", 6).await;
        let history = Arc::new(Mutex::new(Vec::new()));
        let (sender, receiver) = channel::unbounded::<()>();
        for operator in 0..OPERATOR_COUNT {
            let store = Arc::new(ConfigStore::at(fleet.standins.platform));
            let (history, sender) = (Arc::clone(&history), sender.clone());
            runtime::spawn(async move {
                run_operator(store, operator, history).await;
                drop(sender);
            });
        }
        drop(sender);
        let _ = receiver.recv().await;
        let events = history.lock().expect("history lock").clone();
        let accepted = events.iter().filter(|event| {
            matches!(
                event.call,
                RegisterCall::Apply {
                    accepted: Some(true),
                    ..
                }
            )
        });
        assert!(
            accepted.count() >= EDITS_PER_OPERATOR,
            "too few edits were accepted"
        );
        assert!(is_linearizable(&events), "{events:#?}");
    });
}

#[test]
fn control_history_with_a_lost_update_is_rejected() {
    let start = Instant::now();
    let event = |process: usize, ms: u64, call: RegisterCall| RegisterEvent {
        process,
        called_at: start + std::time::Duration::from_millis(ms),
        returned_at: start + std::time::Duration::from_millis(ms + 5),
        call,
    };
    let first = RegisterCall::Apply {
        base: 1,
        value: 7,
        accepted: Some(true),
    };
    let second = RegisterCall::Apply {
        base: 1,
        value: 8,
        accepted: Some(true),
    };
    let read = |revision: u64, value: u64| RegisterCall::Read { revision, value };
    assert!(is_linearizable(&[
        event(0, 0, first.clone()),
        event(1, 10, read(2, 7))
    ]));
    assert!(!is_linearizable(&[
        event(0, 0, first.clone()),
        event(1, 10, second)
    ]));
    assert!(!is_linearizable(&[
        event(0, 0, first),
        event(1, 10, read(1, 0))
    ]));
}
