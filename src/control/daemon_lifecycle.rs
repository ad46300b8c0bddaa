//! Lifecycle of a daemon, from its start to a planned stop. The state machine is defined in
//! `charts/daemon_life.json`. This module does no I/O.

use crate::fleet::finding::Finding;
use crate::state_chart::StateMachine;

/// Definition of the state machine.
const CHART: &str = include_str!("../../charts/daemon_life.json");

/// Observed values from which the events of the state machine follow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LifecycleInputs {
    /// Current time, in milliseconds.
    pub now_ms: u64,
    /// Whether the daemon holds a valid lease.
    pub has_lease: bool,
    /// Whether a stop has been requested.
    pub is_stop_requested: bool,
    /// Number of caller sessions.
    pub sessions: usize,
    /// Number of member connections that are in use for other daemons.
    pub relayed: usize,
}

/// Action at a transition of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleAction {
    /// Nothing besides logging the new state.
    Report,
    /// Tell the other daemons that this one is leaving, and propose a generation without it.
    LeaveGeneration,
    /// Close idle sessions now, and every other session when its transaction ends.
    DrainSessions,
    /// Lend no further member connections to other daemons.
    StopRelaying,
    /// End the process.
    Exit,
}

/// The lifecycle state machine of a daemon.
pub struct DaemonLifecycle {
    machine: StateMachine,
    /// Time from the stop request to the draining of sessions, in milliseconds. It lets the load
    /// balancer see first that the daemon is not ready.
    drain_notice_ms: u64,
    drain_timeout_ms: u64,
    stop_requested_at_ms: Option<u64>,
}

impl DaemonLifecycle {
    /// Creates the state machine in its initial state.
    ///
    /// # Errors
    ///
    /// Returns the errors of the chart if it is invalid.
    pub fn start(drain_notice_ms: u64, drain_timeout_ms: u64) -> Result<Self, Vec<Finding>> {
        Ok(Self {
            machine: StateMachine::start(CHART)?,
            drain_notice_ms,
            drain_timeout_ms,
            stop_requested_at_ms: None,
        })
    }

    /// Returns the current state.
    pub fn state(&self) -> &str {
        self.machine.state()
    }

    /// Returns whether the load balancer may send callers to this daemon.
    pub fn is_ready(&self) -> bool {
        self.state() == "serving"
    }

    /// Updates the state from the observed values and returns the actions to perform.
    pub fn step(&mut self, inputs: &LifecycleInputs) -> Vec<LifecycleAction> {
        if inputs.is_stop_requested && self.stop_requested_at_ms.is_none() {
            self.stop_requested_at_ms = Some(inputs.now_ms);
        }
        let mut actions = Vec::new();
        for event in self.events(inputs) {
            for name in self.machine.fire(event) {
                actions.extend(action(&name));
            }
        }
        actions
    }

    fn events(&self, inputs: &LifecycleInputs) -> Vec<&'static str> {
        let mut events = vec![match inputs.has_lease {
            true => "lease_acquired",
            false => "lease_lost",
        }];
        let Some(requested_at_ms) = self.stop_requested_at_ms else {
            return events;
        };
        let elapsed_ms = inputs.now_ms.saturating_sub(requested_at_ms);
        events.push("stop_requested");
        if elapsed_ms >= self.drain_notice_ms {
            events.push("notice_elapsed");
        }
        if inputs.sessions == 0 {
            events.push("sessions_ended");
            if inputs.relayed == 0 {
                events.push("relays_ended");
            }
        }
        if elapsed_ms >= self.drain_notice_ms + self.drain_timeout_ms {
            events.push("drain_timeout");
        }
        events
    }
}

fn action(name: &str) -> Option<LifecycleAction> {
    match name {
        "report" => Some(LifecycleAction::Report),
        "leave_generation" => Some(LifecycleAction::LeaveGeneration),
        "drain_sessions" => Some(LifecycleAction::DrainSessions),
        "stop_relaying" => Some(LifecycleAction::StopRelaying),
        "exit" => Some(LifecycleAction::Exit),
        _ => None,
    }
}
