//! Scenario tests of leaders that crash, are partitioned or restart, and of what a new leader takes over.

use std::time::Duration;

use rushyoke_core::Policy;
use rushyoke_testkit::{Simulation, job, secs, service};
use rushyoke_wire::job::JobStatus;

/// Returns the node after the given one, in cyclic order.
fn next_node(node: usize) -> usize {
    (node + 1) % 3
}

#[test]
fn a_new_leader_stops_the_tasks_of_a_job_cancelled_before_its_term() {
    // Guards against a leader crash between a cancellation and its stops: the next leader read the job
    // as cancelled but left its tasks running.
    let mut simulation = Simulation::with_elected_leader(2);
    simulation.submit(0, service(1, 3));
    simulation.run(secs(4));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 3);
    let leader = simulation.leader().expect("a leader");
    simulation.crash_node(leader);
    let response = simulation.cancel(next_node(leader), "wk-000001").expect("a response");
    assert_eq!(response.1.map(|view| view.state), Some(JobStatus::Cancelled));
    simulation.run(secs(12));
    assert!(simulation.running_tasks("wk-000001").is_empty());
    assert!(!simulation.store.rows.keys().any(|key| key.starts_with("live/") || key.starts_with("task/")));
}

#[test]
fn a_new_leader_takes_over_and_starts_no_task_twice() {
    let mut simulation = Simulation::with_elected_leader(2);
    simulation.submit(0, service(1, 4));
    simulation.submit(0, job(2, 10));
    simulation.run(secs(4));
    let placements_before = simulation.running_tasks("wk-000001");
    let leader = simulation.leader().expect("a leader");
    simulation.crash_node(leader);
    simulation.run(secs(6));
    assert!(simulation.leader().is_some_and(|new_leader| new_leader != leader));
    assert_eq!(simulation.running_tasks("wk-000001"), placements_before);
    simulation.run(secs(10));
    assert_eq!(simulation.job_state(next_node(leader), "wk-000002"), Some(JobStatus::Done));
    assert_eq!(simulation.started_tasks, 14);
}

#[test]
fn a_new_leader_waits_for_the_lease_of_an_unreachable_machine() {
    let mut simulation = Simulation::with_elected_leader(2);
    simulation.submit(0, service(1, 4));
    simulation.run(secs(4));
    let (_, machine) = simulation.running_tasks("wk-000001")[0].clone();
    let leader = simulation.leader().expect("a leader");
    // The worker of the partitioned machine continues until its lease expires; the cloud is down.
    simulation.cloud.outage = true;
    simulation.partitioned_machines.insert(machine.clone());
    simulation.crash_node(leader);
    simulation.run(secs(9));
    assert!(
        simulation.running_tasks("wk-000001").iter().any(|(_, host)| *host == machine),
        "a task stopped before its lease expired"
    );
    simulation.run(secs(40));
    let placements = simulation.running_tasks("wk-000001");
    assert!(placements.len() == 4 && placements.iter().all(|(_, host)| *host != machine), "{placements:?}");
}

#[test]
fn an_old_leader_without_the_store_is_fenced() {
    let mut simulation = Simulation::with_elected_leader(2);
    simulation.submit(0, service(1, 4));
    simulation.run(secs(4));
    let old_leader = simulation.leader().expect("a leader");
    simulation.partitioned_from_store.insert(old_leader);
    simulation.run(secs(6));
    let new_leader = simulation.leader().expect("a leader");
    assert_ne!(new_leader, old_leader);
    assert_eq!(simulation.leader_token(old_leader), None, "the old leader did not step down on a higher token");
    assert_eq!(simulation.submit(new_leader, service(2, 2)), Some(201));
    simulation.run(secs(4));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 4);
    assert_eq!(simulation.running_tasks("wk-000002").len(), 2);
    // The partitioned node rejects users at once, and the other nodes serve them.
    assert_eq!(simulation.status(old_leader, "wk-000001").map(|response| response.0), Some(503));
    assert_eq!(simulation.ready(old_leader), Some(503));
    assert_eq!(simulation.ready(new_leader), Some(200));
}

