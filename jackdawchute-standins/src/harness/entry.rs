//! The entry instances of a cell.

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

/// The token with which tests call the operators' listener.
pub const OPERATOR_TOKEN: &str = "operator-token-of-the-tests";
/// The token with which the instances call each other.
const PEER_TOKEN: &str = "peer-token-of-the-tests";

/// An entry instance with its settings, its process and the proxy in front of its peer listener.
#[derive(Debug)]
pub struct CellEntry {
    /// The configured name, which is also the name of its listener at the table.
    pub name: SmolStr,
    /// The failure domain in its settings and in the membership list.
    pub failure_domain: FailureDomainId,
    /// The proxy through which peers reach the instance.
    pub peer_proxy: RunningProxy,
    /// The process of the current incarnation.
    pub process: EntryProcess,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    starts: u32,
}

/// The addresses of the platform's services for one entry instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlatformAddresses {
    pub(super) table: SocketAddr,
    pub(super) membership: SocketAddr,
}

impl CellEntry {
    /// Writes the settings, starts the process and points the proxy at its peer listener.
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

    /// Returns the instance's entry in the membership list.
    pub fn member(&self) -> Member {
        Member {
            id: self.name.clone(),
            address: self.peer_proxy.address,
            failure_domain: self.failure_domain.clone(),
            state: MemberState::Live,
            role: MemberRole::Entry,
        }
    }

    /// Returns the instance's addresses for the balancer.
    pub fn target(&self) -> Target {
        Target {
            callers: self.process.callers,
            operators: self.process.operators,
        }
    }

    /// Returns the path of the current incarnation's log.
    pub fn log(&self) -> PathBuf {
        self.log.clone()
    }

    /// Kills the process and waits until it has ended.
    ///
    /// # Errors
    /// The process had ended before.
    pub async fn kill(&mut self) -> Result<()> {
        self.process.signal(Signal::Kill).await?;
        self.process.wait().await.map(|_| ())
    }

    /// Starts a new incarnation with the same settings.
    ///
    /// # Errors
    /// The process did not start.
    pub async fn restart(&mut self) -> Result<()> {
        self.starts += 1;
        self.log
            .set_file_name(format!("{}-{}.log", self.name, self.starts));
        self.process = EntryProcess::start(&self.program, &self.settings, &self.log).await?;
        self.peer_proxy.set_target(self.process.peers).await
    }

    /// Waits until the instance reports that it is ready.
    ///
    /// # Errors
    /// The instance was not ready before the deadline.
    pub async fn wait_until_ready(&self) -> Result<()> {
        let url = format!("http://{}/readyz", self.process.operators);
        let client = reqwest::Client::builder()
            .no_proxy()
            .timeout(std::time::Duration::from_secs(1))
            .build()
            .map_err(|cause| {
                Error::Invalid("build readiness client", url.clone(), cause.to_string())
            })?;
        wait_until("ready instance", || async {
            let response = client.get(&url).send().await.ok()?;
            response.status().is_success().then_some(())
        })
        .await
    }
}
