//! Settings: the platform's TOML file, and the operators' YAML file.

mod balance;
mod failover;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use rushyoke_core::{Facts, Objective, Policy, Team};

use balance::BalanceSection;
use failover::FailoverSection;
use serde::Deserialize;

/// All that a node starts with.
pub struct Settings {
    pub facts: Facts,
    pub policy: Policy,
    pub public_addr: SocketAddr,
    pub peer_bind: SocketAddr,
    pub peers: BTreeMap<String, SocketAddr>,
    pub cloud_addr: SocketAddr,
    pub store_addr: SocketAddr,
    pub store_rps: f64,
    pub store_write_rps: f64,
    /// Both where they will be lower, from some moment on.
    pub upcoming_store_rates: Option<(f64, f64)>,
    pub cloud_rps: f64,
    pub node_count: usize,
    pub sockets: SocketLimits,
    /// Memory that bodies of requests may take while they are read.
    pub max_body_bytes: usize,
}

/// How the platform's limit on sockets is divided. Reports come over a connection from each
/// machine, so most are for those that others open; our own calls never use up the rest.
#[derive(Clone, Copy)]
pub struct SocketLimits {
    /// Open connections from users, workers and controllers.
    pub inbound: usize,
    /// Direct calls to workers at a time.
    pub direct_calls: usize,
    /// Idle connections of our own that are kept.
    pub idle: usize,
    /// Calls to the state service at a time, leadership apart.
    pub store_calls: usize,
}

impl SocketLimits {
    fn divide(limit: usize) -> SocketLimits {
        let own = (limit / 4).clamp(8, limit.max(16) / 2);
        SocketLimits {
            inbound: (limit - own).max(8),
            direct_calls: (own / 3).max(1),
            idle: own / 3,
            store_calls: (own / 6).max(2),
        }
    }
}

/// Memory if the platform does not tell how much there is, and the parts of it that unfinished
/// jobs and bodies that are being read may take. Connections take most of the rest.
const MEMORY: usize = 64_000_000;
const JOBS_PART: usize = 8;
const BODIES_PART: usize = 10;

#[derive(Deserialize)]
struct File {
    label: String,
    /// The zone of this node.
    location: Option<String>,
    public_addr: SocketAddr,
    peer_bind: SocketAddr,
    #[serde(default)]
    others: Vec<Other>,
    outside: Outside,
    facts: FileFacts,
}

#[derive(Deserialize)]
struct Other {
    label: String,
    location: Option<String>,
    endpoint: SocketAddr,
}

#[derive(Deserialize)]
struct Outside {
    cloud: SocketAddr,
    state: SocketAddr,
}

#[derive(Deserialize)]
struct FileFacts {
    #[serde(default)]
    teams: Vec<FileTeam>,
    #[serde(default)]
    objectives: Vec<FileObjective>,
    workers: Workers,
    state: State,
    cloud: Cloud,
    quota: Quota,
}

#[derive(Deserialize)]
struct FileTeam {
    name: String,
    #[serde(default)]
    cpus: f64,
    #[serde(default)]
    cpus_max: f64,
    #[serde(default)]
    gpus: f64,
    #[serde(default)]
    gpus_max: f64,
}

#[derive(Deserialize)]
struct FileObjective {
    kind: String,
    class: Option<String>,
    within_s: Option<f64>,
}

#[derive(Deserialize)]
struct Workers {
    report_s: f64,
    lease_s: f64,
    cancel_s: f64,
}

#[derive(Deserialize)]
struct State {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: usize,
    /// Limits that it will have from some moment on.
    next: Option<StateNext>,
}

#[derive(Deserialize)]
struct StateNext {
    rps: Option<f64>,
    write_rps: Option<f64>,
    value_kb: Option<f64>,
    txn_ops: Option<usize>,
}

/// The least that a value must hold: a job's description, or a few places.
const LEAST_VALUE_KB: f64 = 1.0;
const LEAST_TXN_OPS: usize = 4;

/// The lower of the present limits and those to come, which may come at any moment. Values and
/// transactions keep within them from the start, since what was written before must be written again
/// after; rates do from the first 429 on, since each lost change a second is felt.
struct Limits {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: usize,
}

impl Limits {
    fn of(state: &State) -> Result<Limits, String> {
        let next = state.next.as_ref();
        let lower = |name: &str, now: f64, next: Option<f64>, least: f64| {
            for (place, value) in [("facts.state", Some(now)), ("facts.state.next", next)] {
                if value.is_some_and(|value| !value.is_finite() || value <= 0.0 || value < least) {
                    let bound = if least > 0.0 { format!("at least {least}") } else { "a number above 0".into() };
                    return Err(format!("{place}.{name}: must be {bound}"));
                }
            }
            Ok(next.map_or(now, |next| now.min(next)))
        };
        let ops = |ops: usize| ops as f64;
        let next_ops = next.and_then(|n| n.txn_ops).map(ops);
        Ok(Limits {
            rps: lower("rps", state.rps, next.and_then(|n| n.rps), 0.0)?,
            write_rps: lower("write_rps", state.write_rps, next.and_then(|n| n.write_rps), 0.0)?,
            value_kb: lower("value_kb", state.value_kb, next.and_then(|n| n.value_kb), LEAST_VALUE_KB)?,
            txn_ops: lower("txn_ops", ops(state.txn_ops), next_ops, ops(LEAST_TXN_OPS))? as usize,
        })
    }
}

