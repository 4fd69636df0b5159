//! The adapter to endpoints: the PostgreSQL wire protocol through `tokio-postgres`.
//!
//! Each connection is one task that drives the protocol and does its orders one after another. A work's statements are
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
pub struct Order {
    /// Comes back with the outcome.
    pub id: CommandId,
    /// What to do.
    pub work: EndpointCommand,
}

/// Opens a connection and does its orders one after another, until the orders' channel closes or it is lost.
///
/// Reports `Opened` or `Closed`, then `Done` for each order, and `Closed` at the end.
pub fn spawn(
    connection: ConnectionId,
    address: Arc<str>,
    login: EndpointLogin,
    mut orders: mpsc::UnboundedReceiver<Order>,
    inputs: mpsc::UnboundedSender<Input>,
) {
    let task = async move {
        let opened = tokio::select! {
            opened = open(&address, &login) => opened.ok(),
            // Orders come only after `Opened`; the end of the channel takes the attempt back.
            _ = orders.recv() => None,
        };
        if let Some((connected, fixed)) = opened {
            // The receiver is gone only when the process ends.
            let _ = inputs.send(Input::Opened(connection));
            serve(connection, connected, &fixed, &mut orders, &inputs).await;
        }
        fail_rest(connection, &mut orders, &inputs);
        let _ = inputs.send(Input::Closed(connection));
    };
    tokio::spawn(task);
}

/// Does orders until the channel closes or the connection is lost.
async fn serve(
    connection: ConnectionId,
    mut connected: Connected,
    fixed: &Fixed,
    orders: &mut mpsc::UnboundedReceiver<Order>,
    inputs: &mpsc::UnboundedSender<Input>,
) {
    let mut waiting = VecDeque::new();
    let progress = Progress::default();
    loop {
        let next = match waiting.pop_front() {
            Some(order) => Some(order),
            None => tokio::select! {
                biased;
                () = connected.lost() => None,
                order = orders.recv() => order,
            },
        };
        let Some(Order { id, work }) = next else { break };
        let (result, go_on) = perform(&mut connected, fixed, &work, &progress, orders, &mut waiting).await;
        let _ = inputs.send(Input::Done(connection, id, result));
        if !go_on {
            break;
        }
    }
    for Order { id, .. } in waiting {
        let _ = inputs.send(Input::Done(connection, id, Err(CommandError::NotSent)));
    }
}

/// Does one work; the second value tells whether the connection may be used further.
async fn perform(
    connected: &mut Connected,
    fixed: &Fixed,
    work: &EndpointCommand,
    progress: &Progress,
    orders: &mut mpsc::UnboundedReceiver<Order>,
    waiting: &mut VecDeque<Order>,
) -> (Result<CommandOutput, CommandError>, bool) {
    if connected.is_lost() {
        return (Err(CommandError::NotSent), false);
    }
    let Connected { client, driver, .. } = connected;
    let doing = command::perform(Link { client, fixed }, work, progress);
    tokio::pin!(doing);
    let mut driving = true;
    loop {
        tokio::select! {
            biased;
            result = &mut doing => return (result, driving && !client.is_closed()),
            // Once the driver has ended, every answer that arrived is there and the work ends by itself.
            () = &mut *driver, if driving => driving = false,
            order = orders.recv() => match order {
                Some(order) => waiting.push_back(order),
                None => return (Err(progress.lost()), false),
            },
        }
    }
}

fn fail_rest(
    connection: ConnectionId,
    orders: &mut mpsc::UnboundedReceiver<Order>,
    inputs: &mpsc::UnboundedSender<Input>,
) {
    orders.close();
    while let Ok(Order { id, .. }) = orders.try_recv() {
        let _ = inputs.send(Input::Done(connection, id, Err(CommandError::NotSent)));
    }
}
