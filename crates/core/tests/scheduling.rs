//! Who gets room: services, guarantees, limits, and the largest job under overload.

use rushyoke_testkit::{Simulation, job, secs, service};
use rushyoke_wire::job::Priority;

#[test]
fn a_service_takes_room_from_work_of_lower_priority() {
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
fn a_team_at_its_limit_stops_its_own_work_of_lower_priority() {
    // Found on herve's quiet day: route sheets waited a minute for a backfill of their
    // own team to end, while machines stood free.
    let mut simulation = Simulation::with_elected_leader(6);
    simulation.workers.values_mut().for_each(|w| w.task_duration_s = 300.0);
    // Beyond its guarantee, so that the more urgent job may stop it.
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
fn a_guarantee_takes_back_what_others_borrowed() {
    let mut simulation = Simulation::with_elected_leader(3);
    simulation.cloud.capacity = 3;
    let mut borrower = job(1, 60);
    borrower.team = "blue".into();
    simulation.workers.values_mut().for_each(|w| w.task_duration_s = 300.0);
    simulation.submit(0, borrower);
    simulation.run(secs(3));
    assert!(simulation.running_tasks("wk-000001").len() > 32);
    simulation.submit(0, job(2, 16));
    simulation.run(secs(4));
    assert_eq!(simulation.running_tasks("wk-000002").len(), 16);
    assert!(simulation.running_tasks("wk-000001").len() >= 32, "blue keeps its own guarantee");
}

#[test]
fn replicas_left_on_many_machines_are_gathered_and_the_rest_returned() {
    // Found on both grown deployments: after the last submissions a third of the money went
    // to machines that held one replica or two each.
    let mut simulation = Simulation::with_elected_leader(3);
    simulation.cloud.capacity = 3;
    let sized = |id, cpus| {
        let mut spec = service(id, 1);
        spec.cpus = cpus;
        spec
    };
    // Large services, one on each machine, leave room for a small one beside each.
    for id in 1..4 {
        simulation.submit(0, sized(id, 14.0));
    }
    simulation.run(secs(3));
    for id in 4..7 {
        simulation.submit(0, sized(id, 2.0));
    }
    simulation.run(secs(3));
    let hosts = |simulation: &Simulation| {
        let places = (4..7).flat_map(|id| simulation.running_tasks(&format!("wk-{id:06}")));
        places.map(|(_, machine)| machine).collect::<Vec<_>>()
    };
    let apart: std::collections::BTreeSet<_> = hosts(&simulation).into_iter().collect();
    assert_eq!(apart.len(), 3);
    for id in 1..4 {
        simulation.cancel(0, &format!("wk-{id:06}"));
    }
    // Few replicas are moved seldom, for the sake of their time.
    simulation.run(secs(200));
    let after: std::collections::BTreeSet<_> = hosts(&simulation).into_iter().collect();
    assert!(hosts(&simulation).len() == 3 && after.len() == 2, "{after:?}");
    assert!(simulation.cloud.machines.len() <= 2, "{} machines", simulation.cloud.machines.len());
}

#[test]
fn under_lasting_overload_the_largest_job_begins_and_ends() {
    let mut simulation = Simulation::with_elected_leader(2);
    simulation.cloud.capacity = 2;
    // Wide tasks that no small one makes room for, already too late for their aim.
    let mut large = job(1, 12);
    large.cpus = 4.0;
    large.priority = Priority::BestEffort;
    large.deadline_s = Some(5.0);
    // Small, more urgent jobs of another team fill all machines all the time.
    let mut id = 100;
    let mut begun = None;
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
    let from = simulation.now;
    for _ in 0..60 {
        submit_small(&mut simulation);
        simulation.run(secs(7));
        if begun.is_none() && !simulation.running_tasks("wk-000001").is_empty() {
            begun = Some(simulation.now - from);
        }
    }
    assert!(begun.is_some_and(|after| after <= secs(240)), "begun after {begun:?}");
    let done = simulation.status(0, "wk-000001").and_then(|s| s.1?.done).expect("an answer");
    assert!(done >= 6, "{done} of 12 tasks done");
}
