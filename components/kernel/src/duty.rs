//! Duties, each on a thread of its own.

use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;

use thiserror::Error;

use crate::Kernel;
use crate::phase::Phase;

/// The thread of a duty could not be started.
#[derive(Debug, Error)]
#[error("cannot start the thread of duty {name}")]
pub struct DutyError {
    /// The duty.
    pub name: &'static str,
    /// The operating system's error.
    pub source: std::io::Error,
}

/// The running duties. The process waits for them at its end, and dumps list them.
#[derive(Debug, Default)]
pub struct Duties(Mutex<Vec<&'static str>>);

impl Duties {
    /// Returns the names of the running duties.
    pub fn running(&self) -> Vec<&'static str> {
        self.0.lock().expect("no duty panics while it holds this lock").clone()
    }

    fn begin(&self, name: &'static str) {
        self.0.lock().expect("no duty panics while it holds this lock").push(name);
    }

    fn end(&self, name: &'static str) {
        let mut names = self.0.lock().expect("no duty panics while it holds this lock");
        if let Some(index) = names.iter().position(|running| *running == name) {
            names.swap_remove(index);
        }
    }
}

impl Kernel {
    /// Runs an async duty on a thread of its own.
    ///
    /// If a duty panicked and the process continued, requests would wait for answers that are never
    /// sent. A panic therefore stops the process, and its supervisor restarts it as a whole.
    ///
    /// # Errors
    ///
    /// Returns [`DutyError`] if the operating system refuses the thread.
    pub fn duty<F, Fut>(&self, name: &'static str, run: F) -> Result<JoinHandle<()>, DutyError>
    where
        F: FnOnce(Kernel) -> Fut + Send + 'static,
        Fut: Future<Output = ()>,
    {
        let kernel = self.clone();
        let thread_main = move || {
            let guard = DutyGuard::new(name, &kernel);
            actix_rt::System::new().block_on(run(kernel));
            drop(guard);
        };
        thread::Builder::new()
            .name(name.to_owned())
            .spawn(thread_main)
            .map_err(|source| DutyError { name, source })
    }

    /// Runs a blocking duty, such as one that syncs files, on a thread of its own.
    ///
    /// # Errors
    ///
    /// Returns [`DutyError`] if the operating system refuses the thread.
    pub fn blocking_duty<F>(&self, name: &'static str, run: F) -> Result<JoinHandle<()>, DutyError>
    where
        F: FnOnce(Kernel) + Send + 'static,
    {
        let kernel = self.clone();
        let thread_main = move || {
            let guard = DutyGuard::new(name, &kernel);
            run(kernel);
            drop(guard);
        };
        thread::Builder::new()
            .name(name.to_owned())
            .spawn(thread_main)
            .map_err(|source| DutyError { name, source })
    }
}

struct DutyGuard {
    name: &'static str,
    phases: crate::Phases,
    duties: Arc<Duties>,
}

impl DutyGuard {
    fn new(name: &'static str, kernel: &Kernel) -> Self {
        kernel.duties.begin(name);
        Self { name, phases: kernel.phases.clone(), duties: kernel.duties.clone() }
    }
}

impl Drop for DutyGuard {
    fn drop(&mut self) {
        self.duties.end(self.name);
        if thread::panicking() {
            tracing::error!(event = "duty_panicked", duty = self.name);
            self.phases.advance(Phase::Stopping);
        }
    }
}
