//! Tests that the state charts are valid, and that errors in a chart are reported.

use rstest::rstest;

use snipehead::state_chart::StateChart;

#[rstest]
#[case(include_str!("../../../charts/failover.json"))]
#[case(include_str!("../../../charts/daemon_life.json"))]
fn shipped_charts_are_valid(#[case] text: &str) {
    let chart = StateChart::parse(text).expect("the chart is valid");
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
fn invalid_charts_are_reported(#[case] text: &str, #[case] rule: &str) {
    let findings = StateChart::parse(text).expect_err("the chart is invalid");
    assert!(findings.iter().any(|finding| finding.rule.contains(rule)), "{findings:?}");
}
