//! Replacement of a primary: when it happens, and by which member.

use proptest::prelude::*;
use rstest::rstest;

use snipehead_core::failover::Decision;
use snipehead_core::failover::MemberView;
use snipehead_core::failover::decide;
use snipehead_core::log_position::LogPosition;
use snipehead_core::member::MemberKey;
use snipehead_core::member::MemberStatus;

fn key(id: &str) -> MemberKey {
    MemberKey { id: id.into(), incarnation: 1 }
}

fn member(id: &str, is_primary: bool, term: u64, position: u64) -> MemberView {
    let position = LogPosition::new(term, position);
    MemberView {
        key: key(id),
        must_leave: false,
        failing_since_ms: None,
        is_refused: false,
        status: Some(MemberStatus { is_primary, term, position }),
        position,
        position_at_ms: 10_000,
        is_unpromotable: false,
    }
}

fn group() -> Vec<MemberView> {
    vec![member("m1", true, 3, 50), member("m2", false, 3, 48), member("m3", false, 3, 49)]
}

#[test]
fn a_healthy_primary_stays() {
    assert_eq!(decide(10_000, Some(&key("m1")), 0, 0, &group()), Decision::Keep);
}

#[test]
fn a_new_owner_adopts_the_member_that_leads_the_newest_term() {
    let mut group = group();
    group[0].status =
        Some(MemberStatus { is_primary: true, term: 2, position: LogPosition::new(2, 90) });
    group[1] = member("m2", true, 3, 60);
    assert_eq!(decide(10_000, None, 9_900, 0, &group), Decision::Adopt(key("m2")));
}

#[rstest]
#[case::silent_for_a_moment(false, 400, Decision::Keep)]
#[case::silent(false, 800, Decision::Replace(key("m3")))]
#[case::refused_for_a_moment(true, 200, Decision::Keep)]
#[case::refused(true, 400, Decision::Replace(key("m3")))]
fn a_failing_primary_is_replaced_by_the_newest_log(
    #[case] is_refused: bool,
    #[case] failing_for_ms: u64,
    #[case] expected: Decision,
) {
    let mut group = group();
    group[0].failing_since_ms = Some(10_000 - failing_for_ms);
    group[0].is_refused = is_refused;
    assert_eq!(decide(10_000, Some(&key("m1")), 10_000, 0, &group), expected);
}

#[test]
fn a_primary_that_must_leave_is_moved_to_a_member_that_may_stay() {
    let mut group = group();
    group[0].must_leave = true;
    group[2].must_leave = true;
    assert_eq!(decide(10_000, Some(&key("m1")), 0, 0, &group), Decision::Move(key("m2")));
}

#[test]
fn a_member_that_does_not_answer_is_no_successor() {
    let mut group = group();
    group[0].failing_since_ms = Some(0);
    group[2].failing_since_ms = Some(0);
    assert_eq!(decide(10_000, Some(&key("m1")), 0, 0, &group), Decision::Replace(key("m2")));
}

#[test]
fn no_member_is_promoted_if_all_others_must_leave() {
    let mut group = group();
    group[0].failing_since_ms = Some(0);
    group[1].must_leave = true;
    group[2].must_leave = true;
    assert_eq!(decide(10_000, Some(&key("m1")), 0, 0, &group), Decision::Keep);
}

#[test]
fn a_primary_of_an_ended_term_is_not_used() {
    let mut group = group();
    group[1] = member("m2", false, 4, 50);
    assert_eq!(decide(10_000, None, 9_900, 0, &group), Decision::Keep);
}

/// A primary that had been cut off and replaced was used again in its old term after its successor
/// had failed.
#[test]
fn a_former_primary_is_not_adopted_in_the_term_that_it_lost() {
    let group = vec![member("m1", true, 1, 50), member("m3", false, 1, 49)];
    assert_eq!(decide(10_000, None, 9_900, 2, &group), Decision::Keep);
    assert_eq!(decide(10_000, None, 9_000, 2, &group), Decision::Replace(key("m1")));
}

/// The primary of an ended term was promoted by a status of long ago, although another member followed
/// the newest term.
#[test]
fn a_member_that_follows_the_newest_term_is_preferred_to_a_longer_log() {
    let mut group = vec![member("m1", true, 1, 90), member("m2", false, 1, 50)];
    group[1].status =
        Some(MemberStatus { is_primary: false, term: 2, position: LogPosition::new(1, 50) });
    assert_eq!(decide(10_000, None, 9_000, 2, &group), Decision::Replace(key("m2")));
}

#[test]
fn members_are_probed_before_a_choice_by_old_reports() {
    let mut group = group();
    group[0].failing_since_ms = Some(9_000);
    group[1].position_at_ms = 8_999;
    assert_eq!(decide(10_000, Some(&key("m1")), 10_000, 0, &group), Decision::Probe);
    group[1].position_at_ms = 9_000;
    assert_eq!(decide(10_000, Some(&key("m1")), 10_000, 0, &group), Decision::Replace(key("m3")));
}

proptest! {
    /// Guards against a choice by reports from before the primary failed: with reports of any age,
    /// the member that is chosen has the newest log of those that answer.
    #[test]
    fn the_chosen_successor_has_the_newest_log(
        logs in prop::collection::vec((1_u64..4, 0_u64..50), 3),
        old_logs in prop::collection::vec((0_u64..50, 0_u64..12_000, any::<bool>()), 3),
        failing_since_ms in 5_000_u64..9_000,
    ) {
        // What the owner was told earlier; it cannot be newer than the log that the member has.
        let mut views: Vec<MemberView> = Vec::new();
        for (number, ((term, position), (lag, told_at_ms, answers))) in
            logs.iter().zip(&old_logs).enumerate()
        {
            let is_current = *told_at_ms >= failing_since_ms;
            let told = match is_current {
                true => (*term, *position),
                false => (term - u64::from(lag % 2 == 0 && *term > 1), position.saturating_sub(*lag)),
            };
            let mut view = member(&format!("m{number}"), false, told.0, told.1);
            view.position_at_ms = *told_at_ms;
            view.failing_since_ms = (!answers).then_some(failing_since_ms);
            views.push(view);
        }
        let mut primary = member("p", true, 1, 0);
        primary.failing_since_ms = Some(failing_since_ms);
        views.push(primary);
        let known = key("p");
        let mut decision = decide(10_000, Some(&known), 10_000, 0, &views);
        if decision == Decision::Probe {
            for (view, (term, position)) in views.iter_mut().zip(&logs) {
                if view.failing_since_ms.is_none() {
                    let MemberView { key, .. } = view;
                    *view = member(&key.id, false, *term, *position);
                }
            }
            decision = decide(10_000, Some(&known), 10_000, 0, &views);
        }
        let answering = (0..logs.len()).filter(|number| old_logs[*number].2);
        let newest = answering.map(|number| logs[number]).max();
        match decision {
            Decision::Replace(chosen) => {
                let number: usize = chosen.id[1..].parse().expect("a number");
                prop_assert_eq!(Some(logs[number]), newest);
            }
            Decision::Keep => prop_assert_eq!(newest, None),
            other => prop_assert!(false, "{:?}", other),
        }
    }
}
