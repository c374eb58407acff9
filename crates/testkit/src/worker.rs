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
    pub why: Option<Cause>,
    /// When the present state ends by itself.
    pub until: Duration,
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
    pub lease_from: Duration,
    /// The node that it reports to.
    pub node: usize,
    /// When it reports next.
    pub next_report: Duration,
    /// Identity and sending time of the report that waits for an answer.
    pub waiting: Option<(u64, Duration, u64)>,
    /// Every task that it starts fails.
    pub fails_all: bool,
    /// How long its tasks run.
    pub run_s: f64,
    /// Seconds until the cloud takes it back, if it gave notice.
    pub notice_s: Option<f64>,
    /// How many times as long as others its tasks take.
    pub slow: f64,
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
            lease_from: now,
            node: 0,
            next_report: now,
            waiting: None,
            fails_all: false,
            run_s: 10.0,
            notice_s: None,
            slow: 1.0,
        }
    }

    /// Its next report.
    pub fn report(&mut self) -> Report {
        self.seq += 1;
        Report {
            machine: self.name.clone(),
            addr: self.name.clone(),
            kind: self.kind.clone(),
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
                    cause: t.why,
                    saved: None,
                })
                .collect(),
        }
    }

    /// Tasks listed as failed.
    pub fn errors(&self) -> u64 {
        self.tasks.iter().filter(|t| t.why == Some(Cause::Error)).count() as u64
    }

    /// Lets time pass: images arrive, tasks end, the lease may run out.
    pub fn pass(&mut self, now: Duration, lease: Duration, service: impl Fn(&str) -> bool) -> bool {
        let mut changed = false;
        if now > self.lease_from + lease {
            self.tasks.clear();
            self.session += 1;
            self.lease_from = now;
            changed = true;
        }
        for task in &mut self.tasks {
            if now < task.until {
                continue;
            }
            match task.state {
                TaskState::Fetching if self.fails_all => {
                    (task.state, task.why) = (TaskState::Exited, Some(Cause::Error))
                }
                TaskState::Fetching => {
                    task.state = TaskState::Running;
                    // Tasks of one job differ a little.
                    let number: u32 = task.name.rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(0);
                    let run = Duration::from_secs_f64(self.run_s * self.slow * (1.0 + 0.03 * f64::from(number % 5)));
                    task.until = if service(&task.name) { Duration::MAX } else { now + run };
                }
                TaskState::Running => (task.state, task.why) = (TaskState::Exited, Some(Cause::Done)),
                TaskState::Saving => (task.state, task.why) = (TaskState::Exited, Some(Cause::Stopped)),
                TaskState::Exited => continue,
            }
            changed = true;
        }
        changed
    }

    /// An answer to a report; dropped if its token is too low.
    pub fn answered(&mut self, now: Duration, sent: Duration, session: u64, orders: &Orders) {
        if orders.token < self.token || session != self.session {
            return;
        }
        self.token = orders.token;
        self.lease_from = self.lease_from.max(sent);
        self.obey(now, &orders.orders);
    }

    /// Direct orders; the status of the answer.
    pub fn direct(&mut self, now: Duration, orders: &Orders) -> u16 {
        if orders.token < self.token || orders.session != Some(self.session) {
            return 409;
        }
        self.token = orders.token;
        self.obey(now, &orders.orders);
        200
    }

    fn obey(&mut self, now: Duration, orders: &[Order]) {
        for order in orders {
            match order {
                Order::Start { task, attempt } => {
                    if self.tasks.iter().any(|t| t.name == *task && t.attempt == *attempt) {
                        continue;
                    }
                    let busy = self.tasks.iter().any(|t| t.name == *task && t.state != TaskState::Exited);
                    let (state, why) = if busy {
                        (TaskState::Exited, Some(Cause::AttemptConflict))
                    } else {
                        (TaskState::Fetching, None)
                    };
                    let until = now + Duration::from_millis(500);
                    self.tasks.push(Task { name: task.clone(), attempt: *attempt, state, why, until });
                }
                Order::Stop { task, attempt, grace_s } => {
                    for t in self.tasks.iter_mut().filter(|t| t.name == *task && t.attempt == *attempt) {
                        if t.state == TaskState::Running && *grace_s > 0.0 {
                            t.state = TaskState::Saving;
                            t.until = now + Duration::from_secs_f64(*grace_s);
                        } else if t.state != TaskState::Exited {
                            (t.state, t.why) = (TaskState::Exited, Some(Cause::Stopped));
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
