//! Tests that outside texts stay within the literals in which they are sent to members.

use proptest::prelude::*;

use snipehead::caller::classify::classify;
use snipehead::caller::request_id::RequestId;
use snipehead::caller::session_settings::SessionSettings;
use snipehead::caller::statement_class::StatementClass;
use snipehead::traffic::token::TokenSigner;

/// Reads the literals of an SQL text as a member does, with `standard_conforming_strings` on or
/// off. Returns the texts of the literals, and the SQL without them.
fn read_literals(sql: &str, are_strings_standard: bool) -> (Vec<String>, String) {
    let mut literals = Vec::new();
    let mut rest = String::new();
    let mut characters = sql.chars().peekable();
    while let Some(character) = characters.next() {
        if character != '\'' {
            rest.push(character);
            continue;
        }
        let has_escapes = rest.ends_with('E') || !are_strings_standard;
        if rest.ends_with('E') {
            rest.pop();
        }
        let mut text = String::new();
        while let Some(next) = characters.next() {
            match next {
                '\\' if has_escapes => text.extend(characters.next()),
                '\'' if characters.peek() == Some(&'\'') => text.extend(characters.next()),
                '\'' => break,
                other => text.push(other),
            }
        }
        rest.push('?');
        literals.push(text);
    }
    (literals, rest)
}

fn texts() -> impl Strategy<Value = String> {
    prop::collection::vec(prop::sample::select(vec!['\'', '\\', ';', 'a', '-', ' ']), 1..12)
        .prop_map(|characters| characters.into_iter().collect())
}

proptest! {
    /// Guards against a request id that ends its literal, so that the rest of it runs as SQL.
    #[test]
    fn request_ids_stay_within_their_literals(workspace in texts(), id in texts()) {
        let request = RequestId::new(&workspace, &id, "content");
        let sql = request.lookup_sql();
        for are_strings_standard in [true, false] {
            let (literals, rest) = read_literals(&sql, are_strings_standard);
            prop_assert_eq!(&literals, &[workspace.clone(), id.clone()]);
            prop_assert!(rest.ends_with("WHERE workspace = ? AND request_id = ?"), "{}", rest);
        }
    }

    /// Guards against the same with the value of a setting.
    #[test]
    fn values_of_settings_stay_within_their_literals(value in texts()) {
        let mut settings = SessionSettings::new("families".into(), "orders".into());
        let signer = TokenSigner::new("secret");
        settings.set("search_path", Some(value.clone()), &signer).expect("the setting is accepted");
        for are_strings_standard in [true, false] {
            let (literals, rest) = read_literals(&settings.setup_sql(), are_strings_standard);
            prop_assert_eq!(&literals, std::slice::from_ref(&value));
            prop_assert_eq!(rest, "SET search_path = ?; ");
        }
    }
}

/// Guards against a member that reads a literal in another way than the proxy, so that a write
/// counts as a read, which is sent again when its connection is lost.
#[test]
fn members_read_literals_as_the_proxy_does() {
    let signer = TokenSigner::new("secret");
    for value in ["off", "OFF", "false", "0", "no"] {
        let mut settings = SessionSettings::default();
        let set = settings.set("standard_conforming_strings", Some(value.to_owned()), &signer);
        assert_eq!(set.map_err(|error| error.code), Err("0A000".to_owned()), "{value}");
    }
    for value in [Some("on".to_owned()), None] {
        let mut settings = SessionSettings::default();
        let set = settings.set("standard_conforming_strings", value, &signer);
        assert_eq!(set, Ok(()));
        assert_eq!(settings.setup_sql(), "");
    }
    let classes = classify("SET LOCAL standard_conforming_strings = off");
    assert!(matches!(classes.as_slice(), [StatementClass::Refused(_)]), "{classes:?}");
}
