//! Replacement of a primary: when it happens, and by which member.

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
