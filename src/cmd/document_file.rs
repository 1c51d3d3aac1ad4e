//! Reads the configuration document that is given to a command as a file.

use clap::{Arg, ArgMatches};

use super::CommandError;
use crate::config::document::ConfigDocument;

pub(super) fn arg() -> Arg {
    Arg::new("document")
        .value_name("FILE")
        .required(true)
        .help("The configuration document, or - for standard input")
}

/// A document and its path, which error messages name.
#[derive(Debug)]
pub(super) struct DocumentFile {
    pub(super) path: String,
    pub(super) document: ConfigDocument,
}

impl DocumentFile {
    pub(super) fn read(args: &ArgMatches) -> Result<Self, CommandError> {
        let path = args
            .get_one::<String>("document")
            .cloned()
            .unwrap_or_default();
        let text = if path == "-" {
            std::io::read_to_string(std::io::stdin())
        } else {
            std::fs::read_to_string(&path)
        };
        let text =
            text.map_err(|error| CommandError::failed(format!("cannot read {path}: {error}")))?;
        let document = ConfigDocument::parse(&text)
            .map_err(|error| CommandError::failed(format!("{path}: {error}")))?;
        Ok(Self { path, document })
    }
}
