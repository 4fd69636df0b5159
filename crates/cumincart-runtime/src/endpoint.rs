//! The adapter to endpoints: the PostgreSQL wire protocol through `tokio-postgres`.
//!
//! Each connection is one task that drives the protocol and does its requests one after another. A work's statements are
//! sent together, so that reads and writes take one round trip.

mod command;
mod command_filter;
mod login;
mod prepared;
mod promotion;
mod rows;
mod statement;

pub use {login::EndpointLogin, promotion::promote};

use {
    command::Progress,
    cumincart_core::{
        endpoint_command::{CommandError, CommandId, CommandOutput, ConnectionId, EndpointCommand},
        entry::Input,
    },
    login::{Connected, open},
    prepared::{Fixed, Link},
    std::{collections::VecDeque, sync::Arc},
    tokio::sync::mpsc,
};

/// A work for a connection.
#[derive(Debug, Clone)]
pub struct CommandRequest {
    /// Comes back with the outcome.
    pub id: CommandId,
    /// What to do.
    pub command: EndpointCommand,
}

/// Opens a connection and does its requests one after another, until the requests' channel closes or it is lost.
///
/// Reports `Opened` or `Closed`, then `Done` for each request, and `Closed` at the end.
pub fn spawn(
    connection: ConnectionId,
    address: Arc<str>,
    login: EndpointLogin,
    mut requests: mpsc::UnboundedReceiver<CommandRequest>,
    inputs: mpsc::UnboundedSender<Input>,
) {
    let task = async move {
        let opened = tokio::select! {
            opened = open(&address, &login) => opened.ok(),
            // Orders come only after `Opened`; the end of the channel takes the attempt back.
            _ = requests.recv() => None,
        };
        if let Some((connected, fixed)) = opened {
            // The receiver is gone only when the process ends.
            let _ = inputs.send(Input::Opened(connection));
            serve(connection, connected, &fixed, &mut requests, &inputs).await;
        }
        reject_queued(connection, &mut requests, &inputs);
        let _ = inputs.send(Input::Closed(connection));
    };
    tokio::spawn(task);
}

/// Does requests until the channel closes or the connection is lost.
async fn serve(
    connection: ConnectionId,
    mut connected: Connected,
    fixed: &Fixed,
    requests: &mut mpsc::UnboundedReceiver<CommandRequest>,
    inputs: &mpsc::UnboundedSender<Input>,
) {
    let mut queued = VecDeque::new();
    let progress = Progress::default();
    loop {
        let next = match queued.pop_front() {
            Some(request) => Some(request),
            None => tokio::select! {
                biased;
                () = connected.lost() => None,
                request = requests.recv() => request,
            },
        };
        let Some(CommandRequest { id, command }) = next else { break };
        let (result, go_on) =
            execute(&mut connected, fixed, &command, &progress, requests, &mut queued).await;
        let _ = inputs.send(Input::Done(connection, id, result));
        if !go_on {
            break;
        }
    }
    for CommandRequest { id, .. } in queued {
        let _ = inputs.send(Input::Done(connection, id, Err(CommandError::NotSent)));
    }
}

/// Does one work; the second value tells whether the connection may be used further.
async fn execute(
    connected: &mut Connected,
    fixed: &Fixed,
    command: &EndpointCommand,
    progress: &Progress,
    requests: &mut mpsc::UnboundedReceiver<CommandRequest>,
    queued: &mut VecDeque<CommandRequest>,
) -> (Result<CommandOutput, CommandError>, bool) {
    if connected.is_lost() {
        return (Err(CommandError::NotSent), false);
    }
    let Connected { client, driver, .. } = connected;
    let doing = command::execute(Link { client, fixed }, command, progress);
    tokio::pin!(doing);
    let mut driving = true;
    loop {
        tokio::select! {
            biased;
            result = &mut doing => return (result, driving && !client.is_closed()),
            // Once the driver has ended, every answer that arrived is there and the work ends by itself.
            () = &mut *driver, if driving => driving = false,
            request = requests.recv() => match request {
                Some(request) => queued.push_back(request),
                None => return (Err(progress.lost()), false),
            },
        }
    }
}

fn reject_queued(
    connection: ConnectionId,
    requests: &mut mpsc::UnboundedReceiver<CommandRequest>,
    inputs: &mpsc::UnboundedSender<Input>,
) {
    requests.close();
    while let Ok(CommandRequest { id, .. }) = requests.try_recv() {
        let _ = inputs.send(Input::Done(connection, id, Err(CommandError::NotSent)));
    }
}
