//! What earlier versions wrote, and what they must be able to read. Each fixture was made by a version
//! that was in production: its records in the midst of its work, just after its leader fell, and one of
//! each message between controllers. `before-awaits` is by 8c26a25, which knows no `awaits`;
//! `with-awaits` by 99b8f1d, the first that does.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rushyoke_testkit::{Simulation, Task, all_in_state, dependent_job, job, job_id, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus, Kind};
use rushyoke_wire::peer::{PeerRequest, PeerResponse, RelayRequest, RelayResponse, decode, encode};
use rushyoke_wire::worker::TaskState;
use serde_json::Value;

/// What a version left.
struct Fixture(Value);

impl Fixture {
    fn before_awaits() -> Fixture {
        Fixture::parse(include_str!("fixtures/before-awaits.json"))
    }

    fn with_awaits() -> Fixture {
        Fixture::parse(include_str!("fixtures/with-awaits.json"))
    }

    fn parse(text: &str) -> Fixture {
        Fixture(serde_json::from_str(text).expect("the fixture is JSON"))
    }

    /// Values and versions by key.
    fn rows(&self) -> BTreeMap<String, (Value, u64)> {
        serde_json::from_value(self.0["rows"].clone()).expect("rows are values with versions")
    }

    /// A message between controllers.
    fn message(&self, name: &str) -> Vec<u8> {
        let text = self.0[name].as_str().expect("hexadecimal digits");
        (0..text.len()).step_by(2).map(|i| u8::from_str_radix(&text[i..i + 2], 16).expect("a byte")).collect()
    }

    /// A world that holds these records, with the tasks that they place on its machines at work.
    fn taken_over(&self) -> Simulation {
        let mut simulation = Simulation::new(8);
        for (key, (value, version)) in self.rows().into_iter().filter(|(key, _)| key != "lead") {
            simulation.store.revision = simulation.store.revision.max(version);
            if let Some(id) = key.strip_prefix("job/") {
                let tasks = value["tasks"].as_u64().expect("a number") as u32;
                simulation.checker.add_earlier_job(id, tasks, value["state"] == "done");
                if value["state"] == "cancelled" {
                    simulation.checker.add_earlier_cancellation(id, simulation.now);
                    simulation.cancelled.insert(id.into(), simulation.now);
                }
            }
            if let Some(id) = key.strip_prefix("live/") {
                let spec: JobSpec = serde_json::from_value(value["spec"].clone()).expect("a description");
                simulation.checker.add_earlier_dependencies(id, &spec.dependencies);
                simulation.specs.insert(id.into(), spec);
            }
            if key.starts_with("log/") {
                place_tasks(&mut simulation, &value);
            }
            simulation.store.rows.insert(key, (value, version, None));
        }
        let specs = &simulation.specs;
        for worker in simulation.workers.values_mut() {
            // What ended since it was placed is not there any more.
            worker.tasks.retain(|task| specs.contains_key(job_of(task)));
            for task in worker.tasks.iter_mut().filter(|task| specs[job_of(task)].kind == Kind::Service) {
                task.state_ends_at = Duration::MAX;
            }
        }
        simulation
    }
}

fn job_of(task: &Task) -> &str {
    task.name.split('/').next().expect("a task's name starts with its job")
}

/// Puts the tasks to work that a segment of the log places.
fn place_tasks(simulation: &mut Simulation, segment: &Value) {
    for changed in segment["jobs"].as_array().expect("jobs") {
        for place in changed["places"].as_array().into_iter().flatten() {
            let machine = &segment["machines"][place[1].as_u64().expect("an index") as usize][0];
            let worker = simulation.workers.get_mut(machine.as_str().expect("a name")).expect("it is up");
            worker.tasks.push(Task {
                name: format!("{}/{}", changed["job"].as_str().expect("an id"), place[0]),
                attempt: place[2].as_u64().expect("an attempt"),
                state: TaskState::Running,
                cause: None,
                state_ends_at: simulation.now + secs(9),
            });
        }
    }
}

