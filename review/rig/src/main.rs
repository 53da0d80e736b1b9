//! Runs one case of the review: `review-rig CASE ROOT FOLDER`. Exits with 1 if the rule was broken,
//! 0 if it held, 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.
mod cases;
mod cloud;
mod http;
mod json;
mod links;
mod record;
mod site;
mod state;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// The outcome of a case.
pub enum Outcome {
    Held,
    Broken(String),
    CouldNotRun(String),
}

/// A case ends itself after this time.
const LIMIT: Duration = Duration::from_secs(116);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = &args[..] else {
        eprintln!("usage: review-rig CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let Ok(record) = record::Record::create(&folder.join("record.txt")) else {
        eprintln!("{}: can't be written", folder.display());
        return ExitCode::from(2);
    };
    record.say(&format!("case {case}, trouble={}", trouble as u8));
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        eprintln!("the case took too long");
        // The controllers end with this process.
        std::process::exit(2);
    });
    match cases::run(case, &root, trouble, &record) {
        Outcome::Held => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Outcome::Broken(why) => {
            record.say(&format!("the rule was broken: {why}"));
            ExitCode::from(1)
        }
        Outcome::CouldNotRun(why) => {
            record.say(&format!("the case couldn't run: {why}"));
            ExitCode::from(2)
        }
    }
}
