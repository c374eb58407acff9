//! Invariants that hold at every moment, and the checks of recovery once the faults have ended.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rushyoke_core::Input;
use rushyoke_wire::job::JobSpec;
use rushyoke_wire::worker::TaskState;

use super::Simulation;
use crate::worker::Worker;

impl Simulation {
    /// Checks the recovery after the faults have ended. Users ask every node about every accepted job about
    /// every five seconds, and get each job's state at least once in 75 s. No job waits for 90 s while a
    /// suitable machine has enough free resources and the job's team is within its quota.
    pub fn check_recovered(&mut self) {
        let jobs = self.checker.accepted_jobs();
        let mut last_responses: BTreeMap<String, Duration> = jobs.iter().map(|job| (job.clone(), self.now)).collect();
        let mut waiting_since: BTreeMap<String, Duration> = BTreeMap::new();
        for _ in 0..22 {
            self.run(Duration::from_secs(4));
            for node in 0..self.node_processes.len() {
                let requests: Vec<(String, u64)> = jobs
                    .iter()
                    .map(|job| {
                        (
                            job.clone(),
                            self.send_request(node, |request_id| Input::Status { request_id, id: job.clone() }),
                        )
                    })
                    .collect();
                self.run(Duration::from_millis(350));
                for (job, id) in requests {
                    if self.responses.remove(&id).is_some_and(|response| response.status == 200) {
                        last_responses.insert(job, self.now);
                    }
                }
            }
            for (job, responded_at) in &last_responses {
                assert!(
                    self.now - *responded_at < Duration::from_secs(75),
                    "no request for the state of {job} got a 200 response for 75 s"
                );
            }
            for job in &jobs {
                if !self.could_start(job) {
                    waiting_since.remove(job);
                } else {
                    let since = *waiting_since.entry(job.clone()).or_insert(self.now);
                    let waited = self.now - since;
                    assert!(
                        waited < Duration::from_secs(90),
                        "{job} has waited for {waited:?} although a machine has enough free resources"
                    );
                }
            }
        }
        let overdue: Vec<&String> = waiting_since
            .iter()
            .filter(|(_, since)| self.now - **since > Duration::from_secs(60))
            .map(|(job, _)| job)
            .collect();
        assert!(
            overdue.is_empty(),
            "{overdue:?} have waited for over 60 s although machines have enough free resources"
        );
    }

    /// Whether a task of the job waits although it fits on some machine and within its team's quota.
    fn could_start(&self, id: &str) -> bool {
        let spec = &self.specs[id];
        if self.checker.has_ended(id) || self.cancelled.contains_key(id) || self.checker.has_unfinished_dependencies(id)
        {
            return false;
        }
        let spec_of = |task: &str| task.split('/').next().and_then(|id| self.specs.get(id));
        let hosted_specs = |worker: &Worker| {
            let active = worker.tasks.iter().filter(|t| t.state != TaskState::Exited);
            active.filter_map(|t| spec_of(&t.name)).cloned().collect::<Vec<JobSpec>>()
        };
        let active_specs: Vec<JobSpec> = self.workers.values().flat_map(hosted_specs).collect();
        let active_tasks = active_specs.iter().filter(|s| s.id == id).count() as u32;
        let finished = self.checker.finished_tasks(id);
        if active_tasks + finished >= spec.tasks {
            return false;
        }
        let team_cpus: f64 = active_specs.iter().filter(|s| s.team == spec.team).map(|s| s.cpus).sum();
        if team_cpus + spec.cpus > self.facts.teams[&spec.team].cpus_max + 1e-6 {
            return false;
        }
        let fits = |worker: &Worker| {
            let machine_type = self.cloud.types.iter().find(|t| t.name == worker.kind);
            let (cpus, memory) = machine_type.map_or((0.0, 0.0), |found| (found.cpus, found.memory_gb));
            let (used_cpus, used_memory) = hosted_specs(worker)
                .iter()
                .fold((0.0, 0.0), |(cpus, memory), hosted| (cpus + hosted.cpus, memory + hosted.memory_gb));
            used_cpus + spec.cpus <= cpus + 1e-6
                && used_memory + spec.memory_gb <= memory + 1e-6
                && (spec.spot || !worker.spot)
                && spec.zone.as_ref().is_none_or(|zone| *zone == worker.zone)
                && !worker.fails_all_tasks
                && worker.notice_s.is_none()
        };
        !spec.one_zone && !spec.spread && self.workers.values().any(fits)
    }

