//! Lists of members that arrive in any order, from the store and from other nodes.

use proptest::prelude::*;

use snipehead_core::known_members::KnownMembers;
use snipehead_core::known_members::RETURN_LIMIT_MS;
use snipehead_core::member::MemberEntry;
use snipehead_core::member::MemberKey;
use snipehead_core::member_directory::MemberDirectory;

/// Returns the list that the store has at a time: a member leaves, and another comes, every 100 ms.
fn stored(at_ms: u64) -> Vec<MemberEntry> {
    let first = at_ms / 100;
    let entry = |number: u64| MemberEntry {
        key: MemberKey { id: format!("m{number}").into(), incarnation: 1 },
        service: "dispatch".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "almaty-a".into(),
        slots: 3,
        is_draining: false,
        cold_ms: 0,
        claims_primary: false,
    };
    (first..first + 3).map(entry).collect()
}

proptest! {
    /// Guards against an old list of another node that replaces a newer one.
    #[test]
    fn a_member_that_has_left_does_not_come_back(
        arrivals in prop::collection::vec((0_u64..2_000, any::<bool>()), 1..40),
    ) {
        let directory = MemberDirectory::default();
        let mut newest_ms = 0;
        for (read_at_ms, is_confirmation) in arrivals {
            newest_ms = newest_ms.max(read_at_ms);
            let entries = stored(read_at_ms);
            let other = MemberDirectory::default();
            other.update(entries.clone(), read_at_ms);
            match is_confirmation && other.digest() == directory.digest() {
                true => directory.confirm(other.digest(), read_at_ms),
                false => directory.update(entries, read_at_ms),
            }
            let known = directory.entries().expect("a list");
            prop_assert_eq!(known.as_slice(), stored(newest_ms));
            prop_assert_eq!(directory.age_ms(5_000), Some(5_000 - newest_ms));
        }
    }
}

/// The absence of a member counts from the first of successive reads. Reads before an outage, or those of a
/// former owner, prove nothing.
#[test]
fn a_missing_member_is_gone_after_successive_reads_without_it() {
    let service = "dispatch".into();
    let recorded = [stored(0)[0].key.clone()];
    let mut known = KnownMembers::new(&recorded);
    let others = &stored(0)[1..];
    assert_eq!(known.missing(), recorded);
    for at_ms in (0..5_000).step_by(1_000) {
        known.apply(at_ms, others, &service);
    }
    let returned_at_ms = 9_000;
    for at_ms in (returned_at_ms..returned_at_ms + RETURN_LIMIT_MS).step_by(1_000) {
        known.apply(at_ms, others, &service);
        assert_eq!(known.missing(), recorded, "gone at {at_ms}");
    }
    known.apply(returned_at_ms + RETURN_LIMIT_MS, others, &service);
    assert_eq!(known.missing(), []);
    assert_eq!(known.usable(), others);
}

/// A member whose entry has expired is used until it would be back, unless it was draining.
#[test]
fn a_member_is_used_while_its_entry_may_be_late() {
    let service = "dispatch".into();
    let mut known = KnownMembers::default();
    let mut entries = stored(0);
    entries[1].is_draining = true;
    known.apply(0, &entries, &service);
    known.apply(4_000, &entries[2..], &service);
    assert_eq!(known.usable(), [entries[2].clone(), entries[0].clone()]);
    assert_eq!(known.missing().len(), 2);
    (5..7).for_each(|at_s| known.apply(at_s * 1_000, &entries[2..], &service));
    assert_eq!(known.usable().len(), 2);
    known.apply(7_000, &entries[2..], &service);
    assert_eq!(known.usable(), entries[2..]);
    assert_eq!(known.missing(), [entries[0].key.clone()]);
}
