//! The cases of the review.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use crate::bed::{Bed, Setup};
use crate::worker::Rig;
use crate::world::Job;

const HELD: i32 = 0;
const BROKEN: i32 = 1;
const NOT_RUN: i32 = 2;

/// The machine of the deployment of `herve-melkronde`.
fn kruik16() -> Rig {
    Rig {
        name: "kruik16".into(),
        cpus: 16.0,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 35.0,
        fetch_gb_per_s: 0.2,
        price: 0.62,
        spot_price: 0.29,
        boot_s: 25.0,
    }
}

/// Settings like those of `herve-melkronde`: three zones, short leases.
fn herve() -> Setup {
    Setup {
        locations: vec!["herve", "battice", "aubel"],
        yards: vec!["herve", "battice", "aubel"],
        rigs: vec![kruik16()],
        teams: vec![("ronde-kantoor", 32.0, 72.0, 16.0), ("labo", 32.0, 72.0, 0.0)],
        report_s: 1.5,
        lease_s: 10.0,
        cancel_s: 40.0,
        rps: 100.0,
        write_rps: 40.0,
        cloud_rps: 5.0,
        list_lag_s: 5.0,
        max_sockets: 1200,
        mem_mb: 72.0,
    }
}

/// Settings like those of `brest-meteo-output`: one zone, leases of 28 s.
fn brest() -> Setup {
    let menhir16 = Rig {
        name: "menhir16".into(),
        cpus: 16.0,
        gpus: 0.0,
        memory_gb: 128.0,
        cache_gb: 35.0,
        fetch_gb_per_s: 1.0,
        price: 0.86,
        spot_price: 0.32,
        boot_s: 20.0,
    };
    Setup {
        locations: vec!["pointe-nord"; 3],
        yards: vec!["pointe-nord"],
        rigs: vec![menhir16],
        teams: vec![("cartes", 120.0, 352.0, 0.0), ("verif", 104.0, 176.0, 0.0)],
        report_s: 3.0,
        lease_s: 28.0,
        cancel_s: 48.0,
        rps: 120.0,
        write_rps: 40.0,
        cloud_rps: 2.0,
        list_lag_s: 12.0,
        max_sockets: 900,
        mem_mb: 56.0,
    }
}

/// Seconds after the start at which a run that waits for a job gives up. A longer run can be asked for by hand.
fn last_second() -> f64 {
    std::env::var("RIG_SECONDS").ok().and_then(|value| value.parse().ok()).unwrap_or(112.0)
}

/// Runs a case. Returns the exit code.
pub fn run(case: &str, record: &str, trouble: bool) -> i32 {
    let play: fn(&str, bool) -> i32 = match case {
        "rigs" => rigs,
        "fragments" => fragments,
        "reports" => reports,
        "stale" => stale,
        "restart" => restart,
        "gpus" => gpus,
        _ => {
            eprintln!("no such case: {case}");
            return NOT_RUN;
        }
    };
    // Whatever happens, a run ends in time.
    let limit = last_second() + 6.0;
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs_f64(limit));
        println!("the run took too long");
        if let Some(bed) = BED.get() {
            bed.stop();
        }
        std::process::exit(NOT_RUN);
    });
    play(record, trouble)
}

/// The deployment of this run.
static BED: OnceLock<Arc<Bed>> = OnceLock::new();

/// Starts the deployment of this run.
fn start(setup: Setup, record: &str) -> Arc<Bed> {
    let bed = Bed::start(setup, record);
    let _ = BED.set(bed.clone());
    bed
}

/// Notes the machines that are there at the end, and what their workers saw.
fn note_machines(bed: &Arc<Bed>) {
    let workers = bed.cloud.workers();
    for (name, rig, yard, spot, up) in bed.cloud.machines() {
        let (session, refused, largest) = workers.get(&name).map_or((0, 0, 0), |worker| worker.report_statistics());
        bed.world.note(&format!(
            "at the end: machine {name}: {rig} in {yard}, spot {spot}, up {up}, session {session}, {refused} reports without \
             success, the largest of {largest} bytes"
        ));
    }
}

/// Number of runs of a job's tasks that ended for this reason.
fn ended(bed: &Arc<Bed>, id: &str, reason: &str) -> usize {
    let runs = bed.world.runs_of(id);
    runs.iter().filter(|run| run.ended.as_ref().is_some_and(|(_, why)| why == reason)).count()
}

