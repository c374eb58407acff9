//! Zones that return: around the lapse of their leases, by and by, and with what was drained.

use std::time::Duration;

use rushyoke_core::FailoverSettings;
use rushyoke_testkit::{Simulation, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, Priority};

use crate::support::*;

#[test]
fn a_zone_returns_just_before_at_and_after_the_lapse_of_its_leases() {
    // Leases of 12 s: reruns are not yet, being, or placed, and run, as it returns.
    for cut_ms in [5_000, 11_000, 12_000, 12_600, 13_200, 14_000, 16_000] {
        let mut simulation = at_work(12, on());
        let zone = zone_without_leader(&simulation);
        let all = running(&simulation);
        cut(&mut simulation, zone);
        simulation.run(millis(cut_ms));
        restore(&mut simulation);
        let before = simulation.started_tasks;
        let mut starts = watching(&mut simulation);
        starts.watch(&mut simulation, secs(30));
        assert_eq!(running(&simulation), all, "cut for {cut_ms} ms");
        assert!(starts.most(&[1, 2, 3, 4]) <= 1, "cut for {cut_ms} ms: begun twice since the return");
        // A report that was lost is followed by the next after 5 s.
        if cut_ms < 6_000 {
            assert_eq!(simulation.started_tasks, before, "a cut shorter than a lease cost work");
        }
        ends_well(&mut simulation);
    }
}

#[test]
fn what_runs_elsewhere_stays_there_when_its_zone_is_back() {
    let mut simulation = at_work(24, on());
    let zone = zone_without_leader(&simulation);
    cut(&mut simulation, zone);
    simulation.run(secs(30));
    let all = running(&simulation);
    let mut starts = watching(&mut simulation);
    restore(&mut simulation);
    starts.watch(&mut simulation, secs(100));
    assert_eq!((running(&simulation), starts.began.len()), (all, 0), "{:?}", starts.began);
    ends_well(&mut simulation);
}

/// Starts in a returned zone in each second, with more work waiting than fits.
fn refilled(settings: FailoverSettings, cuts: usize) -> Vec<usize> {
    let mut simulation = fleet(24, with(settings));
    for id in [3, 4] {
        let team = if id == 3 { "red" } else { "blue" }.to_owned();
        assert_eq!(simulation.submit(0, JobSpec { team, ..long(id, 190, Priority::Normal) }), Some(201));
    }
    simulation.run(secs(8));
    let zone = zone_without_leader(&simulation);
    for n in 0..cuts {
        cut(&mut simulation, zone);
        simulation.run(secs(16));
        restore(&mut simulation);
        if n + 1 < cuts {
            simulation.run(secs(14));
        }
    }
    let mut seconds = Vec::new();
    let mut starts = watching(&mut simulation);
    for _ in 0..60 {
        let before = starts.began.len();
        starts.watch(&mut simulation, secs(1));
        seconds.push(starts.began.len() - before);
    }
    assert_eq!(count(&simulation, 3) + count(&simulation, 4), 380, "{seconds:?}");
    ends_well(&mut simulation);
    seconds
}

#[test]
fn a_returned_zone_is_filled_by_and_by_and_the_slower_the_more_often_it_was_lost() {
    let until_full = |seconds: &[usize]| seconds.iter().rposition(|n| *n > 0).expect("it is filled");
    let slow = FailoverSettings { ramp_share: 0.05, ..FailoverSettings::default() };
    let first = refilled(slow.clone(), 1);
    let begin = first.iter().position(|n| *n > 0).expect("it is filled");
    // 128 CPUs: a twentieth each second at first, twice as much with each second.
    assert!(first[begin] <= 20 && first[begin..begin + 3].iter().sum::<usize>() <= 70, "{first:?}");
    let third = refilled(slow, 3);
    assert!(until_full(&third) > until_full(&first), "{first:?}, {third:?}");
}

#[test]
fn a_zone_that_is_heard_but_does_not_hear_is_lost_and_its_old_reports_prove_nothing() {
    for held in [false, true] {
        let mut simulation = at_work(24, on());
        let zone = zone_without_leader(&simulation);
        let there = machines_in(&simulation, ZONES[zone]);
        let all = running(&simulation);
        // Copies of their reports arrive longer than a lease later.
        simulation.duplicated_reports_after.extend(there.iter().map(|machine| (machine.clone(), secs(14))));
        if held {
            let until = simulation.now + secs(16);
            simulation.delayed_reports_until.extend(there.iter().map(|machine| (machine.clone(), until)));
        }
        simulation.lost_inbound.extend(there.iter().cloned());
        until_state(&mut simulation, zone, "lost", secs(10));
        simulation.run(secs(14));
        assert_eq!(running(&simulation), all, "held: {held}");
        simulation.lost_inbound.clear();
        simulation.delayed_reports_until.clear();
        simulation.run(secs(40));
        assert_eq!(running(&simulation), all);
        ends_well(&mut simulation);
    }
}

