//! Rebalancing: reports events to the balancer and carries out the moves that it proposes.
//!
//! No safety property depends on the balancer. A move begins by stopping the task like any other, once the
//! booking at the destination and the task's mark (its entry in `Job::restarted`) are durable. The task is
//! placed again once it is proven to be gone from its source, within its team's limit, and with the same
//! record as every placement.

use std::time::{Duration, Instant};

use rushyoke_balance::{
    Balancer, Candidate, FleetView, GiveUpReason, MachineInfo, Move, MoveEnd, MoveState, OpenMove, OpenMoves,
    PlacementRequest,
};
use rushyoke_wire::job::{Kind, Priority};
use rushyoke_wire::worker::TaskState;

use crate::env::Env;
use crate::fleet::Machine;
use crate::jobs::*;
use crate::place::meets_constraints;
use crate::quota::Resources;
use crate::term::Term;

/// Time from a direct call that orders a stop until a report shows that the task is gone, in seconds. It does
/// not include the task's grace period. Workers report changes at most every half second.
const STOP_CONFIRMATION_S: f64 = 0.6;
/// How long a vacated task waits for a destination that the new leader does not know or has not reached yet.
const DESTINATION_DISCOVERY: Duration = Duration::from_secs(4);
/// Bytes that stay unused in each part of the record of open moves.
const RECORD_SPARE_BYTES: usize = 256;
/// If a booking takes longer than this to become durable, the state service is considered slow.
const SLOW_BOOKING: Duration = Duration::from_secs(2);
/// Time between two log lines that summarize the balance of the fleet.
const SUMMARY_PERIOD: Duration = Duration::from_secs(60);

/// Whether tasks may be moved to a machine: it accepts tasks, is not about to be released, and reports to
/// this leader, which renews its lease. A machine that only responds to direct calls, as after a takeover, is
/// excluded: its lease may expire before its worker finds the leader, and moved tasks would be lost.
fn is_destination(machine: &Machine, env: &Env) -> bool {
    let now = env.steady();
    let in_healthy_zone = machine.in_open_zone() && !machine.zone_unhealthy;
    in_healthy_zone
        && machine.is_schedulable(now)
        && machine.lease_recently_renewed(now, env.facts.report_interval)
        && !machine.retiring
        && !machine.straggler
}

/// Returns the expected remaining run time of a task, in seconds.
fn remaining_s(now: Instant, job: &Job, placement: &Placement) -> f64 {
    let ran_s = placement.running_since.map_or(0.0, |at| now.duration_since(at).as_secs_f64());
    (job.mean_run_s - ran_s).max(0.0)
}

/// The state of the fleet as the planner needs it.
struct View<'a> {
    term: &'a Term,
    env: &'a Env,
    balancer: &'a Balancer,
    /// CPUs on on-demand machines that may be taken without using the reserve for services.
    available_cpus: f64,
}

impl View<'_> {
    /// Returns a task as a candidate for a move, or `None` if it must not be moved.
    fn candidate(&self, key: &TaskKey) -> Option<Candidate> {
        let now = self.env.steady();
        let job = &self.term.jobs[&key.0];
        let placement = &job.placements[&key.1];
        let settings = self.balancer.settings();
        let movable = job.spec.kind == Kind::Array
            && job.spec.priority != Priority::Production
            && !settings.protected_classes.contains(&job.spec.class)
            && !job.restarted.contains(&key.1)
            && !job.was_starved
            && placement.stop.is_none()
            && matches!(placement.stage, Stage::Fetching | Stage::Running);
        if !movable {
            return None;
        }
        let ran_s = placement.running_since.map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        let has_checkpoints = job.spec.checkpoint_interval_s > 0.0;
        if !has_checkpoints && ran_s > settings.max_age_without_checkpoint.as_secs_f64() {
            return None;
        }
        let (lost_work_s, save_s) = if has_checkpoints { (0.0, job.spec.save_s) } else { (ran_s, 0.0) };
        Some(Candidate {
            key: key.clone(),
            attempt: placement.attempt,
            need: Resources::of(&job.spec),
            remaining_s: remaining_s(now, job, placement),
            lost_work_s,
            stop_s: save_s + STOP_CONFIRMATION_S,
        })
    }
}