    /// Checks the invariants that hold at every moment, and records newly started tasks.
    pub(super) fn check_invariants(&mut self) {
        let mut machines_by_task: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        let mut used_cpus: BTreeMap<&str, f64> = BTreeMap::new();
        let mut tasks_by_zone: BTreeMap<&str, BTreeMap<&str, u32>> = BTreeMap::new();
        for worker in self.workers.values() {
            if self.frozen_until.contains_key(&worker.name) && self.now > worker.lease_start + self.facts.worker_lease {
                // Its lease has expired, so the worker drops its tasks as soon as it resumes.
                continue;
            }
            for task in worker.tasks.iter().filter(|t| matches!(t.state, TaskState::Running | TaskState::Saving)) {
                machines_by_task.entry(task.name.clone()).or_default().insert(worker.name.clone());
                let id = task.name.split('/').next().expect("a task's name starts with its job");
                let spec = &self.specs[id];
                *used_cpus.entry(&spec.team).or_default() += spec.cpus;
                *tasks_by_zone.entry(id).or_default().entry(&worker.zone).or_default() += 1;
                assert!(spec.spot || !worker.spot, "{} runs on a spot machine", task.name);
                if let Some(cancelled_at) = self.cancelled.get(id) {
                    assert!(
                        self.now <= *cancelled_at + self.facts.cancel_limit,
                        "{} runs although its job was cancelled",
                        task.name
                    );
                }
            }
        }
        for (team, cpus) in used_cpus {
            assert!(
                cpus <= self.facts.teams[team].cpus_max + 1e-6,
                "team {team} exceeds its quota: it uses {cpus} CPUs"
            );
        }
        for (id, zones) in tasks_by_zone {
            let spec = &self.specs[id];
            let max_per_zone = if spec.spread { spec.tasks.div_ceil(2) } else { u32::MAX };
            assert!(zones.values().all(|n| *n <= max_per_zone), "{id} is not spread over zones: {zones:?}");
            assert!(!spec.one_zone || zones.len() <= 1, "{id} is not in one zone: {zones:?}");
        }
        for (task, machines) in &machines_by_task {
            assert!(machines.len() <= 1, "at {:?} {task} runs on several machines: {machines:?}", self.now);
            if !self.running_on.contains_key(task) {
                self.started_tasks += 1;
                let id = task.split('/').next().expect("a task's name starts with its job");
                self.starts_after_cancel += u64::from(self.cancelled.contains_key(id));
                self.checker.check_start(self.now, id);
            }
        }
        self.running_on = machines_by_task;
    }

    /// Returns the running tasks of a job, each with its machine.
    pub fn running_tasks(&self, id: &str) -> Vec<(String, String)> {
        let tasks = self.running_on.iter().filter(|(task, _)| task.split('/').next() == Some(id));
        tasks.flat_map(|(task, machines)| machines.iter().map(|machine| (task.clone(), machine.clone()))).collect()
    }

    /// Returns the number of placements of a job on a machine in the newest segment of the log.
    pub fn count_recorded_placements(&self, job: &str, machine: &str) -> usize {
        let segments = self.store.rows.iter().filter(|(key, _)| key.starts_with("log/"));
        let newest = segments.max_by_key(|(_, row)| row.1);
        let value = newest.map(|(_, row)| &row.0);
        let Some(value) = value else { return 0 };
        let is_machine =
            |index: &serde_json::Value| value["machines"][index.as_u64().unwrap_or(0) as usize][0] == machine;
        let jobs = value["jobs"].as_array().into_iter().flatten().filter(|changed| changed["job"] == job);
        let placements = jobs.flat_map(|changed| changed["places"].as_array().into_iter().flatten());
        placements.filter(|placement| is_machine(&placement[1])).count()
    }
}
