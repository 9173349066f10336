//! Starts, kills, suspends, restarts and stops the processes of tests and demonstrations.

use std::fs::OpenOptions;
use std::io::Result;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

/// Interval at which [`Process::stop`] checks whether the process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time within which all threads of a suspended process must have stopped.
const FREEZE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which [`Process::freeze`] checks the threads.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A child process and the command that starts it. Dropping it kills the process.
pub struct Process {
    /// The name of the process and, with the extension `log`, of its log file.
    pub name: String,
    /// The file that receives standard output and standard error.
    pub log: PathBuf,
    program: PathBuf,
    arguments: Vec<String>,
    child: Child,
}

impl Process {
    /// Starts `program` with its output appended to a log file in `folder`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn start(folder: &Path, name: &str, program: &Path, arguments: &[String]) -> Result<Self> {
        let log = folder.join(format!("{name}.log"));
        let child = spawn(program, arguments, &log)?;
        Ok(Self {
            name: name.to_owned(),
            program: program.to_owned(),
            arguments: arguments.to_vec(),
            log,
            child,
        })
    }

    /// Returns the process id, with which the operating system's usage figures can be read.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has exited.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn has_ended(&mut self) -> Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }

    /// Kills the process at once, as in a crash.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Starts the program again with the same arguments.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn restart(&mut self) -> Result<()> {
        self.child = spawn(&self.program, &self.arguments, &self.log)?;
        Ok(())
    }

    /// Suspends the process (SIGSTOP) and waits until all its threads have stopped. Its connections
    /// stay open, and it does not notice that time passes.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn freeze(&self) -> Result<()> {
        self.signal("-STOP")?;
        // The signal is only pending when the command returns: on a busy machine threads continued
        // to run for up to 14 ms, and a suspended process answered a call sent in that time.
        let started = Instant::now();
        while started.elapsed() < FREEZE_TIMEOUT && !self.is_stopped()? {
            std::thread::sleep(FREEZE_POLL_INTERVAL);
        }
        Ok(())
    }

    /// Returns whether all threads are stopped, according to the state that follows the bracketed
    /// name in their `stat` files.
    fn is_stopped(&self) -> Result<bool> {
        for thread in std::fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let text = std::fs::read_to_string(thread?.path().join("stat"))?;
            let state = text.rsplit_once(") ").and_then(|(_, rest)| rest.chars().next());
            if state != Some('T') {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Resumes the process (SIGCONT).
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn thaw(&self) -> Result<()> {
        self.signal("-CONT")
    }

    /// Sends SIGTERM and returns whether the process exited with code 0 within `timeout`. Kills the
    /// process if it is still running then.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn stop(&mut self, timeout: Duration) -> Result<bool> {
        self.signal("-TERM")?;
        let started = Instant::now();
        while started.elapsed() < timeout {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.success());
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
        self.kill()?;
        Ok(false)
    }

    fn signal(&self, signal: &str) -> Result<()> {
        Command::new("kill").args([signal, &self.child.id().to_string()]).status()?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // No process is left running, even if a test panics.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(program: &Path, arguments: &[String], log: &Path) -> Result<Child> {
    let file = OpenOptions::new().create(true).append(true).open(log)?;
    Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(file.try_clone()?)
        .stderr(file)
        .spawn()
}
