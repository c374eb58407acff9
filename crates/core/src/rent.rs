//! Renting and returning machines: capacity for what waits, some ahead of need, and
//! back when it stands idle. Request names never repeat, since each holds the token.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::time::{Duration, Instant};

use rushyoke_wire::cloud::{MachineType, Rental};
use rushyoke_wire::job::{JobSpec, Kind, Priority};

use crate::fleet::{Claim, Machine, TaskKey};
use crate::io::*;
use crate::jobs::{Job, Name};
use crate::node::{Env, Purpose};
use crate::place::{CLAIM_FOR, allowed};
use crate::quota::Room;
use crate::recover::Term;

/// Most machines in one rental, and in one return.
const MOST_RENTED: u32 = 50;
const MOST_RETURNED: usize = 100;
/// Share of the cloud's calls a second that go into rentals, and the least number: the rest
/// is for returns and lists.
const RENTAL_SHARE: f64 = 0.5;
const LEAST_RENTALS: f64 = 2.0;
/// A refused kind of machine is asked for again after this time.
const REFUSED_FOR: Duration = Duration::from_secs(6);
const RETRY: Duration = Duration::from_millis(1200);
/// Boot times after which a machine is no longer counted on, and given up.
const LATE_BOOT: f64 = 2.0;
const LOST_BOOT: f64 = 5.0;
/// The cloud charges a machine for at least this time.
const MIN_CHARGE: Duration = Duration::from_secs(58);
/// A task that was started is left alone for this time before it is moved: the users do
/// not count starts that are stopped sooner.
const MOVE_AFTER_S: f64 = 32.0;
/// Replicas that may be moved each second, as a share of those that run. A move takes a few
/// tenths of a second where the image is cached, so this costs them a thousandth of their time.
const MOVED_SHARE: f64 = 0.0025;
/// What a machine with replicas counts as taking to become empty.
const WITH_REPLICAS_S: f64 = 1e6;
/// Moves that may be saved up.
const MOVES_SAVED: f64 = 8.0;
/// Weight of a new job in the mean size of services.
const LEARN: f64 = 0.2;

#[derive(Clone, Debug)]
pub(crate) enum RentCall {
    Rent(Rental),
    Release(Vec<Name>),
    List,
}

/// Type, zone and whether spot.
type Market = (String, String, bool);

#[derive(Default)]
pub(crate) struct Renting {
    serial: u64,
    /// Rentals without an answer; repeated under their name until there is one.
    open: Vec<(Rental, Instant)>,
    refused: BTreeMap<Market, Instant>,
    returning: VecDeque<Name>,
    return_retry: Option<Instant>,
    return_open: bool,
    gone: VecDeque<Name>,
    gone_names: HashSet<Name>,
    listing: bool,
    listed_at: Option<Instant>,
    list_after: Option<String>,
    /// A whole list has been read.
    pub listed: bool,
    /// CPUs needed in all, over the last while.
    needs: VecDeque<(Instant, f64)>,
    /// Replicas that may be moved now.
    moves: f64,
    /// Mean CPUs of a production service, learnt from those seen.
    service_cpus: f64,
    /// Rentals that may still be sent in this round.
    calls: usize,
}

impl Renting {
    pub fn is_gone(&self, name: &Name) -> bool {
        self.gone_names.contains(name)
    }

    pub fn gone(&mut self, name: &Name, keep: usize) {
        if self.gone_names.insert(name.clone()) {
            self.gone.push_back(name.clone());
        }
        while self.gone.len() > keep {
            if let Some(oldest) = self.gone.pop_front() {
                self.gone_names.remove(&oldest);
            }
        }
    }

    pub fn release_later(&mut self, name: Name) {
        if !self.returning.contains(&name) {
            self.returning.push_back(name);
        }
    }

