//! Tests of the load model and fair shares with values computed by hand.

use std::time::{Duration, Instant};

use rushyoke_balance::{FairShares, LoadModel, MachineInfo, Name, PlacementRequest, Resources, Settings, TaskKey};

fn cpus(cpus: f64) -> Resources {
    Resources { cpus, gpus: 0.0, memory_gb: cpus * 2.0 }
}

fn name(text: &str) -> Name {
    Name::from(text)
}

fn key(task: u32) -> TaskKey {
    (name("wk-000001"), task)
}

fn machine(total: f64) -> MachineInfo {
    MachineInfo { zone: name("a"), total: cpus(total), accepts_moves: true, reserved: Resources::default() }
}

/// Returns the load model of the machines `m0` to `m3` with 16 CPUs each.
fn four_machines() -> LoadModel {
    let mut load = LoadModel::default();
    (0..4).for_each(|n| load.set_machine(&name(&format!("m{n}")), machine(16.0)));
    load
}

#[test]
fn utilization_counts_running_starting_claimed_and_booked_resources() {
    let mut load = four_machines();
    let m0 = name("m0");
    load.add_task(&key(0), &m0, &name("red"), cpus(4.0));
    assert_eq!(load.utilization("m0"), Some(0.25));
    load.mark_running(&key(0));
    assert_eq!(load.utilization("m0"), Some(0.25), "a running task is counted once");
    load.book(&m0, cpus(2.0));
    load.set_machine(&m0, MachineInfo { reserved: cpus(2.0), ..machine(16.0) });
    assert_eq!(load.utilization("m0"), Some(0.5));
    assert_eq!(load.zone("a").allocated, cpus(8.0));
    assert_eq!(load.team("red").used, cpus(4.0));
    assert_eq!(load.most_loaded(1).first(), Some(&m0));
    assert_eq!(load.least_loaded(1), [name("m1")]);
    load.remove_task(&key(0));
    load.unbook(&m0, cpus(2.0));
    load.set_machine(&m0, machine(16.0));
    assert_eq!(load.utilization("m0"), Some(0.0));
    assert!(load.free().minus(load.total()).is_zero());
}

#[test]
fn closed_machines_are_no_destinations_and_removed_machines_are_not_counted() {
    let mut load = four_machines();
    load.set_machine(&name("m1"), MachineInfo { accepts_moves: false, ..machine(16.0) });
    assert!(!load.least_loaded(4).contains(&name("m1")));
    assert_eq!(load.machines(), 4);
    load.add_task(&key(1), &name("m1"), &name("red"), cpus(8.0));
    load.remove_task(&key(1));
    load.remove_machine(&name("m1"));
    assert_eq!((load.machines(), load.total()), (3, cpus(48.0)));
    assert_eq!(load.zone("a").total, cpus(48.0));
    // A machine of which only the name is known, for example from a record, has no utilization and is not counted.
    load.add_task(&key(2), &name("m9"), &name("red"), cpus(1.0));
    assert_eq!(load.machines(), 3);
}

#[test]
fn evenness_is_updated_with_each_change() {
    let mut load = four_machines();
    assert_eq!((load.evenness().variation(), load.evenness().jain()), (0.0, 1.0));
    (0..16).for_each(|task| load.add_task(&key(task), &name("m0"), &name("red"), cpus(1.0)));
    // One of four machines runs everything: Jain's index is 1/4, and the variation is the square root of 3.
    assert!((load.evenness().jain() - 0.25).abs() < 1e-9, "{}", load.evenness().jain());
    assert!((load.evenness().variation() - 3f64.sqrt()).abs() < 1e-9, "{}", load.evenness().variation());
    for task in 4..16 {
        load.add_task(&key(task), &name(&format!("m{}", task / 4)), &name("red"), cpus(1.0));
    }
    assert!((load.evenness().jain() - 1.0).abs() < 1e-9 && load.evenness().variation() < 1e-6);
}

fn shares() -> FairShares {
    FairShares::new([(name("red"), cpus(8.0)), (name("blue"), cpus(8.0))])
}

