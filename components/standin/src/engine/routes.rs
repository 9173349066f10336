//! The paths of an engine.

use std::future::Future;
use std::future::pending;
use std::sync::Arc;

use chicoryford_wire::Call;
use chicoryford_wire::Reply;
use chicoryford_wire::Routes;
use chicoryford_wire::reply;

use super::batch::Engine;
use super::batch::Line;
use super::give;
use super::protocol::Cancel;
use super::protocol::Cancelled;
use super::protocol::Completion;
use super::protocol::Fault;
use super::protocol::Role;
use super::protocol::Weights;
use super::stream;
use super::swap;

/// Adds an engine's paths.
pub fn add(routes: &mut Routes, engine: Arc<Engine>) {
    on(routes, "/v1/completions", &engine, |engine, call| async move {
        match call.json::<Completion>() {
            Ok(wanted) => stream::answer(&engine, call.peer, wanted),
            Err(failure) => reply::failure(&failure),
        }
    });
    on(routes, "/weights", &engine, |engine, call| async move {
        match call.json::<Weights>() {
            Ok(wanted) => swap::load(&engine, wanted).await,
            Err(failure) => reply::failure(&failure),
        }
    });
    on(routes, give::PATH, &engine, |engine, call| async move { give::give(&engine, &call) });
    on(routes, "/role", &engine, |engine, call| async move { role(&engine, &call) });
    on(routes, "/cancel", &engine, |engine, call| async move { cancel(&engine, &call) });
    on(routes, "/load", &engine, |engine, _| async move { reply::json(200, &engine.load()) });
    on(routes, "/health", &engine, |engine, _| async move { reply::json(200, &engine.health()) });
    on(routes, "/fault", &engine, |engine, call| async move {
        match call.json::<Fault>() {
            Ok(fault) => {
                engine.fail(fault);
                reply::json(200, &fault)
            }
            Err(failure) => reply::failure(&failure),
        }
    });
}

fn on<F, Fut>(routes: &mut Routes, path: &'static str, engine: &Arc<Engine>, run: F)
where
    F: Fn(Arc<Engine>, Call) -> Fut + Copy + 'static,
    Fut: Future<Output = Reply> + 'static,
{
    let engine = engine.clone();
    routes.add(path, &[], move |call| {
        let engine = engine.clone();
        async move {
            if let Some(peer) = call.peer {
                engine.state().peers.insert(peer);
            }
            if engine.is_silent(call.peer) {
                return pending().await;
            }
            run(engine, call).await
        }
    });
}

fn role(engine: &Arc<Engine>, call: &Call) -> Reply {
    let wanted = match call.json::<Role>() {
        Ok(wanted) => wanted,
        Err(failure) => return reply::failure(&failure),
    };
    if let Some(refusal) = swap::fenced(engine, wanted.fence) {
        return refusal;
    }
    engine.state().role.clone_from(&wanted.role);
    reply::json(200, &wanted)
}

fn cancel(engine: &Arc<Engine>, call: &Call) -> Reply {
    let wanted = match call.json::<Cancel>() {
        Ok(wanted) => wanted,
        Err(failure) => return reply::failure(&failure),
    };
    let key = (wanted.request.clone(), wanted.attempt);
    let stop = engine.state().active.remove(&key);
    let stopped = stop.is_some_and(|stop| stop.send(true).is_ok());
    let instance = engine.instance();
    engine.records.write(&Line {
        event: "cancel",
        request: &wanted.request,
        attempt: wanted.attempt,
        how: if stopped { "stopped" } else { "absent" },
        ..Line::new(&instance)
    });
    reply::json(200, &Cancelled { stopped })
}
