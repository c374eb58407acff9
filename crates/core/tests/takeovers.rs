//! Leaders that end, are cut off or come back, and what a new one takes over.

use std::time::Duration;

use rushyoke_core::Policy;
use rushyoke_testkit::{World, job, secs, service};
use rushyoke_wire::job::JobStatus;

fn other_than(node: usize) -> usize {
    (node + 1) % 3
}

#[test]
fn a_cancellation_is_carried_out_by_a_new_leader() {
    // Found on a day with crashes: the leader fell between a cancellation and its stops,
    // and the next one read the job as cancelled but left its tasks running.
    let mut world = World::settled(2);
    world.submit(0, service(1, 3));
    world.run(secs(4));
    assert_eq!(world.where_runs("wk-000001").len(), 3);
    let leader = world.leader().expect("a lead");
    world.crash(leader);
    let cancelled = world.cancel(other_than(leader), "wk-000001").expect("an answer");
    assert_eq!(cancelled.1.map(|v| v.state), Some(JobStatus::Cancelled));
    world.run(secs(12));
    assert!(world.where_runs("wk-000001").is_empty());
    assert!(!world.store.rows.keys().any(|key| key.starts_with("live/") || key.starts_with("task/")));
}

#[test]
fn a_new_leader_takes_over_and_starts_nothing_twice() {
    let mut world = World::settled(2);
    world.submit(0, service(1, 4));
    world.submit(0, job(2, 10));
    world.run(secs(4));
    let before = world.where_runs("wk-000001");
    let leader = world.leader().expect("a lead");
    world.crash(leader);
    world.run(secs(6));
    assert!(world.leader().is_some_and(|new| new != leader));
    assert_eq!(world.where_runs("wk-000001"), before);
    world.run(secs(10));
    assert_eq!(world.state(other_than(leader), "wk-000002"), Some(JobStatus::Done));
    assert_eq!(world.started, 14);
}

#[test]
fn takeover_with_an_unreachable_machine_waits_for_its_lease() {
    let mut world = World::settled(2);
    world.submit(0, service(1, 4));
    world.run(secs(4));
    let (_, machine) = world.where_runs("wk-000001")[0].clone();
    let leader = world.leader().expect("a lead");
    // Cut off, its worker goes on until its lease ends; the cloud does not help.
    world.cloud.outage = true;
    world.cut.insert(machine.clone());
    world.crash(leader);
    world.run(secs(9));
    assert!(world.where_runs("wk-000001").iter().any(|(_, m)| *m == machine), "its lease still runs");
    world.run(secs(40));
    let places = world.where_runs("wk-000001");
    assert!(places.len() == 4 && places.iter().all(|(_, m)| *m != machine), "{places:?}");
}

#[test]
fn an_old_leader_without_the_store_is_fenced() {
    let mut world = World::settled(2);
    world.submit(0, service(1, 4));
    world.run(secs(4));
    let old = world.leader().expect("a lead");
    world.no_store.insert(old);
    world.run(secs(6));
    let new = world.leader().expect("a lead");
    assert_ne!(new, old);
    assert_eq!(world.token_of(old), None, "it saw the higher token and stepped down");
    assert_eq!(world.submit(new, service(2, 2)), Some(201));
    world.run(secs(4));
    assert_eq!(world.where_runs("wk-000001").len(), 4);
    assert_eq!(world.where_runs("wk-000002").len(), 2);
    // Users of the cut-off node are sent away at once, and the others serve.
    assert_eq!(world.status(old, "wk-000001").map(|s| s.0), Some(503));
    assert_eq!(world.ready(old), Some(503));
    assert_eq!(world.ready(new), Some(200));
}

#[test]
fn a_leader_cut_off_from_the_workers_gives_way_before_their_leases_end() {
    let mut world = World::settled(4);
    world.submit(0, service(1, 8));
    world.run(secs(4));
    let old = world.leader().expect("a lead");
    world.no_workers.insert(old);
    // The others hand its workers' reports on, so that it learns of it when it calls them.
    world.run(secs(25));
    world.submit(old, service(2, 4));
    world.run(secs(14));
    assert!(world.leader().is_some_and(|new| new != old));
    assert_eq!(world.where_runs("wk-000001").len(), 8);
    assert_eq!(world.where_runs("wk-000002").len(), 4);
    assert_eq!(world.started, 12, "no lease ended, no machine was returned");
}

