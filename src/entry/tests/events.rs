use crate::entry::events::EventTracker;

/// Guards against forwarding an incomplete event, which the caller would receive again from the
/// target that resumes the stream.
#[test]
fn only_complete_events_are_forwarded() {
    let mut tracker = EventTracker::default();
    assert!(tracker.push(b"id: 1\nda").unwrap().is_empty());
    assert_eq!(
        tracker.push(b"ta: a\n\nid: 2\n").unwrap(),
        &b"id: 1\ndata: a\n\n"[..]
    );
    assert_eq!(tracker.last_id(), Some("1"));
    assert_eq!(tracker.take_partial(), &b"id: 2\n"[..]);
    assert_eq!(
        tracker.push(b"id: 2\ndata: b\n\n").unwrap(),
        &b"id: 2\ndata: b\n\n"[..]
    );
    assert_eq!(tracker.last_id(), Some("2"));
}

/// Guards against a target that sends an event without end, which would fill the VM's memory.
#[test]
fn event_without_end_is_an_error() {
    let mut tracker = EventTracker::default();
    let part = [b'x'; 16 * 1024];
    let results = (0..64).map(|_| tracker.push(&part).is_err());
    assert_eq!(results.filter(|failed| *failed).count(), 48);
}

/// Guards against an event whose end is missed because it arrives in two parts.
#[test]
fn end_of_an_event_may_arrive_in_parts() {
    for end in ["\n\n", "\r\n\r\n"] {
        let mut tracker = EventTracker::default();
        let text = format!("id: 7\ndata: a{end}");
        let mut received = Vec::new();
        for byte in text.bytes() {
            received.extend_from_slice(&tracker.push(&[byte]).unwrap());
        }
        assert_eq!(
            (received, tracker.last_id()),
            (text.into_bytes(), Some("7"))
        );
    }
}
