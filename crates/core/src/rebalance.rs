//! Load spreading: feeds the balancer with what happens, and carries out what it advises.
//!
//! The balancer decides nothing that a rule depends on. A move is a stop like any other, ordered
//! once the booking and the task's mark are durable; the task gets its new place when its old one is
//! proven empty, within its team's limit, and by the same record as every placement.

use std::time::{Duration, Instant};

use rushyoke_balance::{
    Balancer, BorrowRequest, Candidate, FleetView, GiveUpReason, MachineInfo, Move, MoveEnd, MoveState, OpenMove,
    OpenMoves,
};
use rushyoke_wire::job::{Kind, Priority};
use rushyoke_wire::worker::TaskState;

use crate::env::Env;
use crate::fleet::Machine;
use crate::jobs::*;
use crate::place::meets_constraints;
use crate::quota::Resources;
use crate::term::Term;

/// From a direct order to stop until the worker's report shows that the task is gone, beside the time
/// to save: workers report changes at most each half second.
const STOP_S: f64 = 0.6;
/// How long a vacated task waits for a destination that a new leader does not know yet.
const KNOWN_SOON: Duration = Duration::from_secs(4);
/// Bytes of the record of open moves that stay unused.
const RECORD_SPARE: usize = 256;
/// A booking that is not durable for so long waits for the state service.
const BOOKED_SOON: Duration = Duration::from_secs(2);
const SUMMARY_PERIOD: Duration = Duration::from_secs(60);

/// Whether work may be moved to a machine: it takes tasks, is to stay, and this leader renews its
/// lease. One that only answers calls, as after a takeover, may lose its lease before it finds the
/// leader, and what was moved there with it.
fn is_destination(machine: &Machine, env: &Env) -> bool {
    let now = env.steady();
    let settled = machine.in_open_zone() && !machine.zone_unhealthy;
    settled
        && machine.is_schedulable(now)
        && machine.lease_recently_renewed(now, env.facts.report_interval)
        && !machine.retiring
        && !machine.straggler
}

/// Run time that a task has left, as far as is known.
fn left_s(now: Instant, job: &Job, place: &Placement) -> f64 {
    let ran = place.running_since.map_or(0.0, |at| now.duration_since(at).as_secs_f64());
    (job.mean_run_s - ran).max(0.0)
}

/// What the planner sees of the fleet.
struct View<'a> {
    term: &'a Term,
    env: &'a Env,
    balancer: &'a Balancer,
    /// CPUs on ordinary machines that may be taken without touching what is kept for services.
    reserve_left: f64,
}

impl View<'_> {
    fn candidate(&self, key: &TaskKey) -> Option<Candidate> {
        let now = self.env.steady();
        let job = &self.term.jobs[&key.0];
        let place = &job.placements[&key.1];
        let settings = self.balancer.settings();
        let movable = job.spec.kind == Kind::Array
            && job.spec.priority != Priority::Production
            && !settings.protected_classes.contains(&job.spec.class)
            && !job.restarted.contains(&key.1)
            && !job.was_starved
            && place.stop.is_none()
            && matches!(place.stage, Stage::Fetching | Stage::Running);
        if !movable {
            return None;
        }
        let ran = place.running_since.map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        let saves = job.spec.checkpoint_interval_s > 0.0;
        if !saves && ran > settings.max_age_without_checkpoint.as_secs_f64() {
            return None;
        }
        let (lost_work_s, save_s) = if saves { (0.0, job.spec.save_s) } else { (ran, 0.0) };
        Some(Candidate {
            key: key.clone(),
            attempt: place.attempt,
            need: Resources::of(&job.spec),
            remaining_s: left_s(now, job, place),
            lost_work_s,
            stop_s: save_s + STOP_S,
        })
    }
}

