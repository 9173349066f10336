//! `chicoryford config`.

use std::collections::BTreeSet;
use std::io;
use std::path::Path;

use bytes::Bytes;
use chicoryford_fleet::check as fleet_check;
use chicoryford_fleet::check::Severity;
use chicoryford_fleet::diff;
use chicoryford_platform::check as platform;
use chicoryford_settings::SettingsError;
use chicoryford_settings::findings;
use chicoryford_settings::findings::KnownNames;
use chicoryford_settings::findings::TemplateFinding;
use chicoryford_types::Config;
use chicoryford_types::Members;
use chicoryford_types::Model;
use chicoryford_types::Principal;
use chicoryford_types::Template;
use chicoryford_wire::keys;
use chicoryford_wire::keys::Identity;
use chicoryford_wire::keys::Kind;
use serde::Serialize;

use crate::cli::CheckArgs;
use crate::cli::ConfigForm;
use crate::connect::Connection;
use crate::error::CmdError;
use crate::output::Format;
use crate::output::View;

/// The result of a check.
#[derive(Default, Serialize)]
struct Report {
    findings: Vec<Finding>,
    /// `None` if the file was not compared with anything.
    differences: Option<Vec<Difference>>,
}

#[derive(Serialize)]
struct Finding {
    severity: &'static str,
    kind: &'static str,
    line: usize,
    field: String,
    detail: String,
}

/// A difference from the version in force.
#[derive(Serialize)]
struct Difference {
    subject: String,
    /// Empty if the whole subject was added or removed.
    field: String,
    in_force: String,
    file: String,
}

const ERROR: &str = "error";
const WARNING: &str = "warning";
/// The value of a subject that only one of the compared versions has.
const PRESENT: &str = "present";
const ABSENT: &str = "-";

/// Checks a configuration, and compares it with the version in force if an address is given.
/// Nothing is changed.
///
/// # Errors
///
/// Returns [`CmdError`], which determines the exit code. Errors in the file go before a failure to
/// read the version in force, because they are found in any case.
pub async fn check(
    args: &CheckArgs,
    connect: impl Fn(&str) -> Result<Connection, CmdError>,
    format: Format,
) -> Result<(), CmdError> {
    let text = std::fs::read(&args.file).map_err(|e| SettingsError::Read(args.file.clone(), e))?;
    let to = args.against.as_deref().map(connect).transpose()?;
    let (report, read) = match args.format.unwrap_or_else(|| detect_form(&text)) {
        ConfigForm::Platform => check_fleet(&args.file, text, to.as_ref()).await?,
        ConfigForm::Template => check_templates(args, &text, to.as_ref()).await?,
    };
    report.print(format);
    let errors = report.findings.iter().filter(|finding| finding.severity == ERROR).count();
    if errors > 0 {
        return Err(CmdError::Rejected { file: args.file.clone(), errors });
    }
    read
}

fn detect_form(text: &[u8]) -> ConfigForm {
    match text.trim_ascii_start().first() {
        Some(b'{') => ConfigForm::Platform,
        _ => ConfigForm::Template,
    }
}

impl Report {
    fn print(&self, format: Format) {
        if format != Format::Table {
            return View::new(self, &[], Vec::new()).print(format);
        }
        if self.findings.is_empty() {
            println!("no findings");
        } else {
            let row = |f: &Finding| {
                let place = [f.line.to_string(), f.field.clone()];
                let place = place.into_iter().filter(|part| !part.is_empty());
                let place = place.collect::<Vec<_>>().join(": ");
                vec![f.severity.to_owned(), place, f.detail.clone()]
            };
            let rows = self.findings.iter().map(row).collect();
            View::new(&self.findings, &["severity", "place", "finding"], rows).print(format);
        }
        let Some(differences) = &self.differences else { return };
        println!();
        if differences.is_empty() {
            return println!("no differences from the version in force");
        }
        let row = |d: &Difference| {
            vec![d.subject.clone(), d.field.clone(), d.in_force.clone(), d.file.clone()]
        };
        let rows = differences.iter().map(row).collect();
        View::new(&differences, &["difference", "field", "in force", "file"], rows).print(format);
    }
}

