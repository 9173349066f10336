//! The settings file of a process of a fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chicoryford_fleet::Policy;
use chicoryford_fleet::hedge::AttemptShare;
use chicoryford_fleet::hedge::SecondAttempts;
use chicoryford_fleet::overload::Limits;
use chicoryford_node::settings;
use chicoryford_node::settings::SettingsError;

const MINIMAL: &str = "node: core-1\nip: 10.1.0.5\ndata_centre: ston\nlink_port: 7700\n";

fn load(text: &str) -> Result<settings::Settings, SettingsError> {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("node.yaml");
    std::fs::write(&file, text).unwrap();
    settings::load(&file)
}

#[test]
fn missing_fields_have_defaults() {
    let settings = load(MINIMAL).unwrap();
    assert_eq!((settings.tolerated, settings.grace_ms, settings.lease_ms), (1, 8_000, 3_000));
    assert!(settings.entry.is_none() && settings.data.is_none() && !settings.first_start);
    let own: SocketAddr = "10.1.0.5:7700".parse().unwrap();
    assert_eq!(settings.own_link_address(), own);
}

#[test]
fn seeds_map_to_link_addresses_and_the_listen_address_may_differ() {
    let more = "seeds: [\"10.1.0.5:9000\", \"10.2.0.6:9000\"]\nlisten_ip: 127.0.0.9\n";
    let settings = load(&format!("{MINIMAL}{more}")).unwrap();
    let links: Vec<String> =
        settings.seed_link_addresses().iter().map(ToString::to_string).collect();
    assert_eq!(links, ["10.1.0.5:7700", "10.2.0.6:7700"]);
    assert_eq!(settings.listen_address(settings.own_link_address()).to_string(), "127.0.0.9:7700");
}

#[test]
fn a_mechanism_can_be_switched_off_by_its_name() {
    let settings = load(&format!("{MINIMAL}policy: {{ run_notes: false }}\n")).unwrap();
    assert_eq!(settings.policy, Policy { run_notes: false, ..Policy::default() });
    let settings = load(&format!("{MINIMAL}policy:\n  paced_scorers: true\n")).unwrap();
    assert_eq!(settings.policy, Policy { paced_scorers: true, ..Policy::default() });
    assert!(!Policy::default().paced_scorers);
    let misspelt = load(&format!("{MINIMAL}policy: {{ run_note: false }}\n")).unwrap_err();
    assert!(format!("{misspelt:?}").contains("run_note"));
}

/// Guards against a settings file that does not enable what it names, and against enabling it in
/// deployments that do not name it.
#[test]
fn reachability_is_shared_only_if_the_settings_say_so() {
    assert!(!load(MINIMAL).unwrap().policy.shared_reachability);
    let settings = load(&format!("{MINIMAL}policy:\n  shared_reachability: true\n")).unwrap();
    assert_eq!(settings.policy, Policy { shared_reachability: true, ..Policy::default() });
}

/// Guards against protection that deployments get without asking, and against limits that are not
/// read.
#[test]
fn overload_protection_is_enabled_and_limited_by_the_settings() {
    let settings = load(MINIMAL).unwrap();
    assert!(!settings.policy.overload_protection);
    assert_eq!(settings.limits(), Limits::default());
    let text = "memory_mb: 120\ndescriptors: 3075\npolicy:\n  overload_protection: true\n";
    let settings = load(&format!("{MINIMAL}{text}")).unwrap();
    assert_eq!(settings.policy, Policy { overload_protection: true, ..Policy::default() });
    let limits = Limits { memory_mb: Some(120), descriptors: Some(3_075) };
    assert_eq!(settings.limits(), limits);
}

#[test]
fn a_misspelt_or_missing_field_is_named() {
    let misspelt = load(&format!("{MINIMAL}seads: []\n")).unwrap_err();
    let text = format!("{:?}", misspelt);
    assert!(text.contains("seads"), "{text}");
    let missing = load("node: core-1\n").unwrap_err();
    assert!(format!("{missing:?}").contains("ip"));
}

/// Guards against a limit of second attempts that is read as another one, or silently ignored.
#[test]
fn shares_of_second_attempts_are_read_and_checked() {
    let share = |share: f64| AttemptShare::try_from(share).unwrap();
    assert_eq!(load(MINIMAL).unwrap().second_attempts, SecondAttempts::default());
    let text = "policy:\n  connect_fallback: true\nsecond_attempts:\n  share: 0.05\n";
    let settings = load(&format!("{MINIMAL}{text}")).unwrap();
    assert!(settings.policy.connect_fallback && !Policy::default().connect_fallback);
    assert_eq!(settings.second_attempts.share, Some(share(0.05)));
    let text = "second_attempts: { share: 0, services: { desk: 0.02 } }\n";
    let limits = load(&format!("{MINIMAL}{text}")).unwrap().second_attempts;
    let services = BTreeMap::from([("desk".to_owned(), share(0.02))]);
    assert_eq!(limits, SecondAttempts { share: Some(share(0.0)), services });
    for unfit in ["{ share: 5 }", "{ share: -0.1 }", "{ shares: 0.05 }"] {
        assert!(load(&format!("{MINIMAL}second_attempts: {unfit}\n")).is_err(), "{unfit}");
    }
}
