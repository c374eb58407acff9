//! Settings from the platform's TOML file and the operators' YAML file.

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

/// Checked settings of a node.
pub struct Settings {
    pub facts: Facts,
    pub policy: Policy,
    pub public_addr: SocketAddr,
    pub peer_bind: SocketAddr,
    pub peers: BTreeMap<String, SocketAddr>,
    pub cloud_addr: SocketAddr,
    pub store_addr: SocketAddr,
    /// Requests per second that the state service allows, for all nodes together.
    pub store_rps: f64,
    /// Writes per second that the state service allows, for all nodes together.
    pub store_write_rps: f64,
    /// The lower of the present and the announced limits of requests and writes per second, if limits are announced.
    pub upcoming_store_rates: Option<(f64, f64)>,
    /// Requests per second that the cloud allows.
    pub cloud_rps: f64,
    /// Number of controllers, including this one.
    pub node_count: usize,
    pub sockets: SocketLimits,
    /// Memory for request bodies that are being read.
    pub max_body_bytes: usize,
}

/// Division of the platform's limit on sockets. Each machine reports over its own connection, so most sockets are for
/// inbound connections, and this node's own calls cannot take them.
#[derive(Clone, Copy)]
pub struct SocketLimits {
    /// Connections from users, workers and controllers.
    pub inbound: usize,
    /// Direct calls to workers in flight.
    pub direct_calls: usize,
    /// Idle outbound connections that are always allowed.
    pub idle: usize,
    /// Calls to the state service in flight, except leadership calls.
    pub store_calls: usize,
}

impl SocketLimits {
    /// Divides a limit on sockets. About a quarter is for outbound connections.
    fn divide(limit: usize) -> SocketLimits {
        let outbound = (limit / 4).clamp(8, limit.max(16) / 2);
        SocketLimits {
            inbound: (limit - outbound).max(8),
            direct_calls: (outbound / 3).max(1),
            idle: outbound / 3,
            store_calls: (outbound / 6).max(2),
        }
    }
}

/// Memory that is assumed if the platform does not specify it.
const DEFAULT_MEMORY_BYTES: usize = 64_000_000;
/// Unfinished jobs may take this fraction (1/8) of the memory. Connections take most of the rest.
const JOBS_MEMORY_DIVISOR: usize = 8;
/// Request bodies that are being read may take this fraction (1/10) of the memory.
const BODIES_MEMORY_DIVISOR: usize = 10;

/// The platform's file. The fields of this struct and its sections are the keys in the file.
#[derive(Deserialize)]
struct PlatformFile {
    label: String,
    /// Zone of this node.
    location: Option<String>,
    public_addr: SocketAddr,
    peer_bind: SocketAddr,
    #[serde(default)]
    others: Vec<PeerEntry>,
    outside: ServiceAddrs,
    facts: FactsSection,
}

/// Another controller.
#[derive(Deserialize)]
struct PeerEntry {
    label: String,
    /// Zone of the controller.
    location: Option<String>,
    endpoint: SocketAddr,
}

/// Addresses of the cloud and the state service.
#[derive(Deserialize)]
struct ServiceAddrs {
    cloud: SocketAddr,
    state: SocketAddr,
}

/// The platform's facts: teams, objectives, worker timing, and limits of services and of this process.
#[derive(Deserialize)]
struct FactsSection {
    #[serde(default)]
    teams: Vec<TeamEntry>,
    #[serde(default)]
    objectives: Vec<ObjectiveEntry>,
    workers: WorkersSection,
    state: StateSection,
    cloud: CloudSection,
    quota: QuotaSection,
}

