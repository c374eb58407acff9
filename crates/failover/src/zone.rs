//! The state machine of a zone: its states, and the evidence for each transition.
//!
//! ```text
//! Healthy ──MachinesOut, SampleFailed──▶ Suspect ──CallsFailed──▶ Lost ◀──MachinesOut──┐
//!    ▲ ▲─────────MachinesBack──────────────┘                       │                   │
//!    └───ProbationPassed─── Returning ◀──ReportsInTime, ControllerAnswers, NoMachines──┘
//! ```
//!
//! A loss in the state `Returning` is a relapse: it belongs to the same episode and lengthens the next probation.

use std::time::{Duration, Instant};

use crate::evidence::{Evidence, ZoneView, share};
use crate::penalty::Penalty;
use crate::ramp::Ramp;
use crate::record::ZoneRecord;
use crate::settings::Settings;
use crate::state::ZoneState;

/// Calls to half of the machines out of contact must have failed before a zone is lost, or to this many machines
/// if that is fewer.
const MAX_REQUIRED_CALL_FAILURES: usize = 8;
/// Share of the machines that must report in time before a step of the ramp may raise its rate.
const MIN_REPORTING_SHARE: f64 = 0.9;
/// A suspicion ends, and a returning zone relapses, only below the configured share divided by this factor.
const HYSTERESIS_FACTOR: f64 = 2.0;
/// A smaller penalty of a healthy zone is not recorded.
const MIN_RECORDED_PENALTY: f64 = 0.1;

/// A change of a zone's state.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    /// The zone.
    pub zone: String,
    /// The previous state.
    pub from: ZoneState,
    /// The new state.
    pub to: ZoneState,
    /// The evidence for the transition.
    pub evidence: Evidence,
    /// The zone's current episode.
    pub episode: u64,
    /// Time from the first sign of the transition until it happened.
    pub since_first_sign: Duration,
}

/// What is known about a zone besides the state of its machines.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ZoneContext {
    /// Whether most of a sample of its machines did not respond.
    pub sampled_partitioned: bool,
    /// Whether a controller in the zone responds.
    pub controller_responds: bool,
    /// Whether lost contact counts as evidence against the zone, rather than as a sign that this node is
    /// unreachable.
    pub can_judge: bool,
}

/// The state of a zone and the history that its next transitions depend on.
#[derive(Clone, Debug)]
pub struct Zone {
    state: ZoneState,
    since: Instant,
    episode: u64,
    lost_at: Option<Instant>,
    penalty: Penalty,
    /// When the first sign of the next transition was observed.
    sign_since: Option<Instant>,
    /// Since when the conditions for a loss have been met.
    loss_conditions_since: Option<Instant>,
    ramp: Option<Ramp>,
}

impl Zone {
    /// Creates a healthy zone without penalty.
    pub fn new(now: Instant) -> Zone {
        Zone {
            state: ZoneState::Healthy,
            since: now,
            episode: 0,
            lost_at: None,
            penalty: Penalty::default(),
            sign_since: None,
            loss_conditions_since: None,
            ramp: None,
        }
    }

    /// The state of the zone.
    pub fn state(&self) -> ZoneState {
        self.state
    }

    /// When the zone entered its state.
    pub fn since(&self) -> Instant {
        self.since
    }

    /// Number of evacuations of the zone.
    pub fn episode(&self) -> u64 {
        self.episode
    }

    /// When the zone was last lost.
    pub fn lost_at(&self) -> Option<Instant> {
        self.lost_at
    }

    /// The admission control of the zone while it is returning.
    pub fn ramp(&self) -> Option<&Ramp> {
        self.ramp.as_ref()
    }

    /// Factor by which the flap penalty lengthens probation and slows the ramp now.
    pub fn flap_factor(&self, now: Instant, settings: &Settings) -> f64 {
        self.penalty.factor(now, settings.penalty_half_life)
    }

    pub(crate) fn ramp_mut(&mut self) -> Option<&mut Ramp> {
        self.ramp.as_mut()
    }