impl FleetView for View<'_> {
    fn candidates(&self, machine: &Name) -> Vec<Candidate> {
        let Some(machine) = self.term.machines.get(machine) else { return Vec::new() };
        let mut candidates: Vec<Candidate> = Vec::new();
        for candidate in machine.tasks.iter().filter_map(|key| self.candidate(key)) {
            match candidates.iter_mut().find(|other| other.key.0 == candidate.key.0) {
                // The tasks of a job are alike, so moving the one with the most remaining run time gains the most.
                Some(other) if other.remaining_s >= candidate.remaining_s => {}
                Some(other) => *other = candidate,
                None => candidates.push(candidate),
            }
        }
        candidates
    }

    fn remaining_s(&self, machine: &Name) -> f64 {
        let now = self.env.steady();
        let horizon = self.balancer.settings().service_horizon.as_secs_f64();
        let tasks = self.term.machines.get(machine).into_iter().flat_map(|machine| &machine.tasks);
        let remaining = tasks.map(|(name, task)| {
            let job = &self.term.jobs[name];
            if job.spec.kind == Kind::Service { horizon } else { remaining_s(now, job, &job.placements[task]) }
        });
        remaining.sum()
    }

    fn fits(&self, task: &Candidate, machine: &Name) -> bool {
        let job = &self.term.jobs[&task.key.0];
        let Some(target) = self.term.machines.get(machine) else { return false };
        let needs_service_reserve = !target.spot && self.available_cpus < task.need.cpus;
        let available = self.term.available_with_bookings_of(self.balancer, target, &job.id);
        is_destination(target, self.env)
            && !needs_service_reserve
            && target.reservation.is_none()
            && meets_constraints(&job.spec, target)
            && !job.avoids(machine)
            && self.term.eligible_zones(job).is_none_or(|zones| zones.contains(&target.zone))
            && available.can_fit(task.need)
    }

    fn fetch_s(&self, task: &Candidate, machine: &Name) -> f64 {
        let target = self.term.machines.get(machine);
        target.map_or(f64::INFINITY, |target| self.term.image_fetch_s(self.env, &self.term.jobs[&task.key.0], target))
    }
}

impl Term {
    // Events that are reported to the balancer.

    /// Records that a task was placed.
    pub fn note_placement_started(&mut self, now: Instant, key: &TaskKey, machine: &Name) {
        let spec = &self.jobs[&key.0].spec;
        let Some(balancer) = &mut self.balancer else { return };
        balancer.task_placed(now, key, machine, &Name::from(spec.team.as_str()), Resources::of(spec));
    }

    /// Records that a worker reported a new state of a task.
    pub fn note_move_progress(&mut self, now: Instant, key: &TaskKey, state: TaskState) {
        let Some(balancer) = &mut self.balancer else { return };
        match state {
            TaskState::Running => {
                let ended = balancer.task_running(key);
                self.finish_move(ended);
            }
            TaskState::Saving => balancer.task_saving(now, key),
            TaskState::Fetching | TaskState::Exited => {}
        }
    }

    /// Records that a task is gone from its machine. `delayed` tells whether its next start must wait.
    pub fn note_placement_ended(&mut self, now: Instant, key: &TaskKey, delayed: bool) {
        let move_ends = delayed || self.jobs.get(&key.0).is_none_or(|job| job.cancelled || job.is_done(key.1));
        let Some(balancer) = &mut self.balancer else { return };
        let ended = balancer.task_left(now, key, move_ends);
        self.vacated_tasks_due = true;
        self.finish_move(ended);
    }

    /// Gives up the moves to a machine that is gone.
    pub fn give_up_moves_to(&mut self, name: &Name) {
        let Some(balancer) = &mut self.balancer else { return };
        for key in balancer.remove_machine(name) {
            self.give_up_move(&key, GiveUpReason::DestinationGone);
        }
    }

    /// Gives up the moves of a cancelled job.
    pub fn cancel_moves_of(&mut self, job: &Name) {
        let Some(balancer) = &self.balancer else { return };
        for key in balancer.moves().of_job(job) {
            self.give_up_move(&key, GiveUpReason::JobCancelled);
        }
    }

