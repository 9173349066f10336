//! Prints results as tables for people, or as JSON or YAML for programs.

use clap::ValueEnum;
use serde::Serialize;
use serde_json::Value;

/// How results are printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum Format {
    /// Aligned columns, for people.
    Table,
    /// JSON, for programs.
    Json,
    /// YAML.
    Yaml,
}

/// A result: rows for people, a value for programs.
pub struct View {
    /// The whole result.
    pub value: Value,
    /// The columns' names.
    pub head: Vec<&'static str>,
    /// The rows.
    pub rows: Vec<Vec<String>>,
}

impl View {
    /// Makes a view of `value` that people see as `rows` below `head`.
    ///
    /// # Panics
    ///
    /// Never: results are plain data.
    pub fn new<T: Serialize>(value: &T, head: &[&'static str], rows: Vec<Vec<String>>) -> Self {
        let value = serde_json::to_value(value).expect("results are plain data");
        Self { value, head: head.to_vec(), rows }
    }

    /// Prints the view.
    pub fn print(&self, format: Format) {
        match format {
            Format::Table => print!("{}", table(&self.head, &self.rows)),
            Format::Json => println!("{:#}", self.value),
            Format::Yaml => print!("{}", yaml(&self.value)),
        }
    }
}

/// Gives a value as YAML.
///
/// # Panics
///
/// Never: results are plain data.
pub fn yaml<T: Serialize>(value: &T) -> String {
    serde_yaml_ng::to_string(value).expect("results are plain data")
}

fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = head.iter().map(|name| name.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = String::new();
    let head: Vec<String> = head.iter().map(|name| name.to_uppercase()).collect();
    for row in std::iter::once(&head).chain(rows) {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
