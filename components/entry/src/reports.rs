//! Reads load reports from the agents in this entry's subset, one stream an agent.

use std::collections::BTreeMap;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use chicoryford_kernel::Kernel;
use chicoryford_kernel::Phase;
use chicoryford_kernel::duty::DutyError;
use chicoryford_settings::Settings;
use chicoryford_types::Endpoint;
use chicoryford_types::LoadReport;
use chicoryford_wire::framing::Decoder;
use chicoryford_wire::paths;
use futures_util::StreamExt;

use crate::context::Context;
use crate::router::Pick;

/// The time between two looks at which agents should report.
const LOOK: Duration = Duration::from_secs(1);
/// The time without a report after which a stream counts as silent; agents send one at least
/// each eight seconds.
const SILENCE: Duration = Duration::from_secs(12);
/// The pause before a stream is opened again.
const PAUSE: Duration = Duration::from_secs(1);

type Streams = BTreeMap<Endpoint, (Pick, JoinHandle<()>)>;

/// Starts the duty.
///
/// # Errors
///
/// [`DutyError`] if the thread cannot be started.
pub fn start(kernel: &Kernel, settings: &Settings) -> Result<(), DutyError> {
    let settings = settings.clone();
    kernel.duty("reports", move |kernel| async move {
        let phases = kernel.phases.clone();
        match Context::new(&kernel, &settings) {
            Ok(context) => tokio::select! {
                () = phases.reached(Phase::Stopping) => {}
                () = follow(context) => {}
            },
            Err(error) => tracing::error!(event = "reports_not_started", %error),
        }
    })?;
    Ok(())
}

/// Keeps one stream to each agent of the subset, as it changes.
async fn follow(context: Context) {
    let mut streams = Streams::new();
    loop {
        if let Some(subset) = context.router.subset().await {
            adjust(&context, &mut streams, subset);
        }
        actix_rt::time::sleep(LOOK).await;
    }
}

fn adjust(context: &Context, streams: &mut Streams, subset: Vec<Pick>) {
    streams.retain(|_, (pick, task)| {
        let keep = subset.contains(pick);
        if !keep {
            task.abort();
        }
        keep
    });
    for pick in subset {
        if streams.contains_key(&pick.endpoint) {
            continue;
        }
        let task = actix_rt::spawn(read_for_ever(context.clone(), pick.clone()));
        streams.insert(pick.endpoint.clone(), (pick, task));
    }
}

async fn read_for_ever(context: Context, pick: Pick) {
    loop {
        read(&context, &pick).await;
        actix_rt::time::sleep(PAUSE).await;
    }
}

/// Reads one stream until it ends or goes silent. Each is opened on a new connection, because a
/// kept one may be the very connection that went silent.
async fn read(context: &Context, pick: &Pick) {
    let url = context.fresh_client.url(&pick.address, paths::REPORTS);
    let sent = actix_rt::time::timeout(SILENCE, context.fresh_client.post(&url).send()).await;
    let Ok(Ok(mut stream)) = sent else { return };
    if !stream.status().is_success() {
        return;
    }
    let mut decoder = Decoder::default();
    while let Ok(Some(Ok(chunk))) = actix_rt::time::timeout(SILENCE, stream.next()).await {
        decoder.push(&chunk);
        loop {
            match decoder.take::<LoadReport>() {
                Ok(Some(report)) if report.name == pick.endpoint => {
                    context.router.report_load(report)
                }
                Ok(Some(_)) | Err(_) => return,
                Ok(None) => break,
            }
        }
    }
}
