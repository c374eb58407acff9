//! Machines that fall silent: leases that have ended, machines that are given up, and a leader that
//! finds itself cut off.

use std::collections::BTreeMap;
use std::time::Duration;

use rushyoke_failover::{Silent, ZoneView};

use super::direct_calls::CallReason;
use super::lease::LeaseBounds;
use super::survey::{ISOLATED_SAMPLE_SIZE, MIN_FAILING_FOR_SURVEY, SURVEY_SAMPLE_SIZE};
use super::{LATEST_REPORT_FACTOR, Machine, report_fencing_window};
use crate::env::Env;
use crate::failover::note_machine;
use crate::jobs::{Name, TaskKey};
use crate::term::Term;

/// Direct calls that an overdue machine may miss before it is given up.
const FAILED_PROBES_BEFORE_RELEASE: u32 = 2;
/// A machine whose report is overdue gets this long to answer a direct call.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1200);
/// A report that comes this much after its latest time is overdue.
const OVERDUE_MARGIN: Duration = Duration::from_millis(300);
/// A worker that reports to a node out of reach tries the next one after this time; a new
/// leader that only its own calls reach waits until all could have found it.
const NODE_DISCOVERY_TIME: Duration = Duration::from_secs(5);
/// Names of machines in one line.
const MAX_NAMES_LOGGED: usize = 3;

/// What a look at all machines found.
#[derive(Default)]
struct Findings {
    /// Machines that are up, and how many of them
    up: usize,
    /// have a report that is overdue,
    overdue: usize,
    /// were not heard of for longer than a call to them takes,
    unheard: usize,
    /// have failed calls and never showed the token,
    never_reached: usize,
    /// have failed calls and are not being returned.
    failing_calls: usize,
    /// Some do not answer calls, whatever they report.
    any_call_failed: bool,
    /// Machines to be called, whose lease has ended, that sent no report, and that may be given up.
    calls_due: Vec<Name>,
    leases_expired: Vec<Name>,
    reports_missing: Vec<Name>,
    unresponsive: Vec<Name>,
    total: Silent,
    overdue_or_unreached: Silent,
    /// What is seen of each zone, if zones are judged.
    zones: BTreeMap<String, ZoneView>,
}

impl Findings {
    /// Whether so many are most of those that are up.
    fn is_most(&self, count: usize) -> bool {
        self.up >= 3 && count * 5 >= self.up * 4
    }
}

impl Term {
    /// A few times a second: leases that have ended, machines that fell silent.
    pub fn check_liveness(&mut self, env: &mut Env) {
        let now = env.steady();
        let mut findings = self.collect_findings(env);
        std::mem::take(&mut findings.calls_due).iter().for_each(|name| self.call_soon(name));
        for name in std::mem::take(&mut findings.leases_expired) {
            self.handle_expired_lease(env, &name);
        }
        let alone = now.duration_since(self.visited) > overdue_threshold(env) + PROBE_TIMEOUT;
        self.assess_own_reachability(env, &mut findings, alone);
        // Most silent at once: more likely the network, or this node, than the machines.
        // Returning them would kill what still runs.
        let many = findings.overdue > 2 && findings.overdue * 2 > findings.up;
        let spared = many || self.survey.most_unreachable || self.survey_pending(now);
        // Without a worker of its own a leader asks some others as soon as one does not answer.
        let asked = match findings.failing_calls >= MIN_FAILING_FOR_SURVEY {
            true => SURVEY_SAMPLE_SIZE,
            false => usize::from(alone && findings.any_call_failed) * ISOLATED_SAMPLE_SIZE,
        };
        self.survey(env, asked, findings.overdue_or_unreached, findings.total);
        let settling = now.duration_since(self.since) < report_fencing_window(env.facts.report) + PROBE_TIMEOUT * 2;
        self.judge_zones(env, std::mem::take(&mut findings.zones), settling);
        if !spared {
            findings.unresponsive.iter().for_each(|name| self.release_unresponsive(env, name));
        }
        self.probe_suspects(env);
        self.log_stops(env);
    }

