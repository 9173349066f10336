//! Reads slopes from the data and carries them to the target, with how far and how sure that is.

use crate::data::Data;
use crate::data::Source;
use crate::fit::Fit;
use crate::fit::Shape;
use crate::fit::fit;
use crate::fit::straight;

/// Beyond this extrapolation a figure is at best fair, or weak.
const NEAR: f64 = 3.0;
const FAR: f64 = 10.0;
/// A fit that explains this much has no noise: encoded sizes, which a line gives exactly.
const EXACT: f64 = 0.99999;
/// Below this share of variance explained a figure is at best fair, or weak.
const CLOSE: f64 = 0.95;
const LOOSE: f64 = 0.8;

/// How sure a figure is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Grade {
    /// Far extrapolated, or the fit is poor.
    Weak,
    /// In between.
    Fair,
    /// A good fit, carried at most three times as far as was measured.
    Good,
}

impl Grade {
    /// Gives the word that the page uses.
    pub fn name(self) -> &'static str {
        match self {
            Self::Weak => "weak",
            Self::Fair => "fair",
            Self::Good => "good",
        }
    }
}

/// A figure and where it comes from.
#[derive(Clone, Debug)]
pub struct Term {
    /// The figure.
    pub value: f64,
    /// Intercept, slope and fit that were used.
    pub used: String,
    /// How many times larger the target is than the largest size measured.
    pub factor: f64,
    /// How sure it is.
    pub grade: Grade,
    /// Where the slopes come from.
    pub sources: Vec<Source>,
    /// Whether it is more than one figure as measured.
    pub derived: bool,
}

impl Term {
    /// Gives the figure many times over.
    #[must_use]
    pub fn times(mut self, factor: f64) -> Self {
        self.value *= factor;
        self.derived |= factor != 1.0;
        if factor < 1.0 {
            self.used = format!("({}) / {}", self.used, short(1.0 / factor));
        } else if factor > 1.0 {
            self.used = format!("({}) × {}", self.used, short(factor));
        }
        self
    }

    /// Gives the sum of two figures, as sure as the less sure one.
    #[must_use]
    pub fn plus(mut self, other: Self) -> Self {
        self.value += other.value;
        self.used = format!("{} + {}", self.used, other.used);
        self.factor = self.factor.max(other.factor);
        self.grade = self.grade.min(other.grade);
        self.sources.extend(other.sources);
        self.derived = true;
        self
    }

    /// Lowers the figure by another one, but not below zero.
    #[must_use]
    pub fn less(mut self, other: Self) -> Self {
        self.value = (self.value - other.value).max(0.0);
        self.used = format!("({} − {})", self.used, other.used);
        self.grade = self.grade.min(other.grade);
        self.derived = true;
        self
    }

    /// Says that the figure is a difference of noisy ones, or an upper bound.
    #[must_use]
    pub fn rough(mut self) -> Self {
        self.grade = self.grade.min(Grade::Fair);
        self
    }

    /// Says that the figure rests on an assumption besides.
    #[must_use]
    pub fn assumed(mut self) -> Self {
        self.grade = self.grade.min(Grade::Weak);
        self
    }
}

/// Gives figures at sizes, from the data.
pub struct Calculator<'a> {
    data: &'a Data,
}

impl<'a> Calculator<'a> {
    /// Works from `data`.
    pub fn new(data: &'a Data) -> Self {
        Self { data }
    }

    /// Gives the fit of a sweep; none if it was not measured.
    pub fn fit(&self, name: &str) -> Option<Fit> {
        fit(&self.data.sweep(name)?.points)
    }

    /// Gives the figure of a sweep at a size.
    pub fn at(&self, name: &str, x: f64) -> Option<Term> {
        let fit = self.fit(name)?;
        let used = format!("{name}({})", short(x));
        self.term(name, &fit, fit.at(x), x / fit.largest, used)
    }

    /// Gives what `count` more of the variable add, at the size `x`.
    pub fn rise(&self, name: &str, count: f64, x: f64) -> Option<Term> {
        let fit = self.fit(name)?;
        let value = match fit.shape {
            Shape::Flat => 0.0,
            Shape::Line | Shape::Unclear => fit.slope * count,
            Shape::Log | Shape::Power => fit.at(x) - fit.at(x - count),
        };
        let used = format!("slope {name} × {}", short(count));
        self.term(name, &fit, value, x / fit.largest, used)
    }

    /// Gives the figure of a sweep at a size by a line, whatever the shape: the upper bound of a
    /// sweep that flattens.
    pub fn straight(&self, name: &str, x: f64) -> Option<Term> {
        let fit = straight(&self.data.sweep(name)?.points)?;
        let used = format!("{name}({}) by a line", short(x));
        self.term(name, &fit, fit.at(x), x / fit.largest, used)
    }

    /// Gives the mean at a size that was measured.
    pub fn point(&self, name: &str, x: f64) -> Option<Term> {
        let sweep = self.data.sweep(name)?;
        let point = sweep.points.iter().find(|point| point.x == x)?;
        let value = point.ys.iter().sum::<f64>() / point.ys.len() as f64;
        let used = format!("{name}[{}]", short(x));
        Some(Term {
            value,
            used,
            factor: 1.0,
            grade: Grade::Good,
            sources: vec![sweep.source],
            derived: false,
        })
    }

    fn term(&self, name: &str, fit: &Fit, value: f64, factor: f64, used: String) -> Option<Term> {
        let source = self.data.sweep(name)?.source;
        let grade = grade(fit, factor);
        Some(Term { value, used, factor, grade, sources: vec![source], derived: factor > 1.0 })
    }
}

fn grade(fit: &Fit, factor: f64) -> Grade {
    let flat = fit.shape == Shape::Flat;
    if fit.shape == Shape::Line && fit.r2 >= EXACT {
        return if factor > NEAR { Grade::Fair } else { Grade::Good };
    }
    if factor > FAR || fit.shape == Shape::Unclear || (!flat && fit.r2 < LOOSE) {
        return Grade::Weak;
    }
    let straight = matches!(fit.shape, Shape::Line | Shape::Flat);
    if factor > NEAR || !straight || (!flat && fit.r2 < CLOSE) {
        return Grade::Fair;
    }
    Grade::Good
}

/// Writes a figure with three digits that count.
pub fn short(x: f64) -> String {
    if x == 0.0 {
        return "0".to_owned();
    }
    let digits = (2 - x.abs().log10().floor() as i32).clamp(0, 6) as usize;
    let text = format!("{x:.digits$}");
    let text = match text.contains('.') {
        true => text.trim_end_matches('0').trim_end_matches('.').to_owned(),
        false => text,
    };
    thousands(&text)
}

fn thousands(text: &str) -> String {
    let (sign, rest) = text.strip_prefix('-').map_or(("", text), |rest| ("-", rest));
    let (whole, part) = rest.split_once('.').map_or((rest, None), |(w, p)| (w, Some(p)));
    let mut grouped = String::new();
    for (n, digit) in whole.chars().enumerate() {
        if n > 0 && (whole.len() - n).is_multiple_of(3) {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    match part {
        Some(part) => format!("{sign}{grouped}.{part}"),
        None => format!("{sign}{grouped}"),
    }
}
