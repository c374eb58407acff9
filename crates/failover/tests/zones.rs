//! Zones by the evidence that is fed in: verdicts, relapses, probation, and what a new leader takes over.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rushyoke_failover::{
    Access, DrainReasons, Evidence, Failover, FailoverRecord, FleetView, MachineCounts, Name, Observation, Penalty,
    Ramp, Settings, SurveySample, TierQuery, ZoneState, ZoneView,
};
use rushyoke_wire::job::Priority;

const WALL_MS: u64 = 1_700_000_000_000;

/// Three zones of ten machines of 16 CPUs, under one clock.
struct Story {
    start: Instant,
    at: Duration,
    failover: Failover,
    fleet: FleetView,
}

fn view(out: usize, failed: usize) -> ZoneView {
    let (machines, cpus) = (10, 16.0 * (10 - out) as f64);
    let in_time = machines - out;
    let zone =
        ZoneView { machines, overdue: out, unreachable: failed, out_of_contact: out, in_time, ..ZoneView::default() };
    ZoneView { tasks_out_of_contact: out, cpus, largest_machine_cpus: 16.0, ..zone }
}

impl Story {
    fn new() -> Story {
        let zones: BTreeMap<String, ZoneView> = ["a", "b", "c"].map(|zone| (zone.to_owned(), view(0, 0))).into();
        let fleet = FleetView { zones, other_controllers: 2, responding_controllers: 2, ..FleetView::default() };
        Story { start: Instant::now(), at: Duration::ZERO, failover: Failover::new(Settings::default()), fleet }
    }

    fn now(&self) -> Instant {
        self.start + self.at
    }

    fn set(&mut self, zone: &str, out: usize, failed: usize) {
        self.fleet.zones.insert(zone.into(), view(out, failed));
    }

    /// Lets time pass; what the last look led to.
    fn pass(&mut self, ms: u64) -> Observation {
        let mut all = Observation::default();
        for _ in 0..ms.div_ceil(300) {
            self.at += Duration::from_millis(300);
            let seen = self.failover.observe(self.now(), &self.fleet);
            all.transitions.extend(seen.transitions);
            all.minority = seen.minority;
            all.finished_evacuation = all.finished_evacuation.or(seen.finished_evacuation);
        }
        all
    }

    fn state(&self, zone: &str) -> ZoneState {
        self.failover.state(zone)
    }

    fn lose(&mut self, zone: &str) {
        self.set(zone, 10, 10);
        self.pass(2100);
        assert_eq!(self.state(zone), ZoneState::Lost);
    }
}

#[test]
fn reports_that_are_late_alone_are_no_verdict_and_failed_calls_are_after_a_while() {
    let mut story = Story::new();
    story.set("b", 10, 0);
    let seen = story.pass(3000);
    assert_eq!(seen.transitions[0].evidence, Evidence::MachinesOut { out: 10, of: 10 });
    assert_eq!(story.state("b"), ZoneState::Suspect);
    story.set("b", 10, 9);
    assert!(story.pass(300).transitions.is_empty(), "judged before it was confirmed");
    let seen = story.pass(900);
    assert_eq!((seen.transitions[0].to, seen.transitions[0].episode), (ZoneState::Lost, 1));
    assert!(seen.transitions[0].took >= Duration::from_secs(3), "{:?}", seen.transitions);
    assert_eq!(story.failover.access(story.now(), "b"), Access::Closed);
}

#[test]
fn half_a_zone_stays_suspect_and_is_paused_for_a_moment_only() {
    let mut story = Story::new();
    story.set("b", 6, 6);
    story.pass(900);
    assert_eq!((story.state("b"), story.failover.access(story.now(), "b")), (ZoneState::Suspect, Access::Paused));
    story.pass(60_000);
    assert_eq!((story.state("b"), story.failover.access(story.now(), "b")), (ZoneState::Suspect, Access::Open));
    story.set("b", 2, 2);
    story.pass(300);
    assert_eq!(story.state("b"), ZoneState::Healthy);
}

#[test]
fn a_wave_that_takes_a_zones_spot_machines_is_no_loss_of_the_zone() {
    let mut story = Story::new();
    story.fleet.zones.insert("b".into(), ZoneView { ordinary: 2, ordinary_out_of_contact: 0, ..view(8, 8) });
    story.pass(6000);
    assert_eq!(story.state("b"), ZoneState::Healthy);
    story.fleet.zones.insert("b".into(), ZoneView { ordinary: 2, ordinary_out_of_contact: 2, ..view(10, 10) });
    story.pass(2100);
    assert_eq!(story.state("b"), ZoneState::Lost);
}

#[test]
fn a_node_that_seems_cut_off_judges_nothing_and_gives_way_once() {
    let mut story = Story::new();
    (story.fleet.responding_controllers, story.fleet.workers_reconnecting) = (0, true);
    story.set("a", 10, 10);
    story.set("b", 10, 10);
    assert!(!story.pass(900).minority, "workers still look for it");
    story.fleet.workers_reconnecting = false;
    assert!(story.pass(3000).minority);
    assert_eq!((story.state("a"), story.state("b")), (ZoneState::Healthy, ZoneState::Healthy));
    // No other could lead: the others are cut off.
    story.fleet.stepped_down = true;
    assert!(!story.pass(3000).minority);
    assert_eq!((story.state("a"), story.state("b")), (ZoneState::Lost, ZoneState::Lost));
}

