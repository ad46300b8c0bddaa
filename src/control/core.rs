//! State machine of the control thread. It does no I/O: it takes events and returns actions.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::home_quotas::HomeQuotas;
use super::lease::Lease;
use super::majority_history::MajorityHistory;
use super::share_ledger::FULL_SHARE_PPM;
use super::share_ledger::ShareLedger;
use crate::fleet::change::Change;
use crate::fleet::change::Operation;
use crate::fleet::state::Fleet;
use crate::limit::rate_limiter::Allowance;
use crate::name::Name;
use crate::peer::rpc::ExchangeRequest;
use crate::peer::rpc::ExchangeResponse;

/// Interval between exchanges with the same peer, in milliseconds.
pub const EXCHANGE_INTERVAL_MS: u64 = 500;

/// Interval between exchanges with the same peer while this daemon needs a larger share of some
/// workspace's rate, in milliseconds.
const SHARE_REQUEST_INTERVAL_MS: u64 = 100;

/// Interval between reads of the configuration log from the platform's table, in milliseconds.
pub const TABLE_INTERVAL_MS: u64 = 1_000;

/// Time without contact after which a peer is considered dead, in milliseconds.
const DEAD_AFTER_MS: u64 = 6_000;

/// Time after start-up, or after the lease was regained, during which no generation is proposed
/// unless all daemons of the current one have been heard, in milliseconds. A daemon that returns
/// from a partition would otherwise leave out those that it has not heard yet, and they would serve
/// nothing until the generation after.
const STARTUP_WAIT_MS: u64 = 1_500;

/// Minimum interval between two proposals of a generation, in milliseconds.
const PROPOSAL_INTERVAL_MS: u64 = 3_000;

/// Maximum number of changes in one exchange response.
const MAX_CHANGES_PER_RESPONSE: usize = 50;

/// Input of the control state machine.
#[derive(Debug)]
pub enum Event {
    /// Periodic timer.
    Tick,
    /// The table was read from this daemon's version to its end.
    TableRead {
        /// When the last request of the read was sent, in milliseconds.
        requested_at_ms: u64,
        /// The changes, oldest first.
        changes: Vec<Change>,
    },
    /// This daemon committed a change, or found this change of another author at the version that
    /// it tried to use.
    Committed(Change),
    /// A peer responded to an exchange.
    PeerResponded {
        /// Name of the peer's host.
        peer: String,
        /// When the request was sent, in milliseconds.
        requested_at_ms: u64,
        /// The response.
        response: Box<ExchangeResponse>,
    },
    /// Measured rate of the statements that callers submitted to this daemon.
    Demand {
        /// Name of the workspace.
        workspace: String,
        /// Statements per second.
        demand_per_s: f64,
    },
    /// Groups that this daemon is a home of and whose primaries it cannot reach.
    PrimariesUnreachable(Vec<String>),
    /// The daemon is about to stop and leaves its generation.
    Leave,
}

/// Output of the control state machine: I/O that the driver performs.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the changes after a version from the table.
    ReadTable {
        /// Last version already known.
        after_version: u64,
    },
    /// Exchange state with a peer.
    Exchange {
        /// Name of the peer's host.
        peer: String,
        /// The request.
        request: Box<ExchangeRequest>,
    },
    /// Append a change that starts a generation.
    ProposeGeneration {
        /// The hosts with their incarnations.
        hosts: BTreeMap<String, u64>,
        /// Configuration version that the proposal is based on; the change takes the next one.
        version: u64,
    },
    /// Publish the configuration to the threads that serve callers.
    Publish,
}

/// What is known about another daemon.
#[derive(Clone, Debug, Default)]
struct Peer {
    version: u64,
    incarnation: u64,
    last_seen_at_ms: u64,
    requested_at_ms: u64,
    is_leaving: bool,
    unreachable_primaries: Vec<String>,
}

