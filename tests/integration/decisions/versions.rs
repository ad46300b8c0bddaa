//! Tests three invariants of the configuration: a daemon that has not applied an accepted change
//! holds no lease once a lease period has passed since the acceptance; the version of a daemon
//! never decreases while it runs; and the shares of all daemons never sum to more than the full
//! rate.

use std::collections::BTreeMap;

use proptest::prelude::*;
use serde_json::json;

use snipehead::control::core::Action;
use snipehead::control::core::ControlCore;
use snipehead::control::core::Event;
use snipehead::control::lease::LEASE_MS;
use snipehead::control::share_ledger::FULL_SHARE_PPM;
use snipehead::fleet::change::Change;
use snipehead::fleet::change::Operation;
use snipehead::fleet::key::Key;
use snipehead::settings::load::load_fleet_document;

const HOSTS: usize = 5;
const STEP_MS: u64 = 50;

/// Conditions during one phase of a schedule.
#[derive(Clone, Debug)]
struct Phase {
    /// Duration in steps of [`STEP_MS`].
    steps: u64,
    /// Daemons that can reach the table, as a bit mask.
    table_access: u8,
    /// Side of each daemon in a network partition, as a bit mask.
    side: u8,
    /// Daemons that are suspended, as a bit mask.
    suspended: u8,
    /// Daemon that is replaced by a new incarnation at the start.
    replaced: Option<usize>,
    /// Daemon through which an operator requests a change at the start.
    operator_host: Option<usize>,
    /// Bits from which the demand of callers at each daemon is derived.
    demand: u8,
}

fn phases() -> impl Strategy<Value = Vec<Phase>> {
    let phase = (
        1..120_u64,
        prop_oneof![3 => Just(0xff_u8), 1 => any::<u8>(), 1 => Just(0_u8)],
        prop_oneof![3 => Just(0_u8), 1 => any::<u8>()],
        prop_oneof![4 => Just(0_u8), 1 => any::<u8>()],
        prop::option::weighted(0.15, 0..HOSTS),
        prop::option::weighted(0.5, 0..HOSTS),
        any::<u8>(),
    );
    let make = |(steps, table_access, side, suspended, replaced, operator_host, demand)| Phase {
        steps,
        table_access,
        side,
        suspended,
        replaced,
        operator_host,
        demand,
    };
    prop::collection::vec(phase.prop_map(make), 1..14)
}

fn host(index: usize) -> String {
    format!("host{index}")
}

fn document() -> Operation {
    let hosts: Vec<_> = (0..HOSTS)
        .map(|index| {
            let address = format!("127.0.0.1:{}", 1_000 + index);
            json!({ "name": host(index), "data_centre": "dc", "peer_address": address,
                "relay_address": address, "operator_address": address })
        })
        .collect();
    let text = json!({ "defaults": {}, "entry_hosts": hosts, "groups": [{ "name": "g", "members":
        [{ "name": "m", "data_centre": "dc", "address": "127.0.0.1:1" }] }],
        "workspaces": [{ "name": "w", "groups": ["g"] }] });
    let document = load_fleet_document(&text.to_string()).expect("the document is valid");
    Operation::ApplyDocument { document: Box::new(document) }
}

/// The daemons of a fleet, with the change log in the table.
struct FleetSimulation {
    now_ms: u64,
    cores: Vec<ControlCore>,
    change_log: Vec<Change>,
    /// Version of each daemon at the last check.
    last_versions: Vec<u64>,
    /// Time at which a daemon first knew that a version was accepted, by version.
    accepted_at_ms: BTreeMap<u64, u64>,
    incarnation: u64,
}

impl FleetSimulation {
    fn new() -> Self {
        let mut simulation = Self {
            now_ms: 100_000,
            cores: Vec::new(),
            change_log: Vec::new(),
            last_versions: vec![0; HOSTS],
            accepted_at_ms: BTreeMap::new(),
            incarnation: 1,
        };
        for index in 0..HOSTS {
            simulation.cores.push(ControlCore::new(&host(index), 1, simulation.now_ms));
        }
        simulation.append(document());
        simulation
    }

    fn append(&mut self, operation: Operation) -> Change {
        let version = self.change_log.len() as u64 + 1;
        let change = Change {
            version,
            change_id: version.to_string(),
            who: "test".to_owned(),
            why: "test".to_owned(),
            at_unix_ms: 0,
            operation,
        };
        self.change_log.push(change.clone());
        change
    }

    fn run(&mut self, phase: &Phase) {
        if let Some(index) = phase.replaced {
            self.incarnation += 1;
            self.cores[index] = ControlCore::new(&host(index), self.incarnation, self.now_ms);
            self.last_versions[index] = 0;
        }
        if let Some(index) = phase.operator_host {
            self.request_change(index, phase);
        }
        for _ in 0..phase.steps {
            self.now_ms += STEP_MS;
            for index in 0..HOSTS {
                if phase.suspended >> index & 1 == 0 {
                    let demand_per_s = f64::from(phase.demand.rotate_left(index as u32));
                    let demand = Event::Demand { workspace: "w".to_owned(), demand_per_s };
                    self.step(index, demand, phase);
                    self.step(index, Event::Tick, phase);
                }
            }
            self.assert_invariants();
        }
    }