/// Waits until all controllers are healthy and a leader answers to this many machines.
fn ready(bed: &Arc<Bed>, machines: usize) -> bool {
    let answered = || bed.cloud.workers().values().filter(|worker| worker.baton() > 0).count() >= machines;
    let ready = bed.wait_ready(Duration::from_secs(15)) && bed.wait(15.0, answered);
    if !ready {
        bed.world.note("the deployment did not become ready");
    }
    ready
}

/// Ends the run with a verdict.
fn end(bed: &Arc<Bed>, code: i32, line: &str) -> i32 {
    let (code, line) = match bed.all_run() {
        true => (code, line.to_owned()),
        false => (NOT_RUN, format!("a controller ended by itself; {line}")),
    };
    bed.world.note(&format!("VERDICT {code}: {line}"));
    println!("{line}");
    bed.stop();
    code
}

/// A leader stands still and goes on after another one has taken over.
fn stale(record: &str, trouble: bool) -> i32 {
    let bed = start(brest(), record);
    bed.cloud.set_capacity("menhir16", "pointe-nord", false, 14);
    for _ in 0..5 {
        bed.cloud.add_running("menhir16", "pointe-nord", 0.0);
    }
    if !ready(&bed, 5) {
        return end(&bed, NOT_RUN, "not ready");
    }
    let service = Job::service(10, "cartes", 1, 2.0, 13.0);
    if !bed.submit(&service) || !bed.wait(15.0, || bed.world.running(&service.id) == 1) {
        return end(&bed, NOT_RUN, "the service did not start");
    }
    bed.poll(&service.id);
    bed.sleep_until(50.0);
    let Some((former, version)) = bed.leader() else { return end(&bed, NOT_RUN, "no leader") };
    if trouble {
        bed.freeze_node(former, true);
    }
    let frozen = bed.world.now();
    if trouble && !bed.wait(20.0, || bed.leader().is_some_and(|(_, other)| other != version)) {
        return end(&bed, NOT_RUN, "no other leader");
    }
    bed.sleep_until(frozen + 6.0);
    let batch = Job { kit: "img-s".into(), ..Job::array(1, "verif", 78, 1.0, 5.7, 40.0) };
    if !bed.submit(&batch) {
        return end(&bed, NOT_RUN, "the job was not accepted");
    }
    bed.poll(&batch.id);
    bed.sleep_until(frozen + 20.0);
    bed.world.note(&format!("tasks on machines: {:?}; leader: {:?}", bed.loads(), bed.leader()));
    if bed.world.running(&batch.id) < 60 || bed.leader().is_some_and(|(node, _)| node == former && trouble) {
        return end(&bed, NOT_RUN, "the job does not run under another leader");
    }
    let resumed = bed.world.now();
    if trouble {
        bed.freeze_node(former, false);
    }
    bed.sleep_until(resumed + 12.0);
    let calls = bed.cloud.calls.lock().unwrap().clone();
    let late: Vec<_> = calls.iter().filter(|call| trouble && call.at > resumed && call.node == former).collect();
    for call in &late {
        bed.world.note(&format!("call of the former leader after it went on: {} {:?}", call.what, call.machines));
    }
    let released =
        |machine: &str| late.iter().any(|call| call.is_release && call.machines.iter().any(|name| name == machine));
    let lost = |id: &str| {
        let runs = bed.world.runs_of(id);
        let ended = |run: &&crate::world::Run| run.ended.as_ref().is_some_and(|(at, _)| *at > resumed);
        runs.iter().filter(ended).filter(|run| released(&run.machine)).count()
    };
    let (tasks, replicas) = (lost(&batch.id), lost(&service.id));
    let line = format!(
        "calls to the cloud by the former leader after it went on: {}; with the machines that it released ended {tasks} tasks \
         that its successor had started, and {replicas} replicas of the service",
        late.len()
    );
    end(&bed, if tasks > 0 { BROKEN } else { HELD }, &line)
}