async fn check_fleet(
    file: &Path,
    text: Vec<u8>,
    to: Option<&Connection>,
) -> Result<(Report, Result<(), CmdError>), CmdError> {
    let source = Bytes::from(text);
    let unreadable = |source| CmdError::Config { file: file.to_owned(), source };
    let platform::Checked { config, mut findings } =
        platform::check(&source).map_err(unreadable)?;
    let (in_force, read) = match to {
        Some(to) => split(read_fleet_config(to).await),
        None => (None, Ok(())),
    };
    let stale = in_force.as_ref().and_then(|old| fleet_check::check_version(&config, old));
    findings.extend(stale);
    let finding = |finding: &fleet_check::Finding| {
        let at = platform::locate(&source, finding.place);
        let severity = match finding.problem.severity() {
            Severity::Error => ERROR,
            Severity::Warning => WARNING,
        };
        let (kind, detail) = (finding.problem.kind(), finding.problem.to_string());
        Finding { severity, kind, line: at.line, field: at.path, detail }
    };
    let differences = in_force.map(|old| {
        let differences = diff::differences(&old, &config);
        differences.into_iter().map(fleet_difference).collect()
    });
    Ok((Report { findings: findings.iter().map(finding).collect(), differences }, read))
}

async fn read_fleet_config(to: &Connection) -> Result<chicoryford_fleet::Config, CmdError> {
    let answer = Bytes::from(to.fleet_config().await?);
    let shape = |error: chicoryford_fleet::ConfigError| CmdError::Shape {
        path: "/configuration",
        detail: error.to_string(),
    };
    chicoryford_platform::config::parse(&answer).map_err(shape)
}

fn fleet_difference(difference: diff::Difference) -> Difference {
    let subject = platform::subject_name(&difference.subject);
    let (field, in_force, file) = match difference.change {
        diff::Change::Added => ("", ABSENT.to_owned(), PRESENT.to_owned()),
        diff::Change::Removed => ("", PRESENT.to_owned(), ABSENT.to_owned()),
        diff::Change::Changed { field, before, after } => {
            (platform::field_name(field), before, after)
        }
    };
    Difference { subject, field: field.to_owned(), in_force, file }
}

async fn check_templates(
    args: &CheckArgs,
    text: &[u8],
    to: Option<&Connection>,
) -> Result<(Report, Result<(), CmdError>), CmdError> {
    let text = std::str::from_utf8(text).map_err(|error| {
        SettingsError::Read(args.file.clone(), io::Error::new(io::ErrorKind::InvalidData, error))
    })?;
    let (in_force, read) = match to {
        Some(to) => split(read_templates(to).await),
        None => (None, Ok(())),
    };
    let mut known = KnownNames::default();
    if let Some(keys) = &args.keys {
        let holders = keys::read_holders(keys)?;
        known.callers = Some(names(&holders, Kind::Caller));
        known.trainers = Some(names(&holders, Kind::Trainer));
    }
    known.models = in_force.as_ref().map(|(config, members)| models(config, members));
    let (templates, findings) = findings::check_templates(&args.file, text, &known)?;
    let finding = |finding: TemplateFinding| {
        let severity = if finding.problem.is_error() { ERROR } else { WARNING };
        let (kind, detail) = (finding.problem.kind(), finding.problem.to_string());
        let (line, field) = (finding.place.line, finding.place.field);
        Finding { severity, kind, line, field, detail }
    };
    let findings = findings.into_iter().map(finding).collect();
    let differences = in_force.map(|(config, _)| {
        templates.iter().flat_map(|template| template_differences(&config, template)).collect()
    });
    Ok((Report { findings, differences }, read))
}

async fn read_templates(to: &Connection) -> Result<(Config, Members), CmdError> {
    Ok((to.config().await?, to.members().await?))
}

fn names(holders: &[Identity], kind: Kind) -> BTreeSet<Principal> {
    let holders = holders.iter().filter(|holder| holder.kind == kind);
    holders.map(|holder| holder.principal.clone()).collect()
}

/// Returns the models and services that endpoints offer or of which weights are published.
fn models(config: &Config, members: &Members) -> BTreeSet<Model> {
    let endpoints = members.present().filter_map(|member| member.endpoint.as_ref());
    let offered = endpoints.flat_map(|endpoint| endpoint.models.keys().cloned());
    offered.chain(config.weights.keys().cloned()).collect()
}

fn template_differences(config: &Config, template: &Template) -> Vec<Difference> {
    let subject = || format!("template {}", template.workspace);
    let Some(held) = config.templates.get(&template.workspace) else {
        let (in_force, file) = (ABSENT.to_owned(), PRESENT.to_owned());
        return vec![Difference { subject: subject(), field: String::new(), in_force, file }];
    };
    let differences = findings::differences(&held.template, template).into_iter();
    let difference = |difference: findings::TemplateDifference| {
        let (in_force, file) = (difference.before, difference.after);
        Difference { subject: subject(), field: difference.field, in_force, file }
    };
    differences.map(difference).collect()
}

/// Separates what was read from the error, which is reported after the findings.
fn split<T>(read: Result<T, CmdError>) -> (Option<T>, Result<(), CmdError>) {
    match read {
        Ok(read) => (Some(read), Ok(())),
        Err(error) => (None, Err(error)),
    }
}
