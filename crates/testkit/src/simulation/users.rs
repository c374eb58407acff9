//! Simulated users: they submit, query and cancel jobs at the node that a scenario names.

use std::time::Duration;

use rushyoke_core::{HttpResponse, Input, RequestId};
use rushyoke_wire::job::{JobSpec, JobStatus, JobView};

use super::{Requester, STEP, Simulation};

impl Simulation {
    /// Sends a user's request to a node and returns the request's number.
    pub(super) fn send_request(&mut self, node: usize, input: impl FnOnce(RequestId) -> Input) -> u64 {
        self.serial += 1;
        let id = self.serial;
        let request_id = RequestId(id);
        let input = input(request_id);
        let user_request = self.checker.record_request(&input);
        self.requesters.insert((node, request_id), Requester::User(id, user_request));
        self.deliver(node, input);
        id
    }

    /// Advances the simulation until a response arrives, for at most 500 steps.
    fn wait_for_response(&mut self, id: u64) -> Option<HttpResponse> {
        for _ in 0..500 {
            if let Some(response) = self.responses.remove(&id) {
                return Some(response);
            }
            self.run(STEP);
        }
        None
    }

    /// Submits a job at a node. Returns the HTTP status of the response, if one arrived.
    pub fn submit(&mut self, node: usize, spec: JobSpec) -> Option<u16> {
        self.specs.insert(spec.id.clone(), spec.clone());
        let id = self.send_request(node, |request_id| Input::Submit { request_id, spec: Box::new(spec) });
        Some(self.wait_for_response(id)?.status)
    }

    /// Asks a node for a job's state. Returns the HTTP status and, if it is 200, the job's view.
    pub fn status(&mut self, node: usize, job: &str) -> Option<(u16, Option<JobView>)> {
        let id = self.send_request(node, |request_id| Input::Status { request_id, id: job.into() });
        let response = self.wait_for_response(id)?;
        Some((response.status, serde_json::from_slice(&response.body).ok()))
    }

    /// Asks a node for a job's state without waiting for the response, which is checked when it arrives.
    pub fn send_status_request(&mut self, node: usize, job: &str) {
        self.send_request(node, |request_id| Input::Status { request_id, id: job.into() });
    }

    /// Submits a job at a node without waiting for the response, which is checked when it arrives.
    pub fn send_submission(&mut self, node: usize, spec: JobSpec) {
        self.specs.insert(spec.id.clone(), spec.clone());
        self.send_request(node, |request_id| Input::Submit { request_id, spec: Box::new(spec) });
    }

    /// Asks a node for the states of many jobs at once. Returns the HTTP statuses of the responses that arrive
    /// within a second.
    pub fn statuses_of_all(&mut self, node: usize, jobs: &[String]) -> Vec<u16> {
        let requests =
            jobs.iter().map(|job| self.send_request(node, |request_id| Input::Status { request_id, id: job.clone() }));
        let requests: Vec<u64> = requests.collect();
        self.run(Duration::from_secs(1));
        requests.iter().filter_map(|id| Some(self.responses.remove(id)?.status)).collect()
    }

    /// Asks a node for a job's state and returns it, if the response has one.
    pub fn job_state(&mut self, node: usize, job: &str) -> Option<JobStatus> {
        self.status(node, job)?.1.map(|view| view.state)
    }

    /// Cancels a job at a node. Returns the HTTP status and, if it is 200, the job's view.
    pub fn cancel(&mut self, node: usize, job: &str) -> Option<(u16, Option<JobView>)> {
        let id = self.send_request(node, |request_id| Input::Cancel { request_id, id: job.into() });
        let response = self.wait_for_response(id)?;
        let view: Option<JobView> = serde_json::from_slice(&response.body).ok();
        if view.as_ref().is_some_and(|v| v.state == JobStatus::Cancelled) {
            self.cancelled.entry(job.into()).or_insert(self.now);
        }
        Some((response.status, view))
    }

    /// Sends a readiness check to a node and returns the HTTP status.
    pub fn ready(&mut self, node: usize) -> Option<u16> {
        let id = self.send_request(node, |request_id| Input::Ready { request_id });
        Some(self.wait_for_response(id)?.status)
    }
}
