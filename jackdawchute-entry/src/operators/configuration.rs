//! The operators' API for the configuration.

use std::{sync::Arc, time::SystemTime};

use http::{Method, StatusCode};
use jackdawchute_configuration::{
    self as configuration, apply, history, Configuration, ConfigurationTask, Problems,
};
use jackdawchute_ports::Table;
use jackdawchute_types::ConfigurationVersion;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::oneshot;
use warp::{reply::Response, Reply};
use xtra::prelude::*;

/// The prefix of the path of every call about the configuration.
pub(super) const PATH: &str = "/v1/configuration";
/// The maximum number of history entries in one response.
const HISTORY_ENTRIES_MAX: u64 = 1_000;

/// A request of an operator to change the configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The new configuration; its version is that of the accepted one from which it was edited.
    pub candidate: Configuration,
    /// The operator who makes the change, for the history.
    pub author: SmolStr,
    /// The reason for the change, for the history.
    pub reason: String,
    /// The unique id of this change; a repeated request with the same id takes effect once.
    pub write_id: SmolStr,
}

/// Why a call about the configuration failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "error")]
pub enum ConfigurationProblem {
    /// The candidate is invalid; nothing changed.
    Refused {
        /// All problems of the candidate.
        problems: Problems,
    },
    /// Another change was accepted since the candidate's version; nothing changed.
    Superseded {
        /// The version that was accepted instead.
        version: ConfigurationVersion,
        /// The author of that version.
        author: SmolStr,
    },
    /// The change may have taken effect; repeat the request with the same write id to find out.
    OutcomeUnknown {
        /// The write id of the change.
        write_id: SmolStr,
        /// The failure of the table that left the outcome unknown.
        detail: String,
    },
    /// The table did not answer, or its rows cannot be read; nothing changed.
    Unavailable {
        /// The failed call or the unreadable row.
        detail: String,
    },
    /// There is no such version, or no such call.
    NotFound {
        /// The version or call that was requested.
        detail: String,
    },
    /// The call is malformed.
    Invalid {
        /// The part of the request that cannot be read.
        detail: String,
    },
}

type Result<T> = std::result::Result<T, ConfigurationProblem>;

/// The configuration API for operators; clones share the table and the task.
#[derive(Clone)]
pub(crate) struct ConfigurationApi {
    pub(crate) table: Arc<dyn Table>,
    pub(crate) task: Address<ConfigurationTask>,
}

impl ConfigurationApi {
    /// Answers a request whose path begins with [`PATH`].
    pub(super) async fn answer(&self, method: &Method, path: &str, body: &[u8]) -> Response {
        let call = path.strip_prefix(PATH).unwrap_or_default();
        let call = call.trim_start_matches('/');
        let answered = match (method, call.split_once('/').unwrap_or((call, ""))) {
            (&Method::POST, ("", "")) => self.apply(body).await.map(json),
            (&Method::GET, ("", "")) => self.version(None).await.map(json),
            (&Method::GET, ("in-use", "")) => self.in_use().await.map(json),
            (&Method::GET, ("versions", text)) => match number(text) {
                Ok(version) => self.version(Some(version)).await.map(json),
                Err(problem) => Err(problem),
            },
            (&Method::GET, ("history", text)) => match number(text) {
                Ok(entries) => self.history(entries).await.map(json),
                Err(problem) => Err(problem),
            },
            _ => Err(ConfigurationProblem::NotFound {
                detail: format!("{method} {path}"),
            }),
        };
        answered.unwrap_or_else(|problem| problem.response())
    }

    /// Applies a change in a separate task, so that this instance uses an accepted version even if
    /// the operator's connection breaks.
    async fn apply(&self, body: &[u8]) -> Result<Configuration> {
        let request: ApplyRequest =
            serde_json::from_slice(body).map_err(|error| ConfigurationProblem::Invalid {
                detail: error.to_string(),
            })?;
        let api = self.clone();
        let applied = tokio::spawn(async move { api.apply_and_use(request).await });
        applied.await.unwrap_or_else(|_| Err(shutting_down()))
    }

    async fn apply_and_use(&self, request: ApplyRequest) -> Result<Configuration> {
        let known_version = self.in_use().await.map_or(0, |current| current.version);
        let options = apply::Options {
            candidate: request.candidate,
            author: request.author,
            reason: request.reason,
            write_id: request.write_id,
            written: SystemTime::now(),
        };
        let outcome = apply::apply_above(&*self.table, options, known_version).await?;
        let (reply, used) = oneshot::channel();
        let accepted = configuration::Accepted {
            configuration: outcome.configuration.clone(),
            table_version: outcome.table_version,
            reply,
        };
        if self.task.send(accepted).await.is_ok() {
            // The reply is dropped only at shutdown; the version is accepted nevertheless.
            let _ = used.await;
        }
        Ok(outcome.configuration)
    }

    async fn version(&self, version: Option<ConfigurationVersion>) -> Result<Configuration> {
        Ok(history::version(&*self.table, version).await?)
    }

    async fn in_use(&self) -> Result<Configuration> {
        let current = self.task.send(configuration::Current).await;
        let current = current.map_err(|_| shutting_down())?;
        let none = || ConfigurationProblem::NotFound {
            detail: "no version is in use here yet".to_owned(),
        };
        current.as_deref().cloned().ok_or_else(none)
    }

    async fn history(&self, entries: u64) -> Result<history::Outcome> {
        let options = history::Options {
            entries_max: entries.min(HISTORY_ENTRIES_MAX),
        };
        Ok(history::history(&*self.table, options).await?)
    }
}

impl ConfigurationProblem {
    fn status(&self) -> StatusCode {
        match self {
            Self::Refused { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Superseded { .. } => StatusCode::CONFLICT,
            Self::OutcomeUnknown { .. } => StatusCode::GATEWAY_TIMEOUT,
            Self::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::NotFound { .. } => StatusCode::NOT_FOUND,
            Self::Invalid { .. } => StatusCode::BAD_REQUEST,
        }
    }

    pub(super) fn response(&self) -> Response {
        warp::reply::with_status(warp::reply::json(self), self.status()).into_response()
    }
}

impl From<configuration::Error> for ConfigurationProblem {
    fn from(error: configuration::Error) -> Self {
        let detail = error.to_string();
        match error {
            configuration::Error::Refused(problems) => Self::Refused { problems },
            configuration::Error::Superseded(version, author) => {
                Self::Superseded { version, author }
            }
            configuration::Error::OutcomeUnknown(write_id, _) => {
                Self::OutcomeUnknown { write_id, detail }
            }
            configuration::Error::NoneAccepted | configuration::Error::NoVersion(_) => {
                Self::NotFound { detail }
            }
            configuration::Error::Table(..) | configuration::Error::Row(..) => {
                Self::Unavailable { detail }
            }
        }
    }
}

fn json<T: Serialize>(value: T) -> Response {
    warp::reply::json(&value).into_response()
}

fn number(text: &str) -> Result<u64> {
    text.parse().map_err(|_| ConfigurationProblem::Invalid {
        detail: format!("`{text}` is no whole number"),
    })
}

fn shutting_down() -> ConfigurationProblem {
    ConfigurationProblem::Unavailable {
        detail: "the instance is shutting down".to_owned(),
    }
}
