//! Writes docs/CAPACITY.md from the data.

use std::fmt::Write;

use crate::calculator::Calculator;
use crate::calculator::Grade;
use crate::calculator::short;
use crate::data::Data;
use crate::data::Source;
use crate::fit::Shape;
use crate::plots;
use crate::rows::Row;
use crate::rows::rows;
use crate::target;

/// Gives the page.
pub fn page(data: &Data) -> String {
    let rows = rows(data);
    let mut page = String::new();
    opening(&mut page, data);
    failures(&mut page, data);
    overview(&mut page, &rows);
    verdict(&mut page, &rows);
    plots(&mut page, data);
    tables(&mut page, &rows);
    fits(&mut page, data);
    page.push_str(END);
    page
}

const END: &str = "
## How to make it again

`scripts/capacity` builds the daemon, measures (some fifteen minutes; `scripts/capacity measure --together` takes a third of that and is noisier), and writes `docs/capacity/slopes.json`, this page and
its plots; `cargo run --release -p chicoryford-capacity -- page` writes page and plots from the data file alone. CI fails
if page or plots are not what the data file gives (`components/capacity/tests`). It needs `ss`, and no other tool.

How it is counted: processor time and memory as the operating system accounts them for each process
(`/proc/<id>/stat`, `/proc/<id>/status`); bytes of TCP as it counts them for each socket between the processes (`ss`),
52 bytes of headers a segment added, acknowledgements included; bytes of gossip by the process itself (`gossip` in its
dump), 28 bytes of headers a datagram added. In the sweeps of agents, entries and changes no request was made, so all bytes
between processes are control; in the sweeps of requests only processor time and memory are taken. All agents share one
stand-in engine. Everything ran on one machine, over the loopback: there are no link delays, and a segment may be larger than
on a network, so headers of large answers are underestimated. A control figure is that of the busiest of three
processes, usually the leader.
";

fn opening(page: &mut String, data: &Data) {
    let load: Vec<String> = data.load.iter().map(|load| format!("{load:.0}")).collect();
    let _ = write!(
        page,
        "# Capacity: the target size, worked out from measured slopes\n\n\
         This page is made by `components/capacity` from [capacity/slopes.json](capacity/slopes.json); edit neither. \
         Target: {:.0} nodes ({:.0} entries, {:.0} control VMs) and {:.0} samplers with an agent each, {:.0} processes in all.\n\n\
         Measured on {} UTC at commit {}, seed {}, on a VM of {} cores and {} MiB that other builds and tests \
         shared (load average {}{}): processor times are taken as counted, times to wait are upper bounds. \
         \"Margin\" is budget / result; below 1 the row is over its budget.\n",
        target::NODES,
        target::ENTRIES,
        target::CONTROLS,
        target::SAMPLERS,
        target::PROCESSES,
        data.date,
        data.commit,
        data.seed,
        data.cores,
        data.memory,
        load.join(" to "),
        if data.together { ", sweeps side by side" } else { "" },
    );
}

/// Says what the run did not give.
fn failures(page: &mut String, data: &Data) {
    for failed in &data.failed {
        let _ = writeln!(page, "\n**Not measured whole in this run**: {failed}.");
    }
}

/// The page's first table: what each role spends on control.
fn overview(page: &mut String, rows: &[Row]) {
    page.push_str(
        "\n## In one screen\n\nControl, each process. Several figures in a cell are those of the role's rows below, in their \
         order (idle, busy, 21 models). The budget is 3,000 B/s, 1.5 % of a core and 128 MiB a node.\n\n\
         | Role | State | Messages/s | Bytes/s | CPU, % of a core | Memory, MiB | Least margin | Mechanism | Confidence |\n\
         |---|---|---|---|---|---|---|---|---|\n",
    );
    for (role, state) in STATES {
        let own: Vec<&Row> = rows.iter().filter(|row| row.part == role).collect();
        let Some(tightest) = own.iter().min_by(|a, b| by_margin(a, b)) else { continue };
        let grade = own.iter().map(|row| row.grade()).min().map_or("", Grade::name);
        let cell = |unit| cell(&own, unit);
        let _ = writeln!(
            page,
            "| {role} | {state} | {} | {} | {} | {} | {} ({}) | {} | {grade} |",
            cell("packets/s"),
            cell("B/s"),
            cell("% of a core"),
            cell("MiB"),
            margin(tightest),
            tightest.what,
            tightest.mechanism,
        );
    }
    page.push_str(
        "| Operators' client | none kept | 0.05 changes (4,400 a day) | a template each | \
         a process for one command | freed with it | no budget | any entry or control process passes it on | arithmetic |\n\
         | Trainers | theirs | an open, pulls and acknowledgements every 5 min | see Steps, data | none here | none here | \
         no budget | the ledger; bodies at entries | see below |\n\
         | Engines | theirs | 2 looks/s by the agent on the same VM | none on the network | in the agent's | in the agent's | \
         no budget | the agent beside it | see Agent |\n",
    );
}

const STATES: [(&str, &str); 3] = [
    ("Entry", "members, configuration, load of its subset, positions of its followers"),
    ("Control", "log, templates, claims, steps, members, positions of all"),
    ("Agent", "members, configuration, attempts remembered"),
];

