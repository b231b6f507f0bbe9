//! Golden files of whole sessions with real processes.

mod testutils;

use std::fmt::Write;

use jujube_lab::fleet::LabFleet;
use testutils::SeenAnswer;
use testutils::call;
use testutils::with_fleet;

const TEAM: (&str, &str) = ("jujube-team", "team-one");

fn note(session: &mut String, title: &str, answer: &SeenAnswer) {
    let _ = writeln!(session, "== {title}");
    let _ = writeln!(
        session,
        "status {} outcome {:?}",
        answer.status, answer.outcome
    );
    if !answer.retry_after.is_empty() {
        let _ = writeln!(session, "retry-after given");
    }
    if answer.repeated {
        let _ = writeln!(session, "repeated");
    }
    let _ = writeln!(session, "{}", answer.body.trim_end());
}

async fn record_session(fleet: &LabFleet) -> String {
    let router = fleet.nodes[0].http;
    let mut session = String::new();
    let chat = "/v1/chat/completions";
    let ask = |stream: bool, model: &str| {
        format!(
            r#"{{"model":"{model}","stream":{stream},"max_tokens":3,"messages":[{{"role":"user","content":"lote 7"}}]}}"#
        )
    };
    let answer = call(router, "GET", "/v1/models", &[], "").await;
    note(&mut session, "list of models", &answer);
    let answer = call(router, "POST", chat, &[TEAM], &ask(false, "model-large")).await;
    note(&mut session, "whole answer", &answer);
    let answer = call(router, "POST", chat, &[TEAM], &ask(true, "model-small")).await;
    note(&mut session, "stream", &answer);
    let answer = call(router, "POST", chat, &[TEAM], &ask(false, "model-large:a1")).await;
    note(&mut session, "adapter", &answer);
    let key = ("idempotency-key", "deposit-1");
    let answer = call(router, "POST", "/ledger/entries", &[TEAM, key], "{}").await;
    note(&mut session, "entry", &answer);
    let other = fleet.nodes[1].http;
    let answer = call(other, "POST", "/ledger/entries", &[TEAM, key], "{}").await;
    note(&mut session, "the same entry at another router", &answer);

    let answer = call(router, "POST", chat, &[TEAM], "{not json").await;
    note(&mut session, "malformed JSON", &answer);
    let answer = call(router, "POST", chat, &[TEAM], r#"{"model":"model-large"}"#).await;
    note(&mut session, "no prompt", &answer);
    let answer = call(router, "POST", chat, &[TEAM], &ask(false, "other")).await;
    note(&mut session, "unknown model", &answer);
    let answer = call(
        router,
        "POST",
        chat,
        &[TEAM],
        &ask(false, "model-large:other"),
    )
    .await;
    note(&mut session, "unknown adapter", &answer);
    let answer = call(router, "POST", chat, &[], &ask(false, "model-large")).await;
    note(&mut session, "no team", &answer);
    let stranger = ("jujube-team", "strangers");
    let answer = call(
        router,
        "POST",
        chat,
        &[stranger],
        &ask(false, "model-large"),
    )
    .await;
    note(&mut session, "unknown team", &answer);
    let class = ("jujube-class", "urgent");
    let answer = call(
        router,
        "POST",
        chat,
        &[TEAM, class],
        &ask(false, "model-large"),
    )
    .await;
    note(&mut session, "unknown class", &answer);
    let long = "x".repeat(2 << 20);
    let answer = call(router, "POST", chat, &[TEAM], &long).await;
    note(&mut session, "body over the limit", &answer);
    let answer = call(router, "GET", "/nowhere", &[TEAM], "").await;
    note(&mut session, "unknown path", &answer);
    let answer = call(router, "GET", "/readyz", &[], "").await;
    note(&mut session, "readiness after all that", &answer);
    session
}

#[test]
fn session_of_a_caller() {
    with_fleet(3, async |fleet: &mut LabFleet| {
        let session = record_session(fleet).await;
        insta::with_settings!({ filters => vec![(r"[0-9a-f]{16}", "[id]")] }, {
            insta::assert_snapshot!(session);
        });
    });
}

#[test]
fn session_of_an_operator() {
    with_fleet(3, async |fleet: &mut LabFleet| {
        let folder = tempfile::tempdir().expect("a folder");
        let write = |name: &str, text: &str| {
            let path = folder.path().join(name);
            std::fs::write(&path, text).expect("a file");
            path
        };
        let mut session = String::new();
        let store = &fleet.store;
        let small = write("70-team.ini", "[team team-three]\nshare = 3\n");
        let added = jujube::add(store, &small)
            .await
            .expect("the file is accepted");
        let _ = write!(session, "{added}");
        let other = write("70-team.ini", "[team team-three]\nshare = 4\n");
        let refused = jujube::add(store, &other).await.expect_err("another text");
        let _ = writeln!(session, "{refused}");
        let wrong = write(
            "71-wrong.ini",
            "[team four]\nshares = 1\n[limits]\nqueue = 5\n",
        );
        let refused = jujube::add(store, &wrong).await.expect_err("faults");
        let _ = writeln!(session, "{refused}");
        let removed = jujube::remove(store, "70-team.ini")
            .await
            .expect("the file is there");
        let _ = write!(session, "{removed}");
        let refused = jujube::remove(store, "70-team.ini")
            .await
            .expect_err("it is gone");
        let _ = writeln!(session, "{refused}");
        let config = fleet.world.files.clone();
        let edit = jujuberoad::config::ConfigEdit::Apply {
            base: 1,
            files: config,
        };
        let refused = store.edit(&edit).await.expect_err("an old base");
        let _ = writeln!(session, "{refused}");
        let status = jujube::status(store).await.expect("a status");
        let _ = write!(session, "{status}");
        insta::assert_snapshot!(session);
    });
}
