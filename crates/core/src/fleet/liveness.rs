//! Liveness checks: expired leases, machines that no longer respond, and a leader that is itself out of reach.

use std::collections::BTreeMap;
use std::time::Duration;

use rushyoke_failover::{MachineCounts, ZoneView};

use super::direct_calls::CallReason;
use super::lease::LeaseBounds;
use super::survey::{ISOLATED_SAMPLE_SIZE, MIN_FAILING_FOR_SURVEY, SURVEY_SAMPLE_SIZE};
use super::{LATEST_REPORT_FACTOR, Machine, report_fencing_window};
use crate::env::Env;
use crate::failover::observe_machine;
use crate::jobs::{Name, TaskKey};
use crate::term::Term;

/// Number of failed direct calls after which an overdue machine may be released.
const FAILED_PROBES_BEFORE_RELEASE: u32 = 2;
/// Time that a machine with an overdue report has to respond to a direct call.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1200);
/// A report is overdue this long after its latest expected time.
const OVERDUE_MARGIN: Duration = Duration::from_millis(300);
/// Time after which a worker that cannot reach a node tries the next one. A new leader that gets no
/// reports, although its direct calls succeed, waits until all workers could have found it.
const NODE_DISCOVERY_TIME: Duration = Duration::from_secs(5);
/// Number of leases for which a machine may be silent while a task can only run elsewhere once it is released.
const MAX_LEASES_WAITED_FOR: u32 = 2;
/// Most machine names in one log line.
const MAX_NAMES_LOGGED: usize = 3;

/// Results of one check of all machines.
#[derive(Default)]
struct Findings {
    /// Number of machines that are up.
    up: usize,
    /// Number of those whose report is overdue.
    overdue: usize,
    /// Number of those whose report is overdue by more than the timeout of a probe.
    long_overdue: usize,
    /// Number of those that have not shown this leader's token and did not respond to a direct call.
    never_reached: usize,
    /// Number of those that did not respond to a direct call and are not being released.
    failing_calls: usize,
    /// Whether any machine, not being released, does not respond to direct calls, whatever it reports.
    any_call_failed: bool,
    /// Machines to be called directly.
    calls_due: Vec<Name>,
    /// Machines whose lease has expired.
    leases_expired: Vec<Name>,
    /// Machines that have not reported in time.
    reports_missing: Vec<Name>,
    /// Machines that may be released.
    unresponsive: Vec<Name>,
    /// Number of machines that are up, for the survey.
    total: MachineCounts,
    /// Number of those with an overdue report or that were never reached, for the survey.
    overdue_or_unreached: MachineCounts,
    /// State of each zone, if zone failover is switched on.
    zones: BTreeMap<String, ZoneView>,
}

impl Findings {
    /// Whether this number is at least four fifths of the machines that are up.
    fn is_large_majority(&self, count: usize) -> bool {
        self.up >= 3 && count * 5 >= self.up * 4
    }
}

impl Term {
    /// Detects expired leases and unresponsive machines; called a few times a second.
    pub fn check_liveness(&mut self, env: &mut Env) {
        let now = env.steady();
        let mut findings = self.collect_findings(env);
        std::mem::take(&mut findings.calls_due).iter().for_each(|name| self.queue_direct_call(name));
        for name in std::mem::take(&mut findings.leases_expired) {
            self.handle_expired_lease(env, &name);
        }
        let no_direct_reports = now.duration_since(self.last_direct_report) > overdue_threshold(env) + PROBE_TIMEOUT;
        self.assess_own_reachability(env, &mut findings, no_direct_reports);
        // If most machines are unresponsive at once, the cause is more likely the network, or this
        // node, than the machines. Releasing them would kill the tasks that still run.
        let most_overdue = findings.overdue > 2 && findings.overdue * 2 > findings.up;
        let keep_machines = most_overdue || self.survey.most_unreachable || self.survey_pending(now);
        // A leader to which no worker reports directly probes some machines as soon as one fails to respond.
        let sample_size = match findings.failing_calls >= MIN_FAILING_FOR_SURVEY {
            true => SURVEY_SAMPLE_SIZE,
            false => usize::from(no_direct_reports && findings.any_call_failed) * ISOLATED_SAMPLE_SIZE,
        };
        self.survey(env, sample_size, findings.overdue_or_unreached, findings.total);
        let taking_over =
            now.duration_since(self.started_at) < report_fencing_window(env.facts.report_interval) + PROBE_TIMEOUT * 2;
        self.update_zone_states(env, std::mem::take(&mut findings.zones), taking_over);
        for name in findings.unresponsive {
            if !keep_machines || self.is_waited_for_too_long(env, &name) {
                self.release_unresponsive(env, &name);
            }
        }
        self.probe_suspects(env);
        self.log_stops(env);
    }

