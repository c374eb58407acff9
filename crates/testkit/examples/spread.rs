//! Measures load spreading on loopback: a skewed burst on few machines of a fleet of stand-in workers
//! around real controllers, with load spreading off and on in turn, several runs each.
//!
//!     cargo build --release
//!     cargo run --release -p rushyoke-testkit --example spread -- [RUNS] [MACHINES] [FOLDER]
//!
//! Writes `spread.json` and plots into FOLDER. A fifth of the machines is up when the burst comes and
//! is filled by it; the others come up, idle, a little later. How far the fleet is from the best spread
//! that is possible, with services left where they are, is told by a linear program.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::process::Child;
use std::rc::Rc;
use std::time::{Duration, Instant};

use good_lp::{Expression, ProblemVariables, Solution, SolverModel, microlp, variable, variables};
use plotters::prelude::*;
use rushyoke_testkit::{job, service};
use rushyoke_wire::job::JobSpec;
use rushyoke_wire::worker::TaskState;
use serde::Serialize;
use support::{NODE_COUNT, Setup, Testbed};
use tokio::time::sleep;

/// CPUs of a machine, and so the tasks of one CPU that it holds.
const MACHINE_CPUS: usize = 16;
const SERVICES: u32 = 6;
const REPLICAS: u32 = 3;
const BURST_JOB: u32 = 60;
/// How long tasks of the burst run: none ends while it is watched.
const TASK_S: f64 = 400.0;
const SETTLED: Duration = Duration::from_secs(12);
/// From the burst until the others come up: longer than a burst may be held back.
const CROWDED: Duration = Duration::from_secs(34);
const WATCHED: Duration = Duration::from_secs(62);
const TRICKLE: Duration = Duration::from_secs(5);
const TRICKLE_TASKS: u32 = 4;
/// The fleet counts as even when no more than this share of the tasks would have to be elsewhere for the
/// best spread.
const EVEN: f64 = 0.05;

/// One look at the fleet.
#[derive(Clone, Serialize)]
struct Sample {
    at_s: f64,
    variation: f64,
    jain: f64,
    /// Tasks that would have to be elsewhere for the best spread, by the linear program.
    distance: f64,
}

/// What one run showed.
#[derive(Serialize)]
struct Run {
    spreading: bool,
    machines: usize,
    tasks: usize,
    samples: Vec<Sample>,
    even_after_s: Option<f64>,
    moves: usize,
    most_moves_of_a_task: usize,
    services_restarted: usize,
    /// Jobs of the burst, and of the other team that come while work moves.
    burst: Waits,
    other_team: Waits,
    store_requests: u64,
    store_changes: u64,
    processor_s: f64,
}

/// From the submission of a team's jobs until all their tasks run.
#[derive(Serialize)]
struct Waits {
    jobs: usize,
    whole: usize,
    median_s: f64,
    most_s: f64,
}

impl Waits {
    fn of(jobs: usize, mut waited: Vec<f64>) -> Waits {
        waited.sort_by(f64::total_cmp);
        let median_s = waited.get(waited.len() / 2).copied().unwrap_or(f64::NAN);
        Waits { jobs, whole: waited.len(), median_s, most_s: waited.last().copied().unwrap_or(f64::NAN) }
    }
}

/// Running tasks on each machine that is up: those that may move, and services.
#[derive(Default, Clone)]
struct Load {
    movable: usize,
    fixed: usize,
}

/// Where each task runs, and how often that changed.
#[derive(Default)]
struct Paths {
    on: BTreeMap<String, String>,
    moves: BTreeMap<String, usize>,
    /// When jobs of the burst were submitted, and how long until all their tasks ran.
    submitted: BTreeMap<String, Instant>,
    whole_after_s: BTreeMap<String, f64>,
}

impl Paths {
    fn look(&mut self, places: &BTreeMap<String, String>) {
        for (task, machine) in places {
            let before = self.on.insert(task.clone(), machine.clone());
            if before.is_some_and(|before| before != *machine) {
                *self.moves.entry(task.clone()).or_default() += 1;
            }
        }
        let mut running: BTreeMap<&str, u32> = BTreeMap::new();
        for job in places.keys().filter_map(|task| task.split('/').next()) {
            *running.entry(job).or_default() += 1;
        }
        for (job, at) in &self.submitted {
            if running.get(job.as_str()) == Some(&BURST_JOB) {
                self.whole_after_s.entry(job.clone()).or_insert_with(|| at.elapsed().as_secs_f64());
            }
        }
    }
}

