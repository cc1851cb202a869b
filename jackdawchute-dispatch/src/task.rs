//! The task that passes each request to the task of its minion.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use xtra::prelude::*;

use crate::{link::LinkTask, SendRequest, SetIdleConnections};

/// Options of the connections to minions.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How many idle connections are kept to each minion.
    pub idle_connections: usize,
    /// The timeout of a connection attempt.
    pub connect_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            idle_connections: 4,
            connect_timeout: Duration::from_secs(1),
        }
    }
}

/// Passes each request to the task that owns the connections to its minion.
#[derive(Debug, xtra::Actor)]
pub struct DispatchTask {
    options: Options,
    links: HashMap<SocketAddr, Address<LinkTask>>,
}

/// Starts the dispatch task on the current tokio runtime.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let dispatch = jackdawchute_dispatch::spawn(Default::default());
/// assert!(dispatch.is_connected());
/// # }
/// ```
pub fn spawn(options: Options) -> Address<DispatchTask> {
    xtra::spawn_tokio(
        DispatchTask {
            options,
            links: HashMap::new(),
        },
        Mailbox::unbounded(),
    )
}

impl Handler<SendRequest> for DispatchTask {
    type Return = ();

    async fn handle(&mut self, request: SendRequest, _context: &mut Context<Self>) {
        let options = self.options;
        let link = self
            .links
            .entry(request.address)
            .or_insert_with(|| xtra::spawn_tokio(LinkTask::new(options), Mailbox::unbounded()));
        let _ = link.send(request).detach().await;
    }
}

impl Handler<SetIdleConnections> for DispatchTask {
    type Return = ();

    async fn handle(&mut self, change: SetIdleConnections, _context: &mut Context<Self>) {
        if self.options.idle_connections != change.0 {
            self.options.idle_connections = change.0;
            self.links.clear();
        }
    }
}
