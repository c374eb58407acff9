//! A fake worker.

use std::time::Duration;

use rushyoke_wire::worker::{Cause, Order, Orders, Report, TaskReport, TaskState};

/// A task on a worker.
#[derive(Clone, Debug)]
pub struct Task {
    /// Its name, made of the job's id and the task's number.
    pub name: String,
    /// Number of the attempt.
    pub attempt: u64,
    /// Its current state.
    pub state: TaskState,
    /// Why it exited, once it has.
    pub cause: Option<Cause>,
    /// When its current state ends, if no order ends it earlier.
    pub state_ends_at: Duration,
}

/// A fake worker on its machine.
pub struct Worker {
    /// The machine's name.
    pub name: String,
    /// The machine's zone.
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// Name of the machine's type.
    pub kind: String,
    /// Number of the session; each expiry of the lease starts a new one.
    pub session: u64,
    /// Number of the last report.
    seq: u64,
    /// The highest fencing token received.
    pub token: u64,
    /// When the worker started.
    pub started_at: Duration,
    /// Whether it has accepted a controller's message since, and with it a token.
    pub had_message: bool,
    /// Whether it has seen a higher token that it has not reported yet.
    token_is_news: bool,
    /// When it last reported early because of a higher token.
    token_reported_at: Option<Duration>,
    /// All tasks on the machine.
    pub tasks: Vec<Task>,
    /// Start of the lease: when the last report that got a response was sent, or when the session began.
    pub lease_start: Duration,
    /// The node that it reports to.
    pub node: usize,
    /// When it reports next.
    pub next_report_at: Duration,
    /// The report that waits for a response: its id, the time at which it was sent and its session.
    pub pending_report: Option<(u64, Duration, u64)>,
    /// Whether every task that it starts fails.
    pub fails_all_tasks: bool,
    /// Why it refuses every start, if it does.
    pub refuses_starts: Option<Cause>,
    /// Duration of its tasks, in seconds.
    pub task_duration_s: f64,
    /// Seconds until the cloud reclaims the machine, if it gave notice.
    pub notice_s: Option<f64>,
    /// Factor by which its tasks take longer than others.
    pub slowdown: f64,
}

impl Worker {
    /// Returns a worker that has just started, without tasks.
    pub fn new(name: String, zone: String, spot: bool, kind: String, now: Duration) -> Worker {
        Worker {
            name,
            zone,
            spot,
            kind,
            session: 1,
            seq: 0,
            token: 0,
            started_at: now,
            had_message: false,
            token_is_news: false,
            token_reported_at: None,
            tasks: Vec::new(),
            lease_start: now,
            node: 0,
            next_report_at: now,
            pending_report: None,
            fails_all_tasks: false,
            refuses_starts: None,
            task_duration_s: 10.0,
            notice_s: None,
            slowdown: 1.0,
        }
    }

    /// Returns its next report.
    pub fn report(&mut self) -> Report {
        self.seq += 1;
        Report {
            machine: self.name.clone(),
            addr: self.name.clone(),
            machine_type: self.kind.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            session: self.session,
            seq: self.seq,
            token: self.token,
            notice_s: self.notice_s,
            tasks: self
                .tasks
                .iter()
                .map(|task| TaskReport {
                    task: task.name.clone(),
                    attempt: task.attempt,
                    state: task.state,
                    cause: task.cause,
                    saved: None,
                })
                .collect(),
        }
    }

    /// Makes the worker send its next report to a node at once, as if it had come to that node in its search.
    pub fn report_to(&mut self, node: usize, now: Duration) {
        (self.node, self.next_report_at, self.pending_report) = (node, now, None);
    }

    /// Returns the number of its tasks that failed.
    pub fn failed_tasks(&self) -> u64 {
        self.tasks.iter().filter(|t| t.cause == Some(Cause::Error)).count() as u64
    }

