//! Tests of the list of dependencies in a submission.

use rushyoke_wire::job::JobSpec;
use serde_json::{Value, json};

fn submission(dependencies: Option<Value>) -> Vec<u8> {
    let mut body = json!({"name_id": "wk-000412", "lane": "train", "crew": "vision", "shape": "sweep", "rank": "high",
        "loads": 16, "cpus": 8.0, "gpus": 1.0, "memory_gb": 64.0, "kit": "img-07", "size_gb": 6.2, "rigs": ["g8"],
        "yard": null, "together": true, "scatter": false, "borrowed": true, "haul_s": 240.0, "tally_s": 30.0,
        "stow_s": 4.0, "due_s": 900.0});
    if let Some(dependencies) = dependencies {
        body["awaits"] = dependencies;
    }
    serde_json::to_vec(&body).expect("it is JSON")
}

/// Returns the dependencies of a submission with this list, or the error if the list is malformed.
fn parse_dependencies(list: Option<Value>) -> Result<Vec<String>, String> {
    JobSpec::parse(&submission(list)).map(|spec| spec.dependencies)
}

#[test]
fn valid_lists_are_parsed_and_malformed_ones_rejected() {
    let ids = |numbers: std::ops::Range<u32>| numbers.map(|n| format!("wk-{n:06}")).collect::<Vec<String>>();
    let well_formed = [
        (None, vec![]),
        (Some(Value::Null), vec![]),
        (Some(json!([])), vec![]),
        (Some(json!(["wk-000398", "wk-000405"])), vec!["wk-000398", "wk-000405"]),
        // Duplicates are removed. A job that names itself is well formed; it is rejected later.
        (Some(json!(["wk-000405", "wk-000398", "wk-000405"])), vec!["wk-000405", "wk-000398"]),
        (Some(json!(["wk-000412"])), vec!["wk-000412"]),
        (Some(json!(["wk-7", "wk-123456789012345678"])), vec!["wk-7", "wk-123456789012345678"]),
    ];
    for (list, expected) in well_formed {
        assert_eq!(parse_dependencies(list.clone()), Ok(expected.into_iter().map(String::from).collect()), "{list:?}");
    }
    // The length is limited only by the sizes of a request and of a value of the state service.
    for count in [33, 400, 4000] {
        assert_eq!(parse_dependencies(Some(json!(ids(0..count)))), Ok(ids(0..count)));
    }
    let malformed = [
        json!("wk-000398"),
        json!(7),
        json!(true),
        json!({}),
        json!({"wk-000398": null}),
        json!([7]),
        json!([null]),
        json!([["wk-000398"]]),
        json!([{"name_id": "wk-000398"}]),
        json!(["wk-000398", 405]),
        json!(["wk-000398", null]),
        json!([""]),
        json!(["wk-"]),
        json!(["wk-1234567890123456789"]),
        json!(["wk-00039x"]),
        json!(["wk-+00398"]),
        json!([" wk-000398"]),
        json!(["WK-000398"]),
        json!(["job-1"]),
        json!(["000398"]),
        json!(["wk-000398/0"]),
    ];
    for list in malformed {
        assert!(parse_dependencies(Some(list.clone())).is_err(), "{list}");
    }
}

#[test]
fn jobs_without_dependencies_are_serialized_without_the_field_as_in_earlier_versions() {
    for list in [None, Some(Value::Null), Some(json!([]))] {
        let spec = JobSpec::parse(&submission(list)).expect("well formed");
        assert!(serde_json::to_value(&spec).expect("it is JSON").get("awaits").is_none());
    }
}
