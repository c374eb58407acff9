//! Measures rebalancing on loopback: a skewed burst on few machines of a fleet of fake workers with real
//! controllers, with rebalancing off and on in turn, several runs each.
//!
//!     cargo build --release
//!     cargo run --release -p rushyoke-testkit --example spread -- [RUNS] [MACHINES] [FOLDER]
//!
//! Writes `spread.json` and plots into FOLDER. The burst fills a fifth of the machines, which are running when
//! it arrives. The others boot later and are idle at first. A linear program computes how far the fleet is
//! from the most even distribution that is possible without moving services.

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

/// Number of CPUs of a machine, and so of one-CPU tasks that fit on it.
const MACHINE_CPUS: usize = 16;
/// Number of services.
const SERVICE_COUNT: u32 = 6;
/// Number of tasks of a service.
const TASKS_PER_SERVICE: u32 = 3;
/// Number of tasks of a job of the burst.
const TASKS_PER_BURST_JOB: u32 = 60;
/// Duration of tasks, in seconds: none ends during the observation.
const TASK_S: f64 = 400.0;
/// Time from the start of the controllers until the first job.
const STARTUP_TIME: Duration = Duration::from_secs(12);
/// Time from the burst until the other machines boot. It is longer than a burst may be held back.
const SCALE_UP_DELAY: Duration = Duration::from_secs(34);
/// Time for which the fleet is observed after the other machines have booted.
const OBSERVATION_TIME: Duration = Duration::from_secs(62);
/// Time between two jobs of the other team, which arrive during the observation.
const OTHER_TEAM_JOB_INTERVAL: Duration = Duration::from_secs(5);
/// Number of tasks of a job of the other team.
const TASKS_PER_OTHER_TEAM_JOB: u32 = 4;
/// The fleet counts as even while at most this share of its tasks would have to move to reach the most even
/// distribution.
const MAX_EVEN_DISTANCE_SHARE: f64 = 0.05;

/// The evenness of the fleet at one moment.
#[derive(Clone, Serialize)]
struct Sample {
    at_s: f64,
    /// Coefficient of variation of the machines' load.
    variation: f64,
    /// Jain's index of the machines' load.
    jain: f64,
    /// Number of tasks that would have to move to the most even distribution, by the linear program.
    distance: f64,
}

/// The results of one run.
#[derive(Serialize)]
struct Run {
    #[serde(rename = "spreading")]
    rebalancing: bool,
    machines: usize,
    tasks: usize,
    samples: Vec<Sample>,
    /// Time until the fleet was even and stayed so.
    even_after_s: Option<f64>,
    moves: usize,
    #[serde(rename = "most_moves_of_a_task")]
    max_moves_per_task: usize,
    services_restarted: usize,
    /// Start times of the burst's jobs.
    burst: StartTimes,
    /// Start times of the other team's jobs, which arrive during the observation.
    other_team: StartTimes,
    store_requests: u64,
    store_changes: u64,
    processor_s: f64,
}

/// Times from the submission of a team's jobs until all tasks of a job run.
#[derive(Serialize)]
struct StartTimes {
    jobs: usize,
    /// Number of jobs of which all tasks ran.
    #[serde(rename = "whole")]
    started: usize,
    median_s: f64,
    #[serde(rename = "most_s")]
    max_s: f64,
}

impl StartTimes {
    /// Summarizes the times of the jobs that started, out of `jobs` submitted ones.
    fn of(jobs: usize, mut times_s: Vec<f64>) -> StartTimes {
        times_s.sort_by(f64::total_cmp);
        let median_s = times_s.get(times_s.len() / 2).copied().unwrap_or(f64::NAN);
        StartTimes { jobs, started: times_s.len(), median_s, max_s: times_s.last().copied().unwrap_or(f64::NAN) }
    }
}

/// Numbers of running tasks on a machine: those that may move, and those of services.
#[derive(Default, Clone)]
struct Load {
    movable: usize,
    fixed: usize,
}

/// Tracks the machine of each task and the starts of the burst's jobs.
#[derive(Default)]
struct TaskTracker {
    /// Machine of each task.
    machines: BTreeMap<String, String>,
    /// Number of moves of each task.
    move_counts: BTreeMap<String, usize>,
    /// When each job of the burst was submitted.
    submitted_at: BTreeMap<String, Instant>,
    /// Time from its submission until all tasks of a job ran.
    start_times_s: BTreeMap<String, f64>,
}

