//! Case: a controller learns late that it became leader, after another one has taken over, and its zone is cut off.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::bench::{Bench, COUNT, Job, Site, kill_all, wait};
use crate::fleet::{Machine, Plan, Rig, Side};

/// How long the answer to the lease of the candidate is held back, and the one to its claim.
const HOLDS: [Duration; 2] = [Duration::from_millis(1250), Duration::from_millis(1470)];
/// Answers of the state service usually take under 10 ms, and occasionally a few hundred.
const SLOW_ANSWER: Duration = Duration::from_millis(400);

/// Last time at which the case is tried once more.
const LAST_START: Duration = Duration::from_secs(45);

/// Runs the case. The order of events depends on tenths of a second; where a busy machine misses it before the zone is
/// cut off, nothing was shown yet, and all is started once more.
pub fn run(record: &Path, trouble: bool) -> Result<Vec<String>, String> {
    let start = Instant::now();
    loop {
        let outcome = run_once(record, trouble);
        match &outcome {
            Err(reason) if start.elapsed() < LAST_START => eprintln!("once more: {reason}"),
            _ => return outcome,
        }
        kill_all();
    }
}

fn run_once(record: &Path, trouble: bool) -> Result<Vec<String>, String> {
    let zones = ["herve", "battice", "aubel"];
    let site = Site {
        zones,
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
    let outcome = play(&bench, zones, trouble);
    bench.record.close();
    outcome
}

fn play(bench: &Bench, zones: [&'static str; COUNT], trouble: bool) -> Result<Vec<String>, String> {
    let rig = || Rig { name: "kruik16", cpus: 16.0, memory_gb: 64.0 };
    let error = |e: std::io::Error| e.to_string();
    // Which controller leads first is not known yet, and with it the zone that is cut off: each zone has machines.
    let mut machines: Vec<(usize, Arc<Machine>)> = Vec::new();
    for number in 0..9 {
        let name = format!("n-{:06}", number + 1);
        machines.push((number / 3, Machine::new(&bench.world, &name, rig(), zones[number / 3]).map_err(error)?));
    }
    // The cloud knows five machines: three of the zone that is cut off, and one of each other zone. They are chosen
    // once the first leader is known, before any of them is up.
    let all: Vec<Arc<Machine>> = machines.iter().map(|(_, machine)| machine.clone()).collect();
    let listed = Arc::new(Mutex::new(Vec::new()));
    bench.start_with_list(all, listed.clone())?;
    wait("a leader", 20.0, || bench.leader().is_some())?;
    let leader = bench.leader().ok_or("nobody leads")?;
    let (late, other) = ((leader + 1) % COUNT, (leader + 2) % COUNT);
    let inside: Vec<Arc<Machine>> =
        machines.iter().filter(|(zone, _)| *zone == late).map(|(_, machine)| machine.clone()).collect();
    let outside: Vec<Arc<Machine>> = [leader, other]
        .iter()
        .filter_map(|zone| machines.iter().find(|(of, _)| of == zone))
        .map(|(_, machine)| machine.clone())
        .collect();
    listed.lock().unwrap().extend(inside.iter().chain(&outside).map(|machine| machine.name.clone()));
    bench.wait_ready()?;
    // All controllers know the leader by then, so that the workers stay with the one they try first.
    sleep(Duration::from_secs(2));
    inside.iter().for_each(|machine| machine.boot(late));
    let job = Job {
        id: "wk-000001",
        lane: "settle-backfill",
        crew: "ronde-kantoor",
        rank: "best_effort",
        loads: 9,
        cpus: 5.0,
        memory_gb: 6.0,
        kit: "img-01",
        size_gb: 0.4,
        rigs: None,
        haul_s: 300.0,
        tally_s: 0.0,
        stow_s: 0.0,
        run_s: 300.0,
    };
    bench.submit(0, &job)?;
    wait("the job to run", 30.0, || inside.iter().map(|machine| machine.running("wk-000001")).sum::<usize>() == 9)?;
    sleep(Duration::from_secs(4));

    // The workers of the zone report at the same time, every 1.6 s (1.5 s, give or take a quarter).
    let first_report = Instant::now() + Duration::from_secs(6);
    inside.iter().for_each(|machine| machine.set_plan(Plan { at: first_report, interval_s: 1.6 }));
    let renewed_at = Arc::new(Mutex::new(Instant::now()));
    let (killed, claimed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let (leader_label, late_label) = (bench.label(leader), bench.label(late));
    let (store, record) = (bench.store.clone(), bench.record.clone());
    let hook = {
        let (renewed_at, killed, claimed, late_label) =
            (renewed_at.clone(), killed.clone(), claimed.clone(), late_label.clone());
        move |label: &str, request: &crate::http::Request, status: u16| {
            if label == leader_label && request.path.ends_with("/touch") && status == 200 {
                *renewed_at.lock().unwrap() = Instant::now();
            }
            if label != late_label || !killed.load(Ordering::SeqCst) || claimed.load(Ordering::SeqCst) > 0 {
                return;
            }
            let text = String::from_utf8_lossy(&request.body);
            if request.method == "POST" && request.path == "/leases" && status == 200 {
                record.line(&format!("state: {label} got a lease of 2 s"));
                store.interrupt(label, HOLDS[0]);
            }
            if request.path == "/txn" && text.contains("\"write\":\"lead\"") && status == 200 {
                let token = store.leader().map_or(0, |(_, token)| token);
                record.line(&format!("state: {label} became leader with the token {token}"));
                store.interrupt(label, HOLDS[1]);
                store.slow_watch(label, SLOW_ANSWER);
                claimed.store(token, Ordering::SeqCst);
            }
        }
    };
    bench.store.set_hook(Arc::new(hook));
    if !trouble {
        sleep(Duration::from_secs(45));
        return Ok(bench.record.broken());
    }
    sleep(Duration::from_secs(7));
    wait("the right moment", 25.0, || {
        let just_renewed = renewed_at.lock().unwrap().elapsed() < Duration::from_millis(70);
        let answered = |machine: &Arc<Machine>| {
            let (since, by) = machine.last_report();
            by == Some(late) && since < 0.32
        };
        just_renewed && inside.iter().all(answered)
    })?;
    // Two controllers crash, the leader among them.
    bench.kill_controller(leader);
    bench.kill_controller(other);
    killed.store(true, Ordering::SeqCst);
    wait("the claim", 10.0, || claimed.load(Ordering::SeqCst) > 0)?;
    let old_token = claimed.load(Ordering::SeqCst);
    bench.start_controller(leader)?;
    bench.start_controller(other)?;
    wait("another leader", 10.0, || bench.leader().is_some_and(|now| now != late))?;
    let (new_label, new_token) = bench.store.leader().ok_or("nobody leads")?;
    bench.record.line(&format!("state: {new_label} became leader with the token {new_token}"));
    // The machines of the other zones come up late; their workers report to the new leader's side.
    let new_leader = bench.leader().ok_or("nobody leads")?;
    outside[0].boot(new_leader);
    outside[1].boot(COUNT - late - new_leader);
    // The workers of the zone try one controller after the other. The answer to the claim arrives shortly before they
    // come to the late one again.
    let next = || inside.iter().map(|machine| machine.next_report()).collect::<Vec<_>>();
    wait("the workers to try the late controller next", 2.0, || next().iter().all(|(_, node)| *node == late))?;
    let first = next().iter().map(|(at, _)| *at).min().ok_or("no workers")?;
    sleep(first.saturating_duration_since(Instant::now()).saturating_sub(Duration::from_millis(60)));
    bench.store.resume(&late_label);
    // The late controller acts as leader, and its zone is cut off from all others.
    wait("a worker of the zone to be answered by the late leader", 4.0, || {
        inside.iter().any(|machine| machine.baton() == old_token)
    })?;
    bench.record.line(&format!("trouble: the zone {} is cut off", zones[late]));
    bench.cut_off(late, Duration::from_secs(60));
    let same: fn(u64, u64) -> bool = |token, of_the_zone| token == of_the_zone;
    let different: fn(u64, u64) -> bool = |token, of_the_zone| token != of_the_zone;
    for (machines, controllers, has_token) in [(&inside, vec![late], same), (&outside, vec![leader, other], different)]
    {
        for machine in machines {
            let side = Side { controllers: controllers.clone(), has_token, token_of_the_zone: old_token };
            machine.set_side(Some(side));
        }
    }
    sleep(Duration::from_secs(2));
    wait("the late leader to answer its zone still", 2.0, || {
        inside.iter().all(|machine| machine.last_report().1 == Some(late) && machine.baton() == old_token)
    })?;
    sleep(Duration::from_secs(23));
    Ok(bench.record.broken())
}