/// The control state of a daemon.
pub struct ControlCore {
    host: String,
    incarnation: u64,
    started_at_ms: u64,
    fleet: Arc<Fleet>,
    changes: BTreeMap<u64, Change>,
    /// Version of the last change that applied a document.
    document_version: u64,
    lease: Lease,
    table_requested_at_ms: u64,
    table_read_at_ms: Option<u64>,
    peers: BTreeMap<String, Peer>,
    majority: MajorityHistory,
    ledger: ShareLedger,
    home_quotas: HomeQuotas,
    proposed_at_ms: u64,
    is_leaving: bool,
    /// Whether the daemon has held a lease since it started. If so, it knows every change that
    /// was accepted before its first lease began.
    has_held_lease: bool,
    /// Since when the daemon has held the lease without interruption, in milliseconds.
    lease_since_ms: Option<u64>,
    unreachable_primaries: Vec<String>,
}

impl ControlCore {
    /// Creates the control state of a daemon that has just started, with no configuration.
    pub fn new(host: &str, incarnation: u64, now_ms: u64) -> Self {
        Self {
            host: host.to_owned(),
            incarnation,
            started_at_ms: now_ms,
            fleet: Arc::default(),
            changes: BTreeMap::new(),
            document_version: 0,
            lease: Lease::default(),
            table_requested_at_ms: 0,
            table_read_at_ms: None,
            peers: BTreeMap::new(),
            majority: MajorityHistory::default(),
            ledger: ShareLedger::default(),
            home_quotas: HomeQuotas::default(),
            proposed_at_ms: 0,
            is_leaving: false,
            has_held_lease: false,
            lease_since_ms: None,
            unreachable_primaries: Vec::new(),
        }
    }