/// A team's quota.
#[derive(Deserialize)]
struct TeamEntry {
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

/// Service-level objective for a class of jobs.
#[derive(Deserialize)]
struct ObjectiveEntry {
    kind: String,
    class: Option<String>,
    within_s: Option<f64>,
}

/// Timing of the workers.
#[derive(Deserialize)]
struct WorkersSection {
    /// Interval of the reports.
    report_s: f64,
    /// Duration of a worker's lease.
    lease_s: f64,
    /// Time within which the tasks of a cancelled job must have stopped.
    cancel_s: f64,
}

/// Limits of the state service.
#[derive(Deserialize)]
struct StateSection {
    rps: f64,
    write_rps: f64,
    /// Largest value in KiB.
    value_kb: f64,
    /// Operations per transaction.
    txn_ops: usize,
    /// Announced limits, which may come into force at any time.
    next: Option<UpcomingStateSection>,
}

/// Announced limits of the state service; those left out do not change.
#[derive(Deserialize)]
struct UpcomingStateSection {
    rps: Option<f64>,
    write_rps: Option<f64>,
    value_kb: Option<f64>,
    txn_ops: Option<usize>,
}

/// Smallest usable limit of a value: it must hold a job's description or a few placements.
const MIN_VALUE_KB: f64 = 1.0;
/// Smallest usable limit of the operations per transaction.
const MIN_TXN_OPS: usize = 4;

/// The lower of the present and the announced limits of the state service; the latter may come into force at any time.
/// Values and transactions respect these limits from the start, since records written before the change must still be
/// writable after it. The rates of requests and writes respect them only from the first 429 response on, since a lower
/// write rate slows the scheduler down.
struct StoreLimits {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: usize,
}

impl StoreLimits {
    /// Checks the present and the announced limits and returns the lower ones.
    fn lowest_of(state: &StateSection) -> Result<StoreLimits, String> {
        let next = state.next.as_ref();
        let lower = |name: &str, now: f64, next: Option<f64>, minimum: f64| {
            for (section, value) in [("facts.state", Some(now)), ("facts.state.next", next)] {
                if value.is_some_and(|value| !value.is_finite() || value <= 0.0 || value < minimum) {
                    let bound = if minimum > 0.0 { format!("at least {minimum}") } else { "a number above 0".into() };
                    return Err(format!("{section}.{name}: must be {bound}"));
                }
            }
            Ok(next.map_or(now, |next| now.min(next)))
        };
        let as_f64 = |ops: usize| ops as f64;
        let next_ops = next.and_then(|next| next.txn_ops).map(as_f64);
        Ok(StoreLimits {
            rps: lower("rps", state.rps, next.and_then(|next| next.rps), 0.0)?,
            write_rps: lower("write_rps", state.write_rps, next.and_then(|next| next.write_rps), 0.0)?,
            value_kb: lower("value_kb", state.value_kb, next.and_then(|next| next.value_kb), MIN_VALUE_KB)?,
            txn_ops: lower("txn_ops", as_f64(state.txn_ops), next_ops, as_f64(MIN_TXN_OPS))? as usize,
        })
    }
}

/// Limits of the cloud.
#[derive(Deserialize)]
struct CloudSection {
    rps: f64,
    /// How far the cloud's list of machines may lag behind.
    list_lag_s: f64,
}

/// Resources that this process may use.
#[derive(Deserialize)]
struct QuotaSection {
    max_sockets: usize,
    mem_mb: Option<f64>,
}

/// The operators' file. Its fields are the keys in the file; those left out keep their defaults.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct PolicyFile {
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

/// Reads and checks both files. An error is one line with the file, the field and the reason.
pub fn load(config: &Path, policy: Option<&Path>) -> Result<Settings, String> {
    let config_error = |reason: String| format!("{}: {reason}", config.display());
    let text = std::fs::read_to_string(config).map_err(|e| config_error(e.to_string()))?;
    let file: PlatformFile = toml::from_str(&text).map_err(|e| config_error(toml_reason(&text, &e)))?;
    let policy_path = policy;
    let policy = match policy {
        None => Policy::default(),
        Some(path) => {
            let policy_error = |reason: String| format!("{}: {reason}", path.display());
            let text = std::fs::read_to_string(path).map_err(|e| policy_error(e.to_string()))?;
            parse_policy(&text).map_err(policy_error)?
        }
    };
    let settings = build_settings(file, policy).map_err(config_error)?;
    if let (Some(failover), Some(path)) = (&settings.policy.failover, policy_path) {
        failover::check_names(failover, &settings.facts).map_err(|error| format!("{}: {error}", path.display()))?;
    }
    Ok(settings)
}

/// Returns the line of a TOML error, the field on that line, and the reason.
fn toml_reason(text: &str, error: &toml::de::Error) -> String {
    let reason = error.message().replace('\n', " ");
    let Some(span) = error.span() else { return reason };
    let line = text[..span.start.min(text.len())].matches('\n').count();
    let line_text = text.lines().nth(line).unwrap_or_default();
    let field = line_text.split('=').next().unwrap_or_default().trim();
    format!("line {}: {field}: {reason}", line + 1)
}

/// Checks the values of the platform's file and converts them into the settings.
fn build_settings(file: PlatformFile, policy: Policy) -> Result<Settings, String> {
    let facts = &file.facts;
    let positive_seconds = |name: &str, value: f64| match value > 0.0 && value.is_finite() {
        true => Ok(Duration::from_secs_f64(value.min(1e9))),
        false => Err(format!("{name}: must be a number above 0")),
    };
    let positive_number = |name: &str, value: f64| positive_seconds(name, value).map(|_| value);
    let limits = StoreLimits::lowest_of(&facts.state)?;
    let mut teams = BTreeMap::new();
    for team in &facts.teams {
        let amounts = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
        if amounts.iter().any(|amount| !amount.is_finite() || *amount < 0.0) {
            return Err(format!("facts.teams: {}: amounts must be 0 or more", team.name));
        }
        let quota = Team { cpus: team.cpus, cpus_max: team.cpus_max, gpus: team.gpus, gpus_max: team.gpus_max };
        if teams.insert(team.name.clone(), quota).is_some() {
            return Err(format!("facts.teams: {} is listed twice", team.name));
        }
    }
    let objectives = facts.objectives.iter().map(|entry| Objective {
        measure: entry.kind.clone(),
        class: entry.class.clone(),
        time_limit: entry.within_s.filter(|s| *s >= 0.0 && s.is_finite()).map(|s| Duration::from_secs_f64(s.min(1e9))),
    });
    let peers: BTreeMap<String, SocketAddr> =
        file.others.iter().map(|entry| (entry.label.clone(), entry.endpoint)).collect();
    if peers.contains_key(&file.label) {
        return Err("others: lists this node itself".into());
    }
    let memory_bytes = match facts.quota.mem_mb {
        None => DEFAULT_MEMORY_BYTES,
        Some(mb) => (positive_number("facts.quota.mem_mb", mb)?.min(1e6) * 1e6) as usize,
    };
    let sockets = SocketLimits::divide(facts.quota.max_sockets);
    let other_locations = file.others.iter().map(|other| (&other.label, &other.location));
    let locations = other_locations.chain([(&file.label, &file.location)]);
    let core_facts = Facts {
        label: file.label.clone(),
        peers: peers.keys().cloned().collect(),
        controller_zones: locations.filter_map(|(label, zone)| Some((label.clone(), zone.clone()?))).collect(),
        teams,
        objectives: objectives.collect(),
        report_interval: positive_seconds("facts.workers.report_s", facts.workers.report_s)?,
        worker_lease: positive_seconds("facts.workers.lease_s", facts.workers.lease_s)?,
        cancel_limit: positive_seconds("facts.workers.cancel_s", facts.workers.cancel_s)?,
        txn_ops: limits.txn_ops,
        write_rps: limits.write_rps,
        value_bytes: (limits.value_kb.min(1e6) * 1024.0) as usize,
        cloud_list_lag: positive_seconds("facts.cloud.list_lag_s", facts.cloud.list_lag_s)?,
        cloud_rps: positive_number("facts.cloud.rps", facts.cloud.rps)?,
        max_direct_calls: sockets.direct_calls,
        max_job_bytes: memory_bytes / JOBS_MEMORY_DIVISOR,
    };
    Ok(Settings {
        node_count: peers.len() + 1,
        facts: core_facts,
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
        max_body_bytes: memory_bytes / BODIES_MEMORY_DIVISOR,
    })
}

/// Parses and checks the operators' file.
fn parse_policy(text: &str) -> Result<Policy, String> {
    let file: PolicyFile = if text.trim().is_empty() {
        PolicyFile::default()
    } else {
        serde_yaml_ng::from_str(text).map_err(|e| e.to_string())?
    };
    let mut policy = Policy::default();
    let seconds = |name: &str, value: Option<f64>, min: f64, max: f64, target: &mut Duration| match value {
        None => Ok(()),
        Some(value) if (min..=max).contains(&value) => {
            *target = Duration::from_secs_f64(value);
            Ok(())
        }
        Some(_) => Err(format!("{name}: must be {min} to {max} seconds")),
    };
    let number = |name: &str, value: Option<f64>, min: f64, max: f64, target: &mut f64| match value {
        None => Ok(()),
        Some(value) if (min..=max).contains(&value) => {
            *target = value;
            Ok(())
        }
        Some(_) => Err(format!("{name}: must be {min} to {max}")),
    };
    let integer = |name: &str, value: Option<usize>, min: usize, max: usize, target: &mut usize| match value {
        None => Ok(()),
        Some(value) if (min..=max).contains(&value) => {
            *target = value;
            Ok(())
        }
        Some(_) => Err(format!("{name}: must be {min} to {max}")),
    };
    policy.speculation = file.speculation.unwrap_or(policy.speculation);
    seconds("speculation_period_s", file.speculation_period_s, 1.0, 3600.0, &mut policy.speculation_period)?;
    number("straggler_threshold", file.straggler_threshold, 0.0, 1e6, &mut policy.straggler_threshold)?;
    let mut cell_minimum = policy.min_cell_tasks as usize;
    integer("cell_minimum", file.cell_minimum.map(|n| n as usize), 2, 10_000, &mut cell_minimum)?;
    policy.min_cell_tasks = cell_minimum as u32;
    integer("levels", file.levels, 1, 32, &mut policy.max_levels)?;
    seconds("lead_ttl_s", file.lead_ttl_s, 0.5, 60.0, &mut policy.leader_lease)?;
    number("headroom_share", file.headroom_share, 0.0, 10.0, &mut policy.headroom_share)?;
    number("headroom_machines", file.headroom_machines, 0.0, 1000.0, &mut policy.headroom_machines)?;
    number("service_reserve", file.service_reserve, 0.0, 100.0, &mut policy.service_reserve)?;
    number("patience_share", file.patience_share, 0.0, 1.0, &mut policy.preemption_delay_share)?;
    seconds("idle_s", file.idle_s, 0.0, 86_400.0, &mut policy.idle_timeout)?;
    seconds("starved_s", file.starved_s, 1.0, 86_400.0, &mut policy.starvation_timeout)?;
    number("silent_reports", file.silent_reports, 1.5, 100.0, &mut policy.missed_report_limit)?;
    integer("max_jobs", file.max_jobs, 1, 1_000_000, &mut policy.max_jobs)?;
    integer("known_jobs", file.known_jobs, 100, 10_000_000, &mut policy.job_cache_size)?;
    integer("sample", file.sample, 1, 100_000, &mut policy.placement_sample)?;
    policy.balance = file.balance.map(BalanceSection::into_settings).transpose()?.flatten();
    policy.failover = file.failover.map(FailoverSection::into_settings).transpose()?.flatten();
    Ok(policy)
}