    /// Checks all machines, marks those with overdue reports as suspect, and removes expired reservations.
    fn collect_findings(&mut self, env: &Env) -> Findings {
        let now = env.steady();
        let overdue_after = overdue_threshold(env);
        let release_after = env.facts.report_interval.mul_f64(env.policy.missed_report_limit);
        let fence_all_directly =
            now.duration_since(self.started_at) >= report_fencing_window(env.facts.report_interval);
        let leases = self.lease_bounds(env);
        let zone_failover = self.failover.is_some();
        let max_discovery_time = NODE_DISCOVERY_TIME * env.facts.peers.len() as u32;
        let mut findings = Findings::default();
        for machine in self.machines.values_mut().filter(|machine| machine.up) {
            findings.up += 1;
            findings.total.add_machine(machine.spot);
            if machine.reservation.as_ref().is_some_and(|reservation| reservation.until <= now) {
                machine.reservation = None;
            }
            let since_last_heard = now.duration_since(machine.last_heard);
            let never_reached = machine.fenced_at.is_none() && machine.failed_probes > 0;
            findings.overdue += usize::from(since_last_heard > overdue_after);
            findings.long_overdue += usize::from(since_last_heard > overdue_after + PROBE_TIMEOUT);
            findings.never_reached += usize::from(never_reached);
            findings.failing_calls += usize::from(machine.failed_probes > 0 && !machine.releasing);
            findings.any_call_failed |= machine.failed_calls > 0 && !machine.releasing;
            if since_last_heard > overdue_after || never_reached {
                findings.overdue_or_unreached.add_machine(machine.spot);
            }
            // A worker that never reported here may still be looking for this node.
            let discovery_time = if machine.last_response.is_some() { Duration::ZERO } else { max_discovery_time };
            if now.duration_since(machine.last_reported) > overdue_after + PROBE_TIMEOUT + discovery_time {
                findings.reports_missing.push(machine.name.clone());
            }
            if machine.direct_call.is_none() && machine.next_call_at.is_none_or(|at| at <= now) {
                let needs_fencing = machine.fenced_at.is_none() && (fence_all_directly || machine.hosts_service());
                if std::mem::take(&mut machine.call_postponed) || needs_fencing || machine.failed_calls > 0 {
                    findings.calls_due.push(machine.name.clone());
                }
            }
            if since_last_heard > overdue_after && !machine.suspect {
                machine.suspect = true;
                machine.failed_probes = 0;
                machine.next_call_at = None;
                tracing::debug!(machine = &*machine.name, "its report is overdue");
            }
            if now > leases.expires_at(machine)
                && since_last_heard > env.facts.worker_lease
                && !machine.tasks.is_empty()
            {
                findings.leases_expired.push(machine.name.clone());
            }
            if is_unresponsive(machine, since_last_heard, overdue_after, release_after) {
                findings.unresponsive.push(machine.name.clone());
            }
            if zone_failover && machine.release_sent.is_none() {
                let in_time = machine.lease_recently_renewed(now, env.facts.report_interval) && !machine.suspect;
                observe_machine(
                    findings.zones.entry(machine.zone.clone()).or_default(),
                    machine,
                    since_last_heard > overdue_after,
                    in_time,
                );
            }
        }
        findings
    }