impl TaskTracker {
    /// Records the current placements.
    fn record(&mut self, placements: &BTreeMap<String, String>) {
        for (task, machine) in placements {
            let previous = self.machines.insert(task.clone(), machine.clone());
            if previous.is_some_and(|previous| previous != *machine) {
                *self.move_counts.entry(task.clone()).or_default() += 1;
            }
        }
        let mut running: BTreeMap<&str, u32> = BTreeMap::new();
        for job in placements.keys().filter_map(|task| task.split('/').next()) {
            *running.entry(job).or_default() += 1;
        }
        for (job, submitted_at) in &self.submitted_at {
            if running.get(job.as_str()) == Some(&TASKS_PER_BURST_JOB) {
                self.start_times_s.entry(job.clone()).or_insert_with(|| submitted_at.elapsed().as_secs_f64());
            }
        }
    }
}

/// Whether a task belongs to a service. Services have the lowest job numbers.
fn is_service(task: &str) -> bool {
    let id = task.trim_start_matches("wk-").split('/').next().and_then(|id| id.parse().ok()).unwrap_or(u32::MAX);
    id < SERVICE_COUNT
}

/// Returns the running tasks with their machines.
fn current_placements(testbed: &Testbed) -> BTreeMap<String, String> {
    let mut placements = BTreeMap::new();
    for (name, worker) in testbed.workers.borrow().iter() {
        for task in worker.borrow().tasks.iter().filter(|task| task.state == TaskState::Running) {
            placements.insert(task.name.clone(), name.clone());
        }
    }
    placements
}

/// Returns the load of each machine.
fn loads(testbed: &Testbed) -> Vec<Load> {
    let mut loads: BTreeMap<String, Load> = BTreeMap::new();
    for name in testbed.workers.borrow().keys() {
        loads.insert(name.clone(), Load::default());
    }
    for (task, machine) in current_placements(testbed) {
        let load = loads.entry(machine).or_default();
        if is_service(&task) {
            load.fixed += 1;
        } else {
            load.movable += 1;
        }
    }
    loads.into_values().collect()
}

/// Computes the evenness of the fleet.
fn sample(at: Duration, loads: &[Load]) -> Sample {
    let used: Vec<f64> = loads.iter().map(|load| (load.movable + load.fixed) as f64).collect();
    let count = used.len() as f64;
    let (sum, squares) = used.iter().fold((0.0, 0.0), |(sum, squares), n| (sum + n, squares + n * n));
    let mean = sum / count;
    let variation = if mean > 0.0 { (squares / count - mean * mean).max(0.0).sqrt() / mean } else { 0.0 };
    let jain = if squares > 0.0 { sum * sum / (count * squares) } else { 1.0 };
    Sample { at_s: at.as_secs_f64(), variation, jain, distance: distance(loads, mean) }
}

/// Returns the sum of the machines' loads above the mean, less the smallest sum that is possible. The latter
/// is the solution of a linear program over the number of movable tasks on each machine, within its capacity
/// and with its services where they are.
fn distance(loads: &[Load], mean: f64) -> f64 {
    let mut problem: ProblemVariables = variables!();
    let movable: f64 = loads.iter().map(|load| load.movable as f64).sum();
    let mut movable_tasks = Vec::new();
    let mut excess = Vec::new();
    for load in loads {
        movable_tasks.push(problem.add(variable().min(0.0).max((MACHINE_CPUS - load.fixed.min(MACHINE_CPUS)) as f64)));
        excess.push(problem.add(variable().min(0.0)));
    }
    let total: Expression = excess.iter().sum();
    let mut model = problem.minimise(total.clone()).using(microlp);
    for ((load, tasks), excess) in loads.iter().zip(&movable_tasks).zip(&excess) {
        model = model.with((*excess - *tasks).geq(load.fixed as f64 - mean));
    }
    let all: Expression = movable_tasks.iter().sum();
    model = model.with(all.eq(movable));
    let smallest = model.solve().map_or(f64::NAN, |solution| solution.eval(&total));
    let current: f64 = loads.iter().map(|load| ((load.movable + load.fixed) as f64 - mean).max(0.0)).sum();
    current - smallest
}

/// Waits for some time, recording the placements.
async fn observe(testbed: &Testbed, tracker: &mut TaskTracker, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        sleep(Duration::from_millis(250)).await;
        tracker.record(&current_placements(testbed));
    }
}

