//! Measures zone failover on loopback: stand-in workers in three pretend zones around real controllers; one
//! zone is cut off and restored, with failover off and on in turn, several runs each.
//!
//!     cargo build --release
//!     cargo run --release -p rushyoke-testkit --example zones -- [RUNS] [MACHINES] [FOLDER]
//!
//! Writes `zones.json`, plots and a page, `zones.html`, into FOLDER. The fleet is four fifths full, so that
//! without a third of it there is room for a part of the work only.

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

const MACHINE_CPUS: u32 = 16;
const CUT_ZONE: &str = "b";
const TASK_S: f64 = 600.0;
const LEASE: Duration = Duration::from_secs(12);
const SETTLED: Duration = Duration::from_secs(12);
const CUT: Duration = Duration::from_secs(40);
const WATCHED: Duration = Duration::from_secs(90);
const LOOK: Duration = Duration::from_millis(200);
/// Tiers with their team, shares of the fleet's CPUs and tasks of a job.
const TIERS: [(&str, &str, f64, u32); 3] =
    [("production", "red", 0.05, 12), ("high", "blue", 0.25, 60), ("best effort", "green", 0.5, 60)];

/// One look at the fleet.
#[derive(Clone, Serialize)]
struct Look {
    at_s: f64,
    /// Tasks that run, by tier.
    running: [usize; 3],
    /// Tasks that began since the look before, by tier, and those among them in the zone that is cut.
    began: [usize; 3],
    began_in_zone: usize,
    /// Tasks that run in two places.
    duplicates: usize,
}

/// What one run showed.
#[derive(Serialize)]
struct Run {
    failover: bool,
    tasks: [usize; 3],
    /// Seconds from the cut until each tier was whole again.
    whole_after_s: [Option<f64>; 3],
    /// Tasks that began anew, by tier, and the most often that one did.
    begun_anew: [usize; 3],
    most_of_a_task: usize,
    /// Starts of a later tier in looks in which an earlier one was not whole, from the first start after the
    /// leases ended.
    later_tier_first: usize,
    duplicates: usize,
    store_changes: u64,
    cloud_machines: usize,
    /// Processor time of the controllers from the cut on, and the memory of the largest.
    processor_s: f64,
    memory_mb: f64,
    looks: Vec<Look>,
}

/// The tier of a task by its job's number.
fn tier_of(task: &str) -> usize {
    let number: usize = task.trim_start_matches("wk-").split('/').next().and_then(|n| n.parse().ok()).unwrap_or(0);
    (number / 1000).min(2)
}

/// Tasks that run now, with the machines on which they do and whether these are in the zone that is cut.
fn places(testbed: &Testbed) -> BTreeMap<String, Vec<(String, bool)>> {
    let mut places: BTreeMap<String, Vec<(String, bool)>> = BTreeMap::new();
    for (name, worker) in testbed.workers.borrow().iter() {
        let worker = worker.borrow();
        for task in worker.tasks.iter().filter(|task| task.state == TaskState::Running) {
            places.entry(task.name.clone()).or_default().push((name.clone(), worker.zone == CUT_ZONE));
        }
    }
    places
}

/// Follows the fleet from look to look.
#[derive(Default)]
struct Watch {
    runs: BTreeMap<String, String>,
    begun: BTreeMap<String, usize>,
    looks: Vec<Look>,
}

impl Watch {
    fn look(&mut self, at: Duration, testbed: &Testbed) {
        let mut look = Look { at_s: at.as_secs_f64(), running: [0; 3], began: [0; 3], began_in_zone: 0, duplicates: 0 };
        let mut runs = BTreeMap::new();
        for (task, on) in places(testbed) {
            let tier = tier_of(&task);
            look.running[tier] += 1;
            look.duplicates += usize::from(on.len() > 1);
            let (machine, inside) = on.into_iter().next().expect("it runs somewhere");
            if self.runs.get(&task) != Some(&machine) {
                look.began[tier] += 1;
                look.began_in_zone += usize::from(inside);
                *self.begun.entry(task.clone()).or_default() += 1;
            }
            runs.insert(task, machine);
        }
        self.runs = runs;
        self.looks.push(look);
    }
}

