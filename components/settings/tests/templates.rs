//! Templates: several in one file, and errors with their lines.

use std::path::Path;

use chicoryford_settings::parse_templates;
use chicoryford_types::Class;
use chicoryford_types::Principal;

fn error(text: &str) -> String {
    parse_templates(Path::new("t.yaml"), text).expect_err("the text is invalid").to_string()
}

const TWO: &str = "\
# both desks
workspace: desk
models: [desk-app]
callers:
  booking: urgent
---
# the second
workspace: labels
models: [labels]
repeatable: false
";

#[test]
fn can_read_several_templates() {
    let templates = parse_templates(Path::new("t.yaml"), TWO).unwrap();
    assert_eq!(templates.len(), 2);
    assert_eq!(templates[0].callers[&Principal::from("booking")], Class::Urgent);
    assert!(templates[0].repeatable);
    assert!(!templates[1].repeatable);
}

#[test]
fn errors_on_the_line_of_a_later_template() {
    let text = format!("{TWO}retries:\n  percent: 120\n");
    assert_eq!(error(&text), "t.yaml:12: retries.percent: 120 is out of range; allowed: 0 to 100");
}

#[test]
fn errors_on_a_duplicate_workspace() {
    let text = TWO.replace("workspace: labels", "workspace: desk");
    assert_eq!(error(&text), "t.yaml:8: workspace: \"desk\" is listed twice");
}

#[test]
fn errors_on_an_unknown_class_with_the_allowed_ones() {
    let text = TWO.replace("urgent", "hasty");
    let expected = "t.yaml:5: callers.booking: unknown variant `hasty`, expected one of `batch`, \
                    `normal`, `urgent`";
    assert_eq!(error(&text), expected);
}

#[test]
fn errors_on_a_misspelt_field_with_the_nearest_name() {
    let text = TWO.replace("repeatable", "repeatabel");
    let message = error(&text);
    assert!(
        message.contains("unknown field `repeatabel`, did you mean `repeatable`?"),
        "{message}"
    );
}

#[test]
fn errors_on_a_workspace_without_models() {
    let text = "workspace: desk\n";
    let expected = "t.yaml:1: models: a workspace uses at least one model or service";
    // The field is absent, so the error refers to the first line of the template.
    assert_eq!(error(text), expected);
}

#[test]
fn errors_on_a_trainer_listed_twice() {
    let text = "workspace: desk\nmodels: [m]\ntrainers:\n  - one\n  - one\n";
    assert_eq!(error(text), "t.yaml:5: trainers.1: \"one\" is listed twice");
}
