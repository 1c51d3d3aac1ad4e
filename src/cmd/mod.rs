//! The commands of the binary, one module each.

pub mod config;
pub mod dump;
pub mod entry;
pub mod key_digest;
pub mod serve;

mod client;
mod config_check;
mod config_diff;
mod config_publish;
mod config_show;
mod document_file;

use std::process::ExitCode;

const EXIT_FAILED: u8 = 1;
/// The exit code of a change that conflicts with another operator's. 2 is clap's code for invalid
/// usage.
const EXIT_CONFLICT: u8 = 3;
const EXIT_DIFFERENT: u8 = 4;

/// The error of a command: a message for the user and the exit code.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{message}")]
pub struct CommandError {
    message: String,
    code: u8,
}

impl CommandError {
    pub(crate) fn failed(message: impl ToString) -> Self {
        Self::with_code(EXIT_FAILED, message)
    }

    pub(crate) fn conflict(message: impl ToString) -> Self {
        Self::with_code(EXIT_CONFLICT, message)
    }

    pub(crate) fn different(message: impl ToString) -> Self {
        Self::with_code(EXIT_DIFFERENT, message)
    }

    fn with_code(code: u8, message: impl ToString) -> Self {
        let message = message.to_string();
        Self { message, code }
    }

    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(self.code)
    }
}

/// Runs a command on a multi-threaded runtime with one worker thread for each core.
pub fn block_on(
    command: impl Future<Output = Result<(), CommandError>>,
) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Runtime::new();
    let runtime =
        runtime.map_err(|error| CommandError::failed(format!("cannot start tokio: {error}")))?;
    runtime.block_on(command)
}

impl From<String> for CommandError {
    fn from(message: String) -> Self {
        Self::failed(message)
    }
}
