//! The errors that are returned to callers, in the format of the OpenAI API.

use std::time::Duration;

use derive_more::Display;
use poem::Response;
use poem::http::StatusCode;
use serde::Serialize;

use crate::ids::RequestId;

/// Whether a target ran the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum RunState {
    /// No target ran it, so it is safe to send the request again.
    #[display("no")]
    No,
    #[display("unknown")]
    Unknown,
    #[display("yes")]
    Yes,
}

/// The code of an error, part of the public interface. Each has one HTTP status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ErrorCode {
    #[display("bad_request")]
    BadRequest,
    #[display("unauthorized")]
    Unauthorized,
    #[display("forbidden")]
    Forbidden,
    #[display("not_found")]
    NotFound,
    #[display("body_too_large")]
    BodyTooLarge,
    #[display("body_timeout")]
    BodyTimeout,
    #[display("head_timeout")]
    HeadTimeout,
    #[display("over_burst")]
    OverBurst,
    #[display("over_rate")]
    OverRate,
    #[display("unavailable")]
    Unavailable,
    #[display("target_failed")]
    TargetFailed,
    #[display("deadline_passed")]
    DeadlinePassed,
    #[display("key_revoked")]
    KeyRevoked,
    #[display("claim_in_progress")]
    ClaimInProgress,
    #[display("answer_not_stored")]
    AnswerNotStored,
    #[display("idempotency_key_reused")]
    IdempotencyKeyReused,
    #[display("request_quarantined")]
    RequestQuarantined,
}

impl ErrorCode {
    fn status(self) -> StatusCode {
        match self {
            Self::BadRequest | Self::BodyTimeout | Self::HeadTimeout => StatusCode::BAD_REQUEST,
            Self::Unauthorized | Self::KeyRevoked => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::ClaimInProgress | Self::AnswerNotStored => StatusCode::CONFLICT,
            Self::OverBurst | Self::IdempotencyKeyReused | Self::RequestQuarantined => {
                StatusCode::UNPROCESSABLE_ENTITY
            }
            Self::OverRate => StatusCode::TOO_MANY_REQUESTS,
            Self::Unavailable | Self::TargetFailed => StatusCode::SERVICE_UNAVAILABLE,
            Self::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The `type` of the error in the OpenAI API.
    fn openai_type(self) -> &'static str {
        match self.status().as_u16() {
            401 => "authentication_error",
            403 => "permission_error",
            429 => "rate_limit_error",
            503 | 504 => "server_error",
            _ => "invalid_request_error",
        }
    }
}

/// An error that is returned to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{code}: {message}")]
pub(crate) struct CallerError {
    pub(crate) code: ErrorCode,
    pub(crate) message: String,
    pub(crate) run_state: RunState,
    pub(crate) retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    message: &'a str,
    r#type: &'static str,
    code: ErrorCode,
    run: RunState,
    request_id: &'a RequestId,
}

impl CallerError {
    /// An error of a request that no target ran.
    pub(crate) fn not_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            run_state: RunState::No,
            retry_after: None,
        }
    }

    pub(crate) fn with_run_state(mut self, run_state: RunState) -> Self {
        self.run_state = run_state;
        self
    }

    pub(crate) fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    pub(crate) fn to_json(&self, request_id: &RequestId) -> String {
        let error = ErrorFields {
            message: &self.message,
            r#type: self.code.openai_type(),
            code: self.code,
            run: self.run_state,
            request_id,
        };
        serde_json::to_string(&ErrorBody { error }).expect("the error has only string keys")
    }

    pub(crate) fn into_response(self, request_id: &RequestId) -> Response {
        let mut builder = Response::builder().status(self.code.status());
        if let Some(retry_after) = self.retry_after {
            let seconds = retry_after.as_millis().div_ceil(1000).max(1);
            builder = builder.header("retry-after", seconds.to_string());
        }
        builder
            .content_type("application/json")
            .body(self.to_json(request_id))
    }
}