impl FleetView for View<'_> {
    fn candidates(&self, machine: &Name) -> Vec<Candidate> {
        let Some(machine) = self.term.machines.get(machine) else { return Vec::new() };
        let mut candidates: Vec<Candidate> = Vec::new();
        for candidate in machine.tasks.iter().filter_map(|key| self.candidate(key)) {
            match candidates.iter_mut().find(|other| other.key.0 == candidate.key.0) {
                // Tasks of a job are alike: the one with the most left gains the most.
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
        let places = self.term.machines.get(machine).into_iter().flat_map(|machine| &machine.tasks);
        let left = places.map(|(name, task)| {
            let job = &self.term.jobs[name];
            if job.spec.kind == Kind::Service { horizon } else { left_s(now, job, &job.placements[task]) }
        });
        left.sum()
    }

    fn fits(&self, task: &Candidate, machine: &Name) -> bool {
        let job = &self.term.jobs[&task.key.0];
        let Some(target) = self.term.machines.get(machine) else { return false };
        let reserved = !target.spot && self.reserve_left < task.need.cpus;
        let room = self.term.room_without(self.balancer, target, &job.id);
        is_destination(target, self.env)
            && !reserved
            && target.reservation.is_none()
            && meets_constraints(&job.spec, target)
            && !job.avoids(machine)
            && self.term.eligible_zones(job).is_none_or(|zones| zones.contains(&target.zone))
            && room.can_fit(task.need)
    }

    fn fetch_s(&self, task: &Candidate, machine: &Name) -> f64 {
        let target = self.term.machines.get(machine);
        target.map_or(f64::INFINITY, |target| self.term.image_fetch_s(self.env, &self.term.jobs[&task.key.0], target))
    }
}

impl Term {
    // What happens, told to the balancer.

    /// A task has a place.
    pub fn note_placement_started(&mut self, now: Instant, key: &TaskKey, machine: &Name) {
        let spec = &self.jobs[&key.0].spec;
        let Some(balancer) = &mut self.balancer else { return };
        balancer.task_placed(now, key, machine, &Name::from(spec.team.as_str()), Resources::of(spec));
    }

    /// A worker reports a task in another state.
    pub fn note_move_progress(&mut self, now: Instant, key: &TaskKey, state: TaskState) {
        let Some(balancer) = &mut self.balancer else { return };
        match state {
            TaskState::Running => {
                let ended = balancer.task_running(key);
                self.move_ended(ended);
            }
            TaskState::Saving => balancer.task_saving(now, key),
            TaskState::Fetching | TaskState::Exited => {}
        }
    }

    /// A task has left its place; `waits` if it cannot start again at once.
    pub fn note_placement_ended(&mut self, now: Instant, key: &TaskKey, waits: bool) {
        let ended = waits || self.jobs.get(&key.0).is_none_or(|job| job.cancelled || job.is_done(key.1));
        let Some(balancer) = &mut self.balancer else { return };
        let ended = balancer.task_left(now, key, ended);
        self.vacated_tasks_due = true;
        self.move_ended(ended);
    }

    /// A machine is gone: what was on its way there goes elsewhere.
    pub fn destination_gone(&mut self, name: &Name) {
        let Some(balancer) = &mut self.balancer else { return };
        for key in balancer.remove_machine(name) {
            self.give_up_move(&key, GiveUpReason::DestinationGone);
        }
    }

    /// A job is cancelled: its moves end.
    pub fn cancel_moves_of(&mut self, job: &Name) {
        let Some(balancer) = &self.balancer else { return };
        for key in balancer.moves().of_job(job) {
            self.give_up_move(&key, GiveUpReason::JobCancelled);
        }
    }

    // What the balancer advises.

    /// Whether a team that is beyond its guarantee may have one more task of the job placed.
    pub fn may_borrow(&mut self, now: Instant, name: &Name) -> bool {
        let job = &self.jobs[name];
        let Some(balancer) = &mut self.balancer else { return true };
        let need = Resources::of(&job.spec);
        balancer.may_place(now, &BorrowRequest { job: name, team: &job.spec.team, need, run_s: job.mean_run_s })
    }

    /// Whether a team has more than its fair share of the fleet.
    pub fn exceeds_fair_share(&self, team: &str) -> bool {
        self.balancer.as_ref().is_some_and(|balancer| balancer.shares().weighted_share(balancer.load(), team) > 1.0)
    }

    /// Free room on a machine for a job, by the bookings of a balancer that is taken out of the term.
    fn room_without(&self, balancer: &Balancer, machine: &Machine, job: &Name) -> Resources {
        self.available_resources(machine, job).minus(balancer.load().booked(&machine.name))
    }

    /// Once a second: the balancer learns which machines take work, and moves begin that pay.
    pub fn rebalance_tick(&mut self, env: &mut Env) {
        let now = env.steady();
        let Some(mut balancer) = self.balancer.take() else { return };
        for machine in self.machines.values() {
            let claimed = machine.reservation.as_ref().filter(|claim| claim.by_preemption).map(|claim| claim.resources);
            let info = MachineInfo {
                zone: Name::from(machine.zone.as_str()),
                total: if machine.up && machine.counts_as_capacity() { machine.total } else { Resources::default() },
                accepts_moves: is_destination(machine, env),
                claimed: claimed.unwrap_or_default(),
            };
            balancer.update_machine(&machine.name, info);
        }
        let overdue = balancer.tick(now);
        // While bookings wait to be durable the state service is slow or silent: more would be no use.
        if !self.survey_active()
            && !self.is_evacuating()
            && !balancer.moves().any_in_state_longer(now, MoveState::Booked, BOOKED_SOON)
        {
            self.begin_moves(env, &mut balancer);
        }
        if now.duration_since(self.last_summary_at.unwrap_or(self.started_at)) >= SUMMARY_PERIOD {
            self.last_summary_at = Some(now);
            tracing::info!("balance: {}", balancer.summary());
        }
        self.balancer = Some(balancer);
        overdue.iter().for_each(|key| self.give_up_move(key, GiveUpReason::TimedOut));
        self.vacated_tasks_due = true;
    }

    fn give_up_move(&mut self, key: &TaskKey, reason: GiveUpReason) {
        let ended = self.balancer.as_mut().and_then(|balancer| balancer.give_up(key, reason));
        self.move_ended(ended);
    }

    /// A move has ended. A task that was never ordered to stop was not moved, and may be later.
    fn move_ended(&mut self, ended: Option<(Move, MoveEnd)>) {
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

    fn begin_moves(&mut self, env: &Env, balancer: &mut Balancer) {
        let now = env.steady();
        let mut reserve_left = self.free_on_demand_cpus(now) - self.renting.service_reserve(env);
        let record_bytes = env.facts.value_bytes.saturating_sub(RECORD_SPARE);
        loop {
            let view = View { term: self, env, balancer, reserve_left };
            let Some((proposal, part)) = balancer.propose(&view, record_bytes) else { return };
            balancer.begin(now, &proposal, part);
            let key = &proposal.task.key;
            let (from, to) = (&self.machines[&proposal.from], &self.machines[&proposal.to]);
            if from.spot && !to.spot {
                reserve_left -= proposal.task.need.cpus;
            }
            tracing::debug!(
                job = &*key.0,
                task = key.1,
                from = &*proposal.from,
                to = &*proposal.to,
                gain_s = proposal.gain_s,
                "move booked"
            );
            // The mark is written beside the booking: whoever leads next, the task is moved once.
            let job = self.jobs.get_mut(&key.0).expect("a candidate");
            job.restarted.insert(key.1);
            self.records.mark_changed(key.clone(), None);
        }
    }

    /// A value of the record of open moves, if it may be written: `durable_with` tells whether a task's
    /// mark is durable, or written with it. With it come the moves that wait for that.
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

    /// Values of the record of open moves that must be written.
    pub fn unwritten_move_parts(&self) -> Vec<usize> {
        self.balancer.as_ref().map(|balancer| balancer.moves().unwritten_parts()).unwrap_or_default()
    }

    /// A write of values of the record failed, or is in doubt.
    pub fn mark_moves_unwritten(&mut self, parts: &[usize]) {
        if let Some(balancer) = &mut self.balancer {
            parts.iter().for_each(|part| balancer.mark_unwritten(*part));
        }
    }

    /// Bookings are durable: their tasks are stopped, unless something has changed meanwhile.
    pub fn start_durable_moves(&mut self, env: &mut Env, booked: Vec<(TaskKey, u64)>) {
        for (key, attempt) in booked {
            self.stop_for_move(env, &key, attempt);
        }
    }

    fn stop_for_move(&mut self, env: &mut Env, key: &TaskKey, attempt: u64) {
        let now = env.steady();
        let Some(balancer) = &self.balancer else { return };
        let Some(to) = balancer.moves().get(key).filter(|open| open.attempt == attempt).map(|open| open.to.clone())
        else {
            return;
        };
        let place = self.jobs.get(&key.0).and_then(|job| job.placements.get(&key.1));
        // Stopped for another reason, or ended and begun anew.
        if place.is_none_or(|place| place.attempt != attempt || place.stop.is_some()) {
            self.give_up_move(key, GiveUpReason::LeftEarly);
            return;
        }
        let target = self.machines.get(&to);
        let need = Resources::of(&self.jobs[&key.0].spec);
        let reason = match target {
            None => Some(GiveUpReason::DestinationGone),
            Some(target) if !is_destination(target, env) => Some(GiveUpReason::DestinationUnfit),
            Some(target) if !self.booked_room(target, need) => Some(GiveUpReason::DestinationFull),
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

    /// Whether the room that is booked on a machine for a task is there.
    fn booked_room(&self, machine: &Machine, need: Resources) -> bool {
        self.free_resources(machine).plus(need).can_fit(need)
    }

    /// Gives vacated tasks their new places, before anything else can take the room or their team's part.
    pub fn place_vacated_tasks(&mut self, env: &Env) {
        if !std::mem::take(&mut self.vacated_tasks_due) {
            return;
        }
        let Some(balancer) = &self.balancer else { return };
        let vacated: Vec<Move> =
            balancer.moves().open().filter(|open| open.state == MoveState::Vacated).cloned().collect();
        for open in vacated {
            self.place_moved(env, &open);
        }
    }

    fn place_moved(&mut self, env: &Env, open: &Move) {
        let now = env.steady();
        let (name, task) = &open.key;
        let waits = self.jobs.get(name).is_some_and(|job| job.is_requeued(*task));
        let reason = match self.machines.get(&open.to) {
            _ if !waits => Some(GiveUpReason::PlacedElsewhere),
            // Placement goes by tiers.
            _ if self.is_evacuating() => Some(GiveUpReason::Evacuation),
            // A new leader may not know it yet, or not have reached it.
            Some(target) if !target.is_fenced() && now.duration_since(open.since) < KNOWN_SOON => return,
            None if now.duration_since(open.since) < KNOWN_SOON => return,
            None => Some(GiveUpReason::DestinationGone),
            Some(target) if !target.is_schedulable(now) => Some(GiveUpReason::DestinationUnfit),
            Some(target) if !self.takes_moved(target, open) => Some(GiveUpReason::DestinationFull),
            Some(_) => None,
        };
        if let Some(reason) = reason {
            self.give_up_move(&open.key, reason);
            self.scheduling_due = true;
            return;
        }
        self.place_task(name, *task, &open.to, now);
    }

    fn takes_moved(&self, target: &Machine, open: &Move) -> bool {
        let job = &self.jobs[&open.key.0];
        !self.is_at_team_limit(&job.spec.team, open.need)
            && meets_constraints(&job.spec, target)
            && self.eligible_zones(job).is_none_or(|zones| zones.contains(&target.zone))
            && self.booked_room(target, open.need)
    }

    /// Takes over the open moves of an earlier leader. One is finished if its task has left the source, or
    /// saves there; one whose task runs on is dropped once its worker tells, and any other at once.
    pub fn restore_moves(&mut self, env: &Env) {
        let (mut taken, mut dropped) = (0, 0);
        for (part, record) in std::mem::take(&mut self.loaded_moves) {
            for open in &record.moves {
                match self.adopt_move(env, part, open) {
                    true => taken += 1,
                    false => dropped += 1,
                }
            }
            if !record.moves.is_empty() {
                self.mark_moves_unwritten(&[part]);
            }
        }
        if taken + dropped > 0 {
            tracing::info!(taken, dropped, "open moves of an earlier leader");
        }
        self.vacated_tasks_due = true;
    }

    fn adopt_move(&mut self, env: &Env, part: usize, open: &OpenMove) -> bool {
        let now = env.steady();
        let Some(job) = self.jobs.get_mut(open.job.as_str()) else { return false };
        let vacated = job.is_requeued(open.task);
        let at_source = job.placements.get(&open.task).is_some_and(|place| place.attempt == open.attempt);
        // Else it was moved, restarted or ended since, by a leader that knows nothing of moves perhaps.
        if job.cancelled || !job.restarted.contains(&open.task) || !(vacated || at_source) {
            return false;
        }
        if vacated {
            job.requeue(open.task, now + KNOWN_SOON);
        }
        let need = Resources::of(&job.spec);
        if let Some(balancer) = &mut self.balancer {
            balancer.adopt(now, open, part, need, vacated);
        }
        true
    }
}
