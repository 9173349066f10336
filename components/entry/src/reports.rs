//! Reads load reports from the agents in this entry's subset, with one stream per agent.

use std::collections::BTreeMap;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use chicoryford_kernel::Kernel;
use chicoryford_kernel::Phase;
use chicoryford_kernel::duty::DutyError;
use chicoryford_kernel::run_time;
use chicoryford_settings::Settings;
use chicoryford_types::Endpoint;
use chicoryford_types::LoadReport;
use chicoryford_wire::framing::Decoder;
use chicoryford_wire::paths;
use futures_util::StreamExt;

use crate::context::Context;
use crate::router::Pick;

/// Interval at which the set of streams is adjusted to the subset.
const ADJUST_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a report after which a stream counts as silent. Agents send a report at least every
/// eight seconds.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(12);
/// Delay before a stream is opened again.
const REOPEN_DELAY: Duration = Duration::from_secs(1);

type Streams = BTreeMap<Endpoint, (Pick, JoinHandle<()>)>;

/// Starts the duty.
///
/// # Errors
///
/// Returns [`DutyError`] if the thread cannot be started.
pub fn start(kernel: &Kernel, settings: &Settings) -> Result<(), DutyError> {
    let settings = settings.clone();
    kernel.duty("reports", move |kernel| async move {
        let phases = kernel.phases.clone();
        match Context::new(&kernel, &settings) {
            Ok(context) => tokio::select! {
                () = phases.reached(Phase::Stopping) => {}
                () = follow_subset(context) => {}
            },
            Err(error) => tracing::error!(event = "reports_not_started", %error),
        }
    })?;
    Ok(())
}

/// Maintains one stream to each agent of the subset.
async fn follow_subset(context: Context) {
    let mut streams = Streams::new();
    loop {
        if let Some(subset) = context.router.subset().await {
            adjust(&context, &mut streams, subset);
        }
        actix_rt::time::sleep(ADJUST_INTERVAL).await;
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
        let task = actix_rt::spawn(read_repeatedly(context.clone(), pick.clone()));
        streams.insert(pick.endpoint.clone(), (pick, task));
    }
}

async fn read_repeatedly(context: Context, pick: Pick) {
    loop {
        read(&context, &pick).await;
        actix_rt::time::sleep(REOPEN_DELAY).await;
    }
}

/// Reads one stream until it ends or goes silent. It is opened on a new connection, because a
/// pooled connection may be the one that went silent.
async fn read(context: &Context, pick: &Pick) {
    let url = context.fresh_client.url(&pick.address, paths::REPORTS);
    let response = run_time::timeout(SILENCE_TIMEOUT, context.fresh_client.post(&url).send()).await;
    let Ok(Ok(mut stream)) = response else { return };
    if !stream.status().is_success() {
        return;
    }
    let mut decoder = Decoder::default();
    while let Ok(Some(Ok(chunk))) = run_time::timeout(SILENCE_TIMEOUT, stream.next()).await {
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
