//! Tests of compatibility with earlier versions: reading what they wrote, and writing what they can read. Each
//! fixture was written by a version that was in production. It contains the records of a busy deployment just after
//! its leader crashed, and one of each message between controllers. `before-awaits` was written by commit 8c26a25,
//! which does not support `awaits`, `with-awaits` by 99b8f1d, the first commit that does.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rushyoke_testkit::{Simulation, Task, all_in_state, dependent_job, job, job_id, secs, service};
use rushyoke_wire::job::{JobSpec, JobStatus, Kind};
use rushyoke_wire::peer::{PeerRequest, PeerResponse, RelayRequest, RelayResponse, decode, encode};
use rushyoke_wire::worker::TaskState;
use serde_json::Value;

/// The records and messages that an earlier version wrote.
struct Fixture(Value);

impl Fixture {
    /// Returns the fixture of the version that does not support dependencies.
    fn before_dependencies() -> Fixture {
        Fixture::parse(include_str!("fixtures/before-awaits.json"))
    }

    /// Returns the fixture of the first version that supports dependencies.
    fn with_dependencies() -> Fixture {
        Fixture::parse(include_str!("fixtures/with-awaits.json"))
    }

    fn parse(text: &str) -> Fixture {
        Fixture(serde_json::from_str(text).expect("the fixture is JSON"))
    }

    /// Returns the stored records: value and version by key.
    fn rows(&self) -> BTreeMap<String, (Value, u64)> {
        serde_json::from_value(self.0["rows"].clone()).expect("rows are values with versions")
    }

    /// Returns the bytes of a message between controllers.
    fn message(&self, name: &str) -> Vec<u8> {
        let text = self.0[name].as_str().expect("hexadecimal digits");
        (0..text.len()).step_by(2).map(|i| u8::from_str_radix(&text[i..i + 2], 16).expect("a byte")).collect()
    }

    /// Returns a simulation with these records, whose machines run the tasks that the records place on them.
    fn to_simulation(&self) -> Simulation {
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
                let spec: JobSpec = serde_json::from_value(value["spec"].clone()).expect("a job spec");
                simulation.checker.add_earlier_dependencies(id, &spec.dependencies);
                simulation.specs.insert(id.into(), spec);
            }
            if key.starts_with("log/") {
                add_placed_tasks(&mut simulation, &value);
            }
            simulation.store.rows.insert(key, (value, version, None));
        }
        let specs = &simulation.specs;
        for worker in simulation.workers.values_mut() {
            // Jobs that ended after their placement have no spec any more.
            worker.tasks.retain(|task| specs.contains_key(job_id_of(task)));
            for task in worker.tasks.iter_mut().filter(|task| specs[job_id_of(task)].kind == Kind::Service) {
                task.state_ends_at = Duration::MAX;
            }
        }
        simulation
    }
}

/// Returns the job id in the name of a task.
fn job_id_of(task: &Task) -> &str {
    task.name.split('/').next().expect("a task's name starts with its job")
}

/// Adds the tasks that a segment of the log places to the workers, as running.
fn add_placed_tasks(simulation: &mut Simulation, segment: &Value) {
    for job_entry in segment["jobs"].as_array().expect("jobs") {
        for placement in job_entry["places"].as_array().into_iter().flatten() {
            let machine = &segment["machines"][placement[1].as_u64().expect("an index") as usize][0];
            let worker = simulation.workers.get_mut(machine.as_str().expect("a name")).expect("a machine that is up");
            worker.tasks.push(Task {
                name: format!("{}/{}", job_entry["job"].as_str().expect("an id"), placement[0]),
                attempt: placement[2].as_u64().expect("an attempt"),
                state: TaskState::Running,
                cause: None,
                state_ends_at: simulation.now + secs(9),
            });
        }
    }
}

