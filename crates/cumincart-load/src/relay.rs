//! A TCP relay that delays every byte, in place of a distance between failure domains.

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

/// A running relay. Dropping it ends its connections.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    _closing: watch::Sender<()>,
}

impl Relay {
    /// Starts a relay to an address that delays each direction by `one_way`.
    pub async fn spawn(target: Arc<str>, one_way: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (closing, closed) = watch::channel(());
        tokio::spawn(accept(listener, target, one_way, closed));
        Ok(Self { address, _closing: closing })
    }

    /// The address to use in place of the target's, as `ip:port`.
    pub fn address(&self) -> Arc<str> {
        self.address.to_string().into()
    }
}

async fn accept(listener: TcpListener, target: Arc<str>, one_way: Duration, mut closed: watch::Receiver<()>) {
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
                // Either side's end is passed on by dropping both streams.
                _ = join(stream, &target, one_way) => {}
            }
        });
    }
}

async fn join(near: TcpStream, target: &str, one_way: Duration) -> io::Result<()> {
    let far = TcpStream::connect(target).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        result = carry(near_read, far_write, one_way) => result,
        result = carry(far_read, near_write, one_way) => result,
    }
}

async fn carry(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, one_way: Duration) -> io::Result<()> {
    let (sender, mut chunks) = mpsc::unbounded_channel();
    let read = async move {
        loop {
            let mut chunk = vec![0; CHUNK_BYTES];
            let length = from.read(&mut chunk).await?;
            chunk.truncate(length);
            if length == 0 || sender.send((Instant::now() + one_way, chunk)).is_err() {
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
