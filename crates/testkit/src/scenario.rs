//! Common steps of scenarios: durations, job ids, initial simulations and checks of job states.

use std::ops::RangeInclusive;
use std::time::Duration;

use rushyoke_wire::job::{JobSpec, JobStatus};

use crate::deployment::job;
use crate::simulation::Simulation;

/// Returns a duration of whole seconds.
pub const fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns a duration of whole milliseconds.
pub const fn millis(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns the id of the job with a number.
pub fn job_id(number: u32) -> String {
    format!("wk-{number:06}")
}

/// Returns an array job of team red with one-CPU tasks that depends on other jobs, given by their numbers.
pub fn dependent_job(number: u32, tasks: u32, dependencies: &[u32]) -> JobSpec {
    JobSpec { dependencies: dependencies.iter().map(|number| job_id(*number)).collect(), ..job(number, tasks) }
}

/// Returns the states of `count` jobs that are all in one state, to compare with [`Simulation::job_states`].
pub fn all_in_state(state: JobStatus, count: usize) -> Vec<Option<JobStatus>> {
    vec![Some(state); count]
}

impl Simulation {
    /// Starts three nodes and `machines` machines, and waits until a leader knows all machines.
    pub fn with_elected_leader(machines: usize) -> Simulation {
        let mut simulation = Simulation::new(machines);
        simulation.run(secs(6));
        simulation
    }

    /// Returns a simulation with an elected leader and three machines whose tasks take four seconds, and the
    /// leader's number.
    pub fn with_short_tasks() -> (Simulation, usize) {
        let mut simulation = Simulation::new(3);
        simulation.set_task_duration(4.0);
        simulation.run(secs(6));
        let leader = simulation.leader().expect("a leader");
        (simulation, leader)
    }

    /// Asks a node for the states of the jobs with these numbers, one request after the other.
    pub fn job_states(&mut self, node: usize, jobs: RangeInclusive<u32>) -> Vec<Option<JobStatus>> {
        jobs.map(|number| self.job_state(node, &job_id(number))).collect()
    }

    /// Cancels a job at a node, and asserts that the node confirms it.
    pub fn cancel_and_confirm(&mut self, node: usize, id: &str) {
        let state = self.cancel(node, id).and_then(|(_, view)| view).map(|view| view.state);
        assert_eq!(state, Some(JobStatus::Cancelled), "{id} at node {node}");
    }

    /// Crashes a node, and starts it again after a pause.
    pub fn restart_node(&mut self, node: usize, pause: Duration) {
        self.crash_node(node);
        self.run(pause);
        self.start_node(node);
    }

    /// Sets the duration of tasks that start from now on, in seconds, on all machines and on those that boot later.
    pub fn set_task_duration(&mut self, seconds: f64) {
        self.task_duration_s = seconds;
        self.workers.values_mut().for_each(|worker| worker.task_duration_s = seconds);
    }

    /// Runs until the machine's worker has just got the response to a report, or given the report up.
    pub fn run_until_reported(&mut self, machine: &str) {
        for reporting in [true, false] {
            while self.workers[machine].pending_report.is_some() != reporting {
                self.run(millis(10));
            }
        }
    }

    /// Runs until the condition holds, for at most `limit`. Returns whether it holds.
    pub fn run_until(&mut self, limit: Duration, condition: impl Fn(&Simulation) -> bool) -> bool {
        let end = self.now + limit;
        while !condition(self) && self.now < end {
            self.run(millis(10));
        }
        condition(self)
    }

    /// Returns the node whose label is in the leader key, whether or not that node knows that it leads.
    pub fn leader_key_holder(&self) -> Option<usize> {
        let (value, ..) = self.store.rows.get("lead")?;
        value["label"].as_str()?.trim_start_matches("node-").parse().ok()
    }

    /// Runs for some seconds. Returns the largest number of direct calls of a node that completed in one of them.
    pub fn max_direct_calls_per_second(&mut self, node: usize, seconds: u64) -> u64 {
        let completed =
            |simulation: &Simulation| simulation.input_costs.get(&(node, "order response")).map_or(0, |cost| cost.0);
        let mut max = 0;
        for _ in 0..seconds {
            let before = completed(self);
            self.run(secs(1));
            max = max.max(completed(self) - before);
        }
        max
    }
}