/// A machine that fails all tasks is quarantined, but the cloud does not take it back.
fn with_a_quarantined_machine() -> (Simulation, usize, String) {
    let mut simulation = fleet(12, on());
    let zone = zone_without_leader(&simulation);
    let faulty = machines_in(&simulation, ZONES[zone])[0].clone();
    simulation.workers.get_mut(&faulty).expect("up").fails_all_tasks = true;
    simulation.cloud.outage = true;
    for id in 10..16 {
        assert_eq!(simulation.submit(0, JobSpec { spot: false, ..job(id, 12) }), Some(201));
        simulation.run(secs(1));
    }
    simulation.run(secs(12));
    assert!(simulation.failed_tasks > 0, "it failed nothing");
    (simulation, zone, faulty)
}

#[test]
fn a_machine_that_was_quarantined_when_it_was_cut_off_is_so_under_the_next_leader() {
    let (mut simulation, zone, faulty) = with_a_quarantined_machine();
    cut(&mut simulation, zone);
    until_state(&mut simulation, zone, "lost", secs(8));
    assert!(
        simulation.store.rows[RECORD].0["drained"]["quarantined"].to_string().contains(&faulty),
        "it is not recorded"
    );
    simulation.run(secs(10));
    let leader = simulation.leader().expect("a leader");
    simulation.crash_node(leader);
    simulation.run(secs(5));
    simulation.start_node(leader);
    let failed = simulation.failed_tasks;
    restore(&mut simulation);
    simulation.run(secs(12));
    // More than all other machines take.
    assert_eq!(simulation.submit(0, long(30, 112, Priority::Normal)), Some(201));
    simulation.run(secs(20));
    assert_eq!(simulation.failed_tasks, failed, "it got work again");
    ends_well(&mut simulation);
}

#[test]
fn a_machine_that_was_retiring_when_it_was_cut_off_gets_no_work_that_fits_elsewhere() {
    let mut simulation = fleet(12, on());
    // One service on a machine; all others are more than enough.
    assert_eq!(simulation.submit(0, service(1, 6)), Some(201));
    simulation.run(secs(8));
    let zone = zone_without_leader(&simulation);
    cut(&mut simulation, zone);
    until_state(&mut simulation, zone, "lost", secs(8));
    let retiring = simulation.store.rows[RECORD].0["drained"]["retiring"].as_array().map_or(0, Vec::len);
    assert!(retiring > 0, "none is recorded as retiring");
    restore(&mut simulation);
    until_state(&mut simulation, zone, "returning", secs(10));
    let mut starts = watching(&mut simulation);
    let leader = simulation.leader().expect("a leader");
    assert_eq!(simulation.submit(leader, long(3, 16, Priority::Normal)), Some(201));
    starts.watch(&mut simulation, secs(8));
    let there = machines_in(&simulation, ZONES[zone]);
    let on_them = starts.began.iter().filter(|(.., machine)| there.contains(machine)).count();
    assert!(count(&simulation, 3) == 16 && on_them <= 16 - 16 * 2 / 3, "{on_them} tasks went to machines that retire");
    ends_well(&mut simulation);
}

#[test]
fn careful_work_keeps_off_a_zone_on_probation_while_there_is_room_elsewhere() {
    let mut simulation = fleet(12, on());
    let zone = zone_without_leader(&simulation);
    cut(&mut simulation, zone);
    simulation.run(secs(20));
    restore(&mut simulation);
    simulation.run(secs(20));
    assert_eq!(recorded_state(&simulation, zone), "returning");
    let there = machines_in(&simulation, ZONES[zone]);
    let leader = simulation.leader().expect("a leader");
    assert_eq!(simulation.submit(leader, service(1, 40)), Some(201));
    simulation.run(secs(4));
    let inside = |simulation: &Simulation, id| {
        simulation.running_tasks(&job_id(id)).iter().filter(|(_, m)| there.contains(m)).count()
    };
    assert_eq!((count(&simulation, 1), inside(&simulation, 1)), (40, 0));
    // Nothing but that zone has room for all of the next.
    assert_eq!(simulation.submit(leader, JobSpec { team: "blue".into(), ..service(2, 100) }), Some(201));
    simulation.run(secs(6));
    assert_eq!(count(&simulation, 2), 100);
    ends_well(&mut simulation);
}

#[test]
fn operators_hold_a_zone_out_and_let_one_in_at_once() {
    let held_out = FailoverSettings { excluded_zones: ["b".to_owned()].into(), ..FailoverSettings::default() };
    let mut simulation = fleet(12, with(held_out));
    let there = machines_in(&simulation, "b");
    assert_eq!(simulation.submit(0, long(3, 128, Priority::Normal)), Some(201));
    simulation.run(secs(8));
    assert_eq!(count(&simulation, 3), 128);
    assert!(
        simulation.running_tasks(&job_id(3)).iter().all(|(_, machine)| !there.contains(machine)),
        "held out in vain"
    );
    ends_well(&mut simulation);

    let zones = ZONES.map(str::to_owned);
    let admitted = FailoverSettings { admitted_zones: zones.into(), ..FailoverSettings::default() };
    let mut simulation = at_work(12, with(admitted));
    let zone = zone_without_leader(&simulation);
    cut(&mut simulation, zone);
    until_state(&mut simulation, zone, "lost", secs(8));
    restore(&mut simulation);
    let took = until_state(&mut simulation, zone, "healthy", secs(8));
    assert!(took < Duration::from_secs(8));
    ends_well(&mut simulation);
}
