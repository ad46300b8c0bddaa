//! Lists of functions: those that replicas may run, and those that the proxy refuses.

/// Functions without side effects, which a replica may run.
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

/// Functions that depend on session state, which a connection does not keep between transactions,
/// with the advice or reason that the caller gets.
const UNSUPPORTED: [(&str, &str); 8] = [
    ("pg_advisory_lock", "session locks are not kept after a transaction"),
    ("pg_advisory_lock_shared", "session locks are not kept after a transaction"),
    ("pg_try_advisory_lock", "session locks are not kept after a transaction"),
    ("pg_try_advisory_lock_shared", "session locks are not kept after a transaction"),
    ("pg_advisory_unlock", "session locks are not kept after a transaction"),
    ("set_config", "use SET or SET LOCAL"),
    ("currval", "use RETURNING"),
    ("lastval", "use RETURNING"),
];

/// Prefix of the procedures with which daemons control a group.
const CONTROL_PREFIX: &str = "group_";

/// Returns the reason why a function is refused, if it is.
pub fn refusal_reason(name: &str) -> Option<String> {
    if name.starts_with(CONTROL_PREFIX) {
        return Some(format!("{name} may be called by daemons only"));
    }
    let found = UNSUPPORTED.iter().find(|(unsupported, _)| *unsupported == name);
    found.map(|(_, reason)| format!("{name} is not supported: {reason}"))
}

/// Returns whether a function has no side effects.
pub fn is_read_only(name: &str) -> bool {
    READ_ONLY.contains(&name)
}
