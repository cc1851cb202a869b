//! Operators' calls about the configuration.

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

/// The first part of every path of these calls.
pub(super) const PATH: &str = "/v1/configuration";
/// The most history entries of one answer.
const HISTORY_ENTRIES_MAX: u64 = 1_000;

/// A change that an operator asks for.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The new content; its version names the accepted one that it was made from.
    pub candidate: Configuration,
    /// Who asks.
    pub author: SmolStr,
    /// Why.
    pub reason: String,
    /// Names this change, unique for each.
    pub write_id: SmolStr,
}

/// Why a call about the configuration failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "error")]
pub enum ConfigurationProblem {
    /// The candidate is refused, for all these reasons; nothing changed.
    Refused {
        /// What is wrong.
        problems: Problems,
    },
    /// Another version was accepted first; nothing changed.
    Superseded {
        /// The accepted version.
        version: ConfigurationVersion,
        /// Who wrote it.
        author: SmolStr,
    },
    /// The change may have taken effect; ask again with the same write id.
    OutcomeUnknown {
        /// The change.
        write_id: SmolStr,
        /// What happened.
        detail: String,
    },
    /// The table did not answer, or its rows cannot be read; nothing changed.
    Unavailable {
        /// What happened.
        detail: String,
    },
    /// There is no such version, or no such call.
    NotFound {
        /// What was asked for.
        detail: String,
    },
    /// The call is malformed.
    Invalid {
        /// What is wrong.
        detail: String,
    },
}

type Result<T> = std::result::Result<T, ConfigurationProblem>;

/// What answers the calls; clones share it.
#[derive(Clone)]
pub(crate) struct ConfigurationApi {
    pub(crate) table: Arc<dyn Table>,
    pub(crate) task: Address<ConfigurationTask>,
}

impl ConfigurationApi {
    /// Answers a call to a path under [`PATH`].
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

    /// Goes on if the operator's connection breaks: an accepted version is put in use here.
    async fn apply(&self, body: &[u8]) -> Result<Configuration> {
        let request: ApplyRequest =
            serde_json::from_slice(body).map_err(|error| ConfigurationProblem::Invalid {
                detail: error.to_string(),
            })?;
        let front = self.clone();
        let applied = tokio::spawn(async move { front.apply_and_offer(request).await });
        applied.await.unwrap_or_else(|_| Err(shutting_down()))
    }

    async fn apply_and_offer(&self, request: ApplyRequest) -> Result<Configuration> {
        let known_version = self.in_use().await.map_or(0, |current| current.version);
        let options = apply::Options {
            candidate: request.candidate,
            author: request.author,
            reason: request.reason,
            write_id: request.write_id,
            written: SystemTime::now(),
        };
        let outcome = apply::apply_above(&*self.table, options, known_version).await?;
        let (reply, offered) = oneshot::channel();
        let accepted = configuration::Accepted {
            configuration: outcome.configuration.clone(),
            table_version: outcome.table_version,
            reply,
        };
        if self.task.send(accepted).await.is_ok() {
            // Without the reply the instance is ending; the version is accepted all the same.
            let _ = offered.await;
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
