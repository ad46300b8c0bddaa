//! Tests of the decisions about usage reports, over random schedules.

use proptest::prelude::*;
use rand::Rng;
use rstest::rstest;

use crate::usage_cluster::Faults;
use crate::usage_cluster::HOSTS;
use crate::usage_cluster::SETTINGS;
use crate::usage_cluster::STEP_MS;
use crate::usage_cluster::UsageCluster;
use snipehead_core::member::MemberCommand;
use snipehead_core::name::Name;
use snipehead_core::usage::counts::UsageCounts;
use snipehead_core::usage::counts::is_counted;
use snipehead_core::usage::update::Ownership;
use snipehead_core::usage::update::WindowCounts;
use snipehead_core::usage::window_clock::TrueTime;
use snipehead_core::usage::window_clock::WindowClock;

/// Runs requests of two tenants at every service, about 40 per second each.
fn load(cluster: &mut UsageCluster) {
    for service in 0..HOSTS {
        let service: Name = format!("service-{service}").into();
        for tenant in ["families", "freight"] {
            for _ in 0..cluster.random.random_range(0..5) {
                cluster.execute(&service, &tenant.into());
            }
        }
    }
}

/// Schedules in which hosts die, freeze and are cut off, several or none believe that they own the
/// first service, clocks are wrong, the store is slow, loses answers or the record, and the platform is down.
/// The record is not lost where clocks are wrong: a node that finds none relies on the time.
fn disturb(cluster: &mut UsageCluster, has_wrong_clocks: bool) {
    cluster.faults = Faults {
        is_slow: cluster.random.random_bool(0.3),
        loses_answers: if cluster.random.random_bool(0.3) { 0.5 } else { 0.0 },
        platform_down: cluster.random.random_bool(0.2),
    };
    for host in 0..HOSTS {
        let (event, owns) = (cluster.random.random_range(0..10), cluster.random.random_bool(0.5));
        let pause_ms = cluster.random.random_range(500..8_000);
        cluster.hosts[host].believes_to_own = owns;
        cluster.hosts[host].is_cut_off = event == 0;
        let jump_ms = cluster.random.random_range(-9_000..9_000);
        cluster.hosts[host].clock_error_ms =
            if event == 3 && has_wrong_clocks { jump_ms } else { 20 };
        match event {
            1 => cluster.hosts[host].is_dead = true,
            2 => cluster.hosts[host].frozen_until_ms = cluster.now_ms + pause_ms,
            _ if cluster.hosts[host].is_dead => cluster.restart(host),
            _ => {}
        }
    }
    if !has_wrong_clocks && cluster.random.random_bool(0.05) {
        cluster.stored.record = None;
        cluster.stored.version = 0;
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against two different reports of a window, and against a wrong order of holders or
    /// tokens, whatever fails. Reports must go on once the failures are over.
    #[test]
    fn no_window_is_reported_twice_and_holders_keep_their_order(seed in any::<u64>()) {
        let mut cluster = UsageCluster::new(seed);
        let mut next_change_ms = 0;
        while cluster.now_ms < 90_000 {
            if cluster.now_ms >= next_change_ms {
                disturb(&mut cluster, seed % 2 == 0);
                next_change_ms = cluster.now_ms + cluster.random.random_range(300..7_000);
            }
            load(&mut cluster);
            let reporter = cluster.random.random_range(0..HOSTS);
            cluster.step(reporter, (reporter + 1) % HOSTS);
        }
        cluster.check();
        cluster.faults = Faults::default();
        let window = cluster.window();
        for host in 0..HOSTS {
            cluster.hosts[host].believes_to_own = host == 1;
            cluster.hosts[host].is_cut_off = false;
            cluster.hosts[host].clock_error_ms = 0;
            if cluster.hosts[host].is_dead {
                cluster.restart(host);
            }
        }
        for _ in 0..40_000 / STEP_MS {
            load(&mut cluster);
            cluster.step(1, 2);
        }
        let reported = cluster.check();
        for window in window + 2..cluster.window() - 3 {
            prop_assert!(reported.contains_key(&window), "window {window} is not reported");
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnerFault {
    Dies,
    Freezes,
    IsCutOff,
    HandsOver,
}

/// Guards against lost or doubled counts when an owner, or the reporter itself, fails or hands its
/// service over. An owner that dies loses what it counted within its last second.
#[rstest]
fn counts_survive_the_failure_of_one_owner(
    #[values(OwnerFault::Dies, OwnerFault::Freezes, OwnerFault::IsCutOff, OwnerFault::HandsOver)]
    fault: OwnerFault,
    #[values(0, 2)] failing: usize,
) {
    for seed in 0..40 {
        let mut cluster = UsageCluster::new(seed);
        let fault_at_ms = cluster.random.random_range(12_000..20_000);
        let successor = (failing + 1) % HOSTS;
        let mut reporter = 0;
        let takeover_ms = if fault == OwnerFault::HandsOver { 100 } else { 4_000 };
        while cluster.now_ms < 60_000 {
            load(&mut cluster);
            cluster.step(reporter, (reporter + 1) % HOSTS);
            let since_ms = cluster.now_ms.saturating_sub(fault_at_ms);
            if (1..=STEP_MS).contains(&since_ms) {
                match fault {
                    OwnerFault::Dies => cluster.hosts[failing].is_dead = true,
                    OwnerFault::Freezes => {
                        cluster.hosts[failing].frozen_until_ms = cluster.now_ms + 5_000;
                    }
                    OwnerFault::IsCutOff => cluster.hosts[failing].is_cut_off = true,
                    OwnerFault::HandsOver => {}
                }
            }
            if (takeover_ms + 1..=takeover_ms + STEP_MS).contains(&since_ms) {
                let service: Name = format!("service-{failing}").into();
                cluster.owners.insert(service, (successor, 99));
                if failing == 0 {
                    cluster.hosts[0].believes_to_own = false;
                    cluster.hosts[successor].believes_to_own = true;
                    reporter = successor;
                }
            }
            if since_ms > 5_000 {
                cluster.hosts[failing].is_cut_off = false;
            }
        }
        let reported = cluster.check();
        let last = cluster.window() - 3;
        for (window, executed) in cluster.executed.iter().filter(|(window, _)| **window < last) {
            let counts = reported.get(window);
            let counts = counts.unwrap_or_else(|| panic!("seed {seed}: no report of {window}"));
            for (tenant, executed) in executed {
                let difference = counts.get(tenant).copied().unwrap_or(0).abs_diff(*executed);
                // One of three services, for the time between two messages.
                let lost = if fault == OwnerFault::Dies { 60.0 } else { 0.0 };
                let allowed = *executed as f64 * 0.05 + lost;
                assert!(
                    difference as f64 <= allowed,
                    "seed {seed}, window {window}, {tenant}: {executed} and {difference} off"
                );
            }
        }
        assert!(cluster.writes <= 16, "seed {seed}: {} writes in 12 windows", cluster.writes);
    }
}

proptest! {
    /// Guards against windows that follow the clocks of hosts that jump: on a third of 24 hosts, by
    /// seconds, while some reports are lost and the reader changes.
    #[test]
    fn the_fleets_time_ignores_jumps_on_a_third_of_the_hosts(
        noise in prop::collection::vec(-30_i64..30, 24),
        jumps in prop::collection::vec(-9_000_i64..9_000, 8),
        lost in prop::collection::vec(any::<bool>(), 24),
    ) {
        let mut former = WindowClock::default();
        let mut reader = WindowClock::default();
        for at_ms in (0..20_000).step_by(1_000) {
            for (host, noise) in noise.iter().enumerate().skip(1) {
                let has_jumped = at_ms >= 8_000 && host <= jumps.len();
                let offset = 5_000 + noise + if has_jumped { jumps[host - 1] } else { 0 };
                // At most two hosts are lost for longer than their last report counts.
                if host > 2 || !lost[host] || at_ms < 8_000 {
                    former.observe(at_ms, &format!("host-{host}").into(), &[offset]);
                }
            }
            former.estimate(at_ms, Some(5_000 + noise[0]), 24);
            let Some(offset) = former.offset_ms() else {
                prop_assert!(at_ms < 2_000, "no offset at {at_ms}");
                continue;
            };
            prop_assert!(offset.abs_diff(5_000) <= 60, "{offset} at {at_ms}");
            reader.adopt(offset);
        }
        // The new reader has heard of few hosts, among them those whose clocks jumped.
        for at_ms in (20_000..26_000).step_by(500) {
            reader.observe(at_ms, &"host-1".into(), &[5_000 + jumps[0]]);
            reader.estimate(at_ms, Some(5_000 + jumps[1]), 24);
        }
        let offset = reader.offset_ms().expect("it was told the offset");
        prop_assert!(offset.abs_diff(5_000) <= 60, "{offset}");
    }
}

/// Guards against requests that are lost or doubled by a late reply, by a refusal, or because they came
/// before the fleet's time was known.
#[test]
fn requests_count_when_they_were_sent_and_once_executed() {
    let mut counts = UsageCounts::new(SETTINGS);
    let ownership = Ownership { service: "dispatch".into(), token: 3 };
    let (tenant, time): (Name, _) = ("families".into(), TrueTime { ahead_ms: 100_000 });
    for sent_at_ms in [1_000, 4_900, 5_100] {
        counts.begin(sent_at_ms);
    }
    counts.finish(1_000, &ownership, &tenant, true, None);
    counts.finish(5_100, &ownership, &tenant, false, Some(time));
    counts.settle(time);
    counts.settle(time);
    // The second request has no reply yet, so its window may still grow.
    assert_eq!(counts.complete_before(12_000, time), 20);
    counts.finish(4_900, &ownership, &tenant, true, Some(time));
    assert_eq!(counts.complete_before(12_000, time), 22);
    let changes = counts.changes(0);
    assert_eq!(changes, [WindowCounts { ownership, window: 20, counts: vec![(tenant, 2)] }]);
    assert!(counts.changes(counts.revision()).is_empty());
    assert!(!is_counted(&MemberCommand::Commit { id: "1".into() }));
    assert!(!is_counted(&MemberCommand::Reset));
}
