//! The controllers of the testbed: their settings, processes and what they use.

use std::process::{Child, Command};

use super::{CLOUD_ADDRESS, NODE_COUNT, STORE_ADDRESS, Setup, Testbed, public_address};

impl Testbed {
    /// Starts a controller's process. The environment variables `WRAP` and `PROGRAM` replace its command line in part,
    /// as the `loopback` example describes.
    pub fn start_controller(&self, node: usize) -> Child {
        let file = std::env::temp_dir().join(format!("rushyoke-loopback-{node}.toml"));
        std::fs::write(&file, settings(node, &self.setup)).expect("a file can be written");
        let wrap = std::env::var("WRAP").unwrap_or_default();
        let program = std::env::var("PROGRAM").unwrap_or("target/release/rushyoke".into());
        let command_line = wrap.replace("{}", &format!("node-{node}"));
        let mut words = command_line.split_whitespace().chain([program.as_str(), "--config"]);
        let mut command = Command::new(words.next().expect("a program"));
        command.args(words).arg(&file);
        if let Some(policy) = &self.setup.policy_file {
            command.arg("--policy").arg(policy);
        }
        command.spawn().expect("the program is built (cargo build --release)")
    }
}

/// Returns the text of a controller's settings file.
fn settings(node: usize, setup: &Setup) -> String {
    let mut text = format!(
        "label = \"node-{node}\"\nlocation = \"a\"\npublic_addr = \"{}\"\npeer_bind = \"127.0.0.{}:8081\"\n",
        public_address(node),
        10 + node
    );
    for other in (0..NODE_COUNT).filter(|other| *other != node) {
        let endpoint = format!("127.0.0.{}:8081", 10 + other);
        text += &format!("[[others]]\nlabel = \"node-{other}\"\nlocation = \"a\"\nendpoint = \"{endpoint}\"\n");
    }
    text += &format!("[outside]\ncloud = \"{CLOUD_ADDRESS}\"\nstate = \"{STORE_ADDRESS}\"\n");
    for (team, cpus, cpus_max) in &setup.teams {
        text += &format!("[[facts.teams]]\nname = \"{team}\"\ncpus = {cpus:.1}\ncpus_max = {cpus_max:.1}\n");
    }
    let (report_s, lease_s) = (setup.report_interval.as_secs_f64(), setup.worker_lease.as_secs_f64());
    text += &format!("[facts.workers]\nreport_s = {report_s:.1}\nlease_s = {lease_s:.1}\n");
    text += &format!("cancel_s = {:.1}\n", lease_s * 2.0);
    text += "[facts.state]\nrps = 300.0\nwrite_rps = 100.0\nvalue_kb = 8.0\ntxn_ops = 16\n";
    text += "[facts.cloud]\nrps = 4.0\nlist_lag_s = 5.0\n";
    text += &format!("[facts.quota]\nmax_sockets = {}\nmem_mb = {:.1}\n", setup.max_sockets, setup.max_memory_mb);
    text
}

/// Returns the processor time in user mode and in the kernel, in seconds, and the memory in MB of a process
/// and its children.
pub fn process_usage(pid: u32) -> (f64, f64, f64) {
    let children = std::fs::read_to_string(format!("/proc/{pid}/task/{pid}/children")).unwrap_or_default();
    let child_usages = children.split_whitespace().filter_map(|child| child.parse().ok()).map(process_usage);
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
    let seconds = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0) / 100.0;
    let own_usage =
        (seconds(11), seconds(12), fields.get(21).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0) * 4096.0 / 1e6);
    child_usages.fold(own_usage, |sum, child| (sum.0 + child.0, sum.1 + child.1, sum.2.max(child.2)))
}

/// Stops the controllers. Of a controller that runs under a tracer, only the controller is sent the signal, so
/// that the tracer exits by itself and writes its summary.
pub fn stop_controllers(nodes: &mut [Child]) {
    for child in nodes {
        let children = std::fs::read_to_string(format!("/proc/{0}/task/{0}/children", child.id())).unwrap_or_default();
        let pid = children.split_whitespace().next().map_or(child.id().to_string(), str::to_owned);
        let _ = Command::new("kill").args(["-TERM", &pid]).status();
        let _ = child.wait();
    }
}
