//! Tests of the planner and the life cycle of moves, without a core.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rushyoke_balance::{
    Balancer, Candidate, FleetView, GiveUpReason, MachineInfo, MoveEnd, MoveState, Name, OpenMove, OpenMoves, Proposal,
    Resources, Settings, TaskKey,
};

const TASK: Resources = Resources { cpus: 1.0, gpus: 0.0, memory_gb: 2.0 };
const MACHINE: Resources = Resources { cpus: 16.0, gpus: 0.0, memory_gb: 64.0 };
const RECORD_BYTES: usize = 8000;

fn name(text: &str) -> Name {
    Name::from(text)
}

/// A fleet in which all tasks have the same remaining run time.
struct Fleet {
    placements: BTreeMap<TaskKey, Name>,
    remaining_s: f64,
    fetch_s: f64,
}

impl FleetView for Fleet {
    fn candidates(&self, machine: &Name) -> Vec<Candidate> {
        let on_machine = self.placements.iter().filter(|(_, placed_on)| *placed_on == machine);
        on_machine
            .map(|(key, _)| Candidate {
                key: key.clone(),
                attempt: u64::from(key.1) + 1,
                need: TASK,
                remaining_s: self.remaining_s,
                lost_work_s: 0.0,
                stop_s: 1.0,
            })
            .collect()
    }

    fn remaining_s(&self, machine: &Name) -> f64 {
        self.placements.values().filter(|placed_on| *placed_on == machine).count() as f64 * self.remaining_s
    }

    fn fits(&self, _: &Candidate, machine: &Name) -> bool {
        self.placements.values().filter(|placed_on| *placed_on == machine).count() < 16
    }

    fn fetch_s(&self, _: &Candidate, _: &Name) -> f64 {
        self.fetch_s
    }
}

/// Returns four machines, the first of which is full of tasks with the given remaining run time.
fn unbalanced(remaining_s: f64, settings: Settings, now: Instant) -> (Balancer, Fleet) {
    let mut balancer = Balancer::new(settings, [(name("red"), MACHINE)]);
    let mut fleet = Fleet { placements: BTreeMap::new(), remaining_s, fetch_s: 1.0 };
    for machine in ["m0", "m1", "m2", "m3"] {
        let info = MachineInfo { zone: name("a"), total: MACHINE, accepts_moves: true, reserved: Resources::default() };
        balancer.update_machine(&name(machine), info);
    }
    for task in 0..16 {
        let key = (name("wk-000001"), task);
        balancer.task_placed(now, &key, &name("m0"), &name("red"), TASK);
        balancer.task_running(&key);
        fleet.placements.insert(key, name("m0"));
    }
    balancer.tick(now);
    (balancer, fleet)
}

/// Begins the first move that the balancer proposes.
fn first_move(balancer: &mut Balancer, fleet: &Fleet, now: Instant) -> Proposal {
    let later = now + Duration::from_secs(3);
    balancer.tick(later);
    let (proposal, part) = balancer.propose(fleet, RECORD_BYTES).expect("a move is worth its cost");
    balancer.begin(later, &proposal, part);
    proposal
}

/// Executes all moves that the balancer proposes, second by second. Returns the moved tasks.
fn run_moves(balancer: &mut Balancer, fleet: &mut Fleet, now: Instant, seconds: u64) -> Vec<TaskKey> {
    let mut moved = Vec::new();
    for second in 1..=seconds {
        let now = now + Duration::from_secs(second);
        balancer.tick(now);
        while let Some((proposal, part)) = balancer.propose(fleet, RECORD_BYTES) {
            balancer.begin(now, &proposal, part);
            let key = proposal.task.key;
            assert!(balancer.booking_durable(now, &key, proposal.task.attempt));
            assert_eq!(balancer.task_left(now, &key, false), None);
            balancer.task_placed(now, &key, &proposal.to, &name("red"), TASK);
            let (_, end) = balancer.task_running(&key).expect("the move has ended");
            assert_eq!(end, MoveEnd::Confirmed);
            fleet.placements.insert(key.clone(), proposal.to);
            moved.push(key);
        }
    }
    moved
}

#[test]
fn moves_even_out_a_full_machine_and_then_stop() {
    let now = Instant::now();
    let (mut balancer, mut fleet) = unbalanced(100.0, Settings::default(), now);
    let moved = run_moves(&mut balancer, &mut fleet, now, 60);
    assert!(balancer.load().evenness().jain() > 0.9, "{}", balancer.load().evenness().jain());
    let then = now + Duration::from_secs(60);
    assert!(run_moves(&mut balancer, &mut fleet, then, 300).is_empty(), "moves never stop");
    assert!(moved.len() <= 12, "{} moves where 12 suffice", moved.len());
}

