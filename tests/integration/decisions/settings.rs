//! Tests of the checks of daemon settings and fleet documents, which report all findings of a file
//! at once, each with its place in the file.

use std::path::Path;

use insta::assert_snapshot;
use proptest::prelude::*;
use sha2::Digest;

use snipehead::client::commands::check_text;

fn read_json_files(name: &str) -> Vec<(String, String)> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join(name);
    let mut files: Vec<_> = std::fs::read_dir(directory)
        .expect("the directory can be read")
        .map(|entry| entry.expect("the directory can be read").path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "json"))
        .collect();
    files.sort();
    let read = |path: std::path::PathBuf| {
        let name =
            path.file_name().expect("the path has a file name").to_string_lossy().into_owned();
        (name, std::fs::read_to_string(&path).expect("the file can be read"))
    };
    files.into_iter().map(read).collect()
}

#[test]
fn samples_and_valid_files_have_no_findings() {
    let files = read_json_files("samples")
        .into_iter()
        .chain(read_json_files("tests/integration/data/valid"));
    for (name, text) in files {
        assert_eq!(check_text(&text), Vec::new(), "{name}");
    }
}

#[test]
fn invalid_files_have_these_findings() {
    let mut report = String::new();
    for (name, text) in read_json_files("tests/integration/data/invalid") {
        let findings = check_text(&text);
        assert!(!findings.is_empty(), "{name} has no findings");
        report.push_str(&format!("{name}\n"));
        findings.iter().for_each(|finding| report.push_str(&format!("  {finding}\n")));
    }
    assert_snapshot!(report);
}

/// The value of a misspelt secret setting was shown, and the excerpt of a file with a missing setting
/// could contain one.
#[test]
fn findings_show_no_secret() {
    let texts = [
        r#"{"name":"host01","shared_secrt":"s3cret-s3cret-s3cret"}"#,
        r#"{"member_password":"s3cret-s3cret-s3cret"}"#,
        r#"{"name":"host01","shared_secret":["s3cret-s3cret-s3cret"]}"#,
        r#"{"name":"host01","secrets":{"password":"s3cret-s3cret-s3cret"}}"#,
    ];
    for text in texts {
        let findings = check_text(text);
        assert!(!findings.is_empty(), "{text}");
        let shown: Vec<String> = findings.iter().map(ToString::to_string).collect();
        assert!(!shown.concat().contains("s3cret"), "{shown:?}");
    }
}

#[test]
fn generated_types_are_those_of_the_schemas() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let read = |path: &str| std::fs::read(root.join(path)).expect("the file can be read");
    let entries: serde_json::Value =
        serde_json::from_slice(&read("schemas/generated.json")).expect("the file is valid JSON");
    for entry in entries.as_array().expect("the file holds an array") {
        for field in ["schema", "generated"] {
            let path = entry[field].as_str().expect("the path is a string");
            let digest = hex::encode(sha2::Sha256::digest(read(path)));
            let recorded =
                entry[format!("{field}_sha256")].as_str().expect("the digest is a string");
            assert_eq!(
                digest, recorded,
                "{path} has changed: generate the types again, see CONTRIBUTING.md"
            );
        }
    }
}

#[test]
fn secrets_are_never_shown_in_findings() {
    let text = include_str!("../data/invalid/short-secret.json");
    let shown = format!("{:?}", check_text(text));
    assert!(!shown.contains("tooshort"), "{shown}");
}

proptest! {
    #[test]
    fn check_accepts_any_text(text in "\\PC{0,300}") {
        check_text(&text);
    }
}
