//! Zones that return: around the lapse of their leases, by and by, and with what was drained.

use std::time::Duration;

use rushyoke_core::FailoverSettings;
use rushyoke_testkit::{World, job, job_id, millis, secs, service};
use rushyoke_wire::job::{JobSpec, Priority};

use crate::support::*;

#[test]
fn a_zone_returns_just_before_at_and_after_the_lapse_of_its_leases() {
    // Leases of 12 s: reruns are not yet, being, or placed, and run, as it returns.
    for cut_ms in [5_000, 11_000, 12_000, 12_600, 13_200, 14_000, 16_000] {
        let mut world = at_work(12, on());
        let zone = zone_without_leader(&world);
        let all = running(&world);
        cut(&mut world, zone);
        world.run(millis(cut_ms));
        restore(&mut world);
        let before = world.started;
        let mut starts = watching(&mut world);
        starts.watch(&mut world, secs(30));
        assert_eq!(running(&world), all, "cut for {cut_ms} ms");
        assert!(starts.most(&[1, 2, 3, 4]) <= 1, "cut for {cut_ms} ms: begun twice since the return");
        // A report that was lost is followed by the next after 5 s.
        if cut_ms < 6_000 {
            assert_eq!(world.started, before, "a cut shorter than a lease cost work");
        }
        ends_well(&mut world);
    }
}

#[test]
fn what_runs_elsewhere_stays_there_when_its_zone_is_back() {
    let mut world = at_work(24, on());
    let zone = zone_without_leader(&world);
    cut(&mut world, zone);
    world.run(secs(30));
    let all = running(&world);
    let mut starts = watching(&mut world);
    restore(&mut world);
    starts.watch(&mut world, secs(100));
    assert_eq!((running(&world), starts.began.len()), (all, 0), "{:?}", starts.began);
    ends_well(&mut world);
}

/// Starts in a returned zone in each second, with more work waiting than fits.
fn refilled(settings: FailoverSettings, cuts: usize) -> Vec<usize> {
    let mut world = fleet(24, with(settings));
    for id in [3, 4] {
        let team = if id == 3 { "red" } else { "blue" }.to_owned();
        assert_eq!(world.submit(0, JobSpec { team, ..long(id, 190, Priority::Normal) }), Some(201));
    }
    world.run(secs(8));
    let zone = zone_without_leader(&world);
    for n in 0..cuts {
        cut(&mut world, zone);
        world.run(secs(16));
        restore(&mut world);
        if n + 1 < cuts {
            world.run(secs(14));
        }
    }
    let mut seconds = Vec::new();
    let mut starts = watching(&mut world);
    for _ in 0..60 {
        let before = starts.began.len();
        starts.watch(&mut world, secs(1));
        seconds.push(starts.began.len() - before);
    }
    assert_eq!(count(&world, 3) + count(&world, 4), 380, "{seconds:?}");
    ends_well(&mut world);
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
        let mut world = at_work(24, on());
        let zone = zone_without_leader(&world);
        let there = machines_in(&world, ZONES[zone]);
        let all = running(&world);
        // Copies of their reports arrive longer than a lease later.
        world.copy_reports.extend(there.iter().map(|machine| (machine.clone(), secs(14))));
        if held {
            let until = world.now + secs(16);
            world.hold_reports.extend(there.iter().map(|machine| (machine.clone(), until)));
        }
        world.deaf.extend(there.iter().cloned());
        until_state(&mut world, zone, "lost", secs(10));
        world.run(secs(14));
        assert_eq!(running(&world), all, "held: {held}");
        world.deaf.clear();
        world.hold_reports.clear();
        world.run(secs(40));
        assert_eq!(running(&world), all);
        ends_well(&mut world);
    }
}

/// A machine that fails all tasks is quarantined, but the cloud does not take it back.
fn with_a_quarantined_machine() -> (World, usize, String) {
    let mut world = fleet(12, on());
    let zone = zone_without_leader(&world);
    let faulty = machines_in(&world, ZONES[zone])[0].clone();
    world.workers.get_mut(&faulty).expect("up").fails_all = true;
    world.cloud.outage = true;
    for id in 10..16 {
        assert_eq!(world.submit(0, JobSpec { spot: false, ..job(id, 12) }), Some(201));
        world.run(secs(1));
    }
    world.run(secs(12));
    assert!(world.failed > 0, "it failed nothing");
    (world, zone, faulty)
}

