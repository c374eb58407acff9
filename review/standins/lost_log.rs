//! Case: answers of the state service are lost while tasks are to be moved, and the leader ends.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::bench::{Bench, Job, Site, wait};
use crate::fleet::{Machine, Rig};
use crate::store::Link;

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
        teams: &[("verif", 104.0, 176.0)],
        policy: Some("deploy/balance.yaml"),
    };
    let bench = Bench::new(site, record)?;
    let rig = || Rig { name: "menhir16", cpus: 16.0, memory_gb: 128.0 };
    let error = |e: std::io::Error| e.to_string();
    let first = Machine::new(&bench.world, "n-000001", rig(), "pointe-nord").map_err(error)?;
    let second = Machine::new(&bench.world, "n-000002", rig(), "pointe-nord").map_err(error)?;
    bench.start(vec![first.clone(), second.clone()])?;
    first.boot(0);
    bench.wait_ready()?;
    let array = |id, lane, loads, cpus, memory_gb, run_s, tally_s| Job {
        id,
        lane,
        crew: "verif",
        rank: "best_effort",
        loads,
        cpus,
        memory_gb,
        kit: "img-01",
        size_gb: 0.3,
        rigs: None,
        haul_s: run_s,
        tally_s,
        stow_s: if tally_s > 0.0 { 2.0 } else { 0.0 },
        run_s,
    };
    // Long tasks that save, all on the only machine.
    bench.submit(0, &array("wk-000900", "hindcast-rerun", 14, 1.0, 2.0, 300.0, 20.0))?;
    wait("the long job to run", 40.0, || first.running("wk-000900") == 14)?;
    sleep(Duration::from_secs(20));
    let leader = bench.leader().ok_or("nobody leads")?;
    let other = (leader + 1) % 3;
    // Another machine comes up, so that tasks are to be moved there, and many small tasks come.
    if trouble {
        bench.record.line(&format!("trouble: answers to writes of {} are lost", bench.label(leader)));
        bench.store.set_link(&bench.label(leader), Link { lose_answers_of_writes: true, ..Link::default() });
    }
    bench.submit(other, &array("wk-000001", "probe-swarm", 1, 0.02, 0.01, 5.0, 0.0))?;
    second.boot(other);
    sleep(Duration::from_millis(300));
    bench.submit(other, &array("wk-000002", "probe-swarm", 300, 0.02, 0.01, 5.0, 0.0))?;
    sleep(Duration::from_millis(6700));
    if trouble {
        bench.kill_controller(leader);
        first.set_cut(true);
    }
    sleep(Duration::from_secs(4));
    if trouble {
        bench.start_controller(leader)?;
        bench.store.set_link(&bench.label(leader), Link::default());
    }
    sleep(Duration::from_secs(8));
    if trouble {
        first.set_cut(false);
    }
    sleep(Duration::from_secs(10));
    Ok(bench.record.broken())
}
