//! Tests of the exit code and the error output of `check`, and of starting a controller, with valid and invalid
//! settings.

use std::path::PathBuf;
use std::process::Command;

/// Valid platform settings, to which a test may append sections such as `[facts.state.next]`.
const SETTINGS: &str = r#"
label = "node-0"
public_addr = "127.0.0.1:8080"
peer_bind = "127.0.0.1:8081"
[outside]
cloud = "127.0.0.1:8443"
state = "127.0.0.1:2379"
[facts.workers]
report_s = 2.0
lease_s = 12.0
cancel_s = 30.0
[facts.cloud]
rps = 2.0
list_lag_s = 5.0
[facts.quota]
max_sockets = 900
[facts.state]
rps = 100.0
write_rps = 40.0
value_kb = 8.0
txn_ops = 16
"#;

/// Runs `check` with the platform settings and a section after them. Returns the exit code and standard error.
fn check(name: &str, next: &str) -> (Option<i32>, String) {
    run(name, next, &["check"])
}

/// Runs the program with the platform settings and a section after them. Returns the exit code and standard error.
fn run(name: &str, next: &str, arguments: &[&str]) -> (Option<i32>, String) {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
    std::fs::write(&file, format!("{SETTINGS}{next}")).expect("the directory for tests is writable");
    let output = Command::new(env!("CARGO_BIN_EXE_rushyoke")).arg("--config").arg(&file).args(arguments).output();
    let output = output.expect("the program starts");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn announced_store_limits_are_valid_and_optional() {
    assert_eq!(check("none", "").0, Some(0));
    assert_eq!(check("some", "[facts.state.next]\nwrite_rps = 28.0\nvalue_kb = 2.0\ntxn_ops = 5\n").0, Some(0));
    assert_eq!(check("empty", "[facts.state.next]\n").0, Some(0));
}

#[test]
fn an_invalid_announced_store_limit_is_reported_on_one_line() {
    for (name, line) in [
        ("rps", "rps = -1.0"),
        ("write_rps", "write_rps = 0.0"),
        ("value_kb", "value_kb = 0.1"),
        ("txn_ops", "txn_ops = 1"),
        ("value_kb", "value_kb = nan"),
    ] {
        for arguments in [&["check"][..], &[]] {
            let (code, stderr) = run(&format!("bad-{name}"), &format!("[facts.state.next]\n{line}\n"), arguments);
            assert_eq!(code, Some(2), "{line}: {stderr}");
            assert_eq!(stderr.trim().lines().count(), 1, "{stderr}");
            assert!(stderr.contains(&format!("facts.state.next.{name}")), "{stderr}");
        }
    }
    let (code, stderr) = check("bad-type", "[facts.state.next]\nvalue_kb = \"two\"\n");
    assert_eq!((code, stderr.contains("value_kb")), (Some(2), true), "{stderr}");
}

/// Runs the program with the platform settings and an operators' file. Returns the exit code and standard error.
fn run_with_policy(name: &str, policy: &str, arguments: &[&str]) -> (Option<i32>, String) {
    run_with_files(name, SETTINGS, policy, arguments)
}

/// Runs `check` with both files. Returns the exit code and standard error.
fn check_files(name: &str, platform_settings: &str, policy: &str) -> (Option<i32>, String) {
    run_with_files(name, platform_settings, policy, &["check"])
}

/// Runs the program with both files. Returns the exit code and standard error.
fn run_with_files(name: &str, platform_settings: &str, policy: &str, arguments: &[&str]) -> (Option<i32>, String) {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let (config, file) = (directory.join(format!("{name}.toml")), directory.join(format!("{name}.yaml")));
    std::fs::write(&config, platform_settings).expect("the directory for tests is writable");
    std::fs::write(&file, policy).expect("the directory for tests is writable");
    let mut command = Command::new(env!("CARGO_BIN_EXE_rushyoke"));
    let output = command.arg("--config").arg(&config).arg("--policy").arg(&file).args(arguments).output();
    let output = output.expect("the program starts");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn rebalancing_settings_are_valid_and_optional() {
    let deployed = include_str!("../../../deploy/balance.yaml");
    for (name, policy) in [
        ("balance-deployed", deployed),
        ("balance-none", "idle_s: 12\n"),
        ("balance-off", "balance:\n  enabled: false\n"),
        ("balance-some", "balance:\n  enabled: true\n  protected: [sheets, settlement]\n"),
    ] {
        let (code, stderr) = run_with_policy(name, policy, &["check"]);
        assert_eq!(code, Some(0), "{name}: {stderr}");
    }
}

#[test]
fn an_invalid_rebalancing_setting_is_reported_on_one_line() {
    for (field, line) in [
        ("balance.crowding_share", "crowding_share: -1"),
        ("balance.gain_ratio", "gain_ratio: 0.1"),
        ("balance.use_gap", "use_gap: .nan"),
        ("balance.moves_per_machine", "moves_per_machine: 1e9"),
        ("balance.free_share", "free_share: 1"),
        ("balance.hold_s", "hold_s: 90"),
        ("balance.hold_s", "hold_s: -.inf"),
        ("balance.booking_s", "booking_s: 0"),
        ("balance.protected", "protected: [sheets, sheets]"),
        ("balance.protected", "protected: [' ']"),
        ("enabled", "enabled: maybe"),
        ("unknown field", "moves: 3"),
    ] {
        for arguments in [&["check"][..], &[]] {
            for enabled in ["", "  enabled: false\n"] {
                if line.starts_with("enabled") && !enabled.is_empty() {
                    continue;
                }
                let policy = format!("balance:\n{enabled}  {line}\n");
                let (code, stderr) = run_with_policy("balance-bad", &policy, arguments);
                assert_eq!(code, Some(2), "{line}: {stderr}");
                assert_eq!(stderr.trim().lines().count(), 1, "{stderr}");
                assert!(stderr.contains(field), "{line}: {stderr}");
            }
        }
    }
}

#[test]
fn failover_settings_are_valid_and_optional() {
    let deployed = include_str!("../../../deploy/failover.yaml");
    let all_named = "failover:\n  enabled: true\n  tiers: [{ name: urgent, classes: [sheets] }]\n  \
                 careful_tiers: [urgent]\n  max_reruns: { settlement: 1 }\n  held_out: [south]\n";
    for (name, policy) in [
        ("failover-deployed", deployed),
        ("failover-off", "failover:\n  enabled: false\n"),
        ("failover-named", all_named),
    ] {
        let (code, stderr) = run_with_policy(name, policy, &["check"]);
        assert_eq!(code, Some(0), "{name}: {stderr}");
    }
}

#[test]
fn an_invalid_failover_setting_is_reported_on_one_line() {
    for (field, line) in [
        ("failover.suspect_share", "suspect_share: 0"),
        ("failover.lost_share", "lost_share: .nan"),
        ("failover.lost_share", "lost_share: 0.2"),
        ("failover.least_machines", "least_machines: 0"),
        ("failover.confirm_s", "confirm_s: -1"),
        ("failover.half_life_s", "half_life_s: 0"),
        ("failover.probation_s", "probation_s: .inf"),
        ("failover.longest_probation_s", "longest_probation_s: 5"),
        ("failover.evacuation_s", "evacuation_s: 1000"),
        ("failover.tiers", "tiers: [{ name: ' ', classes: [sheets] }]"),
        ("failover.tiers", "tiers: [{ name: one, classes: [] }]"),
        ("failover.tiers", "tiers: [{ name: one, classes: [x] }, { name: one, classes: [y] }]"),
        ("failover.tiers", "tiers: [{ name: one, classes: [x] }, { name: two, classes: [x] }]"),
        ("failover.careful_tiers", "careful_tiers: [urgent]"),
        ("failover.held_out", "held_out: [north, north]"),
        ("failover.admitted", "admitted: ['']"),
        ("failover.admitted", "{ admitted: [north], held_out: [north] }"),
        ("max_reruns", "max_reruns: { settlement: -1 }"),
        ("unknown field", "zones: 3"),
    ] {
        for arguments in [&["check"][..], &[]] {
            let policy =
                if line.starts_with('{') { format!("failover: {line}\n") } else { format!("failover:\n  {line}\n") };
            let (code, stderr) = run_with_policy("failover-bad", &policy, arguments);
            assert_eq!(code, Some(2), "{line}: {stderr}");
            assert_eq!(stderr.trim().lines().count(), 1, "{stderr}");
            assert!(stderr.contains(field), "{line}: {stderr}");
        }
    }
}

#[test]
fn an_unknown_class_or_zone_in_failover_is_reported_on_one_line() {
    let platform_settings = format!(
        "location = \"north\"\n{SETTINGS}[[facts.objectives]]\nkind = \"finished\"\nclass = \"sheets\"\nwithin_s = 9.0\n"
    );
    for (field, line) in [
        ("failover.tiers: unknown class lab", "tiers: [{ name: one, classes: [lab] }]"),
        ("failover.max_reruns: unknown class lab", "max_reruns: { lab: 1 }"),
        ("failover.held_out: unknown zone south", "held_out: [south]"),
        ("failover.admitted: unknown zone south", "admitted: [south]"),
    ] {
        let (code, stderr) =
            check_files("failover-names", &platform_settings, &format!("failover:\n  enabled: true\n  {line}\n"));
        assert_eq!((code, stderr.trim().lines().count()), (Some(2), 1), "{stderr}");
        assert!(stderr.contains(field), "{line}: {stderr}");
    }
    let valid = "failover:\n  enabled: true\n  tiers: [{ name: one, classes: [sheets] }]\n  held_out: [north]\n";
    assert_eq!(check_files("failover-known", &platform_settings, valid).0, Some(0));
}
