//! Runs the built binary in separate processes.

mod fixture;

use fixture::Site;

/// Guards against a path that works only inside one process: two entry VMs, the platform and an
/// engine are processes of their own, and the request enters at the VM that owns no role.
#[tokio::test]
async fn a_request_is_answered_by_the_adapter_it_names() {
    let site = Site::start().await;
    for node in &site.nodes {
        let answer = node
            .stream("gemma/shop-1", "swap two bottles tokens=4")
            .await;
        assert!(answer.text.contains("[shop-1/v1 "), "{answer:?}");
        assert!(answer.text.contains(&answer.request_id), "{answer:?}");
        assert!(answer.text.ends_with(" t3"), "{answer:?}");
        assert!(answer.complete, "{answer:?}");
    }
}

/// Guards against a request that runs without a known key.
#[tokio::test]
async fn an_unknown_key_is_refused_and_the_request_is_not_run() {
    let site = Site::start().await;
    let (status, body) = site.nodes[0]
        .complete_with_key("wrong", "gemma/shop-1")
        .await;
    assert_eq!(status, 401);
    assert_eq!(body["error"]["run"], "no");
    assert_eq!(body["error"]["code"], "unauthorized");
}
