//! The decisions of the control thread, free of input and output.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::home_plan::HomePlans;
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

/// Time between two exchanges with the same peer, in milliseconds.
pub const EXCHANGE_INTERVAL_MS: u64 = 500;

/// Least time between two exchanges for a demand that this daemon's shares do not carry.
const URGENT_INTERVAL_MS: u64 = 100;

/// Time between two reads of the table, in milliseconds.
pub const TABLE_INTERVAL_MS: u64 = 1_000;

/// Silence after which a daemon is taken for dead, in milliseconds.
const DEAD_AFTER_MS: u64 = 6_000;

/// Time after the start in which peers are awaited before a generation is proposed.
const SETTLE_MS: u64 = 1_500;

/// Least time between two proposals, in milliseconds.
const PROPOSAL_INTERVAL_MS: u64 = 3_000;

/// Most changes in one answer.
const MAX_CHANGES: usize = 50;

/// What happens to the control thread.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The table was read from this daemon's version to its end, with a question sent then.
    TableRead {
        /// When the question was sent, in milliseconds.
        requested_at_ms: u64,
        /// The changes, oldest first.
        changes: Vec<Change>,
    },
    /// A change was committed by this daemon.
    Committed(Change),
    /// A peer answered.
    PeerResponded {
        /// Name of the peer's host.
        peer: String,
        /// When the question was sent, in milliseconds.
        requested_at_ms: u64,
        /// The answer.
        response: Box<ExchangeResponse>,
    },
    /// Callers asked for statements at this rate.
    Demand {
        /// Name of the workspace.
        workspace: String,
        /// Statements a second.
        demand_per_s: f64,
    },
    /// Groups whose primaries this daemon, as a home, does not reach.
    Unreached(Vec<String>),
    /// The daemon is to stop.
    Leave,
}

/// What the control thread has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the table after a version.
    ReadTable {
        /// Version after which to read.
        after_version: u64,
    },
    /// Ask a peer.
    Exchange {
        /// Name of the peer's host.
        peer: String,
        /// What to tell it.
        request: Box<ExchangeRequest>,
    },
    /// Append a change that starts a generation.
    ProposeGeneration {
        /// The hosts with their incarnations.
        hosts: BTreeMap<String, u64>,
        /// Version on which the proposal rests.
        version: u64,
    },
    /// Publish the configuration to the traffic threads.
    Publish,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    version: u64,
    incarnation: u64,
    heard_at_ms: u64,
    requested_at_ms: u64,
    is_leaving: bool,
    unreached: Vec<String>,
}

/// The control state of a daemon.
pub struct ControlCore {
    host: String,
    incarnation: u64,
    started_at_ms: u64,
    fleet: Arc<Fleet>,
    changes: BTreeMap<u64, Change>,
    /// Version of the last change of the document.
    document_version: u64,
    lease: Lease,
    table_asked_at_ms: u64,
    table_heard_at_ms: Option<u64>,
    peers: BTreeMap<String, Peer>,
    majority: MajorityHistory,
    ledger: ShareLedger,
    homes: HomePlans,
    proposed_at_ms: u64,
    is_leaving: bool,
    /// Whether the daemon ever held the lease, so that it knows all that was accepted before.
    has_held_lease: bool,
    unreached: Vec<String>,
}

impl ControlCore {
    /// Creates the control state of a daemon that knows nothing yet.
    pub fn new(host: &str, incarnation: u64, now_ms: u64) -> Self {
        Self {
            host: host.to_owned(),
            incarnation,
            started_at_ms: now_ms,
            fleet: Arc::default(),
            changes: BTreeMap::new(),
            document_version: 0,
            lease: Lease::default(),
            table_asked_at_ms: 0,
            table_heard_at_ms: None,
            peers: BTreeMap::new(),
            majority: MajorityHistory::default(),
            ledger: ShareLedger::default(),
            homes: HomePlans::default(),
            proposed_at_ms: 0,
            is_leaving: false,
            has_held_lease: false,
            unreached: Vec::new(),
        }
    }