    // Decisions of the balancer.

    /// Whether one more task of a job may be placed although its team is beyond its guarantee.
    pub fn may_exceed_guarantee(&mut self, now: Instant, name: &Name) -> bool {
        let job = &self.jobs[name];
        let Some(balancer) = &mut self.balancer else { return true };
        let need = Resources::of(&job.spec);
        balancer.may_place(now, &PlacementRequest { job: name, team: &job.spec.team, need, run_s: job.mean_run_s })
    }

    /// Whether a team has more than its fair share of the fleet.
    pub fn exceeds_fair_share(&self, team: &str) -> bool {
        self.balancer.as_ref().is_some_and(|balancer| balancer.shares().weighted_share(balancer.load(), team) > 1.0)
    }

    /// Returns the resources of a machine that are available to a job, without the bookings of a balancer that
    /// was taken out of the term.
    fn available_with_bookings_of(&self, balancer: &Balancer, machine: &Machine, job: &Name) -> Resources {
        self.available_resources(machine, job).minus(balancer.load().booked(&machine.name))
    }

    /// Called once a second: updates the balancer's view of the machines, begins worthwhile moves and gives
    /// up those that take too long.
    pub fn rebalance_tick(&mut self, env: &mut Env) {
        let now = env.steady();
        let Some(mut balancer) = self.balancer.take() else { return };
        for machine in self.machines.values() {
            let reservation = machine.reservation.as_ref().filter(|reservation| reservation.by_preemption);
            let info = MachineInfo {
                zone: Name::from(machine.zone.as_str()),
                total: if machine.up && machine.counts_as_capacity() { machine.total } else { Resources::default() },
                accepts_moves: is_destination(machine, env),
                reserved: reservation.map(|reservation| reservation.resources).unwrap_or_default(),
            };
            balancer.update_machine(&machine.name, info);
        }
        let timed_out = balancer.tick(now);
        // While the state service is slow or unavailable, no further moves are booked.
        if !self.survey_active()
            && !self.is_evacuating()
            && !balancer.moves().any_in_state_longer(now, MoveState::Booked, SLOW_BOOKING)
        {
            self.begin_moves(env, &mut balancer);
        }
        if now.duration_since(self.last_summary_at.unwrap_or(self.started_at)) >= SUMMARY_PERIOD {
            self.last_summary_at = Some(now);
            tracing::info!("balance: {}", balancer.summary());
        }
        self.balancer = Some(balancer);
        timed_out.iter().for_each(|key| self.give_up_move(key, GiveUpReason::TimedOut));
        self.vacated_tasks_due = true;
    }

    /// Ends a task's move, if it has one, for the given reason.
    fn give_up_move(&mut self, key: &TaskKey, reason: GiveUpReason) {
        let ended = self.balancer.as_mut().and_then(|balancer| balancer.give_up(key, reason));
        self.finish_move(ended);
    }

    /// Logs the end of a move. A task that was never ordered to stop was not moved, so its mark is removed
    /// and it may be moved later.
    fn finish_move(&mut self, ended: Option<(Move, MoveEnd)>) {
        let Some((open, end)) = ended else { return };
        let (name, task) = &open.key;
        let (from, to, state) = (&*open.from, &*open.to, open.state);
        match end {
            MoveEnd::Confirmed => tracing::debug!(job = &**name, task, from, to, "moved"),
            MoveEnd::GivenUp(reason) => tracing::info!(job = &**name, task, from, to, ?state, ?reason, "move given up"),
        }
        if state == MoveState::Booked
            && let Some(job) = self.jobs.get_mut(name)
            && job.restarted.remove(task)
        {
            self.records.mark_changed(open.key.clone(), None);
        }
    }

