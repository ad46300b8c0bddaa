//! What a session has written, and what it may be told of work whose answer is lost.

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
fn lost_work_is_kept_only_if_it_can_have_committed(
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
fn a_floor_never_falls() {
    let mut floors = SessionPositions::default();
    floors.record(&"dispatch".into(), LogPosition::new(2, 5));
    floors.record(&"dispatch".into(), LogPosition::new(1, 9));
    assert_eq!(floors.position("dispatch"), Some(LogPosition::new(2, 5)));
    assert_eq!(floors.position("closures"), None);
}

#[test]
fn a_session_keeps_what_two_connections_wrote() {
    let mut here = SessionPositions::default();
    here.record(&"dispatch".into(), LogPosition::new(1, 7));
    here.record(&"closures".into(), LogPosition::new(3, 1));
    let mut there = SessionPositions::default();
    there.record(&"dispatch".into(), LogPosition::new(1, 8));
    here.merge(&there);
    assert_eq!(here.position("dispatch"), Some(LogPosition::new(1, 8)));
    assert_eq!(here.position("closures"), Some(LogPosition::new(3, 1)));
}
