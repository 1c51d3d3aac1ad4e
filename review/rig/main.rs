//! Shows faults of the entry VMs with the deployed program as separate processes on loopback. Usage:
//! `rig CASE FOLDER`, in the repository's root; writes FOLDER/record.txt. Exit status: 1 if the rule
//! was broken, 0 if it held, 2 if the case could not run.

mod cold;
mod drain;
mod http;
mod machine;
mod models;
mod poison;
mod server;
mod store;

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::Instant;

use server::{Event, Seen};

/// What a case has shown.
pub enum Verdict {
    Held,
    Broken,
    NotRun(&'static str),
}

/// The record of a run, and a folder for its files that is removed at the end.
pub struct Run {
    start: Instant,
    record: Mutex<File>,
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

impl Run {
    pub fn note(&self, text: &str) {
        self.note_at(Instant::now(), text);
    }

    pub fn note_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.start).as_secs_f64();
        let _ = writeln!(self.record.lock().unwrap(), "{seconds:9.3} {text}");
    }

    /// Notes each request: where it was sent, how it was answered (0 for no answer) and the servers
    /// that it reached.
    pub fn note_requests(&self, sent: &BTreeMap<String, Sent>, seen: &[Seen]) {
        let mut reached: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for arrival in seen.iter().filter(|seen| seen.event == Event::Arrived) {
            reached
                .entry(&arrival.request)
                .or_default()
                .push(&arrival.server);
        }
        let mut sent: Vec<_> = sent.iter().collect();
        sent.sort_by_key(|(_, sent)| sent.at);
        for (
            id,
            Sent {
                at,
                machine,
                status,
            },
        ) in sent
        {
            let servers = reached
                .get(id.as_str())
                .map_or(String::new(), |servers| servers.join(" "));
            self.note_at(
                *at,
                &format!("{id} to machine {}: {status} {servers}", machine + 1),
            );
        }
    }
}

/// A request that a client has sent.
pub struct Sent {
    pub at: Instant,
    /// The index of the machine that it was sent to.
    pub machine: usize,
    /// The status of the answer; 0 if there was none.
    pub status: u16,
}

fn main() {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: rig CASE FOLDER");
        std::process::exit(2);
    };
    let record =
        File::create(Path::new(&folder).join("record.txt")).expect("the record must be written");
    let temporary = std::env::temp_dir().join(format!("bluebellmux-review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder is needed");
    let run = Run {
        start: Instant::now(),
        record: Mutex::new(record),
        folder: temporary.clone(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    run.note(&format!("case {case}, trouble {}", run.trouble));
    std::thread::spawn(machine::end_all_after_limit);
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match case.as_str() {
        "cold" => cold::run(&run),
        "drain" => drain::run(&run),
        "models" => models::run(&run),
        "poison" => poison::run(&run),
        _ => Verdict::NotRun("there is no such case"),
    }));
    let verdict = verdict.unwrap_or(Verdict::NotRun("the case itself failed"));
    let (text, status) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::NotRun(reason) => (format!("the case could not run: {reason}"), 2),
    };
    run.note(&text);
    println!("{case}: {text}");
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        println!("logs: {}", temporary.display());
    }
    std::process::exit(status);
}