fn request<'a>(job: &'a Name, team: &'a str, run_s: f64) -> PlacementRequest<'a> {
    PlacementRequest { job, team, need: cpus(1.0), run_s }
}

#[test]
fn a_burst_leaves_resources_free_for_a_limited_time_and_guarantees_are_not_restricted() {
    let (mut load, mut shares) = (four_machines(), shares());
    let settings = Settings { free_share: 0.125, max_hold: Duration::from_secs(20), ..Settings::default() };
    let now = Instant::now();
    let job = name("wk-000001");
    let mut placed = 0;
    while shares.may_place(now, &load, &settings, &request(&job, "red", 10.0)) {
        load.add_task(&key(placed), &name(&format!("m{}", placed % 4)), &name("red"), cpus(1.0));
        placed += 1;
        assert!(placed <= 64, "the burst takes all free resources");
    }
    // Of 64 CPUs, 8 stay free.
    assert_eq!((placed, shares.held_jobs().0), (56, 1));
    let blue = name("wk-000002");
    assert!(shares.may_place(now, &load, &settings, &request(&blue, "blue", 10.0)), "within its guarantee");
    let later = now + settings.max_hold;
    assert!(
        shares.may_place(later, &load, &settings, &request(&job, "red", 10.0)),
        "held back for longer than `max_hold`"
    );
    shares.forget_job(&job);
    assert_eq!(shares.held_jobs(), (0, 1));
}

#[test]
fn above_its_fair_share_a_team_gets_the_last_free_resources_for_short_tasks_only() {
    let (mut load, mut shares) = (four_machines(), shares());
    let settings = Settings::default();
    let now = Instant::now();
    let job = name("wk-000001");
    let (short_s, long_s) = (settings.short_run.as_secs_f64(), settings.short_run.as_secs_f64() + 1.0);
    let mut placed = [0, 0];
    for (index, run_s) in [long_s, short_s].into_iter().enumerate() {
        while shares.may_place(now, &load, &settings, &request(&job, "red", run_s)) {
            let task = placed[0] + placed[1];
            load.add_task(&key(task), &name(&format!("m{}", task % 4)), &name("red"), cpus(1.0));
            placed[index] += 1;
        }
    }
    // Of 64 CPUs, long tasks leave a fifth free and short ones a twentieth.
    assert_eq!(placed, [51, 9]);
    assert!(shares.weighted_share(&load, "red") >= 1.0 && shares.weighted_share(&load, "blue") < 1.0);
}

#[test]
fn the_dominant_share_is_the_largest_share_of_any_resource() {
    let total = Resources { cpus: 100.0, gpus: 10.0, memory_gb: 400.0 };
    let need = Resources { cpus: 10.0, gpus: 5.0, memory_gb: 40.0 };
    assert!((need.dominant_share(total) - 0.5).abs() < 1e-9);
    // A resource whose total is zero does not count.
    let without_gpus = Resources { gpus: 0.0, ..total };
    assert!((need.dominant_share(without_gpus) - 0.1).abs() < 1e-9);
}

#[test]
fn an_error_names_the_setting_that_is_out_of_range() {
    assert_eq!(Settings::default().check(), Ok(()));
    let invalid = [
        ("crowding_share", Settings { contention_slowdown: f64::NAN, ..Settings::default() }),
        ("gain_ratio", Settings { gain_ratio: 0.5, ..Settings::default() }),
        ("use_gap", Settings { utilization_gap: 0.0, ..Settings::default() }),
        ("free_share", Settings { free_share: 0.9, ..Settings::default() }),
        ("hold_s", Settings { max_hold: Duration::from_secs(90), ..Settings::default() }),
        ("booking_s", Settings { booking_timeout: Duration::ZERO, ..Settings::default() }),
    ];
    for (setting, settings) in invalid {
        let error = settings.check().expect_err(setting);
        assert_eq!(error.setting, setting);
        assert!(error.to_string().starts_with(&format!("balance.{setting}: must be ")), "{error}");
    }
}
