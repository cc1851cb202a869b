//! An entry instance of a cell.

use std::{net::SocketAddr, path::PathBuf};

use jackdawchute_ports::{Member, MemberRole, MemberState};
use jackdawchute_types::FailureDomainId;
use smol_str::SmolStr;

use super::{
    settings_text, wait_until, CellOptions, EntryProcess, SettingsValues, Signal,
    TemporaryDirectory,
};
use crate::{
    balancer::Target,
    proxy::{spawn_proxy, RunningProxy},
    Error, Result,
};

/// The token that operators present.
pub const OPERATOR_TOKEN: &str = "operator-token-of-the-tests";
/// The token that peers present.
const PEER_TOKEN: &str = "peer-token-of-the-tests";

/// An entry instance: its settings, the proxy in front of its peer listener and its process.
#[derive(Debug)]
pub struct CellEntry {
    /// Its name, also that of its listener at the table.
    pub name: SmolStr,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// The proxy through which its peers reach it.
    pub peer_proxy: RunningProxy,
    /// Its process.
    pub process: EntryProcess,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    starts: u32,
}

/// Where the platform is for one entry instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlatformAddresses {
    pub(super) table: SocketAddr,
    pub(super) membership: SocketAddr,
}

impl CellEntry {
    /// Writes the settings and starts the process.
    pub(super) async fn start(
        options: &CellOptions,
        directory: &TemporaryDirectory,
        name: SmolStr,
        failure_domain: FailureDomainId,
        platform: PlatformAddresses,
    ) -> Result<Self> {
        let peer_proxy = spawn_proxy(([127, 0, 0, 1], 0).into(), None).await?;
        let text = settings_text(&SettingsValues {
            instance: &name,
            failure_domain: &failure_domain,
            advertised_peer_address: peer_proxy.address,
            table: platform.table,
            membership: platform.membership,
            operator_token_file: &directory.write("operator.token", OPERATOR_TOKEN)?,
            peer_token_file: &directory.write("peer.token", PEER_TOKEN)?,
            timing: options.timing,
        });
        let settings = directory.write(&format!("{name}.yaml"), &text)?;
        let log = directory.path().join(format!("{name}-1.log"));
        let process = EntryProcess::start(&options.program, &settings, &log).await?;
        peer_proxy.set_target(process.peers).await?;
        Ok(Self {
            name,
            failure_domain,
            peer_proxy,
            process,
            program: options.program.clone(),
            settings,
            log,
            starts: 1,
        })
    }

    /// Its line in the membership list.
    pub fn member(&self) -> Member {
        Member {
            id: self.name.clone(),
            address: self.peer_proxy.address,
            failure_domain: self.failure_domain.clone(),
            state: MemberState::Live,
            role: MemberRole::Entry,
        }
    }

    /// How a balancer knows it.
    pub fn target(&self) -> Target {
        Target {
            callers: self.process.callers,
            operators: self.process.operators,
        }
    }

    /// The log of its running process.
    pub fn log(&self) -> PathBuf {
        self.log.clone()
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    /// It had ended before.
    pub async fn kill(&mut self) -> Result<()> {
        self.process.signal(Signal::Kill).await?;
        self.process.wait().await.map(|_| ())
    }

    /// Starts the process again with the same settings, as a new incarnation.
    ///
    /// # Errors
    /// It did not start.
    pub async fn restart(&mut self) -> Result<()> {
        self.starts += 1;
        self.log
            .set_file_name(format!("{}-{}.log", self.name, self.starts));
        self.process = EntryProcess::start(&self.program, &self.settings, &self.log).await?;
        self.peer_proxy.set_target(self.process.peers).await
    }

    /// Waits until it is ready for the balancer.
    ///
    /// # Errors
    /// It was not ready before the deadline.
    pub async fn wait_until_ready(&self) -> Result<()> {
        let url = format!("http://{}/readyz", self.process.operators);
        let client = reqwest::Client::builder()
            .no_proxy()
            .timeout(std::time::Duration::from_secs(1))
            .build()
            .map_err(|cause| Error::Invalid("ask readiness", url.clone(), cause.to_string()))?;
        wait_until("ready instance", || async {
            let response = client.get(&url).send().await.ok()?;
            response.status().is_success().then_some(())
        })
        .await
    }
}
