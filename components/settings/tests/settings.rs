//! Settings: their defaults, and the line, field and allowed values in each kind of error.

use std::path::Path;

use chicoryford_settings::Settings;
use chicoryford_settings::SettingsError;
use chicoryford_settings::parse;
use quickcheck::quickcheck;

const VALID: &str = "\
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
    read(text).expect_err("the text is invalid").to_string()
}

#[test]
fn can_read_settings_with_defaults() {
    let settings = read(VALID).unwrap();
    let defaults = Settings::default();
    assert_eq!(settings.node.as_str(), "ston-1");
    assert_eq!(settings.grace_ms, defaults.grace_ms);
    assert_eq!(settings.entry, Some(Default::default()));
    assert_eq!(settings.agent, None);
}

#[test]
fn errors_on_an_unknown_field_with_the_nearest_name() {
    // Guards against a limit that has no effect because its field is misspelled: the parser used to
    // ignore unknown fields, so the default applied.
    let text = "node: a\nentry:\n  silense_ms: 5000\n";
    let expected = "node.yaml:3: entry: unknown field `silense_ms`, did you mean `silence_ms`?; \
                    allowed: running, waiting, subset, silence_ms, rescue_ms, predict, \
                    hedge, bodies";
    assert_eq!(error(text), expected);
}

#[test]
fn errors_on_an_unknown_field_without_a_similar_name() {
    let text = "node: a\nqqq: 1\n";
    let message = error(text);
    assert!(
        message.starts_with("node.yaml:2: unknown field `qqq`; allowed: node, region"),
        "{message}"
    );
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
    let message = error(text);
    let expected =
        "node.yaml:2: agent.kind: unknown variant `motor`, expected `engine` or `service`";
    assert_eq!(message, expected);
}

#[test]
fn errors_on_malformed_yaml() {
    let message = error("node: [a\n");
    assert!(message.starts_with("node.yaml:"), "{message}");
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
    let message = error("node: a\n");
    assert!(message.contains("allowed: a section `entry`, `control` or `agent`"), "{message}");
}

#[test]
fn errors_on_a_missing_file() {
    let missing = chicoryford_settings::load(Path::new("gone.yaml"));
    assert!(matches!(missing, Err(SettingsError::Read(..))));
}

#[test]
fn relative_paths_are_resolved_against_the_settings_folder() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("node.yaml");
    std::fs::write(&file, VALID).unwrap();
    let settings = chicoryford_settings::load(&file).unwrap();
    assert_eq!(settings.keys, folder.path().join("keys"));
    assert_eq!(settings.data, Some(folder.path().join("state")));
}

quickcheck! {
    fn parses_or_rejects_any_text(text: String) -> bool {
        // Any text results in settings or in an error that names the file.
        match read(&text) {
            Ok(_) => true,
            Err(error) => error.to_string().starts_with("node.yaml"),
        }
    }
}
