//! The balancer: the load model, fair shares, planner and open moves put together, as the core uses
//! them.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use crate::cost::CostModel;
use crate::load::{LoadModel, MachineInfo};
use crate::moves::{GiveUpReason, Move, MoveEnd, MoveState, Moves};
use crate::planner::{FleetView, Planner, Proposal};
use crate::rate_limit::MoveRateLimiter;
use crate::record::{OpenMove, OpenMoves};
use crate::resources::Resources;
use crate::settings::Settings;
use crate::shares::{BorrowRequest, FairShares};
use crate::{Name, TaskKey};

/// What a step after the booking may take, beside the task's own time to save.
const STEP_SLACK: u32 = 2;

/// What was done since the last summary, and how even the fleet is.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    /// Machines, their mean use and how it varies.
    pub machines: usize,
    /// Mean use.
    pub mean: f64,
    /// Coefficient of variation of use.
    pub variation: f64,
    /// Jain's index of use.
    pub jain: f64,
    /// Moves begun.
    pub begun: u64,
    /// Moves that ended with the task running at its destination.
    pub confirmed: u64,
    /// Moves given up, by reason.
    pub given_up: Vec<(GiveUpReason, u64)>,
    /// Moves that are open.
    pub open: usize,
    /// Jobs held back for other teams now.
    pub held_jobs: usize,
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "machines {}, mean use {:.2}, variation {:.2}, jain {:.2}, moves begun {}, confirmed {}, open {}, jobs held {}",
            self.machines, self.mean, self.variation, self.jain, self.begun, self.confirmed, self.open, self.held_jobs
        )?;
        for (reason, count) in &self.given_up {
            write!(formatter, ", given up {reason:?} {count}")?;
        }
        Ok(())
    }
}

/// Load spreading for one term of a leader.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    load: LoadModel,
    shares: FairShares,
    moves: Moves,
    rate_limit: MoveRateLimiter,
    begun: u64,
    confirmed: u64,
    given_up: BTreeMap<GiveUpReason, u64>,
}

impl Balancer {
    /// A balancer with empty tables, for teams with these guarantees.
    pub fn new(settings: Settings, teams: impl IntoIterator<Item = (Name, Resources)>) -> Balancer {
        Balancer {
            settings,
            load: LoadModel::default(),
            shares: FairShares::new(teams),
            moves: Moves::default(),
            rate_limit: MoveRateLimiter::default(),
            begun: 0,
            confirmed: 0,
            given_up: BTreeMap::new(),
        }
    }

    /// The operators' settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Load of machines, zones and teams.
    pub fn load(&self) -> &LoadModel {
        &self.load
    }

    /// Fair shares of teams.
    pub fn shares(&self) -> &FairShares {
        &self.shares
    }

    /// Moves that are open.
    pub fn moves(&self) -> &Moves {
        &self.moves
    }

    /// Expected times.
    pub fn cost_model(&self) -> CostModel {
        CostModel::new(&self.settings)
    }

    /// What the core knows of a machine.
    pub fn update_machine(&mut self, name: &Name, info: MachineInfo) {
        self.load.set_machine(name, info);
    }

    /// A machine is gone; returns the moves that end with it, to be given up.
    pub fn remove_machine(&mut self, name: &Name) -> Vec<TaskKey> {
        self.load.remove_machine(name);
        self.rate_limit.forget_machine(name);
        self.moves.unplaced_moves_to(name)
    }

    /// A task has a place. If the move of it brought it there, room is booked no more.
    pub fn task_placed(&mut self, now: Instant, key: &TaskKey, machine: &Name, team: &Name, need: Resources) {
        self.load.add_task(key, machine, team, need);
        let Some(open) = self.moves.get(key) else { return };
        if open.state != MoveState::Vacated || open.to != *machine {
            return;
        }
        let (to, need) = (open.to.clone(), open.need);
        self.load.unbook(&to, need);
        self.moves.advance(now, key, &[MoveState::Vacated], MoveState::Placed);
    }

    /// A task was seen running.
    pub fn task_running(&mut self, key: &TaskKey) -> Option<(Move, MoveEnd)> {
        self.load.mark_running(key);
        match self.moves.get(key)?.state {
            MoveState::Placed => self.end(key, MoveEnd::Confirmed),
            // Its stop was never sent or may still come; it is not sent again.
            MoveState::Inherited => self.end(key, MoveEnd::GivenUp(GiveUpReason::LeaderChanged)),
            _ => None,
        }
    }

    /// A task was seen saving.
    pub fn task_saving(&mut self, now: Instant, key: &TaskKey) {
        self.moves.advance(now, key, &[MoveState::Inherited, MoveState::Stopping], MoveState::Saving);
    }

    /// A task is proven gone from its place, with its end or without. Tells whether its move goes on:
    /// its destination waits for it.
    pub fn task_left(&mut self, now: Instant, key: &TaskKey, ended: bool) -> Option<(Move, MoveEnd)> {
        self.load.remove_task(key);
        let state = self.moves.get(key)?.state;
        let reason = match state {
            _ if ended => GiveUpReason::TaskEnded,
            MoveState::Inherited | MoveState::Stopping | MoveState::Saving => {
                let open = self.moves.get(key)?;
                self.load.remove_departing(&open.from, open.need);
                self.moves.advance(now, key, &[state], MoveState::Vacated);
                return None;
            }
            MoveState::Vacated => return None,
            MoveState::Booked => GiveUpReason::LeftEarly,
            MoveState::Placed => GiveUpReason::DestinationGone,
        };
        self.end(key, MoveEnd::GivenUp(reason))
    }