#[test]
fn a_machine_that_was_quarantined_when_it_was_cut_off_is_so_under_the_next_leader() {
    let (mut world, zone, faulty) = with_a_quarantined_machine();
    cut(&mut world, zone);
    until_state(&mut world, zone, "lost", secs(8));
    assert!(world.store.rows[RECORD].0["drained"]["quarantined"].to_string().contains(&faulty), "it is not recorded");
    world.run(secs(10));
    let leader = world.leader().expect("a leader");
    world.crash(leader);
    world.run(secs(5));
    world.start_node(leader);
    let failed = world.failed;
    restore(&mut world);
    world.run(secs(12));
    // More than all other machines take.
    assert_eq!(world.submit(0, long(30, 112, Priority::Normal)), Some(201));
    world.run(secs(20));
    assert_eq!(world.failed, failed, "it got work again");
    ends_well(&mut world);
}

#[test]
fn a_machine_that_was_retiring_when_it_was_cut_off_gets_no_work_that_fits_elsewhere() {
    let mut world = fleet(12, on());
    // One service on a machine; all others are more than enough.
    assert_eq!(world.submit(0, service(1, 6)), Some(201));
    world.run(secs(8));
    let zone = zone_without_leader(&world);
    cut(&mut world, zone);
    until_state(&mut world, zone, "lost", secs(8));
    let retiring = world.store.rows[RECORD].0["drained"]["retiring"].as_array().map_or(0, Vec::len);
    assert!(retiring > 0, "none is recorded as retiring");
    restore(&mut world);
    until_state(&mut world, zone, "returning", secs(10));
    let mut starts = watching(&mut world);
    let leader = world.leader().expect("a leader");
    assert_eq!(world.submit(leader, long(3, 16, Priority::Normal)), Some(201));
    starts.watch(&mut world, secs(8));
    let there = machines_in(&world, ZONES[zone]);
    let on_them = starts.began.iter().filter(|(.., machine)| there.contains(machine)).count();
    assert!(count(&world, 3) == 16 && on_them <= 16 - 16 * 2 / 3, "{on_them} tasks went to machines that retire");
    ends_well(&mut world);
}

#[test]
fn careful_work_keeps_off_a_zone_on_probation_while_there_is_room_elsewhere() {
    let mut world = fleet(12, on());
    let zone = zone_without_leader(&world);
    cut(&mut world, zone);
    world.run(secs(20));
    restore(&mut world);
    world.run(secs(20));
    assert_eq!(recorded_state(&world, zone), "returning");
    let there = machines_in(&world, ZONES[zone]);
    let leader = world.leader().expect("a leader");
    assert_eq!(world.submit(leader, service(1, 40)), Some(201));
    world.run(secs(4));
    let inside = |world: &World, id| world.where_runs(&job_id(id)).iter().filter(|(_, m)| there.contains(m)).count();
    assert_eq!((count(&world, 1), inside(&world, 1)), (40, 0));
    // Nothing but that zone has room for all of the next.
    assert_eq!(world.submit(leader, JobSpec { team: "blue".into(), ..service(2, 100) }), Some(201));
    world.run(secs(6));
    assert_eq!(count(&world, 2), 100);
    ends_well(&mut world);
}

#[test]
fn operators_hold_a_zone_out_and_let_one_in_at_once() {
    let held_out = FailoverSettings { excluded_zones: ["b".to_owned()].into(), ..FailoverSettings::default() };
    let mut world = fleet(12, with(held_out));
    let there = machines_in(&world, "b");
    assert_eq!(world.submit(0, long(3, 128, Priority::Normal)), Some(201));
    world.run(secs(8));
    assert_eq!(count(&world, 3), 128);
    assert!(world.where_runs(&job_id(3)).iter().all(|(_, machine)| !there.contains(machine)), "held out in vain");
    ends_well(&mut world);

    let zones = ZONES.map(str::to_owned);
    let admitted = FailoverSettings { admitted_zones: zones.into(), ..FailoverSettings::default() };
    let mut world = at_work(12, with(admitted));
    let zone = zone_without_leader(&world);
    cut(&mut world, zone);
    until_state(&mut world, zone, "lost", secs(8));
    restore(&mut world);
    let took = until_state(&mut world, zone, "healthy", secs(8));
    assert!(took < Duration::from_secs(8));
    ends_well(&mut world);
}
