//! Order of configurations: an older version never replaces a newer one.

use snipehead_core::configuration::Configuration;
use snipehead_core::configuration_watch::ConfigurationWatch;

fn version(version: u64) -> Configuration {
    Configuration { version, ..Configuration::default() }
}

#[test]
fn older_versions_are_ignored() {
    let watch = ConfigurationWatch::default();
    assert!(watch.update(version(5), 100));
    assert!(!watch.update(version(4), 200));
    let known = watch.known().expect("a configuration is known");
    assert_eq!(known.configuration.version, 5);
    assert_eq!(known.confirmed_at_ms, 100, "an older version confirms nothing");
}

#[test]
fn a_peer_confirms_only_the_known_version() {
    let watch = ConfigurationWatch::default();
    watch.update(version(5), 100);
    watch.confirm(4, 300);
    assert_eq!(watch.known().expect("a configuration is known").confirmed_at_ms, 100);
    watch.confirm(5, 300);
    watch.confirm(5, 200);
    assert_eq!(watch.known().expect("a configuration is known").confirmed_at_ms, 300);
}

#[test]
fn an_evacuation_is_applied_without_a_new_version() {
    let watch = ConfigurationWatch::default();
    watch.update(version(5), 100);
    let mut evacuated = version(5);
    evacuated.evacuated.insert("almaty-a".into());
    assert!(watch.update(evacuated, 200));
}