#[test]
fn concurrent_moves_do_not_empty_their_source() {
    // Seen on loopback with 300 machines: a source counted as full until its tasks had stopped, so all of them were
    // moved away, and it then stayed idle for its cooldown.
    let now = Instant::now();
    let settings = Settings { moves_per_machine: 60.0, ..Settings::default() };
    let (mut balancer, fleet) = unbalanced(100.0, settings, now);
    balancer.tick(now + Duration::from_secs(5));
    while let Some((proposal, part)) = balancer.propose(&fleet, RECORD_BYTES) {
        balancer.begin(now, &proposal, part);
    }
    let moves = balancer.moves().len();
    assert!((6..=12).contains(&moves), "{moves} of 16 tasks are moved");
    // Utilization is what it will be after the moves, and is restored when they are given up.
    let expected = 1.0 - moves as f64 / 16.0;
    assert!((balancer.load().utilization("m0").expect("a machine") - expected).abs() < 1e-9);
    for key in fleet.placements.keys() {
        balancer.give_up(key, GiveUpReason::TimedOut);
    }
    assert_eq!(balancer.load().utilization("m0"), Some(1.0));
}

#[test]
fn no_task_moves_for_an_insufficient_gain_or_against_the_settings() {
    let now = Instant::now();
    let no_moves = |settings: Settings, remaining_s: f64, fetch_s: f64| {
        let (mut balancer, mut fleet) = unbalanced(remaining_s, settings, now);
        fleet.fetch_s = fetch_s;
        run_moves(&mut balancer, &mut fleet, now, 30).is_empty()
    };
    assert!(no_moves(Settings::default(), 2.0, 1.0), "tasks that end soon");
    assert!(no_moves(Settings::default(), 100.0, 1000.0), "a fetch that takes longer than the gain");
    assert!(
        no_moves(Settings { contention_slowdown: 0.0, ..Settings::default() }, 100.0, 1.0),
        "contention costs nothing"
    );
    assert!(no_moves(Settings { moves_per_machine: 0.0, ..Settings::default() }, 100.0, 1.0), "no budget");
    assert!(no_moves(Settings { min_gain: Duration::from_secs(3000), ..Settings::default() }, 100.0, 1.0));
    assert!(!no_moves(Settings::default(), 100.0, 1.0));
}

#[test]
fn the_budget_limits_the_moves_per_minute() {
    let now = Instant::now();
    let settings = Settings { moves_per_machine: 0.5, ..Settings::default() };
    let (mut balancer, mut fleet) = unbalanced(1000.0, settings, now);
    // Four machines allow two moves a minute, and the accumulated budget one more.
    assert!(run_moves(&mut balancer, &mut fleet, now, 60).len() <= 3);
}

#[test]
fn a_source_is_no_destination_during_its_cooldown() {
    let now = Instant::now();
    let (mut balancer, mut fleet) = unbalanced(100.0, Settings::default(), now);
    let proposal = first_move(&mut balancer, &fleet, now);
    assert_eq!(&*proposal.from, "m0");
    // All tasks on the source end, and the other machines fill up at once.
    for key in fleet.placements.keys().cloned().collect::<Vec<_>>() {
        balancer.task_left(now, &key, true);
        fleet.placements.remove(&key);
    }
    for task in 100..148 {
        let key = (name("wk-000002"), task);
        let machine = name(["m1", "m2", "m3"][task as usize % 3]);
        balancer.task_placed(now, &key, &machine, &name("red"), TASK);
        balancer.task_running(&key);
        fleet.placements.insert(key, machine);
    }
    let soon = now + Duration::from_secs(10);
    balancer.tick(soon);
    assert!(
        balancer.propose(&fleet, RECORD_BYTES).is_none_or(|(next, _)| &*next.to != "m0"),
        "tasks move back and forth"
    );
    balancer.tick(soon + Settings::default().cooldown);
    assert_eq!(balancer.propose(&fleet, RECORD_BYTES).map(|(next, _)| next.to), Some(name("m0")));
}

#[test]
fn resources_stay_booked_until_the_task_is_placed() {
    let now = Instant::now();
    let (mut balancer, fleet) = unbalanced(100.0, Settings::default(), now);
    let proposal = first_move(&mut balancer, &fleet, now);
    let (key, to) = (proposal.task.key.clone(), proposal.to.clone());
    assert_eq!(balancer.load().booked(&to), TASK);
    assert!(!balancer.booking_durable(now, &key, proposal.task.attempt + 1), "another attempt");
    assert!(balancer.booking_durable(now, &key, proposal.task.attempt));
    assert!(!balancer.booking_durable(now, &key, proposal.task.attempt), "the stop is ordered once");
    balancer.task_saving(now, &key);
    assert_eq!(balancer.moves().get(&key).map(|open| open.state), Some(MoveState::Saving));
    assert_eq!(balancer.task_left(now, &key, false), None);
    assert_eq!(balancer.load().booked(&to), TASK, "the booking is released before the task is placed");
    balancer.task_placed(now, &key, &to, &name("red"), TASK);
    assert!(balancer.load().booked(&to).is_zero());
    let (_, end) = balancer.task_running(&key).expect("the move has ended");
    assert_eq!((end, balancer.moves().is_empty()), (MoveEnd::Confirmed, true));
}

