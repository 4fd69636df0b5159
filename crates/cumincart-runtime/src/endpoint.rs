//! The endpoint adapter: connections to endpoints over the PostgreSQL wire protocol, with `tokio-postgres`.
//!
//! Each connection is one task that drives the protocol and executes its commands one after another. The statements of
//! a command are pipelined, so reads and writes take one round trip.

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
    login::{EndpointConnection, open},
    prepared::{PreparedClient, PreparedStatements},
    std::{collections::VecDeque, sync::Arc},
    tokio::sync::mpsc,
};

/// A command to execute on a connection.
#[derive(Debug, Clone)]
pub struct CommandRequest {
    /// The id that is reported with the result.
    pub id: CommandId,
    /// The command.
    pub command: EndpointCommand,
}

/// Opens a connection and executes its requests in order until the request channel closes or the connection is lost.
///
/// Reports `Opened`, then `CommandEnded` for each request, and at the end `Closed`. Reports only `Closed` if the connection
/// can't be opened.
pub fn spawn(
    connection_id: ConnectionId,
    address: Arc<str>,
    login: EndpointLogin,
    mut requests: mpsc::UnboundedReceiver<CommandRequest>,
    inputs: mpsc::UnboundedSender<Input>,
) {
    let task = async move {
        let opened = tokio::select! {
            opened = open(&address, &login) => opened.ok(),
            // Requests are sent only after `Opened`, so this is the end of the channel, which cancels the attempt.
            _ = requests.recv() => None,
        };
        if let Some((connection, statements)) = opened {
            // The receiver is dropped only when the engine ends.
            let _ = inputs.send(Input::Opened(connection_id));
            serve(connection_id, connection, &statements, &mut requests, &inputs).await;
        }
        reject_queued(connection_id, &mut requests, &inputs);
        let _ = inputs.send(Input::Closed(connection_id));
    };
    tokio::spawn(task);
}

/// Executes requests until the channel closes or the connection is lost.
async fn serve(
    connection_id: ConnectionId,
    mut connection: EndpointConnection,
    statements: &PreparedStatements,
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
                () = connection.lost() => None,
                request = requests.recv() => request,
            },
        };
        let Some(CommandRequest { id, command }) = next else { break };
        let (result, is_usable) =
            execute(&mut connection, statements, &command, &progress, requests, &mut queued).await;
        let _ = inputs.send(Input::CommandEnded(connection_id, id, result));
        if !is_usable {
            break;
        }
    }
    for CommandRequest { id, .. } in queued {
        let _ = inputs.send(Input::CommandEnded(connection_id, id, Err(CommandError::NotSent)));
    }
}

/// Executes one command. The second value is whether the connection is still usable.
async fn execute(
    connection: &mut EndpointConnection,
    statements: &PreparedStatements,
    command: &EndpointCommand,
    progress: &Progress,
    requests: &mut mpsc::UnboundedReceiver<CommandRequest>,
    queued: &mut VecDeque<CommandRequest>,
) -> (Result<CommandOutput, CommandError>, bool) {
    if connection.is_lost() {
        return (Err(CommandError::NotSent), false);
    }
    let EndpointConnection { client, driver, .. } = connection;
    let running = command::execute(PreparedClient { client, statements }, command, progress);
    tokio::pin!(running);
    let mut is_driving = true;
    loop {
        tokio::select! {
            biased;
            result = &mut running => return (result, is_driving && !client.is_closed()),
            // When the driver has ended, all received answers have been delivered, so the command completes by itself.
            () = &mut *driver, if is_driving => is_driving = false,
            request = requests.recv() => match request {
                Some(request) => queued.push_back(request),
                None => return (Err(progress.connection_loss_error()), false),
            },
        }
    }
}

/// Reports the requests that are left in the channel as not sent.
fn reject_queued(
    connection_id: ConnectionId,
    requests: &mut mpsc::UnboundedReceiver<CommandRequest>,
    inputs: &mpsc::UnboundedSender<Input>,
) {
    requests.close();
    while let Ok(CommandRequest { id, .. }) = requests.try_recv() {
        let _ = inputs.send(Input::CommandEnded(connection_id, id, Err(CommandError::NotSent)));
    }
}
