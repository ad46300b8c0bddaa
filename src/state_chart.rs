//! State charts: state machines that are defined in JSON and interpreted.

use std::collections::BTreeSet;

use serde::Deserialize;

use crate::fleet::finding::Finding;

/// A transition from one state to another.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Transition {
    /// State in which the event triggers the transition.
    pub from: String,
    /// Event that triggers the transition.
    pub event: String,
    /// State after the transition.
    pub to: String,
    /// Actions to carry out, in order.
    pub actions: Vec<String>,
}

/// A state chart: its initial state and its transitions.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateChart {
    /// Name of the chart.
    pub name: String,
    /// Initial state.
    pub initial: String,
    /// Transitions.
    pub transitions: Vec<Transition>,
}

impl StateChart {
    /// Parses and checks a chart.
    ///
    /// # Errors
    ///
    /// Returns all findings: invalid JSON, duplicate transitions and unreachable states.
    pub fn parse(text: &str) -> Result<Self, Vec<Finding>> {
        let chart: Self = serde_json::from_str(text)
            .map_err(|error| vec![Finding::new("/", "text", format!("is not a chart: {error}"))])?;
        let findings = chart.check();
        match findings.is_empty() {
            true => Ok(chart),
            false => Err(findings),
        }
    }

    fn check(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        let mut seen = BTreeSet::new();
        let reachable = self.reachable();
        for (index, transition) in self.transitions.iter().enumerate() {
            let path = format!("/transitions/{index}");
            if !seen.insert((&transition.from, &transition.event)) {
                let rule = "must be the only transition for its state and event";
                findings.push(Finding::new(
                    &path,
                    format!("{}/{}", transition.from, transition.event),
                    rule,
                ));
            }
            if !reachable.contains(transition.from.as_str()) {
                let rule = "must be reachable from the initial state";
                findings.push(Finding::new(&format!("{path}/from"), &transition.from, rule));
            }
        }
        findings
    }

    fn reachable(&self) -> BTreeSet<&str> {
        let mut reachable = BTreeSet::from([self.initial.as_str()]);
        loop {
            let next: Vec<&str> = self
                .transitions
                .iter()
                .filter(|transition| reachable.contains(transition.from.as_str()))
                .map(|transition| transition.to.as_str())
                .filter(|state| !reachable.contains(state))
                .collect();
            if next.is_empty() {
                return reachable;
            }
            reachable.extend(next);
        }
    }
}

/// A state chart with its current state.
#[derive(Clone, Debug)]
pub struct StateMachine {
    chart: StateChart,
    state: String,
}

impl StateMachine {
    /// Parses a chart and starts in its initial state.
    ///
    /// # Errors
    ///
    /// Returns the findings if the chart is not valid.
    pub fn start(text: &str) -> Result<Self, Vec<Finding>> {
        let chart = StateChart::parse(text)?;
        Ok(Self { state: chart.initial.clone(), chart })
    }

    /// Returns the current state.
    pub fn state(&self) -> &str {
        &self.state
    }

    /// Handles an event and returns the actions to carry out. An event that has no transition from
    /// the current state is ignored.
    pub fn fire(&mut self, event: &str) -> Vec<String> {
        let matches =
            |transition: &&Transition| transition.from == self.state && transition.event == event;
        let Some(transition) = self.chart.transitions.iter().find(matches) else {
            return Vec::new();
        };
        self.state.clone_from(&transition.to);
        transition.actions.clone()
    }
}
