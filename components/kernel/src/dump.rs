//! State dumps: each service adds a part, and an operator requests all of them.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;

use serde_json::Value;

/// The future of one part of a dump.
pub type Part = Pin<Box<dyn Future<Output = Value>>>;
type Source = Arc<dyn Fn() -> Part + Send + Sync>;

/// The parts of a process's state dump, by name.
#[derive(Default)]
pub struct Dumps {
    sources: Mutex<BTreeMap<&'static str, Source>>,
}

impl Dumps {
    /// Adds a part. It must not contain secrets, because dumps are sent to operators and attached
    /// to tickets.
    pub fn add<F, Fut>(&self, name: &'static str, source: F)
    where
        F: Fn() -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Value> + 'static,
    {
        let mut sources = self.sources.lock().expect("no duty panics while it holds this lock");
        sources.insert(name, Arc::new(move || Box::pin(source())));
    }

    /// Collects all parts.
    pub async fn take(&self) -> Value {
        let sources = {
            let sources = self.sources.lock().expect("no duty panics while it holds this lock");
            sources.clone()
        };
        let mut dump = serde_json::Map::new();
        for (name, source) in sources {
            dump.insert(name.to_owned(), source().await);
        }
        Value::Object(dump)
    }
}