#[test]
fn records_of_a_version_before_awaits_are_taken_over() {
    let mut simulation = Fixture::before_awaits().taken_over();
    simulation.run(secs(8));
    let begun = simulation.started_tasks;
    assert!(begun >= 10, "its tasks are at work");
    assert!(simulation.running_tasks(&job_id(4)).is_empty(), "what it cancelled is stopped");
    assert_eq!((simulation.running_tasks(&job_id(1)).len(), simulation.running_tasks(&job_id(7)).len()), (3, 2));
    assert_eq!(simulation.submit(1, JobSpec { dependencies: vec![job_id(6), job_id(2)], ..job(40, 2) }), Some(201));
    assert_eq!(simulation.submit(2, service(1, 3)), Some(200));
    simulation.run(secs(25));
    for id in [2, 3, 5, 6, 29, 40] {
        assert_eq!(simulation.job_state(id as usize % 3, &job_id(id)), Some(JobStatus::Done), "job {id}");
    }
    assert_eq!(simulation.job_state(0, &job_id(4)), Some(JobStatus::Cancelled));
    assert_eq!(simulation.started_tasks, begun + 2, "nothing began twice");
}

#[test]
fn records_of_the_first_version_with_awaits_are_taken_over() {
    // Job 3, whose dependency is done, runs; 4 awaits it, and 9 awaits 4. Job 5 was cancelled when
    // nobody led, so 6 and 8 are still open in their records.
    let mut simulation = Fixture::with_awaits().taken_over();
    simulation.run(secs(7));
    assert_eq!(simulation.running_tasks(&job_id(3)).len(), 4, "it runs on");
    assert_eq!(simulation.running_tasks(&job_id(1)).len(), 3);
    assert_eq!(simulation.started_tasks, 3 + 4 + 4 + 2, "what ran is found, and nothing else begins");
    for node in 0..3 {
        assert_eq!(simulation.job_states(node, 5..=8), all_in_state(JobStatus::Cancelled, 4));
    }
    assert_eq!(simulation.submit(1, dependent_job(4, 3, &[3, 2])), Some(200));
    assert_eq!(simulation.submit(2, dependent_job(10, 2, &[9, 2])), Some(201));
    simulation.run(secs(60));
    for number in [2, 3, 4, 9, 10] {
        assert_eq!(simulation.job_state(number as usize % 3, &job_id(number)), Some(JobStatus::Done), "job {number}");
    }
    assert_eq!(simulation.checker.dependent_starts, 4 + 3 * 2 + 2 + 2 * 2, "the order was checked");
    let live = |id: u32| simulation.store.rows.contains_key(&format!("live/{}", job_id(id)));
    assert!((2..=10).all(|id| !live(id)), "all else is closed");
}

#[test]
fn messages_between_controllers_have_the_layout_of_earlier_versions() {
    for fixture in [Fixture::before_awaits(), Fixture::with_awaits()] {
        let ask: PeerRequest = decode(&fixture.message("peer_ask")).expect("a question");
        assert_eq!((ask.token, ask.job_limit_reached, ask.progress[0].running), (Some(41), true, 13));
        assert_eq!(encode(&ask), fixture.message("peer_ask"));
        let tell: PeerResponse = decode(&fixture.message("peer_tell")).expect("an answer");
        assert_eq!((tell.incarnation, tell.relays_to, tell.busy_percent), (99, Some(41), 35));
        assert_eq!(encode(&tell), fixture.message("peer_tell"));
        let relay: RelayRequest = decode(&fixture.message("relay")).expect("reports");
        assert_eq!(relay.reports[0].full.as_ref().map(|full| full.tasks.len()), Some(2));
        assert_eq!(encode(&relay), fixture.message("relay"));
        let told: RelayResponse = decode(&fixture.message("relay_told")).expect("answers");
        assert_eq!(told.responses.len(), 3);
        assert_eq!(encode(&told), fixture.message("relay_told"));
    }
}