    pub fn saw_job(&mut self, spec: &JobSpec) {
        if spec.kind == Kind::Service && spec.priority == Priority::Production {
            let cpus = f64::from(spec.tasks) * spec.cpus;
            let weight = if self.service_cpus == 0.0 { 1.0 } else { LEARN };
            self.service_cpus += (cpus - self.service_cpus) * weight;
        }
    }

    /// CPUs on ordinary machines that stay free for services.
    pub fn service_reserve(&self, env: &Env) -> f64 {
        self.service_cpus * env.policy.service_reserve
    }
}

/// What is wanted or had of one kind, in machines of a type.
fn machines_of(room: Room, kind: &MachineType) -> f64 {
    let part = |want: f64, have: f64| {
        if want <= 0.0 {
            0.0
        } else if have > 0.0 {
            want / have
        } else {
            f64::INFINITY
        }
    };
    part(room.cpus, kind.cpus).max(part(room.gpus, kind.gpus)).max(part(room.memory_gb, kind.memory_gb))
}

impl Term {
    /// Once a second.
    pub fn rent_tick(&mut self, env: &mut Env) {
        let now = env.steady();
        self.repeat_rentals(env);
        self.list(env);
        if !env.types.is_empty() && !self.fleet_unclear(env) {
            self.rent_what_is_missing(env);
        }
        self.empty_retiring(env);
        self.return_idle(env, now);
        self.send_returns(env, now);
    }

    fn list(&mut self, env: &mut Env) {
        let now = env.steady();
        let period = (env.facts.list_lag / 2).clamp(Duration::from_secs(2), Duration::from_secs(10));
        let due = self.renting.listed_at.is_none_or(|t| now.duration_since(t) >= period);
        if due && !self.renting.listing {
            self.renting.listing = true;
            self.renting.listed_at = Some(now);
            let after = self.renting.list_after.clone();
            env.cloud(Purpose::Rent(RentCall::List), CloudOp::List { after });
        }
    }

    /// Tasks of a job that wait and that its team's limit would let run.
    fn startable(&self, job: &Job, team_left: &mut BTreeMap<String, f64>) -> f64 {
        let waiting = job.waiting();
        if waiting == 0 {
            return 0.0;
        }
        let left = team_left
            .entry(job.spec.team.clone())
            .or_insert_with(|| self.quotas.usage(&job.spec.team).map_or(0.0, |u| u.team.cpus_max - u.cpus));
        let cpus = job.spec.cpus;
        let fit = if cpus > 0.0 { (*left / cpus).max(0.0) as u32 } else { waiting };
        let tasks = f64::from(waiting.min(fit));
        *left -= tasks * cpus;
        tasks
    }

