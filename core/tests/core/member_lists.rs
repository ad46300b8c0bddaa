//! Lists of members that arrive in any order, from the store and from other nodes.

use proptest::prelude::*;

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