/// The names of a record's fields, and of those within.
fn fields(value: &Value, at: &str, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(map) => {
            for (key, value) in map {
                found.insert(format!("{at}.{key}"));
                fields(value, &format!("{at}.{key}"), found);
            }
        }
        Value::Array(list) => list.iter().for_each(|value| fields(value, at, found)),
        _ => {}
    }
}

#[test]
fn records_have_the_fields_that_earlier_versions_read() {
    let mut simulation = Simulation::new(3);
    simulation.run(secs(6));
    simulation.submit(0, service(1, 3));
    simulation.submit(1, job(2, 100));
    simulation.submit(2, JobSpec { dependencies: vec![job_id(2)], ..job(3, 2) });
    simulation.run(secs(14));
    simulation.submit(0, service(4, 2));
    simulation.run(secs(3));
    simulation.cancel(1, &job_id(4));
    let kind = |key: &str| key.split('/').next().unwrap_or_default().to_owned();
    let mut ours = BTreeSet::new();
    for (key, (value, ..)) in &simulation.store.rows {
        fields(value, &kind(key), &mut ours);
    }
    // What is new is what a version ignores, or what no task happened to be in; all that it needs is there.
    let awaits: &[&str] = &["job.awaits", "live.spec.awaits", "log.jobs.open"];
    for (fixture, new_fields) in
        [(Fixture::before_awaits(), awaits), (Fixture::with_awaits(), &["log.jobs.done", "log.jobs.open"])]
    {
        let mut theirs = BTreeSet::new();
        for (key, (value, _)) in fixture.rows() {
            fields(&value, &kind(&key), &mut theirs);
        }
        let new: Vec<&String> = ours.difference(&theirs).collect();
        assert!(new.iter().all(|field| new_fields.contains(&field.as_str())), "{new:?}");
        let needed = theirs.iter().filter(|field| !field.ends_with(".done") && !field.ends_with(".open"));
        let missing: Vec<&String> = needed.filter(|field| !ours.contains(*field)).collect();
        assert!(missing.is_empty(), "{missing:?}");
    }
}

#[test]
fn what_an_earlier_version_drops_from_a_record_is_not_missed() {
    // It confirms a cancellation and writes both records anew, without the field that it does not
    // know; the job's dependents end with it, and itself needs nothing any more.
    let mut simulation = Simulation::new(2);
    simulation.run(secs(6));
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 30.0);
    simulation.submit(0, job(1, 2));
    simulation.submit(1, JobSpec { dependencies: vec![job_id(1)], ..job(2, 2) });
    simulation.submit(2, JobSpec { dependencies: vec![job_id(2)], ..job(3, 2) });
    simulation.run(secs(2));
    let leader = simulation.leader().expect("a leader");
    simulation.crash_node(leader);
    let (mut live, version, _) = simulation.store.rows["live/wk-000002"].clone();
    live["cancelled"] = true.into();
    live["spec"].as_object_mut().expect("a description").remove("awaits");
    let record = serde_json::json!({ "state": "cancelled", "tasks": 2 });
    let txn = rushyoke_wire::store::Txn::default()
        .when("job/wk-000002", version)
        .when("live/wk-000002", version)
        .put("job/wk-000002", record)
        .put("live/wk-000002", live);
    let now = simulation.now;
    let answer = simulation.store.execute(now, &rushyoke_core::StoreOp::Txn(txn));
    assert!(matches!(answer, rushyoke_core::StoreResponse::Committed(_)));
    simulation.checker.record_cancel_request(&job_id(2));
    simulation.run(secs(2));
    simulation.start_node(leader);
    simulation.run(secs(8));
    for node in 0..3 {
        assert_eq!(simulation.job_state(node, &job_id(2)), Some(JobStatus::Cancelled));
        assert_eq!(simulation.job_state(node, &job_id(3)), Some(JobStatus::Cancelled));
    }
    simulation.run(secs(30));
    assert_eq!(simulation.job_state(0, &job_id(1)), Some(JobStatus::Done));
    assert!(simulation.store.rows.keys().all(|key| !key.starts_with("live/")));
}
