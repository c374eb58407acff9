//! A checker of the responses that users receive: it records requests and responses, and verifies each
//! response against the earlier ones and against the tasks that ran.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rushyoke_core::{HttpResponse, Input};
use rushyoke_wire::job::{JobStatus, JobView};

/// The kind of a user's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    Submit,
    Status,
    Cancel,
    Other,
}

/// A user's request, and what users had been told about the job when it was sent.
#[derive(Clone, Debug)]
pub struct UserRequest {
    kind: RequestKind,
    job: String,
    was_accepted: bool,
    final_state: Option<JobStatus>,
}

/// Records the requests of users and the responses to them, and checks each response.
#[derive(Default)]
pub struct Checker {
    submitted_jobs: BTreeSet<String>,
    accepted_jobs: BTreeSet<String>,
    /// Jobs whose submission was refused permanently. Jobs with dependencies are left out, since they may be
    /// accepted later.
    refused_jobs: BTreeSet<String>,
    /// Final states that users were told.
    final_states: BTreeMap<String, JobStatus>,
    /// Jobs that a user asked to cancel.
    cancel_requested: BTreeSet<String>,
    /// Numbers of the tasks that finished on some machine, by job.
    finished_task_numbers: BTreeMap<String, BTreeSet<u32>>,
    /// Number of tasks, by job.
    task_counts: BTreeMap<String, u32>,
    /// Dependencies, by job.
    dependencies: BTreeMap<String, Vec<String>>,
    /// Time at which the cancellation of a job was first confirmed to a user who requested it.
    cancel_confirmed_at: BTreeMap<String, Duration>,
    /// Number of dependencies checked at the starts of dependents' tasks.
    pub checked_dependencies: u64,
    /// Number of responses with status 200 or 201.
    pub successful_responses: u64,
}

impl Checker {
    /// Records a request at the moment it is sent.
    pub(crate) fn record_request(&mut self, input: &Input) -> UserRequest {
        let (kind, job) = match input {
            Input::Submit { spec, .. } => {
                self.submitted_jobs.insert(spec.id.clone());
                self.task_counts.entry(spec.id.clone()).or_insert(spec.tasks);
                self.dependencies.entry(spec.id.clone()).or_insert_with(|| spec.dependencies.clone());
                (RequestKind::Submit, spec.id.clone())
            }
            Input::Status { id, .. } => (RequestKind::Status, id.clone()),
            Input::Cancel { id, .. } => {
                self.cancel_requested.insert(id.clone());
                (RequestKind::Cancel, id.clone())
            }
            _ => (RequestKind::Other, String::new()),
        };
        UserRequest {
            kind,
            was_accepted: self.accepted_jobs.contains(&job),
            final_state: self.final_states.get(&job).copied(),
            job,
        }
    }

    /// Checks a response against all that any node had told users before the request was sent.
    pub(crate) fn check_response(
        &mut self,
        now: Duration,
        cancel_limit: Duration,
        node: usize,
        request: &UserRequest,
        response: &HttpResponse,
    ) {
        let UserRequest { kind, job, was_accepted, final_state } = request;
        if *kind == RequestKind::Other {
            return;
        }
        if matches!(response.status, 400 | 404 | 422) {
            assert!(
                !was_accepted,
                "at {now:?} node {node} responds {} about {job}, which was accepted",
                response.status
            );
            if *kind == RequestKind::Submit && self.dependencies.get(job).is_none_or(Vec::is_empty) {
                self.refused_jobs.insert(job.clone());
            }
            return;
        }
        if !matches!(response.status, 200 | 201) {
            assert!(matches!(response.status, 429 | 503), "{job}: status {}", response.status);
            assert!(response.retry_after_s.is_some(), "{job}: {} without retry-after", response.status);
            return;
        }
        self.successful_responses += 1;
        let view: JobView = serde_json::from_slice(&response.body).expect("a job's state is well formed");
        assert!(!self.refused_jobs.contains(job), "at {now:?} node {node} accepts {job}, which was refused");
        assert!(self.submitted_jobs.contains(job), "at {now:?} {job}, which nobody submitted, is {:?}", view.state);
        if let Some(final_state) = final_state {
            assert_eq!(view.state, *final_state, "at {now:?} node {node}: {job} left its final state");
        }
        self.accepted_jobs.insert(job.clone());
        if view.state.is_final() {
            let final_state = *self.final_states.entry(job.clone()).or_insert(view.state);
            assert_eq!(final_state, view.state, "at {now:?} {job} has two final states");
        }
        match view.state {
            JobStatus::Done => {
                let (finished, total) = (self.finished_tasks(job), self.task_counts[job]);
                assert_eq!(finished, total, "at {now:?} {job} is reported done");
            }
            JobStatus::Cancelled => {
                assert!(
                    self.with_dependencies(job).any(|id| self.cancel_requested.contains(&id)),
                    "at {now:?} nobody cancelled {job}"
                );
                if *kind == RequestKind::Cancel {
                    self.cancel_confirmed_at.entry(job.clone()).or_insert(now);
                }
            }
            _ => {
                let cancelled_at = self.with_dependencies(job).filter_map(|id| self.cancel_confirmed_at.get(&id)).min();
                assert!(
                    cancelled_at.is_none_or(|confirmed_at| now <= *confirmed_at + cancel_limit),
                    "at {now:?} node {node}: {job} is {:?}, but it or a dependency was cancelled at {cancelled_at:?}",
                    view.state
                );
            }
        }
    }

