//! The listener of one database: accepts connections and serves the protocol on them.

use {
    crate::{
        database::{Database, Faults},
        handlers::Handlers,
    },
    futures_util::{SinkExt, StreamExt},
    pgwire::{
        api::{ClientInfo, DefaultClient, NoopHandler, PgWireConnectionState},
        error::PgWireError,
        messages::{
            PgWireBackendMessage, PgWireFrontendMessage, SslNegotiationMetaMessage, response::SslResponse,
        },
        tokio::server::{PgWireMessageServerCodec, process_error, process_message},
    },
    std::{
        io,
        net::SocketAddr,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::{TcpListener, TcpStream},
        sync::watch,
    },
    tokio_util::codec::Framed,
};

/// Accepts connections until the group is dropped.
pub async fn accept(listener: TcpListener, database: Database, mut closed: watch::Receiver<()>) {
    loop {
        let accepted = tokio::select! {
            _ = closed.changed() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else { continue };
        let faults = database.faults();
        let current = *faults.borrow();
        if current.refuses_clients || current.crashed {
            continue;
        }
        tokio::spawn(serve(stream, peer, database.clone(), faults, current.epoch, closed.clone()));
    }
}

async fn serve(
    stream: TcpStream,
    peer: SocketAddr,
    database: Database,
    mut faults: watch::Receiver<Faults>,
    epoch: u64,
    mut closed: watch::Receiver<()>,
) {
    tokio::select! {
        biased;
        _ = closed.changed() => {}
        _ = faults.wait_for(|faults| faults.epoch != epoch) => {}
        // An error only closes the connection, which the client sees; there is no other recipient.
        _ = process_messages(stream, peer, database) => {}
    }
}

async fn process_messages(stream: TcpStream, peer: SocketAddr, database: Database) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let handlers = Arc::new(Handlers::new(database.clone()));
    let recorded = RecordedStream::new(stream, database.clone());
    let mut socket =
        Framed::new(recorded, PgWireMessageServerCodec::<String>::new(DefaultClient::new(peer, false)));
    loop {
        let Some(Ok(message)) = socket.next().await else { return Ok(()) };
        database.wait_until_running().await;
        if matches!(message, PgWireFrontendMessage::Terminate(_)) {
            return Ok(());
        }
        if let PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresSsl(_)) = message {
            socket.send(PgWireBackendMessage::SslResponse(SslResponse::Refuse)).await?;
            continue;
        }
        if matches!(socket.state(), PgWireConnectionState::AwaitingSslRequest) {
            socket.set_state(PgWireConnectionState::AwaitingStartup);
        }
        let is_extended = message.is_extended_query();
        if let Err(error) = handle_message(message, &mut socket, &handlers).await {
            let is_fatal = error.is_fatal();
            process_error(&mut socket, error, is_extended).await?;
            if is_fatal {
                return Ok(());
            }
        }
    }
}

async fn handle_message(
    message: PgWireFrontendMessage,
    socket: &mut Framed<RecordedStream, PgWireMessageServerCodec<String>>,
    handlers: &Arc<Handlers>,
) -> Result<(), PgWireError> {
    let none = Arc::new(NoopHandler);
    process_message(
        message,
        socket,
        Arc::clone(handlers),
        Arc::clone(handlers),
        Arc::clone(handlers),
        Arc::clone(&none),
        none,
    )
    .await
}

/// A TCP stream that records the received bytes, if recording is on.
struct RecordedStream {
    stream: TcpStream,
    database: Database,
    recording: Option<usize>,
}

impl RecordedStream {
    fn new(stream: TcpStream, database: Database) -> Self {
        let recording = database.group().recording.then(|| database.received().open_stream());
        Self { stream, database, recording }
    }
}

impl AsyncRead for RecordedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if let Some(index) = self.recording {
            self.database.received().append(index, &buffer.filled()[before..]);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RecordedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
