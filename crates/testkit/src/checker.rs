//! What users were told, and the rules for what they may be told next.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rushyoke_core::{HttpResponse, Input};
use rushyoke_wire::job::{JobStatus, JobView};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Submit,
    Status,
    Cancel,
    Other,
}

/// What a user asked, and what any user had been told of the job before.
#[derive(Clone, Debug)]
pub struct UserRequest {
    kind: Kind,
    job: String,
    was_accepted: bool,
    over: Option<JobStatus>,
}

/// The state of things as users know it.
#[derive(Default)]
pub struct Checker {
    submitted: BTreeSet<String>,
    accepted_jobs: BTreeSet<String>,
    /// Submissions that were refused for good; one that awaits others may be accepted later.
    refused: BTreeSet<String>,
    over: BTreeMap<String, JobStatus>,
    /// Jobs that a user asked to cancel.
    cancel_requested: BTreeSet<String>,
    /// Tasks that completed on some machine.
    done: BTreeMap<String, BTreeSet<u32>>,
    /// Numbers of tasks by job.
    tasks: BTreeMap<String, u32>,
    awaits: BTreeMap<String, Vec<String>>,
    /// When a user was told that a job is cancelled.
    cancelled: BTreeMap<String, Duration>,
    /// Tasks of jobs that await others which began.
    pub dependent_starts: u64,
    /// Answers of status 200 and 201.
    pub successful_responses: u64,
}

impl Checker {
    /// Notes a question at the moment it is asked.
    pub(crate) fn record_request(&mut self, input: &Input) -> UserRequest {
        let (kind, job) = match input {
            Input::Submit { spec, .. } => {
                self.submitted.insert(spec.id.clone());
                self.tasks.entry(spec.id.clone()).or_insert(spec.tasks);
                self.awaits.entry(spec.id.clone()).or_insert_with(|| spec.dependencies.clone());
                (Kind::Submit, spec.id.clone())
            }
            Input::Status { id, .. } => (Kind::Status, id.clone()),
            Input::Cancel { id, .. } => {
                self.cancel_requested.insert(id.clone());
                (Kind::Cancel, id.clone())
            }
            _ => (Kind::Other, String::new()),
        };
        UserRequest { kind, was_accepted: self.accepted_jobs.contains(&job), over: self.over.get(&job).copied(), job }
    }

    /// Checks an answer against all that any node told before its question was asked.
    pub(crate) fn check_response(
        &mut self,
        now: Duration,
        cancel: Duration,
        node: usize,
        question: &UserRequest,
        answer: &HttpResponse,
    ) {
        let UserRequest { kind, job, was_accepted, over } = question;
        if *kind == Kind::Other {
            return;
        }
        if matches!(answer.status, 400 | 404 | 422) {
            assert!(!was_accepted, "at {now:?} node {node} answers {} about {job}, which was accepted", answer.status);
            if *kind == Kind::Submit && self.awaits.get(job).is_none_or(Vec::is_empty) {
                self.refused.insert(job.clone());
            }
            return;
        }
        if !matches!(answer.status, 200 | 201) {
            assert!(matches!(answer.status, 429 | 503), "{job}: status {}", answer.status);
            assert!(answer.retry_after_s.is_some(), "{job}: {} without a time to come back", answer.status);
            return;
        }
        self.successful_responses += 1;
        let view: JobView = serde_json::from_slice(&answer.body).expect("a job's state is well formed");
        assert!(!self.refused.contains(job), "at {now:?} node {node} takes {job}, which was refused");
        assert!(self.submitted.contains(job), "at {now:?} {job}, which nobody submitted, is {:?}", view.state);
        if let Some(over) = over {
            assert_eq!(view.state, *over, "at {now:?} node {node}: {job} went back");
        }
        self.accepted_jobs.insert(job.clone());
        if view.state.is_final() {
            let told = *self.over.entry(job.clone()).or_insert(view.state);
            assert_eq!(told, view.state, "at {now:?} {job} has two ends");
        }
        match view.state {
            JobStatus::Done => {
                let (done, all) = (self.finished_tasks(job), self.tasks[job]);
                assert_eq!(done, all, "at {now:?} {job} is called done");
            }
            JobStatus::Cancelled => {
                assert!(
                    self.with_dependencies(job).any(|id| self.cancel_requested.contains(&id)),
                    "at {now:?} nobody cancelled {job}"
                );
                if *kind == Kind::Cancel {
                    self.cancelled.entry(job.clone()).or_insert(now);
                }
            }
            _ => {
                let lost = self.with_dependencies(job).filter_map(|id| self.cancelled.get(&id)).min();
                assert!(
                    lost.is_none_or(|since| now <= *since + cancel),
                    "at {now:?} node {node}: {job} is {:?}, but what it needs was cancelled at {lost:?}",
                    view.state
                );
            }
        }
    }

