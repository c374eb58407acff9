//! A term: the tables of a leader, empty at its start. What is done with them stands in the modules that use
//! them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rushyoke_balance::{Balancer, OpenMoves};
use rushyoke_failover::Failover;
use rushyoke_wire::peer::Progress;

use crate::awaits::state::Awaited;
use crate::env::Env;
use crate::facts::{Facts, Policy};
use crate::fleet::calls::CallReason;
use crate::fleet::machine::Machine;
use crate::fleet::stop_account::StopAccount;
use crate::fleet::survey::state::Survey;
use crate::jobs::*;
use crate::quota::{Quotas, Resources};
use crate::records::state::Records;
use crate::rent::renting::Renting;
use crate::speculate::statistics::Speculation;

/// A tick that comes later than this shows that the processor is short.
const LATE: Duration = Duration::from_millis(50);
/// Direct calls that a tick grants at the least, and at first as a part of all at a time.
const LEAST_GRANT: usize = 2;
const FIRST_GRANT: usize = 4;

/// How far the reading of the records has come.
#[derive(Debug)]
pub(crate) enum Load {
    Jobs { after: String },
    Segments { after: String },
    Pages { after: String },
    OpenMoves { after: String },
    Failover,
    Ready,
}

/// What is known of the other controllers.
#[derive(Clone, Debug, Default)]
pub(crate) struct ControllersSeen {
    /// How many others there are, and how many of them answer.
    pub others: usize,
    pub answering: usize,
    /// Zones from which one answers.
    pub zones: BTreeSet<String>,
    /// This node gave way lately since it seemed to be cut off, and leads again.
    pub gave_way: bool,
}

/// A leader's tables for one term.
pub(crate) struct Term {
    pub token: u64,
    pub since: Instant,
    /// From then on no earlier leader answers any worker.
    pub old_silent: Instant,
    /// Every other node has told that it leads no more.
    pub old_known: bool,
    /// When a report was last answered while the tables were not filled, and not noted there.
    pub unnoted: Option<Instant>,
    /// When a worker last reported to this node itself.
    pub visited: Instant,
    pub load: Load,
    pub waiting: bool,
    pub retry: Option<Instant>,
    pub watch_from: u64,
    pub watching: bool,
    /// When the reading of all jobs began that is under way.
    pub reading_since: Instant,
    /// Every cancellation that was confirmed before this moment is known: the request whose
    /// answer showed it was sent then. Renewals of the lease prove nothing of the kind, since
    /// a watch may be closed, refused, limited or hang while they succeed.
    pub view: Option<Instant>,
    /// When the last confirmed renewal was sent, and for how long renewals have succeeded since
    /// the view last grew; a spell without any, as in an outage, does not count.
    pub renewed: Instant,
    pub renewed_blind: Duration,
    /// What was read so far, kept until the load is complete.
    pub loaded_pages: Vec<(Name, u32, u64, PageRecord)>,
    pub loaded_segments: Vec<(u64, u64, SegmentRecord)>,
    /// Values of the record of open moves, by number.
    pub loaded_moves: Vec<(usize, OpenMoves)>,
    pub loaded: bool,
    /// The records named machines.
    pub inherited: bool,
    pub jobs: BTreeMap<Name, Job>,
    pub machines: BTreeMap<Name, Machine>,
    /// All zones that machines were ever in.
    pub zones: BTreeSet<String>,
    pub quotas: Quotas,
    pub records: Records,
    pub renting: Renting,
    pub speculation: Speculation,
    /// Machines that have orders which should not wait for the next report.
    pub to_call: BTreeSet<(CallReason, Name)>,
    /// Direct calls under way.
    pub directs: usize,
    /// New ones until the next tick, and how many each tick grants.
    pub allowance: usize,
    pub grant: usize,
    /// Something changed that may let a task start.
    pub place_due: bool,
    pub placed_at: Option<Instant>,
    pub next_attempt: u64,
    pub last_second: Option<Instant>,
    pub last_look: Option<Instant>,
    pub progress: BTreeSet<Name>,
    /// The workers seem to be out of this node's reach.
    pub cut_off: bool,
    pub survey: Survey,
    /// Stops of cancelled tasks, for the log.
    pub stops: StopAccount,
    /// Whether the last report was refused, since the right to answer had lapsed.
    pub refuses_reports: bool,
    pub awaited: Awaited,
    /// Load spreading, if it is switched on.
    pub balance: Option<Balancer>,
    /// Zone failover, if it is switched on.
    pub failover: Option<Failover>,
    /// What is known of the other controllers.
    pub controllers: ControllersSeen,
    /// Likely this node is cut off from most of the fleet, and another controller could lead.
    pub in_minority: bool,
    /// The jobs within their team's guarantee, as of the last pass.
    pub guaranteed: Arc<BTreeSet<Name>>,
    /// A task of an open move may be vacated.
    pub vacated_due: bool,
    pub summarized: Option<Instant>,
}

