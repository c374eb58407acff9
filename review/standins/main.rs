//! The stand-ins and the cases of the review: `review-cases CASE RECORD` runs one case in the repository's root.
//! With `KEEP=1` the controllers' settings and logs stay in the temporary folder; `TRACE=1` adds all calls to the state
//! service to the record. Exit code 1: the rule was broken; 0: it held; 2: the case could not run. `TROUBLE=0` leaves out the disruption.

mod bench;
mod fleet;
mod http;
mod json;
mod record;
mod store;

mod failed_once;
mod late_claim;
mod late_report;
mod lost_log;

use std::process::exit;
use std::time::Duration;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(record)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: review-cases CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = std::path::PathBuf::from(record);
    // No case may take longer than this, whatever hangs.
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(112));
        eprintln!("the case took too long");
        bench::kill_all();
        exit(2);
    });
    let outcome = match case.as_str() {
        "failed_once" => failed_once::run(&record, trouble),
        "late_claim" => late_claim::run(&record, trouble),
        "late_report" => late_report::run(&record, trouble),
        "lost_log" => lost_log::run(&record, trouble),
        _ => Err(format!("no such case: {case}")),
    };
    bench::kill_all();
    match outcome {
        Ok(broken) if broken.is_empty() => {
            println!("the rule held");
            exit(0);
        }
        Ok(broken) => {
            broken.iter().for_each(|line| println!("{line}"));
            exit(1);
        }
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            exit(2);
        }
    }
}