    /// Returns a job and its direct and indirect dependencies.
    fn with_dependencies(&self, job: &str) -> impl Iterator<Item = String> {
        let (mut visited, mut pending) = (BTreeSet::new(), vec![job.to_owned()]);
        while let Some(id) = pending.pop() {
            if visited.insert(id.clone()) {
                pending.extend(self.dependencies.get(&id).into_iter().flatten().cloned());
            }
        }
        visited.into_iter()
    }

    /// Checks at the start of a job's task that all dependencies of the job are done.
    pub(crate) fn check_start(&mut self, now: Duration, job: &str) {
        for dependency in self.dependencies.get(job).into_iter().flatten() {
            let (finished, total) = (self.finished_tasks(dependency), self.task_counts.get(dependency).copied());
            assert_eq!(
                Some(finished),
                total,
                "at {now:?} a task of {job} starts before its dependency {dependency} is done"
            );
            self.checked_dependencies += 1;
        }
    }

    /// Whether a direct dependency of the job is not done yet.
    pub(crate) fn has_unfinished_dependencies(&self, job: &str) -> bool {
        let dependencies = self.dependencies.get(job).into_iter().flatten();
        dependencies.into_iter().any(|id| self.task_counts.get(id).is_none_or(|total| self.finished_tasks(id) < *total))
    }

    /// Records that a task, named `job/number`, finished on some machine.
    pub(crate) fn record_finished_task(&mut self, task: &str) {
        if let Some((job, number)) = task.rsplit_once('/')
            && let Ok(number) = number.parse()
        {
            self.finished_task_numbers.entry(job.to_owned()).or_default().insert(number);
        }
    }

    /// Records a cancellation that a scenario requests from a node outside the simulation.
    pub fn record_cancel_request(&mut self, job: &str) {
        self.cancel_requested.insert(job.to_owned());
    }

    /// Records the dependencies of a job that was accepted before the simulation started.
    pub fn add_earlier_dependencies(&mut self, job: &str, dependencies: &[String]) {
        self.dependencies.insert(job.to_owned(), dependencies.to_vec());
    }

    /// Records that the cancellation of a job was confirmed to a user just before the simulation started.
    pub fn add_earlier_cancellation(&mut self, job: &str, now: Duration) {
        self.cancel_requested.insert(job.to_owned());
        self.final_states.insert(job.to_owned(), JobStatus::Cancelled);
        self.cancel_confirmed_at.insert(job.to_owned(), now);
    }

    /// Records a job that was accepted, and finished if `done`, before the simulation started.
    pub fn add_earlier_job(&mut self, job: &str, tasks: u32, done: bool) {
        self.submitted_jobs.insert(job.to_owned());
        self.accepted_jobs.insert(job.to_owned());
        self.task_counts.insert(job.to_owned(), tasks);
        if done {
            self.finished_task_numbers.insert(job.to_owned(), (0..tasks).collect());
        }
    }

    /// Returns the number of a job's tasks that finished on some machine.
    pub fn finished_tasks(&self, job: &str) -> u32 {
        self.finished_task_numbers.get(job).map_or(0, |tasks| tasks.len() as u32)
    }

    /// Whether a user was told that the job is done or cancelled.
    pub fn has_ended(&self, job: &str) -> bool {
        self.final_states.contains_key(job)
    }

    /// Returns the jobs that a user was told are accepted.
    pub fn accepted_jobs(&self) -> Vec<String> {
        self.accepted_jobs.iter().cloned().collect()
    }
}
