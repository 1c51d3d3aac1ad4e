//! Error responses of the admin API.

use poem::http::StatusCode;
use poem::web::Json;
use poem::{IntoResponse, Response};
use serde::{Deserialize, Serialize};

use crate::config::change::ChangeError;
use crate::config::model::SectionName;
use crate::config::service::PublishError;
use crate::ids::LogOffset;

/// The body of an error response.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AdminError {
    /// One sentence for the operator.
    pub(crate) error: String,
    /// The section and entry that caused the rejection of a change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) section: Option<SectionName>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) entry: Option<String>,
    /// On a conflict, the revision in which the entry was changed after the base of the edits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) revision: Option<LogOffset>,
}

impl AdminError {
    pub(crate) fn new(error: impl ToString) -> Self {
        Self {
            error: error.to_string(),
            ..Self::default()
        }
    }

    pub(crate) fn with_status(self, status: StatusCode) -> ErrorResponse {
        ErrorResponse { status, body: self }
    }
}

/// An error response: the body and its HTTP status.
#[derive(Debug)]
pub(crate) struct ErrorResponse {
    status: StatusCode,
    body: AdminError,
}

impl IntoResponse for ErrorResponse {
    fn into_response(self) -> Response {
        Json(self.body).with_status(self.status).into_response()
    }
}

impl From<ErrorResponse> for poem::Error {
    fn from(response: ErrorResponse) -> Self {
        Self::from_response(response.into_response())
    }
}

pub(crate) fn publish_error_response(error: &PublishError) -> ErrorResponse {
    let body = AdminError::new(error);
    match error {
        PublishError::Rejected(rejected) => rejection_response(body, rejected),
        PublishError::Log(_) => body.with_status(StatusCode::SERVICE_UNAVAILABLE),
        PublishError::Unknown => body.with_status(StatusCode::GATEWAY_TIMEOUT),
    }
}

fn rejection_response(mut body: AdminError, rejected: &ChangeError) -> ErrorResponse {
    let mut status = StatusCode::UNPROCESSABLE_ENTITY;
    match rejected {
        ChangeError::Invalid { section, name, .. } => {
            body.section = Some(*section);
            body.entry = Some(name.clone());
        }
        ChangeError::Conflict {
            section,
            name,
            revision,
        } => {
            status = StatusCode::CONFLICT;
            body.section = Some(*section);
            body.entry = Some(name.clone());
            body.revision = Some(*revision);
        }
        ChangeError::FutureBase { section, .. } => body.section = Some(*section),
        ChangeError::Malformed => {}
    }
    body.with_status(status)
}
