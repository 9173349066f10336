//! Fits a sweep: a line if it is one, otherwise the shape that it has.

use crate::data::Point;

/// Figures that vary by less than this share of their mean over all sizes count as constant.
const FLAT: f64 = 0.15;
/// The least share of variance that a line must explain to be called one.
const GOOD: f64 = 0.95;
/// If no shape explains this much, none is claimed.
const POOR: f64 = 0.5;

/// The shape of a sweep.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shape {
    /// It does not depend on the variable within what was measured.
    Flat,
    /// A line, or the line among poor fits; `r2` tells which.
    Line,
    /// It rises with the logarithm.
    Log,
    /// It rises with a power.
    Power,
    /// None of these; the line is used, and what follows from it is weak.
    Unclear,
}

impl Shape {
    /// Gives the word for it that the page uses.
    pub fn name(self) -> &'static str {
        match self {
            Self::Flat => "flat",
            Self::Line => "line",
            Self::Log => "not a line: logarithmic",
            Self::Power => "not a line: a power",
            Self::Unclear => "not a line, shape unclear",
        }
    }
}

/// A fit of least squares over all repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The shape that was taken.
    pub shape: Shape,
    /// The value at zero; of a power its factor, of a logarithm the value at one.
    pub intercept: f64,
    /// The rise by each unit; of a power its exponent, of a logarithm the rise by each factor ten.
    pub slope: f64,
    /// The standard error of the slope.
    pub spread: f64,
    /// The share of variance that the shape explains.
    pub r2: f64,
    /// The largest size measured.
    pub largest: f64,
}

impl Fit {
    /// Gives the value at a size.
    pub fn at(&self, x: f64) -> f64 {
        match self.shape {
            Shape::Flat => self.intercept,
            Shape::Line | Shape::Unclear => self.intercept + self.slope * x,
            Shape::Log => self.intercept + self.slope * x.max(1.0).log10(),
            Shape::Power => self.intercept * x.powf(self.slope),
        }
    }
}

/// Fits a line, whatever the shape; none if there are fewer than two sizes.
pub fn straight(points: &[Point]) -> Option<Fit> {
    let pairs: Vec<(f64, f64)> =
        points.iter().flat_map(|point| point.ys.iter().map(|y| (point.x, *y))).collect();
    let largest = points.iter().map(|point| point.x).fold(0.0, f64::max);
    Some(Fit { largest, ..line(&pairs)? })
}

/// Fits the points; none if there are fewer than two sizes.
pub fn fit(points: &[Point]) -> Option<Fit> {
    let pairs: Vec<(f64, f64)> =
        points.iter().flat_map(|point| point.ys.iter().map(|y| (point.x, *y))).collect();
    let largest = points.iter().map(|point| point.x).fold(0.0, f64::max);
    let straight = line(&pairs)?;
    let line = Fit { shape: Shape::Line, largest, ..straight };
    if is_flat(points) {
        let mean = pairs.iter().map(|pair| pair.1).sum::<f64>() / pairs.len() as f64;
        return Some(Fit { shape: Shape::Flat, intercept: mean, ..line });
    }
    if line.r2 >= GOOD {
        return Some(line);
    }
    let best = curves(&pairs, largest)
        .into_iter()
        .max_by(|a, b| a.r2.total_cmp(&b.r2))
        .filter(|curve| curve.r2 > line.r2)
        .unwrap_or(line);
    Some(if best.r2 >= POOR { best } else { Fit { shape: Shape::Unclear, ..line } })
}

/// Tells whether the means of the sizes differ less than repeats and chance would explain.
fn is_flat(points: &[Point]) -> bool {
    let means: Vec<f64> =
        points.iter().map(|point| point.ys.iter().sum::<f64>() / point.ys.len() as f64).collect();
    let least = means.iter().copied().fold(f64::INFINITY, f64::min);
    let most = means.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let mean = means.iter().sum::<f64>() / means.len() as f64;
    most - least <= FLAT * mean.abs()
}

fn curves(pairs: &[(f64, f64)], largest: f64) -> Vec<Fit> {
    let mut curves = Vec::new();
    if pairs.iter().any(|(x, y)| *x <= 0.0 || *y <= 0.0) {
        return curves;
    }
    let log: Vec<_> = pairs.iter().map(|(x, y)| (x.log10(), *y)).collect();
    if let Some(fit) = line(&log) {
        curves.push(Fit { shape: Shape::Log, largest, ..fit });
    }
    let both: Vec<_> = pairs.iter().map(|(x, y)| (x.log10(), y.log10())).collect();
    if let Some(fit) = line(&both) {
        let intercept = 10_f64.powf(fit.intercept);
        curves.push(Fit { shape: Shape::Power, largest, intercept, ..fit });
    }
    curves
}

fn line(pairs: &[(f64, f64)]) -> Option<Fit> {
    let n = pairs.len() as f64;
    let mean_x = pairs.iter().map(|pair| pair.0).sum::<f64>() / n;
    let mean_y = pairs.iter().map(|pair| pair.1).sum::<f64>() / n;
    let sxx: f64 = pairs.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let syy: f64 = pairs.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
    let sxy: f64 = pairs.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    if pairs.len() < 2 || sxx == 0.0 {
        return None;
    }
    let slope = sxy / sxx;
    let intercept = mean_y - slope * mean_x;
    let rest: f64 = pairs.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
    let freedom = (n - 2.0).max(1.0);
    Some(Fit {
        shape: Shape::Line,
        intercept,
        slope,
        spread: (rest / freedom / sxx).sqrt(),
        r2: if syy == 0.0 { 1.0 } else { 1.0 - rest / syy },
        largest: 0.0,
    })
}
