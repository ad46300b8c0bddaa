//! Functions by name: those that only read, and those that leave state on a connection.

/// Functions that only compute, so that a replica may run them.
pub const READ_ONLY: [&str; 44] = [
    "abs",
    "array_agg",
    "avg",
    "ceil",
    "char_length",
    "coalesce",
    "concat",
    "count",
    "current_date",
    "current_timestamp",
    "date_part",
    "date_trunc",
    "dense_rank",
    "floor",
    "greatest",
    "json_agg",
    "json_build_object",
    "jsonb_agg",
    "jsonb_build_object",
    "lag",
    "lead",
    "least",
    "left",
    "length",
    "lower",
    "ltrim",
    "max",
    "min",
    "mod",
    "now",
    "nullif",
    "rank",
    "replace",
    "right",
    "round",
    "row_number",
    "row_to_json",
    "rtrim",
    "string_agg",
    "sum",
    "to_char",
    "trim",
    "unnest",
    "upper",
];

/// Functions that leave state on a connection, or steer a group, with the reason for refusing them.
const REFUSED: [(&str, &str); 8] = [
    ("pg_advisory_lock", "session locks do not outlive a transaction here"),
    ("pg_advisory_lock_shared", "session locks do not outlive a transaction here"),
    ("pg_try_advisory_lock", "session locks do not outlive a transaction here"),
    ("pg_try_advisory_lock_shared", "session locks do not outlive a transaction here"),
    ("pg_advisory_unlock", "session locks do not outlive a transaction here"),
    ("set_config", "use SET or SET LOCAL"),
    ("currval", "use RETURNING"),
    ("lastval", "use RETURNING"),
];

/// Prefix of the procedures by which daemons steer a group.
const CONTROL_PREFIX: &str = "group_";

/// Returns why a function is refused, if it is.
pub fn refusal(name: &str) -> Option<String> {
    if name.starts_with(CONTROL_PREFIX) {
        return Some(format!("{name} is for daemons only"));
    }
    let found = REFUSED.iter().find(|(refused, _)| *refused == name);
    found.map(|(_, reason)| format!("{name} is not supported: {reason}"))
}

/// Returns whether a function only reads.
pub fn is_read_only(name: &str) -> bool {
    READ_ONLY.contains(&name)
}
