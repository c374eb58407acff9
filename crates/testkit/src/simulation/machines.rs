//! Machines and their workers: booting, running tasks and sending reports.

use std::time::Duration;

use rushyoke_wire::job::Kind;
use rushyoke_wire::worker::Cause;

use super::{Event, NETWORK_LATENCY, Simulation};
use crate::worker::Worker;

/// Time after which a worker gives up a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);

impl Simulation {
    /// Boots a rented machine and starts its worker.
    pub(super) fn boot_machine(&mut self, name: &str) {
        let rented = self.cloud.machines.get_mut(name).expect("the machine is rented");
        rented.booted = true;
        let mut worker = Worker::new(name.into(), rented.zone.clone(), rented.spot, rented.kind.clone(), self.now);
        worker.task_duration_s = self.task_duration_s;
        self.workers.insert(name.into(), worker);
    }

    /// Reboots a machine at once: its tasks end, and a new worker starts.
    pub fn restart_worker(&mut self, name: &str) {
        self.boot_machine(name);
    }

    /// Boots the rented machines whose boot time has passed.
    pub(super) fn boot_due_machines(&mut self) {
        let due: Vec<String> = self
            .cloud
            .machines
            .iter()
            .filter(|(name, machine)| {
                !machine.booted
                    && !self.cloud.never_boot.contains(*name)
                    && self.now >= machine.rented_at + self.boot_time
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.boot_machine(&name);
        }
    }

    /// Advances the workers' tasks and sends the reports that are due.
    pub(super) fn advance_workers(&mut self) {
        let (now, nodes) = (self.now, self.node_processes.len());
        let (lease, report_interval) = (self.facts.worker_lease, self.facts.report_interval);
        let mut reports = Vec::new();
        self.frozen_until.retain(|_, until| *until > now);
        self.interruptions.retain(|_, interruption| interruption.until > now);
        for worker in self.workers.values_mut().filter(|w| !self.frozen_until.contains_key(&w.name)) {
            let is_service = |task: &str| {
                let id = task.split('/').next().unwrap_or_default();
                self.specs.get(id).is_some_and(|s| s.kind == Kind::Service)
            };
            let failed_before = worker.failed_tasks();
            if worker.advance(now, lease, is_service) {
                for task in worker.tasks.iter().filter(|t| t.cause == Some(Cause::Done)) {
                    self.checker.record_finished_task(&task.name);
                }
                self.failed_tasks += worker.failed_tasks().saturating_sub(failed_before);
                worker.next_report_at = worker.next_report_at.min(now + Duration::from_millis(500));
            }
            if let Some((_, sent_at, _)) = worker.pending_report
                && now > sent_at + REPORT_TIMEOUT
            {
                worker.pending_report = None;
                (worker.node, worker.next_report_at) = ((worker.node + 1) % nodes, now + Duration::from_secs(1));
            }
            if worker.pending_report.is_none() && worker.next_report_at <= now {
                self.serial += 1;
                worker.pending_report = Some((self.serial, now, worker.session));
                worker.next_report_at = now + report_interval;
                let report = Box::new(worker.report());
                reports.push(Event::Report {
                    node: worker.node,
                    machine: worker.name.clone(),
                    id: self.serial,
                    report,
                });
            }
        }
        for event in reports {
            if let Event::Report { machine, .. } = &event
                && !self.partitioned_machines.contains(machine)
                && !self.lost_reports.contains(machine)
            {
                if let (true, Event::Report { report, .. }) = (self.replay_reports_after.is_some(), &event) {
                    self.recorded_reports.push((machine.clone(), (**report).clone()));
                }
                let interrupted_until = self.interruptions.get(machine).map(|interruption| interruption.until);
                let delayed_until = interrupted_until.or(self.delayed_reports_until.get(machine).copied());
                let copy_delay = self.duplicated_reports_after.get(machine).copied();
                if let (Some(copy_delay), Event::Report { machine, report, .. }) = (copy_delay, &event) {
                    // A copy goes to every node, and nothing waits for the response to it.
                    let copies: Vec<Event> = (0..nodes)
                        .map(|node| Event::Report { node, machine: machine.clone(), id: 0, report: report.clone() })
                        .collect();
                    copies.into_iter().for_each(|copy| self.schedule(now + copy_delay, copy));
                }
                self.schedule(delayed_until.unwrap_or(now + NETWORK_LATENCY), event);
            }
        }
    }
}