#[test]
fn a_leader_partitioned_from_workers_steps_down_before_their_leases_expire() {
    let mut simulation = Simulation::with_elected_leader(4);
    simulation.submit(0, service(1, 8));
    simulation.run(secs(4));
    let old_leader = simulation.leader().expect("a leader");
    simulation.partitioned_from_workers.insert(old_leader);
    // The other nodes relay its workers' reports, so it notices the partition only through direct calls.
    simulation.run(secs(25));
    simulation.submit(old_leader, service(2, 4));
    simulation.run(secs(14));
    assert!(simulation.leader().is_some_and(|new_leader| new_leader != old_leader));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 8);
    assert_eq!(simulation.running_tasks("wk-000002").len(), 4);
    assert_eq!(simulation.started_tasks, 12, "a lease expired or a machine was released");
}

#[test]
fn only_a_node_that_workers_reach_becomes_the_new_leader() {
    // Guards against a failover to the second of two nodes that are partitioned from the workers.
    for round in 0..3 {
        let mut simulation = Simulation::with_elected_leader(4);
        simulation.submit(0, service(1, 8));
        simulation.run(secs(4));
        let old_leader = simulation.leader().expect("a leader");
        simulation.partitioned_from_workers.insert(old_leader);
        simulation.partitioned_from_workers.insert((old_leader + 1 + round % 2) % 3);
        simulation.run(secs(2));
        simulation.submit(old_leader, service(2, 4));
        simulation.run(secs(14));
        assert!(
            simulation.leader().is_some_and(|new_leader| !simulation.partitioned_from_workers.contains(&new_leader))
        );
        simulation.run(secs(20));
        assert_eq!(simulation.running_tasks("wk-000001").len(), 8);
    }
}

#[test]
fn a_leader_restarted_at_once_replaces_its_own_lease() {
    let mut simulation = Simulation::with_elected_leader(1);
    let leader = simulation.leader().expect("a leader");
    let token = simulation.leader_token(leader).expect("the node leads");
    simulation.crash_node(leader);
    simulation.start_node(leader);
    simulation.run(secs(1));
    let new_leader = simulation.leader().expect("a leader again at once");
    assert!(simulation.leader_token(new_leader).expect("the node leads") > token);
}

#[test]
fn responses_while_jobs_are_read_again_renew_leases() {
    // Guards against responses that do not count as lease renewals while jobs are read again, which can take
    // long with a large fleet: the lease of a machine partitioned afterwards seemed to have expired long ago.
    let mut simulation = Simulation::with_elected_leader(3);
    simulation.submit(0, service(1, 3));
    simulation.run(secs(4));
    let (_, machine) = simulation.running_tasks("wk-000001")[0].clone();
    simulation.cloud.outage = true;
    // A watch fails because it is too old, so the jobs are listed again, which takes 15 s.
    simulation.store.max_log_events = 1;
    simulation.delayed_lists_until = Some(("live/", simulation.now + secs(15)));
    (2..6).for_each(|id| assert_eq!(simulation.submit(1, job(id, 1)), Some(201)));
    simulation.run(secs(13));
    assert!(simulation.running_tasks("wk-000005").is_empty(), "the list of jobs was not delayed");
    simulation.partitioned_machines.insert(machine);
    simulation.delayed_lists_until = None;
    // The simulation checks that no task runs twice.
    simulation.run(secs(40));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 3);
}

#[test]
fn a_lost_lease_renewal_does_not_end_the_term() {
    // Guards against a lost term under high load, where one call to the state service hung for most of the
    // leader's lease.
    let mut simulation = Simulation::with_elected_leader(1);
    let leader = simulation.leader().expect("a leader");
    let token = simulation.leader_token(leader);
    for _ in 0..3 {
        simulation.renewals_to_lose = 1;
        simulation.run(secs(4));
        assert_eq!(simulation.renewals_to_lose, 0);
        assert_eq!(simulation.leader_token(leader), token);
    }
}

