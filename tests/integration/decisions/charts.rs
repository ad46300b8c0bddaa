//! State charts are sound, and broken ones are found.

use rstest::rstest;

use snipehead::state_chart::StateChart;

#[rstest]
#[case(include_str!("../../../charts/failover.json"))]
#[case(include_str!("../../../charts/daemon_life.json"))]
fn charts_are_sound(#[case] text: &str) {
    let chart = StateChart::parse(text).expect("sound");
    assert!(!chart.transitions.is_empty());
}

#[rstest]
#[case("not json", "is not a chart")]
#[case(
    r#"{"name":"c","initial":"a","transitions":[{"from":"b","event":"e","to":"a","actions":[]}]}"#,
    "must be reachable"
)]
#[case(r#"{"name":"c","initial":"a","transitions":[{"from":"a","event":"e","to":"a","actions":[]},{"from":"a","event":"e","to":"a","actions":[]}]}"#, "must be the only transition")]
#[case(r#"{"name":"c","initial":"a","transitions":[],"more":1}"#, "is not a chart")]
fn broken_charts_are_found(#[case] text: &str, #[case] rule: &str) {
    let findings = StateChart::parse(text).expect_err("broken");
    assert!(findings.iter().any(|finding| finding.rule.contains(rule)), "{findings:?}");
}
