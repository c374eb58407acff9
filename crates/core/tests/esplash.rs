//! The eSplash steps on worked numbers.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use rushyoke_core::speculate::{
    Cell, Moments, Performance, expected_gain_s, groups, levels, minimum_level, remaining_s, straggler_value,
};
use rushyoke_testkit::{Simulation, job};
use rushyoke_wire::job::JobStatus;

fn vector(times: &[(&str, f64)]) -> Performance {
    times.iter().map(|(kind, s)| ((*kind).into(), *s)).collect::<BTreeMap<_, _>>()
}

#[test]
fn machines_that_do_not_dominate_one_another_stay_together() {
    let points = [
        vector(&[("a", 10.0), ("b", 20.0)]),
        vector(&[("a", 12.0), ("b", 18.0)]), // slower in a, faster in b than the first
        vector(&[("a", 30.0), ("b", 60.0)]),
        vector(&[("a", 11.0)]), // lies between the first two in the one shared type
    ];
    let mut found = groups(&points);
    found.iter_mut().for_each(|g| g.sort());
    found.sort();
    assert_eq!(found, vec![vec![0, 1, 3], vec![2]]);
}

#[test]
fn faster_machines_have_the_higher_level() {
    let slow = [40.0, 41.0, 42.0].map(|s| vector(&[("a", s), ("b", 2.0 * s)]));
    let fast = [10.0, 11.0, 12.0].map(|s| vector(&[("a", s), ("b", 2.0 * s)]));
    let points: Vec<Performance> = slow.into_iter().chain(fast).collect();
    for seed in 0..5 {
        let found = levels(&points, 2, &mut StdRng::seed_from_u64(seed));
        assert!(
            found[..3].iter().all(|slow| found[3..].iter().all(|fast| slow < fast))
                || found.iter().all(|l| *l == found[0]),
            "{found:?}"
        );
        let all = levels(&points, 1, &mut StdRng::seed_from_u64(seed));
        assert_eq!(all, vec![0; 6]);
    }
    // With a level for each machine the order is the whole order.
    let found = levels(&points, 6, &mut StdRng::seed_from_u64(1));
    assert_eq!(found, vec![2, 1, 0, 5, 4, 3]);
}

#[test]
fn a_cell_needs_enough_tasks_and_some_spread() {
    let mut moments = Moments::default();
    [8.0, 10.0, 12.0, 10.0].iter().for_each(|s| moments.add(*s));
    assert_eq!(moments.cell(5), None);
    moments.add(10.0);
    let cell = moments.cell(5).expect("five tasks");
    // Squares of the differences: 4 + 4 over five tasks is a variance of 1.6.
    assert!((cell.mean_s - 10.0).abs() < 1e-9 && (cell.std_dev_s - 1.6f64.sqrt()).abs() < 1e-9, "{cell:?}");
    let mut same = Moments::default();
    (0..9).for_each(|_| same.add(7.0));
    assert_eq!(same.cell(5), None);
}

#[test]
fn the_straggler_value_sums_what_is_past_the_mean() {
    let cell = Cell { mean_s: 10.0, std_dev_s: 2.0 };
    // 16 is three deviations past the mean, 11 half of one; 9 does not count.
    assert_eq!(straggler_value(&[(16.0, cell), (9.0, cell), (11.0, cell)]), 3.5);
    assert_eq!(straggler_value(&[(4.0, cell)]), 0.0);
}

#[test]
fn the_minimum_level_has_the_least_expected_time() {
    // Level 0: 40 s on 10 containers, level 1: 20 s on 10, level 2: 30 s on 20.
    let table = [(Some(40.0), 10.0), (Some(20.0), 10.0), (Some(30.0), 20.0)];
    // From 0: (400 + 200 + 600) / 40 = 30; from 1: 800 / 30 = 26.7; from 2: 30.
    let (level, expected) = minimum_level(0, &table).expect("known cells");
    assert_eq!(level, 1);
    assert!((expected - 800.0 / 30.0).abs() < 1e-9);
    assert_eq!(minimum_level(2, &table), Some((2, 30.0)));
    // A level without statistics says nothing.
    assert_eq!(minimum_level(0, &[(None, 10.0), (Some(20.0), 0.0)]), None);
    assert_eq!(minimum_level(0, &[(None, 10.0), (Some(20.0), 4.0)]), Some((0, 20.0)));
}

#[test]
fn the_gain_counts_containers_from_the_minimum_level_up() {
    let table = [(Some(40.0), 10.0), (Some(20.0), 10.0), (Some(30.0), 20.0)];
    // 50 s to go: (10 * 30 + 20 * 20) / 40 = 17.5 s.
    assert_eq!(expected_gain_s(1, 50.0, &table), 17.5);
    assert!(expected_gain_s(1, 20.0, &table) < 0.0);
    assert_eq!(expected_gain_s(0, 50.0, &[]), 0.0);
    // Before the mean the rest of it is to go; past it, as long as it is past.
    assert_eq!((remaining_s(40.0, 30.0), remaining_s(40.0, 100.0)), (10.0, 60.0));
}

#[test]
fn a_task_on_a_slow_machine_is_restarted_once_elsewhere() {
    let mut simulation = Simulation::new(4);
    simulation.run(Duration::from_secs(6));
    // Run times differ a little from machine to machine; one is twenty times slower.
    for (n, worker) in simulation.workers.values_mut().enumerate() {
        worker.slowdown = 1.0 + 0.1 * n as f64;
    }
    simulation.workers.get_mut("n-000001").expect("up").slowdown = 20.0;
    let mut spec = job(1, 32);
    spec.cpus = 2.0;
    simulation.submit(0, spec);
    // Untouched, the slow machine's tasks would take 200 s.
    simulation.run(Duration::from_secs(120));
    assert_eq!(simulation.job_state(0, "wk-000001"), Some(JobStatus::Done));
    assert!(simulation.started_tasks > 32 && simulation.started_tasks <= 32 + 8, "{} starts", simulation.started_tasks);
}