    /// Length of the zone's probation after its last loss.
    pub fn probation(&self, settings: &Settings) -> Duration {
        let factor = self.penalty.factor(self.lost_at.unwrap_or(self.since), settings.penalty_half_life);
        settings.probation.mul_f64(factor).min(settings.max_probation)
    }

    /// The flap penalty now.
    pub fn penalty(&self, now: Instant, settings: &Settings) -> f64 {
        self.penalty.value(now, settings.penalty_half_life)
    }

    /// Applies an observation; returns the previous state, the evidence and the time since the first sign if the
    /// state changes.
    pub(crate) fn observe(
        &mut self,
        now: Instant,
        view: &ZoneView,
        context: ZoneContext,
        settings: &Settings,
    ) -> Option<(ZoneState, Evidence, Duration)> {
        if let Some(ramp) = &mut self.ramp {
            let mostly_reporting = view.in_time as f64 >= view.machines as f64 * MIN_REPORTING_SHARE;
            ramp.tick(now, view.cpus, view.largest_machine_cpus, mostly_reporting);
        }
        let next = match self.state {
            ZoneState::Healthy => {
                suspicion_evidence(view, context, settings).map(|evidence| (ZoneState::Suspect, evidence))
            }
            ZoneState::Suspect => self.confirm_or_clear_suspicion(now, view, context, settings),
            ZoneState::Lost => self.return_evidence(now, view, context, settings),
            ZoneState::Returning => self.relapse_or_end(now, view, context, settings),
        };
        let (state, evidence) = next?;
        let from = self.state;
        let since_first_sign = self.sign_since.map_or(Duration::ZERO, |sign| now.saturating_duration_since(sign));
        self.enter(now, state, settings);
        Some((from, evidence, since_first_sign))
    }

    /// Decides whether a suspect zone is lost or healthy again.
    fn confirm_or_clear_suspicion(
        &mut self,
        now: Instant,
        view: &ZoneView,
        context: ZoneContext,
        settings: &Settings,
    ) -> Option<(ZoneState, Evidence)> {
        let ZoneView { machines: of, out_of_contact: out, unreachable: failed, .. } = *view;
        if view.out_of_contact_share() < settings.suspect_share / HYSTERESIS_FACTOR && !context.sampled_partitioned {
            return Some((ZoneState::Healthy, Evidence::MachinesBack { out, of }));
        }
        // Late reports alone may be due to a slow network, so calls must have failed too.
        let calls_failed = failed >= out.div_ceil(2).min(MAX_REQUIRED_CALL_FAILURES);
        let share_reached = out >= settings.min_machines && view.out_of_contact_share() >= settings.lost_share;
        if !(calls_failed && share_reached && context.can_judge) {
            self.loss_conditions_since = None;
            return None;
        }
        let since = *self.loss_conditions_since.get_or_insert(now);
        let confirmed = now.saturating_duration_since(since) >= settings.lost_confirmation;
        confirmed.then_some((ZoneState::Lost, Evidence::CallsFailed { failed, out }))
    }

    /// Returns the evidence that a lost zone is reachable again.
    fn return_evidence(
        &mut self,
        now: Instant,
        view: &ZoneView,
        context: ZoneContext,
        settings: &Settings,
    ) -> Option<(ZoneState, Evidence)> {
        let ZoneView { machines: of, in_time, .. } = *view;
        let evidence = if of > 0 {
            self.sign_since = None;
            let is_back = in_time > 0 && share(in_time, of) >= settings.return_share;
            is_back.then_some(Evidence::ReportsInTime { in_time, of })
        } else {
            let empty_since = *self.sign_since.get_or_insert(now);
            let probation_passed = now.saturating_duration_since(empty_since) >= self.probation(settings);
            if context.controller_responds {
                Some(Evidence::ControllerAnswers)
            } else {
                probation_passed.then_some(Evidence::NoMachines)
            }
        };
        evidence.map(|evidence| (ZoneState::Returning, evidence))
    }

