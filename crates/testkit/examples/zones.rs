//! Measures zone failover on loopback: real controllers with fake workers in three simulated zones. One zone
//! is partitioned and restored, with failover off and on in turn, several runs each.
//!
//!     cargo build --release
//!     cargo run --release -p rushyoke-testkit --example zones -- [RUNS] [MACHINES] [FOLDER]
//!
//! Writes `zones.json`, plots and a page, `zones.html`, into FOLDER. The fleet is four fifths full, so that
//! without a third of it only a part of the work fits.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::process::Child;
use std::rc::Rc;
use std::time::{Duration, Instant};

use maud::{DOCTYPE, PreEscaped, html};
use plotters::prelude::*;
use rushyoke_testkit::{job, service};
use rushyoke_wire::job::{JobSpec, Priority};
use rushyoke_wire::worker::TaskState;
use serde::Serialize;
use support::{NODE_COUNT, Setup, Testbed};
use tokio::time::sleep;

/// Number of CPUs of a machine.
const MACHINE_CPUS: u32 = 16;
/// The zone that is partitioned.
const PARTITIONED_ZONE: &str = "b";
/// Duration of tasks, in seconds: none ends during the observation.
const TASK_S: f64 = 600.0;
/// Duration of a worker's lease.
const WORKER_LEASE: Duration = Duration::from_secs(12);
/// Time from the start of the controllers until the first job.
const STARTUP_TIME: Duration = Duration::from_secs(12);
/// Time after which the zone is restored.
const PARTITION_TIME: Duration = Duration::from_secs(40);
/// Time for which the fleet is observed, from the partition on.
const OBSERVATION_TIME: Duration = Duration::from_secs(90);
/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// The tiers: name, team, share of the fleet's CPUs and number of tasks of a job.
const TIERS: [(&str, &str, f64, u32); 3] =
    [("production", "red", 0.05, 12), ("high", "blue", 0.25, 60), ("best effort", "green", 0.5, 60)];

/// The running tasks at one moment.
#[derive(Clone, Serialize)]
struct Sample {
    at_s: f64,
    /// Number of running tasks, by tier.
    running: [usize; 3],
    /// Number of tasks that started since the previous sample, by tier.
    #[serde(rename = "began")]
    started: [usize; 3],
    /// Number of tasks that started in the partitioned zone since the previous sample.
    #[serde(rename = "began_in_zone")]
    started_in_zone: usize,
    /// Number of tasks that run on several machines.
    duplicates: usize,
}

/// The results of one run.
#[derive(Serialize)]
struct Run {
    failover: bool,
    /// Number of submitted tasks, by tier.
    tasks: [usize; 3],
    /// Seconds from the partition until all tasks of each tier ran again.
    #[serde(rename = "whole_after_s")]
    recovered_after_s: [Option<f64>; 3],
    /// Number of restarts, by tier.
    #[serde(rename = "begun_anew")]
    restarts: [usize; 3],
    /// Largest number of restarts of one task.
    #[serde(rename = "most_of_a_task")]
    max_restarts_per_task: usize,
    /// Number of starts in a later tier while tasks of an earlier one were missing, counted from the first start
    /// after the leases had expired.
    #[serde(rename = "later_tier_first")]
    out_of_order_starts: usize,
    /// Sum of the samples' duplicates.
    duplicates: usize,
    store_changes: u64,
    cloud_machines: usize,
    /// Processor time of the controllers since the partition.
    processor_s: f64,
    /// Memory of the largest controller.
    memory_mb: f64,
    #[serde(rename = "looks")]
    samples: Vec<Sample>,
}

/// Returns the tier of a task, which follows from its job's number.
fn tier_of(task: &str) -> usize {
    let number: usize = task.trim_start_matches("wk-").split('/').next().and_then(|n| n.parse().ok()).unwrap_or(0);
    (number / 1000).min(2)
}

