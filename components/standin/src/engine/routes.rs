//! The HTTP routes of an engine.

use std::future::Future;
use std::future::pending;
use std::sync::Arc;

use chicoryford_wire::Call;
use chicoryford_wire::Reply;
use chicoryford_wire::Routes;
use chicoryford_wire::reply;

use super::batch::Engine;
use super::batch::Line;
use super::protocol::Cancel;
use super::protocol::Cancelled;
use super::protocol::Completion;
use super::protocol::Fault;
use super::protocol::Role;
use super::protocol::Weights;
use super::serve_weights;
use super::stream;
use super::swap;

/// Adds the routes of an engine.
pub fn add(routes: &mut Routes, engine: Arc<Engine>) {
    add_route(routes, "/v1/completions", &engine, |engine, call| async move {
        match call.json::<Completion>() {
            Ok(request) => stream::answer(&engine, call.peer, request),
            Err(failure) => reply::failure(&failure),
        }
    });
    add_route(routes, "/weights", &engine, |engine, call| async move {
        match call.json::<Weights>() {
            Ok(order) => swap::load(&engine, order).await,
            Err(failure) => reply::failure(&failure),
        }
    });
    add_route(routes, serve_weights::PATH, &engine, |engine, call| async move {
        serve_weights::serve(&engine, &call)
    });
    add_route(routes, "/role", &engine, |engine, call| async move { role(&engine, &call) });
    add_route(routes, "/cancel", &engine, |engine, call| async move { cancel(&engine, &call) });
    add_route(
        routes,
        "/load",
        &engine,
        |engine, _| async move { reply::json(200, &engine.load()) },
    );
    add_route(
        routes,
        "/health",
        &engine,
        |engine, _| async move { reply::json(200, &engine.health()) },
    );
    add_route(routes, "/fault", &engine, |engine, call| async move {
        match call.json::<Fault>() {
            Ok(fault) => {
                engine.fail(fault);
                reply::json(200, &fault)
            }
            Err(failure) => reply::failure(&failure),
        }
    });
}

/// Adds a route that records the remote address and, if that address is silenced, never responds.
fn add_route<F, Fut>(routes: &mut Routes, path: &'static str, engine: &Arc<Engine>, run: F)
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
    let order = match call.json::<Role>() {
        Ok(order) => order,
        Err(failure) => return reply::failure(&failure),
    };
    if let Some(refusal) = swap::refuse_if_fenced(engine, order.fence) {
        return refusal;
    }
    engine.state().role.clone_from(&order.role);
    reply::json(200, &order)
}

fn cancel(engine: &Arc<Engine>, call: &Call) -> Reply {
    let request = match call.json::<Cancel>() {
        Ok(request) => request,
        Err(failure) => return reply::failure(&failure),
    };
    let key = (request.request.clone(), request.attempt);
    let stop = engine.state().active.remove(&key);
    let stopped = stop.is_some_and(|stop| stop.send(true).is_ok());
    let instance = engine.instance();
    engine.records.write(&Line {
        event: "cancel",
        request: &request.request,
        attempt: request.attempt,
        how: if stopped { "stopped" } else { "absent" },
        ..Line::new(&instance)
    });
    reply::json(200, &Cancelled { stopped })
}
