//! Machines and their workers: they boot, run tasks and report.

use std::time::Duration;

use rushyoke_wire::job::Kind;
use rushyoke_wire::worker::Cause;

use super::{Event, HOP, World};
use crate::worker::Worker;

/// After this time a worker gives a report up.
const REPORT_LIMIT: Duration = Duration::from_secs(4);

impl World {
    pub(super) fn boot(&mut self, name: &str) {
        let rented = self.cloud.machines.get_mut(name).expect("rented");
        rented.up = true;
        let mut worker = Worker::new(name.into(), rented.zone.clone(), rented.spot, rented.kind.clone(), self.now);
        worker.run_s = self.task_s;
        self.workers.insert(name.into(), worker);
    }

    /// A machine stops with all that is on it and is back at once, its worker begun anew.
    pub fn restart_worker(&mut self, name: &str) {
        self.boot(name);
    }

    pub(super) fn machines_boot(&mut self) {
        let due: Vec<String> = self
            .cloud
            .machines
            .iter()
            .filter(|(name, m)| !m.up && !self.cloud.stillborn.contains(*name) && self.now >= m.since + self.boot)
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.boot(&name);
        }
    }

    pub(super) fn workers_pass(&mut self) {
        let (now, nodes) = (self.now, self.slots.len());
        let (lease, period) = (self.facts.worker_lease, self.facts.report_interval);
        let mut reports = Vec::new();
        self.hang.retain(|_, until| *until > now);
        self.interrupted.retain(|_, cut| cut.until > now);
        for worker in self.workers.values_mut().filter(|w| !self.hang.contains_key(&w.name)) {
            let service = |task: &str| {
                let id = task.split('/').next().unwrap_or_default();
                self.specs.get(id).is_some_and(|s| s.kind == Kind::Service)
            };
            let errors = worker.errors();
            if worker.pass(now, lease, service) {
                for task in worker.tasks.iter().filter(|t| t.why == Some(Cause::Done)) {
                    self.rules.finish(&task.name);
                }
                self.failed += worker.errors().saturating_sub(errors);
                worker.next_report = worker.next_report.min(now + Duration::from_millis(500));
            }
            if let Some((_, sent, _)) = worker.waiting
                && now > sent + REPORT_LIMIT
            {
                worker.waiting = None;
                (worker.node, worker.next_report) = ((worker.node + 1) % nodes, now + Duration::from_secs(1));
            }
            if worker.waiting.is_none() && worker.next_report <= now {
                self.serial += 1;
                worker.waiting = Some((self.serial, now, worker.session));
                worker.next_report = now + period;
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
                && !self.cut.contains(machine)
                && !self.mute.contains(machine)
            {
                if let (true, Event::Report { report, .. }) = (self.keep_for_next.is_some(), &event) {
                    self.kept.push((machine.clone(), (**report).clone()));
                }
                let held_by_cut = self.interrupted.get(machine).map(|cut| cut.until);
                let late = held_by_cut.or(self.hold_reports.get(machine).copied());
                let by = self.copy_reports.get(machine).copied();
                if let (Some(by), Event::Report { machine, report, .. }) = (by, &event) {
                    // A copy has no asker: its answer goes nowhere. It may come to any node.
                    let copies: Vec<Event> = (0..nodes)
                        .map(|node| Event::Report { node, machine: machine.clone(), id: 0, report: report.clone() })
                        .collect();
                    copies.into_iter().for_each(|copy| self.push(now + by, copy));
                }
                self.push(late.unwrap_or(now + HOP), event);
            }
        }
    }
}