    /// Begins the moves that the balancer proposes.
    fn begin_moves(&mut self, env: &Env, balancer: &mut Balancer) {
        let now = env.steady();
        let mut available_cpus = self.free_on_demand_cpus(now) - self.renting.service_reserve(env);
        let record_bytes = env.facts.value_bytes.saturating_sub(RECORD_SPARE_BYTES);
        loop {
            let view = View { term: self, env, balancer, available_cpus };
            let Some((proposal, part)) = balancer.propose(&view, record_bytes) else { return };
            balancer.begin(now, &proposal, part);
            let key = &proposal.task.key;
            let (from, to) = (&self.machines[&proposal.from], &self.machines[&proposal.to]);
            if from.spot && !to.spot {
                available_cpus -= proposal.task.need.cpus;
            }
            tracing::debug!(
                job = &*key.0,
                task = key.1,
                from = &*proposal.from,
                to = &*proposal.to,
                gain_s = proposal.gain_s,
                "move booked"
            );
            // The mark is written together with the booking, so that the task is moved only once, also after a
            // change of leader.
            let job = self.jobs.get_mut(&key.0).expect("a candidate");
            job.restarted.insert(key.1);
            self.records.mark_changed(key.clone(), None);
        }
    }

    /// Returns one part of the record of open moves, with the task and attempt of each move that waits for
    /// it to be durable; `None` if it must not be written yet. `durable_with` tells whether a task's mark is
    /// durable or written in the same transaction.
    pub fn open_moves_record(
        &mut self,
        part: usize,
        durable_with: impl Fn(&TaskKey) -> bool,
    ) -> Option<(OpenMoves, Vec<(TaskKey, u64)>)> {
        let balancer = self.balancer.as_mut()?;
        if balancer.moves().in_part(part).any(|open| !durable_with(&open.key)) {
            return None;
        }
        let record = balancer.record(part);
        let booked = balancer.moves().in_part(part).filter(|open| open.state == MoveState::Booked);
        let booked = booked.map(|open| (open.key.clone(), open.attempt)).collect();
        Some((record, booked))
    }

    /// Returns the indices of the parts of the record of open moves that must be written.
    pub fn unwritten_move_parts(&self) -> Vec<usize> {
        self.balancer.as_ref().map(|balancer| balancer.moves().unwritten_parts()).unwrap_or_default()
    }

    /// Marks parts of the record of open moves as unwritten, because a write failed or its outcome is
    /// unknown.
    pub fn mark_moves_unwritten(&mut self, parts: &[usize]) {
        if let Some(balancer) = &mut self.balancer {
            parts.iter().for_each(|part| balancer.mark_unwritten(*part));
        }
    }

    /// Stops the tasks of moves whose bookings have become durable, if the moves are still possible.
    pub fn start_durable_moves(&mut self, env: &mut Env, booked: Vec<(TaskKey, u64)>) {
        for (key, attempt) in booked {
            self.stop_for_move(env, &key, attempt);
        }
    }

    /// Stops a task whose booking is durable, or gives up its move.
    fn stop_for_move(&mut self, env: &mut Env, key: &TaskKey, attempt: u64) {
        let now = env.steady();
        let Some(balancer) = &self.balancer else { return };
        let Some(to) = balancer.moves().get(key).filter(|open| open.attempt == attempt).map(|open| open.to.clone())
        else {
            return;
        };
        let placement = self.jobs.get(&key.0).and_then(|job| job.placements.get(&key.1));
        // The task was stopped for another reason, or it ended and may have been restarted.
        if placement.is_none_or(|placement| placement.attempt != attempt || placement.stop.is_some()) {
            self.give_up_move(key, GiveUpReason::LeftEarly);
            return;
        }
        let target = self.machines.get(&to);
        let need = Resources::of(&self.jobs[&key.0].spec);
        let reason = match target {
            None => Some(GiveUpReason::DestinationGone),
            Some(target) if !is_destination(target, env) => Some(GiveUpReason::DestinationUnfit),
            Some(target) if !self.has_booked_resources(target, need) => Some(GiveUpReason::DestinationFull),
            Some(_) => None,
        };
        if let Some(reason) = reason {
            self.give_up_move(key, reason);
            return;
        }
        if self.balancer.as_mut().is_some_and(|balancer| balancer.booking_durable(now, key, attempt)) {
            let spec = &self.jobs[&key.0].spec;
            let grace = if spec.checkpoint_interval_s > 0.0 { spec.save_s } else { 0.0 };
            self.stop_task(env, &key.0, key.1, grace);
        }
    }

    /// Whether the resources that are booked on a machine for a task are still free.
    fn has_booked_resources(&self, machine: &Machine, need: Resources) -> bool {
        self.free_resources(machine).plus(need).can_fit(need)
    }

