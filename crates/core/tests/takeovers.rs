//! Scenario tests of leaders that crash, are partitioned or restart, and of what a new leader takes over.

use std::time::Duration;

use rushyoke_core::Policy;
use rushyoke_testkit::{World, job, secs, service};
use rushyoke_wire::job::JobStatus;

/// Returns a node other than the given one.
fn another_node(node: usize) -> usize {
    (node + 1) % 3
}

#[test]
fn a_new_leader_stops_the_tasks_of_a_job_cancelled_before_its_term() {
    // Guards against a leader crash between a cancellation and its stops: the next leader read the job
    // as cancelled but left its tasks running.
    let mut world = World::settled(2);
    world.submit(0, service(1, 3));
    world.run(secs(4));
    assert_eq!(world.where_runs("wk-000001").len(), 3);
    let leader = world.leader().expect("a leader");
    world.crash(leader);
    let cancelled = world.cancel(another_node(leader), "wk-000001").expect("a response");
    assert_eq!(cancelled.1.map(|v| v.state), Some(JobStatus::Cancelled));
    world.run(secs(12));
    assert!(world.where_runs("wk-000001").is_empty());
    assert!(!world.store.rows.keys().any(|key| key.starts_with("live/") || key.starts_with("task/")));
}

#[test]
fn a_new_leader_takes_over_and_starts_no_task_twice() {
    let mut world = World::settled(2);
    world.submit(0, service(1, 4));
    world.submit(0, job(2, 10));
    world.run(secs(4));
    let placements_before = world.where_runs("wk-000001");
    let leader = world.leader().expect("a leader");
    world.crash(leader);
    world.run(secs(6));
    assert!(world.leader().is_some_and(|new_leader| new_leader != leader));
    assert_eq!(world.where_runs("wk-000001"), placements_before);
    world.run(secs(10));
    assert_eq!(world.state(another_node(leader), "wk-000002"), Some(JobStatus::Done));
    assert_eq!(world.started, 14);
}

#[test]
fn a_new_leader_waits_for_the_lease_of_an_unreachable_machine() {
    let mut world = World::settled(2);
    world.submit(0, service(1, 4));
    world.run(secs(4));
    let (_, machine) = world.where_runs("wk-000001")[0].clone();
    let leader = world.leader().expect("a leader");
    // The worker of the partitioned machine continues until its lease expires; the cloud is down.
    world.cloud.outage = true;
    world.cut.insert(machine.clone());
    world.crash(leader);
    world.run(secs(9));
    assert!(
        world.where_runs("wk-000001").iter().any(|(_, m)| *m == machine),
        "a task stopped before its lease expired"
    );
    world.run(secs(40));
    let placements = world.where_runs("wk-000001");
    assert!(placements.len() == 4 && placements.iter().all(|(_, m)| *m != machine), "{placements:?}");
}

#[test]
fn an_old_leader_without_the_store_is_fenced() {
    let mut world = World::settled(2);
    world.submit(0, service(1, 4));
    world.run(secs(4));
    let old_leader = world.leader().expect("a leader");
    world.no_store.insert(old_leader);
    world.run(secs(6));
    let new_leader = world.leader().expect("a leader");
    assert_ne!(new_leader, old_leader);
    assert_eq!(world.token_of(old_leader), None, "the old leader did not step down on a higher token");
    assert_eq!(world.submit(new_leader, service(2, 2)), Some(201));
    world.run(secs(4));
    assert_eq!(world.where_runs("wk-000001").len(), 4);
    assert_eq!(world.where_runs("wk-000002").len(), 2);
    // The partitioned node rejects users at once, and the other nodes serve them.
    assert_eq!(world.status(old_leader, "wk-000001").map(|s| s.0), Some(503));
    assert_eq!(world.ready(old_leader), Some(503));
    assert_eq!(world.ready(new_leader), Some(200));
}