    /// Processes an event and returns the actions to perform.
    pub fn step(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now_ms, &mut actions),
            Event::TableRead { requested_at_ms, changes } => {
                self.apply_changes(now_ms, changes, &mut actions);
                self.lease.record_table_read(requested_at_ms);
                self.table_read_at_ms = self.table_read_at_ms.max(Some(requested_at_ms));
            }
            Event::Committed(change) => {
                self.apply_changes(now_ms, vec![change], &mut actions);
                self.exchange_with_all(now_ms, &mut actions);
            }
            Event::PeerResponded { peer, requested_at_ms, response } => {
                self.handle_response(now_ms, &peer, requested_at_ms, *response, &mut actions)
            }
            Event::Demand { workspace, demand_per_s } => {
                self.ledger.record_demand(&workspace, demand_per_s)
            }
            Event::PrimariesUnreachable(groups) => self.unreachable_primaries = groups,
            Event::Leave => {
                self.is_leaving = true;
                self.exchange_with_all(now_ms, &mut actions);
                actions.push(Action::Publish);
            }
        }
        let has_lease = self.has_lease(now_ms);
        self.has_held_lease |= has_lease;
        self.lease_since_ms = has_lease.then(|| self.lease_since_ms.unwrap_or(now_ms));
        self.record_majority(now_ms);
        self.raise_limits(now_ms, &mut actions);
        actions
    }

    /// Processes an exchange request of a peer and returns the response.
    pub fn handle_exchange(&mut self, now_ms: u64, request: &ExchangeRequest) -> ExchangeResponse {
        let peer = self.peers.entry(request.from.clone()).or_default();
        if request.incarnation >= peer.incarnation {
            peer.version = match request.incarnation > peer.incarnation {
                true => request.version,
                false => peer.version.max(request.version),
            };
            peer.incarnation = request.incarnation;
            peer.last_seen_at_ms = now_ms;
            peer.is_leaving = request.is_leaving;
            peer.unreachable_primaries.clone_from(&request.unreachable_primaries);
        }
        let fleet = self.fleet.clone();
        let rate_of = |workspace: &str| fleet.limits_of_workspace(workspace).rate_per_s as f64;
        let transfers = match self.has_lease(now_ms) {
            true => self.ledger.transfer_spare(request.generation, &request.demands, rate_of),
            false => Vec::new(),
        };
        let later = self.changes.range(request.version + 1..).take(MAX_CHANGES_PER_RESPONSE);
        let changes = later.filter_map(|(_, change)| serde_json::to_string(change).ok());
        ExchangeResponse {
            incarnation: self.incarnation,
            version: self.fleet.version,
            has_held_lease: self.has_held_lease,
            is_leaving: self.is_leaving,
            changes: changes.collect(),
            generation: self.ledger.generation(),
            transfers,
            unreachable_primaries: self.unreachable_primaries.clone(),
        }
    }

    fn tick(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if now_ms.saturating_sub(self.table_requested_at_ms) >= TABLE_INTERVAL_MS {
            self.table_requested_at_ms = now_ms;
            actions.push(Action::ReadTable { after_version: self.fleet.version });
        }
        let interval_ms = match self.needs_more_share() {
            true => SHARE_REQUEST_INTERVAL_MS,
            false => EXCHANGE_INTERVAL_MS,
        };
        for peer in self.other_hosts() {
            let requested_at_ms = self.peers.get(&peer).map_or(0, |peer| peer.requested_at_ms);
            if now_ms.saturating_sub(requested_at_ms) >= interval_ms {
                self.exchange(now_ms, peer, actions);
            }
        }
        self.propose(now_ms, actions);
    }

    /// Returns whether the demand for some workspace approaches or exceeds this daemon's share and
    /// that share is below half of the rate, so that peers may have some to transfer.
    fn needs_more_share(&self) -> bool {
        let demands = self.ledger.demands(|name| self.rate_of(name));
        demands.iter().any(|demand| demand.share_ppm < FULL_SHARE_PPM / 2)
    }

    fn rate_of(&self, workspace: &str) -> f64 {
        self.fleet.limits_of_workspace(workspace).rate_per_s as f64
    }

    fn exchange_with_all(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        for peer in self.other_hosts() {
            self.exchange(now_ms, peer, actions);
        }
    }

    fn exchange(&mut self, now_ms: u64, peer: String, actions: &mut Vec<Action>) {
        self.peers.entry(peer.clone()).or_default().requested_at_ms = now_ms;
        let request = ExchangeRequest {
            from: self.host.clone(),
            incarnation: self.incarnation,
            version: self.fleet.version,
            is_leaving: self.is_leaving,
            generation: self.ledger.generation(),
            demands: self.ledger.demands(|name| self.rate_of(name)),
            unreachable_primaries: self.unreachable_primaries.clone(),
        };
        actions.push(Action::Exchange { peer, request: Box::new(request) });
    }

    fn handle_response(
        &mut self,
        now_ms: u64,
        peer: &str,
        requested_at_ms: u64,
        response: ExchangeResponse,
        actions: &mut Vec<Action>,
    ) {
        let parsed = response.changes.iter().map(|text| serde_json::from_str(text));
        let changes: Vec<Change> = parsed.map_while(Result::ok).collect();
        self.apply_changes(now_ms, changes, actions);
        self.ledger.receive_transfers(response.generation, &response.transfers);
        let peer_state = self.peers.entry(peer.to_owned()).or_default();
        peer_state.last_seen_at_ms = now_ms;
        peer_state.version = match response.incarnation == peer_state.incarnation {
            true => peer_state.version.max(response.version),
            false => response.version,
        };
        peer_state.incarnation = response.incarnation;
        peer_state.is_leaving = response.is_leaving;
        peer_state.unreachable_primaries = response.unreachable_primaries;
        // The response confirms this daemon's state only if no change that the peer knows is
        // missing here: a response carries a limited number of changes.
        if response.has_held_lease && self.fleet.version >= response.version {
            self.lease.record_peer_response(peer, requested_at_ms);
        }
    }

    fn apply_changes(&mut self, now_ms: u64, changes: Vec<Change>, actions: &mut Vec<Action>) {
        let mut fleet = (*self.fleet).clone();
        for change in changes {
            if change.version != fleet.version + 1 {
                continue;
            }
            fleet.apply_committed(&change);
            if matches!(change.operation, Operation::ApplyDocument { .. }) {
                self.document_version = change.version;
            }
            self.changes.insert(change.version, change);
        }
        if fleet.version == self.fleet.version {
            return;
        }
        self.fleet = Arc::new(fleet);
        let generation = &self.fleet.generation;
        let is_in_generation = generation.includes(&self.host, self.incarnation);
        let daemon_count = generation.hosts.len() as u64;
        // Without the lease, other daemons may already use the shares and connections that this
        // daemon held.
        let keeps_quotas = self.has_lease(now_ms);
        self.ledger.start_generation(
            generation.number,
            daemon_count,
            is_in_generation,
            keeps_quotas,
        );
        let names: Vec<&str> =
            self.fleet.workspaces().iter().map(|workspace| workspace.name.as_str()).collect();
        self.ledger.set_workspaces(&names, is_in_generation);
        self.home_quotas.update(&self.fleet, &self.host, is_in_generation, keeps_quotas);
        actions.push(Action::Publish);
    }

    fn record_majority(&mut self, now_ms: u64) {
        let version_of = |name: &String| self.peers.get(name).map_or(0, |peer| peer.version);
        let mut versions: Vec<u64> = self.other_hosts().iter().map(version_of).collect();
        versions.push(self.fleet.version);
        self.majority.record(now_ms, versions);
    }

    /// Raises shares and connection quotas once every daemon that used them before has lowered
    /// its own.
    fn raise_limits(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let shares_version = self.fleet.generation.number.max(self.document_version);
        if self.majority.is_in_force(now_ms, shares_version) {
            self.ledger.lift_caps();
        }
        let majority = &self.majority;
        if self.home_quotas.raise(|version| majority.is_in_force(now_ms, version)) {
            actions.push(Action::Publish);
        }
    }

    fn propose(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let is_startup_over = now_ms.saturating_sub(self.started_at_ms) >= STARTUP_WAIT_MS
            && self.has_heard_peers(now_ms);
        let is_due = now_ms.saturating_sub(self.proposed_at_ms) >= PROPOSAL_INTERVAL_MS;
        let is_known = self.fleet.host(&self.host).is_some();
        if !is_startup_over || !is_due || !is_known || !self.has_lease(now_ms) {
            return;
        }
        let live = self.live_hosts(now_ms);
        let is_different = live != self.fleet.generation.hosts;
        // Only the live host whose name sorts first proposes, and any host that joins or leaves.
        let is_first_live = live.keys().next() == Some(&self.host);
        let is_missing =
            !self.is_leaving && !self.fleet.generation.includes(&self.host, self.incarnation);
        let is_proposer = is_first_live || is_missing || self.is_leaving;
        if is_different && is_proposer && !live.is_empty() {
            self.proposed_at_ms = now_ms;
            actions.push(Action::ProposeGeneration { hosts: live, version: self.fleet.version });
        }
    }

    /// Returns whether this daemon has held the lease for [`STARTUP_WAIT_MS`], or has heard all
    /// other daemons of the current generation since it holds the lease.
    fn has_heard_peers(&self, now_ms: u64) -> bool {
        let Some(since_ms) = self.lease_since_ms else { return false };
        let is_heard = |host: &String| {
            let peer = self.peers.get(host);
            *host == self.host || peer.is_some_and(|peer| peer.last_seen_at_ms >= since_ms)
        };
        now_ms.saturating_sub(since_ms) >= STARTUP_WAIT_MS
            || self.fleet.generation.hosts.keys().all(is_heard)
    }

    /// Returns the daemons that are alive and not about to stop, this one included, with their
    /// incarnations.
    fn live_hosts(&self, now_ms: u64) -> BTreeMap<String, u64> {
        let is_live = |name: &String| {
            let peer = self.peers.get(name)?;
            let is_recent = peer.last_seen_at_ms > 0
                && now_ms.saturating_sub(peer.last_seen_at_ms) < DEAD_AFTER_MS;
            (is_recent && !peer.is_leaving).then(|| (name.clone(), peer.incarnation))
        };
        let mut live: BTreeMap<String, u64> =
            self.other_hosts().iter().filter_map(is_live).collect();
        if !self.is_leaving {
            live.insert(self.host.clone(), self.incarnation);
        }
        live
    }

    /// Returns the names of the other hosts.
    pub fn other_hosts(&self) -> Vec<String> {
        let names = self.fleet.hosts().iter().map(|host| host.name.clone());
        names.filter(|name| *name != self.host).collect()
    }

    /// Returns the latest known configuration.
    pub fn fleet(&self) -> Arc<Fleet> {
        self.fleet.clone()
    }

    /// Returns the known changes, oldest first.
    pub fn changes(&self) -> impl DoubleEndedIterator<Item = &Change> {
        self.changes.values()
    }

    /// Returns when the lease expires, in milliseconds; 0 if there is none.
    pub fn lease_expires_at_ms(&self, now_ms: u64) -> u64 {
        self.lease.expires_at_ms(now_ms, &self.other_hosts(), self.has_held_lease)
    }

    /// Returns whether the daemon holds a valid lease and may serve.
    pub fn has_lease(&self, now_ms: u64) -> bool {
        now_ms < self.lease_expires_at_ms(now_ms)
    }

    /// Returns whether the table was read within the last lease period.
    pub fn is_table_reachable(&self, now_ms: u64) -> bool {
        let read_at_ms = self.table_read_at_ms;
        read_at_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < super::lease::LEASE_MS)
    }

    /// Returns the hosts known to have the given version of the configuration or a later one.
    pub fn hosts_with_version(&self, version: u64) -> Vec<String> {
        let has_version =
            |name: &String| self.peers.get(name).is_some_and(|peer| peer.version >= version);
        let mut hosts: Vec<String> = self.other_hosts().into_iter().filter(has_version).collect();
        if self.fleet.version >= version {
            hosts.push(self.host.clone());
        }
        hosts.sort();
        hosts
    }

    /// Returns whether a majority of the daemons is known to have the given version of the
    /// configuration or a later one.
    pub fn is_accepted(&self, version: u64) -> bool {
        self.majority.version() >= version
    }

    /// Returns whether the daemon is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns whether this daemon belongs to the current generation.
    pub fn is_in_generation(&self) -> bool {
        self.fleet.generation.includes(&self.host, self.incarnation)
    }

    /// Returns the generation that the shares belong to.
    pub fn generation(&self) -> u64 {
        self.ledger.generation()
    }

    /// Returns the usable share of a workspace's rate, in parts per million.
    pub fn share_ppm(&self, workspace: &str) -> u64 {
        self.ledger.effective_ppm(workspace)
    }

    /// Returns the number of request connections that this daemon may use, by group.
    pub fn home_slots(&self) -> BTreeMap<String, u64> {
        self.home_quotas.slots()
    }

    /// Returns whether each of a group's homes reports that it cannot reach the primary.
    pub fn is_unreachable_from_all_homes(&self, group: &str, homes: &[String]) -> bool {
        let is_unreachable = |home: &String| {
            if *home == self.host {
                return self.unreachable_primaries.iter().any(|name| name == group);
            }
            let peer = self.peers.get(home);
            peer.is_some_and(|peer| peer.unreachable_primaries.iter().any(|name| name == group))
        };
        homes.iter().all(is_unreachable)
    }

    /// Returns this daemon's rate limit for each workspace.
    pub fn allowances(&self) -> BTreeMap<Name, Allowance> {
        let allowance = |name: &str| {
            let limits = self.fleet.limits_of_workspace(name);
            let share = self.ledger.effective_ppm(name) as f64 / FULL_SHARE_PPM as f64;
            Allowance {
                rate_per_s: limits.rate_per_s as f64 * share,
                burst: limits.burst as f64 * share,
                wait_ms: limits.rate_wait_ms,
            }
        };
        let workspaces = self.fleet.workspaces().iter();
        workspaces
            .map(|workspace| (workspace.name.as_str().into(), allowance(&workspace.name)))
            .collect()
    }
}
