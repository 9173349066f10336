//! Draws control bytes, processor time and memory of a node against the size, with the budget.

use plotters::prelude::*;
use thiserror::Error;

use crate::data::Data;
use crate::data::Point;
use crate::fit::fit;
use crate::target;

const SIZE: (u32, u32) = (720, 420);
const STEPS: u32 = 60;

/// A plot could not be drawn.
#[derive(Debug, Error)]
#[error("cannot draw {name}: {detail}")]
pub struct PlotError {
    /// The plot.
    pub name: &'static str,
    /// What the library said.
    pub detail: String,
}

struct Plot {
    name: &'static str,
    title: &'static str,
    below: &'static str,
    beside: &'static str,
    sweeps: &'static [(&'static str, &'static str)],
    budget: f64,
    largest: f64,
}

const PLOTS: [Plot; 4] = [
    Plot {
        name: "bytes",
        title: "Control bytes a node, nothing to serve",
        below: "agents, beside 3 control processes and 2 entries",
        beside: "B/s, sent and received",
        sweeps: &[
            ("agents_entry_bytes", "entry"),
            ("agents_control_bytes", "control, the busiest"),
            ("agents_agent_bytes", "agent"),
        ],
        budget: target::BYTES,
        largest: 150.0,
    },
    Plot {
        name: "cpu",
        title: "Processor time a node, nothing to serve",
        below: "agents, beside 3 control processes and 2 entries",
        beside: "% of a core",
        sweeps: &[
            ("agents_entry_cpu", "entry"),
            ("agents_control_cpu", "control, the busiest"),
            ("agents_agent_cpu", "agent"),
        ],
        budget: target::CPU,
        largest: 150.0,
    },
    Plot {
        name: "memory",
        title: "Memory a node, nothing to serve",
        below: "agents, beside 3 control processes and 2 entries",
        beside: "MiB resident",
        sweeps: &[
            ("agents_entry_memory", "entry"),
            ("agents_control_memory", "control, the most"),
            ("agents_agent_memory", "agent"),
        ],
        budget: target::MEMORY,
        largest: 150.0,
    },
    Plot {
        name: "gossip",
        title: "Membership's bytes a node, virtual time",
        below: "members",
        beside: "B/s, sent and received",
        sweeps: &[
            ("gossip_calm", "calm"),
            ("gossip_death_bytes", "one dies"),
            ("gossip_centre_bytes", "one of ten data centres is lost"),
        ],
        budget: target::BYTES,
        largest: target::PROCESSES,
    },
];

/// Draws all plots whose sweeps were measured: their names, and the drawings as SVG.
///
/// # Errors
///
/// [`PlotError`] if the library cannot draw one.
pub fn all(data: &Data) -> Result<Vec<(&'static str, String)>, PlotError> {
    let measured = |plot: &&Plot| plot.sweeps.iter().all(|(name, _)| data.sweep(name).is_some());
    PLOTS.iter().filter(measured).map(|plot| Ok((plot.name, draw(plot, data)?))).collect()
}

fn draw(plot: &Plot, data: &Data) -> Result<String, PlotError> {
    let mut text = String::new();
    let backend = SVGBackend::with_string(&mut text, SIZE);
    fill(plot, data, backend)
        .map_err(|error| PlotError { name: plot.name, detail: error.to_string() })?;
    Ok(text)
}

fn fill(
    plot: &Plot,
    data: &Data,
    backend: SVGBackend<'_>,
) -> Result<(), Box<dyn std::error::Error>> {
    let area = backend.into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(plot.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..plot.largest, 0.0..highest(plot, data) * 1.1)?;
    chart.configure_mesh().x_desc(plot.below).y_desc(plot.beside).draw()?;
    let line = [(0.0, plot.budget), (plot.largest, plot.budget)];
    chart
        .draw_series(LineSeries::new(line, BLACK.stroke_width(2)))?
        .label("budget")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], BLACK.stroke_width(2)));
    for (at, (name, label)) in plot.sweeps.iter().enumerate() {
        let color = Palette99::pick(at).to_rgba();
        let points = points(data, name);
        let dots = points.iter().flat_map(|point| point.ys.iter().map(|y| (point.x, *y)));
        chart.draw_series(dots.map(|at| Circle::new(at, 3, color.filled())))?;
        let Some(fit) = fit(points) else { continue };
        let first = points.first().map_or(0.0, |point| point.x);
        let step = (plot.largest - first) / f64::from(STEPS);
        let fitted = (0..=STEPS).map(|n| first + step * f64::from(n)).map(|x| (x, fit.at(x)));
        chart
            .draw_series(LineSeries::new(fitted, color.stroke_width(1)))?
            .label(*label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .position(SeriesLabelPosition::UpperLeft)
        .draw()?;
    area.present()?;
    Ok(())
}

fn points<'a>(data: &'a Data, name: &str) -> &'a [Point] {
    data.sweep(name).map_or(&[], |sweep| &sweep.points)
}

fn highest(plot: &Plot, data: &Data) -> f64 {
    let mut highest = plot.budget;
    for (name, _) in plot.sweeps {
        let points = points(data, name);
        let seen = points.iter().flat_map(|point| point.ys.iter().copied()).fold(0.0, f64::max);
        let fitted = fit(points).map_or(0.0, |fit| fit.at(plot.largest));
        highest = highest.max(seen).max(fitted);
    }
    highest
}
