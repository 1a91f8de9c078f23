//! Runs the scripts of the review: small deployments of the project's own program against stand-ins.
//!
//! Usage: `review-2 CASE RECORD`, in the root of the repository, with `TROUBLE=0` for the same without the disruption.

mod client;
mod cold;
mod fleet;
mod foreign;
mod http;
mod json;
mod record;
mod reuse;
mod server;
mod store;
mod twice;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// How a run ended.
pub enum Verdict {
    Held,
    Broken,
    CannotRun,
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let path = args.next().unwrap_or_else(|| "record.txt".to_owned());
    let record = Arc::new(Record::create(Path::new(&path)));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        return ExitCode::from(2);
    }
    let verdict = match case.as_str() {
        "foreign" => foreign::run(&record, has_trouble, &folder),
        "late" => cold::run(&record, cold::Trouble::LateCheckIn, has_trouble, &folder),
        "reuse" => reuse::run(&record, reuse::Check::Route, has_trouble, &folder),
        "caller-service" => reuse::run(&record, reuse::Check::CallerService, has_trouble, &folder),
        "twice" => twice::run(&record, has_trouble, &folder),
        "turns-cold" => cold::run(&record, cold::Trouble::TurnsCold, has_trouble, &folder),
        _ => Verdict::CannotRun,
    };
    let _ = std::fs::remove_dir_all(&folder);
    match verdict {
        Verdict::Held => {
            record.say("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.say("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Verdict::CannotRun => {
            record.say("verdict: the case could not run");
            ExitCode::from(2)
        }
    }
}