    /// Demand that has no room yet, and what must be kept free, by kind of machine.
    fn rent_what_is_missing(&mut self, env: &mut Env) {
        let now = env.steady();
        self.renting.calls = (env.facts.cloud_rps * RENTAL_SHARE).max(LEAST_RENTALS) as usize;
        let mut team_left = BTreeMap::new();
        let mut spot_need = Room::default();
        let mut firm_need = Room::default();
        let mut bound: BTreeMap<(Vec<String>, bool), Room> = BTreeMap::new();
        for job in self.jobs.values() {
            let tasks = self.startable(job, &mut team_left);
            if tasks == 0.0 {
                continue;
            }
            let need = Room::of(&job.spec).scaled(tasks);
            if let Some(zones) = self.bound_to(job) {
                bound.entry((zones, job.spec.spot)).or_default().add(need);
            } else if job.spec.spot {
                spot_need.add(need);
            } else {
                firm_need.add(need);
            }
        }
        let mut spot_free = Room::default();
        let mut firm_free = Room::default();
        let mut zone_free: BTreeMap<(String, bool), Room> = BTreeMap::new();
        let mut in_use = 0.0;
        let mut add_free = |zone: &str, spot: bool, free: Room| {
            if spot {
                spot_free.add(free)
            } else {
                firm_free.add(free)
            }
            zone_free.entry((zone.to_owned(), spot)).or_default().add(free);
        };
        for machine in self.machines.values().filter(|m| m.counts()) {
            let boot = env.type_named(&machine.kind).map_or(60.0, |k| k.boot_s);
            let late = !machine.up && now.duration_since(machine.known).as_secs_f64() > boot * LATE_BOOT;
            // One that is known from a record only has room, but how much?
            if late || machine.kind.is_empty() {
                continue;
            }
            in_use += machine.used.cpus;
            add_free(&machine.zone, machine.spot, machine.total.minus(machine.used));
        }
        // What runs on machines that are cut off will want room elsewhere when their leases end.
        for machine in self.machines.values().filter(|m| m.suspect && !m.leaving && self.parted(m)) {
            for (job, _) in &machine.places {
                let spec = &self.jobs[job].spec;
                if spec.spot { spot_need.add(Room::of(spec)) } else { firm_need.add(Room::of(spec)) }
            }
        }
        for (rental, _) in &self.renting.open {
            if let Some(kind) = env.type_named(&rental.kind) {
                let room = Room { cpus: kind.cpus, gpus: kind.gpus, memory_gb: kind.memory_gb };
                add_free(&rental.zone, rental.spot, room.scaled(f64::from(rental.count)));
            }
        }
        for ((zones, spot), need) in bound {
            let mut free = Room::default();
            for ((zone, kind), room) in &zone_free {
                if zones.contains(zone) && (spot || !kind) {
                    free.add(*room);
                }
            }
            let gap = missing(need, free);
            if !gap.is_nothing() {
                self.rent_kind(env, gap, spot, Some(&zones));
            }
            // It takes its part of what is free, wherever that is.
            if spot { spot_need.add(need.minus(gap)) } else { firm_need.add(need.minus(gap)) }
        }
        let policy = env.policy.clone();
        let largest = env.types.iter().map(|t| t.cpus).fold(0.0, f64::max);
        let headroom = (in_use * policy.headroom_share).max(policy.headroom_machines * largest);
        firm_need.cpus += self.renting.service_reserve(env);
        if !self.jobs.is_empty() {
            spot_need.cpus += headroom;
        }
        // What ordinary machines have left over serves spot work too.
        let firm_over = (firm_free.cpus - firm_need.cpus).max(0.0);
        self.retire(env, in_use + spot_need.cpus + firm_need.cpus);
        spot_need.cpus = (spot_need.cpus - firm_over).max(0.0);
        self.rent_kind(env, missing(firm_need, firm_free), false, None);
        self.rent_kind(env, missing(spot_need, spot_free), true, None);
    }