/// Returns the running tasks with their machines, and whether these are in the partitioned zone.
fn current_placements(testbed: &Testbed) -> BTreeMap<String, Vec<(String, bool)>> {
    let mut placements: BTreeMap<String, Vec<(String, bool)>> = BTreeMap::new();
    for (name, worker) in testbed.workers.borrow().iter() {
        let worker = worker.borrow();
        for task in worker.tasks.iter().filter(|task| task.state == TaskState::Running) {
            placements.entry(task.name.clone()).or_default().push((name.clone(), worker.zone == PARTITIONED_ZONE));
        }
    }
    placements
}

/// Tracks the running tasks from sample to sample.
#[derive(Default)]
struct FleetTracker {
    /// Machine of each running task.
    machines: BTreeMap<String, String>,
    /// Number of starts of each task.
    starts: BTreeMap<String, usize>,
    samples: Vec<Sample>,
}

impl FleetTracker {
    /// Takes a sample.
    fn sample(&mut self, at: Duration, testbed: &Testbed) {
        let mut sample =
            Sample { at_s: at.as_secs_f64(), running: [0; 3], started: [0; 3], started_in_zone: 0, duplicates: 0 };
        let mut machines = BTreeMap::new();
        for (task, placements) in current_placements(testbed) {
            let tier = tier_of(&task);
            sample.running[tier] += 1;
            sample.duplicates += usize::from(placements.len() > 1);
            let (machine, is_in_zone) = placements.into_iter().next().expect("a running task has a machine");
            if self.machines.get(&task) != Some(&machine) {
                sample.started[tier] += 1;
                sample.started_in_zone += usize::from(is_in_zone);
                *self.starts.entry(task.clone()).or_default() += 1;
            }
            machines.insert(task, machine);
        }
        self.machines = machines;
        self.samples.push(sample);
    }
}

/// Starts a user who submits a job.
async fn submit(testbed: &Rc<Testbed>, spec: JobSpec, node: usize) {
    tokio::task::spawn_local(testbed.clone().run_user(node, spec));
    sleep(Duration::from_millis(30)).await;
}

/// Submits the jobs of all tiers. Returns the number of tasks of each tier.
async fn submit_all(testbed: &Rc<Testbed>, machines: u32) -> [usize; 3] {
    let mut tasks = [0; 3];
    for (tier, (_, team, share, job_tasks)) in TIERS.into_iter().enumerate() {
        let jobs = (f64::from(machines * MACHINE_CPUS) * share) as u32 / job_tasks;
        for n in 0..jobs {
            let id = tier as u32 * 1000 + n;
            let array = JobSpec { spot: false, estimate_s: TASK_S, ..job(id, job_tasks) };
            let spec = match tier {
                0 => service(id, job_tasks),
                1 => JobSpec { priority: Priority::High, ..array },
                _ => JobSpec { priority: Priority::BestEffort, ..array },
            };
            submit(testbed, JobSpec { team: team.into(), ..spec }, n as usize % NODE_COUNT).await;
            tasks[tier] += job_tasks as usize;
        }
    }
    tasks
}

/// Returns the processor time of the controllers so far, and the memory of the largest.
fn usage(nodes: &[Child]) -> (f64, f64) {
    let usages = nodes.iter().map(|child| support::process_usage(child.id()));
    usages.fold((0.0, 0.0), |(time, memory): (f64, f64), (user, kernel, mb)| (time + user + kernel, memory.max(mb)))
}

