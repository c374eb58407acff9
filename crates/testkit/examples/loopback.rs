//! Runs the real controllers against a fake fleet over loopback, in real time, and prints their resource
//! usage: processor time in user mode and in the kernel, memory and requests.
//!
//!     cargo build --release
//!     cargo run --release -p rushyoke-testkit --example loopback -- [SECONDS] [MACHINES] [LOAD] [TASK_S]
//!
//! Environment variables: `WRAP` is a command that starts each controller, with `{}` replaced by its label,
//! such as `WRAP="strace -c -f -o /tmp/{}.calls"` or `WRAP="perf record -g -o /tmp/{}.perf"`. `PROGRAM` is
//! another build of the controller, such as one with symbols. `POLICY` is a policy file.

mod support;

use std::process::Child;
use std::time::Duration;

use rushyoke_testkit::{job, service};
use rushyoke_wire::job::JobSpec;
use support::{NODE_COUNT, Setup, Testbed};
use tokio::time::sleep;

/// Runs the fleet for some seconds with `load` new jobs per second, and prints the resource usage every 20 s.
async fn run_load(seconds: u64, machines: u32, load: f64, task_s: f64) {
    let setup = Setup {
        // Workers report every 1.5 s on up to a thousand machines, and less often on more, since all fakes run
        // on one thread.
        report_interval: Duration::from_millis(1500) * machines.div_ceil(1000),
        worker_lease: Duration::from_secs(20),
        task_duration_s: task_s,
        boot_time: Duration::from_secs(8),
        capacity: machines,
        teams: vec![("red", 4000.0, f64::from(machines) * 16.0)],
        max_sockets: 1200.max(machines as usize * 3),
        max_memory_mb: 64.0 + f64::from(machines) / 8.0,
        policy_file: std::env::var_os("POLICY").map(Into::into),
    };
    let testbed = Testbed::start(setup, 0).await;
    let mut nodes: Vec<Child> = (0..NODE_COUNT).map(|node| testbed.start_controller(node)).collect();
    sleep(Duration::from_secs(2)).await;
    let mut id = 0;
    let mut due_jobs = 20.0;
    let mut last_usage = [(0.0, 0.0, 0.0); NODE_COUNT];
    let mut last_counts = (0, 0, 0, 0);
    for second in 1..=seconds {
        due_jobs += load;
        while due_jobs >= 1.0 {
            due_jobs -= 1.0;
            id += 1;
            let spec = if id % 6 == 0 {
                JobSpec { cpus: 2.0, ..service(id, 3) }
            } else {
                JobSpec { estimate_s: task_s, deadline_s: Some(90.0), ..job(id, 20 + id * 7 % 60) }
            };
            tokio::task::spawn_local(testbed.clone().run_user(id as usize % NODE_COUNT, spec));
        }
        sleep(Duration::from_secs(1)).await;
        if second % 20 == 0 {
            let requests = testbed.store.borrow().requests;
            let counts = (
                testbed.report_count.get(),
                testbed.direct_call_count.get(),
                testbed.user_request_count.get(),
                requests,
            );
            let rate = |now: u64, then: u64| (now - then) as f64 / 20.0;
            println!(
                "{second:4} s, {} machines: per second {:.0} reports, {:.0} direct calls, {:.0} user requests, {:.0} store requests",
                testbed.workers.borrow().len(),
                rate(counts.0, last_counts.0),
                rate(counts.1, last_counts.1),
                rate(counts.2, last_counts.2),
                rate(counts.3, last_counts.3),
            );
            last_counts = counts;
            for (node, child) in nodes.iter().enumerate() {
                let (user, kernel, memory_mb) = support::process_usage(child.id());
                let ms = |now: f64, then: f64| (now - then) * 1000.0 / 20.0;
                println!(
                    "       node-{node}: {:6.1} ms per second in user mode, {:6.1} in the kernel, {memory_mb:.1} MB",
                    ms(user, last_usage[node].0),
                    ms(kernel, last_usage[node].1)
                );
                last_usage[node] = (user, kernel, memory_mb);
            }
        }
    }
    support::stop_controllers(&mut nodes);
}

fn main() {
    let mut args = std::env::args().skip(1).filter_map(|arg| arg.parse::<f64>().ok());
    let seconds = args.next().unwrap_or(60.0) as u64;
    let machines = args.next().unwrap_or(337.0) as u32;
    let load = args.next().unwrap_or(0.6);
    let task_s = args.next().unwrap_or(30.0);
    support::block_on(run_load(seconds, machines, load, task_s));
}
