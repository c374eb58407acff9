//! What a submission may say of the jobs that it awaits.

use rushyoke_wire::job::JobSpec;
use serde_json::{Value, json};

fn submission(awaits: Option<Value>) -> Vec<u8> {
    let mut body = json!({"name_id": "wk-000412", "lane": "train", "crew": "vision", "shape": "sweep", "rank": "high",
        "loads": 16, "cpus": 8.0, "gpus": 1.0, "memory_gb": 64.0, "kit": "img-07", "size_gb": 6.2, "rigs": ["g8"],
        "yard": null, "together": true, "scatter": false, "borrowed": true, "haul_s": 240.0, "tally_s": 30.0,
        "stow_s": 4.0, "due_s": 900.0});
    if let Some(awaits) = awaits {
        body["awaits"] = awaits;
    }
    serde_json::to_vec(&body).expect("it is JSON")
}

#[test]
fn absent_null_and_empty_mean_none() {
    for awaits in [None, Some(Value::Null), Some(json!([]))] {
        let spec = JobSpec::parse(&submission(awaits)).expect("well formed");
        assert!(spec.awaits.is_empty());
        // A job without any is written as earlier versions write it.
        assert!(serde_json::to_value(&spec).expect("it is JSON").get("awaits").is_none());
    }
    let spec = JobSpec::parse(&submission(Some(json!(["wk-000398", "wk-000405"])))).expect("well formed");
    assert_eq!(spec.awaits, ["wk-000398", "wk-000405"]);
}

#[test]
fn what_is_no_list_of_job_ids_is_malformed() {
    let many: Vec<String> = (0..33).map(|n| format!("wk-{n:06}")).collect();
    let bad = [
        json!("wk-000398"),
        json!(7),
        json!([7]),
        json!([null]),
        json!(["wk-"]),
        json!(["job-1"]),
        json!(many),
        json!({}),
    ];
    for awaits in bad {
        let refused = JobSpec::parse(&submission(Some(awaits.clone())));
        assert!(refused.is_err(), "{awaits}");
    }
}
