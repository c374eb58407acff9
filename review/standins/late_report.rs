//! Case: a machine stops and is back at once, and a copy of a report from before arrives late.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::bench::{Bench, Job, Site, wait};
use crate::fleet::{Machine, Rig};
use crate::http::Client;

pub fn run(record: &Path, trouble: bool) -> Result<Vec<String>, String> {
    let site = Site {
        zones: ["herve"; 3],
        report_s: 1.5,
        lease_s: 10.0,
        cancel_s: 40.0,
        rps: 100.0,
        write_rps: 40.0,
        cloud_rps: 5.0,
        list_lag_s: 5.0,
        mem_mb: 72.0,
        max_sockets: 1200,
        teams: &[("ronde-kantoor", 32.0, 72.0)],
        policy: None,
    };
    let bench = Bench::new(site, record)?;
    let large = Rig { name: "kruik16", cpus: 16.0, memory_gb: 64.0 };
    let small = Rig { name: "kruik8", cpus: 8.0, memory_gb: 32.0 };
    let error = |e: std::io::Error| e.to_string();
    let first = Machine::new(&bench.world, "n-000001", large, "herve").map_err(error)?;
    let second = Machine::new(&bench.world, "n-000002", small, "herve").map_err(error)?;
    bench.start(vec![first.clone(), second.clone()])?;
    first.boot(0);
    second.boot(1);
    bench.wait_ready()?;
    let array = |id, loads, cpus, rigs, run_s| Job {
        id,
        lane: "settle-backfill",
        crew: "ronde-kantoor",
        rank: "best_effort",
        loads,
        cpus,
        memory_gb: 1.0,
        kit: "img-01",
        size_gb: 0.4,
        rigs,
        haul_s: run_s,
        tally_s: 0.0,
        stow_s: 0.0,
        run_s,
    };
    // Two jobs fill the large machine, so that the third one goes to the small one.
    bench.submit(0, &array("wk-000001", 1, 2.0, Some("kruik16"), 300.0))?;
    bench.submit(1, &array("wk-000002", 14, 1.0, Some("kruik16"), 300.0))?;
    wait("the large machine to be full", 30.0, || first.running("wk-000002") == 14 && first.running("wk-000001") == 1)?;
    bench.submit(2, &array("wk-000003", 6, 1.0, None, 300.0))?;
    wait("the job to run on the small machine", 30.0, || second.running("wk-000003") == 6)?;
    // Later, so that the worker has sent some reports.
    wait("some reports", 40.0, || second.tick() >= 20)?;
    let all_run = |report: &str| report.matches("\"running\"").count() == 6;
    wait("a report that lists the job", 10.0, || second.last_answered().is_some_and(|(text, _)| all_run(&text)))?;
    let (old_report, controller) = second.last_answered().ok_or("no report")?;
    if trouble {
        second.restart(Duration::from_millis(300));
    }
    wait("the job to run on the small machine again", 30.0, || {
        second.running("wk-000003") == 6 && second.last_answered().is_some_and(|(text, _)| all_run(&text))
    })?;
    // A user cancels the job on the large machine, which has room from then on.
    bench.insist(0, "/api/jobs/wk-000002/cancel", "")?;
    wait("the cancelled tasks to be gone", 40.0, || first.running("wk-000002") == 0)?;
    sleep(Duration::from_secs(2));
    if trouble {
        bench.record.line(&format!("trouble: a copy of an old report of {} arrives: {old_report}", second.name));
        let answer = Client::new().call(controller, "POST", "/v1/report", &old_report, Duration::from_secs(4));
        let answer = answer.map(|(status, body)| format!("{status} {}", String::from_utf8_lossy(&body)));
        bench.record.line(&format!("answer to the copy, which nobody reads: {answer:?}"));
    }
    sleep(Duration::from_secs(10));
    Ok(bench.record.broken())
}