#[test]
fn a_leader_partitioned_from_workers_steps_down_before_their_leases_expire() {
    let mut world = World::settled(4);
    world.submit(0, service(1, 8));
    world.run(secs(4));
    let old_leader = world.leader().expect("a leader");
    world.no_workers.insert(old_leader);
    // The other nodes relay its workers' reports, so it notices the partition only through direct calls.
    world.run(secs(25));
    world.submit(old_leader, service(2, 4));
    world.run(secs(14));
    assert!(world.leader().is_some_and(|new_leader| new_leader != old_leader));
    assert_eq!(world.where_runs("wk-000001").len(), 8);
    assert_eq!(world.where_runs("wk-000002").len(), 4);
    assert_eq!(world.started, 12, "a lease expired or a machine was released");
}

#[test]
fn only_a_node_that_workers_reach_becomes_the_new_leader() {
    // Guards against a failover to the second of two nodes that are partitioned from the workers.
    for round in 0..3 {
        let mut world = World::settled(4);
        world.submit(0, service(1, 8));
        world.run(secs(4));
        let old_leader = world.leader().expect("a leader");
        world.no_workers.insert(old_leader);
        world.no_workers.insert((old_leader + 1 + round % 2) % 3);
        world.run(secs(2));
        world.submit(old_leader, service(2, 4));
        world.run(secs(14));
        assert!(world.leader().is_some_and(|new_leader| !world.no_workers.contains(&new_leader)));
        world.run(secs(20));
        assert_eq!(world.where_runs("wk-000001").len(), 8);
    }
}

#[test]
fn a_leader_restarted_at_once_replaces_its_own_lease() {
    let mut world = World::settled(1);
    let leader = world.leader().expect("a leader");
    let token = world.token_of(leader).expect("the node leads");
    world.crash(leader);
    world.start_node(leader);
    world.run(secs(1));
    let new_leader = world.leader().expect("a leader again at once");
    assert!(world.token_of(new_leader).expect("the node leads") > token);
}

#[test]
fn responses_while_jobs_are_read_again_renew_leases() {
    // Guards against responses that do not count as lease renewals while jobs are read again, as can last
    // long with a large fleet: the lease of a machine partitioned afterwards seemed to have expired long ago.
    let mut world = World::settled(3);
    world.submit(0, service(1, 3));
    world.run(secs(4));
    let (_, machine) = world.where_runs("wk-000001")[0].clone();
    world.cloud.outage = true;
    // A watch fails because it is too old, so the jobs are listed again, which takes 15 s.
    world.store.kept = 1;
    world.hold_lists = Some(("live/", world.now + secs(15)));
    (2..6).for_each(|id| assert_eq!(world.submit(1, job(id, 1)), Some(201)));
    world.run(secs(13));
    assert!(world.where_runs("wk-000005").is_empty(), "the list of jobs was not delayed");
    world.cut.insert(machine);
    world.hold_lists = None;
    // The simulated world checks that no task runs twice.
    world.run(secs(40));
    assert_eq!(world.where_runs("wk-000001").len(), 3);
}

#[test]
fn a_lost_lease_renewal_does_not_end_the_term() {
    // Guards against a lost term under high load, where one call to the state service hung for most of the
    // leader's lease.
    let mut world = World::settled(1);
    let leader = world.leader().expect("a leader");
    let token = world.token_of(leader);
    for _ in 0..3 {
        world.lose_touches = 1;
        world.run(secs(4));
        assert_eq!(world.lose_touches, 0);
        assert_eq!(world.token_of(leader), token);
    }
}

#[test]
fn only_one_of_two_simultaneous_leaders_starts_tasks() {
    let mut world = World::settled(2);
    let old_leader = world.leader().expect("a leader");
    let others = [(old_leader + 1) % 3, (old_leader + 2) % 3];
    // The old leader does not learn that its term has ended, and its transactions take five seconds. The new
    // leader cannot reach the machines yet, while the old one can.
    world.slow_txns.insert(old_leader, world.now + secs(5));
    for machine in ["n-000000", "n-000001"] {
        world.cut_links.extend(others.map(|node| (node, machine.to_owned())));
    }
    world.submit(others[0], service(1, 1));
    world.run(Duration::from_millis(100));
    world.adrift.insert(old_leader);
    world.run(secs(8));
    world.slow_txns.clear();
    assert!(world.leader().is_some_and(|new_leader| new_leader != old_leader));
    assert!(world.where_runs("wk-000001").is_empty(), "the old leader started a task");
    world.cut_links.retain(|(_, machine)| machine != "n-000001");
    world.run(secs(12));
    assert_eq!(world.where_runs("wk-000001").len(), 1);
    assert_eq!(world.started, 1);
}

