//! Attempts to connect to backend servers that have fallen silent while requests wait for them.

use std::{sync::Arc, time::Instant};

use crate::{gateway::Gateway, http::pool::Error, record::Server};

/// Begins the examinations that are due.
pub(crate) fn examine_silent_servers(gateway: &Arc<Gateway>, now: Instant) {
    let contact = |server: &_| gateway.connections.contact(server, now);
    let due = gateway.decider.lock().begin_examinations(contact, now);
    if due.is_empty() {
        return;
    }
    let snapshot = gateway.cache.snapshot();
    for name in due {
        let server = snapshot.servers.get(&name).cloned();
        let Some(server) = server else {
            // The decider learns of removed servers right after the snapshot.
            continue;
        };
        let gateway = Arc::clone(gateway);
        tokio::spawn(async move { examine(&gateway, &server).await });
    }
}

async fn examine(gateway: &Arc<Gateway>, server: &Server) {
    let name = &server.name;
    let silent_ms = gateway.connections.contact(name, Instant::now()).silent_for.as_millis() as u64;
    let result = gateway.try_connection(server).await;
    // Without a free connection, nothing is learned about the server.
    let reachable = matches!(result, Ok(()) | Err(Error::Share));
    if !reachable {
        gateway.connections.close_idle(name);
    }
    gateway.decider.lock().record_examined(name, reachable, Instant::now());
    let fault = result.err();
    tracing::info!(
        event = "examined", server = %name, silent_ms, reachable,
        fault = fault.as_ref().map(tracing::field::display)
    );
}