impl Term {
    pub fn new(token: u64, now: Instant, old_silent: Instant, facts: &Facts, policy: &Policy) -> Term {
        Term {
            token,
            since: now,
            old_silent,
            old_known: false,
            unnoted: None,
            visited: now,
            load: Load::Jobs { after: String::new() },
            waiting: false,
            retry: None,
            watch_from: 0,
            watching: false,
            reading_since: now,
            view: None,
            renewed: now,
            renewed_blind: Duration::ZERO,
            loaded_pages: Vec::new(),
            loaded_segments: Vec::new(),
            loaded_moves: Vec::new(),
            loaded: false,
            inherited: false,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            zones: BTreeSet::new(),
            quotas: Quotas::new(&facts.teams),
            records: Records::default(),
            renting: Renting::default(),
            speculation: Speculation::default(),
            to_call: BTreeSet::new(),
            directs: 0,
            allowance: (facts.orders_at_once / FIRST_GRANT).max(1),
            grant: (facts.orders_at_once / FIRST_GRANT).max(1),
            place_due: false,
            placed_at: None,
            next_attempt: 0,
            last_second: None,
            last_look: None,
            progress: BTreeSet::new(),
            cut_off: false,
            survey: Survey::default(),
            stops: StopAccount::default(),
            refuses_reports: false,
            awaited: Awaited::default(),
            balance: balancer(facts, policy),
            failover: policy.failover.clone().map(Failover::new),
            controllers: ControllersSeen::default(),
            in_minority: false,
            guaranteed: Arc::default(),
            vacated_due: false,
            summarized: None,
        }
    }

    pub fn ready(&self) -> bool {
        matches!(self.load, Load::Ready)
    }

    /// An attempt number that no other leader and no other start has.
    pub fn attempt(&mut self) -> u64 {
        self.next_attempt += 1;
        (self.token << 24) | self.next_attempt
    }

    pub fn old_leader_silent(&mut self, from: Instant) {
        self.old_known = true;
        if from < self.old_silent {
            tracing::debug!("no earlier leader acts any more");
            self.old_silent = from;
        }
    }

    pub fn note_progress(&mut self, job: &Name) {
        self.progress.insert(job.clone());
    }

    /// What changed since the last call, for the other nodes' displays.
    pub fn take_progress(&mut self) -> Vec<Progress> {
        let names: Vec<Name> = self.progress.iter().take(500).cloned().collect();
        names
            .into_iter()
            .filter_map(|name| {
                self.progress.remove(&name);
                let job = self.jobs.get(&name)?;
                Some(Progress { job: name.to_string(), done: job.done_count, running: job.running })
            })
            .collect()
    }

    /// Whether reports may be answered, as far as the view of cancellations goes. Without
    /// one none may: a worker that is answered keeps what it runs for another lease.
    pub fn sees_cancellations(&self, now: Instant, facts: &Facts) -> bool {
        self.view.is_some_and(|view| now.saturating_duration_since(view) <= facts.silence_allowance())
    }

    /// Notes when the right to answer reports lapses, and when it is there again.
    pub fn note_entitled(&mut self, now: Instant, entitled: bool) {
        if self.refuses_reports != entitled {
            return;
        }
        self.refuses_reports = !entitled;
        let view_age_ms = self.view.map(|view| now.saturating_duration_since(view).as_millis() as u64);
        let renewed_ms = now.saturating_duration_since(self.renewed).as_millis() as u64;
        let answered = if entitled { "again" } else { "no more" };
        let token = self.token;
        tracing::info!(token, view_age_ms, renewed_ms, revision = self.watch_from, "reports are answered {answered}");
    }

    /// A renewal that was sent then is confirmed; true if renewals have succeeded for so long
    /// without any sign of what users cancel that another node should lead.
    pub fn lease_renewed(&mut self, sent: Instant, ttl: Duration, facts: &Facts) -> bool {
        self.renewed_blind += sent.saturating_duration_since(self.renewed).min(ttl);
        self.renewed = self.renewed.max(sent);
        self.renewed_blind > facts.silence_allowance() / 2
    }

    /// Direct calls come in bursts, after a takeover to hundreds of machines, and each takes a
    /// connection. When ticks come late the processor is short: then fewer are begun at each, so
    /// that renewals, reports and users go on, and what is ordered goes with answers to reports.
    pub fn pace_calls(&mut self, late: Duration, env: &Env) {
        self.grant = if late > LATE { self.grant / 2 } else { self.grant + self.grant / 4 + 1 };
        self.grant = self.grant.clamp(LEAST_GRANT.min(env.facts.orders_at_once), env.facts.orders_at_once);
    }

    /// How many direct calls may be begun now.
    pub fn free_calls(&self, env: &Env) -> usize {
        self.allowance.min(env.facts.orders_at_once.saturating_sub(self.directs))
    }

    pub fn call_begun(&mut self) {
        self.directs += 1;
        self.allowance = self.allowance.saturating_sub(1);
    }

    /// Every cancellation that was confirmed before this moment is known.
    pub fn view_grew(&mut self, to: Instant) {
        self.view = Some(self.view.map_or(to, |view| view.max(to)));
        self.renewed_blind = Duration::ZERO;
    }
}

/// The balancer of a new term, if the operators switched load spreading on.
fn balancer(facts: &Facts, policy: &Policy) -> Option<Balancer> {
    let settings = policy.balance.clone()?;
    let teams = facts.teams.iter().map(|(name, team)| {
        let guarantee = Resources { cpus: team.cpus, gpus: team.gpus, memory_gb: 0.0 };
        (Name::from(name.as_str()), guarantee)
    });
    Some(Balancer::new(settings, teams))
}