    /// Advances the worker to the time `now`: fetches of images complete, tasks exit, and all tasks are dropped if
    /// the lease has expired. Tasks for which `is_service` holds run until they are stopped. Returns whether
    /// anything changed.
    pub fn advance(&mut self, now: Duration, lease: Duration, is_service: impl Fn(&str) -> bool) -> bool {
        // A higher token counts as a change at most once per half of a lease.
        let mut changed =
            self.token_is_news && self.token_reported_at.is_none_or(|reported_at| now >= reported_at + lease / 2);
        if changed {
            self.token_is_news = false;
            self.token_reported_at = Some(now);
        }
        if now > self.lease_start + lease {
            self.tasks.clear();
            self.session += 1;
            self.lease_start = now;
            changed = true;
        }
        for task in &mut self.tasks {
            if now < task.state_ends_at {
                continue;
            }
            match task.state {
                TaskState::Fetching if self.fails_all_tasks => {
                    (task.state, task.cause) = (TaskState::Exited, Some(Cause::Error))
                }
                TaskState::Fetching => {
                    task.state = TaskState::Running;
                    // The durations of a job's tasks differ slightly.
                    let number: u32 = task.name.rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(0);
                    let duration = Duration::from_secs_f64(
                        self.task_duration_s * self.slowdown * (1.0 + 0.03 * f64::from(number % 5)),
                    );
                    task.state_ends_at = if is_service(&task.name) { Duration::MAX } else { now + duration };
                }
                TaskState::Running => (task.state, task.cause) = (TaskState::Exited, Some(Cause::Done)),
                TaskState::Saving => (task.state, task.cause) = (TaskState::Exited, Some(Cause::Stopped)),
                TaskState::Exited => continue,
            }
            changed = true;
        }
        changed
    }

    /// Handles the response to a report. It is ignored if its token is too low or the report's session is over.
    pub fn handle_report_response(&mut self, now: Duration, sent_at: Duration, session: u64, orders: &Orders) {
        if orders.token < self.token || session != self.session {
            return;
        }
        self.had_message = true;
        self.note_token(orders.token);
        self.lease_start = self.lease_start.max(sent_at);
        self.execute_orders(now, &orders.orders);
    }

    /// Handles a direct call and returns the HTTP status of the response.
    pub fn handle_direct_call(&mut self, now: Duration, orders: &Orders) -> u16 {
        if orders.token < self.token || orders.session != Some(self.session) {
            return 409;
        }
        self.note_token(orders.token);
        self.execute_orders(now, &orders.orders);
        200
    }

    fn note_token(&mut self, token: u64) {
        self.token_is_news |= token > self.token;
        self.token = token;
    }

    /// Starts, stops and forgets tasks as ordered.
    fn execute_orders(&mut self, now: Duration, orders: &[Order]) {
        for order in orders {
            match order {
                Order::Start { task, attempt } => {
                    if self.tasks.iter().any(|t| t.name == *task && t.attempt == *attempt) {
                        continue;
                    }
                    let is_active = self.tasks.iter().any(|t| t.name == *task && t.state != TaskState::Exited);
                    let refusal = if is_active { Some(Cause::AttemptConflict) } else { self.refuses_starts };
                    let state = if refusal.is_some() { TaskState::Exited } else { TaskState::Fetching };
                    let cause = refusal;
                    let state_ends_at = now + Duration::from_millis(500);
                    self.tasks.push(Task { name: task.clone(), attempt: *attempt, state, cause, state_ends_at });
                }
                Order::Stop { task, attempt, grace_s } => {
                    for stopped_task in self.tasks.iter_mut().filter(|t| t.name == *task && t.attempt == *attempt) {
                        if stopped_task.state == TaskState::Running && *grace_s > 0.0 {
                            stopped_task.state = TaskState::Saving;
                            stopped_task.state_ends_at = now + Duration::from_secs_f64(*grace_s);
                        } else if stopped_task.state != TaskState::Exited {
                            (stopped_task.state, stopped_task.cause) = (TaskState::Exited, Some(Cause::Stopped));
                        }
                    }
                }
                Order::Forget { task, attempt } => {
                    self.tasks.retain(|t| !(t.name == *task && t.attempt == *attempt && t.state == TaskState::Exited));
                }
            }
        }
    }
}