    /// Places vacated tasks at their destinations, before other tasks can take the resources or the team's
    /// quota.
    pub fn place_vacated_tasks(&mut self, env: &Env) {
        if !std::mem::take(&mut self.vacated_tasks_due) {
            return;
        }
        let Some(balancer) = &self.balancer else { return };
        let vacated: Vec<Move> =
            balancer.moves().open().filter(|open| open.state == MoveState::Vacated).cloned().collect();
        for open in vacated {
            self.place_moved_task(env, &open);
        }
    }

    /// Places a vacated task at its destination, or gives up its move.
    fn place_moved_task(&mut self, env: &Env, open: &Move) {
        let now = env.steady();
        let (name, task) = &open.key;
        let requeued = self.jobs.get(name).is_some_and(|job| job.is_requeued(*task));
        let reason = match self.machines.get(&open.to) {
            _ if !requeued => Some(GiveUpReason::PlacedElsewhere),
            // During an evacuation, tasks are placed in the order of their tiers.
            _ if self.is_evacuating() => Some(GiveUpReason::Evacuation),
            // A new leader may not know the destination yet, or may not have reached it.
            Some(target) if !target.is_fenced() && now.duration_since(open.since) < DESTINATION_DISCOVERY => return,
            None if now.duration_since(open.since) < DESTINATION_DISCOVERY => return,
            None => Some(GiveUpReason::DestinationGone),
            Some(target) if !target.is_schedulable(now) => Some(GiveUpReason::DestinationUnfit),
            Some(target) if !self.accepts_moved_task(target, open) => Some(GiveUpReason::DestinationFull),
            Some(_) => None,
        };
        if let Some(reason) = reason {
            self.give_up_move(&open.key, reason);
            self.scheduling_due = true;
            return;
        }
        self.place_task(name, *task, &open.to, now);
    }

    /// Whether the team's limit, the job's constraints and the booked resources allow the move's task at its
    /// destination.
    fn accepts_moved_task(&self, target: &Machine, open: &Move) -> bool {
        let job = &self.jobs[&open.key.0];
        !self.is_at_team_limit(&job.spec.team, open.need)
            && meets_constraints(&job.spec, target)
            && self.eligible_zones(job).is_none_or(|zones| zones.contains(&target.zone))
            && self.has_booked_resources(target, open.need)
    }

    /// Restores the open moves of an earlier leader. A move is completed if its task is gone from the source
    /// or saving a checkpoint there. If the task is still running, the move is given up once the worker
    /// reports it. Moves that no longer match the task's state are dropped at once.
    pub fn restore_moves(&mut self, env: &Env) {
        let (mut restored, mut dropped) = (0, 0);
        for (part, record) in std::mem::take(&mut self.loaded_moves) {
            for open in &record.moves {
                match self.restore_move(env, part, open) {
                    true => restored += 1,
                    false => dropped += 1,
                }
            }
            if !record.moves.is_empty() {
                self.mark_moves_unwritten(&[part]);
            }
        }
        if restored + dropped > 0 {
            tracing::info!(taken = restored, dropped, "restored the open moves of an earlier leader");
        }
        self.vacated_tasks_due = true;
    }

    /// Restores one open move. Returns `false` if it is dropped because it no longer matches the task's state.
    fn restore_move(&mut self, env: &Env, part: usize, open: &OpenMove) -> bool {
        let now = env.steady();
        let Some(job) = self.jobs.get_mut(open.job.as_str()) else { return false };
        let vacated = job.is_requeued(open.task);
        let at_source = job.placements.get(&open.task).is_some_and(|placement| placement.attempt == open.attempt);
        // Otherwise the task has since been moved or restarted, or has ended, possibly under a leader without
        // rebalancing.
        if job.cancelled || !job.restarted.contains(&open.task) || !(vacated || at_source) {
            return false;
        }
        if vacated {
            job.requeue(open.task, now + DESTINATION_DISCOVERY);
        }
        let need = Resources::of(&job.spec);
        if let Some(balancer) = &mut self.balancer {
            balancer.adopt(now, open, part, need, vacated);
        }
        true
    }
}
