//! Case: machines fail every task for a while, and a job that failed on them then never runs again.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::bench::{Bench, Job, Site, wait};
use crate::fleet::{Machine, Rig};

/// No job may wait so long once the troubles are over, while a machine that fits has room.
const LONGEST_WAIT_S: f64 = 90.0;

pub fn run(record: &Path, trouble: bool) -> Result<Vec<String>, String> {
    let site = Site {
        zones: ["pointe-nord"; 3],
        report_s: 3.0,
        lease_s: 28.0,
        cancel_s: 48.0,
        rps: 120.0,
        write_rps: 40.0,
        cloud_rps: 2.0,
        list_lag_s: 12.0,
        mem_mb: 56.0,
        max_sockets: 900,
        teams: &[("cartes", 120.0, 352.0)],
        policy: None,
    };
    let bench = Bench::new(site, record)?;
    let rig = || Rig { name: "menhir16", cpus: 16.0, memory_gb: 128.0 };
    let error = |e: std::io::Error| e.to_string();
    let first = Machine::new(&bench.world, "n-000001", rig(), "pointe-nord").map_err(error)?;
    let second = Machine::new(&bench.world, "n-000002", rig(), "pointe-nord").map_err(error)?;
    let machines = [first, second];
    bench.start(machines.to_vec())?;
    machines.iter().enumerate().for_each(|(number, machine)| machine.boot(number));
    bench.wait_ready()?;
    if trouble {
        machines.iter().for_each(|machine| machine.set_faulty(true));
    }
    let job = |id| Job {
        id,
        lane: "chart-render",
        crew: "cartes",
        rank: "standard",
        loads: 1,
        cpus: 1.0,
        memory_gb: 5.7,
        kit: "img-01",
        size_gb: 0.3,
        rigs: None,
        haul_s: 10.0,
        tally_s: 0.0,
        stow_s: 0.0,
        run_s: 10.0,
    };
    bench.submit(0, &job("wk-000001"))?;
    sleep(Duration::from_secs(9));
    if trouble {
        machines.iter().for_each(|machine| machine.set_faulty(false));
    }
    // Another job of the same kind shows that the machines are sound.
    bench.submit(1, &job("wk-000002"))?;
    // The user asks every 5 s until the job is done.
    let over = Instant::now();
    let mut index = 0;
    let mut other_done = false;
    while over.elapsed().as_secs_f64() < LONGEST_WAIT_S + 3.0 {
        sleep(Duration::from_secs(5));
        index = (index + 1) % 3;
        let status = |id: &str| {
            let view = bench.user(index, "GET", &format!("/api/jobs/{id}"), "");
            view.map_or(String::new(), |(_, view)| view.get("status").str().to_owned())
        };
        other_done = other_done || status("wk-000002") == "done";
        if status("wk-000001") == "done" && other_done {
            return Ok(bench.record.broken());
        }
    }
    if !other_done {
        return Err("the other job is not done either".into());
    }
    wait("both machines to be there still", 1.0, || machines.iter().all(|machine| machine.is_up()))?;
    let text = format!(
        "BROKEN: wk-000001 was accepted and is not done {:.0} s after the trouble was over; both machines are sound and empty",
        over.elapsed().as_secs_f64()
    );
    bench.record.line(&text);
    Ok(vec![text])
}
