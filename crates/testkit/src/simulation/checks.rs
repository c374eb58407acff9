//! The rules that hold at every moment, and what is checked once troubles are over.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rushyoke_core::Input;
use rushyoke_wire::job::JobSpec;
use rushyoke_wire::worker::TaskState;

use super::Simulation;
use crate::worker::Worker;

impl Simulation {
    /// What is checked once troubles are over: users who ask at every node every five seconds
    /// are answered about each accepted job within 75 s, and no job waits for 90 s while a
    /// machine that fits has room and its team is under its limit.
    pub fn check_recovered(&mut self) {
        let jobs = self.checker.accepted_jobs();
        let mut answered: BTreeMap<String, Duration> = jobs.iter().map(|job| (job.clone(), self.now)).collect();
        let mut waits: BTreeMap<String, Duration> = BTreeMap::new();
        for _ in 0..22 {
            self.run(Duration::from_secs(4));
            for node in 0..self.node_processes.len() {
                let asked: Vec<(String, u64)> = jobs
                    .iter()
                    .map(|job| {
                        (
                            job.clone(),
                            self.send_request(node, |request_id| Input::Status { request_id, id: job.clone() }),
                        )
                    })
                    .collect();
                self.run(Duration::from_millis(350));
                for (job, id) in asked {
                    if self.responses.remove(&id).is_some_and(|answer| answer.status == 200) {
                        answered.insert(job, self.now);
                    }
                }
            }
            for (job, at) in &answered {
                assert!(self.now - *at < Duration::from_secs(75), "no question about {job} is answered");
            }
            for job in &jobs {
                if !self.could_start(job) {
                    waits.remove(job);
                } else {
                    let since = *waits.entry(job.clone()).or_insert(self.now);
                    let waited = self.now - since;
                    assert!(waited < Duration::from_secs(90), "{job} waits although there is room");
                }
            }
        }
        let long: Vec<&String> = waits
            .iter()
            .filter(|(_, since)| self.now - **since > Duration::from_secs(60))
            .map(|(job, _)| job)
            .collect();
        assert!(long.is_empty(), "{long:?} wait although there is room");
    }

    /// Whether a task of the job waits that a machine has room for, within its team's limit.
    fn could_start(&self, id: &str) -> bool {
        let spec = &self.specs[id];
        if self.checker.has_ended(id) || self.cancelled.contains_key(id) || self.checker.has_unfinished_dependencies(id)
        {
            return false;
        }
        let of = |task: &str| task.split('/').next().and_then(|id| self.specs.get(id));
        let present = |w: &Worker| {
            let held = w.tasks.iter().filter(|t| t.state != TaskState::Exited);
            held.filter_map(|t| of(&t.name)).cloned().collect::<Vec<JobSpec>>()
        };
        let all: Vec<JobSpec> = self.workers.values().flat_map(present).collect();
        let there = all.iter().filter(|s| s.id == id).count() as u32;
        let finished = self.checker.finished_tasks(id);
        if there + finished >= spec.tasks {
            return false;
        }
        let used: f64 = all.iter().filter(|s| s.team == spec.team).map(|s| s.cpus).sum();
        if used + spec.cpus > self.facts.teams[&spec.team].cpus_max + 1e-6 {
            return false;
        }
        let fits = |w: &Worker| {
            let kind = self.cloud.types.iter().find(|t| t.name == w.kind);
            let (cpus, memory) = kind.map_or((0.0, 0.0), |k| (k.cpus, k.memory_gb));
            let (held_cpus, held_memory) =
                present(w).iter().fold((0.0, 0.0), |(c, m), s| (c + s.cpus, m + s.memory_gb));
            held_cpus + spec.cpus <= cpus + 1e-6
                && held_memory + spec.memory_gb <= memory + 1e-6
                && (spec.spot || !w.spot)
                && spec.zone.as_ref().is_none_or(|zone| *zone == w.zone)
                && !w.fails_all_tasks
                && w.notice_s.is_none()
        };
        !spec.one_zone && !spec.spread && self.workers.values().any(fits)
    }

    /// The rules that hold at every moment.
    pub(super) fn check_invariants(&mut self) {
        let mut on: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        let mut zones: BTreeMap<&str, BTreeMap<&str, u32>> = BTreeMap::new();
        for worker in self.workers.values() {
            if self.frozen_until.contains_key(&worker.name) && self.now > worker.lease_start + self.facts.worker_lease {
                // Its tasks are dropped as soon as it goes on.
                continue;
            }
            for task in worker.tasks.iter().filter(|t| matches!(t.state, TaskState::Running | TaskState::Saving)) {
                on.entry(task.name.clone()).or_default().insert(worker.name.clone());
                let id = task.name.split('/').next().expect("a task's name starts with its job");
                let spec = &self.specs[id];
                *used.entry(&spec.team).or_default() += spec.cpus;
                *zones.entry(id).or_default().entry(&worker.zone).or_default() += 1;
                assert!(spec.spot || !worker.spot, "{} runs on a spot machine", task.name);
                if let Some(since) = self.cancelled.get(id) {
                    assert!(
                        self.now <= *since + self.facts.cancel_limit,
                        "{} runs although it is cancelled",
                        task.name
                    );
                }
            }
        }
        for (team, cpus) in used {
            assert!(cpus <= self.facts.teams[team].cpus_max + 1e-6, "team {team} uses {cpus} CPUs");
        }
        for (id, zones) in zones {
            let spec = &self.specs[id];
            let most = if spec.spread { spec.tasks.div_ceil(2) } else { u32::MAX };
            assert!(zones.values().all(|n| *n <= most), "{id} is not spread: {zones:?}");
            assert!(!spec.one_zone || zones.len() <= 1, "{id} is not together: {zones:?}");
        }
        for (task, machines) in &on {
            assert!(machines.len() <= 1, "at {:?} {task} is on {machines:?}", self.now);
            if !self.running_on.contains_key(task) {
                self.started_tasks += 1;
                let id = task.split('/').next().expect("a task's name starts with its job");
                self.starts_after_cancel += u64::from(self.cancelled.contains_key(id));
                self.checker.check_start(self.now, id);
            }
        }
        self.running_on = on;
    }

    /// Machines on which a job's tasks run now.
    pub fn running_tasks(&self, id: &str) -> Vec<(String, String)> {
        let of_job = self.running_on.iter().filter(|(task, _)| task.split('/').next() == Some(id));
        of_job.flat_map(|(task, on)| on.iter().map(|m| (task.clone(), m.clone()))).collect()
    }

    /// Tasks of a job that the newest records place on a machine.
    pub fn count_recorded_placements(&self, job: &str, machine: &str) -> usize {
        let segments = self.store.rows.iter().filter(|(key, _)| key.starts_with("log/"));
        let newest = segments.max_by_key(|(_, row)| row.1);
        let value = newest.map(|(_, row)| &row.0);
        let Some(value) = value else { return 0 };
        let named = |index: &serde_json::Value| value["machines"][index.as_u64().unwrap_or(0) as usize][0] == machine;
        let jobs = value["jobs"].as_array().into_iter().flatten().filter(|changed| changed["job"] == job);
        let places = jobs.flat_map(|changed| changed["places"].as_array().into_iter().flatten());
        places.filter(|place| named(&place[1])).count()
    }
}
