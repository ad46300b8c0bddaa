//! Texts as literals in SQL.

/// Returns a text as an SQL string literal, whose meaning depends on no setting of the session.
pub fn text_literal(text: &str) -> String {
    let quoted = text.replace('\'', "''");
    match quoted.contains('\\') {
        true => format!("E'{}'", quoted.replace('\\', "\\\\")),
        false => format!("'{quoted}'"),
    }
}
