//! Zones that are lost: the verdict, the order of placement, and what waits.

use std::collections::BTreeMap;
use std::time::Duration;

use rushyoke_core::{FailoverSettings, Policy, Tier};
use rushyoke_testkit::{Simulation, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus, Priority};

use crate::support::*;

#[test]
fn a_lost_zone_is_judged_within_seconds_and_its_work_runs_elsewhere() {
    for policy in [on(), off()] {
        let judged = policy.failover.is_some();
        let mut simulation = at_work(12, policy);
        let zone = zone_without_leader(&simulation);
        cut(&mut simulation, zone);
        if judged {
            let took = until_state(&mut simulation, zone, "lost", secs(7));
            // Overdue after 2.8 s, a call that fails after 1.5 s, and the time to confirm.
            assert!(took > secs(3), "judged too early: {took:?}");
        }
        let all = running(&simulation);
        simulation.run(secs(35));
        assert!(running(&simulation) >= all, "{} of {all} run", running(&simulation));
        assert_eq!(simulation.store.rows.contains_key(RECORD), judged);
        restore(&mut simulation);
        ends_well(&mut simulation);
    }
}

#[test]
fn single_machines_that_die_and_a_half_cut_zone_are_not_lost() {
    let mut simulation = at_work(24, on());
    let zone = zone_without_leader(&simulation);
    let there = machines_in(&simulation, ZONES[zone]);
    simulation.workers.remove(&there[0]);
    simulation.run(secs(20));
    assert_eq!(recorded_state(&simulation, zone), "healthy");
    // Five of the seven that are left: suspected, but what answers keeps its work.
    simulation.partitioned_machines.extend(there[1..6].iter().cloned());
    simulation.run(secs(9));
    assert_eq!(recorded_state(&simulation, zone), "suspect");
    let kept: Vec<&String> = there[6..].iter().collect();
    assert!(kept.iter().all(|name| simulation.workers[*name].session == 1), "a machine in reach lost its lease");
    ends_well(&mut simulation);
    assert_eq!(recorded(&simulation, zone), None);
}

#[test]
fn a_deployment_of_one_zone_and_a_leader_cut_off_from_most_judge_nothing() {
    let mut simulation = Simulation::with_facts(deployment(), 6, on(), &["a"]);
    simulation.run(secs(6));
    assert_eq!(simulation.submit(0, service(1, 12)), Some(201));
    simulation.run(secs(3));
    let machines: Vec<String> = simulation.workers.keys().cloned().collect();
    simulation.partitioned_machines.extend(machines);
    simulation.run(secs(9));
    assert!(!simulation.store.rows.contains_key(RECORD), "a fleet of one zone was judged");
    ends_well(&mut simulation);
}

/// Starts of a later tier while an earlier one waited: all tasks here fit on any machine. `lost` has what each
/// job lost with the zone; nothing waits before the leases end, at `from`.
fn inversions(starts: &Starts, order: &[u32], lost: &BTreeMap<u32, usize>, from: Duration) -> usize {
    let mut inverted = 0;
    for (n, earlier) in order.iter().enumerate().filter(|(_, id)| lost.get(id).is_some_and(|tasks| *tasks > 0)) {
        let whole = starts.of(*earlier) >= lost[earlier];
        let waited_until = starts.span(*earlier).map(|(_, last)| last).filter(|_| whole);
        for later in &order[n + 1..] {
            let prefix = format!("{}/", job_id(*later));
            let began = starts.began.iter().filter(|(_, task, _)| task.starts_with(&prefix));
            let began = began.filter(|(at, ..)| *at >= from);
            inverted += began.filter(|(at, ..)| waited_until.is_none_or(|until| *at < until)).count();
        }
    }
    inverted
}

