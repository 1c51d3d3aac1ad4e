use crate::entry::events::EventTracker;

/// Guards against forwarding an incomplete event, which the caller would receive again from the
/// target that resumes the stream.
#[test]
fn only_complete_events_are_forwarded() {
    let mut tracker = EventTracker::default();
    assert!(tracker.push(b"id: 1\nda").is_empty());
    assert_eq!(
        tracker.push(b"ta: a\n\nid: 2\n"),
        &b"id: 1\ndata: a\n\n"[..]
    );
    assert_eq!(tracker.last_id(), Some("1"));
    assert_eq!(tracker.take_partial(), &b"id: 2\n"[..]);
    assert_eq!(
        tracker.push(b"id: 2\ndata: b\n\n"),
        &b"id: 2\ndata: b\n\n"[..]
    );
    assert_eq!(tracker.last_id(), Some("2"));
}
