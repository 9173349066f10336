//! Settings: defaults, and each kind of error with its line, field and allowed values.

use std::path::Path;

use chicoryford_settings::Settings;
use chicoryford_settings::SettingsError;
use chicoryford_settings::parse;
use quickcheck::quickcheck;

const SOUND: &str = "\
node: ston-1
data: state
entry: {}
control:
  replicas:
    - node: ston-1
      address: 127.0.0.1:7100
";

fn read(text: &str) -> Result<Settings, SettingsError> {
    parse(Path::new("node.yaml"), text)
}

fn error(text: &str) -> String {
    read(text).expect_err("the text has an error").to_string()
}

#[test]
fn can_read_settings_with_defaults() {
    let settings = read(SOUND).unwrap();
    let defaults = Settings::default();
    assert_eq!(settings.node.as_str(), "ston-1");
    assert_eq!(settings.grace_ms, defaults.grace_ms);
    assert_eq!(settings.entry, Some(Default::default()));
    assert_eq!(settings.agent, None);
}

#[test]
fn errors_on_an_unknown_field_with_the_nearest_name() {
    // Symptom: a bound that an operator set has no effect. Sequence: the field is misspelt, the
    // reader skips it, the default holds. Cause: unknown fields were not refused.
    let text = "node: a\nentry:\n  silense_ms: 5000\n";
    let expected = "node.yaml:3: entry: unknown field `silense_ms`, did you mean `silence_ms`?; \
                    allowed: running, waiting, subset, silence_ms, rescue_ms, predict, \
                    hedge, bodies";
    assert_eq!(error(text), expected);
}

#[test]
fn errors_on_an_unknown_field_that_is_like_none() {
    let text = "node: a\nqqq: 1\n";
    let said = error(text);
    assert!(said.starts_with("node.yaml:2: unknown field `qqq`; allowed: node, region"), "{said}");
}

#[test]
fn errors_on_a_wrong_type() {
    let text = "entry:\n  running: many\n";
    let expected = "node.yaml:2: entry.running: invalid type: string \"many\", expected usize";
    assert_eq!(error(text), expected);
}

#[test]
fn errors_on_a_wrong_variant_with_the_allowed_ones() {
    let text = "agent:\n  kind: motor\n";
    let said = error(text);
    let expected =
        "node.yaml:2: agent.kind: unknown variant `motor`, expected `engine` or `service`";
    assert_eq!(said, expected);
}

#[test]
fn errors_on_malformed_yaml() {
    let said = error("node: [a\n");
    assert!(said.starts_with("node.yaml:"), "{said}");
    assert!(matches!(read("node: [a\n"), Err(SettingsError::Malformed { .. })));
}

#[test]
fn errors_on_every_fault_at_once() {
    let text = "\
node: ston 1
grace_ms: 99999999999
control:
  election_ms: 300
  swap_percent: 0
  replicas:
    - node: ston-2
      address: ston:7100
    - node: ston-2
      address: 127.0.0.1:7100
";
    let lines: Vec<String> = error(text).lines().map(str::to_owned).collect();
    let expected = [
        "node.yaml:1: node: \"ston 1\" is no name; allowed: 1 to 64 letters, digits, `-`, `_` and `.`",
        "node.yaml:2: grace_ms: 99999999999 is out of range; allowed: 0 to 86400000",
        "node.yaml:3: control: a control process needs a data folder: set `data` to one that survives",
        "node.yaml:5: control.swap_percent: 0 is out of range; allowed: 1 to 100",
        "node.yaml:4: control.election_ms: must be at least three times `heartbeat_ms`",
        "node.yaml:8: control.replicas.0.address: \"ston:7100\" is no address; allowed: an IP number, a colon and a port, such as 127.0.0.1:7100",
        "node.yaml:9: control.replicas.1.node: \"ston-2\" is listed twice",
        "node.yaml:6: control.replicas: the replicas must include this process, or `join` must be true",
    ];
    assert_eq!(lines, expected);
}

#[test]
fn errors_on_a_process_without_a_role() {
    let said = error("node: a\n");
    assert!(said.contains("allowed: a section `entry`, `control` or `agent`"), "{said}");
}

#[test]
fn errors_on_a_file_that_is_not_there() {
    let gone = chicoryford_settings::load(Path::new("gone.yaml"));
    assert!(matches!(gone, Err(SettingsError::Read(..))));
}

#[test]
fn can_find_files_beside_the_settings() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("node.yaml");
    std::fs::write(&file, SOUND).unwrap();
    let settings = chicoryford_settings::load(&file).unwrap();
    assert_eq!(settings.keys, folder.path().join("keys"));
    assert_eq!(settings.data, Some(folder.path().join("state")));
}

quickcheck! {
    fn refuses_or_reads_any_text(text: String) -> bool {
        // Whatever the text, reading it ends with settings or an error that names the file.
        match read(&text) {
            Ok(_) => true,
            Err(error) => error.to_string().starts_with("node.yaml"),
        }
    }
}