#[test]
fn of_two_nodes_the_one_that_workers_reach_takes_over() {
    // Found on an own day: two nodes lost the workers, and the second of them led next.
    for cut in 0..3 {
        let mut world = World::settled(4);
        world.submit(0, service(1, 8));
        world.run(secs(4));
        let old = world.leader().expect("a lead");
        world.no_workers.insert(old);
        world.no_workers.insert((old + 1 + cut % 2) % 3);
        world.run(secs(2));
        world.submit(old, service(2, 4));
        world.run(secs(14));
        assert!(world.leader().is_some_and(|new| !world.no_workers.contains(&new)));
        world.run(secs(20));
        assert_eq!(world.where_runs("wk-000001").len(), 8);
    }
}

#[test]
fn a_leader_back_within_a_moment_drops_its_own_key() {
    let mut world = World::settled(1);
    let leader = world.leader().expect("a lead");
    let token = world.token_of(leader).expect("it leads");
    world.crash(leader);
    world.start_node(leader);
    world.run(secs(1));
    let new = world.leader().expect("a leader again at once");
    assert!(world.token_of(new).expect("it leads") > token);
}

#[test]
fn reports_answered_while_jobs_are_read_again_keep_a_lease_alive() {
    // Read from the code, with a large fleet in mind: such answers were not noted, and the
    // lease of a machine that was cut off afterwards seemed to have ended long ago.
    let mut world = World::settled(3);
    world.submit(0, service(1, 3));
    world.run(secs(4));
    let (_, machine) = world.where_runs("wk-000001")[0].clone();
    world.cloud.outage = true;
    // A watch comes too late, and the jobs, which are read instead, take 15 s to come.
    world.store.kept = 1;
    world.hold_lists = Some(("live/", world.now + secs(15)));
    (2..6).for_each(|id| assert_eq!(world.submit(1, job(id, 1)), Some(201)));
    world.run(secs(13));
    assert!(world.where_runs("wk-000005").is_empty(), "the jobs were not read again");
    world.cut.insert(machine);
    world.hold_lists = None;
    // The world sees to it that no task runs twice.
    world.run(secs(40));
    assert_eq!(world.where_runs("wk-000001").len(), 3);
}

#[test]
fn a_renewal_that_hangs_does_not_end_the_reign() {
    // Found on a day with much to do: one call to the state service hung for most of the lease.
    let mut world = World::settled(1);
    let leader = world.leader().expect("a lead");
    let token = world.token_of(leader);
    for _ in 0..3 {
        world.lose_touches = 1;
        world.run(secs(4));
        assert_eq!(world.lose_touches, 0);
        assert_eq!(world.token_of(leader), token);
    }
}

#[test]
fn of_two_leaders_at_once_only_one_starts_tasks() {
    let mut world = World::settled(2);
    let old = world.leader().expect("a lead");
    let others = [(old + 1) % 3, (old + 2) % 3];
    // The old leader hears nothing of its end, and what it writes takes five seconds; the
    // new one cannot reach the machines yet, while the old one can.
    world.slow_txns.insert(old, world.now + secs(5));
    for machine in ["n-000000", "n-000001"] {
        world.cut_links.extend(others.map(|node| (node, machine.to_owned())));
    }
    world.submit(others[0], service(1, 1));
    world.run(Duration::from_millis(100));
    world.adrift.insert(old);
    world.run(secs(8));
    world.slow_txns.clear();
    assert!(world.leader().is_some_and(|new| new != old));
    assert!(world.where_runs("wk-000001").is_empty(), "the old leader's placement was refused");
    world.cut_links.retain(|(_, machine)| machine != "n-000001");
    world.run(secs(12));
    assert_eq!(world.where_runs("wk-000001").len(), 1);
    assert_eq!(world.started, 1);
}