    /// Chooses machines that can be returned soon: with all others, what is in use, what
    /// waits and what is kept free would fit. `need` counts CPUs.
    fn retire(&mut self, env: &mut Env, need: f64) {
        let now = env.steady();
        let window = env.policy.idle;
        self.renting.needs.push_back((now, need));
        while self.renting.needs.front().is_some_and(|(t, _)| now.duration_since(*t) > window) {
            self.renting.needs.pop_front();
        }
        let mut have: f64 = self.machines.values().filter(|m| m.counts()).map(|m| m.total.cpus).sum();
        let mut candidates: Vec<(bool, bool, f64, Name)> = self
            .machines
            .values()
            .filter(|m| m.up && m.counts())
            .map(|m| (m.hosts_service(), m.spot, self.empty_in(now, m), m.name.clone()))
            .collect();
        // Those with replicas last, since these end with their service only; then the dearest
        // first, and of those the ones that are empty the soonest.
        candidates.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.total_cmp(&b.2)));
        // What may not use spot machines must find room on the ordinary ones that stay.
        let firm_jobs = self.jobs.values().filter(|job| !job.spec.spot);
        let firm_use: f64 = firm_jobs.map(|job| job.spec.cpus * job.places.len() as f64).sum();
        let firm_need = firm_use + self.renting.service_reserve(env);
        let firm = self.machines.values().filter(|m| m.counts() && !m.spot);
        let mut firm_have: f64 = firm.map(|m| m.total.cpus).sum();
        let mut retiring = BTreeSet::new();
        for (_, spot, _, name) in candidates {
            let cpus = self.machines[&name].total.cpus;
            if have - cpus < need {
                break;
            }
            if !spot {
                if firm_have - cpus < firm_need {
                    continue;
                }
                firm_have -= cpus;
            }
            have -= cpus;
            retiring.insert(name);
        }
        for machine in self.machines.values_mut() {
            machine.retiring = retiring.contains(&machine.name);
        }
    }

    /// Whether tasks of the job wait that its team's limit would let run.
    fn could_start(&self, job: &Job) -> bool {
        let usage = self.quotas.usage(&job.spec.team);
        job.waiting() > 0 && usage.is_some_and(|u| u.headroom(Room::of(&job.spec)) > 0)
    }

    /// Moves the tasks of a retiring machine that save their progress, and replicas, where that
    /// empties it: one machine at a time, while nothing waits and the others have the room.
    fn empty_retiring(&mut self, env: &mut Env) {
        let now = env.steady();
        if self.jobs.values().any(|job| self.could_start(job)) {
            return;
        }
        let replicas: u32 = self.machines.values().map(Machine::replicas).sum();
        let renting = &mut self.renting;
        renting.moves = (renting.moves + f64::from(replicas) * MOVED_SHARE).min(MOVES_SAVED);
        let mut free: Vec<(&Machine, Room)> = Vec::new();
        for machine in self.machines.values().filter(|m| m.usable(now) && !m.retiring && m.claim.is_none()) {
            free.push((machine, machine.total.minus(machine.used)));
        }
        // The fullest first, so that the others can be returned.
        free.sort_by(|a, b| a.1.cpus.total_cmp(&b.1.cpus));
        let mut best: Option<(f64, Vec<(TaskKey, Name)>)> = None;
        for machine in self.machines.values().filter(|m| m.retiring && !m.places.is_empty()) {
            let used = machine.used.cpus;
            let replicas = f64::from(machine.replicas());
            if replicas > self.renting.moves || best.as_ref().is_some_and(|(least, _)| used >= *least) {
                continue;
            }
            let Some(moved) = self.movable(now, machine) else { continue };
            let count = moved.len();
            let mut room = free.clone();
            let mut targets: BTreeSet<&Name> = BTreeSet::new();
            let mut plan = Vec::new();
            for key in moved {
                let job = &self.jobs[&key.0];
                let need = Room::of(&job.spec);
                let target = room.iter_mut().find(|(m, r)| {
                    let apart = job.spec.kind == Kind::Array || takes_replica(m, machine, job, &targets);
                    r.holds(need) && apart && m.has_image(&job.spec.image)
                });
                let Some((target, room)) = target else { break };
                room.sub(need);
                if job.spec.kind == Kind::Service {
                    targets.insert(&target.name);
                }
                plan.push((key, target.name.clone()));
            }
            if plan.len() == count {
                best = Some((used, plan));
            }
        }
        let Some((_, moved)) = best else { return };
        let place = &self.jobs[&moved[0].0.0].places[&moved[0].0.1];
        tracing::info!(machine = &*place.machine, tasks = moved.len(), "moving its tasks, to return it");
        for ((job, task), target) in moved {
            let spec = self.jobs[&job].spec.clone();
            if spec.kind == Kind::Service {
                self.renting.moves -= 1.0;
                let until = now + CLAIM_FOR;
                let claim = Claim { job: job.clone(), room: Room::of(&spec), until, made: true };
                self.machines.get_mut(&target).expect("a target").claim = Some(claim);
            }
            self.stop_task(env, &job, task, spec.save_s);
        }
    }

    /// The tasks to move for a machine to become empty; `None` if it would not, or if
    /// nothing needs a move.
    fn movable(&self, now: Instant, machine: &Machine) -> Option<Vec<TaskKey>> {
        let mut moved = Vec::new();
        for (name, task) in &machine.places {
            let job = &self.jobs[name];
            let place = &job.places[task];
            let ran = now.duration_since(place.running?).as_secs_f64();
            let left = job.mean_run_s - ran;
            if place.stop.is_some() {
                continue;
            }
            // One that saves but ends soon is quicker left alone.
            let saves = job.spec.checkpoint_s > 0.0 && left > MOVE_AFTER_S;
            let moves = job.spec.kind == Kind::Service || saves;
            if moves && ran > MOVE_AFTER_S {
                moved.push((name.clone(), *task));
            } else if job.spec.kind == Kind::Service || left > MOVE_AFTER_S / 2.0 {
                return None;
            }
        }
        (!moved.is_empty()).then_some(moved)
    }

    /// Seconds until a machine's tasks are expected to have ended.
    fn empty_in(&self, now: Instant, machine: &Machine) -> f64 {
        if machine.hosts_service() {
            return WITH_REPLICAS_S + machine.used.cpus;
        }
        let left = machine.places.iter().filter_map(|(name, task)| {
            let job = self.jobs.get(name)?;
            let ran = job.places.get(task)?.running.map_or(0.0, |t| now.duration_since(t).as_secs_f64());
            Some((job.mean_run_s - ran).max(1.0))
        });
        left.fold(0.0, f64::max)
    }

    /// The only zones where a job's next task may go, if not everywhere.
    fn bound_to(&self, job: &Job) -> Option<Vec<String>> {
        let zones = self.zones_for(job);
        match (&job.spec.zone, zones) {
            (Some(zone), None) => Some(vec![zone.clone()]),
            (Some(zone), Some(zones)) => Some(zones.into_iter().filter(|z| z == zone).collect()),
            (None, Some(zones)) => Some(zones.into_iter().collect()),
            (None, None) => None,
        }
    }

    /// Rents machines for `room`; spot work falls back on ordinary machines. All of it at
    /// once, as far as the cloud's calls go: in a large fleet a part each second would take
    /// minutes, while jobs wait for their first task.
    fn rent_kind(&mut self, env: &mut Env, mut room: Room, spot: bool, within: Option<&[String]>) {
        let now = env.steady();
        self.renting.refused.retain(|_, until| *until > now);
        let mut there: BTreeMap<String, u32> = BTreeMap::new();
        for machine in self.machines.values() {
            *there.entry(machine.zone.clone()).or_default() += 1;
        }
        while !room.is_nothing() && self.renting.calls > 0 {
            let mut options: Vec<(f64, f64, Market)> = Vec::new();
            for kind in env.types.iter() {
                let count = machines_of(room, kind);
                if !count.is_finite() {
                    continue;
                }
                let price = if spot { kind.spot_price.unwrap_or(f64::INFINITY) } else { kind.price };
                for zone in kind.zones.iter().filter(|z| within.is_none_or(|w| w.contains(z))) {
                    let market = (kind.name.clone(), zone.clone(), spot);
                    let busy = self.renting.refused.contains_key(&market);
                    if price.is_finite() && !busy && !self.zone_is_cut(zone) {
                        options.push((price * count, count, market));
                    }
                }
            }
            // Among equals the zone with the fewest machines, so that no zone holds all.
            let held = |market: &Market| there.get(&market.1).copied().unwrap_or(0);
            options.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| held(&a.2).cmp(&held(&b.2))));
            let Some((cost, count, (kind, zone, _))) = options.first().cloned() else {
                if spot {
                    self.rent_kind(env, room, false, within);
                }
                return;
            };
            // Spread over the zones that are as good.
            let zones = options.iter().filter(|option| option.0 <= cost).count() as u32;
            let count = (count.ceil() as u32).max(1).div_ceil(zones).min(MOST_RENTED);
            self.renting.calls -= 1;
            self.renting.serial += 1;
            let request = format!("r-{}-{}", self.token, self.renting.serial);
            tracing::info!(request, kind, zone, spot, count, "renting");
            if let Some(kind) = env.type_named(&kind) {
                let rented = Room { cpus: kind.cpus, gpus: kind.gpus, memory_gb: kind.memory_gb };
                room = missing(room, rented.scaled(f64::from(count)));
            }
            *there.entry(zone.clone()).or_default() += count;
            self.send_rental(env, Rental { request, kind, zone, spot, count });
        }
    }

    fn send_rental(&mut self, env: &mut Env, rental: Rental) {
        self.renting.open.push((rental.clone(), env.steady()));
        env.cloud(Purpose::Rent(RentCall::Rent(rental.clone())), CloudOp::Rent(rental));
    }

    fn repeat_rentals(&mut self, env: &mut Env) {
        let now = env.steady();
        let wait = Duration::from_secs(8);
        let due: Vec<Rental> =
            self.renting.open.iter().filter(|(_, at)| now.duration_since(*at) > wait).map(|(r, _)| r.clone()).collect();
        for rental in due {
            self.renting.open.retain(|(r, _)| r.request != rental.request);
            self.send_rental(env, rental);
        }
    }

    pub fn rented(&mut self, env: &mut Env, call: RentCall, outcome: Outcome<CloudAnswer>) {
        let now = env.steady();
        match (call, outcome) {
            (RentCall::Rent(rental), Outcome::Answered(CloudAnswer::Rented(names))) => {
                let asked = self.renting.open.len();
                self.renting.open.retain(|(r, _)| r.request != rental.request);
                if self.renting.open.len() == asked {
                    return; // answered before
                }
                if (names.len() as u32) < rental.count {
                    let market = (rental.kind.clone(), rental.zone.clone(), rental.spot);
                    self.renting.refused.insert(market, now + REFUSED_FOR);
                }
                tracing::info!(request = rental.request, machines = names.len(), "rented");
                self.zones.insert(rental.zone.clone());
                if let Some(kind) = env.type_named(&rental.kind).cloned() {
                    for name in names {
                        let name = Name::from(name.as_str());
                        self.machines
                            .entry(name.clone())
                            .or_insert_with(|| Machine::rented(name, &kind, &rental.zone, rental.spot, now));
                    }
                }
            }
            (RentCall::Rent(rental), Outcome::Answered(CloudAnswer::NoCapacity)) => {
                self.renting.open.retain(|(r, _)| r.request != rental.request);
                tracing::info!(kind = rental.kind, zone = rental.zone, spot = rental.spot, "no capacity");
                self.renting.refused.insert((rental.kind, rental.zone, rental.spot), now + REFUSED_FOR);
            }
            (RentCall::Rent(rental), Outcome::Answered(_) | Outcome::NotDone) => {
                self.renting.open.retain(|(r, _)| r.request != rental.request);
                self.renting.refused.insert((rental.kind, rental.zone, rental.spot), now + RETRY);
            }
            // Unanswered: it may have been carried out, so it is repeated by name.
            (RentCall::Rent(_), Outcome::Unknown) => {}
            (RentCall::Release(names), Outcome::Answered(CloudAnswer::Released)) => {
                self.renting.return_open = false;
                for name in names {
                    tracing::info!(machine = &*name, "returned");
                    self.machine_gone(env, &name);
                }
            }
            (RentCall::Release(names), outcome) => {
                self.renting.return_open = false;
                self.renting.return_retry = Some(now + RETRY);
                let unsure = matches!(outcome, Outcome::Unknown);
                for name in names {
                    // Surely not returned: it may be used again if it is heard of.
                    if let Some(machine) = self.machines.get_mut(&name).filter(|_| !unsure) {
                        machine.release_sent = None;
                        machine.leaving = machine.suspect;
                    }
                    self.renting.release_later(name);
                }
            }
            (RentCall::List, Outcome::Answered(CloudAnswer::Listing(listing))) => {
                self.renting.listing = false;
                for listed in &listing.machines {
                    self.machine_listed(env, listed);
                }
                let last = listing.machines.last().map(|m| m.id.clone());
                self.renting.list_after = last.filter(|_| listing.more);
                if self.renting.list_after.is_some() {
                    self.renting.listed_at = None;
                } else {
                    self.renting.listed = true;
                }
            }
            (RentCall::List, _) => self.renting.listing = false,
        }
    }

    fn return_idle(&mut self, env: &mut Env, now: Instant) {
        let mut lost = Vec::new();
        for machine in self.machines.values() {
            let boot = env.type_named(&machine.kind).map_or(60.0, |k| k.boot_s.max(1.0));
            let age = now.duration_since(machine.known).as_secs_f64();
            if machine.leaving {
                if machine.release_sent.is_none() {
                    lost.push(machine.name.clone());
                }
            } else if !machine.up && !machine.kind.is_empty() && age > boot * LOST_BOOT {
                tracing::info!(machine = &*machine.name, age_s = age, "never came up; given up");
                lost.push(machine.name.clone());
            } else if machine.quarantined && machine.places.is_empty() {
                lost.push(machine.name.clone());
            }
        }
        let waiting: Vec<(&Job, Option<Vec<String>>)> =
            self.jobs.values().filter(|job| self.could_start(job)).map(|job| (job, self.bound_to(job))).collect();
        let wanted = |machine: &Machine| {
            waiting.iter().any(|(job, zones)| {
                allowed(&job.spec, machine) && zones.as_ref().is_none_or(|zones| zones.contains(&machine.zone))
            })
        };
        let mut idle: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| m.up && m.counts() && m.places.is_empty() && !wanted(m))
            .filter(|m| m.retiring && now.duration_since(m.known) > MIN_CHARGE)
            .collect();
        // The dearest first.
        idle.sort_by_key(|m| m.spot);
        // Capacity takes a boot to come back, so a short lull is no reason to return any.
        let need = self.renting.needs.iter().map(|(_, n)| *n).fold(0.0, f64::max);
        let mut have: f64 = self.machines.values().filter(|m| m.counts()).map(|m| m.total.cpus).sum();
        for machine in idle {
            if have - machine.total.cpus >= need {
                have -= machine.total.cpus;
                lost.push(machine.name.clone());
            }
        }
        for name in lost {
            let machine = self.machines.get_mut(&name).expect("listed");
            machine.leaving = true;
            self.renting.release_later(name);
        }
    }

    fn send_returns(&mut self, env: &mut Env, now: Instant) {
        let renting = &mut self.renting;
        if renting.return_open || renting.returning.is_empty() || renting.return_retry.is_some_and(|t| t > now) {
            return;
        }
        // One that was heard of again stays.
        renting.returning.retain(|name| self.machines.get(name).is_none_or(|m| m.leaving));
        let count = renting.returning.len().min(MOST_RETURNED);
        let names: Vec<Name> = renting.returning.drain(..count).collect();
        if names.is_empty() {
            return;
        }
        for name in &names {
            if let Some(machine) = self.machines.get_mut(name) {
                machine.release_sent = Some(now);
            }
        }
        renting.return_open = true;
        let list = names.iter().map(|n| n.to_string()).collect();
        env.cloud(Purpose::Rent(RentCall::Release(names)), CloudOp::Release(list));
    }
}

/// Whether a machine can take a replica that is moved: in the same zone, and apart from the service's others.
fn takes_replica(target: &Machine, from: &Machine, job: &Job, taken: &BTreeSet<&Name>) -> bool {
    let key = |task| (job.id.clone(), task);
    target.zone == from.zone
        && allowed(&job.spec, target)
        && !taken.contains(&target.name)
        && target.places.range(key(0)..=key(u32::MAX)).next().is_none()
}

fn missing(need: Room, free: Room) -> Room {
    let gap = need.minus(free);
    Room { cpus: gap.cpus.max(0.0), gpus: gap.gpus.max(0.0), memory_gb: gap.memory_gb.max(0.0) }
}
