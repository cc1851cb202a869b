//! A test cell.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    time::SystemTime,
};

use jackdawchute_configuration::{apply, Configuration};
use jackdawchute_ports::{HttpTable, Member, MemberState};
use smol_str::{format_smolstr, SmolStr};
use xtra::prelude::*;

use super::{
    entry::PlatformAddresses,
    members::{failure_domain_at, start_minions, start_workers},
    wait_until, CellEntry, CellMinion, CellOptions, CellWorker, TemporaryDirectory,
};
use crate::{
    balancer::{self, BalancerTask, ReadReady, SetTargets},
    membership::{spawn_membership, RunningMembership},
    table::{spawn_table, RunningTable},
    Error, Result,
};

/// The name of the table's listener that tests use.
const OPERATOR: &str = "operator";
/// How many instances may be added to a cell after its start.
const SPARE_ENTRIES: usize = 4;

/// A test cell; dropping it ends its processes and listeners.
#[derive(Debug)]
pub struct Cell {
    /// The entry instances, in the order in which they were added.
    pub entries: Vec<CellEntry>,
    /// The minions, grouped by service.
    pub minions: Vec<CellMinion>,
    /// The workers, grouped by rack.
    pub workers: Vec<CellWorker>,
    /// The table, with a listener for each entry instance under the instance's name.
    pub table: RunningTable,
    /// The membership list.
    pub membership: RunningMembership,
    /// The balancer in front of the entry instances.
    pub balancer: Address<BalancerTask>,
    options: CellOptions,
    directory: TemporaryDirectory,
}

impl Cell {
    /// Starts a cell and waits until each entry instance is ready.
    ///
    /// # Errors
    /// A component did not start, or was not ready before the deadline.
    pub async fn start(options: CellOptions) -> Result<Self> {
        let clients: Vec<SmolStr> = (0..options.entries + SPARE_ENTRIES)
            .map(entry_name)
            .chain([OPERATOR.into()])
            .collect();
        let listen = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
        let mut cell = Self {
            entries: Vec::new(),
            minions: start_minions(&options).await?,
            workers: start_workers(&options).await?,
            table: spawn_table(&clients).await?,
            membership: spawn_membership(listen, options.membership_lag).await?,
            balancer: balancer::spawn(Vec::new()),
            directory: TemporaryDirectory::new()?,
            options,
        };
        cell.apply_configuration().await?;
        for _ in 0..cell.options.entries {
            cell.add_entry().await?;
        }
        cell.publish_members().await?;
        cell.wait_until_ready().await?;
        Ok(cell)
    }

    /// Returns a client of the table, which no fault set for an entry instance affects.
    ///
    /// # Errors
    /// The table has no listener for operators, which cannot happen after [`Cell::start`].
    pub fn operator_table(&self) -> Result<HttpTable> {
        self.table_address(OPERATOR).map(HttpTable::new)
    }

    /// Returns the directory with the instances' logs.
    pub fn logs(&self) -> &Path {
        self.directory.path()
    }

    /// Starts a further entry instance without adding it to the membership list.
    ///
    /// # Errors
    /// The instance did not start.
    pub async fn add_entry(&mut self) -> Result<&mut CellEntry> {
        let index = self.entries.len();
        let name = entry_name(index);
        let platform = PlatformAddresses {
            table: self.table_address(&name)?,
            membership: self.membership.address,
        };
        let failure_domain = failure_domain_at(&self.options.failure_domains, index);
        let entry = CellEntry::start(
            &self.options,
            &self.directory,
            name,
            failure_domain,
            platform,
        )
        .await?;
        self.entries.push(entry);
        Ok(&mut self.entries[index])
    }

    /// Restarts an instance that has ended, as a new incarnation, and updates the balancer's targets.
    ///
    /// # Errors
    /// The instance did not start.
    pub async fn restart_entry(&mut self, index: usize) -> Result<()> {
        self.entries[index].restart().await?;
        self.publish_members().await
    }

    /// Adds the minions to the membership list that were left out at the start.
    ///
    /// # Errors
    /// A stand-in's task has ended.
    pub async fn list_every_minion(&mut self) -> Result<()> {
        for minion in &mut self.minions {
            minion.is_listed = true;
        }
        self.publish_members().await
    }

    /// Publishes the membership list with the listed minions, all workers and all entry instances,
    /// and sets the balancer's targets.
    ///
    /// # Errors
    /// A stand-in's task has ended.
    pub async fn publish_members(&self) -> Result<()> {
        let minions = self.minions.iter().filter(|minion| minion.is_listed);
        let minions = minions.map(|minion| minion.member.clone());
        let workers = self.workers.iter().map(|worker| worker.member.clone());
        let entries = self.entries.iter().map(CellEntry::member);
        let members: Vec<Member> = minions.chain(workers).chain(entries).collect();
        self.membership.set(members).await?;
        let targets = self.entries.iter().map(CellEntry::target).collect();
        self.balancer
            .send(SetTargets(targets))
            .await
            .map_err(|_| Error::Ended("set targets", "balancer".into()))
    }

    /// Sets a minion's state in the membership list to leaving.
    ///
    /// # Errors
    /// A stand-in's task has ended.
    pub async fn set_minion_leaving(&mut self, index: usize) -> Result<()> {
        self.minions[index].member.state = MemberState::Leaving;
        self.publish_members().await
    }

    /// Waits until every entry instance is ready and the balancer has seen that it is.
    ///
    /// # Errors
    /// An instance was not ready before the deadline.
    pub async fn wait_until_ready(&self) -> Result<()> {
        for entry in &self.entries {
            entry.wait_until_ready().await?;
            let target = entry.target();
            wait_until("instance ready at the balancer", || async {
                let ready = self.balancer.send(ReadReady).await.ok()?;
                ready.contains(&target).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    fn table_address(&self, client: &str) -> Result<SocketAddr> {
        let unknown = || {
            Error::Invalid(
                "find listener",
                client.into(),
                "the table has no client of this name".into(),
            )
        };
        self.table.address(client).ok_or_else(unknown)
    }

    async fn apply_configuration(&self) -> Result<()> {
        let rejected = |cause: jackdawchute_configuration::Error| {
            Error::Invalid("apply configuration", "table".into(), cause.to_string())
        };
        let candidate = Configuration::parse(&self.options.configuration).map_err(rejected)?;
        let options = apply::Options {
            author: candidate.author.clone(),
            reason: candidate.reason.clone(),
            candidate,
            write_id: "first-configuration".into(),
            written: SystemTime::now(),
        };
        let table = self.operator_table()?;
        apply::apply(&table, options).await.map_err(rejected)?;
        Ok(())
    }
}

fn entry_name(index: usize) -> SmolStr {
    format_smolstr!("entry-{index}")
}
