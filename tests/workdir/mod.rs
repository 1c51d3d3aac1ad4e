//! A temporary working directory in which a test runs the built binary.

#![allow(dead_code, reason = "each test file uses a part of the fixture")]

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// The time limit for a command, generous for a busy machine. Its output is read only after it
/// ends, so it must fit into a pipe buffer.
const RUN_TIMEOUT: Duration = Duration::from_secs(30);

static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// A temporary directory, which is removed when dropped.
#[derive(Debug)]
pub(crate) struct WorkDir {
    path: PathBuf,
}

/// The output and exit code of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CommandOutput {
    pub(crate) code: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl WorkDir {
    pub(crate) fn new() -> Self {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("config-{}-{number}", std::process::id());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&path).expect("the target folder is writable");
        Self { path }
    }

    pub(crate) fn write(&self, name: &str, text: &str) {
        std::fs::write(self.path.join(name), text).expect("the folder is writable");
    }

    /// Runs the binary in the directory with an empty environment.
    pub(crate) fn run(&self, args: &[&str], stdin: &str) -> CommandOutput {
        let mut command = Command::new(env!("CARGO_BIN_EXE_bluebellmux"));
        command.args(args).current_dir(&self.path).env_clear();
        command.stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command
            .stderr(Stdio::piped())
            .spawn()
            .expect("the binary was built");
        let mut pipe = child.stdin.take().expect("standard input is piped");
        // The write fails if the command ends without reading its input.
        let _ = pipe.write_all(stdin.as_bytes());
        drop(pipe);
        let start = Instant::now();
        while child
            .try_wait()
            .expect("the child process was started here")
            .is_none()
        {
            if start.elapsed() > RUN_TIMEOUT {
                // A command that starts serving instead of rejecting its settings would not end.
                child.kill().expect("the child process was started here");
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let output = child.wait_with_output().expect("the command ends");
        let text = |bytes| String::from_utf8(bytes).expect("the output is text");
        CommandOutput {
            code: output.status.code().unwrap_or(-1),
            stdout: text(output.stdout),
            stderr: text(output.stderr),
        }
    }
}

impl Drop for WorkDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