#[test]
fn only_one_of_two_simultaneous_leaders_starts_tasks() {
    let mut simulation = Simulation::with_elected_leader(2);
    let old_leader = simulation.leader().expect("a leader");
    let others = [(old_leader + 1) % 3, (old_leader + 2) % 3];
    // The old leader does not learn that its term has ended, and its transactions take five seconds. The new
    // leader cannot reach the machines yet, while the old one can.
    simulation.slow_txns_until.insert(old_leader, simulation.now + secs(5));
    for machine in ["n-000000", "n-000001"] {
        simulation.partitioned_links.extend(others.map(|node| (node, machine.to_owned())));
    }
    simulation.submit(others[0], service(1, 1));
    simulation.run(Duration::from_millis(100));
    simulation.nodes_without_updates.insert(old_leader);
    simulation.run(secs(8));
    simulation.slow_txns_until.clear();
    assert!(simulation.leader().is_some_and(|new_leader| new_leader != old_leader));
    assert!(simulation.running_tasks("wk-000001").is_empty(), "the old leader started a task");
    simulation.partitioned_links.retain(|(_, machine)| machine != "n-000001");
    simulation.run(secs(12));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 1);
    assert_eq!(simulation.started_tasks, 1);
}

#[test]
fn the_quota_limit_holds_across_a_takeover_with_an_unresponsive_machine() {
    let mut simulation = Simulation::with_elected_leader(6);
    // Team red may use 64 CPUs; tasks on an unresponsive machine still count.
    simulation.submit(0, service(1, 60));
    simulation.run(secs(5));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 60);
    let leader = simulation.leader().expect("a leader");
    simulation.cloud.outage = true;
    simulation.partitioned_machines.insert("n-000000".into());
    simulation.crash_node(leader);
    simulation.submit(next_node(leader), job(2, 40));
    simulation.run(secs(60));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 60);
}

#[test]
fn spreading_over_zones_counts_tasks_on_unreachable_machines() {
    let mut simulation = Simulation::with_policy(4, Policy::default(), &["a", "b"]);
    simulation.run(secs(6));
    let mut spec = service(1, 4);
    spec.spread = true;
    simulation.submit(0, spec);
    simulation.run(secs(4));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 4);
    // One zone is partitioned; its two replicas may still run, so no third replica starts elsewhere.
    simulation.cloud.outage = true;
    simulation.partitioned_machines.extend(["n-000000".to_owned(), "n-000002".to_owned()]);
    simulation.run(secs(60));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 2);
    simulation.partitioned_machines.clear();
    simulation.run(secs(15));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 4);
}

#[test]
fn a_leader_with_workers_but_without_store_and_peers_stops_responding_in_time() {
    let mut simulation = Simulation::with_elected_leader(4);
    simulation.cloud.capacity = 4;
    simulation.submit(0, service(1, 6));
    simulation.run(secs(4));
    let old_leader = simulation.leader().expect("a leader");
    simulation.partitioned_from_store.insert(old_leader);
    simulation.partitioned_from_peers.insert(old_leader);
    // The new leader reaches neither the machines that run tasks nor the cloud. It may use other machines once
    // the old leader must have stopped responding and the leases have expired.
    simulation.cloud.outage = true;
    for (_, machine) in simulation.running_tasks("wk-000001") {
        simulation
            .partitioned_links
            .extend([(next_node(old_leader), machine.clone()), ((old_leader + 2) % 3, machine)]);
    }
    simulation.run(secs(5));
    let new_leader = simulation.leader().expect("a new leader");
    assert_ne!(new_leader, old_leader);
    assert_eq!(simulation.running_tasks("wk-000001").len(), 6, "the old leader stopped responding too early");
    simulation.run(secs(45));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 6);
    assert_eq!(simulation.started_tasks, 12, "replacements did not start exactly once");
    simulation.partitioned_links.clear();
    simulation.partitioned_from_store.clear();
    simulation.partitioned_from_peers.clear();
    simulation.cloud.outage = false;
    assert_eq!(simulation.submit(new_leader, job(2, 30)), Some(201));
    simulation.run(secs(35));
    assert_eq!(simulation.leader_token(old_leader), None);
    assert_eq!(simulation.job_state(new_leader, "wk-000002"), Some(JobStatus::Done));
}