#[test]
fn work_of_a_lost_zone_is_placed_by_tiers_with_room_for_a_part_only() {
    // By priority, and by the tiers that operators name, against the priorities.
    let named = |name: &str, class: &str| Tier { name: name.into(), classes: vec![class.into()] };
    let tiers = vec![named("first", "reruns"), named("second", "sheets")];
    let by_name = FailoverSettings { tiers, ..FailoverSettings::default() };
    // The whole fleet is full: a third of it is lost.
    let jobs =
        [(3, 88, "sheets", Priority::High), (4, 88, "reruns", Priority::Normal), (5, 16, "lab", Priority::BestEffort)];
    for (policy, order) in [(on(), [3, 4, 5]), (with(by_name), [4, 3, 5])] {
        // Few machines are weighed at a time, as in a large fleet.
        let mut simulation = fleet(12, Policy { placement_sample: 2, ..policy });
        for (id, tasks, class, priority) in jobs {
            let team = if id == 4 { "red" } else { "blue" }.to_owned();
            let spec = JobSpec { class: class.into(), team, ..long(id, tasks, priority) };
            assert_eq!(simulation.submit(0, spec), Some(201));
        }
        simulation.run(secs(10));
        let zone = zone_without_leader(&simulation);
        let there = machines_in(&simulation, ZONES[zone]);
        let inside =
            |id: u32| simulation.running_tasks(&job_id(id)).iter().filter(|(_, on)| there.contains(on)).count();
        let lost: BTreeMap<u32, usize> = order.iter().map(|id| (*id, inside(*id))).collect();
        cut(&mut simulation, zone);
        // Leases of 12 s, renewed 2 s before at the most.
        let leases_end = simulation.now + secs(10);
        let mut starts = watching(&mut simulation);
        // The leases end; a burst of the last tier comes just then.
        starts.watch(&mut simulation, secs(9));
        assert_eq!(
            simulation.submit(simulation.leader().expect("a leader"), long(6, 60, Priority::BestEffort)),
            Some(201)
        );
        starts.watch(&mut simulation, secs(22));
        let all: usize = order.iter().map(|id| count(&simulation, *id)).sum();
        assert_eq!(all, 128, "room elsewhere stays unused");
        let regained = count(&simulation, order[0]) + lost[&order[0]] - 88;
        assert!(lost[&order[0]] > 20 && regained >= 8, "{regained} of {lost:?} of the first tier run again");
        assert_eq!(inversions(&starts, &order, &lost, leases_end), 0, "{:?}", starts.began);
        let with_burst = [order[0], order[1], 6];
        assert_eq!(inversions(&starts, &with_burst, &lost, leases_end), 0, "a burst of the last tier went first");
        // There is no room for all of it in the whole fleet.
        let leader = simulation.leader().expect("a leader");
        assert!(simulation.cancel(leader, &job_id(6)).is_some());
        restore(&mut simulation);
        ends_well(&mut simulation);
    }
}

#[test]
fn what_cannot_go_elsewhere_waits_in_nobodys_way_and_is_not_lost() {
    let mut simulation = fleet(12, on());
    let zone = zone_without_leader(&simulation);
    let bound = JobSpec { zone: Some(ZONES[zone].into()), ..long(3, 12, Priority::High) };
    assert_eq!(simulation.submit(0, bound.clone()), Some(201));
    assert_eq!(simulation.submit(0, long(4, 40, Priority::BestEffort)), Some(201));
    // So many more that their turns alone would use up a pass.
    simulation.run(secs(6));
    cut(&mut simulation, zone);
    let leader = simulation.leader().expect("a leader");
    for id in 100..180 {
        let one = JobSpec { zone: Some(ZONES[zone].into()), cpus: 0.5, ..long(id, 1, Priority::High) };
        assert_eq!(simulation.submit(leader, one), Some(201));
    }
    simulation.run(secs(20));
    assert_eq!(count(&simulation, 4), 40, "the lower tier waits behind what is bound to the lost zone");
    assert_eq!(count(&simulation, 3), 0);
    let fresh = JobSpec { one_zone: true, ..long(5, 20, Priority::Normal) };
    assert_eq!(simulation.submit(leader, fresh), Some(201));
    simulation.run(secs(4));
    assert_eq!(count(&simulation, 5), 20, "a job that must be together chose the lost zone");
    restore(&mut simulation);
    simulation.run(secs(25));
    assert_eq!(count(&simulation, 3), 12, "it is not lost");
    ends_well(&mut simulation);
}

#[test]
fn machines_are_rented_when_the_zone_is_lost_and_no_more_once_it_is_back() {
    for (cut_s, expected) in [(7, false), (30, true)] {
        let mut simulation = at_work(12, on());
        simulation.cloud.capacity = 40;
        let zone = zone_without_leader(&simulation);
        let before = simulation.cloud.machines.len();
        cut(&mut simulation, zone);
        simulation.run(secs(cut_s));
        let during = simulation.cloud.machines.len();
        assert!(during > before || !expected, "no machines were rented in {cut_s} s");
        let elsewhere = simulation.cloud.machines.iter().skip(before).all(|(_, rented)| rented.zone != ZONES[zone]);
        assert!(elsewhere, "machines were rented in the lost zone");
        restore(&mut simulation);
        simulation.run(secs(12));
        assert!(simulation.cloud.machines.len() <= during, "machines were rented after the return");
        ends_well(&mut simulation);
    }
}