async fn submit(testbed: &Rc<Testbed>, spec: JobSpec, node: usize) {
    tokio::task::spawn_local(testbed.clone().run_user(node, spec));
    sleep(Duration::from_millis(30)).await;
}

/// Submits the work of all tiers; how many tasks each has.
async fn fill(testbed: &Rc<Testbed>, machines: u32) -> [usize; 3] {
    let mut tasks = [0; 3];
    for (tier, (_, team, share, each)) in TIERS.into_iter().enumerate() {
        let jobs = (f64::from(machines * MACHINE_CPUS) * share) as u32 / each;
        for n in 0..jobs {
            let id = tier as u32 * 1000 + n;
            let array = JobSpec { spot: false, estimate_s: TASK_S, ..job(id, each) };
            let spec = match tier {
                0 => service(id, each),
                1 => JobSpec { priority: Priority::High, ..array },
                _ => JobSpec { priority: Priority::BestEffort, ..array },
            };
            submit(testbed, JobSpec { team: team.into(), ..spec }, n as usize % NODE_COUNT).await;
            tasks[tier] += each as usize;
        }
    }
    tasks
}

/// Processor time of the controllers so far, and the memory of the largest.
fn spent(nodes: &[Child]) -> (f64, f64) {
    let each = nodes.iter().map(|child| support::process_usage(child.id()));
    each.fold((0.0, 0.0), |(time, memory): (f64, f64), (own, kernel, mb)| (time + own + kernel, memory.max(mb)))
}

async fn play(setup: Setup, failover: bool) -> Run {
    let machines = setup.capacity;
    let testbed = Testbed::start(setup, machines).await;
    let mut nodes: Vec<Child> = (0..NODE_COUNT).map(|node| testbed.start_controller(node)).collect();
    sleep(SETTLED).await;
    let tasks = fill(&testbed, machines).await;
    let filled = Instant::now();
    while places(&testbed).len() < tasks.iter().sum() && filled.elapsed() < Duration::from_secs(40) {
        sleep(LOOK).await;
    }
    let mut watch = Watch::default();
    watch.look(Duration::ZERO, &testbed);
    watch.begun.clear();
    watch.looks.clear();
    let changes = testbed.store.borrow().revision;
    let before = spent(&nodes);
    testbed.partitioned_zones.borrow_mut().insert(CUT_ZONE.into());
    let began = Instant::now();
    while began.elapsed() < WATCHED {
        if began.elapsed() >= CUT {
            testbed.partitioned_zones.borrow_mut().clear();
        }
        sleep(LOOK).await;
        watch.look(began.elapsed(), &testbed);
    }
    let store_changes = testbed.store.borrow().revision - changes;
    let cloud_machines = testbed.cloud.borrow().machines.len();
    let after = spent(&nodes);
    support::stop_controllers(&mut nodes);
    let run = summary(failover, tasks, watch, store_changes, cloud_machines);
    Run { processor_s: after.0 - before.0, memory_mb: after.1, ..run }
}

fn summary(failover: bool, tasks: [usize; 3], watch: Watch, store_changes: u64, cloud_machines: usize) -> Run {
    let looks = watch.looks;
    let broken = |tier: usize| looks.iter().position(|look| look.running[tier] < tasks[tier]);
    let whole = |tier: usize| {
        let from = broken(tier)?;
        looks[from..].iter().find(|look| look.running[tier] == tasks[tier]).map(|look| look.at_s)
    };
    let mut begun_anew = [0; 3];
    for (task, times) in &watch.begun {
        begun_anew[tier_of(task)] += times;
    }
    let lapsed = looks.iter().position(|look| look.at_s > LEASE.as_secs_f64() && look.began.iter().sum::<usize>() > 0);
    let mut later_tier_first = 0;
    for pair in looks[lapsed.unwrap_or(looks.len())..].windows(2) {
        let waits = |tier: usize| pair.iter().all(|look| look.running[tier] < tasks[tier]);
        later_tier_first += (1..3).filter(|tier| (0..*tier).any(waits)).map(|tier| pair[1].began[tier]).sum::<usize>();
    }
    Run {
        failover,
        tasks,
        whole_after_s: [whole(0), whole(1), whole(2)],
        begun_anew,
        most_of_a_task: watch.begun.values().copied().max().unwrap_or(0),
        later_tier_first,
        duplicates: looks.iter().map(|look| look.duplicates).sum(),
        store_changes,
        cloud_machines,
        processor_s: 0.0,
        memory_mb: 0.0,
        looks,
    }
}

