//! State dumps: each service adds a part, an operator asks for the whole.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;

use serde_json::Value;

/// A part of a dump on its way.
pub type Part = Pin<Box<dyn Future<Output = Value>>>;
type Source = Arc<dyn Fn() -> Part + Send + Sync>;

/// Collects the parts of a process's state dump by name.
#[derive(Default)]
pub struct Dumps {
    sources: Mutex<BTreeMap<&'static str, Source>>,
}

impl Dumps {
    /// Adds a part. It must hold no secrets: dumps go to operators and into tickets.
    pub fn add<F, Fut>(&self, name: &'static str, source: F)
    where
        F: Fn() -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Value> + 'static,
    {
        let mut sources = self.sources.lock().expect("no duty panics while it holds this lock");
        sources.insert(name, Arc::new(move || Box::pin(source())));
    }

    /// Takes the whole dump.
    pub async fn take(&self) -> Value {
        let sources = {
            let sources = self.sources.lock().expect("no duty panics while it holds this lock");
            sources.clone()
        };
        let mut whole = serde_json::Map::new();
        for (name, source) in sources {
            whole.insert(name.to_owned(), source().await);
        }
        Value::Object(whole)
    }
}
