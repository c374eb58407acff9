//! Users of the stand-ins: they submit, ask and cancel at the node that a story names.

use std::time::Duration;

use rushyoke_core::{HttpResponse, Input, RequestId};
use rushyoke_wire::job::{JobSpec, JobStatus, JobView};

use super::{Requester, STEP, Simulation};

impl Simulation {
    pub(super) fn send_request(&mut self, node: usize, input: impl FnOnce(RequestId) -> Input) -> u64 {
        self.serial += 1;
        let id = self.serial;
        let request_id = RequestId(id);
        let input = input(request_id);
        let question = self.checker.record_request(&input);
        self.requesters.insert((node, request_id), Requester::User(id, question));
        self.deliver(node, input);
        id
    }

    fn wait_for_response(&mut self, id: u64) -> Option<HttpResponse> {
        for _ in 0..500 {
            if let Some(answer) = self.responses.remove(&id) {
                return Some(answer);
            }
            self.run(STEP);
        }
        None
    }

    /// Submits at a node; the status of the answer, if one came.
    pub fn submit(&mut self, node: usize, spec: JobSpec) -> Option<u16> {
        self.specs.insert(spec.id.clone(), spec.clone());
        let id = self.send_request(node, |request_id| Input::Submit { request_id, spec: Box::new(spec) });
        Some(self.wait_for_response(id)?.status)
    }

    /// Asks a node for a job's state: the status and, with 200, the state.
    pub fn status(&mut self, node: usize, job: &str) -> Option<(u16, Option<JobView>)> {
        let id = self.send_request(node, |request_id| Input::Status { request_id, id: job.into() });
        let answer = self.wait_for_response(id)?;
        Some((answer.status, serde_json::from_slice(&answer.body).ok()))
    }

    /// Asks a node for a job's state without waiting for the answer, which is checked when it comes.
    pub fn send_status_request(&mut self, node: usize, job: &str) {
        self.send_request(node, |request_id| Input::Status { request_id, id: job.into() });
    }

    /// Submits at a node without waiting for the answer.
    pub fn send_submission(&mut self, node: usize, spec: JobSpec) {
        self.specs.insert(spec.id.clone(), spec.clone());
        self.send_request(node, |request_id| Input::Submit { request_id, spec: Box::new(spec) });
    }

    /// Asks a node for many jobs at once; the statuses of the answers within a second.
    pub fn statuses_of_all(&mut self, node: usize, jobs: &[String]) -> Vec<u16> {
        let asked =
            jobs.iter().map(|job| self.send_request(node, |request_id| Input::Status { request_id, id: job.clone() }));
        let asked: Vec<u64> = asked.collect();
        self.run(Duration::from_secs(1));
        asked.iter().filter_map(|id| Some(self.responses.remove(id)?.status)).collect()
    }

    /// Asks a node for a job's state.
    pub fn job_state(&mut self, node: usize, job: &str) -> Option<JobStatus> {
        self.status(node, job)?.1.map(|view| view.state)
    }

    /// Cancels at a node; the status and, with 200, the state.
    pub fn cancel(&mut self, node: usize, job: &str) -> Option<(u16, Option<JobView>)> {
        let id = self.send_request(node, |request_id| Input::Cancel { request_id, id: job.into() });
        let answer = self.wait_for_response(id)?;
        let view: Option<JobView> = serde_json::from_slice(&answer.body).ok();
        if view.as_ref().is_some_and(|v| v.state == JobStatus::Cancelled) {
            self.cancelled.entry(job.into()).or_insert(self.now);
        }
        Some((answer.status, view))
    }

    /// The status of a health check.
    pub fn ready(&mut self, node: usize) -> Option<u16> {
        let id = self.send_request(node, |request_id| Input::Ready { request_id });
        Some(self.wait_for_response(id)?.status)
    }
}