/// Jobs with small tasks come several times as often, and all of their tasks fit on one machine.
fn reports(record: &str, trouble: bool) -> i32 {
    let bed = start(herve(), record);
    bed.cloud.set_capacity("kruik16", "herve", false, 7);
    for _ in 0..2 {
        bed.cloud.add_running("kruik16", "herve", 15.0);
    }
    if !ready(&bed, 2) {
        return end(&bed, NOT_RUN, "not ready");
    }
    let service = Job::service(10, "ronde-kantoor", 1, 2.0, 4.3);
    if !bed.submit(&service) || !bed.wait(15.0, || bed.world.running(&service.id) == 1) {
        return end(&bed, NOT_RUN, "the service did not start");
    }
    bed.poll(&service.id);
    let count = if trouble { 4 } else { 1 };
    let jobs: Vec<Job> = (1..=count).map(|n| Job::array(n, "ronde-kantoor", 450, 0.007, 0.02, 40.0)).collect();
    for job in &jobs {
        if !bed.submit(job) {
            return end(&bed, NOT_RUN, "a job was not accepted");
        }
        bed.poll(&job.id);
    }
    bed.wait(last_second() - bed.world.now(), || jobs.iter().all(|job| bed.world.state(&job.id) == "done"));
    note_machines(&bed);
    let total = jobs.len() * 450;
    let done: usize = jobs.iter().map(|job| bed.world.done(&job.id)).sum();
    let killed: usize = jobs.iter().map(|job| ended(&bed, &job.id, "lease expired")).sum();
    let replicas = ended(&bed, &service.id, "lease expired");
    let line = format!(
        "{done} of {total} tasks done after {:.0} s; {killed} runs of tasks and {replicas} runs of the service's replica ended \
         with a worker's lease, though no machine and no network had trouble",
        bed.world.now()
    );
    let code = match () {
        _ if done == total => HELD,
        _ if killed > 0 => BROKEN,
        _ => NOT_RUN,
    };
    end(&bed, code, &line)
}

/// A job bound to a machine type loses its machine, while the cloud also offers a type that is cheaper for each CPU.
fn rigs(record: &str, trouble: bool) -> i32 {
    let kruik32 =
        Rig { name: "kruik32".into(), cpus: 32.0, memory_gb: 128.0, price: 1.1, spot_price: 0.5, ..kruik16() };
    let bed = start(Setup { rigs: vec![kruik16(), kruik32], ..herve() }, record);
    for yard in ["herve", "battice", "aubel"] {
        bed.cloud.set_capacity("kruik16", yard, false, 7);
        bed.cloud.set_capacity("kruik32", yard, false, 7);
    }
    let only = bed.cloud.add_running("kruik16", "herve", 15.0);
    if !ready(&bed, 1) {
        return end(&bed, NOT_RUN, "not ready");
    }
    let bound = Job { rigs: Some(vec!["kruik16".into()]), ..Job::array(1, "ronde-kantoor", 2, 2.0, 4.0, 30.0) };
    let free = Job::array(2, "ronde-kantoor", 2, 2.0, 4.0, 30.0);
    if !bed.submit(&bound) || !bed.submit(&free) {
        return end(&bed, NOT_RUN, "a job was not accepted");
    }
    bed.poll(&bound.id);
    bed.poll(&free.id);
    if !bed.wait(20.0, || bed.world.running(&bound.id) == 2) {
        return end(&bed, NOT_RUN, "the bound job did not start");
    }
    std::thread::sleep(Duration::from_secs(3));
    let died = bed.world.now();
    if trouble {
        bed.cloud.kill_machine(&only.name);
    }
    let both = || bed.world.state(&bound.id) == "done" && bed.world.state(&free.id) == "done";
    bed.wait(last_second() - bed.world.now(), both);
    note_machines(&bed);
    let restarts = bed.world.runs_of(&bound.id).iter().filter(|run| run.started > died).count();
    let available: usize =
        ["herve", "battice", "aubel"].iter().map(|yard| bed.cloud.available("kruik16", yard, false)).sum();
    let (done, other) = (bed.world.done(&bound.id), bed.world.done(&free.id));
    let line = format!(
        "bound job: {done} of 2 tasks done, {restarts} starts in the {:.0} s since its machine stopped, while {available} machines \
         of its type could be rented; the same job without a bound: {other} of 2 done",
        bed.world.now() - died
    );
    let code = match () {
        _ if done == 2 => HELD,
        _ if restarts == 0 && other == 2 => BROKEN,
        _ => NOT_RUN,
    };
    end(&bed, code, &line)
}

