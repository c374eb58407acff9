//! Plays a fleet around the real program over loopback, in real time, and prints what the
//! processes cost: processor time in their own code and in the kernel, memory, requests.
//!
//!     cargo build --release
//!     cargo run --release -p rushyoke-testkit --example loopback -- [SECONDS] [MACHINES] [LOAD] [TASK_S]
//!
//! `WRAP` names a program to start each controller with, `{}` standing for its label, such as
//! `WRAP="strace -c -f -o /tmp/{}.calls"` or `WRAP="perf record -g -o /tmp/{}.perf"`; `PROGRAM` another
//! build of the program, such as one with its symbols; `POLICY` the operators' file.

mod support;

use std::process::Child;
use std::time::Duration;

use rushyoke_testkit::{job, service};
use rushyoke_wire::job::JobSpec;
use support::{NODE_COUNT, Setup, Testbed};
use tokio::time::sleep;

async fn play(seconds: u64, machines: u32, load: f64, task_s: f64) {
    let setup = Setup {
        // A report each 1.5 s to about a thousand machines, fewer beyond: the stand-ins are one thread.
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
    let mut due = 20.0;
    let mut before = [(0.0, 0.0, 0.0); NODE_COUNT];
    let mut counts = (0, 0, 0, 0);
    for second in 1..=seconds {
        due += load;
        while due >= 1.0 {
            due -= 1.0;
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
            let now = (
                testbed.report_count.get(),
                testbed.direct_call_count.get(),
                testbed.user_request_count.get(),
                requests,
            );
            let rate = |now: u64, then: u64| (now - then) as f64 / 20.0;
            println!(
                "{second:4} s, {} machines: a second {:.0} reports, {:.0} direct orders, {:.0} users' requests, {:.0} store",
                testbed.workers.borrow().len(),
                rate(now.0, counts.0),
                rate(now.1, counts.1),
                rate(now.2, counts.2),
                rate(now.3, counts.3),
            );
            counts = now;
            for (node, child) in nodes.iter().enumerate() {
                let (own, kernel, mb) = support::process_usage(child.id());
                let ms = |now: f64, then: f64| (now - then) * 1000.0 / 20.0;
                println!(
                    "       node-{node}: {:6.1} ms a second in its own code, {:6.1} in the kernel, {mb:.1} MB",
                    ms(own, before[node].0),
                    ms(kernel, before[node].1)
                );
                before[node] = (own, kernel, mb);
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
    support::block_on(play(seconds, machines, load, task_s));
}
