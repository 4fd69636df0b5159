//! A TCP relay that delays all data, to simulate the network latency between failure domains.

use {
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::{mpsc, watch},
        time::{Instant, sleep_until},
    },
};

const CHUNK_BYTES: usize = 16 * 1024;

/// A running relay. Dropping it closes its connections.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    _closing: watch::Sender<()>,
}

impl Relay {
    /// Starts a relay to the target address that delays each direction by `one_way_delay`.
    pub async fn spawn(target: Arc<str>, one_way_delay: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (closing, closed) = watch::channel(());
        tokio::spawn(accept(listener, target, one_way_delay, closed));
        Ok(Self { address, _closing: closing })
    }

    /// Returns the address of the relay as `ip:port`, to be used instead of the target's.
    pub fn address(&self) -> Arc<str> {
        self.address.to_string().into()
    }
}

async fn accept(
    listener: TcpListener,
    target: Arc<str>,
    one_way_delay: Duration,
    mut closed: watch::Receiver<()>,
) {
    loop {
        let accepted = tokio::select! {
            _ = closed.changed() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else { continue };
        let (target, mut closed) = (Arc::clone(&target), closed.clone());
        tokio::spawn(async move {
            tokio::select! {
                _ = closed.changed() => {}
                // When one side closes, both streams are dropped, which closes the other side too.
                _ = relay_connection(stream, &target, one_way_delay) => {}
            }
        });
    }
}

async fn relay_connection(client: TcpStream, target: &str, one_way_delay: Duration) -> io::Result<()> {
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::select! {
        result = copy_delayed(client_read, server_write, one_way_delay) => result,
        result = copy_delayed(server_read, client_write, one_way_delay) => result,
    }
}

async fn copy_delayed(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    one_way_delay: Duration,
) -> io::Result<()> {
    let (sender, mut chunks) = mpsc::unbounded_channel();
    let read = async move {
        loop {
            let mut chunk = vec![0; CHUNK_BYTES];
            let length = from.read(&mut chunk).await?;
            chunk.truncate(length);
            if length == 0 || sender.send((Instant::now() + one_way_delay, chunk)).is_err() {
                return io::Result::Ok(());
            }
        }
    };
    let write = async move {
        while let Some((due, chunk)) = chunks.recv().await {
            sleep_until(due).await;
            to.write_all(&chunk).await?;
        }
        io::Result::Ok(())
    };
    let (read, written) = tokio::join!(read, write);
    read.and(written)
}
