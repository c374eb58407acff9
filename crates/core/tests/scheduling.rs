//! Scenario tests of preemption, quotas, consolidation of replicas, and large jobs under overload.

use rushyoke_testkit::{Simulation, job, secs, service};
use rushyoke_wire::job::Priority;

#[test]
fn a_service_preempts_tasks_of_lower_priority() {
    let mut simulation = Simulation::with_elected_leader(2);
    simulation.cloud.capacity = 2;
    let mut batch = job(1, 40);
    batch.team = "blue".into();
    simulation.submit(0, batch);
    simulation.run(secs(3));
    simulation.submit(0, service(2, 6));
    simulation.run(secs(3));
    assert_eq!(simulation.running_tasks("wk-000002").len(), 6);
}

#[test]
fn a_team_at_its_quota_limit_preempts_its_own_lower_priority_tasks() {
    // Guards against jobs that wait while machines are idle, for a minute in one case, because a backfill job of
    // their own team has used up the quota limit.
    let mut simulation = Simulation::with_elected_leader(6);
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 300.0);
    // Exceeds the team's guaranteed quota, so that the more urgent job may preempt it.
    let mut backfill = job(1, 64);
    backfill.priority = Priority::BestEffort;
    simulation.submit(0, backfill);
    simulation.run(secs(3));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 64);
    simulation.submit(0, job(2, 10));
    simulation.run(secs(3));
    assert_eq!(simulation.running_tasks("wk-000002").len(), 10);
    assert_eq!(simulation.running_tasks("wk-000001").len(), 54);
}

#[test]
fn a_team_reclaims_its_guaranteed_quota_from_a_borrower() {
    let mut simulation = Simulation::with_elected_leader(3);
    simulation.cloud.capacity = 3;
    let mut borrower = job(1, 60);
    borrower.team = "blue".into();
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 300.0);
    simulation.submit(0, borrower);
    simulation.run(secs(3));
    assert!(simulation.running_tasks("wk-000001").len() > 32);
    simulation.submit(0, job(2, 16));
    simulation.run(secs(4));
    assert_eq!(simulation.running_tasks("wk-000002").len(), 16);
    assert!(simulation.running_tasks("wk-000001").len() >= 32, "blue lost tasks within its own guaranteed quota");
}

#[test]
fn replicas_are_consolidated_and_empty_machines_released() {
    // Guards against machines kept for one or two replicas each: on both large deployments they took a
    // third of the cost after the last submissions.
    let mut simulation = Simulation::with_elected_leader(3);
    simulation.cloud.capacity = 3;
    let service_with_cpus = |id, cpus| {
        let mut spec = service(id, 1);
        spec.cpus = cpus;
        spec
    };
    // A large service on each machine leaves resources for one small service beside it.
    for id in 1..4 {
        simulation.submit(0, service_with_cpus(id, 14.0));
    }
    simulation.run(secs(3));
    for id in 4..7 {
        simulation.submit(0, service_with_cpus(id, 2.0));
    }
    simulation.run(secs(3));
    let small_service_hosts = |simulation: &Simulation| {
        let placements = (4..7).flat_map(|id| simulation.running_tasks(&format!("wk-{id:06}")));
        placements.map(|(_, machine)| machine).collect::<Vec<_>>()
    };
    let hosts_before: std::collections::BTreeSet<_> = small_service_hosts(&simulation).into_iter().collect();
    assert_eq!(hosts_before.len(), 3);
    for id in 1..4 {
        simulation.cancel(0, &format!("wk-{id:06}"));
    }
    // A few replicas are moved only rarely, because a move interrupts them.
    simulation.run(secs(200));
    let hosts_after: std::collections::BTreeSet<_> = small_service_hosts(&simulation).into_iter().collect();
    assert!(small_service_hosts(&simulation).len() == 3 && hosts_after.len() == 2, "{hosts_after:?}");
    assert!(simulation.cloud.machines.len() <= 2, "{} machines", simulation.cloud.machines.len());
}

#[test]
fn the_largest_job_is_not_starved_under_sustained_overload() {
    let mut simulation = Simulation::with_elected_leader(2);
    simulation.cloud.capacity = 2;
    // Tasks that need more CPUs than any small task frees, with a deadline that cannot be met.
    let mut large = job(1, 12);
    large.cpus = 4.0;
    large.priority = Priority::BestEffort;
    large.deadline_s = Some(5.0);
    // More urgent small jobs of another team keep all machines full.
    let mut id = 100;
    let mut started_after = None;
    let mut submit_small = |simulation: &mut Simulation| {
        for _ in 0..2 {
            let mut small = job(id, 16);
            small.team = "blue".into();
            simulation.submit(id as usize % 3, small);
            id += 1;
        }
    };
    (0..4).for_each(|_| submit_small(&mut simulation));
    simulation.submit(0, large);
    let submitted_at = simulation.now;
    for _ in 0..60 {
        submit_small(&mut simulation);
        simulation.run(secs(7));
        if started_after.is_none() && !simulation.running_tasks("wk-000001").is_empty() {
            started_after = Some(simulation.now - submitted_at);
        }
    }
    assert!(started_after.is_some_and(|delay| delay <= secs(240)), "started after {started_after:?}");
    let done = simulation.status(0, "wk-000001").and_then(|response| response.1?.done).expect("a response");
    assert!(done >= 6, "{done} of 12 tasks done");
}
