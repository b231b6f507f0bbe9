//! Golden files of complete sessions of a caller and an operator with real processes.

mod testutils;

use std::fmt::Write;

use jujube_lab::fleet::LabFleet;
use testutils::ReceivedAnswer;
use testutils::call;
use testutils::with_fleet;

const TEAM: (&str, &str) = ("jujube-team", "team-one");

fn append_answer(session: &mut String, title: &str, answer: &ReceivedAnswer) {
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
    let body = |stream: bool, model: &str| {
        format!(
            r#"{{"model":"{model}","stream":{stream},"max_tokens":3,"messages":[{{"role":"user","content":"lote 7"}}]}}"#
        )
    };
    let answer = call(router, "GET", "/v1/models", &[], "").await;
    append_answer(&mut session, "list of models", &answer);
    let answer = call(router, "POST", chat, &[TEAM], &body(false, "model-large")).await;
    append_answer(&mut session, "complete answer", &answer);
    let answer = call(router, "POST", chat, &[TEAM], &body(true, "model-small")).await;
    append_answer(&mut session, "stream", &answer);
    let answer = call(
        router,
        "POST",
        chat,
        &[TEAM],
        &body(false, "model-large:a1"),
    )
    .await;
    append_answer(&mut session, "adapter", &answer);
    let key = ("idempotency-key", "deposit-1");
    let answer = call(router, "POST", "/ledger/entries", &[TEAM, key], "{}").await;
    append_answer(&mut session, "entry", &answer);
    let other = fleet.nodes[1].http;
    let answer = call(other, "POST", "/ledger/entries", &[TEAM, key], "{}").await;
    append_answer(&mut session, "the same entry at another router", &answer);

    let answer = call(router, "POST", chat, &[TEAM], "{not json").await;
    append_answer(&mut session, "malformed JSON", &answer);
    let answer = call(router, "POST", chat, &[TEAM], r#"{"model":"model-large"}"#).await;
    append_answer(&mut session, "no prompt", &answer);
    let answer = call(router, "POST", chat, &[TEAM], &body(false, "other")).await;
    append_answer(&mut session, "unknown model", &answer);
    let answer = call(
        router,
        "POST",
        chat,
        &[TEAM],
        &body(false, "model-large:other"),
    )
    .await;
    append_answer(&mut session, "unknown adapter", &answer);
    let answer = call(router, "POST", chat, &[], &body(false, "model-large")).await;
    append_answer(&mut session, "no team", &answer);
    let unlisted_team = ("jujube-team", "strangers");
    let answer = call(
        router,
        "POST",
        chat,
        &[unlisted_team],
        &body(false, "model-large"),
    )
    .await;
    append_answer(&mut session, "unknown team", &answer);
    let class = ("jujube-class", "urgent");
    let answer = call(
        router,
        "POST",
        chat,
        &[TEAM, class],
        &body(false, "model-large"),
    )
    .await;
    append_answer(&mut session, "unknown class", &answer);
    let long = "x".repeat(2 << 20);
    let answer = call(router, "POST", chat, &[TEAM], &long).await;
    append_answer(&mut session, "body over the limit", &answer);
    let answer = call(router, "GET", "/nowhere", &[TEAM], "").await;
    append_answer(&mut session, "unknown path", &answer);
    let answer = call(router, "GET", "/readyz", &[], "").await;
    append_answer(
        &mut session,
        "readiness after the rejected requests",
        &answer,
    );
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
        let config = fleet.standins.files.clone();
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