    /// A job, and all that it needs directly or through others.
    fn with_dependencies(&self, job: &str) -> impl Iterator<Item = String> {
        let (mut all, mut left) = (BTreeSet::new(), vec![job.to_owned()]);
        while let Some(id) = left.pop() {
            if all.insert(id.clone()) {
                left.extend(self.awaits.get(&id).into_iter().flatten().cloned());
            }
        }
        all.into_iter()
    }

    /// A task of the job begins: all that its job needs must be done.
    pub(crate) fn check_start(&mut self, now: Duration, job: &str) {
        for dep in self.awaits.get(job).into_iter().flatten() {
            let (done, all) = (self.finished_tasks(dep), self.tasks.get(dep).copied());
            assert_eq!(Some(done), all, "at {now:?} a task of {job} begins too early, before {dep} is done");
            self.dependent_starts += 1;
        }
    }

    /// Whether a job that it awaits is not done yet.
    pub(crate) fn has_unfinished_dependencies(&self, job: &str) -> bool {
        let awaits = self.awaits.get(job).into_iter().flatten();
        awaits.into_iter().any(|dep| self.tasks.get(dep).is_none_or(|tasks| self.finished_tasks(dep) < *tasks))
    }

    pub(crate) fn record_finished_task(&mut self, task: &str) {
        if let Some((job, number)) = task.rsplit_once('/')
            && let Ok(number) = number.parse()
        {
            self.done.entry(job.to_owned()).or_default().insert(number);
        }
    }

    /// A user asked a node that is not part of the story to cancel a job.
    pub fn record_cancel_request(&mut self, job: &str) {
        self.cancel_requested.insert(job.to_owned());
    }

    /// What a job that was accepted before the story began awaits.
    pub fn add_earlier_dependencies(&mut self, job: &str, awaits: &[String]) {
        self.awaits.insert(job.to_owned(), awaits.to_vec());
    }

    /// A user was told just before the story began that the job is cancelled.
    pub fn add_earlier_cancellation(&mut self, job: &str, now: Duration) {
        self.cancel_requested.insert(job.to_owned());
        self.over.insert(job.to_owned(), JobStatus::Cancelled);
        self.cancelled.insert(job.to_owned(), now);
    }

    /// A job that was accepted, and perhaps ended, before the story began.
    pub fn add_earlier_job(&mut self, job: &str, tasks: u32, done: bool) {
        self.submitted.insert(job.to_owned());
        self.accepted_jobs.insert(job.to_owned());
        self.tasks.insert(job.to_owned(), tasks);
        if done {
            self.done.insert(job.to_owned(), (0..tasks).collect());
        }
    }

    /// How many tasks of a job completed somewhere.
    pub fn finished_tasks(&self, job: &str) -> u32 {
        self.done.get(job).map_or(0, |tasks| tasks.len() as u32)
    }

    /// Whether a user was told that the job is done or cancelled.
    pub fn has_ended(&self, job: &str) -> bool {
        self.over.contains_key(job)
    }

    /// Jobs that a user was told are accepted.
    pub fn accepted_jobs(&self) -> Vec<String> {
        self.accepted_jobs.iter().cloned().collect()
    }
}
