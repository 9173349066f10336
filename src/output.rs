//! Output of results, as tables for people or as JSON or YAML for programs.

use clap::ValueEnum;
use serde::Serialize;
use serde_json::Value;

/// The output format.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum Format {
    /// Aligned columns, for people.
    Table,
    /// JSON, for programs.
    Json,
    /// YAML.
    Yaml,
}

/// A result, as a table for people and as a value for programs.
pub struct View {
    /// The complete result.
    pub value: Value,
    /// The column names.
    pub header: Vec<&'static str>,
    /// The rows.
    pub rows: Vec<Vec<String>>,
}

impl View {
    /// Builds a view of `value`, whose table has the columns `header` and these rows.
    ///
    /// # Panics
    ///
    /// Never: every result can be serialized.
    pub fn new<T: Serialize>(value: &T, header: &[&'static str], rows: Vec<Vec<String>>) -> Self {
        let value = serde_json::to_value(value).expect("results can be serialized");
        Self { value, header: header.to_vec(), rows }
    }

    /// Prints the view.
    pub fn print(&self, format: Format) {
        match format {
            Format::Table => print!("{}", table(&self.header, &self.rows)),
            Format::Json => println!("{:#}", self.value),
            Format::Yaml => print!("{}", yaml(&self.value)),
        }
    }
}

/// Serializes a value as YAML.
///
/// # Panics
///
/// Never: every result can be serialized.
pub fn yaml<T: Serialize>(value: &T) -> String {
    serde_yaml_ng::to_string(value).expect("results can be serialized")
}

fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|name| name.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = String::new();
    let header: Vec<String> = header.iter().map(|name| name.to_uppercase()).collect();
    for row in std::iter::once(&header).chain(rows) {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