    /// Decides whether a returning zone is lost again or healthy.
    fn relapse_or_end(
        &mut self,
        now: Instant,
        view: &ZoneView,
        context: ZoneContext,
        settings: &Settings,
    ) -> Option<(ZoneState, Evidence)> {
        let ZoneView { machines: of, out_of_contact: out, in_time, .. } = *view;
        let many_out_of_contact = out >= settings.min_machines && view.out_of_contact_share() >= settings.suspect_share;
        if many_out_of_contact && share(in_time, of) < settings.return_share / HYSTERESIS_FACTOR && context.can_judge {
            return Some((ZoneState::Lost, Evidence::MachinesOut { out, of }));
        }
        let probation_passed = now.saturating_duration_since(self.since) >= self.probation(settings);
        let ramp_open = self.ramp.as_ref().is_none_or(Ramp::is_open);
        let in_contact = view.out_of_contact_share() < settings.suspect_share / HYSTERESIS_FACTOR;
        (probation_passed && ramp_open && in_contact).then_some((ZoneState::Healthy, Evidence::ProbationPassed))
    }

    /// Records the first sign of a failure, so that the time until its detection can be reported.
    pub(crate) fn note_first_sign(&mut self, now: Instant, view: &ZoneView) {
        if self.state != ZoneState::Healthy {
            return;
        }
        self.sign_since = if view.out_of_contact > 0 { self.sign_since.or(Some(now)) } else { None };
    }

    /// Enters a state and resets what belongs to the previous one.
    fn enter(&mut self, now: Instant, state: ZoneState, settings: &Settings) {
        let is_relapse = self.state == ZoneState::Returning;
        if state == ZoneState::Lost {
            // A relapse is part of the same evacuation.
            self.episode += u64::from(!is_relapse);
            self.penalty.add_loss(now, settings.penalty_half_life);
            self.lost_at = Some(now);
        }
        if state != ZoneState::Suspect {
            self.sign_since = None;
        }
        self.ramp = (state == ZoneState::Returning).then(|| self.new_ramp(now, settings));
        self.loss_conditions_since = None;
        self.state = state;
        self.since = now;
    }

    fn new_ramp(&self, now: Instant, settings: &Settings) -> Ramp {
        Ramp::new(now, self.flap_factor(now, settings), settings)
    }

    /// Ends probation at once, on request of the operators.
    pub(crate) fn end_probation(&mut self, now: Instant) {
        if self.state == ZoneState::Returning {
            (self.state, self.since, self.ramp) = (ZoneState::Healthy, now, None);
        }
    }

    /// Returns the zone's record, or `None` if it is healthy and has no significant penalty.
    pub(crate) fn to_record(&self, zone: &str, now: Instant, wall_ms: u64, settings: &Settings) -> Option<ZoneRecord> {
        let current_penalty = self.penalty(now, settings);
        if self.state == ZoneState::Healthy && current_penalty < MIN_RECORDED_PENALTY {
            return None;
        }
        let wall_ms_at = |at: Instant| wall_ms.saturating_sub(now.saturating_duration_since(at).as_millis() as u64);
        let lost_at = self.lost_at.unwrap_or(self.since);
        Some(ZoneRecord {
            zone: zone.to_owned(),
            state: self.state,
            since_ms: wall_ms_at(self.since),
            episode: self.episode,
            lost_ms: wall_ms_at(lost_at),
            penalty: self.penalty.value(lost_at, settings.penalty_half_life),
        })
    }

    /// Restores a zone from the record of an earlier leader. Since clocks differ, times in the future count as now.
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
        // The progress of the ramp is not recorded, so it begins again.
        zone.ramp = (zone.state == ZoneState::Returning).then(|| zone.new_ramp(now, settings));
        zone
    }
}

/// Returns the evidence for suspecting a healthy zone.
fn suspicion_evidence(view: &ZoneView, context: ZoneContext, settings: &Settings) -> Option<Evidence> {
    let ZoneView { machines: of, out_of_contact: out, .. } = *view;
    if !context.can_judge {
        return None;
    }
    if out >= settings.min_machines && view.out_of_contact_share() >= settings.suspect_share {
        return Some(Evidence::MachinesOut { out, of });
    }
    context.sampled_partitioned.then_some(Evidence::SampleFailed)
}
