//! Processes of tests and demonstrations: started, killed, stopped in their tracks, started
//! again, and asked to stop.

use std::fs::OpenOptions;
use std::io::Result;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

const LOOK: Duration = Duration::from_millis(50);

/// How long all threads of a process may take to stand still.
const STOPPED: Duration = Duration::from_secs(2);
/// Pause between two looks whether they do.
const STOP_LOOK: Duration = Duration::from_millis(1);

/// A process and how to start it.
pub struct Process {
    /// Its name, which is also that of its log.
    pub name: String,
    /// What it writes.
    pub log: PathBuf,
    program: PathBuf,
    arguments: Vec<String>,
    child: Child,
}

impl Process {
    /// Starts `program`; what it writes goes to a log file in `folder`.
    ///
    /// # Errors
    ///
    /// What the operating system says.
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

    /// Gives its process id, by which the operating system tells what it uses.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Tells whether it has ended by itself.
    ///
    /// # Errors
    ///
    /// What the operating system says.
    pub fn has_ended(&mut self) -> Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }

    /// Ends the process at once, as a crash does.
    ///
    /// # Errors
    ///
    /// What the operating system says.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Starts it again as before.
    ///
    /// # Errors
    ///
    /// What the operating system says.
    pub fn restart(&mut self) -> Result<()> {
        self.child = spawn(&self.program, &self.arguments, &self.log)?;
        Ok(())
    }

    /// Holds it still (SIGSTOP): its connections stay open, and it does not notice the time.
    ///
    /// # Errors
    ///
    /// What the operating system says.
    pub fn freeze(&self) -> Result<()> {
        self.signal("-STOP")?;
        // The signal is only noted when the command returns: on a busy machine threads ran on for up
        // to 14 ms (measured), and a process that was held still answered a call sent in between.
        let since = Instant::now();
        while since.elapsed() < STOPPED && !self.is_stopped()? {
            std::thread::sleep(STOP_LOOK);
        }
        Ok(())
    }

    /// Tells whether all threads stand still, by the state that follows the name in brackets.
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

    /// Lets it go on (SIGCONT).
    ///
    /// # Errors
    ///
    /// What the operating system says.
    pub fn thaw(&self) -> Result<()> {
        self.signal("-CONT")
    }

    /// Asks it to stop, and tells whether it did with exit code 0 within `patience`.
    ///
    /// # Errors
    ///
    /// What the operating system says.
    pub fn stop(&mut self, patience: Duration) -> Result<bool> {
        self.signal("-TERM")?;
        let begun = Instant::now();
        while begun.elapsed() < patience {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.success());
            }
            std::thread::sleep(LOOK);
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
        // Nothing is left behind, also when a test fails half-way.
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