fn is_service(task: &str) -> bool {
    let id = task.trim_start_matches("wk-").split('/').next().and_then(|id| id.parse().ok()).unwrap_or(u32::MAX);
    id < SERVICES
}

/// Tasks that run now, with their machines.
fn places(testbed: &Testbed) -> BTreeMap<String, String> {
    let mut places = BTreeMap::new();
    for (name, worker) in testbed.workers.borrow().iter() {
        for task in worker.borrow().tasks.iter().filter(|task| task.state == TaskState::Running) {
            places.insert(task.name.clone(), name.clone());
        }
    }
    places
}

fn loads(testbed: &Testbed) -> Vec<Load> {
    let mut loads: BTreeMap<String, Load> = BTreeMap::new();
    for name in testbed.workers.borrow().keys() {
        loads.insert(name.clone(), Load::default());
    }
    for (task, machine) in places(testbed) {
        let load = loads.entry(machine).or_default();
        if is_service(&task) {
            load.fixed += 1;
        } else {
            load.movable += 1;
        }
    }
    loads.into_values().collect()
}

fn sample(at: Duration, loads: &[Load]) -> Sample {
    let used: Vec<f64> = loads.iter().map(|load| (load.movable + load.fixed) as f64).collect();
    let count = used.len() as f64;
    let (sum, squares) = used.iter().fold((0.0, 0.0), |(sum, squares), n| (sum + n, squares + n * n));
    let mean = sum / count;
    let variation = if mean > 0.0 { (squares / count - mean * mean).max(0.0).sqrt() / mean } else { 0.0 };
    let jain = if squares > 0.0 { sum * sum / (count * squares) } else { 1.0 };
    Sample { at_s: at.as_secs_f64(), variation, jain, distance: distance(loads, mean) }
}

/// Sum of what machines hold above the mean, beyond the least that is possible: by a linear program over
/// how many movable tasks each machine holds, within its room and with its services where they are.
fn distance(loads: &[Load], mean: f64) -> f64 {
    let mut problem: ProblemVariables = variables!();
    let movable: f64 = loads.iter().map(|load| load.movable as f64).sum();
    let mut held = Vec::new();
    let mut above = Vec::new();
    for load in loads {
        held.push(problem.add(variable().min(0.0).max((MACHINE_CPUS - load.fixed.min(MACHINE_CPUS)) as f64)));
        above.push(problem.add(variable().min(0.0)));
    }
    let total: Expression = above.iter().sum();
    let mut model = problem.minimise(total.clone()).using(microlp);
    for ((load, held), above) in loads.iter().zip(&held).zip(&above) {
        model = model.with((*above - *held).geq(load.fixed as f64 - mean));
    }
    let all: Expression = held.iter().sum();
    model = model.with(all.eq(movable));
    let best = model.solve().map_or(f64::NAN, |solution| solution.eval(&total));
    let now: f64 = loads.iter().map(|load| ((load.movable + load.fixed) as f64 - mean).max(0.0)).sum();
    now - best
}

async fn pass(testbed: &Testbed, paths: &mut Paths, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        sleep(Duration::from_millis(250)).await;
        paths.look(&places(testbed));
    }
}

/// A job of the other team: how long until all its tasks run, if they do.
async fn trickle(testbed: Rc<Testbed>, id: u32) -> Option<f64> {
    let spec = JobSpec { team: "blue".into(), estimate_s: TASK_S, spot: false, ..job(id, TRICKLE_TASKS) };
    let name = spec.id.clone();
    let began = Instant::now();
    tokio::task::spawn_local(testbed.clone().run_user(id as usize % NODE_COUNT, spec));
    while began.elapsed() < Duration::from_secs(60) {
        sleep(Duration::from_millis(100)).await;
        let running = places(&testbed).keys().filter(|task| task.split('/').next() == Some(&name)).count();
        if running == TRICKLE_TASKS as usize {
            return Some(began.elapsed().as_secs_f64());
        }
    }
    None
}

async fn submit(testbed: &Rc<Testbed>, spec: JobSpec, node: usize) {
    tokio::task::spawn_local(testbed.clone().run_user(node, spec));
    sleep(Duration::from_millis(40)).await;
}

