//! The states of a zone and the evidence that leads from one to the next.
//!
//! ```text
//! Healthy ──MachinesOut, SampleFailed──▶ Suspect ──CallsFailed──▶ Lost ◀──MachinesOut──┐
//!    ▲ ▲─────────MachinesBack──────────────┘                       │                   │
//!    └───ProbationPassed─── Returning ◀──ReportsInTime, ControllerAnswers, NoMachines──┘
//! ```
//!
//! A loss from `Returning` is a relapse: it belongs to the same episode, and lengthens the next probation.

use std::time::{Duration, Instant};

use crate::evidence::{Evidence, ZoneView, share};
use crate::penalty::Penalty;
use crate::ramp::Ramp;
use crate::record::ZoneRecord;
use crate::settings::Settings;
use crate::state::ZoneState;

/// Machines to which calls must have failed for a verdict, if half of those out of reach are more.
const ENOUGH_CALLS: usize = 8;
/// Share of the machines that must report in time for a step of the ramp to be a good one.
const NEARLY_ALL: f64 = 0.9;
/// The share for a suspicion, divided by this, ends it.
const HYSTERESIS: f64 = 2.0;
/// A penalty below this is forgotten.
const FORGOTTEN: f64 = 0.1;

/// A change of a zone's state.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    /// The zone.
    pub zone: String,
    /// The state before.
    pub from: ZoneState,
    /// The state now.
    pub to: ZoneState,
    /// Why.
    pub evidence: Evidence,
    /// The zone's episode.
    pub episode: u64,
    /// Time since the first sign.
    pub took: Duration,
}

/// What is known beside the zone's own machines.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ZoneContext {
    /// Most of a sample of its machines did not answer.
    pub sampled_partitioned: bool,
    /// A controller in the zone answers.
    pub controller_responds: bool,
    /// What is out of reach may be judged: it is not this node that is.
    pub can_judge: bool,
}

/// A zone.
#[derive(Clone, Debug)]
pub struct Zone {
    state: ZoneState,
    since: Instant,
    episode: u64,
    lost_at: Option<Instant>,
    penalty: Penalty,
    /// When the sign that may lead to the next state was first seen.
    sign_since: Option<Instant>,
    /// Since when the zone has been out of reach enough for a verdict.
    out_since: Option<Instant>,
    ramp: Option<Ramp>,
}

impl Zone {
    /// A healthy zone.
    pub fn new(now: Instant) -> Zone {
        Zone {
            state: ZoneState::Healthy,
            since: now,
            episode: 0,
            lost_at: None,
            penalty: Penalty::default(),
            sign_since: None,
            out_since: None,
            ramp: None,
        }
    }

    /// Its state.
    pub fn state(&self) -> ZoneState {
        self.state
    }

    /// Since when it has been in this state.
    pub fn since(&self) -> Instant {
        self.since
    }

    /// How often it was evacuated.
    pub fn episode(&self) -> u64 {
        self.episode
    }

    /// When it was last lost.
    pub fn lost_at(&self) -> Option<Instant> {
        self.lost_at
    }

    /// The ramp by which it is filled, while it returns.
    pub fn ramp(&self) -> Option<&Ramp> {
        self.ramp.as_ref()
    }

    /// By how much the flap penalty lengthens probation and slows the ramp now.
    pub fn flap_factor(&self, now: Instant, settings: &Settings) -> f64 {
        self.penalty.factor(now, settings.penalty_half_life)
    }

    pub(crate) fn ramp_mut(&mut self) -> Option<&mut Ramp> {
        self.ramp.as_mut()
    }

    /// How long its probation is now.
    pub fn probation(&self, settings: &Settings) -> Duration {
        let factor = self.penalty.factor(self.lost_at.unwrap_or(self.since), settings.penalty_half_life);
        settings.probation.mul_f64(factor).min(settings.max_probation)
    }

    /// The flap penalty now.
    pub fn penalty(&self, now: Instant, settings: &Settings) -> f64 {
        self.penalty.value(now, settings.penalty_half_life)
    }

    /// Judges the zone by what is seen of it now.
    pub(crate) fn observe(
        &mut self,
        now: Instant,
        view: &ZoneView,
        around: ZoneContext,
        settings: &Settings,
    ) -> Option<(ZoneState, Evidence, Duration)> {
        if let Some(ramp) = &mut self.ramp {
            let whole = view.in_time as f64 >= view.machines as f64 * NEARLY_ALL;
            ramp.tick(now, view.cpus, view.largest_machine_cpus, whole);
        }
        let next = match self.state {
            ZoneState::Healthy => suspicion(view, around, settings).map(|evidence| (ZoneState::Suspect, evidence)),
            ZoneState::Suspect => self.verdict(now, view, around, settings),
            ZoneState::Lost => self.sign_of_return(now, view, around, settings),
            ZoneState::Returning => self.relapse_or_end(now, view, around, settings),
        };
        let (state, evidence) = next?;
        let from = self.state;
        let took = self.sign_since.map_or(Duration::ZERO, |sign| now.saturating_duration_since(sign));
        self.enter(now, state, settings);
        Some((from, evidence, took))
    }

    fn verdict(
        &mut self,
        now: Instant,
        view: &ZoneView,
        around: ZoneContext,
        settings: &Settings,
    ) -> Option<(ZoneState, Evidence)> {
        let ZoneView { machines: of, out_of_contact: out, unreachable: failed, .. } = *view;
        if view.out_of_contact_share() < settings.suspect_share / HYSTERESIS && !around.sampled_partitioned {
            return Some((ZoneState::Healthy, Evidence::MachinesBack { out, of }));
        }
        // Reports that are late alone may be a slow network: calls must have failed too.
        let called = failed >= out.div_ceil(2).min(ENOUGH_CALLS);
        let beyond_reach = out >= settings.min_machines && view.out_of_contact_share() >= settings.lost_share;
        if !(called && beyond_reach && around.can_judge) {
            self.out_since = None;
            return None;
        }
        let since = *self.out_since.get_or_insert(now);
        let confirmed = now.saturating_duration_since(since) >= settings.lost_confirmation;
        confirmed.then_some((ZoneState::Lost, Evidence::CallsFailed { failed, out }))
    }