    /// Determines whether this leader is out of reach of its workers, and marks machines whose
    /// reports are missing. A leader that the workers cannot reach should make way for one that
    /// they can reach, before their leases expire. After a takeover they need a while to find it.
    fn assess_own_reachability(&mut self, env: &Env, findings: &mut Findings, no_direct_reports: bool) {
        let leading_for = env.steady().duration_since(self.started_at);
        let discovery_over = leading_for > NODE_DISCOVERY_TIME * env.facts.peers.len() as u32 + overdue_threshold(env);
        let not_reporting = std::mem::take(&mut findings.reports_missing);
        // Reports relayed by other nodes still arrive, but none of this leader's direct calls succeeds.
        let calls_lost =
            no_direct_reports && self.survey.most_unreachable && !findings.is_large_majority(findings.long_overdue);
        let most_not_reporting = findings.is_large_majority(not_reporting.len());
        self.partitioned = findings.is_large_majority(findings.never_reached)
            || calls_lost
            || most_not_reporting && (findings.is_large_majority(findings.long_overdue) || discovery_over);
        // Just after a takeover, or if the reports of most machines are missing, workers are looking for this node.
        if !discovery_over || most_not_reporting {
            return;
        }
        let mut newly_missing = Vec::new();
        for name in not_reporting {
            let machine = self.machines.get_mut(&name).expect("listed");
            if !std::mem::replace(&mut machine.reports_missing, true) && !machine.suspect {
                newly_missing.push(name);
            }
        }
        // While this leader refuses reports none is accepted and the leases will expire. The machines get no work,
        // but a log line for each would only repeat the refusal.
        if !newly_missing.is_empty() && !self.refusing_reports {
            let first = first_names(&newly_missing);
            tracing::info!(
                machines = newly_missing.len(),
                first,
                "respond to direct calls but do not report; they get no work"
            );
        }
    }

    /// Releases an unresponsive machine, unless a large part of the fleet is partitioned together with it: the tasks
    /// there run on until the leases expire, and other machines are prepared for them meanwhile.
    fn release_unresponsive(&mut self, env: &Env, name: &Name) {
        let now = env.steady();
        let machine = &self.machines[name];
        let lease_end = self.likely_lease_end(env, machine);
        let partitioned = self.is_partitioned(machine) && now < lease_end;
        if partitioned || self.is_kept_with_zone(now, machine, lease_end) {
            return;
        }
        let machine = self.machines.get_mut(name).expect("listed");
        let (tasks, since_last_heard) = (machine.tasks.len(), now.duration_since(machine.last_heard));
        let (spot, failed_probes) = (machine.spot, machine.failed_probes);
        tracing::info!(
            machine = &**name,
            tasks,
            spot,
            failed = failed_probes,
            quiet_s = since_last_heard.as_secs(),
            "unresponsive; releasing it"
        );
        machine.releasing = true;
    }

    /// Probes machines whose reports are overdue, in the order of their call reasons.
    fn probe_suspects(&mut self, env: &mut Env) {
        let now = env.steady();
        let suspects = self
            .machines
            .values()
            .filter(|machine| machine.suspect && machine.direct_call.is_none() && !machine.addr.is_empty())
            .filter(|machine| machine.next_call_at.is_none_or(|at| at <= now));
        let mut probes: Vec<(CallReason, &Name)> =
            suspects.map(|machine| (machine.call_reason(), &machine.name)).collect();
        probes.sort_unstable();
        probes.truncate(self.available_direct_calls(env));
        let probes: Vec<Name> = probes.into_iter().map(|(_, name)| name.clone()).collect();
        for name in probes {
            self.probe(env, &name);
        }
    }