/// Processor time of the controllers so far.
fn processor_s(nodes: &[Child]) -> f64 {
    nodes.iter().map(|child| support::process_usage(child.id())).map(|(own, kernel, _)| own + kernel).sum()
}

async fn play(setup: Setup, spreading: bool) -> Run {
    let machines = setup.capacity as usize;
    let early = machines / 5;
    let testbed = Testbed::start(setup, early as u32).await;
    // The cloud has no more until the others come.
    testbed.cloud.borrow_mut().capacity = early as u32;
    let mut nodes: Vec<Child> = (0..NODE_COUNT).map(|node| testbed.start_controller(node)).collect();
    sleep(SETTLED).await;
    for id in 0..SERVICES {
        let spec = JobSpec { team: "green".into(), ..service(id, REPLICAS) };
        submit(&testbed, spec, id as usize % NODE_COUNT).await;
    }
    sleep(Duration::from_secs(5)).await;
    let room = early * MACHINE_CPUS - (SERVICES * REPLICAS) as usize;
    let mut paths = Paths::default();
    for id in 0..room as u32 / BURST_JOB {
        let saves = JobSpec {
            checkpoint_interval_s: 10.0,
            save_s: 0.5,
            estimate_s: TASK_S,
            spot: false,
            ..job(100 + id, BURST_JOB)
        };
        paths.submitted.insert(saves.id.clone(), Instant::now());
        submit(&testbed, saves, id as usize % NODE_COUNT).await;
    }
    pass(&testbed, &mut paths, CROWDED).await;
    let services: BTreeSet<(String, String)> =
        places(&testbed).into_iter().filter(|(task, _)| is_service(task)).collect();
    let (requests, changes) = (testbed.store.borrow().requests, testbed.store.borrow().revision);
    let processor = processor_s(&nodes);
    {
        let mut cloud = testbed.cloud.borrow_mut();
        cloud.capacity = machines as u32;
        let now = testbed.now();
        (early..machines).for_each(|n| drop(cloud.add_machine(now, ["a", "b", "c"][n % 3], false)));
    }
    while testbed.workers.borrow().len() < machines {
        sleep(Duration::from_millis(50)).await;
    }
    let tasks = places(&testbed).len();
    let began = Instant::now();
    let (mut looks, mut waits) = (Vec::new(), Vec::new());
    let mut next_trickle = Duration::ZERO;
    while began.elapsed() < WATCHED {
        let at = began.elapsed();
        if at >= next_trickle {
            next_trickle += TRICKLE;
            waits.push(tokio::task::spawn_local(trickle(testbed.clone(), 1000 + waits.len() as u32)));
        }
        looks.push((at, loads(&testbed)));
        pass(&testbed, &mut paths, Duration::from_secs(1)).await;
    }
    looks.push((began.elapsed(), loads(&testbed)));
    let after: BTreeSet<(String, String)> = places(&testbed).into_iter().filter(|(task, _)| is_service(task)).collect();
    let jobs = waits.len();
    let mut waited = Vec::new();
    for wait in waits {
        waited.extend(wait.await.expect("a task of ours"));
    }
    let (store_requests, store_changes) =
        (testbed.store.borrow().requests - requests, testbed.store.borrow().revision - changes);
    let processor_s = processor_s(&nodes) - processor;
    support::stop_controllers(&mut nodes);
    // Solved when nothing waits for this thread any more.
    let samples: Vec<Sample> = looks.iter().map(|(at, loads)| sample(*at, loads)).collect();
    Run {
        spreading,
        machines,
        tasks,
        even_after_s: even_after(&samples, tasks),
        samples,
        moves: paths.moves.values().sum(),
        most_moves_of_a_task: paths.moves.values().copied().max().unwrap_or(0),
        services_restarted: services.difference(&after).count(),
        burst: Waits::of(paths.submitted.len(), paths.whole_after_s.into_values().collect()),
        other_team: Waits::of(jobs, waited),
        store_requests,
        store_changes,
        processor_s,
    }
}

/// When the fleet was even and stayed so.
fn even_after(samples: &[Sample], tasks: usize) -> Option<f64> {
    let most = EVEN * tasks as f64;
    let last_uneven = samples.iter().rposition(|sample| sample.distance > most);
    let first = last_uneven.map_or(0, |index| index + 1);
    samples.get(first).map(|sample| sample.at_s)
}

