//! A stand-in for a worker.

use std::time::Duration;

use rushyoke_wire::worker::{Cause, Order, Orders, Report, TaskReport, TaskState};

/// A task on a worker.
#[derive(Clone, Debug)]
pub struct Task {
    /// Its job and number.
    pub name: String,
    /// Which start of it this is.
    pub attempt: u64,
    /// What it does.
    pub state: TaskState,
    /// Why it has ended.
    pub cause: Option<Cause>,
    /// When the present state ends by itself.
    pub state_ends_at: Duration,
}

/// A stand-in for a worker on its machine.
pub struct Worker {
    /// The machine's name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Whether the cloud may take it back.
    pub spot: bool,
    /// Its type.
    pub kind: String,
    /// Counts the leases that have ended.
    pub session: u64,
    seq: u64,
    /// The highest token seen.
    pub token: u64,
    /// All tasks on the machine.
    pub tasks: Vec<Task>,
    /// When the last answered report was sent, or the session began.
    pub lease_start: Duration,
    /// The node that it reports to.
    pub node: usize,
    /// When it reports next.
    pub next_report_at: Duration,
    /// Identity and sending time of the report that waits for an answer.
    pub pending_report: Option<(u64, Duration, u64)>,
    /// Every task that it starts fails.
    pub fails_all_tasks: bool,
    /// How long its tasks run.
    pub task_duration_s: f64,
    /// Seconds until the cloud takes it back, if it gave notice.
    pub notice_s: Option<f64>,
    /// How many times as long as others its tasks take.
    pub slowdown: f64,
}

impl Worker {
    /// A worker that has just begun.
    pub fn new(name: String, zone: String, spot: bool, kind: String, now: Duration) -> Worker {
        Worker {
            name,
            zone,
            spot,
            kind,
            session: 1,
            seq: 0,
            token: 0,
            tasks: Vec::new(),
            lease_start: now,
            node: 0,
            next_report_at: now,
            pending_report: None,
            fails_all_tasks: false,
            task_duration_s: 10.0,
            notice_s: None,
            slowdown: 1.0,
        }
    }

    /// Its next report.
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
                .map(|t| TaskReport {
                    task: t.name.clone(),
                    attempt: t.attempt,
                    state: t.state,
                    cause: t.cause,
                    saved: None,
                })
                .collect(),
        }
    }

    /// Tasks listed as failed.
    pub fn failed_tasks(&self) -> u64 {
        self.tasks.iter().filter(|t| t.cause == Some(Cause::Error)).count() as u64
    }

    /// Lets time pass: images arrive, tasks end, the lease may run out.
    pub fn advance(&mut self, now: Duration, lease: Duration, service: impl Fn(&str) -> bool) -> bool {
        let mut changed = false;
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
                    // Tasks of one job differ a little.
                    let number: u32 = task.name.rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(0);
                    let run = Duration::from_secs_f64(
                        self.task_duration_s * self.slowdown * (1.0 + 0.03 * f64::from(number % 5)),
                    );
                    task.state_ends_at = if service(&task.name) { Duration::MAX } else { now + run };
                }
                TaskState::Running => (task.state, task.cause) = (TaskState::Exited, Some(Cause::Done)),
                TaskState::Saving => (task.state, task.cause) = (TaskState::Exited, Some(Cause::Stopped)),
                TaskState::Exited => continue,
            }
            changed = true;
        }
        changed
    }

    /// An answer to a report; dropped if its token is too low.
    pub fn handle_report_response(&mut self, now: Duration, sent: Duration, session: u64, orders: &Orders) {
        if orders.token < self.token || session != self.session {
            return;
        }
        self.token = orders.token;
        self.lease_start = self.lease_start.max(sent);
        self.execute_orders(now, &orders.orders);
    }

    /// Direct orders; the status of the answer.
    pub fn handle_direct_call(&mut self, now: Duration, orders: &Orders) -> u16 {
        if orders.token < self.token || orders.session != Some(self.session) {
            return 409;
        }
        self.token = orders.token;
        self.execute_orders(now, &orders.orders);
        200
    }

    fn execute_orders(&mut self, now: Duration, orders: &[Order]) {
        for order in orders {
            match order {
                Order::Start { task, attempt } => {
                    if self.tasks.iter().any(|t| t.name == *task && t.attempt == *attempt) {
                        continue;
                    }
                    let busy = self.tasks.iter().any(|t| t.name == *task && t.state != TaskState::Exited);
                    let (state, cause) = if busy {
                        (TaskState::Exited, Some(Cause::AttemptConflict))
                    } else {
                        (TaskState::Fetching, None)
                    };
                    let state_ends_at = now + Duration::from_millis(500);
                    self.tasks.push(Task { name: task.clone(), attempt: *attempt, state, cause, state_ends_at });
                }
                Order::Stop { task, attempt, grace_s } => {
                    for t in self.tasks.iter_mut().filter(|t| t.name == *task && t.attempt == *attempt) {
                        if t.state == TaskState::Running && *grace_s > 0.0 {
                            t.state = TaskState::Saving;
                            t.state_ends_at = now + Duration::from_secs_f64(*grace_s);
                        } else if t.state != TaskState::Exited {
                            (t.state, t.cause) = (TaskState::Exited, Some(Cause::Stopped));
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