    /// Ends a move with its reason.
    pub fn give_up(&mut self, key: &TaskKey, reason: GiveUpReason) -> Option<(Move, MoveEnd)> {
        self.end(key, MoveEnd::GivenUp(reason))
    }

    /// Begins a move: from now on its room counts against everything else. `part` is the value of the
    /// record that names it.
    pub fn begin(&mut self, now: Instant, proposal: &Proposal, part: usize) {
        self.begun += 1;
        self.rate_limit.move_begun(now, &proposal.from, &proposal.to);
        self.open_move(Move {
            key: proposal.task.key.clone(),
            attempt: proposal.task.attempt,
            from: proposal.from.clone(),
            to: proposal.to.clone(),
            need: proposal.task.need,
            state: MoveState::Booked,
            since: now,
            gain_s: proposal.gain_s,
            part,
        });
    }

    /// Takes over a move of an earlier leader. `vacated` if its task is proven gone from the source; else
    /// it stands there by the records.
    pub fn adopt(&mut self, now: Instant, open: &OpenMove, part: usize, need: Resources, vacated: bool) {
        self.open_move(Move {
            key: (Name::from(open.job.as_str()), open.task),
            attempt: open.attempt,
            from: Name::from(open.from.as_str()),
            to: Name::from(open.to.as_str()),
            need,
            state: if vacated { MoveState::Vacated } else { MoveState::Inherited },
            since: now,
            gain_s: 0.0,
            part,
        });
    }

    fn open_move(&mut self, open: Move) {
        self.load.book(&open.to, open.need);
        if open.is_at_source() {
            self.load.add_departing(&open.from, open.need);
        }
        self.moves.begin(open);
    }

    /// The booking is durable: the stop may be ordered. False if the move is no longer there.
    pub fn booking_durable(&mut self, now: Instant, key: &TaskKey, attempt: u64) -> bool {
        let same = self.moves.get(key).is_some_and(|open| open.attempt == attempt);
        same && self.moves.advance(now, key, &[MoveState::Booked], MoveState::Stopping)
    }

    fn end(&mut self, key: &TaskKey, end: MoveEnd) -> Option<(Move, MoveEnd)> {
        let ended = self.moves.end(key)?;
        if ended.is_at_source() {
            self.load.remove_departing(&ended.from, ended.need);
        }
        if ended.holds_booking() {
            self.load.unbook(&ended.to, ended.need);
        }
        match end {
            MoveEnd::Confirmed => self.confirmed += 1,
            MoveEnd::GivenUp(reason) => *self.given_up.entry(reason).or_default() += 1,
        }
        Some((ended, end))
    }

    /// Lets time pass; returns the moves that took too long, to be given up.
    pub fn tick(&mut self, now: Instant) -> Vec<TaskKey> {
        self.rate_limit.tick(now, self.load.machines(), &self.settings);
        self.moves.timed_out(now, self.settings.booking_timeout * STEP_SLACK)
    }

    /// For how long a vacated task waits for its destination.
    pub fn booking_timeout(&self) -> Duration {
        self.settings.booking_timeout
    }

    /// The next move that pays, if the budget allows one, and the value of the record that has room for
    /// it; values hold so many bytes.
    pub fn propose(&self, view: &impl FleetView, value_bytes: usize) -> Option<(Proposal, usize)> {
        if self.rate_limit.available() == 0 {
            return None;
        }
        let planner =
            Planner { load: &self.load, moves: &self.moves, rate_limit: &self.rate_limit, settings: &self.settings };
        let next = planner.next(view)?;
        let bytes = OpenMove::max_bytes(&next.task.key.0, &next.from, &next.to);
        let part = self.moves.part_with_space(bytes, value_bytes)?;
        Some((next, part))
    }

    /// Whether a team may have one more task placed now.
    pub fn may_place(&mut self, now: Instant, ask: &BorrowRequest) -> bool {
        self.shares.may_place(now, &self.load, &self.settings, ask)
    }

    /// A job is over.
    pub fn job_ended(&mut self, job: &Name) {
        self.shares.forget_job(job);
    }

    /// One value of the record; from now on it counts as written.
    pub fn record(&mut self, part: usize) -> OpenMoves {
        self.moves.set_unwritten(part, false);
        let moves = self.moves.in_part(part).map(|open| OpenMove {
            job: open.key.0.to_string(),
            task: open.key.1,
            attempt: open.attempt,
            from: open.from.to_string(),
            to: open.to.to_string(),
        });
        OpenMoves { moves: moves.collect() }
    }

    /// A value of the record must be written: its write failed or is in doubt, or it is an earlier
    /// leader's.
    pub fn mark_unwritten(&mut self, part: usize) {
        self.moves.set_unwritten(part, true);
    }

    /// What was done since the last summary.
    pub fn summary(&mut self) -> Summary {
        let evenness = self.load.evenness();
        Summary {
            machines: evenness.machines(),
            mean: evenness.mean(),
            variation: evenness.variation(),
            jain: evenness.jain(),
            begun: std::mem::take(&mut self.begun),
            confirmed: std::mem::take(&mut self.confirmed),
            given_up: std::mem::take(&mut self.given_up).into_iter().collect(),
            open: self.moves.len(),
            held_jobs: self.shares.held_jobs().0,
        }
    }
}