#[test]
fn a_claim_answered_after_its_lease_has_ended_begins_no_term() {
    // Guards against tasks that run twice: a candidate learned only after the end of its lease that it had become
    // leader, and acted on it. Another leader had asked it before, and counted it out since it did not lead yet.
    let mut simulation = Simulation::with_elected_leader(4);
    simulation.submit(0, service(1, 4));
    simulation.run(secs(4));
    let old_leader = simulation.leader().expect("a leader");
    let (late, other) = (next_node(old_leader), next_node(next_node(old_leader)));
    // A zone contains the late controller and the machine with the tasks.
    let (_, host) = simulation.running_tasks("wk-000001")[0].clone();
    let others: Vec<String> = simulation.workers.keys().filter(|machine| **machine != host).cloned().collect();
    simulation.cloud.outage = true;
    simulation.store_response_delay.insert(late, Duration::from_millis(1400));
    simulation.crash_node(old_leader);
    simulation.crash_node(other);
    assert!(simulation.run_until(secs(6), |simulation| simulation.leader_key_holder() == Some(late)));
    let outside = [old_leader, other];
    outside.iter().for_each(|node| simulation.start_node(*node));
    let leads = |node: usize| move |simulation: &Simulation| simulation.leader_token(node).is_some();
    assert!(simulation.run_until(secs(2), |simulation| outside.iter().any(|node| leads(*node)(simulation))));
    // Workers reach only the controllers on their side of the cut, and the zone is cut off from everything just
    // after the late response.
    simulation.partitioned_links.extend(outside.map(|node| (node, host.clone())));
    simulation.partitioned_links.extend(others.into_iter().map(|machine| (late, machine)));
    simulation.run_until(secs(2), leads(late));
    simulation.store_response_delay.clear();
    simulation.run(Duration::from_millis(300));
    simulation.partitioned_from_peers.insert(late);
    simulation.partitioned_from_store.insert(late);
    simulation.workers.get_mut(&host).expect("known").report_to(late, simulation.now);
    // The simulation checks that no task runs twice.
    simulation.run(secs(40));
    assert!(!simulation.had_two_leaders, "the late claim began a term");
    assert_eq!(simulation.running_tasks("wk-000001").len(), 4);
    assert_eq!(simulation.started_tasks, 8, "the tasks did not start again elsewhere");
}

#[test]
fn a_watch_that_fails_during_a_claim_does_not_undo_it() {
    // Guards against a candidate that read the leader key while its claim was in flight, took the key for one of an
    // earlier incarnation, deleted it and claimed it again: it then led with the first token, whose key was gone.
    let mut simulation = Simulation::with_elected_leader(2);
    let old_leader = simulation.leader().expect("a leader");
    let candidate = next_node(old_leader);
    simulation.crash_node(next_node(candidate));
    simulation.crash_node(old_leader);
    let terms_before = simulation.terms.len();
    simulation.store_response_delay.insert(candidate, Duration::from_millis(700));
    assert!(simulation.run_until(secs(6), |simulation| simulation.leader_key_holder() == Some(candidate)));
    // The response to the claim is on its way. The watch that showed the key cannot be opened again, and all other
    // calls are fast.
    simulation.store_response_delay.clear();
    simulation.partitioned_from_store.insert(candidate);
    simulation.run(Duration::from_millis(100));
    simulation.partitioned_from_store.clear();
    simulation.run(secs(3));
    assert_eq!(simulation.terms.len(), terms_before + 1, "the claim was repeated");
    let key_version = simulation.store.rows.get("lead").map(|(_, version, _)| *version);
    assert_eq!(simulation.leader_token(candidate), key_version);
}

