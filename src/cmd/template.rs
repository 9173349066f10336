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

/// Checks, applies, reads or compares templates. `connect` is called only by what needs it, so
/// that a file can be checked without a system.
///
/// # Errors
///
/// [`CmdError`], which knows its exit code.
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

/// Applies the templates of a file, in their order; stops at the first that is refused.
///
/// # Errors
///
/// [`CmdError`], which knows its exit code.
pub async fn apply(to: &Connection, args: &ApplyArgs, format: Format) -> Result<(), CmdError> {
    let templates = load_templates(&args.file)?;
    let text = std::fs::read_to_string(&args.file).unwrap_or_default();
    let marks = marks(&text, templates.len());
    let config = to.config().await?;
    let mut all = Vec::new();
    for (index, template) in templates.into_iter().enumerate() {
        let marked = marks.get(index).cloned().flatten();
        match apply_one(to, &config, template, args, marked, index).await {
            Ok(done) => all.push(done),
            Err(error) => {
                // What was accepted before stays accepted, and must be known.
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
    let same = current.is_some_and(|held| held.template == template);
    if same && args.change.change.is_none() {
        let version = current.map_or(0, |held| held.version);
        let what = format!("{what} (unchanged)");
        let position = Some(config.at);
        return Ok(Done { what, change: "-".to_owned(), position, version, everywhere: None });
    }
    let given = args.base.map(|version| Mark { version, digest: None });
    let base = match given.or(marked) {
        Some(mark) => mark.find(to, &template.workspace, current).await?,
        None => base::in_force(current),
    };
    let mut id = change::id(&args.change);
    if index > 0 && args.change.change.is_some() {
        // A file with several templates is several changes; each needs an id of its own, and
        // the same one on a resend.
        id.0 = format!("{}-{index}", id.0);
    }
    let command = Command::Apply { change: id.clone(), template: Box::new(template), base };
    change::submit(to, what, &id, &command, &args.change).await
}

/// Reads the comments by which the documents of a file tell their base versions.
fn marks(text: &str, count: usize) -> Vec<Option<Mark>> {
    let mut marks = Vec::new();
    let mut mark = None;
    let mut filled = false;
    for line in text.lines() {
        if line.trim_end() == "---" {
            if filled {
                marks.push(mark.take());
            }
            filled = false;
        } else if let Some(rest) = line.strip_prefix(BASE_MARK) {
            mark = rest.parse().ok();
        } else if !line.trim().is_empty() && !line.starts_with('#') {
            filled = true;
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
    let wanted = match version {
        Some(version) if current.is_none_or(|held| held.version != version) => {
            let kept = versions(to, workspace).await?.into_iter();
            kept.map(|(_, _, held)| held).find(|held| held.version == version)
        }
        _ => current.cloned(),
    };
    let wanted = wanted.ok_or_else(missing)?;
    match format {
        Format::Json => View::new(&wanted, &[], Vec::new()).print(format),
        Format::Table | Format::Yaml => {
            print!("{BASE_MARK}{}\n{}", Mark::of(current), yaml(&wanted.template));
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
    let head = ["workspace", "version", "models", "freshness", "title"];
    View::new(&config.templates, &head, rows).print(format);
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

/// A version that is kept: where and when it was accepted, and its content.
pub type Kept = (Position, Unix, Versioned);

/// Asks for the versions of a template that are kept.
pub async fn versions(to: &Connection, workspace: &str) -> Result<Vec<Kept>, CmdError> {
    let command = Command::History { workspace: Workspace::from(workspace) };
    match to.command(&command, None).await? {
        Reply::History(versions) => Ok(versions),
        _ => Err(CmdError::Missing { kind: "template", name: workspace.to_owned() }),
    }
}

async fn history(to: &Connection, workspace: &str, format: Format) -> Result<(), CmdError> {
    let versions = versions(to, workspace).await?;
    let row = |(at, accepted, held): &Kept| {
        vec![
            held.version.to_string(),
            at.to_string(),
            accepted.0.to_string(),
            held.template.digest().to_string(),
        ]
    };
    let rows = versions.iter().map(row).collect();
    let head = ["version", "position", "accepted (unix ms)", "digest"];
    View::new(&versions, &head, rows).print(format);
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

/// Gives a workspace with what is in force for it.
async fn in_force(to: &Connection, workspace: &str) -> Result<(Workspace, Base), CmdError> {
    let config = to.config().await?;
    let workspace = Workspace::from(workspace);
    let base = base::in_force(config.templates.get(&workspace));
    Ok((workspace, base))
}
