//! Tests of the states of zones after given observations: losses, relapses, probation, and the state that a new
//! leader takes over.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rushyoke_failover::{
    Access, DrainReasons, Evidence, Failover, FailoverRecord, FleetView, MachineCounts, Name, Observation, Penalty,
    Ramp, Settings, SurveySample, TierQuery, ZoneState, ZoneView,
};
use rushyoke_wire::job::Priority;

const WALL_MS: u64 = 1_700_000_000_000;

/// Three zones of ten machines with 16 CPUs each, and a simulated clock.
struct Scenario {
    start: Instant,
    elapsed: Duration,
    failover: Failover,
    fleet: FleetView,
}

/// Returns the view of a zone of ten machines. `out_of_contact` of them are out of contact, and direct calls to
/// `unreachable` of them fail.
fn zone_view(out_of_contact: usize, unreachable: usize) -> ZoneView {
    let (machines, cpus) = (10, 16.0 * (10 - out_of_contact) as f64);
    let in_time = machines - out_of_contact;
    let zone =
        ZoneView { machines, overdue: out_of_contact, unreachable, out_of_contact, in_time, ..ZoneView::default() };
    ZoneView { tasks_out_of_contact: out_of_contact, cpus, largest_machine_cpus: 16.0, ..zone }
}

impl Scenario {
    fn new() -> Scenario {
        let zones: BTreeMap<String, ZoneView> = ["a", "b", "c"].map(|zone| (zone.to_owned(), zone_view(0, 0))).into();
        let fleet = FleetView { zones, other_controllers: 2, responding_controllers: 2, ..FleetView::default() };
        Scenario { start: Instant::now(), elapsed: Duration::ZERO, failover: Failover::new(Settings::default()), fleet }
    }

    fn now(&self) -> Instant {
        self.start + self.elapsed
    }

    fn set_zone(&mut self, zone: &str, out_of_contact: usize, unreachable: usize) {
        self.fleet.zones.insert(zone.into(), zone_view(out_of_contact, unreachable));
    }

    /// Advances the clock with an observation every 300 ms; returns their combined results.
    fn advance(&mut self, ms: u64) -> Observation {
        let mut combined = Observation::default();
        for _ in 0..ms.div_ceil(300) {
            self.elapsed += Duration::from_millis(300);
            let observation = self.failover.observe(self.now(), &self.fleet);
            combined.transitions.extend(observation.transitions);
            combined.minority = observation.minority;
            combined.finished_evacuation = combined.finished_evacuation.or(observation.finished_evacuation);
        }
        combined
    }

    fn state(&self, zone: &str) -> ZoneState {
        self.failover.state(zone)
    }

    /// Brings a healthy or returning zone into the state `Lost`.
    fn lose(&mut self, zone: &str) {
        self.set_zone(zone, 10, 10);
        self.advance(2100);
        assert_eq!(self.state(zone), ZoneState::Lost);
    }
}

#[test]
fn late_reports_make_a_zone_suspect_and_failed_calls_make_it_lost_after_a_while() {
    let mut scenario = Scenario::new();
    scenario.set_zone("b", 10, 0);
    let observation = scenario.advance(3000);
    assert_eq!(observation.transitions[0].evidence, Evidence::MachinesOut { out: 10, of: 10 });
    assert_eq!(scenario.state("b"), ZoneState::Suspect);
    scenario.set_zone("b", 10, 9);
    assert!(scenario.advance(300).transitions.is_empty(), "lost before the confirmation time");
    let observation = scenario.advance(900);
    assert_eq!((observation.transitions[0].to, observation.transitions[0].episode), (ZoneState::Lost, 1));
    assert!(observation.transitions[0].since_first_sign >= Duration::from_secs(3), "{:?}", observation.transitions);
    assert_eq!(scenario.failover.access(scenario.now(), "b"), Access::Closed);
}

#[test]
fn a_half_failed_zone_stays_suspect_and_is_paused_briefly() {
    let mut scenario = Scenario::new();
    scenario.set_zone("b", 6, 6);
    scenario.advance(900);
    assert_eq!(
        (scenario.state("b"), scenario.failover.access(scenario.now(), "b")),
        (ZoneState::Suspect, Access::Paused)
    );
    scenario.advance(60_000);
    assert_eq!(
        (scenario.state("b"), scenario.failover.access(scenario.now(), "b")),
        (ZoneState::Suspect, Access::Open)
    );
    scenario.set_zone("b", 2, 2);
    scenario.advance(300);
    assert_eq!(scenario.state("b"), ZoneState::Healthy);
}