    fn sign_of_return(
        &mut self,
        now: Instant,
        view: &ZoneView,
        around: ZoneContext,
        settings: &Settings,
    ) -> Option<(ZoneState, Evidence)> {
        let ZoneView { machines: of, in_time, .. } = *view;
        let evidence = if of > 0 {
            self.sign_since = None;
            let back = in_time > 0 && share(in_time, of) >= settings.return_share;
            back.then_some(Evidence::ReportsInTime { in_time, of })
        } else {
            let empty_since = *self.sign_since.get_or_insert(now);
            let waited = now.saturating_duration_since(empty_since) >= self.probation(settings);
            if around.controller_responds {
                Some(Evidence::ControllerAnswers)
            } else {
                waited.then_some(Evidence::NoMachines)
            }
        };
        evidence.map(|evidence| (ZoneState::Returning, evidence))
    }

    fn relapse_or_end(
        &mut self,
        now: Instant,
        view: &ZoneView,
        around: ZoneContext,
        settings: &Settings,
    ) -> Option<(ZoneState, Evidence)> {
        let ZoneView { machines: of, out_of_contact: out, in_time, .. } = *view;
        let gone = out >= settings.min_machines && view.out_of_contact_share() >= settings.suspect_share;
        if gone && share(in_time, of) < settings.return_share / HYSTERESIS && around.can_judge {
            return Some((ZoneState::Lost, Evidence::MachinesOut { out, of }));
        }
        let passed = now.saturating_duration_since(self.since) >= self.probation(settings);
        let open = self.ramp.as_ref().is_none_or(Ramp::is_open);
        let whole = view.out_of_contact_share() < settings.suspect_share / HYSTERESIS;
        (passed && open && whole).then_some((ZoneState::Healthy, Evidence::ProbationPassed))
    }

    /// Notes the first sign of what is not judged yet, so that the time that a verdict takes is known.
    pub(crate) fn note_first_sign(&mut self, now: Instant, view: &ZoneView) {
        if self.state != ZoneState::Healthy {
            return;
        }
        self.sign_since = if view.out_of_contact > 0 { self.sign_since.or(Some(now)) } else { None };
    }

    fn enter(&mut self, now: Instant, state: ZoneState, settings: &Settings) {
        let relapse = self.state == ZoneState::Returning;
        if state == ZoneState::Lost {
            // A relapse is part of the same evacuation.
            self.episode += u64::from(!relapse);
            self.penalty.add_loss(now, settings.penalty_half_life);
            self.lost_at = Some(now);
        }
        if state != ZoneState::Suspect {
            self.sign_since = None;
        }
        self.ramp = (state == ZoneState::Returning).then(|| self.new_ramp(now, settings));
        self.out_since = None;
        self.state = state;
        self.since = now;
    }

    fn new_ramp(&self, now: Instant, settings: &Settings) -> Ramp {
        Ramp::new(now, self.flap_factor(now, settings), settings)
    }

    /// Ends probation at once, as operators wish.
    pub(crate) fn end_probation(&mut self, now: Instant) {
        if self.state == ZoneState::Returning {
            (self.state, self.since, self.ramp) = (ZoneState::Healthy, now, None);
        }
    }

    /// Its durable form, if there is something to keep.
    pub(crate) fn to_record(&self, zone: &str, now: Instant, wall_ms: u64, settings: &Settings) -> Option<ZoneRecord> {
        let penalty_left = self.penalty(now, settings);
        if self.state == ZoneState::Healthy && penalty_left < FORGOTTEN {
            return None;
        }
        let ms_at = |at: Instant| wall_ms.saturating_sub(now.saturating_duration_since(at).as_millis() as u64);
        let lost_at = self.lost_at.unwrap_or(self.since);
        Some(ZoneRecord {
            zone: zone.to_owned(),
            state: self.state,
            since_ms: ms_at(self.since),
            episode: self.episode,
            lost_ms: ms_at(lost_at),
            penalty: self.penalty.value(lost_at, settings.penalty_half_life),
        })
    }

    /// A zone as an earlier leader left it. Clocks differ: what lies in the future is now.
    pub(crate) fn from_record(record: &ZoneRecord, now: Instant, wall_ms: u64, settings: &Settings) -> Zone {
        let at = |ms: u64| now.checked_sub(Duration::from_millis(wall_ms.saturating_sub(ms))).unwrap_or(now);
        let lost_at = at(record.lost_ms);
        let mut zone = Zone {
            state: record.state,
            since: at(record.since_ms),
            episode: record.episode,
            lost_at: Some(lost_at),
            penalty: Penalty::new(record.penalty, lost_at),
            ..Zone::new(now)
        };
        // How far it was filled is not recorded: the ramp begins anew.
        zone.ramp = (zone.state == ZoneState::Returning).then(|| zone.new_ramp(now, settings));
        zone
    }
}

fn suspicion(view: &ZoneView, around: ZoneContext, settings: &Settings) -> Option<Evidence> {
    let ZoneView { machines: of, out_of_contact: out, .. } = *view;
    if !around.can_judge {
        return None;
    }
    if out >= settings.min_machines && view.out_of_contact_share() >= settings.suspect_share {
        return Some(Evidence::MachinesOut { out, of });
    }
    around.sampled_partitioned.then_some(Evidence::SampleFailed)
}
