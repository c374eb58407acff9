//! Runs one case of the review: `rig CASE RECORD`. With TROUBLE=0 in the environment the disruption is left out. It exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod bed;
mod cases;
mod cloud;
mod http;
mod json;
mod store;
mod worker;
mod world;

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(record)) = (args.next(), args.next()) else {
        eprintln!("usage: rig CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    std::process::exit(cases::run(&case, &record, !trouble));
}
