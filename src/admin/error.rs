//! Refusals of the administration API.

use poem::http::StatusCode;
use poem::web::Json;
use poem::{IntoResponse, Response};
use serde::{Deserialize, Serialize};

use crate::config::change::ChangeError;
use crate::config::model::SectionName;
use crate::config::service::PublishError;
use crate::ids::LogOffset;

/// The body of a refusal.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AdminError {
    /// One sentence for the operator.
    pub(crate) error: String,
    /// The section and entry for which a change was rejected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) section: Option<SectionName>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) entry: Option<String>,
    /// The revision of the entry that changed after the stated base.
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

    pub(crate) fn with_status(self, status: StatusCode) -> AdminRefusal {
        AdminRefusal {
            status,
            error: self,
        }
    }
}

/// A refusal with its status.
#[derive(Debug)]
pub(crate) struct AdminRefusal {
    status: StatusCode,
    error: AdminError,
}

impl IntoResponse for AdminRefusal {
    fn into_response(self) -> Response {
        Json(self.error).with_status(self.status).into_response()
    }
}

impl From<AdminRefusal> for poem::Error {
    fn from(refusal: AdminRefusal) -> Self {
        Self::from_response(refusal.into_response())
    }
}

/// The refusal of a change.
pub(crate) fn change_refusal(error: &PublishError) -> AdminRefusal {
    let refused = AdminError::new(error);
    match error {
        PublishError::Rejected(rejected) => rejection(refused, rejected),
        PublishError::Log(_) => refused.with_status(StatusCode::SERVICE_UNAVAILABLE),
        PublishError::Unknown => refused.with_status(StatusCode::GATEWAY_TIMEOUT),
    }
}

fn rejection(mut refused: AdminError, rejected: &ChangeError) -> AdminRefusal {
    let mut status = StatusCode::UNPROCESSABLE_ENTITY;
    match rejected {
        ChangeError::Invalid { section, name, .. } => {
            refused.section = Some(*section);
            refused.entry = Some(name.clone());
        }
        ChangeError::Conflict {
            section,
            name,
            revision,
        } => {
            status = StatusCode::CONFLICT;
            refused.section = Some(*section);
            refused.entry = Some(name.clone());
            refused.revision = Some(*revision);
        }
        ChangeError::FutureBase { section, .. } => refused.section = Some(*section),
        ChangeError::Malformed => {}
    }
    refused.with_status(status)
}
