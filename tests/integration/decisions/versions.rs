//! One lease after a change is accepted, no daemon serves that does not know it; versions never go
//! back; and the daemons' shares never exceed the whole.

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

/// What happens in one stretch of a schedule.
#[derive(Clone, Debug)]
struct Stretch {
    steps: u64,
    /// Daemons that reach the table, as bits.
    table: u8,
    /// Side of each daemon in a partition, as bits.
    side: u8,
    /// Daemons that are paused, as bits.
    paused: u8,
    /// Daemon that is replaced at the start.
    replaced: Option<usize>,
    /// Daemon through which an operator makes a change at the start.
    operator: Option<usize>,
    /// Demand of callers at each daemon.
    demand: u8,
}

fn stretches() -> impl Strategy<Value = Vec<Stretch>> {
    let stretch = (
        1..120_u64,
        prop_oneof![3 => Just(0xff_u8), 1 => any::<u8>(), 1 => Just(0_u8)],
        prop_oneof![3 => Just(0_u8), 1 => any::<u8>()],
        prop_oneof![4 => Just(0_u8), 1 => any::<u8>()],
        prop::option::weighted(0.15, 0..HOSTS),
        prop::option::weighted(0.5, 0..HOSTS),
        any::<u8>(),
    );
    let make = |(steps, table, side, paused, replaced, operator, demand)| Stretch {
        steps,
        table,
        side,
        paused,
        replaced,
        operator,
        demand,
    };
    prop::collection::vec(stretch.prop_map(make), 1..14)
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
    let document = load_fleet_document(&text.to_string()).expect("valid");
    Operation::ApplyDocument { document: Box::new(document) }
}

struct World {
    now_ms: u64,
    cores: Vec<ControlCore>,
    log: Vec<Change>,
    seen: Vec<u64>,
    /// Accepted versions with the time at which that was known.
    accepted: BTreeMap<u64, u64>,
    incarnation: u64,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now_ms: 100_000,
            cores: Vec::new(),
            log: Vec::new(),
            seen: vec![0; HOSTS],
            accepted: BTreeMap::new(),
            incarnation: 1,
        };
        for index in 0..HOSTS {
            world.cores.push(ControlCore::new(&host(index), 1, world.now_ms));
        }
        world.append(document());
        world
    }

    fn append(&mut self, operation: Operation) -> Change {
        let version = self.log.len() as u64 + 1;
        let change = Change {
            version,
            change_id: version.to_string(),
            who: "test".to_owned(),
            why: "test".to_owned(),
            at_unix_ms: 0,
            operation,
        };
        self.log.push(change.clone());
        change
    }

    fn run(&mut self, stretch: &Stretch) {
        if let Some(index) = stretch.replaced {
            self.incarnation += 1;
            self.cores[index] = ControlCore::new(&host(index), self.incarnation, self.now_ms);
            self.seen[index] = 0;
        }
        if let Some(index) = stretch.operator {
            self.operate(index, stretch);
        }
        for _ in 0..stretch.steps {
            self.now_ms += STEP_MS;
            for index in 0..HOSTS {
                if stretch.paused >> index & 1 == 0 {
                    let demand_per_s = f64::from(stretch.demand.rotate_left(index as u32));
                    let demand = Event::Demand { workspace: "w".to_owned(), demand_per_s };
                    self.step(index, demand, stretch);
                    self.step(index, Event::Tick, stretch);
                }
            }
            self.check();
        }
    }

    fn operate(&mut self, index: usize, stretch: &Stretch) {
        let reaches = stretch.table >> index & 1 == 1 && stretch.paused >> index & 1 == 0;
        // The log refuses a version that is taken, so only a daemon that knows the last may write.
        if reaches && self.cores[index].fleet().version == self.log.len() as u64 {
            let (key, _) = Key::issue("w");
            let change = self.append(Operation::IssueKey { key });
            self.step(index, Event::Committed(change), stretch);
        }
    }

    fn step(&mut self, index: usize, event: Event, stretch: &Stretch) {
        for action in self.cores[index].step(self.now_ms, event) {
            self.carry_out(index, action, stretch);
        }
    }

    fn carry_out(&mut self, index: usize, action: Action, stretch: &Stretch) {
        let reaches_table = stretch.table >> index & 1 == 1;
        match action {
            Action::ReadTable { after_version } if reaches_table => {
                let later = self.log.iter().filter(|change| change.version > after_version);
                let changes = later.cloned().collect();
                let event = Event::TableRead { requested_at_ms: self.now_ms, changes };
                self.step(index, event, stretch);
            }
            Action::Exchange { peer, request } => {
                let other = (0..HOSTS).find(|other| host(*other) == peer).expect("a host");
                let is_cut = (stretch.side >> index ^ stretch.side >> other) & 1 == 1;
                if is_cut || stretch.paused >> other & 1 == 1 {
                    return;
                }
                let response = Box::new(self.cores[other].handle_exchange(self.now_ms, &request));
                let event = Event::PeerResponded { peer, requested_at_ms: self.now_ms, response };
                self.step(index, event, stretch);
            }
            Action::ProposeGeneration { hosts, version }
                if reaches_table && version == self.log.len() as u64 =>
            {
                let change = self.append(Operation::StartGeneration { hosts });
                self.step(index, Event::Committed(change), stretch);
            }
            _ => {}
        }
    }

    fn check(&mut self) {
        let mut whole = 0;
        for index in 0..HOSTS {
            let version = self.cores[index].fleet().version;
            assert!(version >= self.seen[index], "daemon {index} went back to {version}");
            self.seen[index] = version;
            for accepted in 1..=version {
                if self.cores[index].is_accepted(accepted) {
                    self.accepted.entry(accepted).or_insert(self.now_ms);
                }
            }
            if self.cores[index].has_lease(self.now_ms) {
                whole += self.cores[index].share_ppm("w");
            }
        }
        assert!(whole <= FULL_SHARE_PPM, "shares sum to {whole}");
        for (version, since_ms) in &self.accepted {
            if self.now_ms <= since_ms + LEASE_MS {
                continue;
            }
            for (index, core) in self.cores.iter().enumerate() {
                let known = core.fleet().version;
                assert!(
                    known >= *version || !core.has_lease(self.now_ms),
                    "daemon {index} serves with {known}, and {version} was accepted long ago"
                );
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 120, ..ProptestConfig::default() })]

    #[test]
    fn accepted_versions_are_in_force_and_shares_never_exceed_the_whole(schedule in stretches()) {
        let mut world = World::new();
        for stretch in &schedule {
            world.run(stretch);
        }
    }
}

#[test]
fn calm_daemons_stand_and_use_the_whole_rate() {
    let mut world = World::new();
    let calm = Stretch {
        steps: 240,
        table: 0xff,
        side: 0,
        paused: 0,
        replaced: None,
        operator: Some(0),
        demand: 0,
    };
    world.run(&calm);
    let shares: u64 = world.cores.iter().map(|core| core.share_ppm("w")).sum();
    assert_eq!(shares, FULL_SHARE_PPM);
    assert!(world.cores.iter().all(|core| core.has_lease(world.now_ms)));
    assert!(world.accepted.contains_key(&2));
}
