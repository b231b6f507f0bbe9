//! Stand-ins for clients, workers and the platform, and the scripts of this review's cases.

mod cut_watch;
mod http;
mod json;
mod late_arrivals;
mod lost_answers;
mod record;
mod router;
mod short_silence;
mod store;
mod traffic;
mod worker;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review-standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result = match case.as_str() {
        "cut-watch" => cut_watch::run(folder, has_trouble),
        "lost-answers" => lost_answers::run(folder, has_trouble),
        "short-silence" => short_silence::run(folder, has_trouble),
        other => Err(format!("no case {other:?}")),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(problem) => {
            eprintln!("the case could not run: {problem}");
            ExitCode::from(2)
        }
    }
}
