//! The balancer combines the load model, fair shares, planner and open moves into the interface that the
//! core uses.

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
use crate::shares::{FairShares, PlacementRequest};
use crate::{Name, TaskKey};

/// A move times out when it has been in one state for this many booking timeouts. A single one would leave no
/// time for the task to save a checkpoint.
const BOOKING_TIMEOUTS_PER_STATE: u32 = 2;

/// Statistics of moves since the last summary, and how evenly the fleet is utilized.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    /// Number of machines.
    pub machines: usize,
    /// Mean utilization.
    pub mean_utilization: f64,
    /// Coefficient of variation of the utilization.
    pub variation: f64,
    /// Jain's fairness index of the utilization.
    pub jain: f64,
    /// Moves that began.
    pub begun: u64,
    /// Moves that ended with the task running at its destination.
    pub confirmed: u64,
    /// Moves that were given up, by reason.
    pub given_up: Vec<(GiveUpReason, u64)>,
    /// Number of open moves.
    pub open: usize,
    /// Number of jobs that are held back now for the fair shares of other teams.
    pub held_jobs: usize,
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "machines {}, mean use {:.2}, variation {:.2}, jain {:.2}, moves begun {}, confirmed {}, open {}, jobs held {}",
            self.machines,
            self.mean_utilization,
            self.variation,
            self.jain,
            self.begun,
            self.confirmed,
            self.open,
            self.held_jobs
        )?;
        for (reason, count) in &self.given_up {
            write!(formatter, ", given up {reason:?} {count}")?;
        }
        Ok(())
    }
}

/// Load balancing during one term of a leader.
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
    /// Creates a balancer without machines, tasks or moves, for teams with these guarantees.
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

    /// The load of machines, zones and teams.
    pub fn load(&self) -> &LoadModel {
        &self.load
    }

    /// The fair shares of teams.
    pub fn shares(&self) -> &FairShares {
        &self.shares
    }

    /// The open moves.
    pub fn moves(&self) -> &Moves {
        &self.moves
    }

    /// The cost model for placements and moves.
    pub fn cost_model(&self) -> CostModel {
        CostModel::new(&self.settings)
    }

    /// Updates the data of a machine.
    pub fn update_machine(&mut self, name: &Name, info: MachineInfo) {
        self.load.set_machine(name, info);
    }

    /// Removes a machine; returns the moves whose destination it was, which the caller gives up.
    pub fn remove_machine(&mut self, name: &Name) -> Vec<TaskKey> {
        self.load.remove_machine(name);
        self.rate_limit.forget_machine(name);
        self.moves.unplaced_moves_to(name)
    }

    /// Records that a task was placed. If that is the destination of its move, the booking is released.
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

    /// Records that a task was reported running; returns its move if this ends it.
    pub fn task_running(&mut self, key: &TaskKey) -> Option<(Move, MoveEnd)> {
        self.load.mark_running(key);
        match self.moves.get(key)?.state {
            MoveState::Placed => self.end(key, MoveEnd::Confirmed),
            // The earlier leader's stop order was never sent or has not arrived yet; it is not sent again.
            MoveState::Inherited => self.end(key, MoveEnd::GivenUp(GiveUpReason::LeaderChanged)),
            _ => None,
        }
    }

    /// Records that a task was reported saving a checkpoint.
    pub fn task_saving(&mut self, now: Instant, key: &TaskKey) {
        self.moves.advance(now, key, &[MoveState::Inherited, MoveState::Stopping], MoveState::Saving);
    }

    /// Records that a task is proven gone from its machine. `ended` tells whether it does not start again at once.
    /// Returns its move if this ends it; otherwise the move continues at its destination.
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

    /// Gives up a move for this reason.
    pub fn give_up(&mut self, key: &TaskKey, reason: GiveUpReason) -> Option<(Move, MoveEnd)> {
        self.end(key, MoveEnd::GivenUp(reason))
    }

    /// Begins a move and books its resources at the destination. `part` is the index of the part of the record
    /// that will contain it.
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

    /// Takes over a move of an earlier leader. `vacated` tells whether its task is proven gone from the source;
    /// otherwise the task is still there according to the records.
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

    /// Records that the booking is durable; returns whether the task may be ordered to stop, which is false if
    /// the move is no longer open.
    pub fn booking_durable(&mut self, now: Instant, key: &TaskKey, attempt: u64) -> bool {
        let is_open = self.moves.get(key).is_some_and(|open| open.attempt == attempt);
        is_open && self.moves.advance(now, key, &[MoveState::Booked], MoveState::Stopping)
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

    /// Advances time; returns the moves that timed out, which the caller gives up.
    pub fn tick(&mut self, now: Instant) -> Vec<TaskKey> {
        self.rate_limit.tick(now, self.load.machines(), &self.settings);
        self.moves.timed_out(now, self.settings.booking_timeout * BOOKING_TIMEOUTS_PER_STATE)
    }

    /// The configured booking timeout.
    pub fn booking_timeout(&self) -> Duration {
        self.settings.booking_timeout
    }

    /// Returns the next move worth its cost, if the budget allows one, and the index of a part of the record with
    /// space for it. Each part takes at most `value_bytes` bytes.
    pub fn propose(&self, view: &impl FleetView, value_bytes: usize) -> Option<(Proposal, usize)> {
        if self.rate_limit.available() == 0 {
            return None;
        }
        let planner =
            Planner { load: &self.load, moves: &self.moves, rate_limit: &self.rate_limit, settings: &self.settings };
        let proposal = planner.next(view)?;
        let bytes = OpenMove::max_bytes(&proposal.task.key.0, &proposal.from, &proposal.to);
        let part = self.moves.part_with_space(bytes, value_bytes)?;
        Some((proposal, part))
    }

    /// Whether a team may have one more task placed now.
    pub fn may_place(&mut self, now: Instant, request: &PlacementRequest) -> bool {
        self.shares.may_place(now, &self.load, &self.settings, request)
    }

    /// Forgets a job that has ended.
    pub fn job_ended(&mut self, job: &Name) {
        self.shares.forget_job(job);
    }

    /// Returns one part of the record, which counts as written from now on.
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

    /// Marks a part of the record to be written, because its last write failed, has an unknown outcome, or was made
    /// by an earlier leader.
    pub fn mark_unwritten(&mut self, part: usize) {
        self.moves.set_unwritten(part, true);
    }

    /// Returns the statistics since the last summary and resets them.
    pub fn summary(&mut self) -> Summary {
        let evenness = self.load.evenness();
        Summary {
            machines: evenness.machines(),
            mean_utilization: evenness.mean(),
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