#[test]
fn a_relapse_is_the_same_episode_and_lengthens_probation() {
    let mut story = Story::new();
    let settings = Settings::default();
    let mut probations = Vec::new();
    for _ in 0..3 {
        story.lose("b");
        story.set("b", 0, 0);
        assert_eq!(story.pass(300).transitions[0].evidence, Evidence::ReportsInTime { in_time: 10, of: 10 });
        let zone = story.failover.zone("b").expect("seen");
        assert_eq!(zone.episode(), 1);
        probations.push(zone.probation(&settings));
        story.pass(60_000);
    }
    assert!(probations[0] == settings.probation && probations[0] < probations[1] && probations[1] < probations[2]);
    story.pass(probations[2].as_millis() as u64);
    assert_eq!(story.state("b"), ZoneState::Healthy);
    story.lose("b");
    assert_eq!(story.failover.zone("b").expect("seen").episode(), 2, "a loss of a healthy zone is a new one");
}

#[test]
fn a_zone_without_machines_returns_by_its_controller_or_after_a_probation() {
    for answers in [true, false] {
        let mut story = Story::new();
        story.lose("b");
        story.fleet.zones.insert("b".into(), ZoneView::default());
        if answers {
            story.fleet.zones_with_controller.insert("b".into());
        }
        story.pass(3000);
        assert_eq!(story.state("b") == ZoneState::Returning, answers);
        story.pass(120_000);
        assert_ne!(story.state("b"), ZoneState::Lost);
    }
}

#[test]
fn a_new_leader_takes_over_state_episode_penalty_and_drained_machines_within_the_value() {
    let mut story = Story::new();
    story.lose("b");
    let name = |n: usize| Name::from(format!("n-{n:06}"));
    for n in 0..1000 {
        story
            .failover
            .record_drain(&name(n), DrainReasons { retiring: n != 7, quarantined: n == 7, straggling: false });
    }
    assert!(story.failover.has_unwritten_changes());
    let record = story.failover.to_record(story.now(), WALL_MS, 2048);
    assert!(!story.failover.has_unwritten_changes());
    let text = serde_json::to_string(&record).expect("it encodes");
    assert!(text.len() <= 2048 && record.drained.retiring.len() > 50, "{} bytes", text.len());
    let read: FailoverRecord = serde_json::from_str(&text).expect("it decodes");
    let mut next = Failover::new(Settings::default());
    next.adopt(&read, story.now() + Duration::from_secs(150), WALL_MS + 150_000);
    let now = story.now() + Duration::from_secs(150);
    let zone = next.zone("b").expect("adopted");
    assert_eq!((zone.state(), zone.episode()), (ZoneState::Lost, 1));
    assert!((zone.penalty(now, next.settings()) - 0.5).abs() < 0.01, "half of it after a half-life");
    assert!(next.recorded_drain(&name(7)).quarantined, "those that fail what they start come first");
}

#[test]
fn an_evacuation_ends_when_all_is_placed_or_after_its_time() {
    for placed in [true, false] {
        let mut story = Story::new();
        story.lose("b");
        let key = (Name::from("wk-000001"), 3);
        assert!(story.failover.is_evacuating());
        story.failover.task_displaced(&key, 1);
        story.fleet.zones.insert("b".into(), ZoneView { tasks_out_of_contact: 0, ..view(10, 10) });
        assert!(story.pass(30_000).finished_evacuation.is_none() && story.failover.is_evacuating());
        if placed {
            story.failover.task_placed(story.now(), &key);
        }
        let ended = story.pass(if placed { 300 } else { 31_000 }).finished_evacuation.expect("it is over");
        assert_eq!((ended.tiers[1].displaced, ended.tiers[1].placed), (1, u64::from(placed)));
        assert!(!story.failover.is_evacuating());
    }
}

#[test]
fn the_ramp_doubles_while_all_is_well_halves_when_starts_are_lost_and_waits_for_the_rest() {
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
    assert!(ramp.admits(16.0) && !ramp.admits(33.0), "it did not slow down");
    for n in 4..9 {
        ramp.start_confirmed();
        ramp.tick(second(n), 160.0, 16.0, true);
    }
    assert!(ramp.is_open() && ramp.admits(1e9));
}

#[test]
fn a_penalty_halves_and_a_sample_tells_zones_from_the_fleet() {
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
        sample.estimate_unresponsive(MachineCounts { all: 300, ordinary: 150 }),
        MachineCounts { all: 100, ordinary: 50 }
    );
    assert!(!sample.most_calls_failed());
}

#[test]
fn tiers_follow_operators_then_priority_and_guarantee() {
    let tier = |name: &str, class: &str| rushyoke_failover::Tier { name: name.into(), classes: vec![class.into()] };
    let settings = Settings { tiers: vec![tier("urgent", "sheets")], ..Settings::default() };
    let of = |class, priority, guaranteed| settings.tier_of(&TierQuery { class, priority, guaranteed });
    let order = [
        of("sheets", Priority::BestEffort, false),
        of("x", Priority::Production, false),
        of("x", Priority::Normal, true),
        of("x", Priority::Normal, false),
        of("x", Priority::BestEffort, true),
    ];
    assert_eq!(order, [0, 1, 2, 3, 4]);
    assert_eq!((settings.tier_name(0), settings.tier_name(4)), ("urgent", "best effort"));
}
