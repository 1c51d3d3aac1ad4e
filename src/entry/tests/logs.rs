use std::io::Write;

use crate::entry::logs::LogSink;

/// Guards against unbounded memory use or blocked requests when nothing reads standard output.
#[test]
fn lines_past_the_limit_are_dropped_and_counted() {
    let mut sink = LogSink::default();
    let line = [b'x'; 1024];
    for _ in 0..300 {
        sink.write_all(&line).unwrap();
    }
    let mut out = Vec::new();
    sink.flush_to(&mut out).unwrap();
    let text = String::from_utf8(out).unwrap();
    assert!(text.len() < 300 * 1024);
    assert!(
        text.contains("\"count\":44"),
        "{}",
        &text[text.len() - 200..]
    );
    sink.write_all(b"next\n").unwrap();
    let mut out = Vec::new();
    sink.flush_to(&mut out).unwrap();
    assert_eq!(out, b"next\n");
}
