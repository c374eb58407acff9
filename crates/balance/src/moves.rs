//! The life of a move, from the booking of room at its destination to its end.
//!
//! ```text
//! Booked ──durable──▶ Stopping ──saves──▶ Saving ──┐
//!    │                    └───────────────────────▶├─proven empty─▶ Vacated ──planned──▶ Placed ──runs──▶ Confirmed
//!    │  Inherited (by a new leader) ──saves, or is gone──▶ as above
//!    └── any failure: given up with its reason; after the stop the task is placed like any other
//! ```
//!
//! Guards: no stop before the booking and the task's mark are durable, so that a new leader never
//! repeats a move; one move for each task at a time; room stays booked from before the stop until the
//! task has its new place, or the move ends.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::record::{MAX_PARTS, OpenMove};
use crate::resources::Resources;
use crate::{Name, TaskKey};

/// How far a move has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MoveState {
    /// Room is booked; that is not yet durable.
    Booked,
    /// Taken over from an earlier leader: whether the task was stopped its worker will tell.
    Inherited,
    /// The task was ordered to stop.
    Stopping,
    /// It was seen saving its progress.
    Saving,
    /// It is proven gone from its source, and waits for its new place.
    Vacated,
    /// Its new place at the destination is planned or ordered.
    Placed,
}

/// Why a move was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum GiveUpReason {
    /// The destination has no more room for it, or may not take it.
    DestinationFull,
    /// The destination is retiring, straggling, silent or to be taken away.
    DestinationUnfit,
    /// The destination is gone.
    DestinationGone,
    /// The task ended before it was stopped.
    TaskEnded,
    /// Its job was cancelled.
    JobCancelled,
    /// It left the source otherwise, before it was ordered to stop.
    LeftEarly,
    /// It was placed elsewhere.
    PlacedElsewhere,
    /// A step took too long.
    TimedOut,
    /// An earlier leader began it, and the task runs on where it was.
    LeaderChanged,
    /// A zone is being evacuated: its task is placed in the order of tiers.
    Evacuation,
}

/// How a move ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveEnd {
    /// The task runs at the destination.
    Confirmed,
    /// It was given up.
    GivenUp(GiveUpReason),
}

/// A move that is open.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// The task.
    pub key: TaskKey,
    /// Its attempt at the source.
    pub attempt: u64,
    /// The source.
    pub from: Name,
    /// The destination.
    pub to: Name,
    /// What the task needs, and is booked.
    pub need: Resources,
    /// How far it has come.
    pub state: MoveState,
    /// When it came to this state.
    pub since: Instant,
    /// Expected seconds that it gains.
    pub gain_s: f64,
    /// Which value of the record names it.
    pub part: usize,
}

impl Move {
    /// Bytes that it takes of the record at the most.
    pub fn record_bytes(&self) -> usize {
        OpenMove::max_bytes(&self.key.0, &self.from, &self.to)
    }

    /// Whether its task is still at the source, to leave it.
    pub fn is_at_source(&self) -> bool {
        self.state < MoveState::Vacated
    }

    /// Whether room is booked for it: from the start until its new place counts by itself.
    pub fn holds_booking(&self) -> bool {
        self.state < MoveState::Placed
    }
}

/// One value of the record.
#[derive(Debug, Default)]
struct Part {
    bytes: usize,
    /// What it names changed since it was last written.
    unwritten: bool,
}

/// The open moves.
#[derive(Debug, Default)]
pub struct Moves {
    open: BTreeMap<TaskKey, Move>,
    parts: Vec<Part>,
}

impl Moves {
    /// The open moves.
    pub fn open(&self) -> impl Iterator<Item = &Move> {
        self.open.values()
    }

    /// How many are open.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// The move of a task, if it has one.
    pub fn get(&self, key: &TaskKey) -> Option<&Move> {
        self.open.get(key)
    }

    /// Values of the record that must be written.
    pub fn unwritten_parts(&self) -> Vec<usize> {
        let parts = self.parts.iter().enumerate();
        parts.filter(|(_, part)| part.unwritten).map(|(number, _)| number).collect()
    }

    /// Notes whether a value must be written.
    pub fn set_unwritten(&mut self, part: usize, unwritten: bool) {
        self.part_mut(part).unwritten = unwritten;
    }

    /// Moves that a value names.
    pub fn in_part(&self, part: usize) -> impl Iterator<Item = &Move> {
        self.open.values().filter(move |open| open.part == part)
    }

    /// The first value with room for so many bytes, each holding so many; none if all are full.
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

    /// Begins a move, or takes one over from an earlier leader.
    pub fn begin(&mut self, new: Move) {
        let bytes = new.record_bytes();
        let part = self.part_mut(new.part);
        part.bytes += bytes;
        part.unwritten = true;
        self.open.insert(new.key.clone(), new);
    }

    /// Brings a move from one of `states` to `next`; false if it is in none of them.
    pub fn advance(&mut self, now: Instant, key: &TaskKey, states: &[MoveState], next: MoveState) -> bool {
        let Some(open) = self.open.get_mut(key).filter(|open| states.contains(&open.state)) else { return false };
        open.state = next;
        open.since = now;
        true
    }

    /// Ends a move.
    pub fn end(&mut self, key: &TaskKey) -> Option<Move> {
        let ended = self.open.remove(key)?;
        let bytes = ended.record_bytes();
        let part = self.part_mut(ended.part);
        part.bytes -= bytes;
        part.unwritten = true;
        Some(ended)
    }

    /// Moves that have been in one state for too long.
    pub fn timed_out(&self, now: Instant, longest: Duration) -> Vec<TaskKey> {
        let late = |open: &&Move| now.saturating_duration_since(open.since) >= longest;
        self.open.values().filter(late).map(|open| open.key.clone()).collect()
    }

    /// Whether a move has been in this state for longer.
    pub fn any_in_state_longer(&self, now: Instant, state: MoveState, than: Duration) -> bool {
        let late = |open: &Move| open.state == state && now.saturating_duration_since(open.since) > than;
        self.open.values().any(late)
    }

    /// Moves to a machine that have not placed their task yet.
    pub fn unplaced_moves_to(&self, machine: &Name) -> Vec<TaskKey> {
        let bound = |open: &&Move| open.to == *machine && open.holds_booking();
        self.open.values().filter(bound).map(|open| open.key.clone()).collect()
    }

    /// Moves of one job.
    pub fn of_job(&self, job: &Name) -> Vec<TaskKey> {
        let tasks = (job.clone(), 0)..=(job.clone(), u32::MAX);
        self.open.range(tasks).map(|(key, _)| key.clone()).collect()
    }
}