fn plot(
    file: &Path,
    title: &str,
    runs: &[Run],
    of: impl Fn(&Run, &Look) -> f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let most = runs.iter().flat_map(|run| run.looks.iter().map(|look| of(run, look))).fold(1.0, f64::max);
    let area = SVGBackend::new(file, (720, 300)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..WATCHED.as_secs_f64(), 0.0..most)?;
    chart.configure_mesh().x_desc("seconds since the cut; restored after 40").draw()?;
    for run in runs {
        let color = if run.failover { BLUE } else { RED };
        chart.draw_series(LineSeries::new(run.looks.iter().map(|look| (look.at_s, of(run, look))), &color))?;
    }
    area.present()?;
    Ok(())
}

/// A page with the table of all runs and the plots.
fn page(folder: &Path, runs: &[Run], plots: &[&str]) -> std::io::Result<()> {
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
                p { "Real controllers, stand-in workers in three pretend zones. Red: off, blue: on." }
                table border="1" cellpadding="4" {
                    tr {
                        th { "failover" } th { "whole after, s" } th { "begun anew" } th { "most of a task" }
                        th { "later tier first" } th { "in two places" } th { "changes" } th { "processor, s" }
                    }
                    @for run in runs {
                        tr {
                            td { (if run.failover { "on" } else { "off" }) }
                            td { (run.whole_after_s.iter().map(seconds).collect::<Vec<_>>().join(", ")) }
                            td { (format!("{:?}", run.begun_anew)) }
                            td { (run.most_of_a_task) }
                            td { (run.later_tier_first) }
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

fn policy(folder: &Path, failover: bool) -> PathBuf {
    let file = folder.join(format!("failover-{failover}.yaml"));
    // Idle machines are kept, and none is rented ahead of need.
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
    let mut done = Vec::new();
    for n in 0..runs * 2 {
        let failover = n % 2 == 1;
        let setup = Setup {
            report_interval: Duration::from_millis(1500),
            worker_lease: LEASE,
            task_duration_s: TASK_S,
            boot_time: Duration::from_secs(1),
            capacity: machines,
            teams: teams.iter().map(|team| (*team, cpus / 20.0, cpus)).collect(),
            max_sockets: 1200.max(machines as usize * 3),
            max_memory_mb: 64.0 + f64::from(machines) / 8.0,
            policy_file: Some(policy(&folder, failover)),
        };
        let run = support::block_on(play(setup, failover));
        println!(
            "failover {failover}: {:?} tasks, whole after {:?} s, begun anew {:?}, later tier first {}, in two places {}",
            run.tasks, run.whole_after_s, run.begun_anew, run.later_tier_first, run.duplicates
        );
        done.push(run);
    }
    serde_json::to_writer_pretty(std::fs::File::create(folder.join("zones.json"))?, &done)?;
    let missing =
        |tier: usize| move |run: &Run, look: &Look| (run.tasks[tier] - look.running[tier].min(run.tasks[tier])) as f64;
    let plots = ["failover-production.svg", "failover-high.svg", "failover-best-effort.svg", "failover-returned.svg"];
    for (tier, (name, ..)) in TIERS.into_iter().enumerate() {
        plot(&folder.join(plots[tier]), &format!("Tasks of the tier {name} that do not run"), &done, missing(tier))?;
    }
    let starts = |_: &Run, look: &Look| look.began_in_zone as f64;
    plot(
        &folder.join(plots[3]),
        "Tasks that begin in the zone that was cut, in each fifth of a second",
        &done,
        starts,
    )?;
    page(&folder, &done, &plots)?;
    Ok(())
}