#[test]
fn records_written_before_dependencies_existed_are_recovered() {
    let mut simulation = Fixture::before_dependencies().to_simulation();
    simulation.run(secs(8));
    let started_before = simulation.started_tasks;
    assert!(started_before >= 10, "its tasks do not run");
    assert!(simulation.running_tasks(&job_id(4)).is_empty(), "tasks of a cancelled job still run");
    assert_eq!((simulation.running_tasks(&job_id(1)).len(), simulation.running_tasks(&job_id(7)).len()), (3, 2));
    assert_eq!(simulation.submit(1, JobSpec { dependencies: vec![job_id(6), job_id(2)], ..job(40, 2) }), Some(201));
    assert_eq!(simulation.submit(2, service(1, 3)), Some(200));
    simulation.run(secs(25));
    for id in [2, 3, 5, 6, 29, 40] {
        assert_eq!(simulation.job_state(id as usize % 3, &job_id(id)), Some(JobStatus::Done), "job {id}");
    }
    assert_eq!(simulation.job_state(0, &job_id(4)), Some(JobStatus::Cancelled));
    assert_eq!(simulation.started_tasks, started_before + 2, "a task was started twice");
}

#[test]
fn records_of_the_first_version_with_dependencies_are_recovered() {
    // Job 3, whose dependency is done, runs; 4 depends on 3, and 9 on 4. Job 5 was cancelled while there was no
    // leader, so jobs 6 and 8 are still open in their records.
    let mut simulation = Fixture::with_dependencies().to_simulation();
    simulation.run(secs(7));
    assert_eq!(simulation.running_tasks(&job_id(3)).len(), 4, "job 3 was stopped");
    assert_eq!(simulation.running_tasks(&job_id(1)).len(), 3);
    assert_eq!(simulation.started_tasks, 3 + 4 + 4 + 2, "a running task was lost, or another one was started");
    for node in 0..3 {
        assert_eq!(simulation.job_states(node, 5..=8), all_in_state(JobStatus::Cancelled, 4));
    }
    assert_eq!(simulation.submit(1, dependent_job(4, 3, &[3, 2])), Some(200));
    assert_eq!(simulation.submit(2, dependent_job(10, 2, &[9, 2])), Some(201));
    simulation.run(secs(60));
    for number in [2, 3, 4, 9, 10] {
        assert_eq!(simulation.job_state(number as usize % 3, &job_id(number)), Some(JobStatus::Done), "job {number}");
    }
    assert_eq!(simulation.checker.checked_dependencies, 4 + 3 * 2 + 2 + 2 * 2, "the order of starts was not checked");
    let has_live_record = |id: u32| simulation.store.rows.contains_key(&format!("live/{}", job_id(id)));
    assert!((2..=10).all(|id| !has_live_record(id)), "the record of an ended job is still live");
}

#[test]
fn messages_between_controllers_keep_the_encoding_of_earlier_versions() {
    for fixture in [Fixture::before_dependencies(), Fixture::with_dependencies()] {
        let request: PeerRequest = decode(&fixture.message("peer_ask")).expect("a request");
        assert_eq!((request.token, request.job_limit_reached, request.progress[0].running), (Some(41), true, 13));
        assert_eq!(encode(&request), fixture.message("peer_ask"));
        let response: PeerResponse = decode(&fixture.message("peer_tell")).expect("a response");
        assert_eq!((response.incarnation, response.relays_to, response.busy_percent), (99, Some(41), 35));
        assert_eq!(encode(&response), fixture.message("peer_tell"));
        let relay_request: RelayRequest = decode(&fixture.message("relay")).expect("reports");
        assert_eq!(relay_request.reports[0].full.as_ref().map(|full| full.tasks.len()), Some(2));
        assert_eq!(encode(&relay_request), fixture.message("relay"));
        let relay_response: RelayResponse = decode(&fixture.message("relay_told")).expect("responses");
        assert_eq!(relay_response.responses.len(), 3);
        assert_eq!(encode(&relay_response), fixture.message("relay_told"));
    }
}

#[test]
fn a_promise_is_read_by_this_version_and_ignored_by_earlier_ones() {
    for fixture in [Fixture::before_dependencies(), Fixture::with_dependencies()] {
        let earlier = PeerResponse::decode(&fixture.message("peer_tell")).expect("a response of an earlier version");
        assert_eq!(earlier.lowest_token, None);
        let response = PeerResponse { lowest_token: Some(1 << 40), ..earlier.clone() };
        assert_eq!(PeerResponse::decode(&response.encode()), Some(response.clone()));
        // An earlier version decodes the fields that it knows.
        assert_eq!(decode::<PeerResponse>(&response.encode()), Some(earlier));
    }
}

