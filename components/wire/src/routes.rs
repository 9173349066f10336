//! The routes of a process's HTTP server, and the kinds of senders that may use them.

use std::future::Future;
use std::rc::Rc;

use futures_util::future::LocalBoxFuture;

use crate::call::Call;
use crate::keys::Kind;
use crate::progress;
use crate::progress::Progress;
use crate::reply::Reply;

/// The handler of a route.
pub(crate) type Handler = Rc<dyn Fn(Call) -> LocalBoxFuture<'static, Reply>>;

/// A path, or all paths below it, with its handler.
pub(crate) struct Route {
    prefix: &'static str,
    pub(crate) kinds: &'static [Kind],
    /// Whether the handler gets the body of the request.
    pub(crate) has_body: bool,
    pub(crate) handler: Handler,
}

/// The routes of a server. Each worker thread builds its own.
#[derive(Default)]
pub struct Routes {
    routes: Vec<Route>,
    counted: Option<(&'static [&'static str], Progress)>,
}

impl Routes {
    /// Adds a route. A `prefix` that ends with `/` matches all paths below it; any other one
    /// matches only itself. `kinds` lists the kinds of senders that may use the route; an empty
    /// list means that no token is required.
    pub fn add<F, Fut>(&mut self, prefix: &'static str, kinds: &'static [Kind], handler: F)
    where
        F: Fn(Call) -> Fut + 'static,
        Fut: Future<Output = Reply> + 'static,
    {
        let handler: Handler = Rc::new(move |call| Box::pin(handler(call)));
        self.routes.push(Route { prefix, kinds, has_body: true, handler });
    }

    /// Adds a route like [`Self::add`] that requires no token and whose requests need no body. Bodies are
    /// not read, since nobody knows who sends them.
    pub fn add_check<F, Fut>(&mut self, prefix: &'static str, handler: F)
    where
        F: Fn(Call) -> Fut + 'static,
        Fut: Future<Output = Reply> + 'static,
    {
        let handler: Handler = Rc::new(move |call| Box::pin(handler(call)));
        self.routes.push(Route { prefix, kinds: &[], has_body: false, handler });
    }

    /// Counts requests below `prefixes` as work in progress until their replies are sent. Long
    /// polls between processes must not be counted, because they would delay every shutdown.
    pub fn count(&mut self, prefixes: &'static [&'static str], progress: Progress) {
        self.counted = Some((prefixes, progress));
    }

    pub(crate) fn find(&self, path: &str) -> Option<&Route> {
        self.routes.iter().find(|route| matches(route.prefix, path))
    }

    pub(crate) fn guard(&self, path: &str) -> Option<progress::Guard> {
        let (prefixes, progress) = self.counted.as_ref()?;
        let is_counted = prefixes.iter().any(|prefix| matches(prefix, path));
        is_counted.then(|| progress.begin())
    }
}

fn matches(prefix: &str, path: &str) -> bool {
    prefix == path || (prefix.ends_with('/') && path.starts_with(prefix))
}
