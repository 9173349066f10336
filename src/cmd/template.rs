//! `chicoryford template`.

use std::path::Path;

use chicoryford_settings::load_templates;
use chicoryford_state::Base;
use chicoryford_state::Command;
use chicoryford_state::Reply;
use chicoryford_types::Config;
use chicoryford_types::Position;
use chicoryford_types::Template;
use chicoryford_types::Unix;
use chicoryford_types::Workspace;
use chicoryford_types::config::Versioned;
use similar::TextDiff;

use super::base;
use super::base::BASE_MARK;
use super::base::Mark;
use crate::change;
use crate::change::Done;
use crate::cli::ApplyArgs;
use crate::cli::ChangeArgs;
use crate::cli::TemplateCommand;
use crate::connect::Connection;
use crate::error::CmdError;
use crate::output::Format;
use crate::output::View;
use crate::output::yaml;

/// Checks, applies, reads or compares templates. `connect` is called only by the commands that need
/// a connection, so that a file can be checked without a running system.
///
/// # Errors
///
/// Returns [`CmdError`], which determines the exit code.
pub async fn run(
    command: &TemplateCommand,
    connect: impl Fn() -> Result<Connection, CmdError>,
    format: Format,
) -> Result<(), CmdError> {
    match command {
        TemplateCommand::Check { file } => check(file, format),
        TemplateCommand::Apply(args) => apply(&connect()?, args, format).await,
        TemplateCommand::Get { workspace, version, current } => {
            let to = connect()?;
            let config = if *current { to.current().await? } else { to.config().await? };
            get(&to, &config, workspace, *version, format).await
        }
        TemplateCommand::List => list(&connect()?, format).await,
        TemplateCommand::Diff { file, exit_code } => diff(&connect()?, file, *exit_code).await,
        TemplateCommand::History { workspace } => history(&connect()?, workspace, format).await,
        TemplateCommand::Rollback { workspace, to, change } => {
            rollback(&connect()?, workspace, *to, change, format).await
        }
        TemplateCommand::Remove { workspace, change } => {
            remove(&connect()?, workspace, change, format).await
        }
    }
}

fn check(file: &Path, format: Format) -> Result<(), CmdError> {
    let templates = load_templates(file)?;
    let rows = templates.iter().map(|t| vec![t.workspace.to_string(), "can be used".to_owned()]);
    View::new(&templates, &["workspace", "template"], rows.collect()).print(format);
    Ok(())
}

/// Applies the templates of a file in order, and stops at the first one that is refused.
///
/// # Errors
///
/// Returns [`CmdError`], which determines the exit code.
pub async fn apply(to: &Connection, args: &ApplyArgs, format: Format) -> Result<(), CmdError> {
    let templates = load_templates(&args.file)?;
    let text = std::fs::read_to_string(&args.file).unwrap_or_default();
    let marks = parse_marks(&text, templates.len());
    let config = to.config().await?;
    let mut all = Vec::new();
    for (index, template) in templates.into_iter().enumerate() {
        let marked = marks.get(index).cloned().flatten();
        match apply_one(to, &config, template, args, marked, index).await {
            Ok(done) => all.push(done),
            Err(error) => {
                // The earlier templates remain accepted, so their results must be printed.
                if !all.is_empty() {
                    change::print(&all, format);
                }
                return Err(error);
            }
        }
    }
    change::print(&all, format);
    Ok(())
}

async fn apply_one(
    to: &Connection,
    config: &Config,
    template: Template,
    args: &ApplyArgs,
    marked: Option<Mark>,
    index: usize,
) -> Result<Done, CmdError> {
    let what = format!("template {}", template.workspace);
    let current = config.templates.get(&template.workspace);
    let is_unchanged = current.is_some_and(|held| held.template == template);
    if is_unchanged && args.change.change.is_none() {
        let version = current.map_or(0, |held| held.version);
        let what = format!("{what} (unchanged)");
        let position = Some(config.at);
        return Ok(Done { what, change: "-".to_owned(), position, version, everywhere: None });
    }
    let base_arg = args.base.map(|version| Mark { version, digest: None });
    let base = match base_arg.or(marked) {
        Some(mark) => mark.find(to, &template.workspace, current).await?,
        None => base::in_force(current),
    };
    let mut id = change::id(&args.change);
    if index > 0 && args.change.change.is_some() {
        // Each template of a file is a separate change. Each needs its own id, which must be the
        // same on a resend.
        id.0 = format!("{}-{index}", id.0);
    }
    let command = Command::Apply { change: id.clone(), template: Box::new(template), base };
    change::submit(to, what, &id, &command, &args.change).await
}

