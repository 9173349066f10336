//! The registry of services by name.

use std::any::Any;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use thiserror::Error;

/// No service is registered under this name and type.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("no service named {0:?} of the requested type is registered in this process")]
pub struct MissingService(pub &'static str);

/// The services of a process by name.
#[derive(Default)]
pub struct Registry {
    services: Mutex<BTreeMap<&'static str, Arc<dyn Any + Send + Sync>>>,
}

impl Registry {
    /// Registers a service. It replaces a previous one of the same name.
    pub fn offer<T: Send + Sync + 'static>(&self, name: &'static str, service: T) {
        let mut services = self.services.lock().expect("no duty panics while it holds this lock");
        services.insert(name, Arc::new(service));
    }

    /// Finds a service.
    ///
    /// # Errors
    ///
    /// Returns [`MissingService`] if no service of type `T` is registered under `name`.
    pub fn find<T: Send + Sync + 'static>(
        &self,
        name: &'static str,
    ) -> Result<Arc<T>, MissingService> {
        let services = self.services.lock().expect("no duty panics while it holds this lock");
        let service = services.get(name).cloned().ok_or(MissingService(name))?;
        service.downcast().map_err(|_| MissingService(name))
    }

    /// Lists the names of the registered services.
    pub fn names(&self) -> Vec<&'static str> {
        let services = self.services.lock().expect("no duty panics while it holds this lock");
        services.keys().copied().collect()
    }
}