#[test]
fn a_new_leader_does_not_rely_on_nodes_that_promise_nothing() {
    // Guards against a new leader that counts out a node because it does not lead at the moment. A node of an earlier
    // version may still begin a term on a late response to its claim, and answer workers as long as any leader may.
    let mut simulation = Simulation::with_elected_leader(4);
    simulation.submit(0, service(1, 4));
    simulation.run(secs(4));
    let leader = simulation.leader().expect("a leader");
    let (_, machine) = simulation.running_tasks("wk-000001")[0].clone();
    simulation.cloud.outage = true;
    simulation.partitioned_machines.insert(machine);
    simulation.peers_without_promise = (0..3).collect();
    simulation.restart_node(leader, secs(3));
    simulation.run(secs(20));
    assert_eq!(simulation.started_tasks, 4, "it did not wait until an earlier leader must have stopped");
    simulation.run(secs(15));
    assert_eq!(simulation.started_tasks, 8);
    assert_eq!(simulation.running_tasks("wk-000001").len(), 4);
}

#[test]
fn a_new_leader_spreads_a_service_over_a_zone_in_which_it_has_seen_no_machine() {
    // Guards against replicas that wait forever: the only zone that a new leader knows has its full share of them, and
    // machines are rented only in zones that it knows.
    let mut simulation = Simulation::with_policy(6, Policy::default(), &["a", "b"]);
    simulation.run(secs(6));
    let leader = simulation.leader().expect("a leader");
    let workers = simulation.workers.values();
    let in_zone_b: Vec<String> =
        workers.filter(|worker| worker.zone == "b").map(|worker| worker.name.clone()).collect();
    for machine in in_zone_b {
        simulation.cloud.machines.remove(&machine);
        simulation.workers.remove(&machine);
    }
    simulation.crash_node(leader);
    simulation.run(secs(4));
    let mut spec = service(1, 4);
    spec.spread = true;
    simulation.submit(next_node(leader), spec);
    simulation.run(secs(60));
    assert_eq!(simulation.running_tasks("wk-000001").len(), 4);
}

#[test]
fn quick_restarts_during_an_election_neither_lose_nor_repeat_tasks() {
    for delay in [50, 700, 1900] {
        let mut simulation = Simulation::with_elected_leader(2);
        simulation.submit(0, service(1, 4));
        simulation.submit(1, job(2, 12));
        simulation.run(secs(2));
        let leader = simulation.leader().expect("a leader");
        // The leader's transactions are applied late, and copies of all machines' reports arrive again.
        simulation.timed_out_txns_until.insert(leader, simulation.now + secs(6));
        simulation
            .duplicated_reports_after
            .extend(["n-000000", "n-000001"].map(|machine| (machine.to_owned(), secs(5))));
        simulation.run(Duration::from_millis(300));
        simulation.crash_node(leader);
        simulation.run(Duration::from_millis(delay));
        let next = next_node(leader);
        simulation.crash_node(next);
        simulation.start_node(leader);
        simulation.run(Duration::from_millis(200));
        simulation.start_node(next);
        simulation.timed_out_txns_until.clear();
        simulation.run(secs(30));
        assert_eq!(simulation.running_tasks("wk-000001").len(), 4);
        assert_eq!(simulation.started_tasks, 16, "{delay} ms");
        for node in 0..3 {
            assert_eq!(simulation.job_state(node, "wk-000002"), Some(JobStatus::Done));
        }
    }
}