#[derive(Deserialize)]
struct Cloud {
    rps: f64,
    list_lag_s: f64,
}

#[derive(Deserialize)]
struct Quota {
    max_sockets: usize,
    mem_mb: Option<f64>,
}

/// The operators' settings; what is left out keeps its default.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct FilePolicy {
    speculation: Option<bool>,
    speculation_period_s: Option<f64>,
    straggler_threshold: Option<f64>,
    cell_minimum: Option<u32>,
    levels: Option<usize>,
    lead_ttl_s: Option<f64>,
    headroom_share: Option<f64>,
    headroom_machines: Option<f64>,
    service_reserve: Option<f64>,
    patience_share: Option<f64>,
    idle_s: Option<f64>,
    starved_s: Option<f64>,
    silent_reports: Option<f64>,
    max_jobs: Option<usize>,
    known_jobs: Option<usize>,
    sample: Option<usize>,
    balance: Option<BalanceSection>,
    failover: Option<FailoverSection>,
}

/// Reads and checks both files; an error is one line that names the file, the field
/// and the reason.
pub fn load(config: &Path, policy: Option<&Path>) -> Result<Settings, String> {
    let in_config = |reason: String| format!("{}: {reason}", config.display());
    let text = std::fs::read_to_string(config).map_err(|e| in_config(e.to_string()))?;
    let file: File = toml::from_str(&text).map_err(|e| in_config(toml_reason(&text, &e)))?;
    let policy_path = policy;
    let policy = match policy {
        None => Policy::default(),
        Some(path) => {
            let in_policy = |reason: String| format!("{}: {reason}", path.display());
            let text = std::fs::read_to_string(path).map_err(|e| in_policy(e.to_string()))?;
            parse_policy(&text).map_err(in_policy)?
        }
    };
    let settings = build(file, policy).map_err(in_config)?;
    if let (Some(failover), Some(path)) = (&settings.policy.failover, policy_path) {
        failover::check_names(failover, &settings.facts).map_err(|error| format!("{}: {error}", path.display()))?;
    }
    Ok(settings)
}

/// The error's line, with the field that stands there, and its reason.
fn toml_reason(text: &str, error: &toml::de::Error) -> String {
    let reason = error.message().replace('\n', " ");
    let Some(span) = error.span() else { return reason };
    let line = text[..span.start.min(text.len())].matches('\n').count();
    let there = text.lines().nth(line).unwrap_or_default();
    let field = there.split('=').next().unwrap_or_default().trim();
    format!("line {}: {field}: {reason}", line + 1)
}

fn build(file: File, policy: Policy) -> Result<Settings, String> {
    let facts = &file.facts;
    let positive = |name: &str, value: f64| match value > 0.0 && value.is_finite() {
        true => Ok(Duration::from_secs_f64(value.min(1e9))),
        false => Err(format!("{name}: must be a number above 0")),
    };
    let count = |name: &str, value: f64| positive(name, value).map(|_| value);
    let limits = Limits::of(&facts.state)?;
    let mut teams = BTreeMap::new();
    for team in &facts.teams {
        let amounts = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
        if amounts.iter().any(|a| !a.is_finite() || *a < 0.0) {
            return Err(format!("facts.teams: {}: amounts must be 0 or above", team.name));
        }
        let value = Team { cpus: team.cpus, cpus_max: team.cpus_max, gpus: team.gpus, gpus_max: team.gpus_max };
        if teams.insert(team.name.clone(), value).is_some() {
            return Err(format!("facts.teams: {} stands twice", team.name));
        }
    }
    let objectives = facts.objectives.iter().map(|o| Objective {
        kind: o.kind.clone(),
        class: o.class.clone(),
        time_limit: o.within_s.filter(|s| *s >= 0.0 && s.is_finite()).map(|s| Duration::from_secs_f64(s.min(1e9))),
    });
    let peers: BTreeMap<String, SocketAddr> = file.others.iter().map(|o| (o.label.clone(), o.endpoint)).collect();
    if peers.contains_key(&file.label) {
        return Err("others: names this node itself".into());
    }
    let memory = match facts.quota.mem_mb {
        None => MEMORY,
        Some(mb) => (count("facts.quota.mem_mb", mb)?.min(1e6) * 1e6) as usize,
    };
    let sockets = SocketLimits::divide(facts.quota.max_sockets);
    let others = file.others.iter().map(|other| (&other.label, &other.location));
    let locations = others.chain([(&file.label, &file.location)]);
    let core = Facts {
        label: file.label.clone(),
        peers: peers.keys().cloned().collect(),
        controller_zones: locations.filter_map(|(label, zone)| Some((label.clone(), zone.clone()?))).collect(),
        teams,
        objectives: objectives.collect(),
        report_interval: positive("facts.workers.report_s", facts.workers.report_s)?,
        worker_lease: positive("facts.workers.lease_s", facts.workers.lease_s)?,
        cancel_limit: positive("facts.workers.cancel_s", facts.workers.cancel_s)?,
        txn_ops: limits.txn_ops,
        write_rps: limits.write_rps,
        value_bytes: (limits.value_kb.min(1e6) * 1024.0) as usize,
        cloud_list_lag: positive("facts.cloud.list_lag_s", facts.cloud.list_lag_s)?,
        cloud_rps: count("facts.cloud.rps", facts.cloud.rps)?,
        max_direct_calls: sockets.direct_calls,
        max_job_bytes: memory / JOBS_PART,
    };
    Ok(Settings {
        node_count: peers.len() + 1,
        facts: core,
        policy,
        public_addr: file.public_addr,
        peer_bind: file.peer_bind,
        peers,
        cloud_addr: file.outside.cloud,
        store_addr: file.outside.state,
        store_rps: facts.state.rps,
        store_write_rps: facts.state.write_rps,
        upcoming_store_rates: facts.state.next.as_ref().map(|_| (limits.rps, limits.write_rps)),
        cloud_rps: facts.cloud.rps,
        sockets,
        max_body_bytes: memory / BODIES_PART,
    })
}