#[test]
fn the_quota_limit_holds_across_a_takeover_with_an_unresponsive_machine() {
    let mut world = World::settled(6);
    // Team red may use 64 CPUs; tasks on an unresponsive machine still count.
    world.submit(0, service(1, 60));
    world.run(secs(5));
    assert_eq!(world.where_runs("wk-000001").len(), 60);
    let leader = world.leader().expect("a leader");
    world.cloud.outage = true;
    world.cut.insert("n-000000".into());
    world.crash(leader);
    world.submit(another_node(leader), job(2, 40));
    world.run(secs(60));
    assert_eq!(world.where_runs("wk-000001").len(), 60);
}

#[test]
fn spreading_over_zones_counts_tasks_on_unreachable_machines() {
    let mut world = World::with(4, Policy::default(), &["a", "b"]);
    world.run(secs(6));
    let mut spec = service(1, 4);
    spec.spread = true;
    world.submit(0, spec);
    world.run(secs(4));
    assert_eq!(world.where_runs("wk-000001").len(), 4);
    // One zone is partitioned; its two replicas may still run, so no third replica starts elsewhere.
    world.cloud.outage = true;
    world.cut.extend(["n-000000".to_owned(), "n-000002".to_owned()]);
    world.run(secs(60));
    assert_eq!(world.where_runs("wk-000001").len(), 2);
    world.cut.clear();
    world.run(secs(15));
    assert_eq!(world.where_runs("wk-000001").len(), 4);
}

#[test]
fn a_leader_with_workers_but_without_store_and_peers_stops_responding_in_time() {
    let mut world = World::settled(4);
    world.cloud.capacity = 4;
    world.submit(0, service(1, 6));
    world.run(secs(4));
    let old_leader = world.leader().expect("a leader");
    world.no_store.insert(old_leader);
    world.no_peers.insert(old_leader);
    // The new leader reaches neither the machines that run tasks nor the cloud. It may use other machines once
    // the old leader must have stopped responding and the leases have expired.
    world.cloud.outage = true;
    for (_, machine) in world.where_runs("wk-000001") {
        world.cut_links.extend([(another_node(old_leader), machine.clone()), ((old_leader + 2) % 3, machine)]);
    }
    world.run(secs(5));
    let new_leader = world.leader().expect("a new leader");
    assert_ne!(new_leader, old_leader);
    assert_eq!(world.where_runs("wk-000001").len(), 6, "the old leader stopped responding too early");
    world.run(secs(45));
    assert_eq!(world.where_runs("wk-000001").len(), 6);
    assert_eq!(world.started, 12, "replacements did not start exactly once");
    world.cut_links.clear();
    world.no_store.clear();
    world.no_peers.clear();
    world.cloud.outage = false;
    assert_eq!(world.submit(new_leader, job(2, 30)), Some(201));
    world.run(secs(35));
    assert_eq!(world.token_of(old_leader), None);
    assert_eq!(world.state(new_leader, "wk-000002"), Some(JobStatus::Done));
}

#[test]
fn quick_restarts_during_an_election_neither_lose_nor_repeat_tasks() {
    for delay in [50, 700, 1900] {
        let mut world = World::settled(2);
        world.submit(0, service(1, 4));
        world.submit(1, job(2, 12));
        world.run(secs(2));
        let leader = world.leader().expect("a leader");
        // The leader's transactions are applied late, and copies of all machines' reports arrive again.
        world.hold_txns.insert(leader, world.now + secs(6));
        world.copy_reports.extend(["n-000000", "n-000001"].map(|m| (m.to_owned(), secs(5))));
        world.run(Duration::from_millis(300));
        world.crash(leader);
        world.run(Duration::from_millis(delay));
        let next = another_node(leader);
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