/// Submits a job of the other team. Returns the time until all its tasks run, if they do within 60 s.
async fn measure_job_start(testbed: Rc<Testbed>, id: u32) -> Option<f64> {
    let spec = JobSpec { team: "blue".into(), estimate_s: TASK_S, spot: false, ..job(id, TASKS_PER_OTHER_TEAM_JOB) };
    let name = spec.id.clone();
    let started_at = Instant::now();
    tokio::task::spawn_local(testbed.clone().run_user(id as usize % NODE_COUNT, spec));
    while started_at.elapsed() < Duration::from_secs(60) {
        sleep(Duration::from_millis(100)).await;
        let running = current_placements(&testbed).keys().filter(|task| task.split('/').next() == Some(&name)).count();
        if running == TASKS_PER_OTHER_TEAM_JOB as usize {
            return Some(started_at.elapsed().as_secs_f64());
        }
    }
    None
}

/// Starts a user who submits a job.
async fn submit(testbed: &Rc<Testbed>, spec: JobSpec, node: usize) {
    tokio::task::spawn_local(testbed.clone().run_user(node, spec));
    sleep(Duration::from_millis(40)).await;
}

/// Returns the processor time of the controllers so far.
fn processor_s(nodes: &[Child]) -> f64 {
    nodes.iter().map(|child| support::process_usage(child.id())).map(|(user, kernel, _)| user + kernel).sum()
}

/// Executes one run.
async fn run_once(setup: Setup, rebalancing: bool) -> Run {
    let machines = setup.capacity as usize;
    let early_machines = machines / 5;
    let testbed = Testbed::start(setup, early_machines as u32).await;
    // The cloud has no more machines until the others boot.
    testbed.cloud.borrow_mut().capacity = early_machines as u32;
    let mut nodes: Vec<Child> = (0..NODE_COUNT).map(|node| testbed.start_controller(node)).collect();
    sleep(STARTUP_TIME).await;
    for id in 0..SERVICE_COUNT {
        let spec = JobSpec { team: "green".into(), ..service(id, TASKS_PER_SERVICE) };
        submit(&testbed, spec, id as usize % NODE_COUNT).await;
    }
    sleep(Duration::from_secs(5)).await;
    let free_cpus = early_machines * MACHINE_CPUS - (SERVICE_COUNT * TASKS_PER_SERVICE) as usize;
    let mut tracker = TaskTracker::default();
    for id in 0..free_cpus as u32 / TASKS_PER_BURST_JOB {
        let spec = JobSpec {
            checkpoint_interval_s: 10.0,
            save_s: 0.5,
            estimate_s: TASK_S,
            spot: false,
            ..job(100 + id, TASKS_PER_BURST_JOB)
        };
        tracker.submitted_at.insert(spec.id.clone(), Instant::now());
        submit(&testbed, spec, id as usize % NODE_COUNT).await;
    }
    observe(&testbed, &mut tracker, SCALE_UP_DELAY).await;
    let services_before: BTreeSet<(String, String)> =
        current_placements(&testbed).into_iter().filter(|(task, _)| is_service(task)).collect();
    let (requests_before, changes_before) = (testbed.store.borrow().requests, testbed.store.borrow().revision);
    let processor_before = processor_s(&nodes);
    {
        let mut cloud = testbed.cloud.borrow_mut();
        cloud.capacity = machines as u32;
        let now = testbed.now();
        (early_machines..machines).for_each(|n| drop(cloud.add_machine(now, ["a", "b", "c"][n % 3], false)));
    }
    while testbed.workers.borrow().len() < machines {
        sleep(Duration::from_millis(50)).await;
    }
    let tasks = current_placements(&testbed).len();
    let started_at = Instant::now();
    let (mut fleet_loads, mut other_jobs) = (Vec::new(), Vec::new());
    let mut next_job_at = Duration::ZERO;
    while started_at.elapsed() < OBSERVATION_TIME {
        let at = started_at.elapsed();
        if at >= next_job_at {
            next_job_at += OTHER_TEAM_JOB_INTERVAL;
            other_jobs
                .push(tokio::task::spawn_local(measure_job_start(testbed.clone(), 1000 + other_jobs.len() as u32)));
        }
        fleet_loads.push((at, loads(&testbed)));
        observe(&testbed, &mut tracker, Duration::from_secs(1)).await;
    }
    fleet_loads.push((started_at.elapsed(), loads(&testbed)));
    let services_after: BTreeSet<(String, String)> =
        current_placements(&testbed).into_iter().filter(|(task, _)| is_service(task)).collect();
    let jobs = other_jobs.len();
    let mut other_times_s = Vec::new();
    for other_job in other_jobs {
        other_times_s.extend(other_job.await.expect("the task does not panic"));
    }
    let (store_requests, store_changes) =
        (testbed.store.borrow().requests - requests_before, testbed.store.borrow().revision - changes_before);
    let processor_s = processor_s(&nodes) - processor_before;
    support::stop_controllers(&mut nodes);
    // The linear programs are solved after the run, since they would block this thread.
    let samples: Vec<Sample> = fleet_loads.iter().map(|(at, loads)| sample(*at, loads)).collect();
    Run {
        rebalancing,
        machines,
        tasks,
        even_after_s: even_after(&samples, tasks),
        samples,
        moves: tracker.move_counts.values().sum(),
        max_moves_per_task: tracker.move_counts.values().copied().max().unwrap_or(0),
        services_restarted: services_before.difference(&services_after).count(),
        burst: StartTimes::of(tracker.submitted_at.len(), tracker.start_times_s.into_values().collect()),
        other_team: StartTimes::of(jobs, other_times_s),
        store_requests,
        store_changes,
        processor_s,
    }
}

