//! Who gets room: services, guarantees, limits, and the largest job under overload.

use rushyoke_testkit::{World, job, secs, service};
use rushyoke_wire::job::Priority;

#[test]
fn a_service_takes_room_from_work_of_lower_priority() {
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
fn a_team_at_its_limit_stops_its_own_work_of_lower_priority() {
    // Found on herve's quiet day: route sheets waited a minute for a backfill of their
    // own team to end, while machines stood free.
    let mut world = World::settled(6);
    world.workers.values_mut().for_each(|w| w.run_s = 300.0);
    // Beyond its guarantee, so that the more urgent job may stop it.
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
fn a_guarantee_takes_back_what_others_borrowed() {
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
    assert!(world.where_runs("wk-000001").len() >= 32, "blue keeps its own guarantee");
}

#[test]
fn replicas_left_on_many_machines_are_gathered_and_the_rest_returned() {
    // Found on both grown deployments: after the last submissions a third of the money went
    // to machines that held one replica or two each.
    let mut world = World::settled(3);
    world.cloud.capacity = 3;
    let sized = |id, cpus| {
        let mut spec = service(id, 1);
        spec.cpus = cpus;
        spec
    };
    // Large services, one on each machine, leave room for a small one beside each.
    for id in 1..4 {
        world.submit(0, sized(id, 14.0));
    }
    world.run(secs(3));
    for id in 4..7 {
        world.submit(0, sized(id, 2.0));
    }
    world.run(secs(3));
    let hosts = |world: &World| {
        let places = (4..7).flat_map(|id| world.where_runs(&format!("wk-{id:06}")));
        places.map(|(_, machine)| machine).collect::<Vec<_>>()
    };
    let apart: std::collections::BTreeSet<_> = hosts(&world).into_iter().collect();
    assert_eq!(apart.len(), 3);
    for id in 1..4 {
        world.cancel(0, &format!("wk-{id:06}"));
    }
    // Few replicas are moved seldom, for the sake of their time.
    world.run(secs(200));
    let after: std::collections::BTreeSet<_> = hosts(&world).into_iter().collect();
    assert!(hosts(&world).len() == 3 && after.len() == 2, "{after:?}");
    assert!(world.cloud.machines.len() <= 2, "{} machines", world.cloud.machines.len());
}

#[test]
fn under_lasting_overload_the_largest_job_begins_and_ends() {
    let mut world = World::settled(2);
    world.cloud.capacity = 2;
    // Wide tasks that no small one makes room for, already too late for their aim.
    let mut large = job(1, 12);
    large.cpus = 4.0;
    large.priority = Priority::BestEffort;
    large.deadline_s = Some(5.0);
    // Small, more urgent jobs of another team fill all machines all the time.
    let mut id = 100;
    let mut begun = None;
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
    let from = world.now;
    for _ in 0..60 {
        submit_small(&mut world);
        world.run(secs(7));
        if begun.is_none() && !world.where_runs("wk-000001").is_empty() {
            begun = Some(world.now - from);
        }
    }
    assert!(begun.is_some_and(|after| after <= secs(240)), "begun after {begun:?}");
    let done = world.status(0, "wk-000001").and_then(|s| s.1?.done).expect("an answer");
    assert!(done >= 6, "{done} of 12 tasks done");
}