    /// Ends the placements on a machine whose lease has expired, except those that must wait for a message from its worker
    /// or for the machine's release.
    fn handle_expired_lease(&mut self, env: &mut Env, name: &Name) {
        let now = env.steady();
        let machine = &self.machines[name];
        let must_wait = |key: &TaskKey| self.needs_confirmed_stop(key, &machine.zone) || self.start_may_arrive(key);
        let (waiting, lost): (Vec<TaskKey>, Vec<TaskKey>) = machine.tasks.iter().cloned().partition(must_wait);
        let already_noted = machine.noted_expiry == Some(machine.session);
        if lost.is_empty() && already_noted {
            return;
        }
        tracing::info!(machine = &**name, tasks = lost.len(), waiting = waiting.len(), "its lease has expired");
        let machine = self.machines.get_mut(name).expect("listed");
        machine.noted_expiry = Some(machine.session);
        if !lost.is_empty() {
            machine.expired_session = Some(machine.session);
        }
        machine.token_due |= !machine.direct_starts.is_empty();
        machine.exited.clear();
        for key in lost {
            self.note_displaced(&key, name);
            self.clear_placement(env, &key, now);
        }
    }

    /// Whether a start of the task may still arrive at its machine. If the worker has restarted out of reach, it has a new
    /// lease and accepts the start whenever that comes, so the expiry of the old lease proves nothing about the task.
    fn start_may_arrive(&self, key: &TaskKey) -> bool {
        let placement = self.jobs.get(&key.0).and_then(|job| job.placements.get(&key.1));
        placement.is_some_and(|placement| placement.start.may_arrive())
    }

    /// Whether a machine is to be released, even if most machines are unresponsive at once: a start may still reach it, so
    /// that its task has waited for its worker since the lease expired. Nothing else runs there any more.
    fn is_waited_for_too_long(&self, env: &Env, name: &Name) -> bool {
        let machine = &self.machines[name];
        let now = env.steady();
        now > self.lease_bounds(env).expires_at(machine)
            && now.duration_since(machine.last_heard) > env.facts.worker_lease * MAX_LEASES_WAITED_FOR
            && machine.tasks.iter().any(|key| self.start_may_arrive(key))
    }

    /// Returns the current bounds on the leases of all workers.
    pub(super) fn lease_bounds(&self, env: &Env) -> LeaseBounds {
        LeaseBounds {
            predecessors_inactive_at: self.predecessors_inactive_at,
            last_response_before_load: self.last_response_before_load,
            lease: env.facts.worker_lease,
        }
    }
}

/// Returns the time after the last report from which the next one is overdue.
fn overdue_threshold(env: &Env) -> Duration {
    env.facts.report_interval.mul_f64(LATEST_REPORT_FACTOR) + OVERDUE_MARGIN
}

/// Whether a machine may be released: nothing was heard from it for too long, and direct calls to it fail or are
/// impossible.
fn is_unresponsive(
    machine: &Machine,
    since_last_heard: Duration,
    overdue_after: Duration,
    release_after: Duration,
) -> bool {
    // A machine that a new leader never reached has no report that could be overdue.
    let min_since_last_heard =
        if machine.fenced_at.is_some() { overdue_after + PROBE_TIMEOUT } else { PROBE_TIMEOUT * 2 };
    let probes_exhausted =
        machine.failed_probes >= FAILED_PROBES_BEFORE_RELEASE && since_last_heard > min_since_last_heard;
    // Direct calls are limited, so a machine that has not been called yet may be alive.
    let called = machine.failed_probes > 0 || machine.addr.is_empty();
    (probes_exhausted || called && since_last_heard > release_after) && !machine.releasing
}

/// Returns the first few names, separated by commas, for a log line.
fn first_names(names: &[Name]) -> String {
    names.iter().take(MAX_NAMES_LOGGED).map(|name| &**name).collect::<Vec<_>>().join(",")
}