fn by_margin(a: &Row, b: &Row) -> std::cmp::Ordering {
    let margin = |row: &Row| row.margin().unwrap_or(f64::INFINITY);
    margin(a).total_cmp(&margin(b))
}

fn cell(rows: &[&Row], unit: &str) -> String {
    let figures = rows.iter().filter(|row| row.unit == unit);
    let words: Vec<String> = figures.map(|row| short(row.term.value)).collect();
    if words.is_empty() { "not measured".to_owned() } else { words.join("; ") }
}

fn verdict(page: &mut String, rows: &[Row]) {
    let judged: Vec<&Row> = rows.iter().filter(|row| row.budget.is_some()).collect();
    let over: Vec<&&Row> = judged.iter().filter(|row| row.is_over()).collect();
    let _ = writeln!(
        page,
        "\n## Verdict\n\nOf {} rows with a budget {} hold and **{} do not**:\n",
        judged.len(),
        judged.len() - over.len(),
        over.len(),
    );
    for row in &over {
        let _ = writeln!(
            page,
            "- **{}: {}**: {} {} against {} (margin {}, confidence {}). What carries it: {}.",
            row.part,
            row.what,
            short(row.term.value),
            row.unit,
            row.budget.map_or(String::new(), short),
            margin(row),
            row.grade().name(),
            row.beyond,
        );
    }
    let weak: Vec<String> = judged
        .iter()
        .filter(|row| !row.is_over() && row.grade() == Grade::Weak)
        .map(|row| format!("{} ({})", row.what, row.part.to_lowercase()))
        .collect();
    if !weak.is_empty() {
        let _ = writeln!(page, "\nHolds by the figures, but on weak ones: {}.", weak.join("; "));
    }
    page.push_str(
        "\nNone of the changes of design named above is built; these rows are open. Control processes are judged by the budget of a \
         node, though they stand on VMs set aside, which the letter may mean to spend more. Not measured: regions that lose \
         each other (membership's refutations when they meet again), and anything between machines. The sweeps ran three control processes: \
         a leader of seven sends heartbeats to six others, three times what was measured.\n",
    );
}

fn plots(page: &mut String, data: &Data) {
    let Ok(drawn) = plots::all(data) else { return };
    if drawn.is_empty() {
        return;
    }
    page.push_str("\n## Against size, with the budget line\n\n");
    for (name, _) in drawn {
        let _ = writeln!(page, "![{name}](capacity/{name}.svg)");
    }
}

fn tables(page: &mut String, rows: &[Row]) {
    let mut parts: Vec<&str> = rows.iter().map(|row| row.part).collect();
    parts.dedup();
    for part in parts {
        let _ = write!(
            page,
            "\n## {part}\n\n| Quantity | At the target | Worked out | Extrapolated | Result | Budget | Margin | Mechanism | \
             Confidence | Source | Beyond it, first |\n|---|---|---|---|---|---|---|---|---|---|---|\n",
        );
        for row in rows.iter().filter(|row| row.part == part) {
            let _ = writeln!(
                page,
                "| {} | {} | {} | {} × | {} {} | {} | {} | {} | {} | {} | {} |",
                row.what,
                row.target,
                row.term.used,
                short(row.term.factor),
                short(row.term.value),
                row.unit,
                row.budget.map_or("none".to_owned(), short),
                margin(row),
                row.mechanism,
                row.grade().name(),
                row.source(),
                row.beyond,
            );
        }
    }
}

fn margin(row: &Row) -> String {
    row.margin().map_or("n/a".to_owned(), |margin| match margin < 1.0 {
        true => format!("**{}**", short(margin)),
        false => short(margin),
    })
}

/// Every fit, so that a reader can check a row by hand.
fn fits(page: &mut String, data: &Data) {
    page.push_str(
        "\n## The slopes\n\nLeast squares over all repeats; ± is the standard error of the slope. A sweep whose means differ by \
         at most 15 % is called flat and carried as its mean; one that a line explains to less than 0.95 is called what it is.\n\n\
         | Sweep | Variable | Sizes | Repeats | Unit | Shape | Intercept | Slope | ± | r² | From |\n\
         |---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    let calculator = Calculator::new(data);
    for sweep in &data.sweeps {
        let Some(fit) = calculator.fit(&sweep.name) else { continue };
        let sizes: Vec<String> = sweep.points.iter().map(|point| short(point.x)).collect();
        let repeats = sweep.points.iter().map(|point| point.ys.len()).min().unwrap_or_default();
        let flat = fit.shape == Shape::Flat;
        let _ = writeln!(
            page,
            "| {} | {} | {} | {repeats} | {} | {} | {} | {} | {} | {} | {} |",
            sweep.name,
            sweep.variable,
            sizes.join(", "),
            sweep.unit,
            fit.shape.name(),
            short(fit.intercept),
            if flat { "0 taken".to_owned() } else { short(fit.slope) },
            short(fit.spread),
            if flat { "n/a".to_owned() } else { format!("{:.3}", fit.r2) },
            match sweep.source {
                Source::Processes => "processes",
                Source::InProcess => "decision code",
            },
        );
    }
}