    /// Takes an event and returns what to do.
    pub fn step(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now_ms, &mut actions),
            Event::TableRead { requested_at_ms, changes } => {
                self.take_changes(now_ms, changes, &mut actions);
                self.lease.record_table_read(requested_at_ms);
                self.table_heard_at_ms = self.table_heard_at_ms.max(Some(requested_at_ms));
            }
            Event::Committed(change) => {
                self.take_changes(now_ms, vec![change], &mut actions);
                self.exchange_with_all(now_ms, &mut actions);
            }
            Event::PeerResponded { peer, requested_at_ms, response } => {
                self.take_answer(now_ms, &peer, requested_at_ms, *response, &mut actions)
            }
            Event::Demand { workspace, demand_per_s } => {
                self.ledger.note_demand(&workspace, demand_per_s)
            }
            Event::Unreached(groups) => self.unreached = groups,
            Event::Leave => {
                self.is_leaving = true;
                self.exchange_with_all(now_ms, &mut actions);
                actions.push(Action::Publish);
            }
        }
        self.has_held_lease |= self.has_lease(now_ms);
        self.note_majority(now_ms);
        self.grow_parts(now_ms, &mut actions);
        actions
    }

    /// Answers a peer's question.
    pub fn handle_exchange(&mut self, now_ms: u64, request: &ExchangeRequest) -> ExchangeResponse {
        let peer = self.peers.entry(request.from.clone()).or_default();
        if request.incarnation >= peer.incarnation {
            peer.version = match request.incarnation > peer.incarnation {
                true => request.version,
                false => peer.version.max(request.version),
            };
            peer.incarnation = request.incarnation;
            peer.heard_at_ms = now_ms;
            peer.is_leaving = request.is_leaving;
            peer.unreached.clone_from(&request.unreached);
        }
        let fleet = self.fleet.clone();
        let rate_of = |workspace: &str| fleet.limits_of_workspace(workspace).rate_per_s as f64;
        let gifts = match self.has_lease(now_ms) {
            true => self.ledger.give(request.generation, &request.demands, rate_of),
            false => Vec::new(),
        };
        let later = self.changes.range(request.version + 1..).take(MAX_CHANGES);
        let changes = later.filter_map(|(_, change)| serde_json::to_string(change).ok());
        ExchangeResponse {
            incarnation: self.incarnation,
            version: self.fleet.version,
            has_held_lease: self.has_held_lease,
            is_leaving: self.is_leaving,
            changes: changes.collect(),
            generation: self.ledger.generation(),
            gifts,
            unreached: self.unreached.clone(),
        }
    }

    fn tick(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if now_ms.saturating_sub(self.table_asked_at_ms) >= TABLE_INTERVAL_MS {
            self.table_asked_at_ms = now_ms;
            actions.push(Action::ReadTable { after_version: self.fleet.version });
        }
        let interval_ms = match self.lacks_share() {
            true => URGENT_INTERVAL_MS,
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

    /// Returns whether callers ask for more of a rate than this daemon's part, and others may
    /// have some to give.
    fn lacks_share(&self) -> bool {
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
            unreached: self.unreached.clone(),
        };
        actions.push(Action::Exchange { peer, request: Box::new(request) });
    }

    fn take_answer(
        &mut self,
        now_ms: u64,
        peer: &str,
        requested_at_ms: u64,
        response: ExchangeResponse,
        actions: &mut Vec<Action>,
    ) {
        let parsed = response.changes.iter().map(|text| serde_json::from_str(text));
        let changes: Vec<Change> = parsed.map_while(Result::ok).collect();
        self.take_changes(now_ms, changes, actions);
        self.ledger.receive(response.generation, &response.gifts);
        let known = self.peers.entry(peer.to_owned()).or_default();
        known.heard_at_ms = now_ms;
        known.version = match response.incarnation == known.incarnation {
            true => known.version.max(response.version),
            false => response.version,
        };
        known.incarnation = response.incarnation;
        known.is_leaving = response.is_leaving;
        known.unreached = response.unreached;
        // A peer vouches only for what it tells whole.
        if response.has_held_lease && self.fleet.version >= response.version {
            self.lease.record_peer_response(peer, requested_at_ms);
        }
    }

    fn take_changes(&mut self, now_ms: u64, changes: Vec<Change>, actions: &mut Vec<Action>) {
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
        let is_member = generation.includes(&self.host, self.incarnation);
        let members = generation.hosts.len() as u64;
        // Without the lease, others may have taken over what this daemon still counts as its own.
        let keeps_parts = self.has_lease(now_ms);
        self.ledger.start_generation(generation.number, members, is_member, keeps_parts);
        let names: Vec<&str> =
            self.fleet.workspaces().iter().map(|workspace| workspace.name.as_str()).collect();
        self.ledger.set_workspaces(&names, is_member);
        self.homes.set(&self.fleet, &self.host, is_member, keeps_parts);
        actions.push(Action::Publish);
    }

    fn note_majority(&mut self, now_ms: u64) {
        let version_of = |name: &String| self.peers.get(name).map_or(0, |peer| peer.version);
        let mut versions: Vec<u64> = self.other_hosts().iter().map(version_of).collect();
        versions.push(self.fleet.version);
        self.majority.note(now_ms, versions);
    }

    /// Lets parts grow whose former holders have given them up.
    fn grow_parts(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let shares_since = self.fleet.generation.number.max(self.document_version);
        if self.majority.is_in_force(now_ms, shares_since) {
            self.ledger.generation_in_force();
        }
        let majority = &self.majority;
        if self.homes.grow(|version| majority.is_in_force(now_ms, version)) {
            actions.push(Action::Publish);
        }
    }

    fn propose(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let is_settled = now_ms.saturating_sub(self.started_at_ms) >= SETTLE_MS;
        let is_due = now_ms.saturating_sub(self.proposed_at_ms) >= PROPOSAL_INTERVAL_MS;
        let is_known = self.fleet.host(&self.host).is_some();
        if !is_settled || !is_due || !is_known || !self.has_lease(now_ms) {
            return;
        }
        let live = self.live_hosts(now_ms);
        let is_change = live != self.fleet.generation.hosts;
        // The first live host proposes; a host that is missing proposes itself.
        let is_first = live.keys().next() == Some(&self.host);
        let is_missing =
            !self.is_leaving && !self.fleet.generation.includes(&self.host, self.incarnation);
        let speaks = is_first || is_missing || self.is_leaving;
        if is_change && speaks && !live.is_empty() {
            self.proposed_at_ms = now_ms;
            actions.push(Action::ProposeGeneration { hosts: live, version: self.fleet.version });
        }
    }

    /// Returns the daemons that are alive and stay, this one included.
    fn live_hosts(&self, now_ms: u64) -> BTreeMap<String, u64> {
        let is_live = |name: &String| {
            let peer = self.peers.get(name)?;
            let is_heard =
                peer.heard_at_ms > 0 && now_ms.saturating_sub(peer.heard_at_ms) < DEAD_AFTER_MS;
            (is_heard && !peer.is_leaving).then(|| (name.clone(), peer.incarnation))
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

    /// Returns the configuration known.
    pub fn fleet(&self) -> Arc<Fleet> {
        self.fleet.clone()
    }

    /// Returns the changes known, oldest first.
    pub fn changes(&self) -> impl DoubleEndedIterator<Item = &Change> {
        self.changes.values()
    }

    /// Returns the end of the lease, in milliseconds.
    pub fn lease_expires_at_ms(&self, now_ms: u64) -> u64 {
        self.lease.expires_at_ms(now_ms, &self.other_hosts(), self.has_held_lease)
    }

    /// Returns whether the daemon may serve now.
    pub fn has_lease(&self, now_ms: u64) -> bool {
        now_ms < self.lease_expires_at_ms(now_ms)
    }

    /// Returns whether the table answered within the lease.
    pub fn is_table_reachable(&self, now_ms: u64) -> bool {
        let heard = self.table_heard_at_ms;
        heard.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < super::lease::LEASE_MS)
    }

    /// Returns the hosts known to have a version.
    pub fn hosts_at(&self, version: u64) -> Vec<String> {
        let has = |name: &String| self.peers.get(name).is_some_and(|peer| peer.version >= version);
        let mut hosts: Vec<String> = self.other_hosts().into_iter().filter(has).collect();
        if self.fleet.version >= version {
            hosts.push(self.host.clone());
        }
        hosts.sort();
        hosts
    }

    /// Returns whether a majority of the daemons has a version.
    pub fn is_accepted(&self, version: u64) -> bool {
        self.majority.version() >= version
    }

    /// Returns whether the daemon is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns whether the present generation still counts on this daemon.
    pub fn is_in_generation(&self) -> bool {
        self.fleet.generation.includes(&self.host, self.incarnation)
    }

    /// Returns the generation of shares.
    pub fn generation(&self) -> u64 {
        self.ledger.generation()
    }

    /// Returns this daemon's share of a workspace's rate, in millionths.
    pub fn share_ppm(&self, workspace: &str) -> u64 {
        self.ledger.effective_ppm(workspace)
    }

    /// Returns the connections that this daemon may hold, by group that it is a home of.
    pub fn home_slots(&self) -> BTreeMap<String, u64> {
        self.homes.slots()
    }

    /// Returns whether every live home of a group reports that it does not reach the primary.
    pub fn is_unreachable_from_all_homes(&self, group: &str, homes: &[String]) -> bool {
        let is_unreached = |home: &String| {
            if *home == self.host {
                return self.unreached.iter().any(|name| name == group);
            }
            let peer = self.peers.get(home);
            peer.is_some_and(|peer| peer.unreached.iter().any(|name| name == group))
        };
        homes.iter().all(is_unreached)
    }

    /// Returns what this daemon may spend of each workspace's rate.
    pub fn allowances(&self) -> BTreeMap<Name, Allowance> {
        let allowance = |name: &str| {
            let limits = self.fleet.limits_of_workspace(name);
            let part = self.ledger.effective_ppm(name) as f64 / FULL_SHARE_PPM as f64;
            Allowance {
                rate_per_s: limits.rate_per_s as f64 * part,
                burst: limits.burst as f64 * part,
                wait_ms: limits.rate_wait_ms,
            }
        };
        let workspaces = self.fleet.workspaces().iter();
        workspaces.map(|known| (known.name.as_str().into(), allowance(&known.name))).collect()
    }
}
