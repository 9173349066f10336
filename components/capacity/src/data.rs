//! The data file: what was measured, and under which conditions.

use serde::Deserialize;
use serde::Serialize;

/// Where figures come from.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// Real processes, counted by the operating system.
    #[default]
    Processes,
    /// The decision code within the measuring process.
    InProcess,
}

/// One size of a sweep and what each repeat gave there.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Point {
    /// The size.
    pub x: f64,
    /// A figure for each repeat.
    pub ys: Vec<f64>,
}

/// One quantity against one variable.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Sweep {
    /// The name by which rows refer to it.
    pub name: String,
    /// What was varied.
    pub variable: String,
    /// The unit of the figures.
    pub unit: String,
    /// Where the figures come from.
    pub source: Source,
    /// The sizes, in rising order.
    pub points: Vec<Point>,
}

/// Everything that a run of the measurement gave.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Data {
    /// The commit that was measured.
    pub commit: String,
    /// The day and time, UTC.
    pub date: String,
    /// Processors of the machine.
    pub cores: usize,
    /// Its memory in mebibytes.
    pub memory: u64,
    /// Its load average over a minute at the start and at the end.
    pub load: Vec<f64>,
    /// The seed of everything random.
    pub seed: u64,
    /// Whether the parts were measured side by side.
    pub together: bool,
    /// Parts that failed, and why; their sweeps lack sizes or are not there.
    pub failed: Vec<String>,
    /// The sweeps, by name.
    pub sweeps: Vec<Sweep>,
}

impl Data {
    /// Finds a sweep by its name.
    pub fn sweep(&self, name: &str) -> Option<&Sweep> {
        self.sweeps.iter().find(|sweep| sweep.name == name)
    }

    /// Adds one figure to a sweep, which begins with it if it is new.
    pub fn add(&mut self, series: &Series<'_>, x: f64, y: f64) {
        let at = self.sweeps.iter().position(|sweep| sweep.name == series.name);
        let at = at.unwrap_or_else(|| {
            self.sweeps.push(Sweep {
                name: series.name.to_owned(),
                variable: series.variable.to_owned(),
                unit: series.unit.to_owned(),
                source: series.source,
                points: Vec::new(),
            });
            self.sweeps.len() - 1
        });
        let points = &mut self.sweeps[at].points;
        // Four figures are more than the measurement can tell apart, and keep the file small.
        let y = round(y);
        match points.iter_mut().find(|point| point.x == x) {
            Some(point) => point.ys.push(y),
            None => {
                points.push(Point { x, ys: vec![y] });
                points.sort_by(|a, b| a.x.total_cmp(&b.x));
            }
        }
    }
}

/// What a sweep is called and what it holds.
#[derive(Clone, Copy, Debug)]
pub struct Series<'a> {
    /// The name by which rows refer to it.
    pub name: &'a str,
    /// What is varied.
    pub variable: &'a str,
    /// The unit of the figures.
    pub unit: &'a str,
    /// Where the figures come from.
    pub source: Source,
}

fn round(y: f64) -> f64 {
    if y == 0.0 || !y.is_finite() {
        return 0.0;
    }
    let scale = 10_f64.powf(4.0 - y.abs().log10().ceil());
    (y * scale).round() / scale
}