    fn request_change(&mut self, index: usize, phase: &Phase) {
        let can_write = phase.table_access >> index & 1 == 1 && phase.suspended >> index & 1 == 0;
        // The table rejects a version that exists, so only a daemon with the latest one can write.
        if can_write && self.cores[index].fleet().version == self.change_log.len() as u64 {
            let (key, _) = Key::issue("w");
            let change = self.append(Operation::IssueKey { key });
            self.step(index, Event::Committed(change), phase);
        }
    }

    fn step(&mut self, index: usize, event: Event, phase: &Phase) {
        for action in self.cores[index].step(self.now_ms, event) {
            self.execute(index, action, phase);
        }
    }

    fn execute(&mut self, index: usize, action: Action, phase: &Phase) {
        let reaches_table = phase.table_access >> index & 1 == 1;
        match action {
            Action::ReadTable { after_version } if reaches_table => {
                let later = self.change_log.iter().filter(|change| change.version > after_version);
                let changes = later.cloned().collect();
                let event = Event::TableRead { requested_at_ms: self.now_ms, changes };
                self.step(index, event, phase);
            }
            Action::Exchange { peer, request } => {
                let other =
                    (0..HOSTS).find(|other| host(*other) == peer).expect("the peer is a host");
                let is_partitioned = (phase.side >> index ^ phase.side >> other) & 1 == 1;
                if is_partitioned || phase.suspended >> other & 1 == 1 {
                    return;
                }
                let response = Box::new(self.cores[other].handle_exchange(self.now_ms, &request));
                let event = Event::PeerResponded { peer, requested_at_ms: self.now_ms, response };
                self.step(index, event, phase);
            }
            Action::ProposeGeneration { hosts, version }
                if reaches_table && version == self.change_log.len() as u64 =>
            {
                let change = self.append(Operation::StartGeneration { hosts });
                self.step(index, Event::Committed(change), phase);
            }
            _ => {}
        }
    }

    fn assert_invariants(&mut self) {
        let mut total_share_ppm = 0;
        for index in 0..HOSTS {
            let version = self.cores[index].fleet().version;
            assert!(
                version >= self.last_versions[index],
                "the version of daemon {index} decreased to {version}"
            );
            self.last_versions[index] = version;
            for accepted in 1..=version {
                if self.cores[index].is_accepted(accepted) {
                    self.accepted_at_ms.entry(accepted).or_insert(self.now_ms);
                }
            }
            if self.cores[index].has_lease(self.now_ms) {
                total_share_ppm += self.cores[index].share_ppm("w");
            }
        }
        assert!(total_share_ppm <= FULL_SHARE_PPM, "the shares sum to {total_share_ppm} ppm");
        for (version, since_ms) in &self.accepted_at_ms {
            if self.now_ms <= since_ms + LEASE_MS {
                continue;
            }
            for (index, core) in self.cores.iter().enumerate() {
                let known_version = core.fleet().version;
                assert!(
                    known_version >= *version || !core.has_lease(self.now_ms),
                    "daemon {index} holds a lease with version {known_version}, although \
                     version {version} was accepted more than a lease period ago"
                );
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 120, ..ProptestConfig::default() })]

    #[test]
    fn accepted_versions_take_effect_and_shares_never_exceed_the_full_rate(schedule in phases()) {
        let mut simulation = FleetSimulation::new();
        for phase in &schedule {
            simulation.run(phase);
        }
    }
}

/// A daemon that returned from a partition and had heard one peer started a generation of the two.
/// The other daemons had no share of any rate, and refused all statements, until the next
/// generation.
#[test]
fn a_returning_daemon_leaves_out_no_daemon_that_it_has_not_heard_yet() {
    let mut simulation = FleetSimulation::new();
    let calm = Phase {
        steps: 160,
        table_access: 0xff,
        side: 0,
        suspended: 0,
        replaced: None,
        operator_host: None,
        demand: 0,
    };
    simulation.run(&calm);
    simulation.run(&Phase { table_access: 0xfe, side: 1, ..calm.clone() });
    let before = simulation.change_log.len();
    // It reaches the table and one peer first.
    simulation.run(&Phase { steps: 10, side: 0b11, ..calm.clone() });
    simulation.run(&Phase { steps: 60, ..calm });
    let generations: Vec<usize> = simulation.change_log[before..]
        .iter()
        .filter_map(|change| match &change.operation {
            Operation::StartGeneration { hosts } => Some(hosts.len()),
            _ => None,
        })
        .collect();
    assert_eq!(generations, vec![HOSTS]);
}

#[test]
fn undisturbed_daemons_keep_their_leases_and_share_the_full_rate() {
    let mut simulation = FleetSimulation::new();
    let undisturbed = Phase {
        steps: 240,
        table_access: 0xff,
        side: 0,
        suspended: 0,
        replaced: None,
        operator_host: Some(0),
        demand: 0,
    };
    simulation.run(&undisturbed);
    let shares: u64 = simulation.cores.iter().map(|core| core.share_ppm("w")).sum();
    assert_eq!(shares, FULL_SHARE_PPM);
    assert!(simulation.cores.iter().all(|core| core.has_lease(simulation.now_ms)));
    assert!(simulation.accepted_at_ms.contains_key(&2));
}