    fn collect_findings(&mut self, env: &Env) -> Findings {
        let now = env.steady();
        let late = overdue_threshold(env);
        let give_up = env.facts.report.mul_f64(env.policy.silent_reports);
        let fence_all = now.duration_since(self.since) >= report_fencing_window(env.facts.report);
        let leases = self.lease_bounds(env);
        let judged = self.failover.is_some();
        let find_after = NODE_DISCOVERY_TIME * env.facts.others.len() as u32;
        let mut findings = Findings::default();
        for machine in self.machines.values_mut().filter(|m| m.up) {
            findings.up += 1;
            findings.total.note(machine.spot);
            if machine.reservation.as_ref().is_some_and(|claim| claim.until <= now) {
                machine.reservation = None;
            }
            let quiet = now.duration_since(machine.last_heard);
            let unreached = machine.fenced.is_none() && machine.failed_probes > 0;
            findings.overdue += usize::from(quiet > late);
            findings.unheard += usize::from(quiet > late + PROBE_TIMEOUT);
            findings.never_reached += usize::from(unreached);
            findings.failing_calls += usize::from(machine.failed_probes > 0 && !machine.releasing);
            findings.any_call_failed |= machine.failed_calls > 0 && !machine.releasing;
            if quiet > late || unreached {
                findings.overdue_or_unreached.note(machine.spot);
            }
            // One that never reported here may still look for this node.
            let looking = if machine.last_response.is_some() { Duration::ZERO } else { find_after };
            if now.duration_since(machine.last_reported) > late + PROBE_TIMEOUT + looking {
                findings.reports_missing.push(machine.name.clone());
            }
            if machine.direct_call.is_none() && machine.next_call_at.is_none_or(|t| t <= now) {
                let unfenced = machine.fenced.is_none() && (fence_all || machine.hosts_service());
                if std::mem::take(&mut machine.call_postponed) || unfenced || machine.failed_calls > 0 {
                    findings.calls_due.push(machine.name.clone());
                }
            }
            if quiet > late && !machine.suspect {
                machine.suspect = true;
                machine.failed_probes = 0;
                machine.next_call_at = None;
                tracing::debug!(machine = &*machine.name, "its report is overdue");
            }
            if now > leases.expires_at(machine) && quiet > env.facts.lease && !machine.tasks.is_empty() {
                findings.leases_expired.push(machine.name.clone());
            }
            if is_unresponsive(machine, quiet, late, give_up) {
                findings.unresponsive.push(machine.name.clone());
            }
            if judged && machine.release_sent.is_none() {
                let in_time = machine.lease_recently_renewed(now, env.facts.report) && !machine.suspect;
                note_machine(findings.zones.entry(machine.zone.clone()).or_default(), machine, quiet > late, in_time);
            }
        }
        findings
    }

    /// A leader that the workers cannot reach keeps them from one that they could, until
    /// their leases end. After a takeover they take a while to find it.
    fn assess_own_reachability(&mut self, env: &Env, findings: &mut Findings, alone: bool) {
        let since = env.steady().duration_since(self.since);
        let settled = since > NODE_DISCOVERY_TIME * env.facts.others.len() as u32 + overdue_threshold(env);
        let unreporting = std::mem::take(&mut findings.reports_missing);
        // Reports that other nodes hand on arrive all the same, but no call of ours does.
        let calls_lost = alone && self.survey.most_unreachable && !findings.is_most(findings.unheard);
        let most_unreporting = findings.is_most(unreporting.len());
        self.cut_off = findings.is_most(findings.never_reached)
            || calls_lost
            || most_unreporting && (findings.is_most(findings.unheard) || settled);
        // Reports of most machines missing, or just after a takeover: they look for this node.
        if !settled || most_unreporting {
            return;
        }
        let mut found = Vec::new();
        for name in unreporting {
            let machine = self.machines.get_mut(&name).expect("listed");
            if !std::mem::replace(&mut machine.reports_missing, true) && !machine.suspect {
                found.push(name);
            }
        }
        // While reports are refused no machine is heard, and their leases will end: no work for them, and no line.
        if !found.is_empty() && !self.refuses_reports {
            let first = first_names(&found);
            tracing::info!(machines = found.len(), first, "answer calls, but do not report; get no work");
        }
    }