/// Adds the paths of a value's fields, nested ones included, to `found`.
fn collect_fields(value: &Value, path: &str, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(map) => {
            for (key, value) in map {
                found.insert(format!("{path}.{key}"));
                collect_fields(value, &format!("{path}.{key}"), found);
            }
        }
        Value::Array(list) => list.iter().for_each(|value| collect_fields(value, path, found)),
        _ => {}
    }
}

#[test]
fn records_keep_the_fields_that_earlier_versions_read() {
    let mut simulation = Simulation::new(3);
    simulation.run(secs(6));
    simulation.submit(0, service(1, 3));
    simulation.submit(1, job(2, 100));
    simulation.submit(2, JobSpec { dependencies: vec![job_id(2)], ..job(3, 2) });
    simulation.run(secs(14));
    simulation.submit(0, service(4, 2));
    simulation.run(secs(3));
    simulation.cancel(1, &job_id(4));
    let record_type = |key: &str| key.split('/').next().unwrap_or_default().to_owned();
    let mut current_fields = BTreeSet::new();
    for (key, (value, ..)) in &simulation.store.rows {
        collect_fields(value, &record_type(key), &mut current_fields);
    }
    // Fields may be new only if the earlier version ignores them, or if no task was in that state when the fixture was
    // written. All fields that the earlier version needs must be present.
    let awaits_fields: &[&str] = &["job.awaits", "live.spec.awaits", "log.jobs.open"];
    for (fixture, allowed_new_fields) in [
        (Fixture::before_dependencies(), awaits_fields),
        (Fixture::with_dependencies(), &["log.jobs.done", "log.jobs.open"]),
    ] {
        let mut earlier_fields = BTreeSet::new();
        for (key, (value, _)) in fixture.rows() {
            collect_fields(&value, &record_type(&key), &mut earlier_fields);
        }
        let added: Vec<&String> = current_fields.difference(&earlier_fields).collect();
        assert!(added.iter().all(|field| allowed_new_fields.contains(&field.as_str())), "{added:?}");
        let required = earlier_fields.iter().filter(|field| !field.ends_with(".done") && !field.ends_with(".open"));
        let missing: Vec<&String> = required.filter(|field| !current_fields.contains(*field)).collect();
        assert!(missing.is_empty(), "{missing:?}");
    }
}

#[test]
fn dependents_are_cancelled_after_an_earlier_version_dropped_dependencies() {
    // An earlier version confirms a cancellation and rewrites both records without the field that it does not
    // support. The job's dependents must still be cancelled; the job itself no longer needs its dependencies.
    let mut simulation = Simulation::new(2);
    simulation.run(secs(6));
    simulation.workers.values_mut().for_each(|worker| worker.task_duration_s = 30.0);
    simulation.submit(0, job(1, 2));
    simulation.submit(1, JobSpec { dependencies: vec![job_id(1)], ..job(2, 2) });
    simulation.submit(2, JobSpec { dependencies: vec![job_id(2)], ..job(3, 2) });
    simulation.run(secs(2));
    let leader = simulation.leader().expect("a leader");
    simulation.crash_node(leader);
    let (mut live_record, version, _) = simulation.store.rows["live/wk-000002"].clone();
    live_record["cancelled"] = true.into();
    live_record["spec"].as_object_mut().expect("a job spec").remove("awaits");
    let record = serde_json::json!({ "state": "cancelled", "tasks": 2 });
    let txn = rushyoke_wire::store::Txn::default()
        .when("job/wk-000002", version)
        .when("live/wk-000002", version)
        .put("job/wk-000002", record)
        .put("live/wk-000002", live_record);
    let now = simulation.now;
    let response = simulation.store.execute(now, &rushyoke_core::StoreOp::Txn(txn));
    assert!(matches!(response, rushyoke_core::StoreResponse::Committed(_)));
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
