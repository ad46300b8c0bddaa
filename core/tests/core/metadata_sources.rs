//! From where nodes get metadata, with hundreds of them as data.
//!
//! Pattern: all clients of a lost or slow source turn to the same successor, or to the store, in
//! the same instant, and keep it overloaded after the first failure is over.

use std::collections::HashMap;
use std::net::SocketAddr;

use rstest::rstest;

use snipehead_core::metadata_source::MetadataSource;
use snipehead_core::metadata_source::MetadataTopology;
use snipehead_core::metadata_source::SyncOutcome;
use snipehead_core::metadata_source::SyncStep;

const ZONES: usize = 6;

/// Time between two rounds of a node, in milliseconds.
const ROUND_MS: u64 = 200;

/// Age at which a host reads the store itself, in milliseconds.
const OWN_READ_AGE_MS: u64 = 1_800;

/// Time that an answer is held back, in milliseconds.
const HOLD_MS: u64 = 1_000;

fn address(host: usize) -> SocketAddr {
    format!("10.0.{}.{}:7560", host / 250, host % 250 + 1).parse().expect("valid")
}

/// The first four hosts of each of six data centres are candidates; host 0 is the reader.
fn topology(host: usize, knows_reader: bool) -> MetadataTopology {
    let is_candidate = host / ZONES < 4;
    let places = (0..4).map(|place| place * ZONES + host % ZONES).filter(|place| *place != 0);
    let relays = places.map(address).collect();
    if !knows_reader {
        let seeds = (0..3).map(address).collect();
        return MetadataTopology { me: Some(address(host)), seeds, ..Default::default() };
    }
    MetadataTopology {
        age_ms: None,
        own_read_age_ms: OWN_READ_AGE_MS,
        me: Some(address(host)),
        reader: Some(address(0)),
        relays: if is_candidate { Vec::new() } else { relays },
        deputies: (1..4).map(address).collect(),
        deputy_rank: (1..24).contains(&host).then(|| host as u64 - 1),
        seeds: Vec::new(),
    }
}

#[derive(Default)]
struct Counts {
    store_by_second: HashMap<u64, usize>,
    asked: HashMap<SocketAddr, usize>,
}

impl Counts {
    fn store(&self) -> usize {
        self.store_by_second.values().sum()
    }
}

/// Plays `seconds` of a fleet. `answer` tells what a step at a time ends with.
fn play(
    hosts: usize,
    seconds: u64,
    knows_reader: bool,
    answer: impl Fn(u64, usize, SyncStep) -> SyncOutcome,
) -> Counts {
    let mut counts = Counts::default();
    for host in 0..hosts {
        let jitter = xxhash_rust::xxh3::xxh3_64(&host.to_le_bytes());
        let mut now_ms = jitter % ROUND_MS;
        let mut source = MetadataSource::new(now_ms, jitter);
        let topology = topology(host, knows_reader);
        while now_ms < seconds * 1_000 {
            let step = source.next(now_ms, &topology);
            let outcome = answer(now_ms, host, step);
            match step {
                SyncStep::ReadStore if !topology.is_reader() => {
                    *counts.store_by_second.entry(now_ms / 1_000).or_default() += 1;
                }
                SyncStep::Ask(address) => *counts.asked.entry(address).or_default() += 1,
                _ => {}
            }
            source.record(now_ms, step, outcome);
            now_ms += match (step, outcome) {
                (SyncStep::Ask(_), SyncOutcome::Recent) => HOLD_MS,
                _ => ROUND_MS,
            };
        }
    }
    counts
}

#[rstest]
#[case::thirty(30)]
#[case::three_hundred(300)]
#[case::target(570)]
fn on_a_calm_day_only_the_reader_reads_the_store(#[case] hosts: usize) {
    let counts = play(hosts, 30, true, |_, _, _| SyncOutcome::Recent);
    assert_eq!(counts.store(), 0);
    // The reader hears from the candidates only, each relay from its data centre only.
    assert!(counts.asked[&address(0)] <= 24 * 30, "{}", counts.asked[&address(0)]);
    let most = counts.asked.values().max().expect("some are asked");
    assert!(*most <= (hosts / ZONES).max(24) * 30, "{most}");
}

/// An outage of the store: the reader answers, but with old data.
#[rstest]
#[case::thirty(30)]
#[case::three_hundred(300)]
fn an_outage_of_the_store_makes_no_herd(#[case] hosts: usize) {
    let counts = play(hosts, 10, true, |now_ms, _, step| match (now_ms, step) {
        (2_000..7_000, SyncStep::ReadStore) => SyncOutcome::Failed,
        (2_000..7_000, _) => SyncOutcome::Outdated,
        _ => SyncOutcome::Recent,
    });
    let most = counts.store_by_second.values().max().copied().unwrap_or(0);
    // Each host once in two seconds at the most, as each must confirm its keys by itself then.
    assert!(most <= hosts, "{most} reads of the store in a second");
    assert!(counts.store() <= 2 * hosts, "{} reads of the store", counts.store());
    let after: usize = (8..10).filter_map(|second| counts.store_by_second.get(&second)).sum();
    assert_eq!(after, 0, "the herd outlasts the outage");
}