#[test]
fn the_limit_holds_across_a_takeover_with_a_silent_machine() {
    let mut world = World::settled(6);
    // Red may use 64 CPUs; the tasks of a machine that cannot be asked still count.
    world.submit(0, service(1, 60));
    world.run(secs(5));
    assert_eq!(world.where_runs("wk-000001").len(), 60);
    let leader = world.leader().expect("a lead");
    world.cloud.outage = true;
    world.cut.insert("n-000000".into());
    world.crash(leader);
    world.submit(other_than(leader), job(2, 40));
    world.run(secs(60));
    assert_eq!(world.where_runs("wk-000001").len(), 60);
}

#[test]
fn scatter_counts_a_task_whose_place_is_uncertain() {
    let mut world = World::with(4, Policy::default(), &["a", "b"]);
    world.run(secs(6));
    let mut spec = service(1, 4);
    spec.spread = true;
    world.submit(0, spec);
    world.run(secs(4));
    assert_eq!(world.where_runs("wk-000001").len(), 4);
    // One zone is cut off; its two replicas may still run, so no third starts elsewhere.
    world.cloud.outage = true;
    world.cut.extend(["n-000000".to_owned(), "n-000002".to_owned()]);
    world.run(secs(60));
    assert_eq!(world.where_runs("wk-000001").len(), 2);
    world.cut.clear();
    world.run(secs(15));
    assert_eq!(world.where_runs("wk-000001").len(), 4);
}

#[test]
fn a_leader_without_store_and_peers_but_with_its_workers_leaves_them_in_time() {
    let mut world = World::settled(4);
    world.cloud.capacity = 4;
    world.submit(0, service(1, 6));
    world.run(secs(4));
    let old = world.leader().expect("a lead");
    world.no_store.insert(old);
    world.no_peers.insert(old);
    // The new leader does not reach the machines at work, nor does the cloud help it. It has
    // others with room, once the old leader has surely fallen silent and leases have ended.
    world.cloud.outage = true;
    for (_, machine) in world.where_runs("wk-000001") {
        world.cut_links.extend([(other_than(old), machine.clone()), ((old + 2) % 3, machine)]);
    }
    world.run(secs(5));
    let new = world.leader().expect("a new lead");
    assert_ne!(new, old);
    assert_eq!(world.where_runs("wk-000001").len(), 6, "the old leader answers within its allowance");
    world.run(secs(45));
    assert_eq!(world.where_runs("wk-000001").len(), 6);
    assert_eq!(world.started, 12, "they moved once the old ones had ended");
    world.cut_links.clear();
    world.no_store.clear();
    world.no_peers.clear();
    world.cloud.outage = false;
    assert_eq!(world.submit(new, job(2, 30)), Some(201));
    world.run(secs(35));
    assert_eq!(world.token_of(old), None);
    assert_eq!(world.state(new, "wk-000002"), Some(JobStatus::Done));
}

#[test]
fn processes_back_in_a_moment_amid_an_election_do_no_harm() {
    for delay in [50, 700, 1900] {
        let mut world = World::settled(2);
        world.submit(0, service(1, 4));
        world.submit(1, job(2, 12));
        world.run(secs(2));
        let leader = world.leader().expect("a lead");
        // What the leader had sent is applied late; all machines' reports come again.
        world.hold_txns.insert(leader, world.now + secs(6));
        world.copy_reports.extend(["n-000000", "n-000001"].map(|m| (m.to_owned(), secs(5))));
        world.run(Duration::from_millis(300));
        world.crash(leader);
        world.run(Duration::from_millis(delay));
        let next = other_than(leader);
        world.crash(next);
        world.start_node(leader);
        world.run(Duration::from_millis(200));
        world.start_node(next);
        world.hold_txns.clear();
        world.run(secs(30));
        assert_eq!(world.where_runs("wk-000001").len(), 4);
        assert_eq!(world.started, 16, "{delay} ms");
        for node in 0..3 {
            assert_eq!(world.state(node, "wk-000002"), Some(JobStatus::Done));
        }
    }
}
