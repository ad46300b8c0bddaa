//! The life of a daemon, from its start to a planned stop. The steps are in
//! `charts/daemon_life.json`.

use crate::fleet::finding::Finding;
use crate::state_chart::StateMachine;

/// The steps of a daemon's life.
const CHART: &str = include_str!("../../charts/daemon_life.json");

/// What a daemon knows of itself when it decides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LifeSituation {
    /// Time, in milliseconds.
    pub now_ms: u64,
    /// Whether the lease holds.
    pub has_lease: bool,
    /// Whether the daemon is asked to stop.
    pub is_stop_asked: bool,
    /// Connections of callers.
    pub sessions: usize,
    /// Connections that other daemons have borrowed.
    pub lent: usize,
}

/// What a daemon does at a step of its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeAction {
    /// Log the new state.
    Report,
    /// Ask the others to go on without this daemon.
    LeaveGeneration,
    /// Close idle sessions, and each other one when its transaction ends.
    CloseIdle,
    /// Lend no further connections to other daemons.
    CloseHomes,
    /// End the process.
    Exit,
}

/// The life of a daemon.
pub struct DaemonLife {
    machine: StateMachine,
    notice_ms: u64,
    drain_timeout_ms: u64,
    stop_asked_at_ms: Option<u64>,
}

impl DaemonLife {
    /// Starts the life.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the chart.
    pub fn start(notice_ms: u64, drain_timeout_ms: u64) -> Result<Self, Vec<Finding>> {
        Ok(Self {
            machine: StateMachine::start(CHART)?,
            notice_ms,
            drain_timeout_ms,
            stop_asked_at_ms: None,
        })
    }

    /// Returns the state in the chart.
    pub fn state(&self) -> &str {
        self.machine.state()
    }

    /// Returns whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        self.state() == "serving"
    }

    /// Looks at the situation and returns what to do.
    pub fn step(&mut self, situation: &LifeSituation) -> Vec<LifeAction> {
        if situation.is_stop_asked && self.stop_asked_at_ms.is_none() {
            self.stop_asked_at_ms = Some(situation.now_ms);
        }
        let mut actions = Vec::new();
        for event in self.events(situation) {
            for name in self.machine.fire(event) {
                actions.extend(action(&name));
            }
        }
        actions
    }

    fn events(&self, situation: &LifeSituation) -> Vec<&'static str> {
        let mut events = vec![match situation.has_lease {
            true => "standing_gained",
            false => "standing_lost",
        }];
        let Some(asked_at_ms) = self.stop_asked_at_ms else {
            return events;
        };
        let elapsed_ms = situation.now_ms.saturating_sub(asked_at_ms);
        events.push("stop_asked");
        if elapsed_ms >= self.notice_ms {
            events.push("notice_over");
        }
        if situation.sessions == 0 {
            events.push("sessions_ended");
            if situation.lent == 0 {
                events.push("relays_ended");
            }
        }
        if elapsed_ms >= self.notice_ms + self.drain_timeout_ms {
            events.push("drain_timeout");
        }
        events
    }
}

fn action(name: &str) -> Option<LifeAction> {
    match name {
        "report" => Some(LifeAction::Report),
        "leave_generation" => Some(LifeAction::LeaveGeneration),
        "close_idle" => Some(LifeAction::CloseIdle),
        "close_homes" => Some(LifeAction::CloseHomes),
        "exit" => Some(LifeAction::Exit),
        _ => None,
    }
}