/// A task that needs a whole machine loses its machine, while the others have a replica of a service each.
fn fragments(record: &str, trouble: bool) -> i32 {
    let bed = start(herve(), record);
    let yards = ["herve", "battice", "aubel"];
    for yard in yards {
        bed.cloud.set_capacity("kruik16", yard, false, 7);
        bed.cloud.set_capacity("kruik16", yard, true, 3);
    }
    for yard in ["herve", "battice", "aubel", "herve"] {
        bed.cloud.add_running("kruik16", yard, 15.0);
    }
    if !ready(&bed, 4) {
        return end(&bed, NOT_RUN, "not ready");
    }
    for (n, yard) in yards.iter().enumerate() {
        let service = Job { yard: Some((*yard).into()), ..Job::service(10 + n as u32, "ronde-kantoor", 1, 2.0, 4.3) };
        if !bed.submit(&service) {
            return end(&bed, NOT_RUN, "a service was not accepted");
        }
        bed.poll(&service.id);
    }
    if !bed.wait(15.0, || (10..13).all(|n| bed.world.running(&format!("wk-{n:06}")) == 1)) {
        return end(&bed, NOT_RUN, "the services did not start");
    }
    let large = Job { kit: "img-b".into(), ..Job::array(1, "labo", 1, 16.0, 32.0, 40.0) };
    if !bed.submit(&large) {
        return end(&bed, NOT_RUN, "the job was not accepted");
    }
    bed.poll(&large.id);
    if !bed.wait(15.0, || bed.world.running(&large.id) == 1) {
        return end(&bed, NOT_RUN, "the job did not start");
    }
    std::thread::sleep(Duration::from_secs(3));
    let died = bed.world.now();
    let machine = bed.world.runs_of(&large.id)[0].machine.clone();
    if trouble {
        bed.cloud.kill_machine(&machine);
    }
    // A small job shows that the deployment still serves.
    let small = Job::array(2, "labo", 2, 1.0, 2.8, 20.0);
    if !bed.submit(&small) {
        return end(&bed, NOT_RUN, "the small job was not accepted");
    }
    bed.poll(&small.id);
    let both = || bed.world.state(&large.id) == "done" && bed.world.state(&small.id) == "done";
    bed.wait(last_second() - bed.world.now(), both);
    note_machines(&bed);
    let restarts = bed.world.runs_of(&large.id).iter().filter(|run| run.started > died).count();
    let available: usize = yards.iter().map(|yard| bed.cloud.available("kruik16", yard, false)).sum();
    let (done, other) = (bed.world.done(&large.id), bed.world.done(&small.id));
    let line = format!(
        "large task: {done} of 1 done, {restarts} starts in the {:.0} s since its machine stopped, while {available} machines that \
         it fits on could be rented; the small job: {other} of 2 done",
        bed.world.now() - died
    );
    let code = match () {
        _ if done == 1 => HELD,
        _ if restarts == 0 && other == 2 => BROKEN,
        _ => NOT_RUN,
    };
    end(&bed, code, &line)
}

/// A job with GPUs waits for a machine that the cloud does not have, and another team needs machines without GPUs.
fn gpus(record: &str, trouble: bool) -> i32 {
    let kruik_g2 = Rig { name: "kruik16-g2".into(), gpus: 2.0, price: 2.4, spot_price: 1.1, ..kruik16() };
    let bed = start(Setup { rigs: vec![kruik16(), kruik_g2], ..herve() }, record);
    for yard in ["herve", "battice", "aubel"] {
        bed.cloud.set_capacity("kruik16", yard, false, 7);
        bed.cloud.set_capacity("kruik16", yard, true, 3);
    }
    // The cloud has two machines with GPUs, or half as many.
    bed.cloud.set_capacity("kruik16-g2", "aubel", false, if trouble { 1 } else { 2 });
    if trouble {
        bed.world.note("TROUBLE the cloud has half as many machines with GPUs to give: 1 in place of 2");
    }
    bed.cloud.add_running("kruik16-g2", "aubel", 15.0);
    if !ready(&bed, 1) {
        return end(&bed, NOT_RUN, "not ready");
    }
    let train = |id| Job { gpus: 2.0, kit: "img-g".into(), ..Job::array(id, "ronde-kantoor", 1, 16.0, 32.0, 300.0) };
    if !bed.submit(&train(1)) || !bed.wait(20.0, || bed.world.running("wk-000001") == 1) {
        return end(&bed, NOT_RUN, "the first job with GPUs did not start");
    }
    if !bed.submit(&train(2)) {
        return end(&bed, NOT_RUN, "the second job with GPUs was not accepted");
    }
    std::thread::sleep(Duration::from_secs(2));
    let sheets = Job::array(3, "labo", 32, 1.0, 2.8, 10.0);
    if !bed.submit(&sheets) {
        return end(&bed, NOT_RUN, "the other team's job was not accepted");
    }
    let submitted = bed.world.now();
    bed.poll(&sheets.id);
    bed.wait(last_second() - bed.world.now(), || bed.world.state(&sheets.id) == "done");
    note_machines(&bed);
    let available: usize =
        ["herve", "battice", "aubel"].iter().map(|yard| bed.cloud.available("kruik16", yard, false)).sum();
    let (done, starts) = (bed.world.done(&sheets.id), bed.world.runs_of(&sheets.id).len());
    let line = format!(
        "the other team's job, within its guarantee: {done} of 32 tasks done, {starts} starts in the {:.0} s since it was \
         submitted, while {available} machines without GPUs could be rented",
        bed.world.now() - submitted
    );
    let code = match () {
        _ if done == 32 => HELD,
        _ if starts == 0 && available > 0 => BROKEN,
        _ => NOT_RUN,
    };
    end(&bed, code, &line)
}

