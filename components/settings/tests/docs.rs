//! docs/SETTINGS.md matches the code: it lists every field with its default and range.

use std::collections::BTreeMap;
use std::path::Path;

use chicoryford_settings::AgentSettings;
use chicoryford_settings::ControlSettings;
use chicoryford_settings::EntrySettings;
use chicoryford_settings::Settings;
use chicoryford_settings::check;
use chicoryford_settings::error::Fault;
use chicoryford_settings::error::Problem;
use chicoryford_settings::template;
use chicoryford_types::Template;
use serde_yaml_ng::Value;

struct Row {
    default: String,
    range: String,
}

/// Parses the tables of the page that have a column of ranges.
fn documented_rows() -> BTreeMap<String, Row> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    let text = std::fs::read_to_string(page).unwrap();
    let mut rows = BTreeMap::new();
    for line in text.lines().filter(|line| line.starts_with("| `")) {
        let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
        if let [field, default, range, _] = cells[..] {
            let row =
                Row { default: default.trim_matches('`').to_owned(), range: range.to_owned() };
            rows.insert(field.trim_matches('`').to_owned(), row);
        }
    }
    rows
}

fn settings() -> Value {
    let all = Settings {
        entry: Some(EntrySettings::default()),
        control: Some(ControlSettings::default()),
        agent: Some(AgentSettings::default()),
        ..Settings::default()
    };
    serde_yaml_ng::to_value(all).unwrap()
}

fn template() -> Value {
    serde_yaml_ng::to_value(Template::default()).unwrap()
}

/// Collects the fields below `value` with their values, in the notation of the page.
fn collect_fields(value: &Value, path: &str, found: &mut BTreeMap<String, String>) {
    match value {
        Value::Mapping(map) if !map.is_empty() => {
            for (key, inner) in map {
                let name = key.as_str().unwrap();
                let path = if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
                collect_fields(inner, &path, found);
            }
        }
        Value::Null => {
            found.insert(path.to_owned(), "none".to_owned());
        }
        other => {
            let text = serde_yaml_ng::to_string(other).unwrap();
            found.insert(path.to_owned(), text.trim().to_owned());
        }
    }
}

fn set(value: &mut Value, path: &str, number: u64) {
    let mut target = value;
    for name in path.split('.') {
        target = target.get_mut(name).unwrap();
    }
    *target = Value::from(number);
}

fn has_range_fault(faults: &[Fault], path: &str) -> bool {
    faults.iter().any(|f| f.field == path && matches!(f.problem, Problem::Range { .. }))
}

/// Returns whether a number is out of the range of a field, or `None` if it does not fit its type.
fn is_out_of_range(path: &str, number: u64) -> Option<bool> {
    let (mut all, mut one) = (settings(), template());
    let mut known = BTreeMap::new();
    collect_fields(&all, "", &mut known);
    if known.contains_key(path) {
        set(&mut all, path, number);
        let read = serde_yaml_ng::from_value::<Settings>(all).ok()?;
        return Some(has_range_fault(&check::settings(&read), path));
    }
    set(&mut one, path, number);
    let read = serde_yaml_ng::from_value::<Template>(one).ok()?;
    Some(has_range_fault(&template::check(&read), path))
}

#[test]
fn documents_every_field_with_its_default() {
    let rows = documented_rows();
    let mut known = BTreeMap::new();
    collect_fields(&settings(), "", &mut known);
    collect_fields(&template(), "", &mut known);
    for (field, default) in &known {
        let row = rows.get(field).unwrap_or_else(|| panic!("`{field}` is not documented"));
        let required = row.default == "required" && default == "''";
        assert!(
            row.default == *default || required,
            "{field}: {default} is documented as {}",
            row.default
        );
    }
    for field in rows.keys() {
        assert!(known.contains_key(field), "`{field}` is documented but not known");
    }
}

#[test]
fn documents_every_range() {
    for (field, row) in documented_rows() {
        let Some((least, most)) = row.range.split_once(" to ") else { continue };
        let (least, most): (u64, u64) = (least.parse().unwrap(), most.parse().unwrap());
        assert_eq!(
            is_out_of_range(&field, least),
            Some(false),
            "{field}: {least} is documented as allowed"
        );
        assert_eq!(
            is_out_of_range(&field, most),
            Some(false),
            "{field}: {most} is documented as allowed"
        );
        assert_ne!(
            is_out_of_range(&field, most + 1),
            Some(false),
            "{field}: {most} is not the greatest"
        );
        if least > 0 {
            assert_ne!(
                is_out_of_range(&field, least - 1),
                Some(false),
                "{field}: {least} is not the least"
            );
        }
    }
}