fn print(run: &Run) {
    let first = &run.samples[0];
    let last = run.samples.last().expect("the last look");
    println!("spreading {}: {} machines, {} tasks", run.spreading, run.machines, run.tasks);
    println!("  Jain {:.3} -> {:.3}, variation {:.2} -> {:.2}", first.jain, last.jain, first.variation, last.variation);
    println!("  tasks from the best spread {:.0} -> {:.0}", first.distance, last.distance);
    println!("  even after {:?} s; {} moves, {} of a task", run.even_after_s, run.moves, run.most_moves_of_a_task);
    println!("  {} services restarted", run.services_restarted);
    for (team, waits) in [("burst", &run.burst), ("other team", &run.other_team)] {
        let Waits { jobs, whole, median_s, most_s } = waits;
        println!("  {team}: {whole} of {jobs} jobs whole, median {median_s:.1} s, at most {most_s:.1} s");
    }
    println!(
        "  store: {} requests, {} changes; processor {:.2} s",
        run.store_requests, run.store_changes, run.processor_s
    );
}

/// Plots one measure of all runs over time.
fn plot(
    file: &Path,
    title: &str,
    most: f64,
    runs: &[Run],
    of: impl Fn(&Sample) -> f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(file, (720, 360)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..WATCHED.as_secs_f64(), 0.0..most)?;
    chart.configure_mesh().x_desc("seconds since the idle machines came up").draw()?;
    for spreading in [false, true] {
        let color = if spreading { BLUE } else { RED };
        let label = if spreading { "load spreading on" } else { "load spreading off" };
        for (n, run) in runs.iter().filter(|run| run.spreading == spreading).enumerate() {
            let points = run.samples.iter().map(|sample| (sample.at_s, of(sample)));
            let line = chart.draw_series(LineSeries::new(points, &color))?;
            if n == 0 {
                line.label(label).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
            }
        }
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

/// The operators' file of a run. Idle machines are kept in both, so that they are there to be used.
fn policy(folder: &Path, spreading: bool) -> PathBuf {
    let file = folder.join(format!("policy-{spreading}.yaml"));
    let text = format!("headroom_machines: 1000\nservice_reserve: 0\nbalance:\n  enabled: {spreading}\n");
    std::fs::write(&file, text).expect("the folder can be written to");
    file
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = std::env::args().skip(1);
    let runs: usize = args.next().map_or(Ok(3), |arg| arg.parse())?;
    let machines: u32 = args.next().map_or(Ok(300), |arg| arg.parse())?;
    let folder = args.next().map_or(std::env::temp_dir(), PathBuf::from);
    std::fs::create_dir_all(&folder)?;
    let cpus = f64::from(machines) * MACHINE_CPUS as f64;
    let mut done = Vec::new();
    for n in 0..runs * 2 {
        let spreading = n % 2 == 1;
        let setup = Setup {
            report_interval: Duration::from_millis(1500),
            worker_lease: Duration::from_secs(20),
            task_duration_s: TASK_S,
            boot_time: Duration::from_secs(1),
            capacity: machines,
            teams: vec![("red", cpus / 20.0, cpus), ("blue", cpus / 20.0, cpus), ("green", cpus / 20.0, cpus)],
            max_sockets: 1200.max(machines as usize * 3),
            max_memory_mb: 64.0 + f64::from(machines) / 8.0,
            policy_file: Some(policy(&folder, spreading)),
        };
        let run = support::block_on(play(setup, spreading));
        print(&run);
        done.push(run);
    }
    serde_json::to_writer_pretty(std::fs::File::create(folder.join("spread.json"))?, &done)?;
    plot(&folder.join("balance-jain.svg"), "Jain's index of use", 1.0, &done, |sample| sample.jain)?;
    let most = done.iter().flat_map(|run| &run.samples).map(|sample| sample.distance).fold(0.0, f64::max);
    let file = folder.join("balance-distance.svg");
    plot(&file, "Tasks away from the best spread", most, &done, |sample| sample.distance)?;
    plot(&folder.join("balance-variation.svg"), "Coefficient of variation of use", 2.5, &done, |s| s.variation)?;
    Ok(())
}