/// Machines lose the network, one of them stops and is back at once, and a start that was held back reaches it then.
fn restart(record: &str, trouble: bool) -> i32 {
    let bed = start(herve(), record);
    for yard in ["aubel", "aubel", "aubel", "herve", "herve"] {
        bed.cloud.add_running("kruik16", yard, 15.0);
    }
    if !ready(&bed, 5) {
        return end(&bed, NOT_RUN, "not ready");
    }
    // Two machines of aubel and both of herve are filled; those of herve have room again after a while.
    let fill =
        |id, crew, yard: &str, run_s| Job { yard: Some(yard.into()), ..Job::array(id, crew, 32, 1.0, 2.8, run_s) };
    let (long, short) = (fill(1, "labo", "aubel", 300.0), fill(2, "ronde-kantoor", "herve", 22.0));
    if !bed.submit(&long) || !bed.submit(&short) {
        return end(&bed, NOT_RUN, "a filling job was not accepted");
    }
    let filled = || bed.world.running(&long.id) == 32 && bed.world.running(&short.id) == 32;
    if !bed.wait(20.0, filled) {
        return end(&bed, NOT_RUN, "the filling jobs did not start");
    }
    // A short job on the machine that is left, so that the leader has a connection to it.
    let filled_at = bed.world.now();
    let first = Job { kit: "img-x".into(), size_gb: 0.001, ..Job::array(4, "ronde-kantoor", 1, 1.0, 2.8, 2.0) };
    if !bed.submit(&first) || !bed.wait(10.0, || bed.world.done(&first.id) == 1) {
        return end(&bed, NOT_RUN, "the short job did not run");
    }
    bed.sleep_until(filled_at + 14.0);
    let aubel: Vec<_> = bed.cloud.workers().into_values().filter(|worker| worker.yard == "aubel").collect();
    let Some(empty) = aubel.iter().find(|worker| worker.alive_loads() == 0).cloned() else {
        return end(&bed, NOT_RUN, "no machine is empty");
    };
    // Right after a report of the empty machine was answered.
    if !bed.wait(10.0, || empty.answered_s() < 0.1) {
        return end(&bed, NOT_RUN, "the empty machine does not report");
    }
    let cut = bed.world.now();
    if trouble {
        aubel.iter().for_each(|worker| worker.set_cut(true));
    }
    let job = Job { kit: "img-x".into(), size_gb: 0.001, ..Job::array(3, "ronde-kantoor", 1, 1.0, 2.8, 40.0) };
    let task = format!("{}/0", job.id);
    if !bed.submit(&job) {
        return end(&bed, NOT_RUN, "the job was not accepted");
    }
    bed.poll(&job.id);
    if trouble {
        if !bed.wait(2.0, || empty.holds_start(&task)) {
            return end(&bed, NOT_RUN, "no start is held back");
        }
        bed.sleep_until(cut + 5.0);
        empty.restart();
        // The new worker's lease lasts for ten seconds from now, without any answer.
        let elsewhere = bed.wait(8.5, || bed.world.running(&job.id) == 1);
        // Not while the leader is calling the machine: its next call comes seconds after the last one.
        let pause = || (0.9..1.4).contains(&empty.last_held_s());
        if elsewhere && !bed.wait(cut + 14.0 - bed.world.now(), pause) {
            return end(&bed, NOT_RUN, "the leader calls the machine all the time");
        }
        aubel.iter().for_each(|worker| worker.set_cut(false));
    }
    std::thread::sleep(Duration::from_secs(8));
    note_machines(&bed);
    let runs = bed.world.runs_of(&job.id);
    let twice = bed.world.inner.lock().unwrap().broken.iter().any(|line| line.contains(&task));
    let line = format!("{} starts of one task; started on one machine while it ran on another: {twice}", runs.len());
    let code = match () {
        _ if twice => BROKEN,
        _ if runs.is_empty() => NOT_RUN,
        _ => HELD,
    };
    end(&bed, code, &line)
}