    /// Returns a silent machine, unless it is one of a good part of a large fleet: their tasks run on
    /// until their leases end, and other machines are made ready for them meanwhile.
    fn release_unresponsive(&mut self, env: &Env, name: &Name) {
        let now = env.steady();
        let machine = &self.machines[name];
        let spared_until = self.likely_lease_end(env, machine);
        let cut_off = self.is_partitioned(machine) && now < spared_until;
        if cut_off || self.kept_with_zone(now, machine, spared_until) {
            return;
        }
        let machine = self.machines.get_mut(name).expect("listed");
        let (tasks, quiet) = (machine.tasks.len(), now.duration_since(machine.last_heard));
        let (spot, failed) = (machine.spot, machine.failed_probes);
        tracing::info!(machine = &**name, tasks, spot, failed, quiet_s = quiet.as_secs(), "silent; given up");
        machine.releasing = true;
    }

    /// Calls machines whose reports are overdue, those that must stop tasks first.
    fn probe_suspects(&mut self, env: &mut Env) {
        let now = env.steady();
        let suspects = self
            .machines
            .values()
            .filter(|m| m.suspect && m.direct_call.is_none() && !m.addr.is_empty())
            .filter(|m| m.next_call_at.is_none_or(|t| t <= now));
        let mut probes: Vec<(CallReason, &Name)> = suspects.map(|m| (m.call_reason(), &m.name)).collect();
        probes.sort_unstable();
        probes.truncate(self.free_calls(env));
        let probes: Vec<Name> = probes.into_iter().map(|(_, name)| name.clone()).collect();
        for name in probes {
            self.probe(env, &name);
        }
    }

    fn handle_expired_lease(&mut self, env: &mut Env, name: &Name) {
        let now = env.steady();
        let machine = &self.machines[name];
        let (waiting, lost): (Vec<TaskKey>, Vec<TaskKey>) =
            machine.tasks.iter().cloned().partition(|key| self.waits_for_word(key, &machine.zone));
        let noted = machine.expired_session == Some(machine.session);
        if lost.is_empty() && noted {
            return;
        }
        tracing::info!(machine = &**name, tasks = lost.len(), waiting = waiting.len(), "its lease has ended");
        let machine = self.machines.get_mut(name).expect("listed");
        machine.expired_session = Some(machine.session);
        machine.unresolved_starts.clear();
        machine.exited.clear();
        for key in lost {
            self.displaced(&key, name);
            self.clear_placement(env, &key, now);
        }
    }

    /// What bounds the leases of all workers now.
    pub(super) fn lease_bounds(&self, env: &Env) -> LeaseBounds {
        LeaseBounds {
            previous_leaders_end: self.old_silent,
            last_unrecorded_response: self.unnoted,
            lease: env.facts.lease,
        }
    }
}

/// How long after the last report the next one is overdue.
fn overdue_threshold(env: &Env) -> Duration {
    env.facts.report.mul_f64(LATEST_REPORT_FACTOR) + OVERDUE_MARGIN
}

/// Whether a machine has been quiet for so long, with failed calls, that it may be given up.
fn is_unresponsive(machine: &Machine, quiet: Duration, late: Duration, give_up: Duration) -> bool {
    // One that a new leader never reached has no report that could be overdue.
    let waited = if machine.fenced.is_some() { late + PROBE_TIMEOUT } else { PROBE_TIMEOUT * 2 };
    let gone = machine.failed_probes >= FAILED_PROBES_BEFORE_RELEASE && quiet > waited;
    // One that was not called yet, since calls are few, may live.
    let called = machine.failed_probes > 0 || machine.addr.is_empty();
    (gone || called && quiet > give_up) && !machine.releasing
}

/// The first few of many names, for one line.
fn first_names(names: &[Name]) -> String {
    names.iter().take(MAX_NAMES_LOGGED).map(|name| &**name).collect::<Vec<_>>().join(",")
}