/// Returns the time of the sample from which on the fleet was even, if it was even in the last one.
fn even_after(samples: &[Sample], tasks: usize) -> Option<f64> {
    let max_distance = MAX_EVEN_DISTANCE_SHARE * tasks as f64;
    let last_uneven = samples.iter().rposition(|sample| sample.distance > max_distance);
    let first_even = last_uneven.map_or(0, |index| index + 1);
    samples.get(first_even).map(|sample| sample.at_s)
}

/// Prints the results of a run.
fn print(run: &Run) {
    let first = &run.samples[0];
    let last = run.samples.last().expect("a run has samples");
    println!("rebalancing {}: {} machines, {} tasks", run.rebalancing, run.machines, run.tasks);
    println!("  Jain {:.3} -> {:.3}, variation {:.2} -> {:.2}", first.jain, last.jain, first.variation, last.variation);
    println!("  tasks off the most even distribution {:.0} -> {:.0}", first.distance, last.distance);
    println!(
        "  even after {:?} s; {} moves, at most {} of a task",
        run.even_after_s, run.moves, run.max_moves_per_task
    );
    println!("  {} services restarted", run.services_restarted);
    for (team, times) in [("burst", &run.burst), ("other team", &run.other_team)] {
        let StartTimes { jobs, started, median_s, max_s } = times;
        println!("  {team}: {started} of {jobs} jobs started, median {median_s:.1} s, at most {max_s:.1} s");
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
    max: f64,
    runs: &[Run],
    measure: impl Fn(&Sample) -> f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(file, (720, 360)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..OBSERVATION_TIME.as_secs_f64(), 0.0..max)?;
    chart.configure_mesh().x_desc("seconds since the idle machines booted").draw()?;
    for rebalancing in [false, true] {
        let color = if rebalancing { BLUE } else { RED };
        let label = if rebalancing { "rebalancing on" } else { "rebalancing off" };
        for (n, run) in runs.iter().filter(|run| run.rebalancing == rebalancing).enumerate() {
            let points = run.samples.iter().map(|sample| (sample.at_s, measure(sample)));
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

/// Writes the policy file of a run. It keeps idle machines, so that tasks can move to them.
fn write_policy(folder: &Path, rebalancing: bool) -> PathBuf {
    let file = folder.join(format!("policy-{rebalancing}.yaml"));
    let text = format!("headroom_machines: 1000\nservice_reserve: 0\nbalance:\n  enabled: {rebalancing}\n");
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
    let mut results = Vec::new();
    for n in 0..runs * 2 {
        let rebalancing = n % 2 == 1;
        let setup = Setup {
            report_interval: Duration::from_millis(1500),
            worker_lease: Duration::from_secs(20),
            task_duration_s: TASK_S,
            boot_time: Duration::from_secs(1),
            capacity: machines,
            teams: vec![("red", cpus / 20.0, cpus), ("blue", cpus / 20.0, cpus), ("green", cpus / 20.0, cpus)],
            max_sockets: 1200.max(machines as usize * 3),
            max_memory_mb: 64.0 + f64::from(machines) / 8.0,
            policy_file: Some(write_policy(&folder, rebalancing)),
        };
        let run = support::block_on(run_once(setup, rebalancing));
        print(&run);
        results.push(run);
    }
    serde_json::to_writer_pretty(std::fs::File::create(folder.join("spread.json"))?, &results)?;
    plot(&folder.join("balance-jain.svg"), "Jain's index of load", 1.0, &results, |sample| sample.jain)?;
    let max = results.iter().flat_map(|run| &run.samples).map(|sample| sample.distance).fold(0.0, f64::max);
    let file = folder.join("balance-distance.svg");
    plot(&file, "Tasks off the most even distribution", max, &results, |sample| sample.distance)?;
    plot(&folder.join("balance-variation.svg"), "Coefficient of variation of load", 2.5, &results, |s| s.variation)?;
    Ok(())
}
