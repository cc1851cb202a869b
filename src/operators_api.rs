//! A client of the operators' HTTP API of an instance.

use std::{net::SocketAddr, time::Duration};

use getopts::{Matches, Options};
use jackdawchute_configuration::{history, Configuration};
use jackdawchute_entry::{ApplyRequest, ConfigurationProblem};
use jackdawchute_types::ConfigurationVersion;
use reqwest::{Client, RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;

use crate::{explain::Explanation, Error, Result};

/// The default address of the operators' listener; the help text of `--address` repeats it.
pub(crate) const DEFAULT_ADDRESS: &str = "127.0.0.1:7081";
/// The timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A client of the operators' API of one instance.
pub(crate) struct OperatorsApi {
    client: Client,
    address: SocketAddr,
    token: Option<String>,
}

/// Adds the options for the instance's address and the operators' token.
pub(crate) fn add_options(options: &mut Options) {
    let help = "the operators' listener of an instance (127.0.0.1:7081)";
    options.optmulti("a", "address", help, "IP:PORT");
    let help = "the file with the operators' token";
    options.optopt("t", "token-file", help, "FILE");
}

impl OperatorsApi {
    /// Returns a client of the one instance that the command line names, or of the local one.
    ///
    /// # Errors
    /// `--address` is invalid or given more than once, or the token file cannot be read.
    pub(crate) fn from_matches(matches: &Matches) -> Result<Self> {
        let mut instances = Self::all_from_matches(matches)?;
        match (instances.pop(), instances.is_empty()) {
            (Some(instance), true) => Ok(instance),
            _ => Err(Error::Usage("give `--address` once".to_owned())),
        }
    }

    /// Returns a client of each instance that the command line names, or of the local one.
    ///
    /// # Errors
    /// An `--address` is invalid or the token file cannot be read.
    pub(crate) fn all_from_matches(matches: &Matches) -> Result<Vec<Self>> {
        let mut addresses = matches.opt_strs("address");
        if addresses.is_empty() {
            addresses.push(DEFAULT_ADDRESS.to_owned());
        }
        let token = matches.opt_str("token-file").map(read_token).transpose()?;
        let parse = |text: &String| {
            let address = text.parse();
            address.map_err(|_| Error::Usage(format!("`--address {text}` is no IP:PORT")))
        };
        addresses
            .iter()
            .map(|text| Ok(Self::new(parse(text)?, token.clone())))
            .collect()
    }

    fn new(address: SocketAddr, token: Option<String>) -> Self {
        let client = Client::builder().timeout(CALL_TIMEOUT).no_proxy().build();
        Self {
            client: client.unwrap_or_default(),
            address,
            token,
        }
    }

    /// Returns the address of the instance's operators' listener.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the newest accepted configuration.
    pub(crate) async fn accepted(&self) -> Result<Configuration> {
        self.get("read configuration", "/v1/configuration").await
    }

    /// Returns the configuration that the instance uses.
    pub(crate) async fn in_use(&self) -> Result<Configuration> {
        self.get("read configuration", "/v1/configuration/in-use")
            .await
    }

    /// Returns one accepted version of the configuration.
    pub(crate) async fn version(&self, version: ConfigurationVersion) -> Result<Configuration> {
        let path = format!("/v1/configuration/versions/{version}");
        self.get("read configuration", &path).await
    }

    /// Returns at most `entries` of the newest versions with author, time and reason.
    pub(crate) async fn history(&self, entries: u64) -> Result<history::Outcome> {
        let path = format!("/v1/configuration/history/{entries}");
        self.get("read history", &path).await
    }

    /// Requests a change and returns the accepted configuration.
    pub(crate) async fn apply(&self, request: &ApplyRequest) -> Result<Configuration> {
        let url = self.url("/v1/configuration");
        let call = self.client.post(url).json(request);
        self.call("apply configuration", call).await
    }

    /// Returns the status of the instance.
    pub(crate) async fn status<T: DeserializeOwned>(&self) -> Result<T> {
        self.get("ask for status", "/v1/status").await
    }

    /// Returns what the owners know of a job id or an idempotency key.
    pub(crate) async fn explain(&self, id: &str) -> Result<Explanation> {
        self.get("explain", &format!("/v1/explain/{id}")).await
    }

    async fn get<T: DeserializeOwned>(&self, step: &'static str, path: &str) -> Result<T> {
        self.call(step, self.client.get(self.url(path))).await
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Sends a call with the operators' token; `step` names it in errors.
    async fn call<T: DeserializeOwned>(
        &self,
        step: &'static str,
        call: RequestBuilder,
    ) -> Result<T> {
        let failed =
            |error: reqwest::Error| Error::Call(step, self.address.to_string(), error.to_string());
        let call = match &self.token {
            Some(token) => call.bearer_auth(token),
            None => call,
        };
        let response = call.send().await.map_err(failed)?;
        let status = response.status();
        if status.is_success() {
            return response.json().await.map_err(failed);
        }
        if status == StatusCode::UNAUTHORIZED {
            let problem = format!("{} needs the operators' token", self.address);
            return Err(Error::Refused(step, problem));
        }
        let problem = response.json::<ConfigurationProblem>().await;
        let problem = problem.map_or_else(|_| status.to_string(), |problem| describe(&problem));
        Err(Error::Refused(step, problem))
    }
}

fn read_token(path: String) -> Result<String> {
    let token = std::fs::read_to_string(&path).map_err(|cause| Error::Read(path, cause))?;
    Ok(token.trim().to_owned())
}

/// Returns the text that is shown for a failed call, with what the operator can do.
fn describe(problem: &ConfigurationProblem) -> String {
    match problem {
        ConfigurationProblem::Refused { problems } => format!("refused\n{problems}"),
        ConfigurationProblem::Superseded { version, author } => format!(
            "version {version} by {author} was accepted first; nothing changed. \
             Show it, make the change again and apply"
        ),
        ConfigurationProblem::OutcomeUnknown { write_id, detail } => {
            format!("{detail}; run the command again with `--write-id {write_id}` to find out")
        }
        ConfigurationProblem::Unavailable { detail }
        | ConfigurationProblem::NotFound { detail }
        | ConfigurationProblem::Invalid { detail } => detail.clone(),
    }
}
