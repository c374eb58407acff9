//! Tests of the steps of eSplash against results computed by hand, and a scenario test of a slow machine.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use rushyoke_core::speculate::{
    Cell, Performance, RunTimeStats, expected_gain_s, groups, levels, minimum_level, remaining_s, straggler_value,
};
use rushyoke_testkit::{Simulation, job};
use rushyoke_wire::job::JobStatus;

/// Returns a machine's performance: the run time in seconds of each type of task.
fn performance(times: &[(&str, f64)]) -> Performance {
    times.iter().map(|(kind, s)| ((*kind).into(), *s)).collect::<BTreeMap<_, _>>()
}

#[test]
fn machines_that_do_not_dominate_each_other_share_a_group() {
    let performances = [
        performance(&[("a", 10.0), ("b", 20.0)]),
        performance(&[("a", 12.0), ("b", 18.0)]), // slower in a, faster in b than the first
        performance(&[("a", 30.0), ("b", 60.0)]),
        performance(&[("a", 11.0)]), // lies between the first two in the one shared type
    ];
    let mut result = groups(&performances);
    result.iter_mut().for_each(|group| group.sort());
    result.sort();
    assert_eq!(result, vec![vec![0, 1, 3], vec![2]]);
}

#[test]
fn faster_machines_get_a_higher_level() {
    let slow = [40.0, 41.0, 42.0].map(|s| performance(&[("a", s), ("b", 2.0 * s)]));
    let fast = [10.0, 11.0, 12.0].map(|s| performance(&[("a", s), ("b", 2.0 * s)]));
    let performances: Vec<Performance> = slow.into_iter().chain(fast).collect();
    for seed in 0..5 {
        let result = levels(&performances, 2, &mut StdRng::seed_from_u64(seed));
        assert!(
            result[..3].iter().all(|slow| result[3..].iter().all(|fast| slow < fast))
                || result.iter().all(|level| *level == result[0]),
            "{result:?}"
        );
        let all = levels(&performances, 1, &mut StdRng::seed_from_u64(seed));
        assert_eq!(all, vec![0; 6]);
    }
    // With one level per machine, the levels are a total order of the machines.
    let result = levels(&performances, 6, &mut StdRng::seed_from_u64(1));
    assert_eq!(result, vec![2, 1, 0, 5, 4, 3]);
}

#[test]
fn cell_requires_enough_tasks_and_a_nonzero_deviation() {
    let mut stats = RunTimeStats::default();
    [8.0, 10.0, 12.0, 10.0].iter().for_each(|s| stats.add(*s));
    assert_eq!(stats.cell(5), None);
    stats.add(10.0);
    let cell = stats.cell(5).expect("five tasks");
    // The squared differences 4 + 4 over five tasks give a variance of 1.6.
    assert!((cell.mean_s - 10.0).abs() < 1e-9 && (cell.std_dev_s - 1.6f64.sqrt()).abs() < 1e-9, "{cell:?}");
    let mut equal_times = RunTimeStats::default();
    (0..9).for_each(|_| equal_times.add(7.0));
    assert_eq!(equal_times.cell(5), None);
}

#[test]
fn straggler_value_sums_the_deviations_above_the_mean() {
    let cell = Cell { mean_s: 10.0, std_dev_s: 2.0 };
    // 16 is three standard deviations above the mean, 11 is half of one; 9 does not count.
    assert_eq!(straggler_value(&[(16.0, cell), (9.0, cell), (11.0, cell)]), 3.5);
    assert_eq!(straggler_value(&[(4.0, cell)]), 0.0);
}

#[test]
fn minimum_level_has_the_least_expected_time() {
    // Level 0: 40 s on 10 containers, level 1: 20 s on 10, level 2: 30 s on 20.
    let level_stats = [(Some(40.0), 10.0), (Some(20.0), 10.0), (Some(30.0), 20.0)];
    // Starting at level 0: (400 + 200 + 600) / 40 = 30; at 1: 800 / 30 = 26.7; at 2: 30.
    let (level, expected) = minimum_level(0, &level_stats).expect("a level with statistics");
    assert_eq!(level, 1);
    assert!((expected - 800.0 / 30.0).abs() < 1e-9);
    assert_eq!(minimum_level(2, &level_stats), Some((2, 30.0)));
    // A level without statistics or without containers is ignored.
    assert_eq!(minimum_level(0, &[(None, 10.0), (Some(20.0), 0.0)]), None);
    assert_eq!(minimum_level(0, &[(None, 10.0), (Some(20.0), 4.0)]), Some((0, 20.0)));
}

#[test]
fn expected_gain_counts_containers_from_the_minimum_level_up() {
    let level_stats = [(Some(40.0), 10.0), (Some(20.0), 10.0), (Some(30.0), 20.0)];
    // With 50 s remaining: (10 * 30 + 20 * 20) / 40 = 17.5 s.
    assert_eq!(expected_gain_s(1, 50.0, &level_stats), 17.5);
    assert!(expected_gain_s(1, 20.0, &level_stats) < 0.0);
    assert_eq!(expected_gain_s(0, 50.0, &[]), 0.0);
    // A task that has run for less than the mean run time has the rest of it left; a task that has run for longer
    // has as much time left as it has exceeded the mean.
    assert_eq!((remaining_s(40.0, 30.0), remaining_s(40.0, 100.0)), (10.0, 60.0));
}

/// Returns a simulation in which 32 tasks of job 1 are about to run on four machines. Run times differ slightly between
/// these, and one is twenty times slower.
fn job_on_a_fleet_with_a_slow_machine() -> Simulation {
    let mut simulation = Simulation::new(4);
    simulation.record_starts = true;
    simulation.run(Duration::from_secs(6));
    for (n, worker) in simulation.workers.values_mut().enumerate() {
        worker.slowdown = 1.0 + 0.1 * n as f64;
    }
    simulation.workers.get_mut("n-000001").expect("the machine is up").slowdown = 20.0;
    let mut spec = job(1, 32);
    spec.cpus = 2.0;
    simulation.submit(0, spec);
    simulation
}

#[test]
fn stragglers_on_a_slow_machine_are_restarted_elsewhere_only_once() {
    let mut simulation = job_on_a_fleet_with_a_slow_machine();
    // Without restarts, the slow machine's tasks would take 200 s.
    simulation.run(Duration::from_secs(120));
    assert_eq!(simulation.job_state(0, "wk-000001"), Some(JobStatus::Done));
    assert!(simulation.started_tasks > 32 && simulation.started_tasks <= 32 + 8, "{} starts", simulation.started_tasks);
}

#[test]
fn copies_of_starts_run_no_task_that_was_restarted_for_speed() {
    let mut simulation = job_on_a_fleet_with_a_slow_machine();
    for _ in 0..40 {
        simulation.run(Duration::from_secs(3));
        simulation.deliver_recorded_starts();
    }
    assert_eq!(simulation.job_state(0, "wk-000001"), Some(JobStatus::Done));
    assert!(simulation.started_tasks > 32 && simulation.order_copies > 0, "{} starts", simulation.started_tasks);
    assert_eq!(simulation.starts_by_copies, 0);
}
