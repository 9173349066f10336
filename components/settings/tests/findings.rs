//! Tests of the findings about templates and of the differences between templates.

use std::collections::BTreeSet;
use std::path::Path;

use chicoryford_settings::findings;
use chicoryford_settings::findings::KnownNames;
use chicoryford_settings::findings::TemplateDifference;
use chicoryford_types::Class;
use chicoryford_types::Model;
use chicoryford_types::Principal;
use chicoryford_types::Template;

const SOUND: &str = "\
workspace: desk
models: [app, judge]
callers:
  booking: urgent
trainers: [coach]
scorer: judge
";

fn known() -> KnownNames {
    let principals = |name| Some(BTreeSet::from([Principal::from(name)]));
    KnownNames {
        callers: principals("booking"),
        trainers: principals("coach"),
        models: Some([Model::from("app"), Model::from("judge")].into()),
    }
}

/// Returns the findings as (kind, line, field, whether it is an error).
fn found(text: &str) -> Vec<(&'static str, usize, String, bool)> {
    let (_, findings) = findings::check_templates(Path::new("t"), text, &known()).unwrap();
    let findings = findings.into_iter();
    findings
        .map(|f| (f.problem.kind(), f.place.line, f.place.field, f.problem.is_error()))
        .collect()
}

fn expect(text: &str, kind: &'static str, line: usize, field: &str, is_error: bool) {
    assert_eq!(found(text), [(kind, line, field.to_owned(), is_error)], "{text}");
}

/// Guards against warnings that operators learn to ignore.
#[test]
fn a_sound_template_has_no_findings() {
    assert_eq!(found(SOUND), []);
    let nothing_known = KnownNames::default();
    let elsewhere = SOUND.replace("app", "elsewhere").replace("booking", "somebody");
    let checked = findings::check_templates(Path::new("t"), &elsewhere, &nothing_known).unwrap();
    assert_eq!(checked.1, []);
}

/// Guards against an author who learns of one error per run, as the first document with errors hid
/// those of the next.
#[test]
fn errors_of_all_documents_are_found() {
    let text = format!("{SOUND}weight: 0\n---\n{SOUND}retries: {{attempts: 0}}\n");
    let refused = |line, field: &str| ("refused", line, field.to_owned(), true);
    // The second document is for the workspace of the first one.
    let expected = [refused(7, "weight"), refused(15, "retries.attempts"), refused(9, "workspace")];
    assert_eq!(found(&text), expected);
}

/// Guards against a template that refers to a caller, trainer or model that does not exist, so that
/// its requests are refused.
#[test]
fn names_that_do_not_exist_are_found() {
    let text = SOUND.replace("booking", "boking");
    expect(&text, "unknown_caller", 4, "callers.boking", false);
    let text = SOUND.replace("coach", "couch");
    expect(&text, "unknown_trainer", 5, "trainers.0", false);
    let text = SOUND.replace("[app", "[ap");
    expect(&text, "unknown_model", 2, "models.0", false);
    let text = SOUND.replace("scorer: judge", "scorer: juge");
    expect(&text, "unknown_model", 6, "scorer", false);
}

/// Guards against a template that is in force and serves nobody.
#[test]
fn templates_without_users_are_found() {
    expect("workspace: desk\nmodels: [app]\n", "unused_template", 1, "callers", false);
    let text = SOUND.replace("trainers: [coach]\n", "");
    expect(&text, "unused_scorer", 5, "scorer", false);
}

/// Guards against retries that are believed to happen.
#[test]
fn attempts_without_retries_are_found() {
    let text = format!("{SOUND}retries:\n  attempts: 2\n  percent: 0\n");
    expect(&text, "no_retries", 9, "retries.percent", false);
    assert_eq!(found(&text.replace("attempts: 2", "attempts: 1")), []);
}

/// Guards against a change that an operator does not see before it is applied.
#[test]
fn differences_are_found_in_both_directions() {
    let (templates, _) = findings::check_templates(Path::new("t"), SOUND, &known()).unwrap();
    let before = &templates[0];
    assert_eq!(findings::differences(before, before), []);
    let mut after = Template { scorer: None, deadline_ms: 900, ..before.clone() };
    after.callers.insert(Principal::from("second"), Class::Batch);
    after.models.pop();
    let expected = [
        ("callers.second", "", "batch"),
        ("deadline_ms", "30000", "900"),
        ("models", "app judge", "app"),
        ("scorer", "judge", ""),
    ];
    let difference = |field: &str, before: &str, after: &str| TemplateDifference {
        field: field.to_owned(),
        before: before.to_owned(),
        after: after.to_owned(),
    };
    let forth: Vec<_> = expected.iter().map(|(f, b, a)| difference(f, b, a)).collect();
    let back: Vec<_> = expected.iter().map(|(f, b, a)| difference(f, a, b)).collect();
    assert_eq!(findings::differences(before, &after), forth);
    assert_eq!(findings::differences(&after, before), back);
}