#[test]
fn reclaimed_spot_machines_do_not_make_their_zone_lost() {
    let mut scenario = Scenario::new();
    scenario.fleet.zones.insert("b".into(), ZoneView { on_demand: 2, on_demand_out_of_contact: 0, ..zone_view(8, 8) });
    scenario.advance(6000);
    assert_eq!(scenario.state("b"), ZoneState::Healthy);
    scenario
        .fleet
        .zones
        .insert("b".into(), ZoneView { on_demand: 2, on_demand_out_of_contact: 2, ..zone_view(10, 10) });
    scenario.advance(2100);
    assert_eq!(scenario.state("b"), ZoneState::Lost);
}

#[test]
fn a_partitioned_node_judges_no_zone_and_steps_down_once() {
    let mut scenario = Scenario::new();
    (scenario.fleet.responding_controllers, scenario.fleet.workers_reconnecting) = (0, true);
    scenario.set_zone("a", 10, 10);
    scenario.set_zone("b", 10, 10);
    assert!(!scenario.advance(900).minority, "workers are still looking for this leader");
    scenario.fleet.workers_reconnecting = false;
    assert!(scenario.advance(3000).minority);
    assert_eq!((scenario.state("a"), scenario.state("b")), (ZoneState::Healthy, ZoneState::Healthy));
    // It leads again, since the other controllers are partitioned.
    scenario.fleet.stepped_down = true;
    assert!(!scenario.advance(3000).minority);
    assert_eq!((scenario.state("a"), scenario.state("b")), (ZoneState::Lost, ZoneState::Lost));
}

#[test]
fn a_relapse_belongs_to_the_same_episode_and_lengthens_probation() {
    let mut scenario = Scenario::new();
    let settings = Settings::default();
    let mut probations = Vec::new();
    for _ in 0..3 {
        scenario.lose("b");
        scenario.set_zone("b", 0, 0);
        assert_eq!(scenario.advance(300).transitions[0].evidence, Evidence::ReportsInTime { in_time: 10, of: 10 });
        let zone = scenario.failover.zone("b").expect("observed");
        assert_eq!(zone.episode(), 1);
        probations.push(zone.probation(&settings));
        scenario.advance(60_000);
    }
    assert!(probations[0] == settings.probation && probations[0] < probations[1] && probations[1] < probations[2]);
    scenario.advance(probations[2].as_millis() as u64);
    assert_eq!(scenario.state("b"), ZoneState::Healthy);
    scenario.lose("b");
    assert_eq!(
        scenario.failover.zone("b").expect("observed").episode(),
        2,
        "the loss of a healthy zone begins a new episode"
    );
}

#[test]
fn a_zone_without_machines_returns_when_its_controller_responds_or_after_a_probation() {
    for responds in [true, false] {
        let mut scenario = Scenario::new();
        scenario.lose("b");
        scenario.fleet.zones.insert("b".into(), ZoneView::default());
        if responds {
            scenario.fleet.zones_with_controller.insert("b".into());
        }
        scenario.advance(3000);
        assert_eq!(scenario.state("b") == ZoneState::Returning, responds);
        scenario.advance(120_000);
        assert_ne!(scenario.state("b"), ZoneState::Lost);
    }
}

#[test]
fn a_new_leader_takes_over_states_penalties_and_as_many_drained_machines_as_fit_into_the_record() {
    let mut scenario = Scenario::new();
    scenario.lose("b");
    let name = |n: usize| Name::from(format!("n-{n:06}"));
    for n in 0..1000 {
        scenario
            .failover
            .record_drain(&name(n), DrainReasons { retiring: n != 7, quarantined: n == 7, straggling: false });
    }
    assert!(scenario.failover.has_unwritten_changes());
    let record = scenario.failover.to_record(scenario.now(), WALL_MS, 2048);
    assert!(!scenario.failover.has_unwritten_changes());
    let text = serde_json::to_string(&record).expect("it encodes");
    assert!(text.len() <= 2048 && record.drained.retiring.len() > 50, "{} bytes", text.len());
    let decoded: FailoverRecord = serde_json::from_str(&text).expect("it decodes");
    let mut next_leader = Failover::new(Settings::default());
    next_leader.adopt(&decoded, scenario.now() + Duration::from_secs(150), WALL_MS + 150_000);
    let now = scenario.now() + Duration::from_secs(150);
    let zone = next_leader.zone("b").expect("adopted");
    assert_eq!((zone.state(), zone.episode()), (ZoneState::Lost, 1));
    assert!((zone.penalty(now, next_leader.settings()) - 0.5).abs() < 0.01, "the penalty halves after a half-life");
    assert!(next_leader.recorded_drain(&name(7)).quarantined, "quarantined machines come first");
}

