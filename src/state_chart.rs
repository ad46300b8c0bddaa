//! State charts that are read from JSON and interpreted.

use std::collections::BTreeSet;

use serde::Deserialize;

use crate::fleet::finding::Finding;

/// A step from one state to another.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Transition {
    /// State in which the event counts.
    pub from: String,
    /// Event that causes the step.
    pub event: String,
    /// State after the step.
    pub to: String,
    /// What to do.
    pub actions: Vec<String>,
}

/// States and the steps between them.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateChart {
    /// Name of the chart.
    pub name: String,
    /// State at the start.
    pub initial: String,
    /// The steps.
    pub transitions: Vec<Transition>,
}

impl StateChart {
    /// Reads and checks a chart.
    ///
    /// # Errors
    ///
    /// Returns every finding with its place.
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
        for (index, step) in self.transitions.iter().enumerate() {
            let path = format!("/transitions/{index}");
            if !seen.insert((&step.from, &step.event)) {
                let rule = "must be the only step for its state and event";
                findings.push(Finding::new(&path, format!("{}/{}", step.from, step.event), rule));
            }
            if !reachable.contains(step.from.as_str()) {
                let rule = "must be reachable from the initial state";
                findings.push(Finding::new(&format!("{path}/from"), &step.from, rule));
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
                .filter(|step| reachable.contains(step.from.as_str()))
                .map(|step| step.to.as_str())
                .filter(|state| !reachable.contains(state))
                .collect();
            if next.is_empty() {
                return reachable;
            }
            reachable.extend(next);
        }
    }
}

/// A chart with its present state.
#[derive(Clone, Debug)]
pub struct StateMachine {
    chart: StateChart,
    state: String,
}

impl StateMachine {
    /// Starts a chart.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the chart.
    pub fn start(text: &str) -> Result<Self, Vec<Finding>> {
        let chart = StateChart::parse(text)?;
        Ok(Self { state: chart.initial.clone(), chart })
    }

    /// Returns the present state.
    pub fn state(&self) -> &str {
        &self.state
    }

    /// Takes an event. Returns what to do; an event that does not count here does nothing.
    pub fn fire(&mut self, event: &str) -> Vec<String> {
        let matches = |step: &&Transition| step.from == self.state && step.event == event;
        let Some(step) = self.chart.transitions.iter().find(matches) else {
            return Vec::new();
        };
        self.state.clone_from(&step.to);
        step.actions.clone()
    }
}