/// Executes one run.
async fn run_once(setup: Setup, failover: bool) -> Run {
    let machines = setup.capacity;
    let testbed = Testbed::start(setup, machines).await;
    let mut nodes: Vec<Child> = (0..NODE_COUNT).map(|node| testbed.start_controller(node)).collect();
    sleep(STARTUP_TIME).await;
    let tasks = submit_all(&testbed, machines).await;
    let submitted_at = Instant::now();
    while current_placements(&testbed).len() < tasks.iter().sum() && submitted_at.elapsed() < Duration::from_secs(40) {
        sleep(SAMPLE_INTERVAL).await;
    }
    let mut tracker = FleetTracker::default();
    tracker.sample(Duration::ZERO, &testbed);
    tracker.starts.clear();
    tracker.samples.clear();
    let changes_before = testbed.store.borrow().revision;
    let usage_before = usage(&nodes);
    testbed.partitioned_zones.borrow_mut().insert(PARTITIONED_ZONE.into());
    let started_at = Instant::now();
    while started_at.elapsed() < OBSERVATION_TIME {
        if started_at.elapsed() >= PARTITION_TIME {
            testbed.partitioned_zones.borrow_mut().clear();
        }
        sleep(SAMPLE_INTERVAL).await;
        tracker.sample(started_at.elapsed(), &testbed);
    }
    let store_changes = testbed.store.borrow().revision - changes_before;
    let cloud_machines = testbed.cloud.borrow().machines.len();
    let usage_after = usage(&nodes);
    support::stop_controllers(&mut nodes);
    let run = summarize(failover, tasks, tracker, store_changes, cloud_machines);
    Run { processor_s: usage_after.0 - usage_before.0, memory_mb: usage_after.1, ..run }
}

/// Computes the results of a run, without the resource usage.
fn summarize(
    failover: bool,
    tasks: [usize; 3],
    tracker: FleetTracker,
    store_changes: u64,
    cloud_machines: usize,
) -> Run {
    let samples = tracker.samples;
    let first_incomplete = |tier: usize| samples.iter().position(|sample| sample.running[tier] < tasks[tier]);
    let recovered_after = |tier: usize| {
        let from = first_incomplete(tier)?;
        samples[from..].iter().find(|sample| sample.running[tier] == tasks[tier]).map(|sample| sample.at_s)
    };
    let mut restarts = [0; 3];
    for (task, start_count) in &tracker.starts {
        restarts[tier_of(task)] += start_count;
    }
    let first_restart = samples
        .iter()
        .position(|sample| sample.at_s > WORKER_LEASE.as_secs_f64() && sample.started.iter().sum::<usize>() > 0);
    let mut out_of_order_starts = 0;
    for pair in samples[first_restart.unwrap_or(samples.len())..].windows(2) {
        let is_incomplete = |tier: usize| pair.iter().all(|sample| sample.running[tier] < tasks[tier]);
        out_of_order_starts +=
            (1..3).filter(|tier| (0..*tier).any(is_incomplete)).map(|tier| pair[1].started[tier]).sum::<usize>();
    }
    Run {
        failover,
        tasks,
        recovered_after_s: [recovered_after(0), recovered_after(1), recovered_after(2)],
        restarts,
        max_restarts_per_task: tracker.starts.values().copied().max().unwrap_or(0),
        out_of_order_starts,
        duplicates: samples.iter().map(|sample| sample.duplicates).sum(),
        store_changes,
        cloud_machines,
        processor_s: 0.0,
        memory_mb: 0.0,
        samples,
    }
}

/// Plots one measure of all runs over time.
fn plot(
    file: &Path,
    title: &str,
    runs: &[Run],
    measure: impl Fn(&Run, &Sample) -> f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let max = runs.iter().flat_map(|run| run.samples.iter().map(|sample| measure(run, sample))).fold(1.0, f64::max);
    let area = SVGBackend::new(file, (720, 300)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..OBSERVATION_TIME.as_secs_f64(), 0.0..max)?;
    chart.configure_mesh().x_desc("seconds since the partition; restored after 40").draw()?;
    for run in runs {
        let color = if run.failover { BLUE } else { RED };
        chart.draw_series(LineSeries::new(
            run.samples.iter().map(|sample| (sample.at_s, measure(run, sample))),
            &color,
        ))?;
    }
    area.present()?;
    Ok(())
}