/// Causes the end of a move that has begun.
type EndMove = fn(&mut Balancer, &Proposal, Instant);

#[test]
fn every_failure_of_a_move_releases_its_booking_and_counts_its_reason() {
    let now = Instant::now();
    let ends: [(GiveUpReason, EndMove); 5] = [
        (GiveUpReason::LeftEarly, |balancer, proposal, now| drop(balancer.task_left(now, &proposal.task.key, false))),
        (GiveUpReason::TaskEnded, |balancer, proposal, now| {
            balancer.booking_durable(now, &proposal.task.key, proposal.task.attempt);
            balancer.task_left(now, &proposal.task.key, true);
        }),
        (GiveUpReason::JobCancelled, |balancer, proposal, _| {
            drop(balancer.give_up(&proposal.task.key, GiveUpReason::JobCancelled))
        }),
        (GiveUpReason::DestinationGone, |balancer, proposal, _| {
            for key in balancer.remove_machine(&proposal.to) {
                balancer.give_up(&key, GiveUpReason::DestinationGone);
            }
        }),
        (GiveUpReason::TimedOut, |balancer, proposal, now| {
            balancer.booking_durable(now, &proposal.task.key, proposal.task.attempt);
            for key in balancer.tick(now + Duration::from_secs(120)) {
                balancer.give_up(&key, GiveUpReason::TimedOut);
            }
        }),
    ];
    for (reason, end) in ends {
        let (mut balancer, fleet) = unbalanced(100.0, Settings::default(), now);
        let proposal = first_move(&mut balancer, &fleet, now);
        end(&mut balancer, &proposal, now);
        assert!(balancer.moves().is_empty(), "{reason:?}");
        assert!(balancer.load().booked(&proposal.to).is_zero(), "{reason:?}");
        assert_eq!(balancer.summary().given_up, [(reason, 1)]);
    }
}

#[test]
fn the_record_holds_all_open_moves_in_values_of_limited_size() {
    let now = Instant::now();
    let settings = Settings { moves_per_machine: 60.0, ..Settings::default() };
    let (mut balancer, fleet) = unbalanced(100.0, settings, now);
    assert!(balancer.moves().unwritten_parts().is_empty(), "nothing has changed");
    balancer.tick(now + Duration::from_secs(3));
    let value_bytes = 200;
    while let Some((proposal, part)) = balancer.propose(&fleet, value_bytes) {
        balancer.begin(now, &proposal, part);
    }
    let parts = balancer.moves().unwritten_parts();
    assert!(parts.len() > 1, "all moves are in one value");
    let mut recorded = Vec::new();
    for part in &parts {
        let record = balancer.record(*part);
        let text = serde_json::to_string(&record).expect("records encode");
        assert!(text.len() <= value_bytes + 20, "{text}");
        assert_eq!(serde_json::from_str::<OpenMoves>(&text).expect("records decode"), record);
        recorded.extend(record.moves);
    }
    assert_eq!(recorded.len(), balancer.moves().len());
    assert!(balancer.moves().unwritten_parts().is_empty());
    balancer.mark_unwritten(parts[1]);
    assert_eq!(balancer.moves().unwritten_parts(), [parts[1]], "a part whose write failed must be written again");
    let mut next_leader = Balancer::new(Settings::default(), [(name("red"), MACHINE)]);
    next_leader.adopt(now, &recorded[0], 0, TASK, true);
    let key = (name(&recorded[0].job), recorded[0].task);
    let open = next_leader.moves().get(&key).expect("taken over");
    assert_eq!((open.state, &*open.to, open.need), (MoveState::Vacated, recorded[0].to.as_str(), TASK));
}

#[test]
fn a_new_leader_completes_moves_of_stopped_tasks_and_gives_up_those_of_running_ones() {
    let now = Instant::now();
    let key = (name("wk-000001"), 3);
    let open = OpenMove { job: "wk-000001".into(), task: 3, attempt: 7, from: "m0".into(), to: "m1".into() };
    let inherited = || {
        let (mut balancer, _) = unbalanced(100.0, Settings::default(), now);
        balancer.adopt(now, &open, 0, TASK, false);
        assert_eq!(balancer.load().booked("m1"), TASK, "its resources are not booked");
        balancer
    };
    // The worker reports the task running: the stop was never sent or is delayed, and is not sent again.
    let mut balancer = inherited();
    let end = balancer.task_running(&key).map(|(_, end)| end);
    assert_eq!(end, Some(MoveEnd::GivenUp(GiveUpReason::LeaderChanged)));
    assert!(balancer.load().booked("m1").is_zero());
    // The task saves its progress or is gone: the move continues.
    for saves in [false, true] {
        let mut balancer = inherited();
        if saves {
            balancer.task_saving(now, &key);
        }
        assert_eq!(balancer.task_left(now, &key, false), None);
        balancer.task_placed(now, &key, &name("m1"), &name("red"), TASK);
        assert_eq!(balancer.task_running(&key).map(|(_, end)| end), Some(MoveEnd::Confirmed));
    }
}
