//! Which commits a read must include.

use rstest::rstest;

use snipehead_core::commit_history::CommitHistory;
use snipehead_core::log_position::LogPosition;

fn at(position: u64) -> LogPosition {
    LogPosition::new(1, position)
}

#[rstest]
#[case::all_within_the_bound(1_500, 100)]
#[case::older_than_the_bound(400, 110)]
#[case::none(0, 120)]
fn a_read_includes_commits_older_than_its_bound(#[case] bound_ms: u64, #[case] expected: u64) {
    let mut history = CommitHistory::new(1, at(100));
    history.acknowledge(1_000, at(110));
    history.acknowledge(1_900, at(120));
    assert_eq!(history.floor(2_000, bound_ms), at(expected));
}

#[test]
fn commits_out_of_order_do_not_lower_the_floor() {
    let mut history = CommitHistory::new(1, at(100));
    history.acknowledge(1_000, at(110));
    history.acknowledge(1_100, at(105));
    assert_eq!(history.floor(1_200, 0), at(110));
}

#[test]
fn commits_that_left_the_history_stay_within_the_floor() {
    let mut history = CommitHistory::new(1, at(0));
    for step in 0..1_000 {
        history.acknowledge(step * 100, at(step));
    }
    assert!(history.floor(99_900, 50_000) >= at(400));
    assert_eq!(history.floor(99_900, 0), at(999));
}

/// After a promotion the position of the new primary still belongs to the old term. A session whose
/// commit was rolled back by the promotion had all its later reads refused as lagging.
#[test]
fn positions_of_ended_terms_are_replaced_by_the_base() {
    let history = CommitHistory::new(2, at(85));
    assert_eq!(history.rebase(at(90)), at(85));
    assert_eq!(history.rebase(LogPosition::new(2, 91)), LogPosition::new(2, 91));
}