/// The reader loses power: its successors read the store, and all others find them.
#[rstest]
#[case::thirty(30)]
#[case::three_hundred(300)]
fn a_lost_reader_is_replaced_by_few_reads(#[case] hosts: usize) {
    let counts = play(hosts, 6, true, |now_ms, host, step| match step {
        SyncStep::Ask(asked) if asked == address(0) && now_ms >= 1_000 => SyncOutcome::Failed,
        // The first deputy has recent data once it has read the store.
        SyncStep::Ask(asked) if asked == address(1) && now_ms >= 1_800 => SyncOutcome::Recent,
        SyncStep::Ask(_) if host / ZONES < 4 && now_ms >= 1_000 => SyncOutcome::Outdated,
        _ => SyncOutcome::Recent,
    });
    assert!(counts.store() <= 24, "{} reads of the store", counts.store());
}

/// A start of all hosts: three of them, which the settings name, read the store. They accept
/// connections soon, and hold their answers back until they have read it.
#[rstest]
#[case::thirty(30)]
#[case::three_hundred(300)]
fn a_start_of_all_hosts_reads_the_store_at_the_seeds_only(#[case] hosts: usize) {
    let counts = play(hosts, 2, false, |_, _, _| SyncOutcome::Recent);
    assert!(counts.store() <= 3 * 2, "{} reads of the store", counts.store());
    let (least, most) = counts
        .asked
        .values()
        .fold((usize::MAX, 0), |(least, most), asked| (least.min(*asked), most.max(*asked)));
    assert!(most <= 3 * least, "the seeds are asked {least} to {most} times");
}

/// Seeds that start later than the others: no host reads the store more than once for that.
#[rstest]
#[case::thirty(30)]
#[case::three_hundred(300)]
fn late_seeds_cost_each_host_one_read_of_the_store(#[case] hosts: usize) {
    let counts = play(hosts, 2, false, |now_ms, _, step| match step {
        SyncStep::Ask(_) if now_ms < 500 => SyncOutcome::Failed,
        _ => SyncOutcome::Recent,
    });
    assert!(counts.store() <= hosts + 3, "{} reads of the store", counts.store());
}

/// After a kill of all processes nodes with a configuration and no owners asked each other in a
/// circle, and two owners did not learn of their leases for 2.5 s.
#[test]
fn a_node_that_knows_no_reader_asks_the_seeds_before_other_nodes() {
    let mut source = MetadataSource::new(0, 7);
    let mut topology = topology(100, false);
    topology.relays = vec![address(4), address(10)];
    topology.deputies = vec![address(5)];
    for now_ms in [0, 50, 90] {
        let SyncStep::Ask(asked) = source.next(now_ms, &topology) else {
            panic!("no node is asked")
        };
        assert!(topology.seeds.contains(&asked), "{asked} may know as little");
        source.record(now_ms, SyncStep::Ask(asked), SyncOutcome::Recent);
    }
}

/// In a network split a host reached the store, but waited 2.6 s for the nodes before it, which
/// were on the other side, and served an old configuration meanwhile.
#[test]
fn a_host_with_too_old_metadata_reads_the_store_whatever_its_place() {
    let mut topology = topology(23, true);
    let mut source = MetadataSource::new(0, 7);
    source.record(1_000, SyncStep::Ask(address(0)), SyncOutcome::Recent);
    source.record(1_500, SyncStep::Ask(address(0)), SyncOutcome::Outdated);
    topology.age_ms = Some(OWN_READ_AGE_MS - 1);
    assert!(matches!(source.next(1_600, &topology), SyncStep::Ask(_)));
    topology.age_ms = Some(OWN_READ_AGE_MS + 200);
    assert_eq!(source.next(1_900, &topology), SyncStep::ReadStore);
    // A failed read is not repeated at once.
    source.record(1_910, SyncStep::ReadStore, SyncOutcome::Failed);
    assert!(matches!(source.next(1_950, &topology), SyncStep::Ask(_)));
}

/// Seeds that failed delay a start, but do not prevent it.
#[test]
fn a_host_whose_seeds_have_failed_reads_the_store_itself() {
    let mut source = MetadataSource::new(0, 7);
    let topology = topology(100, false);
    let mut now_ms = 0;
    loop {
        let step = source.next(now_ms, &topology);
        if step == SyncStep::ReadStore {
            break;
        }
        source.record(now_ms, step, SyncOutcome::Failed);
        now_ms += ROUND_MS;
        assert!(now_ms < 4_000, "the host never reads the store");
    }
}
