//! What most stories begin with: durations, job ids, and settled worlds.

use std::ops::RangeInclusive;
use std::time::Duration;

use rushyoke_wire::job::{JobSpec, JobStatus};

use crate::deployment::job;
use crate::simulation::Simulation;

/// A duration in seconds.
pub fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A duration in milliseconds.
pub fn millis(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// The id of a job by its number.
pub fn job_id(number: u32) -> String {
    format!("wk-{number:06}")
}

/// An array of one-CPU tasks of team red that awaits other jobs.
pub fn dependent_job(number: u32, tasks: u32, awaits: &[u32]) -> JobSpec {
    JobSpec { dependencies: awaits.iter().map(|number| job_id(*number)).collect(), ..job(number, tasks) }
}

/// So many jobs in one state.
pub fn all_in_state(state: JobStatus, count: usize) -> Vec<Option<JobStatus>> {
    vec![Some(state); count]
}

impl Simulation {
    /// Three nodes, and machines that a leader knows.
    pub fn with_elected_leader(machines: usize) -> Simulation {
        let mut simulation = Simulation::new(machines);
        simulation.run(secs(6));
        simulation
    }

    /// A settled world of three machines whose tasks take four seconds, and its leader.
    pub fn with_short_tasks() -> (Simulation, usize) {
        let mut simulation = Simulation::new(3);
        simulation.task_duration_s = 4.0;
        simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 4.0);
        simulation.run(secs(6));
        let leader = simulation.leader().expect("a leader");
        (simulation, leader)
    }

    /// What a node says of some jobs, one question after the other.
    pub fn job_states(&mut self, node: usize, jobs: RangeInclusive<u32>) -> Vec<Option<JobStatus>> {
        jobs.map(|number| self.job_state(node, &job_id(number))).collect()
    }

    /// Cancels a job at a node, which must tell so.
    pub fn cancel_and_confirm(&mut self, node: usize, id: &str) {
        let told = self.cancel(node, id).and_then(|(_, view)| view).map(|view| view.state);
        assert_eq!(told, Some(JobStatus::Cancelled), "{id} at node {node}");
    }

    /// Lets time pass until a report of the machine has just been answered, or given up.
    pub fn run_until_reported(&mut self, machine: &str) {
        for reporting in [true, false] {
            while self.workers[machine].pending_report.is_some() != reporting {
                self.run(millis(10));
            }
        }
    }

    /// Lets so many seconds pass; the most direct calls that a node had outcomes of in one of them.
    pub fn max_direct_calls_per_second(&mut self, node: usize, seconds: u64) -> u64 {
        let outcomes =
            |simulation: &Simulation| simulation.input_costs.get(&(node, "ordered")).map_or(0, |spent| spent.0);
        let mut most = 0;
        for _ in 0..seconds {
            let before = outcomes(self);
            self.run(secs(1));
            most = most.max(outcomes(self) - before);
        }
        most
    }
}
