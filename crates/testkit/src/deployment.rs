//! Platform facts of a small test deployment, and specifications of jobs for it.

use std::collections::BTreeMap;
use std::time::Duration;

use rushyoke_core::{Facts, Team};
use rushyoke_wire::job::{JobSpec, Kind, Priority};

/// Returns the platform facts of controller `node` in a small test deployment of `nodes` controllers.
pub fn facts(node: usize, nodes: usize) -> Facts {
    let label = |n: usize| format!("node-{n}");
    let team = |cpus, cpus_max| Team { cpus, cpus_max, gpus: 0.0, gpus_max: 0.0 };
    Facts {
        label: label(node),
        peers: (0..nodes).filter(|n| *n != node).map(label).collect(),
        controller_zones: BTreeMap::new(),
        teams: BTreeMap::from([("red".into(), team(32.0, 64.0)), ("blue".into(), team(32.0, 64.0))]),
        objectives: Vec::new(),
        report_interval: Duration::from_secs(2),
        worker_lease: Duration::from_secs(12),
        cancel_limit: Duration::from_secs(30),
        txn_ops: 16,
        value_bytes: 8192,
        write_rps: 150.0,
        cloud_list_lag: Duration::from_secs(4),
        cloud_rps: 4.0,
        max_direct_calls: 64,
        max_job_bytes: 8 << 20,
    }
}

/// Returns an array job of team red with the given number of one-CPU tasks.
pub fn job(id: u32, tasks: u32) -> JobSpec {
    JobSpec {
        id: format!("wk-{id:06}"),
        class: "array".into(),
        team: "red".into(),
        kind: Kind::Array,
        priority: Priority::Normal,
        tasks,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 2.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: "img".into(),
        image_gb: 1.0,
        estimate_s: 10.0,
        checkpoint_interval_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// Returns a production service of team red with the given number of one-CPU tasks.
pub fn service(id: u32, tasks: u32) -> JobSpec {
    JobSpec {
        class: "service".into(),
        kind: Kind::Service,
        priority: Priority::Production,
        spot: false,
        estimate_s: 0.0,
        ..job(id, tasks)
    }
}
