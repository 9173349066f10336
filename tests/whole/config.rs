//! Tests of `chicoryford config check`: exit codes, comparison with the version in force, and that
//! no key is printed. Those with documents in the platform's format are in
//! `platform/tests/client/config.rs`.

use std::process::Command;
use std::process::Output;
use std::process::Stdio;

use tempfile::TempDir;

use crate::fixture;
use crate::fixture::KEYS;
use crate::fixture::TEMPLATE;
use crate::fixture::TOKENS;

/// Writes a document into a folder and returns its path.
pub fn write(folder: &TempDir, text: &str) -> String {
    let path = folder.path().join("checked");
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

/// Runs the check with these arguments. Its output must contain no token.
pub fn check(arguments: &[&str]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_chicoryford"))
        .args(["config", "check"])
        .args(arguments)
        .stdin(Stdio::null())
        .output()
        .unwrap();
    assert_contains_none(&output, arguments, &TOKENS);
    output
}

/// Asserts that neither stream of the output contains one of these keys.
pub fn assert_contains_none(output: &Output, arguments: &[&str], keys: &[&str]) {
    let shown = [&output.stdout[..], &output.stderr[..]].concat();
    let shown = String::from_utf8_lossy(&shown);
    for key in keys {
        assert!(!shown.contains(*key), "the output of {arguments:?} contains a key: {shown}");
    }
}

/// Asserts that the findings of a document are shown, and no comparison, if the address to compare
/// with does not answer.
pub fn assert_unanswered_after_findings(
    check: impl Fn(&[&str]) -> Output,
    document: &str,
    expected: i32,
) {
    let folder = tempfile::tempdir().unwrap();
    let file = write(&folder, document);
    let output = check(&[&file, "--against", "127.0.0.1:1", "--timeout", "0"]);
    assert_eq!(code(&output), expected, "{output:?}");
    assert!(stdout(&output).contains("SEVERITY"), "{output:?}");
    assert!(!stdout(&output).contains("no differences"), "{output:?}");
}

/// Returns the exit code, or -1 if a signal ended the process.
pub fn code(output: &Output) -> i32 {
    output.status.code().unwrap_or(-1)
}

pub fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Asserts that the table has a line with exactly these cells.
pub fn assert_row(output: &Output, cells: &[&str]) {
    let text = stdout(output);
    let row = |line: &str| {
        let cells = line.split("  ").map(str::trim).filter(|cell| !cell.is_empty());
        cells.map(str::to_owned).collect::<Vec<_>>()
    };
    assert!(text.lines().any(|line| row(line) == cells), "no row {cells:?} in:\n{text}");
}

/// Guards against a check whose exit code lets a script submit a template that would be refused.
#[test]
fn exit_codes_tell_whether_a_template_is_accepted() {
    let folder = tempfile::tempdir().unwrap();
    let checked = |text: &str| check(&[&write(&folder, text)]);
    assert_eq!(code(&check(&["/no/such/file"])), 2);
    assert_eq!(code(&checked(TEMPLATE)), 0);
    assert_eq!(code(&checked(&format!("{TEMPLATE}weight: 0\n"))), 2);
    assert_eq!(code(&checked("workspace: desk\nmodles: [m]\n")), 2);
    let flow = "{workspace: desk, models: [m], trainers: [coach]}";
    assert_eq!(code(&check(&[&write(&folder, flow), "--format", "template"])), 0);
}

/// Guards against a check that accepts a file which is refused when it is applied, because it is
/// not valid UTF-8.
#[test]
fn a_template_that_is_not_utf8_is_refused_as_by_template_check() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("template.yaml");
    let text = [b"# Caf\xe9\n", TEMPLATE.as_bytes()].concat();
    std::fs::write(&file, text).unwrap();
    let file = file.to_str().unwrap();
    let run = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_chicoryford")).args(arguments).output();
        output.unwrap()
    };
    let (checked, template) = (run(&["config", "check", file]), run(&["template", "check", file]));
    assert_eq!(code(&checked), code(&template), "{checked:?}");
    assert_ne!(code(&checked), 0);
    for output in [checked, template] {
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(error.contains(&format!("{file}: cannot be read")), "{error}");
    }
}

/// Guards against a comparison that fails silently, so that "no differences" is believed, and
/// against findings that are lost because of it.
#[test]
fn an_address_that_does_not_answer_is_reported_after_the_findings() {
    let document = format!("{TEMPLATE}scorer: s\nretries: {{percent: 0}}\n");
    assert_unanswered_after_findings(check, &document, 4);
}

/// Guards against a template whose callers or models do not exist, and against one that is applied
/// without knowing what it changes.
#[test]
fn templates_are_compared_with_the_version_in_force() {
    let node = fixture::Node::with_template("{}");
    let keys = node.write("other-keys", KEYS);
    let address = node.address.to_string();
    let token = node.folder.path().join("operator").display().to_string();
    let checked = |text: &str| {
        let file = node.write("checked.yaml", text);
        check(&[&file, "--against", &address, "--token", &token, "--keys", &keys])
    };
    let same = checked(TEMPLATE);
    assert_eq!(code(&same), 0, "{same:?}");
    assert_eq!(stdout(&same), "no findings\n\nno differences from the version in force\n");
    let edited = TEMPLATE.replace("[model]", "[modle]").replace("desk: urgent", "dsk: urgent");
    let output = checked(&format!("{edited}---\nworkspace: new\nmodels: [model]\n"));
    assert_eq!(code(&output), 0, "{output:?}");
    let unknown = "model modle is offered by no endpoint and has no published weights";
    assert_row(&output, &["warning", "2: models.0", unknown]);
    assert_row(&output, &["warning", "4: callers.dsk", "caller dsk has no key"]);
    assert_row(&output, &["template desk", "models", "model", "modle"]);
    assert_row(&output, &["template desk", "callers.desk", "urgent"]);
    assert_row(&output, &["template new", "-", "present"]);
    let listed = String::from_utf8(node.client(&["template", "list"]).stdout).unwrap();
    assert!(!listed.contains("new"), "a check must not change anything: {listed}");
}