#[test]
fn an_evacuation_ends_when_all_tasks_are_placed_or_after_its_time_limit() {
    for placed in [true, false] {
        let mut scenario = Scenario::new();
        scenario.lose("b");
        let key = (Name::from("wk-000001"), 3);
        assert!(scenario.failover.is_evacuating());
        scenario.failover.task_displaced(&key, 1);
        scenario.fleet.zones.insert("b".into(), ZoneView { tasks_out_of_contact: 0, ..zone_view(10, 10) });
        assert!(scenario.advance(30_000).finished_evacuation.is_none() && scenario.failover.is_evacuating());
        if placed {
            scenario.failover.task_placed(scenario.now(), &key);
        }
        let ended =
            scenario.advance(if placed { 300 } else { 31_000 }).finished_evacuation.expect("the evacuation has ended");
        assert_eq!((ended.tiers[1].displaced, ended.tiers[1].placed), (1, u64::from(placed)));
        assert!(!scenario.failover.is_evacuating());
    }
}

#[test]
fn the_ramp_doubles_on_success_halves_on_lost_starts_and_waits_for_missing_reports() {
    let (start, settings) = (Instant::now(), Settings::default());
    let second = |n: u64| start + Duration::from_secs(n);
    let mut ramp = Ramp::new(start, 1.0, &settings);
    assert!(!ramp.admits(1.0));
    ramp.tick(second(1), 160.0, 16.0, true);
    assert!(ramp.admits(16.0) && !ramp.admits(17.0));
    ramp.consume(16.0);
    ramp.tick(second(2), 160.0, 16.0, false);
    ramp.consume(32.0);
    ramp.start_lost();
    ramp.tick(second(3), 160.0, 16.0, true);
    assert!(ramp.admits(16.0) && !ramp.admits(33.0), "the rate did not fall");
    for n in 4..9 {
        ramp.start_confirmed();
        ramp.tick(second(n), 160.0, 16.0, true);
    }
    assert!(ramp.is_open() && ramp.admits(1e9));
}

#[test]
fn a_penalty_halves_and_a_sample_distinguishes_a_partitioned_zone_from_the_fleet() {
    let (now, half_life) = (Instant::now(), Duration::from_secs(100));
    let mut penalty = Penalty::default();
    penalty.add_loss(now, half_life);
    penalty.add_loss(now + half_life, half_life);
    assert!((penalty.value(now + half_life, half_life) - 1.5).abs() < 1e-9);
    let mut sample = SurveySample::default();
    for n in 0..30 {
        let zone = ["a", "b", "c"][n % 3];
        sample.add_result(zone, n % 2 == 0, zone == "b", zone == "b");
    }
    assert_eq!(sample.partitioned_zones().into_iter().collect::<Vec<_>>(), ["b"]);
    assert_eq!(
        sample.estimate_unresponsive(MachineCounts { all: 300, on_demand: 150 }),
        MachineCounts { all: 100, on_demand: 50 }
    );
    assert!(!sample.most_calls_failed());
}

#[test]
fn tiers_follow_the_settings_first_and_then_priority_and_guarantee() {
    let tier = |name: &str, class: &str| rushyoke_failover::Tier { name: name.into(), classes: vec![class.into()] };
    let settings = Settings { tiers: vec![tier("urgent", "sheets")], ..Settings::default() };
    let tier_of = |class, priority, guaranteed| settings.tier_of(&TierQuery { class, priority, guaranteed });
    let order = [
        tier_of("sheets", Priority::BestEffort, false),
        tier_of("x", Priority::Production, false),
        tier_of("x", Priority::Normal, true),
        tier_of("x", Priority::Normal, false),
        tier_of("x", Priority::BestEffort, true),
    ];
    assert_eq!(order, [0, 1, 2, 3, 4]);
    assert_eq!((settings.tier_name(0), settings.tier_name(4)), ("urgent", "best effort"));
}
