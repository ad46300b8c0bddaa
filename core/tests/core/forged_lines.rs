//! Names of other writers in log lines, metrics and the status text: none becomes another line, label
//! or pair.

use std::time::Duration;

use log::Level;
use log::Record;
use proptest::prelude::*;

use crate::test_cluster::TestCluster;
use snipehead_core::configuration::ServiceLimits;
use snipehead_core::log_line::write_pairs;
use snipehead_core::metrics::Metrics;
use snipehead_core::outcome::Failure;

const FORGED: &str = "a\"} 1\nforged 1\\";

/// Returns the names and values of a line's labels, and the value of the line.
fn labels(line: &str) -> (Vec<(String, String)>, &str) {
    let (_, mut rest) = line.split_once('{').expect("the line has labels");
    let mut labels = Vec::new();
    loop {
        let (name, text) = rest.split_once("=\"").expect("a label has a value");
        let mut value = String::new();
        let mut characters = text.char_indices();
        let end = loop {
            match characters.next().expect("a value ends with a quote") {
                (end, '"') => break end,
                (_, '\\') => match characters.next().expect("an escape has two characters").1 {
                    'n' => value.push('\n'),
                    character => value.push(character),
                },
                (_, character) => value.push(character),
            }
        };
        labels.push((name.to_owned(), value));
        rest = &text[end + 1..];
        match rest.strip_prefix(',') {
            Some(next) => rest = next,
            None => return (labels, rest.strip_prefix("} ").expect("the labels end")),
        }
    }
}

proptest! {
    /// Guards against names that forge another metric or label.
    #[test]
    fn labels_are_read_as_the_names_that_were_written(
        tenant in "[a\"\\\\\\n,={}\\PC]{0,9}",
        route in "[a\"\\\\\\n,={}\\PC]{0,9}",
    ) {
        let metrics = Metrics::default();
        metrics.record_served(&tenant.as_str().into(), &route.as_str().into(), 7);
        metrics.record_failed(&tenant.as_str().into(), Failure::Busy);
        let mut text = String::new();
        metrics.render(&mut text);
        let lines: Vec<&str> = text.split_terminator('\n').collect();
        prop_assert_eq!(lines.len(), 5, "{}", text);
        for (number, line) in lines.iter().enumerate() {
            let (labels, value) = labels(line);
            prop_assert!(value == "1" || value == "7", "{}", line);
            let mut expected = vec![("tenant".to_owned(), tenant.clone())];
            expected.push(match number {
                4 => ("reason".to_owned(), "busy".to_owned()),
                _ => ("route".to_owned(), route.clone()),
            });
            prop_assert_eq!(&labels[..2], &expected);
        }
    }

    /// Guards against texts that forge another log line or pair: what stands between quotes has
    /// neither an end of a line nor a quote without a backslash.
    #[test]
    fn a_log_line_has_the_pairs_that_were_logged(
        value in "[a =\"\\\\\\r\\n\\PC]{0,12}",
        message in "[a =\"\\\\\\r\\n\\PC]{0,12}",
    ) {
        let mut written = Vec::new();
        let pairs = [("id", value.as_str())];
        let arguments = format_args!("{message}");
        let record = Record::builder().level(Level::Info).key_values(&pairs).args(arguments).build();
        write_pairs(&mut written, &record).expect("writing to memory succeeds");
        let line = String::from_utf8(written).expect("a log line is UTF-8");
        prop_assert!(!line.contains(['\r', '\n']), "{}", line);
        let mut unquoted = String::new();
        let mut is_quoted = false;
        let mut characters = line.chars();
        while let Some(character) = characters.next() {
            match character {
                '"' => is_quoted = !is_quoted,
                '\\' if is_quoted => drop(characters.next()),
                _ if is_quoted => {}
                character => unquoted.push(character),
            }
        }
        prop_assert!(!is_quoted, "{}", line);
        let words = 1 + usize::from(!message.is_empty());
        prop_assert_eq!(unquoted.split_whitespace().count(), words, "{}", line);
    }
}

/// Guards against names of services that forge lines in the metrics and in the status text.
#[tokio::test]
async fn a_service_name_forges_no_line() {
    let cluster = TestCluster::start(1).await;
    cluster.store.change(|configuration| {
        let limits = ServiceLimits {
            name: FORGED.into(),
            max_connections: 1,
            cold_per_s: 0.0,
            sync_replicas: 0,
        };
        configuration.services.insert(FORGED.into(), limits.into());
    });
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let node = &cluster.hosts[0].node;
    let metrics = node.render_metrics();
    let escaped = r#"service_open{service="a\"} 1\nforged 1\\"} "#;
    assert!(metrics.contains(escaped), "{metrics}");
    assert!(!metrics.contains("\nforged"), "{metrics}");
    let (_, report) = node.health_report();
    assert!(report.contains("forged"), "{report}");
    assert!(!report.contains("\nforged"), "{report}");
}
