//! A client of the admin API, with the command-line arguments for its address and credential.

use std::time::Duration;

use clap::{Arg, ArgMatches};
use reqwest::{RequestBuilder, Response, StatusCode};

use super::CommandError;
use crate::admin::error::AdminError;
use crate::config::change::{ConfigEdit, SectionRevisions};
use crate::config::document::ConfigView;
use crate::config::model::SectionName;
use crate::ids::LogOffset;

/// The time limit of one call. It is longer than the 12 s that a node waits for the outcome of a
/// change.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// The arguments that [`AdminClient::from_args`] reads.
pub(super) fn args() -> [Arg; 2] {
    [url_arg(), token_arg()]
}

pub(super) fn url_arg() -> Arg {
    Arg::new("admin-url")
        .long("admin-url")
        .env("BLUEBELLMUX_ADMIN_URL")
        .default_value("http://127.0.0.1:8082")
        .help("URL of the admin API of an entry VM")
}

pub(super) fn token_arg() -> Arg {
    Arg::new("admin-token")
        .long("admin-token")
        .env("BLUEBELLMUX_ADMIN_TOKEN")
        .hide_env_values(true)
        .required(true)
        .help("Bearer token for the admin API")
}

/// A client for the admin API of one entry VM.
#[derive(Clone, derive_more::Debug)]
pub(super) struct AdminClient {
    client: reqwest::Client,
    url: String,
    #[debug("<hidden>")]
    token: String,
}

impl AdminClient {
    pub(super) fn new(url: &str, token: &str) -> Self {
        Self {
            client: crate::platform_client::http_client(),
            url: url.trim_end_matches('/').to_owned(),
            token: token.to_owned(),
        }
    }

    pub(super) fn from_args(args: &ArgMatches) -> Self {
        let text = |name| args.get_one::<String>(name).map_or("", String::as_str);
        Self::new(text("admin-url"), text("admin-token"))
    }

    async fn send(&self, call: RequestBuilder) -> Result<Response, CommandError> {
        let call = call.bearer_auth(&self.token).timeout(CALL_TIMEOUT);
        call.send().await.map_err(|error| {
            let reason = if error.is_timeout() {
                "did not answer in time"
            } else if error.is_builder() {
                "is not a valid URL"
            } else {
                "could not be reached"
            };
            CommandError::failed(format!("{} {reason}", self.url))
        })
    }

    /// Fetches the given sections of the current configuration.
    pub(super) async fn view(&self, sections: &[SectionName]) -> Result<ConfigView, CommandError> {
        let names: Vec<String> = sections.iter().map(ToString::to_string).collect();
        let url = format!("{}/admin/config?sections={}", self.url, names.join(","));
        let reply = self.send(self.client.get(url)).await?;
        if !reply.status().is_success() {
            return Err(self.response_error(reply).await);
        }
        let view = reply.json().await;
        view.map_err(|_| CommandError::failed(format!("{} sent no valid configuration", self.url)))
    }

    /// Fetches the state of the process as JSON.
    pub(super) async fn dump(&self) -> Result<serde_json::Value, CommandError> {
        let url = format!("{}/admin/dump", self.url);
        let reply = self.send(self.client.get(url)).await?;
        if !reply.status().is_success() {
            return Err(self.response_error(reply).await);
        }
        let dump = reply.json().await;
        dump.map_err(|_| CommandError::failed(format!("{} sent no valid state dump", self.url)))
    }

    /// Publishes a change. Returns its revision, or the status and error if the node rejected it
    /// because of one of its sections.
    pub(super) async fn publish(
        &self,
        base: &SectionRevisions,
        edits: &[ConfigEdit],
    ) -> Result<Result<LogOffset, (StatusCode, AdminError)>, CommandError> {
        let url = format!("{}/admin/config/changes", self.url);
        let body = serde_json::json!({"base": base, "edits": edits});
        let reply = self.send(self.client.post(url).json(&body)).await?;
        let status = reply.status();
        if status.is_success() {
            let revision = reply.headers().get(crate::admin::REVISION_HEADER);
            let revision = revision.and_then(|value| value.to_str().ok()?.parse().ok());
            return Ok(Ok(revision.unwrap_or_default()));
        }
        match reply.json::<AdminError>().await {
            Ok(error) if error.section.is_some() => Ok(Err((status, error))),
            Ok(error) => Err(CommandError::failed(error.error)),
            Err(_) => Err(self.status_error(status)),
        }
    }

    async fn response_error(&self, reply: Response) -> CommandError {
        let status = reply.status();
        match reply.json::<AdminError>().await {
            Ok(error) => CommandError::failed(format!("{}: {}", self.url, error.error)),
            Err(_) => self.status_error(status),
        }
    }

    fn status_error(&self, status: StatusCode) -> CommandError {
        CommandError::failed(format!(
            "{} answered with status {}",
            self.url,
            status.as_u16()
        ))
    }
}
