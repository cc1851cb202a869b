//! The task of one connection, which owns both sockets and passes bytes between them.

use std::{
    io,
    net::{IpAddr, SocketAddr},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        tcp::{OwnedReadHalf, OwnedWriteHalf},
        TcpStream,
    },
    sync::watch,
};
use xtra::prelude::*;

use super::{
    faults::FaultTable,
    messages::{Closed, Forwarded},
    Direction, DirectionFaults, ProxyFaults, ProxyTask,
};

/// The most bytes that are passed on at a time in one direction of a connection.
const CHUNK_BYTES: usize = 64 << 10;

/// What a connection's task needs from its proxy: the faults of its source, the cuts and the address
/// for counts.
#[derive(Clone, Debug)]
pub(super) struct ProxyLink {
    pub(super) source: IpAddr,
    pub(super) faults: watch::Receiver<FaultTable>,
    pub(super) cuts: watch::Receiver<u64>,
    pub(super) proxy: Address<ProxyTask>,
}

impl ProxyLink {
    fn faults(&self) -> ProxyFaults {
        self.faults.borrow().of_source(self.source)
    }

    /// Waits until `holds` holds for the faults of this connection.
    async fn wait_until(&mut self, holds: impl Fn(&ProxyFaults) -> bool) {
        let source = self.source;
        let _ = self
            .faults
            .wait_for(|faults| holds(&faults.of_source(source)))
            .await;
    }
}

/// Serves a connection until it ends or is cut, then reports its end to the proxy.
pub(super) async fn serve(client: TcpStream, target: Option<SocketAddr>, mut link: ProxyLink) {
    let proxy = link.proxy.clone();
    let cuts = &mut link.cuts.clone();
    let refusal = &mut link.clone();
    tokio::select! {
        _ = connect_and_pump(client, target, &mut link) => {}
        _ = cuts.changed() => {}
        () = refusal.wait_until(|faults| faults.refuse) => {}
    }
    let _ = proxy.send(Closed).await;
}

async fn connect_and_pump(
    client: TcpStream,
    target: Option<SocketAddr>,
    link: &mut ProxyLink,
) -> io::Result<()> {
    link.wait_until(|faults| !faults.to_server.hold).await;
    let target = target.ok_or(io::ErrorKind::NotConnected)?;
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let requests = pump(Direction::ToServer, from_client, to_server, link.clone());
    let responses = pump(Direction::ToClient, from_server, to_client, link.clone());
    tokio::try_join!(requests, responses).map(|_| ())
}

async fn pump(
    direction: Direction,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: ProxyLink,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let bytes = from.read(&mut chunk).await?;
        let delay = faults_of(direction, &link.faults()).delay;
        tokio::time::sleep(delay).await;
        link.wait_until(|faults| !faults_of(direction, faults).hold)
            .await;
        if bytes == 0 {
            return to.shutdown().await;
        }
        let forwarded = Forwarded {
            direction,
            bytes: bytes as u64,
        };
        let _ = link.proxy.send(forwarded).await;
        to.write_all(&chunk[..bytes]).await?;
    }
}

fn faults_of(direction: Direction, faults: &ProxyFaults) -> DirectionFaults {
    match direction {
        Direction::ToServer => faults.to_server,
        Direction::ToClient => faults.to_client,
    }
}
