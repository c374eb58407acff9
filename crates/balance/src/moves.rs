//! The life cycle of a move, from booking resources at its destination to its end.
//!
//! ```text
//! Booked ──durable──▶ Stopping ──saves──▶ Saving ──┐
//!    │                    └───────────────────────▶├─proven gone──▶ Vacated ──planned──▶ Placed ──runs──▶ Confirmed
//!    │  Inherited (by a new leader) ──saves, or is gone──▶ as above
//!    └── any failure: given up with a reason; once stopped, the task is placed like any other
//! ```
//!
//! Invariants: no task is stopped before the booking and the task's mark, that it was moved, are durable, so
//! that a new leader never repeats a move; a task has at most one move at a time; the resources stay booked
//! from before the stop until the task has its new placement or the move ends.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::record::{MAX_PARTS, OpenMove};
use crate::resources::Resources;
use crate::{Name, TaskKey};

/// The state of an open move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MoveState {
    /// The resources are booked, but the booking is not durable yet.
    Booked,
    /// Taken over from an earlier leader; the worker's reports will show whether the task was stopped.
    Inherited,
    /// The task was ordered to stop.
    Stopping,
    /// The worker reported that the task is saving a checkpoint.
    Saving,
    /// The task is proven gone from the source and waits for its new placement.
    Vacated,
    /// The task's placement at the destination is planned or ordered.
    Placed,
}

/// Why a move was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum GiveUpReason {
    /// The destination no longer has enough free resources, or may not run the task.
    DestinationFull,
    /// The destination is retiring, straggling, unresponsive or about to be released.
    DestinationUnfit,
    /// The destination is gone.
    DestinationGone,
    /// The task ended before it was stopped.
    TaskEnded,
    /// Its job was cancelled.
    JobCancelled,
    /// The task left the source for another reason, before it was ordered to stop.
    LeftEarly,
    /// The task was placed elsewhere.
    PlacedElsewhere,
    /// The move stayed in one state for too long.
    TimedOut,
    /// An earlier leader began the move, and the task still runs at the source.
    LeaderChanged,
    /// A zone is being evacuated, so the task is placed in the order of tiers instead.
    Evacuation,
}

/// How a move ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveEnd {
    /// The task runs at the destination.
    Confirmed,
    /// The move was given up.
    GivenUp(GiveUpReason),
}

/// An open move.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// The task.
    pub key: TaskKey,
    /// Its attempt at the source.
    pub attempt: u64,
    /// The source machine.
    pub from: Name,
    /// The destination machine.
    pub to: Name,
    /// Resources that the task requests and that are booked at the destination.
    pub need: Resources,
    /// Its state.
    pub state: MoveState,
    /// When it entered this state.
    pub since: Instant,
    /// Expected net gain of the move.
    pub gain_s: f64,
    /// Index of the part of the record that contains it.
    pub part: usize,
}

impl Move {
    /// Upper bound of its size in the record, in bytes.
    pub fn record_bytes(&self) -> usize {
        OpenMove::max_bytes(&self.key.0, &self.from, &self.to)
    }

    /// Whether its task is still at the source.
    pub fn is_at_source(&self) -> bool {
        self.state < MoveState::Vacated
    }

    /// Whether resources are booked for it: from the beginning until the new placement itself is counted.
    pub fn holds_booking(&self) -> bool {
        self.state < MoveState::Placed
    }
}

/// One part of the record.
#[derive(Debug, Default)]
struct Part {
    bytes: usize,
    /// Whether its moves have changed since it was last written.
    unwritten: bool,
}

/// The open moves, and the sizes of the record's parts.
#[derive(Debug, Default)]
pub struct Moves {
    open: BTreeMap<TaskKey, Move>,
    parts: Vec<Part>,
}

impl Moves {
    /// Iterates over the open moves.
    pub fn open(&self) -> impl Iterator<Item = &Move> {
        self.open.values()
    }

    /// Number of open moves.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no move is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns the open move of a task, if it has one.
    pub fn get(&self, key: &TaskKey) -> Option<&Move> {
        self.open.get(key)
    }

    /// Returns the parts of the record that must be written.
    pub fn unwritten_parts(&self) -> Vec<usize> {
        let parts = self.parts.iter().enumerate();
        parts.filter(|(_, part)| part.unwritten).map(|(number, _)| number).collect()
    }

    /// Sets whether a part must be written.
    pub fn set_unwritten(&mut self, part: usize, unwritten: bool) {
        self.part_mut(part).unwritten = unwritten;
    }

    /// Iterates over the moves that a part holds.
    pub fn in_part(&self, part: usize) -> impl Iterator<Item = &Move> {
        self.open.values().filter(move |open| open.part == part)
    }

    /// Returns the first part with space for `bytes`, where each part holds at most `value_bytes`; none if all
    /// are full.
    pub fn part_with_space(&self, bytes: usize, value_bytes: usize) -> Option<usize> {
        let fits = |part: &usize| self.parts.get(*part).map_or(0, |part| part.bytes) + bytes <= value_bytes;
        (0..MAX_PARTS).find(fits)
    }

    fn part_mut(&mut self, part: usize) -> &mut Part {
        if self.parts.len() <= part {
            self.parts.resize_with(part + 1, Part::default);
        }
        &mut self.parts[part]
    }

    /// Adds a move that begins, or that is taken over from an earlier leader.
    pub fn begin(&mut self, new: Move) {
        let bytes = new.record_bytes();
        let part = self.part_mut(new.part);
        part.bytes += bytes;
        part.unwritten = true;
        self.open.insert(new.key.clone(), new);
    }

    /// Advances a move from one of `states` to `next`; returns false if it is in none of them.
    pub fn advance(&mut self, now: Instant, key: &TaskKey, states: &[MoveState], next: MoveState) -> bool {
        let Some(open) = self.open.get_mut(key).filter(|open| states.contains(&open.state)) else { return false };
        open.state = next;
        open.since = now;
        true
    }

    /// Removes a move that has ended.
    pub fn end(&mut self, key: &TaskKey) -> Option<Move> {
        let ended = self.open.remove(key)?;
        let bytes = ended.record_bytes();
        let part = self.part_mut(ended.part);
        part.bytes -= bytes;
        part.unwritten = true;
        Some(ended)
    }

    /// Returns the moves that have been in their state for at least `timeout`.
    pub fn timed_out(&self, now: Instant, timeout: Duration) -> Vec<TaskKey> {
        let timed_out = |open: &&Move| now.saturating_duration_since(open.since) >= timeout;
        self.open.values().filter(timed_out).map(|open| open.key.clone()).collect()
    }

    /// Whether any move has been in this state for longer than `limit`.
    pub fn any_in_state_longer(&self, now: Instant, state: MoveState, limit: Duration) -> bool {
        let is_late = |open: &Move| open.state == state && now.saturating_duration_since(open.since) > limit;
        self.open.values().any(is_late)
    }

    /// Returns the moves to a machine whose task is not placed there yet.
    pub fn unplaced_moves_to(&self, machine: &Name) -> Vec<TaskKey> {
        let unplaced = |open: &&Move| open.to == *machine && open.holds_booking();
        self.open.values().filter(unplaced).map(|open| open.key.clone()).collect()
    }

    /// Returns the moves of one job's tasks.
    pub fn of_job(&self, job: &Name) -> Vec<TaskKey> {
        let tasks = (job.clone(), 0)..=(job.clone(), u32::MAX);
        self.open.range(tasks).map(|(key, _)| key.clone()).collect()
    }
}
