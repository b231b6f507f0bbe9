//! Keys of the platform's store that are not the text that stands for them in a URL.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use jujube_lab::standins::EngineRegistry;
use jujube_lab::standins::KvState;
use jujube_lab::standins::LabServer;
use jujube_lab::standins::PlatformHandler;
use jujuberoad_node::backends::HttpPlatformStore;
use jujuberoad_node::backends::PlatformStore;
use jujuberoad_node::backends::StoreError;
use jujuberoad_node::backends::StoredValue;
use jujuberoad_node::http::HttpPool;
use jujuberoad_node::runtime;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Names of zones, each of which is a part of keys.
const ESCAPED_ZONES: [&str; 12] = [
    "zone b",
    "zone+b",
    "zone#b",
    "zone&b",
    "zone%b",
    "zone%41",
    "zone?known=7",
    "zone?expected=7",
    "zone\"<b>\\",
    "zone\tb",
    "zona-\u{e1}rea",
    "zone/b",
];

/// Guards against records that cannot be read or written, or are taken for others, because of the
/// name of their zone.
#[test]
fn records_of_zones_with_escaped_names_are_kept_apart() {
    runtime::run(1, async {
        let kv = Arc::new(Mutex::new(KvState::default()));
        let handler = PlatformHandler::new(kv, Arc::new(EngineRegistry::default()));
        let server = LabServer::start(handler).await.expect("a free port");
        let store = HttpPlatformStore::new(HttpPool::new(), server.address());
        let mut keys: Vec<String> = ESCAPED_ZONES
            .iter()
            .map(|zone| format!("placement/{zone}"))
            .collect();
        for key in &keys {
            check_record(&store, key).await.expect(key);
        }
        keys.sort();
        let listed = store.list("placement/zon", deadline()).await;
        assert_eq!(listed.expect("a list"), keys);
        for key in &keys {
            let listed = store.list(key, deadline()).await.expect(key);
            assert!(listed.contains(key), "{key:?}: {listed:?}");
            let stored = store.get(key, deadline()).await.expect(key);
            let version = stored.expect(key).version;
            store.delete(key, version, deadline()).await.expect(key);
        }
    });
}

/// Writes a record twice and reads it in between, by a read and by a watch.
async fn check_record(store: &HttpPlatformStore, key: &str) -> Result<(), StoreError> {
    let written = |suffix: &str| format!("{key} {suffix}").into_bytes();
    let first = store
        .put(key, 0, written("one").into(), None, deadline())
        .await?;
    let stored = store.get(key, deadline()).await?;
    let expected = StoredValue {
        version: first,
        bytes: written("one").into(),
    };
    assert_eq!(stored, Some(expected));
    let second = store
        .put(key, first, written("two").into(), None, deadline())
        .await?;
    let changed = store.watch(key, first, deadline()).await?;
    let expected = StoredValue {
        version: second,
        bytes: written("two").into(),
    };
    assert_eq!(changed, Some(expected));
    Ok(())
}

fn deadline() -> Instant {
    Instant::now() + CALL_TIMEOUT
}
