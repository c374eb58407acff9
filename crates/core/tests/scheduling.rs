//! Scenario tests of preemption, quotas, consolidation of replicas, and large jobs under overload.

use rushyoke_testkit::{World, job, secs, service};
use rushyoke_wire::job::Priority;

#[test]
fn a_service_preempts_tasks_of_lower_priority() {
    let mut world = World::settled(2);
    world.cloud.capacity = 2;
    let mut batch = job(1, 40);
    batch.team = "blue".into();
    world.submit(0, batch);
    world.run(secs(3));
    world.submit(0, service(2, 6));
    world.run(secs(3));
    assert_eq!(world.where_runs("wk-000002").len(), 6);
}

#[test]
fn a_team_at_its_quota_limit_preempts_its_own_lower_priority_tasks() {
    // Guards against jobs that wait for a backfill job of their own team to end, for a minute in one case,
    // while machines are idle: the team has reached its quota limit.
    let mut world = World::settled(6);
    world.workers.values_mut().for_each(|w| w.run_s = 300.0);
    // Exceeds the team's guaranteed quota, so that the more urgent job may preempt it.
    let mut backfill = job(1, 64);
    backfill.priority = Priority::BestEffort;
    world.submit(0, backfill);
    world.run(secs(3));
    assert_eq!(world.where_runs("wk-000001").len(), 64);
    world.submit(0, job(2, 10));
    world.run(secs(3));
    assert_eq!(world.where_runs("wk-000002").len(), 10);
    assert_eq!(world.where_runs("wk-000001").len(), 54);
}

#[test]
fn a_team_reclaims_its_guaranteed_quota_from_a_borrower() {
    let mut world = World::settled(3);
    world.cloud.capacity = 3;
    let mut borrower = job(1, 60);
    borrower.team = "blue".into();
    world.workers.values_mut().for_each(|w| w.run_s = 300.0);
    world.submit(0, borrower);
    world.run(secs(3));
    assert!(world.where_runs("wk-000001").len() > 32);
    world.submit(0, job(2, 16));
    world.run(secs(4));
    assert_eq!(world.where_runs("wk-000002").len(), 16);
    assert!(world.where_runs("wk-000001").len() >= 32, "blue lost tasks within its own guaranteed quota");
}

#[test]
fn replicas_are_consolidated_and_empty_machines_released() {
    // Guards against machines kept for one or two replicas each: on both large deployments they took a
    // third of the cost after the last submissions.
    let mut world = World::settled(3);
    world.cloud.capacity = 3;
    let service_with_cpus = |id, cpus| {
        let mut spec = service(id, 1);
        spec.cpus = cpus;
        spec
    };
    // A large service on each machine leaves resources for one small service beside it.
    for id in 1..4 {
        world.submit(0, service_with_cpus(id, 14.0));
    }
    world.run(secs(3));
    for id in 4..7 {
        world.submit(0, service_with_cpus(id, 2.0));
    }
    world.run(secs(3));
    let small_service_hosts = |world: &World| {
        let placements = (4..7).flat_map(|id| world.where_runs(&format!("wk-{id:06}")));
        placements.map(|(_, machine)| machine).collect::<Vec<_>>()
    };
    let hosts_before: std::collections::BTreeSet<_> = small_service_hosts(&world).into_iter().collect();
    assert_eq!(hosts_before.len(), 3);
    for id in 1..4 {
        world.cancel(0, &format!("wk-{id:06}"));
    }
    // A few replicas are moved only rarely, because a move interrupts them.
    world.run(secs(200));
    let hosts_after: std::collections::BTreeSet<_> = small_service_hosts(&world).into_iter().collect();
    assert!(small_service_hosts(&world).len() == 3 && hosts_after.len() == 2, "{hosts_after:?}");
    assert!(world.cloud.machines.len() <= 2, "{} machines", world.cloud.machines.len());
}

#[test]
fn the_largest_job_is_not_starved_under_sustained_overload() {
    let mut world = World::settled(2);
    world.cloud.capacity = 2;
    // Tasks that need more CPUs than any small task frees, with a deadline that cannot be met.
    let mut large = job(1, 12);
    large.cpus = 4.0;
    large.priority = Priority::BestEffort;
    large.deadline_s = Some(5.0);
    // More urgent small jobs of another team keep all machines full.
    let mut id = 100;
    let mut started_after = None;
    let mut submit_small = |world: &mut World| {
        for _ in 0..2 {
            let mut small = job(id, 16);
            small.team = "blue".into();
            world.submit(id as usize % 3, small);
            id += 1;
        }
    };
    (0..4).for_each(|_| submit_small(&mut world));
    world.submit(0, large);
    let submitted_at = world.now;
    for _ in 0..60 {
        submit_small(&mut world);
        world.run(secs(7));
        if started_after.is_none() && !world.where_runs("wk-000001").is_empty() {
            started_after = Some(world.now - submitted_at);
        }
    }
    assert!(started_after.is_some_and(|delay| delay <= secs(240)), "started after {started_after:?}");
    let done = world.status(0, "wk-000001").and_then(|s| s.1?.done).expect("a response");
    assert!(done >= 6, "{done} of 12 tasks done");
}
