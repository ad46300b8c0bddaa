//! Tests of the positions that a session has written, and of what is reported about work whose
//! answer was lost.

use rstest::rstest;

use snipehead_core::log_position::LogPosition;
use snipehead_core::session_positions::SessionPositions;
use snipehead_core::unanswered_work::UnansweredWork;

#[rstest]
#[case::read_alone(false, false, false, false, true)]
#[case::write_alone(false, true, false, true, false)]
#[case::statement_within_a_transaction(true, true, false, false, false)]
#[case::commit_after_writes(true, true, true, true, false)]
#[case::commit_after_reads(true, false, true, false, false)]
fn effect_and_retry_of_unanswered_work_follow_from_its_kind(
    #[case] is_in_transaction: bool,
    #[case] may_write: bool,
    #[case] may_end_transaction: bool,
    #[case] may_have_taken_effect: bool,
    #[case] may_be_retried: bool,
) {
    let work = UnansweredWork { is_in_transaction, may_write, may_end_transaction };
    assert_eq!(work.may_have_taken_effect(), may_have_taken_effect);
    assert_eq!(work.may_be_retried(), may_be_retried);
}

#[test]
fn a_written_position_never_moves_back() {
    let mut positions = SessionPositions::default();
    positions.record(&"dispatch".into(), LogPosition::new(2, 5));
    positions.record(&"dispatch".into(), LogPosition::new(1, 9));
    assert_eq!(positions.position("dispatch"), Some(LogPosition::new(2, 5)));
    assert_eq!(positions.position("closures"), None);
}

#[test]
fn merging_keeps_the_newest_position_of_each_service() {
    let mut first = SessionPositions::default();
    first.record(&"dispatch".into(), LogPosition::new(1, 7));
    first.record(&"closures".into(), LogPosition::new(3, 1));
    let mut second = SessionPositions::default();
    second.record(&"dispatch".into(), LogPosition::new(1, 8));
    first.merge(&second);
    assert_eq!(first.position("dispatch"), Some(LogPosition::new(1, 8)));
    assert_eq!(first.position("closures"), Some(LogPosition::new(3, 1)));
}
