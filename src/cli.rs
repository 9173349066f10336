//! The command line of the operators' client. The doc comments are its help.

use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use clap::ValueEnum;
use clap_complete::Shell;

use crate::output::Format;

/// Drives chicoryford: submits templates, plans stops, publishes weights, shows what is going on.
///
/// The client talks to one entry or control process; given several addresses it tries them in
/// turn. A change carries an id, so that sending it again after a lost answer is safe.
#[derive(Debug, Parser)]
#[command(version, after_help = EXIT_CODES)]
pub struct Cli {
    /// How to reach the system.
    #[command(flatten)]
    pub reach: Reach,
    /// How to print results.
    #[arg(long, short, global = true, value_enum, default_value_t = Format::Table)]
    pub output: Format,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

const EXIT_CODES: &str = "Exit codes:
  0  done
  1  failed, or refused for a reason other than those below
  2  the command line or a file cannot be used; nothing was sent
  3  conflict: another change came first; its diff is printed
  4  not run: no process could be reached, or none could take the request
  5  accepted, but not in force everywhere within the time to wait
  6  unknown: the request was sent and its answer lost; send it again with the --change printed";

/// How to reach the system; flags go before the environment, which goes before the file.
#[derive(Args, Clone, Debug)]
#[command(next_help_heading = "Reaching the system")]
pub struct Reach {
    /// An entry or control process, as IP:PORT; repeat for several, which are tried in turn.
    #[arg(long, global = true, env = "CHICORYFORD_ADDRESS", value_delimiter = ',')]
    pub address: Vec<String>,
    /// The file whose first line is the operator's token.
    #[arg(long, global = true, env = "CHICORYFORD_TOKEN_FILE", value_name = "FILE")]
    pub token: Option<PathBuf>,
    /// The PEM file of roots to trust; HTTPS is spoken if it is given.
    #[arg(long, global = true, env = "CHICORYFORD_ROOTS", value_name = "FILE")]
    pub roots: Option<PathBuf>,
    /// The client's settings: `addresses`, `token`, `roots`, `timeout_ms`.
    #[arg(long, global = true, env = "CHICORYFORD_CLIENT", value_name = "FILE")]
    pub client: Option<PathBuf>,
    /// Seconds to go on trying before giving up.
    #[arg(long, global = true, value_name = "SECONDS")]
    pub timeout: Option<u64>,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check, apply, read and compare templates.
    #[command(subcommand)]
    Template(TemplateCommand),
    /// Check configurations before they are submitted.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Apply the templates of a file; the same as `template apply`.
    Apply(ApplyArgs),
    /// Plan, cancel and watch stops.
    #[command(subcommand)]
    Stop(StopCommand),
    /// Publish weights and see which endpoints run them.
    #[command(subcommand)]
    Weights(WeightsCommand),
    /// List the endpoints that announced themselves.
    Endpoints,
    /// Show the processes, the leader and the configuration in force.
    Status,
    /// Print the state dump of a process.
    Dump {
        /// The process's name, as `status` lists it, or its address as IP:PORT.
        process: String,
    },
    /// Show and change the control processes.
    #[command(subcommand)]
    Control(ControlCommand),
    /// Let a content that was refused for crashing endpoints run again.
    Pardon {
        /// The content's fingerprint, decimal or with 0x in hexadecimal.
        fingerprint: String,
        /// How to send the change.
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Print the story of a request, sample or step from processes' logs (docs/OPERATIONS.md).
    Explain {
        /// The identity that its sender gave it.
        id: String,
        /// The logs, one file a process; standard input if there is none.
        files: Vec<PathBuf>,
    },
    /// Print a completion script for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Check, apply, read and compare templates.
#[derive(Debug, Subcommand)]
pub enum TemplateCommand {
    /// Check a file without sending anything.
    Check {
        /// The YAML file; it may hold several templates, separated by `---`.
        file: PathBuf,
    },
    /// Apply the templates of a file.
    Apply(ApplyArgs),
    /// Print the template of a workspace, with the comment by which `apply` knows its base.
    Get {
        /// The workspace.
        workspace: String,
        /// Print this earlier version instead of the one in force.
        #[arg(long)]
        version: Option<u64>,
        /// Read from the control processes, confirmed by a majority, instead of what the answering
        /// process has in force; the address must be that of a control process.
        #[arg(long)]
        current: bool,
    },
    /// List the templates in force.
    List,
    /// Show what applying a file would change.
    Diff {
        /// The YAML file.
        file: PathBuf,
        /// Exit with 1 if there are differences.
        #[arg(long)]
        exit_code: bool,
    },
    /// List the versions of a template that are kept.
    History {
        /// The workspace.
        workspace: String,
    },
    /// Put the content of an earlier version in force again, as a new version.
    Rollback {
        /// The workspace.
        workspace: String,
        /// The version whose content is wanted.
        #[arg(long)]
        to: u64,
        /// How to send the change.
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Remove the template of a workspace; its callers are refused from then on.
    Remove {
        /// The workspace.
        workspace: String,
        /// How to send the change.
        #[command(flatten)]
        change: ChangeArgs,
    },
}

/// Check configurations before they are submitted.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Report errors, entries that can never match, limits that contradict each other, and what
    /// differs from the version in force. Nothing is changed.
    Check(CheckArgs),
}

/// Check a configuration.
#[derive(Args, Debug)]
pub struct CheckArgs {
    /// The file: templates in YAML, or a configuration of a fleet in JSON.
    pub file: PathBuf,
    /// Also compare with the version in force, read from this process, as IP:PORT: an entry or
    /// control process for templates, a control process of the fleet for its configuration.
    #[arg(long, value_name = "ADDRESS")]
    pub against: Option<String>,
    /// The form of the file; if it is left out, a file that begins with `{` is a configuration of a
    /// fleet.
    #[arg(long, value_enum)]
    pub format: Option<ConfigForm>,
    /// The keys file of the processes, to find callers and trainers of templates that have no key.
    #[arg(long, value_name = "FILE")]
    pub keys: Option<PathBuf>,
}

/// The form of a configuration file.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum ConfigForm {
    /// Templates of workspaces.
    Template,
    /// The routes, services and limits of a fleet on the users' platform.
    Platform,
}

/// Apply templates.
#[derive(Args, Debug)]
pub struct ApplyArgs {
    /// The YAML file; it may hold several templates, separated by `---`.
    pub file: PathBuf,
    /// The version that the file was made from. A file from `template get` names it in a comment;
    /// without either, the version in force at the start of the command.
    #[arg(long, value_name = "VERSION")]
    pub base: Option<u64>,
    /// How to send the change.
    #[command(flatten)]
    pub change: ChangeArgs,
}

/// How to send a change.
#[derive(Args, Clone, Debug, Default)]
pub struct ChangeArgs {
    /// The id of a change whose answer was lost, to send it again.
    #[arg(long, value_name = "ID")]
    pub change: Option<String>,
    /// Wait until the change is in force everywhere.
    #[arg(long)]
    pub wait: bool,
    /// Seconds to wait at most.
    #[arg(long, value_name = "SECONDS", default_value_t = 60, requires = "wait")]
    pub wait_timeout: u64,
}

/// Plan, cancel and watch stops.
#[derive(Debug, Subcommand)]
pub enum StopCommand {
    /// Plan a graceful stop: the target takes no new work and finishes what is in progress.
    Plan {
        /// What stops.
        #[command(flatten)]
        target: Target,
        /// Seconds after which work still in progress may be given up.
        #[arg(long, value_name = "SECONDS", default_value_t = 300)]
        deadline: u64,
        /// Why, for people.
        #[arg(long, default_value = "")]
        reason: String,
        /// The stop's name; one is drawn if it is left out.
        #[arg(long)]
        id: Option<String>,
        /// How to send the change.
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Cancel a stop, or remove one that is over.
    Cancel {
        /// The stop's name.
        id: String,
        /// How to send the change.
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Show the stops and what they wait for.
    Status {
        /// Show just this one.
        id: Option<String>,
    },
}

/// What a stop stops: exactly one of them.
#[derive(Args, Debug)]
#[group(required = true, multiple = false)]
pub struct Target {
    /// One endpoint.
    #[arg(long)]
    pub endpoint: Option<String>,
    /// One process.
    #[arg(long)]
    pub node: Option<String>,
    /// All endpoints and processes of a data centre.
    #[arg(long)]
    pub data_centre: Option<String>,
}

/// Publish weights and see which endpoints run them.
#[derive(Debug, Subcommand)]
pub enum WeightsCommand {
    /// Publish a version of a model's weights.
    Publish {
        /// The model.
        model: String,
        /// The version, greater than any before.
        version: u64,
        /// Where the weight store has it.
        source: String,
        /// How to send the change.
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Show the newest versions and how many endpoints run which.
    Status,
}

/// Show and change the control processes.
#[derive(Debug, Subcommand)]
pub enum ControlCommand {
    /// Show the leader, the epoch and the replicas.
    Status,
    /// Add a replica, which gets the log but has no vote until it is promoted.
    Add {
        /// Its name.
        node: String,
        /// Where it answers HTTP, as IP:PORT.
        replica: String,
    },
    /// Give a replica that has caught up a vote.
    Promote {
        /// Its name.
        node: String,
    },
    /// Remove a replica.
    Remove {
        /// Its name.
        node: String,
    },
    /// Replace a replica whose disk is lost: the leader adds the new one, lets it catch up,
    /// removes the lost one and gives the new one its vote.
    Replace {
        /// The replica that is lost.
        lost: String,
        /// The name of the new one.
        node: String,
        /// Where the new one answers HTTP, as IP:PORT.
        replica: String,
    },
    /// Ask the leader to hand over to another replica.
    HandOver {
        /// The replica that should lead; the one that is furthest if it is left out.
        node: Option<String>,
    },
}