fn parse_policy(text: &str) -> Result<Policy, String> {
    let file: FilePolicy = if text.trim().is_empty() {
        FilePolicy::default()
    } else {
        serde_yaml_ng::from_str(text).map_err(|e| e.to_string())?
    };
    let mut policy = Policy::default();
    let seconds = |name: &str, value: Option<f64>, low: f64, high: f64, target: &mut Duration| match value {
        None => Ok(()),
        Some(v) if (low..=high).contains(&v) => {
            *target = Duration::from_secs_f64(v);
            Ok(())
        }
        Some(_) => Err(format!("{name}: must be {low} to {high} seconds")),
    };
    let number = |name: &str, value: Option<f64>, low: f64, high: f64, target: &mut f64| match value {
        None => Ok(()),
        Some(v) if (low..=high).contains(&v) => {
            *target = v;
            Ok(())
        }
        Some(_) => Err(format!("{name}: must be {low} to {high}")),
    };
    let whole = |name: &str, value: Option<usize>, low: usize, high: usize, target: &mut usize| match value {
        None => Ok(()),
        Some(v) if (low..=high).contains(&v) => {
            *target = v;
            Ok(())
        }
        Some(_) => Err(format!("{name}: must be {low} to {high}")),
    };
    policy.speculation = file.speculation.unwrap_or(policy.speculation);
    seconds("speculation_period_s", file.speculation_period_s, 1.0, 3600.0, &mut policy.speculation_period)?;
    number("straggler_threshold", file.straggler_threshold, 0.0, 1e6, &mut policy.straggler_threshold)?;
    let mut cell_minimum = policy.min_cell_tasks as usize;
    whole("cell_minimum", file.cell_minimum.map(|n| n as usize), 2, 10_000, &mut cell_minimum)?;
    policy.min_cell_tasks = cell_minimum as u32;
    whole("levels", file.levels, 1, 32, &mut policy.max_levels)?;
    seconds("lead_ttl_s", file.lead_ttl_s, 0.5, 60.0, &mut policy.leader_lease)?;
    number("headroom_share", file.headroom_share, 0.0, 10.0, &mut policy.headroom_share)?;
    number("headroom_machines", file.headroom_machines, 0.0, 1000.0, &mut policy.headroom_machines)?;
    number("service_reserve", file.service_reserve, 0.0, 100.0, &mut policy.service_reserve)?;
    number("patience_share", file.patience_share, 0.0, 1.0, &mut policy.preemption_delay_share)?;
    seconds("idle_s", file.idle_s, 0.0, 86_400.0, &mut policy.idle_timeout)?;
    seconds("starved_s", file.starved_s, 1.0, 86_400.0, &mut policy.starvation_timeout)?;
    number("silent_reports", file.silent_reports, 1.5, 100.0, &mut policy.missed_report_limit)?;
    whole("max_jobs", file.max_jobs, 1, 1_000_000, &mut policy.max_jobs)?;
    whole("known_jobs", file.known_jobs, 100, 10_000_000, &mut policy.job_cache_size)?;
    whole("sample", file.sample, 1, 100_000, &mut policy.placement_sample)?;
    policy.balance = file.balance.map(BalanceSection::into_settings).transpose()?.flatten();
    policy.failover = file.failover.map(FailoverSection::into_settings).transpose()?.flatten();
    Ok(policy)
}