/// Parses the comments that name the base versions of the documents of a file.
fn parse_marks(text: &str, count: usize) -> Vec<Option<Mark>> {
    let mut marks = Vec::new();
    let mut mark = None;
    let mut has_content = false;
    for line in text.lines() {
        if line.trim_end() == "---" {
            if has_content {
                marks.push(mark.take());
            }
            has_content = false;
        } else if let Some(rest) = line.strip_prefix(BASE_MARK) {
            mark = rest.parse().ok();
        } else if !line.trim().is_empty() && !line.starts_with('#') {
            has_content = true;
        }
    }
    marks.push(mark);
    marks.resize(count, None);
    marks
}

async fn get(
    to: &Connection,
    config: &Config,
    workspace: &str,
    version: Option<u64>,
    format: Format,
) -> Result<(), CmdError> {
    let missing = || CmdError::Missing { kind: "template", name: workspace.to_owned() };
    let current = config.templates.get(&Workspace::from(workspace));
    let selected = match version {
        Some(version) if current.is_none_or(|held| held.version != version) => {
            let kept = versions(to, workspace).await?.into_iter();
            kept.map(|(_, _, held)| held).find(|held| held.version == version)
        }
        _ => current.cloned(),
    };
    let selected = selected.ok_or_else(missing)?;
    match format {
        Format::Json => View::new(&selected, &[], Vec::new()).print(format),
        Format::Table | Format::Yaml => {
            print!("{BASE_MARK}{}\n{}", Mark::of(current), yaml(&selected.template));
        }
    }
    Ok(())
}

async fn list(to: &Connection, format: Format) -> Result<(), CmdError> {
    let config = to.config().await?;
    let row = |held: &Versioned| {
        let models: Vec<&str> = held.template.models.iter().map(|m| m.as_str()).collect();
        vec![
            held.template.workspace.to_string(),
            held.version.to_string(),
            models.join(" "),
            held.template.freshness.versions.to_string(),
            held.template.title.clone(),
        ]
    };
    let rows = config.templates.values().map(row).collect();
    let header = ["workspace", "version", "models", "freshness", "title"];
    View::new(&config.templates, &header, rows).print(format);
    Ok(())
}

async fn diff(to: &Connection, file: &Path, exit_code: bool) -> Result<(), CmdError> {
    let templates = load_templates(file)?;
    let config = to.config().await?;
    let mut differs = false;
    for template in &templates {
        let current = config.templates.get(&template.workspace);
        let before = current.map(|held| yaml(&held.template)).unwrap_or_default();
        let after = yaml(template);
        if before == after {
            continue;
        }
        differs = true;
        let version = current.map_or(0, |held| held.version);
        let header = format!("{} version {version}", template.workspace);
        let diff = TextDiff::from_lines(&before, &after);
        print!("{}", diff.unified_diff().header(&header, &file.display().to_string()));
    }
    if differs && exit_code { Err(CmdError::Differs) } else { Ok(()) }
}

/// A stored version: the position and time at which it was accepted, and its content.
pub type StoredVersion = (Position, Unix, Versioned);

/// Reads the stored versions of a template.
pub async fn versions(to: &Connection, workspace: &str) -> Result<Vec<StoredVersion>, CmdError> {
    let command = Command::History { workspace: Workspace::from(workspace) };
    match to.command(&command, None).await? {
        Reply::History(versions) => Ok(versions),
        _ => Err(CmdError::Missing { kind: "template", name: workspace.to_owned() }),
    }
}

async fn history(to: &Connection, workspace: &str, format: Format) -> Result<(), CmdError> {
    let versions = versions(to, workspace).await?;
    let row = |(at, accepted, held): &StoredVersion| {
        vec![
            held.version.to_string(),
            at.to_string(),
            accepted.0.to_string(),
            held.template.digest().to_string(),
        ]
    };
    let rows = versions.iter().map(row).collect();
    let header = ["version", "position", "accepted (unix ms)", "digest"];
    View::new(&versions, &header, rows).print(format);
    Ok(())
}

async fn rollback(
    to: &Connection,
    workspace: &str,
    version: u64,
    args: &ChangeArgs,
    format: Format,
) -> Result<(), CmdError> {
    let (workspace, base) = in_force(to, workspace).await?;
    let what = format!("template {workspace} as in version {version}");
    let command = |change| Command::Rollback { change, workspace, to: version, base };
    change::run(to, what, args, format, command).await
}

async fn remove(
    to: &Connection,
    workspace: &str,
    args: &ChangeArgs,
    format: Format,
) -> Result<(), CmdError> {
    let (workspace, base) = in_force(to, workspace).await?;
    let what = format!("template {workspace} removed");
    change::run(to, what, args, format, |change| Command::Remove { change, workspace, base }).await
}

/// Returns a workspace with the base of a change to its template.
async fn in_force(to: &Connection, workspace: &str) -> Result<(Workspace, Base), CmdError> {
    let config = to.config().await?;
    let workspace = Workspace::from(workspace);
    let base = base::in_force(config.templates.get(&workspace));
    Ok((workspace, base))
}
