//! Duties: one thread each.

use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;

use thiserror::Error;

use crate::Kernel;
use crate::phase::Phase;

/// A duty's thread could not be started.
#[derive(Debug, Error)]
#[error("cannot start the thread of duty {name}")]
pub struct DutyError {
    /// The duty.
    pub name: &'static str,
    /// What the operating system said.
    pub source: std::io::Error,
}

/// Lists the duties that run, so that the end of a process can wait for them and a dump can
/// show them.
#[derive(Debug, Default)]
pub struct Duties(Mutex<Vec<&'static str>>);

impl Duties {
    /// Names the duties that run.
    pub fn running(&self) -> Vec<&'static str> {
        self.0.lock().expect("no duty panics while it holds this lock").clone()
    }

    fn begin(&self, name: &'static str) {
        self.0.lock().expect("no duty panics while it holds this lock").push(name);
    }

    fn end(&self, name: &'static str) {
        let mut names = self.0.lock().expect("no duty panics while it holds this lock");
        if let Some(place) = names.iter().position(|n| *n == name) {
            names.swap_remove(place);
        }
    }
}

impl Kernel {
    /// Runs an async duty on a thread of its own.
    ///
    /// A duty that panics would leave the process half alive: requests would wait for answers
    /// that nobody gives. The thread's end by panic is noticed here and stops the process, whose
    /// supervisor restarts it whole.
    ///
    /// # Errors
    ///
    /// [`DutyError`] if the operating system refuses the thread.
    pub fn duty<F, Fut>(&self, name: &'static str, run: F) -> Result<JoinHandle<()>, DutyError>
    where
        F: FnOnce(Kernel) -> Fut + Send + 'static,
        Fut: Future<Output = ()>,
    {
        let kernel = self.clone();
        let body = move || {
            let guard = EndGuard::new(name, &kernel);
            actix_rt::System::new().block_on(run(kernel));
            drop(guard);
        };
        thread::Builder::new()
            .name(name.to_owned())
            .spawn(body)
            .map_err(|source| DutyError { name, source })
    }

    /// Runs a duty that blocks, such as one that syncs files, on a thread of its own.
    ///
    /// # Errors
    ///
    /// [`DutyError`] if the operating system refuses the thread.
    pub fn blocking_duty<F>(&self, name: &'static str, run: F) -> Result<JoinHandle<()>, DutyError>
    where
        F: FnOnce(Kernel) + Send + 'static,
    {
        let kernel = self.clone();
        let body = move || {
            let guard = EndGuard::new(name, &kernel);
            run(kernel);
            drop(guard);
        };
        thread::Builder::new()
            .name(name.to_owned())
            .spawn(body)
            .map_err(|source| DutyError { name, source })
    }
}

struct EndGuard {
    name: &'static str,
    phases: crate::Phases,
    duties: Arc<Duties>,
}

impl EndGuard {
    fn new(name: &'static str, kernel: &Kernel) -> Self {
        kernel.duties.begin(name);
        Self { name, phases: kernel.phases.clone(), duties: kernel.duties.clone() }
    }
}

impl Drop for EndGuard {
    fn drop(&mut self) {
        self.duties.end(self.name);
        if thread::panicking() {
            tracing::error!(event = "duty_panicked", duty = self.name);
            self.phases.advance(Phase::Stopping);
        }
    }
}
