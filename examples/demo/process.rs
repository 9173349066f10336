//! Processes of the demonstration: started, killed, started again, and asked to stop.

use std::fs::OpenOptions;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::ops::Range;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use eyre::WrapErr;
use rand::Rng;

const LOOK: Duration = Duration::from_millis(50);
const PORTS: Range<u16> = 10_000..32_000;

/// A process and how to start it.
pub struct Process {
    /// Its name, which is also that of its log.
    pub name: String,
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts `program`; what it writes goes to a log file in `folder`.
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

    /// Tells whether it has ended by itself.
    pub fn has_ended(&mut self) -> Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }

    /// Ends the process at once, as a crash does.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Starts it again as before.
    pub fn restart(&mut self) -> Result<()> {
        self.child = spawn(&self.program, &self.arguments, &self.log)?;
        Ok(())
    }

    /// Asks it to stop, and tells whether it did with exit code 0 within `patience`.
    pub fn stop(&mut self, patience: Duration) -> Result<bool> {
        Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status()?;
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
}

impl Drop for Process {
    fn drop(&mut self) {
        // The demonstration leaves nothing behind, also when it fails half-way.
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
        .wrap_err_with(|| format!("cannot start {}", program.display()))
}

/// Finds a port that is free for TCP and UDP just now, below those that the operating system
/// gives to outgoing connections: one of these could take the port before its process starts.
pub fn free_port() -> Result<u16> {
    loop {
        let port = rand::rng().random_range(PORTS);
        let tcp = TcpListener::bind(("127.0.0.1", port));
        if tcp.is_ok() && UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return Ok(port);
        }
    }
}