#[test]
fn a_task_at_its_bound_waits_for_the_word_of_its_zone_or_a_confirmed_return() {
    let settings = FailoverSettings {
        max_reruns: BTreeMap::from([("settlement".to_owned(), 0)]),
        machine_retention: secs(40),
        ..FailoverSettings::default()
    };
    for returns in [true, false] {
        let mut simulation = fleet(12, with(settings.clone()));
        let settlement = JobSpec { class: "settlement".into(), ..long(3, 36, Priority::Normal) };
        assert_eq!(simulation.submit(0, settlement), Some(201));
        assert_eq!(simulation.submit(1, long(4, 36, Priority::Normal)), Some(201));
        simulation.run(secs(6));
        let zone = zone_without_leader(&simulation);
        let there = machines_in(&simulation, ZONES[zone]);
        let lost = simulation.running_tasks(&job_id(3)).iter().filter(|(_, machine)| there.contains(machine)).count();
        assert!(lost > 0);
        cut(&mut simulation, zone);
        simulation.run(secs(30));
        // The leases are over, and there is room elsewhere.
        assert_eq!((count(&simulation, 3), count(&simulation, 4)), (36 - lost, 36), "begun anew beyond the bound");
        if returns {
            restore(&mut simulation);
            simulation.run(secs(12));
        } else {
            // The machines are returned to the cloud in the end, which proves them empty.
            simulation.run(secs(40));
        }
        assert_eq!(count(&simulation, 3), 36, "returns: {returns}");
        ends_well(&mut simulation);
    }
}

#[test]
fn counts_of_reruns_outlive_leaders() {
    let settings = FailoverSettings {
        max_reruns: BTreeMap::from([("settlement".to_owned(), 1)]),
        machine_retention: secs(60),
        ..FailoverSettings::default()
    };
    let mut simulation = fleet(12, with(settings));
    assert_eq!(
        simulation.submit(0, JobSpec { class: "settlement".into(), ..long(3, 60, Priority::Normal) }),
        Some(201)
    );
    simulation.run(secs(6));
    let mut starts = watching(&mut simulation);
    for round in 0..3 {
        let leader = simulation.leader().expect("a leader");
        let zone = (leader + 1 + round % 2) % 3;
        cut(&mut simulation, zone);
        starts.watch(&mut simulation, secs(20));
        simulation.crash_node(leader);
        starts.watch(&mut simulation, secs(8));
        simulation.start_node(leader);
        restore(&mut simulation);
        starts.watch(&mut simulation, secs(30));
    }
    // Each task may begin once before a bound holds; beyond it the machine's own word lets it begin.
    assert_eq!(count(&simulation, 3), 60);
    let counted = simulation.store.rows.iter().filter(|(key, _)| key.starts_with("log/") || key.starts_with("task/"));
    let counted = counted.filter(|(_, row)| row.0.to_string().contains("zone_reruns")).count();
    assert!(counted > 0, "no count is durable");
    ends_well(&mut simulation);
}

#[test]
fn cancellations_and_kept_results_among_the_cut_are_settled() {
    let mut simulation = at_work(12, on());
    // A job whose tasks end while their zone is cut off: its results are kept and taken.
    for worker in simulation.workers.values_mut() {
        worker.task_duration_s = 14.0;
    }
    assert_eq!(simulation.submit(0, JobSpec { estimate_s: 14.0, ..job(5, 24) }), Some(201));
    simulation.run(secs(11));
    let zone = zone_without_leader(&simulation);
    let leader = simulation.leader().expect("a leader");
    let began = simulation.started_tasks;
    cut(&mut simulation, zone);
    simulation.run(secs(2));
    assert_eq!(
        simulation.cancel(leader, &job_id(3)).and_then(|(_, view)| view).map(|view| view.state),
        Some(JobStatus::Cancelled)
    );
    // Shorter than it takes for a lease to end.
    simulation.run(millis(2500));
    restore(&mut simulation);
    simulation.run(secs(12));
    assert_eq!(simulation.job_state(0, &job_id(5)), Some(JobStatus::Done), "a kept result was not taken");
    assert_eq!(simulation.started_tasks, began, "what had ended was run again");
    assert_eq!(count(&simulation, 3), 0);
    simulation.run(millis(100));
    ends_well(&mut simulation);
}
