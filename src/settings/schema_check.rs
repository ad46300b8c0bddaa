//! Checks JSON text against a JSON Schema.

use serde_json::Value;

use crate::fleet::finding::Finding;

/// Minimum Jaro-Winkler similarity at which a known setting is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.7;

/// Names of settings whose values must not appear in findings.
const SECRET_FIELDS: [&str; 2] = ["member_password", "shared_secret"];

/// What a finding shows in place of a value that may be secret.
const HIDDEN: &str = "(hidden)";

/// Parses a text and checks it against a schema.
///
/// # Errors
///
/// Returns all findings, sorted by path.
pub fn check(text: &str, schema_text: &str) -> Result<Value, Vec<Finding>> {
    let value: Value = serde_json::from_str(text)
        .map_err(|error| vec![Finding::new("/", "text", format!("is not JSON: {error}"))])?;
    let schema: Value = serde_json::from_str(schema_text)
        .map_err(|error| vec![Finding::new("/", "schema", format!("is not JSON: {error}"))])?;
    let validator = jsonschema::validator_for(&schema)
        .map_err(|error| vec![Finding::new("/", "schema", format!("is not valid: {error}"))])?;
    let mut findings: Vec<Finding> = validator
        .iter_errors(&value)
        .flat_map(|error| to_findings(&error, &value, &schema))
        .collect();
    findings.sort_by(|left, right| (&left.path, &left.rule).cmp(&(&right.path, &right.rule)));
    match findings.is_empty() {
        true => Ok(value),
        false => Err(findings),
    }
}

fn to_findings(
    error: &jsonschema::ValidationError<'_>,
    value: &Value,
    schema: &Value,
) -> Vec<Finding> {
    let path = error.instance_path().to_string();
    if let jsonschema::error::ValidationErrorKind::AdditionalProperties { unexpected } =
        error.kind()
    {
        let known = known_names(schema);
        let finding = |name: &String| {
            let path = format!("{path}/{name}");
            let shown = value.pointer(&path).map(shown_value).unwrap_or_default();
            Finding::new(&path, shown, unknown_setting_rule(name, &known))
        };
        return unexpected.iter().map(finding).collect();
    }
    let is_secret = SECRET_FIELDS.iter().any(|field| path.ends_with(field));
    let instance = error.instance();
    let (shown, rule) = match is_secret {
        true => (HIDDEN.to_owned(), "does not fit its rule in the schema".to_owned()),
        false if instance.is_object() => {
            (shown_value(instance), format!("breaks the rule: {error}"))
        }
        false => (instance.to_string(), format!("breaks the rule: {error}")),
    };
    vec![Finding::new(&path, shown, rule)]
}

/// Returns a value as a finding shows it, unless it may be or contain a secret: the name of a secret
/// setting may be misspelt.
fn shown_value(value: &Value) -> String {
    match value {
        Value::Null | Value::Bool(_) | Value::Number(_) => value.to_string(),
        Value::String(_) | Value::Array(_) | Value::Object(_) => HIDDEN.to_owned(),
    }
}

fn unknown_setting_rule(name: &str, known: &[String]) -> String {
    let similarity = |known: &&String| strsim::jaro_winkler(name, known);
    let best = known.iter().max_by(|left, right| similarity(left).total_cmp(&similarity(right)));
    match best.filter(|known| similarity(known) >= MIN_SIMILARITY) {
        Some(best) => format!("is not a known setting; did you mean \"{best}\"?"),
        None => "is not a known setting".to_owned(),
    }
}

/// Returns all property names that the schema defines, sorted.
fn known_names(schema: &Value) -> Vec<String> {
    let mut names = Vec::new();
    collect_names(schema, &mut names);
    names.sort();
    names.dedup();
    names
}

fn collect_names(schema: &Value, names: &mut Vec<String>) {
    let Some(object) = schema.as_object() else {
        return;
    };
    if let Some(properties) = object.get("properties").and_then(Value::as_object) {
        names.extend(properties.keys().cloned());
    }
    for child in object.values() {
        collect_names(child, names);
    }
}