/// Writes a page with the table of all runs and the plots.
fn write_page(folder: &Path, runs: &[Run], plots: &[&str]) -> std::io::Result<()> {
    let seconds = |at: &Option<f64>| at.map_or("not in time".to_owned(), |at| format!("{at:.1}"));
    let mut drawings = Vec::new();
    for plot in plots {
        drawings.push(std::fs::read_to_string(folder.join(plot))?);
    }
    let page = html! {
        (DOCTYPE)
        html {
            head { meta charset="utf-8"; title { "Zone failover on loopback" } }
            body style="font-family: sans-serif" {
                h1 { "Zone failover on loopback" }
                p { "Real controllers, fake workers in three simulated zones. Red: off, blue: on." }
                table border="1" cellpadding="4" {
                    tr {
                        th { "failover" } th { "whole after, s" } th { "begun anew" } th { "most of a task" }
                        th { "later tier first" } th { "in two places" } th { "changes" } th { "processor, s" }
                    }
                    @for run in runs {
                        tr {
                            td { (if run.failover { "on" } else { "off" }) }
                            td { (run.recovered_after_s.iter().map(seconds).collect::<Vec<_>>().join(", ")) }
                            td { (format!("{:?}", run.restarts)) }
                            td { (run.max_restarts_per_task) }
                            td { (run.out_of_order_starts) }
                            td { (run.duplicates) }
                            td { (run.store_changes) }
                            td { (format!("{:.2}", run.processor_s)) }
                        }
                    }
                }
                @for drawing in &drawings { div { (PreEscaped(drawing)) } }
            }
        }
    };
    std::fs::write(folder.join("zones.html"), page.into_string())
}

/// Writes the policy file of a run.
fn write_policy(folder: &Path, failover: bool) -> PathBuf {
    let file = folder.join(format!("failover-{failover}.yaml"));
    // Keeps idle machines, and rents none ahead of demand.
    let text = format!(
        "headroom_machines: 0\nheadroom_share: 0\nservice_reserve: 0\nidle_s: 3600\nfailover:\n  enabled: {failover}\n"
    );
    std::fs::write(&file, text).expect("the folder can be written to");
    file
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = std::env::args().skip(1);
    let runs: usize = args.next().map_or(Ok(3), |arg| arg.parse())?;
    let machines: u32 = args.next().map_or(Ok(300), |arg| arg.parse())?;
    let folder = args.next().map_or(std::env::temp_dir(), PathBuf::from);
    std::fs::create_dir_all(&folder)?;
    let cpus = f64::from(machines * MACHINE_CPUS);
    let teams: BTreeSet<&'static str> = TIERS.iter().map(|(_, team, ..)| *team).collect();
    let mut results = Vec::new();
    for n in 0..runs * 2 {
        let failover = n % 2 == 1;
        let setup = Setup {
            report_interval: Duration::from_millis(1500),
            worker_lease: WORKER_LEASE,
            task_duration_s: TASK_S,
            boot_time: Duration::from_secs(1),
            capacity: machines,
            teams: teams.iter().map(|team| (*team, cpus / 20.0, cpus)).collect(),
            max_sockets: 1200.max(machines as usize * 3),
            max_memory_mb: 64.0 + f64::from(machines) / 8.0,
            policy_file: Some(write_policy(&folder, failover)),
        };
        let run = support::block_on(run_once(setup, failover));
        println!(
            "failover {failover}: {:?} tasks, recovered after {:?} s, restarts {:?}, out-of-order starts {}, duplicates {}",
            run.tasks, run.recovered_after_s, run.restarts, run.out_of_order_starts, run.duplicates
        );
        results.push(run);
    }
    serde_json::to_writer_pretty(std::fs::File::create(folder.join("zones.json"))?, &results)?;
    let missing_tasks = |tier: usize| {
        move |run: &Run, sample: &Sample| (run.tasks[tier] - sample.running[tier].min(run.tasks[tier])) as f64
    };
    let plots = ["failover-production.svg", "failover-high.svg", "failover-best-effort.svg", "failover-returned.svg"];
    for (tier, (name, ..)) in TIERS.into_iter().enumerate() {
        plot(
            &folder.join(plots[tier]),
            &format!("Tasks of the tier {name} that do not run"),
            &results,
            missing_tasks(tier),
        )?;
    }
    let starts = |_: &Run, sample: &Sample| sample.started_in_zone as f64;
    plot(
        &folder.join(plots[3]),
        "Tasks that start in the partitioned zone, in each fifth of a second",
        &results,
        starts,
    )?;
    write_page(&folder, &results, &plots)?;
    Ok(())
}
