//! A term: the tables of a leader, empty at its start, and how they are filled from the
//! state service. Guards a takeover: until the records are read no order is given, and
//! until a machine has seen our token nothing it says proves a task absent.

mod load;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rushyoke_balance::{Balancer, OpenMoves};
use rushyoke_failover::Failover;
use rushyoke_wire::peer::Progress;

use crate::awaits::Awaited;
use crate::election::silence_allowance;
use crate::env::Env;
use crate::facts::{Facts, Policy};
use crate::failover::ControllersSeen;
use crate::fleet::{Machine, Survey};
use crate::jobs::*;
use crate::quota::Quotas;
use crate::records::Records;
use crate::rent::Renting;
use crate::speculate::Speculation;

const RETRY: Duration = Duration::from_millis(250);
const PASS_GAP: Duration = Duration::from_millis(50);
const PASS_GAP_PER_JOB: Duration = Duration::from_micros(500);
/// With tens of thousands of jobs a task would wait for the next pass for longer than for its image.
const LONGEST_PASS_GAP: Duration = Duration::from_millis(2500);
/// A tick that comes later than this shows that the processor is short.
const LATE: Duration = Duration::from_millis(50);
/// Direct calls that a tick grants at the least, and at first as a part of all at a time.
const LEAST_GRANT: usize = 2;
const FIRST_GRANT: usize = 4;
const LIVE: &str = "live/";
const LOG: &str = "log/";
const TASK: &str = "task/";

#[derive(Debug)]
enum Load {
    Jobs { after: String },
    Segments { after: String },
    Pages { after: String },
    OpenMoves { after: String },
    Failover,
    Ready,
}

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
    load: Load,
    waiting: bool,
    retry: Option<Instant>,
    watch_from: u64,
    watching: bool,
    /// When the reading of all jobs began that is under way.
    reading_since: Instant,
    /// Every cancellation that was confirmed before this moment is known: the request whose
    /// answer showed it was sent then. Renewals of the lease prove nothing of the kind, since
    /// a watch may be closed, refused, limited or hang while they succeed.
    view: Option<Instant>,
    /// When the last confirmed renewal was sent, and for how long renewals have succeeded since
    /// the view last grew; a spell without any, as in an outage, does not count.
    renewed: Instant,
    renewed_blind: Duration,
    /// What was read so far, kept until the load is complete.
    loaded_pages: Vec<(Name, u32, u64, PageRecord)>,
    loaded_segments: Vec<(u64, u64, SegmentRecord)>,
    /// Values of the record of open moves, by number.
    pub loaded_moves: Vec<(usize, OpenMoves)>,
    loaded: bool,
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
    /// Machines that have orders which should not wait for the next report; `false`, and so
    /// first, for those with services.
    pub to_call: BTreeSet<(bool, Name)>,
    /// Direct calls under way.
    pub directs: usize,
    /// New ones until the next tick, and how many each tick grants.
    allowance: usize,
    grant: usize,
    /// Something changed that may let a task start.
    pub place_due: bool,
    pub placed_at: Option<Instant>,
    next_attempt: u64,
    last_second: Option<Instant>,
    last_look: Option<Instant>,
    progress: BTreeSet<Name>,
    /// The workers seem to be out of this node's reach.
    pub cut_off: bool,
    pub survey: Survey,
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
            awaited: Awaited::default(),
            balance: crate::spread::balancer(facts, policy),
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

    pub fn begin(&mut self, env: &mut Env) {
        self.read_on(env);
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
        self.view.is_some_and(|view| now.saturating_duration_since(view) <= silence_allowance(facts))
    }

    fn view_grew(&mut self, to: Instant) {
        self.view = Some(self.view.map_or(to, |view| view.max(to)));
        self.renewed_blind = Duration::ZERO;
    }

    /// A renewal that was sent then is confirmed; true if renewals have succeeded for so long
    /// without any sign of what users cancel that another node should lead.
    pub fn lease_renewed(&mut self, sent: Instant, ttl: Duration, facts: &Facts) -> bool {
        self.renewed_blind += sent.saturating_duration_since(self.renewed).min(ttl);
        self.renewed = self.renewed.max(sent);
        self.renewed_blind > silence_allowance(facts) / 2
    }

    /// Stops all tasks of a job that is cancelled.
    pub fn stop_cancelled(&mut self, env: &mut Env, name: &Name) {
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        job.cancelled = true;
        let tasks: Vec<u32> = job.places.keys().copied().collect();
        self.moves_cancelled(name);
        for task in tasks {
            self.stop_task(env, name, task, 0.0);
        }
        self.after_change(name);
    }

    /// Looks whether a job is over.
    pub fn after_change(&mut self, name: &Name) {
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        let over = if job.cancelled { job.places.is_empty() } else { job.complete() };
        if over {
            self.records.close(name);
        }
    }

    /// Forgets a job whose end is durable.
    pub fn forget_job(&mut self, name: &Name) {
        if let Some(job) = self.jobs.remove(name) {
            self.unlink(&job);
            for page in job.pages.keys() {
                self.records.drop_key(page_key(name, *page));
            }
        }
        self.speculation.forget(name);
        if let Some(balancer) = &mut self.balance {
            balancer.job_over(name);
        }
        if let Some(failover) = &mut self.failover {
            failover.job_over(name);
        }
        self.progress.remove(name);
    }

    pub fn tick(&mut self, env: &mut Env) {
        let now = env.steady();
        if self.retry.is_some_and(|t| t <= now) {
            self.retry = None;
            if !self.ready() && !self.waiting {
                self.read_on(env);
            } else if self.ready() {
                self.watch(env);
            }
        }
        if !self.ready() {
            return;
        }
        self.allowance = self.grant;
        self.read_awaited(env);
        if self.last_look.is_none_or(|t| now.duration_since(t) >= Duration::from_millis(300)) {
            self.last_look = Some(now);
            self.check_silence(env);
        }
        if self.last_second.is_none_or(|t| now.duration_since(t) >= Duration::from_secs(1)) {
            self.last_second = Some(now);
            self.rent_tick(env);
            self.speculate_tick(env);
            self.spread_tick(env);
            self.place_due = true;
        }
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

    /// Runs at the end of every input: places, writes and orders what has become due.
    pub fn settle(&mut self, env: &mut Env) {
        if !self.ready() {
            return;
        }
        let now = env.steady();
        self.place_vacated(env);
        // A pass looks at every unfinished job, so many jobs make passes rarer.
        let gap = (PASS_GAP + PASS_GAP_PER_JOB * self.jobs.len() as u32).min(LONGEST_PASS_GAP);
        if self.place_due && self.placed_at.is_none_or(|t| now.duration_since(t) >= gap) {
            self.place_due = false;
            self.placed_at = Some(now);
            self.place_pass(env);
        }
        self.flush(env);
        self.make_calls(env);
    }
}
