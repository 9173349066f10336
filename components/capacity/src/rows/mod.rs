//! What the page claims: every quantity at the target size, and what carries it.

mod configuration;
mod nodes;
mod steps;
mod traffic;
mod weights;

use crate::calculator::Calculator;
use crate::calculator::Grade;
use crate::calculator::Term;
use crate::data::Data;
use crate::data::Source;

/// A quantity at the target size.
#[derive(Clone, Debug)]
pub struct Row {
    /// The part of the page that it belongs to.
    pub part: &'static str,
    /// What it is.
    pub what: &'static str,
    /// The size at which it is worked out.
    pub target: String,
    /// The figure.
    pub term: Term,
    /// Its unit.
    pub unit: &'static str,
    /// What may be spent, if there is a bound.
    pub budget: Option<f64>,
    /// What carries it.
    pub mechanism: &'static str,
    /// What breaks first beyond it; for a row over its budget, the change of design that carries it.
    pub beyond: &'static str,
}

impl Row {
    /// Tells whether it is over its budget.
    pub fn is_over(&self) -> bool {
        self.budget.is_some_and(|budget| self.term.value > budget)
    }

    /// Gives how many times the budget is what is spent.
    pub fn margin(&self) -> Option<f64> {
        self.budget.map(|budget| budget / self.term.value.max(f64::MIN_POSITIVE))
    }

    /// Says where the figure comes from.
    pub fn source(&self) -> &'static str {
        let live = self.term.sources.contains(&Source::Processes);
        let pure = self.term.sources.contains(&Source::InProcess);
        match (live, pure, self.term.derived) {
            (true, true, _) => "worked out from processes and decision code",
            (true, _, true) => "worked out from processes",
            (true, _, _) => "measured, processes",
            (_, _, true) => "worked out from decision code",
            _ => "measured, decision code",
        }
    }

    /// Gives the word for how sure it is.
    pub fn grade(&self) -> Grade {
        self.term.grade
    }
}

/// Gives all rows for which there are figures.
pub fn rows(data: &Data) -> Vec<Row> {
    let calculator = Calculator::new(data);
    let parts = [nodes::rows, configuration::rows, steps::rows, traffic::rows, weights::rows];
    parts.iter().flat_map(|rows| rows(&calculator)).flatten().collect()
}
