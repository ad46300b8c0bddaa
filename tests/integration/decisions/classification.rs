//! Tests of the classification of statements, which decides where they run and which are refused.

use proptest::prelude::*;
use rstest::rstest;

use snipehead::caller::classify::classify;
use snipehead::caller::statement_class::StatementClass;

#[rstest]
#[case("SELECT 1")]
#[case("SELECT id, lower(house) FROM visits WHERE id = 3 ORDER BY id LIMIT 5")]
#[case("SELECT COUNT(*) FROM visits v JOIN houses h ON h.id = v.house")]
#[case("WITH n AS (SELECT 1) SELECT * FROM n")]
#[case("SELECT 1 UNION ALL SELECT 2")]
#[case("VALUES (1), (2)")]
fn side_effect_free_queries_are_reads(#[case] sql: &str) {
    assert_eq!(classify(sql), [StatementClass::Read]);
}

#[rstest]
#[case("SELECT nextval('s')")]
#[case("SELECT * FROM refresh_all()")]
#[case("SELECT house FROM visits FOR UPDATE")]
#[case("SELECT * FROM (SELECT id FROM visits FOR SHARE) AS v")]
#[case("SELECT * INTO copy FROM visits")]
#[case("WITH gone AS (DELETE FROM visits RETURNING id) SELECT * FROM gone")]
#[case("INSERT INTO visits VALUES (1)")]
#[case("UPDATE visits SET id = 2")]
#[case("SELECT id FROM visits WHERE id IN (SELECT bump(id) FROM visits)")]
#[case("EXPLAIN ANALYZE DELETE FROM visits")]
fn statements_with_possible_side_effects_are_writes(#[case] sql: &str) {
    assert_eq!(classify(sql), [StatementClass::Write]);
}

#[rstest]
#[case("COPY visits TO STDOUT")]
#[case("LISTEN bookings")]
#[case("CREATE TEMP TABLE t (id INT)")]
#[case("SELECT pg_advisory_lock(1)")]
#[case("SELECT pg_catalog.pg_try_advisory_lock(1)")]
#[case("SELECT set_config('a', 'b', false)")]
#[case("CALL group_promote(9, 'me')")]
#[case("SELECT group_accept_term(9, 'me')")]
#[case("CALL public.group_step_down(1)")]
#[case("PREPARE p AS SELECT 1")]
#[case("SET SESSION AUTHORIZATION postgres")]
fn session_state_and_group_control_statements_are_refused(#[case] sql: &str) {
    let classes = classify(sql);
    let is_refused = |class: &StatementClass| matches!(class, StatementClass::Refused(_));
    assert!(classes.iter().any(is_refused), "{sql}: {classes:?}");
}

/// An unrecognised statement runs on the primary. Its connection is closed afterwards, because the
/// statement may leave session state on it.
#[test]
fn unparsable_text_is_unrecognised() {
    assert_eq!(classify("SELEKT 1 FRM"), [StatementClass::Unrecognised]);
}

proptest! {
    #[test]
    fn classification_accepts_any_text(text in "\\PC{0,200}") {
        classify(&text);
    }

    #[test]
    fn writes_are_never_classified_as_reads(padding in "[ \\n\\t]{0,4}", id in any::<i64>()) {
        let statements = [
            format!("{padding}DELETE FROM visits WHERE id = {id}"),
            format!("WITH d AS{padding} (UPDATE visits SET id = {id} RETURNING id) SELECT id FROM d"),
            format!("SELECT 1;{padding}DELETE FROM visits WHERE id = {id}"),
        ];
        for sql in statements {
            let classes = classify(&sql);
            prop_assert!(classes.iter().any(|class| *class != StatementClass::Read), "{}", sql);
        }
    }
}
