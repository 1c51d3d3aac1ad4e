//! The commands for the configuration document, and the settings at startup.

mod fixture;
mod workdir;

use fixture::{ADMIN_TOKEN, TestCluster, TestNode};
use workdir::{CommandOutput, WorkDir};
use yare::parameterized;

/// A valid document. The line numbers in the tests below count from its first line.
const DOCUMENT: &str = r#"[base_models.gemma]
loads_in_flight = 6

[zones.a]

[targets.engine-1]
address = "127.0.0.1:9000"
zone = "a"
base_model = "gemma"

[services.bookings]
prefix = "/bookings"

[accounts.acme]

[rates.acme]
tokens_per_second = 500
burst = 2000

[keys.first]
account = "acme"
sha256 = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

[adapters.shop]
account = "acme"
base_model = "gemma"
current = "v1"

[versions."shop@v1"]
"#;

fn check(text: &str) -> CommandOutput {
    let folder = WorkDir::new();
    folder.write("site.toml", text);
    folder.run(&["config", "check", "site.toml"], "")
}

/// Guards against a check that rejects a valid document.
#[test]
fn a_valid_document_is_accepted() {
    let output = check(DOCUMENT);
    assert_eq!(output.stdout, "site.toml: valid, 9 entries in 9 sections\n");
    assert_eq!((output.code, output.stderr.as_str()), (0, ""));
}

/// Guards against accepting an invalid document of each kind, and against an error message without
/// the place of the error.
#[parameterized(
    zero_rate = { "tokens_per_second = 500", "tokens_per_second = 0",
        "line 16: rates \"acme\": tokens_per_second must not be 0" },
    zero_burst = { "burst = 2000", "burst = 0", "line 16: rates \"acme\": burst must not be 0" },
    negative_rate = { "tokens_per_second = 500", "tokens_per_second = -1",
        "line 17: rates \"acme\": invalid value: integer `-1`, expected u64" },
    dangling_account = { "[keys.first]\naccount = \"acme\"", "[keys.first]\naccount = \"acne\"",
        "line 20: keys \"first\": there is no entry \"acne\" in accounts" },
    dangling_zone = { "zone = \"a\"", "zone = \"b\"",
        "line 6: targets \"engine-1\": there is no entry \"b\" in zones" },
    dangling_base_model = { "zone = \"a\"\nbase_model = \"gemma\"",
        "zone = \"a\"\nbase_model = \"llama\"",
        "line 6: targets \"engine-1\": there is no entry \"llama\" in base_models" },
    dangling_adapter = { "[versions.\"shop@v1\"]",
        "[versions.\"shop@v1\"]\n[versions.\"shap@v1\"]",
        "line 30: versions \"shap@v1\": there is no entry \"shap\" in adapters" },
    duplicate_name = { "[accounts.acme]", "[accounts.acme]\n[accounts.acme]",
        "line 15: accounts \"acme\": duplicate key" },
    duplicate_field = { "zone = \"a\"", "zone = \"a\"\nzone = \"a\"",
        "line 9: targets \"engine-1\": duplicate key" },
    duplicate_digest = { "[adapters.shop]", "[keys.second]\naccount = \"acme\"\nsha256 = \
         \"2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b\"\n[adapters.shop]",
        "line 24: keys \"second\": key \"first\" has the same digest" },
    zone_without_targets = { "[zones.a]", "[zones.a]\n[zones.b]",
        "line 5: zones \"b\": the zone is in service but has no target" },
    missing_version = { "current = \"v1\"", "current = \"v2\"",
        "line 24: adapters \"shop\": its current version \"shop@v2\" does not exist" },
    target_with_both = { "zone = \"a\"", "zone = \"a\"\nservice = \"bookings\"",
        "line 6: targets \"engine-1\": it has both base_model and service; give one of them" },
    target_with_neither = { "zone = \"a\"\nbase_model = \"gemma\"", "zone = \"a\"",
        "line 6: targets \"engine-1\": it has neither base_model nor service; give one of them" },
    unknown_field = { "[zones.a]", "[zones.a]\nin_servise = true",
        "line 5: zones \"a\": unknown field `in_servise`, expected `in_service`" },
    missing_field = { "current = \"v1\"", "",
        "line 24: adapters \"shop\": missing field `current`" },
    unknown_section = { "[accounts.acme]", "[acounts.acme]",
        "line 14: there is no section \"acounts\"" },
    section_without_entries = { "[base_models.gemma]\nloads_in_flight = 6\n\n[zones.a]",
        "zones = 5\n[base_models.gemma]",
        "line 1: zones must be a table of entries" },
    invalid_name = { "[accounts.acme]", "[accounts.\"ac me\"]",
        "line 14: accounts \"ac me\": \"ac me\" is not a valid name: use 1 to 128 of the characters \
         a-z A-Z 0-9 . _ -" },
    invalid_address = { "127.0.0.1:9000", "engine.example",
        "line 7: targets \"engine-1\": invalid socket address syntax" },
    invalid_digest = { "2bb80d", "2BB80D",
        "line 22: keys \"first\": a key digest is 64 lowercase hexadecimal digits" },
    sum_of_load_limits = { "[zones.a]", "[base_models.llama]\nloads_in_flight = 3\n[zones.a]",
        "line 1: base_models \"gemma\": loads_in_flight of all base models is 9 together, but the \
         weight store allows 8" },
    not_toml = { "loads_in_flight = 6", "loads_in_flight =",
        "line 2: base_models \"gemma\": string values must be quoted, expected literal string" },
)]
fn an_invalid_document_is_reported_with_line_section_entry_and_reason(
    old: &str,
    new: &str,
    message: &str,
) {
    let text = DOCUMENT.replacen(old, new, 1);
    assert_ne!(text, DOCUMENT);
    let output = check(&text);
    assert_eq!(
        output.stderr,
        format!("bluebellmux: site.toml: {message}\n")
    );
    assert_eq!((output.code, output.stdout.as_str()), (1, ""));
}

/// Guards against a backtrace, or no error, when the document does not exist.
#[test]
fn a_missing_file_is_reported_in_one_line() {
    let output = WorkDir::new().run(&["config", "check", "none.toml"], "");
    let message = "bluebellmux: cannot read none.toml: No such file or directory (os error 2)\n";
    assert_eq!((output.code, output.stderr.as_str()), (1, message));
}

/// Guards against a digest that includes the line break after the key, and so differs from the
/// digest of the key that callers send.
#[test]
fn the_key_digest_ignores_a_trailing_line_break() {
    let expected = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b\n";
    for key in ["secret", "secret\n", "secret\r\n"] {
        let output = WorkDir::new().run(&["key", "digest"], key);
        assert_eq!(
            (output.code, output.stdout.as_str()),
            (0, expected),
            "{key:?}"
        );
    }
    for key in ["", "\n", "two words", "schlüssel"] {
        let output = WorkDir::new().run(&["key", "digest"], key);
        let message = "bluebellmux: a key is one word of printable ASCII characters\n";
        assert_eq!(
            (output.code, output.stderr.as_str()),
            (1, message),
            "{key:?}"
        );
    }
}

/// Guards against invalid settings that are detected only after startup, and against an error
/// message that shows a credential.
#[test]
fn invalid_settings_are_refused_at_startup() {
    let good = [
        "serve",
        "--node",
        "n",
        "--zone",
        "a",
        "--admin-token",
        "hidden-token",
        "--platform-url",
    ];
    let cases = [
        (vec!["ftp://x"], "a URL starts with http:// or https://"),
        (
            vec!["http://x", "--listen", "here"],
            "invalid socket address syntax",
        ),
        (
            vec!["http://x", "--snapshot-records", "0"],
            "0 is not in 1..18446744073709551615",
        ),
        (vec!["http://x", "--log", "a=b=c"], "--log: "),
    ];
    for (extra_args, message) in cases {
        let output = WorkDir::new().run(&[&good[..], &extra_args].concat(), "");
        assert!(output.stderr.contains(message), "{output:?}");
        assert!(!output.stderr.contains("hidden-token"), "{output:?}");
        assert_ne!(output.code, 0);
    }
    let empty = [
        "serve",
        "--node",
        "n",
        "--zone",
        "a",
        "--platform-url",
        "http://x",
    ];
    let output = WorkDir::new().run(&[&empty[..], &["--admin-token", ""]].concat(), "");
    assert_eq!(output.code, 2, "{output:?}");
}

/// Runs a command against a node's admin API.
async fn run_client(node: &TestNode, folder: &WorkDir, args: &[&str]) -> CommandOutput {
    let url = node.admin_url("");
    let client = ["--admin-url", &url, "--admin-token", ADMIN_TOKEN];
    let args = [args, &client].concat();
    tokio::task::block_in_place(|| folder.run(&args, ""))
}

/// Guards against commands that do not accept the output of each other, such as a document that
/// `config show` prints and `config check` rejects.
#[tokio::test(flavor = "multi_thread")]
async fn the_output_of_show_is_accepted_by_check_diff_and_publish() {
    let cluster = TestCluster::start().await;
    let (node, folder) = (&cluster.nodes[0], WorkDir::new());
    let shown = run_client(node, &folder, &["config", "show"]).await;
    assert_eq!(shown.code, 0, "{shown:?}");
    folder.write("site.toml", &shown.stdout);
    let output = folder.run(&["config", "check", "site.toml"], "");
    assert_eq!(
        output.stdout,
        "site.toml: valid, 12 entries in 8 sections\n"
    );
    let output = run_client(node, &folder, &["config", "diff", "site.toml"]).await;
    assert_eq!(
        (output.code, output.stdout.as_str()),
        (0, "site.toml: no differences\n")
    );
    let output = run_client(node, &folder, &["config", "publish", "site.toml"]).await;
    assert_eq!(
        (output.code, output.stdout.as_str()),
        (0, "site.toml: already in force\n")
    );

    let rates = "[rates.acme]\ntokens_per_second = 9\nburst = 10\n";
    folder.write("rates.toml", rates);
    let output = run_client(node, &folder, &["config", "diff", "rates.toml"]).await;
    let lines = "base rates 0\n~ rates acme {\"burst\":10,\"tokens_per_second\":9}\n";
    assert_eq!((output.code, output.stdout.as_str()), (4, lines));
    let output = run_client(node, &folder, &["config", "publish", "rates.toml"]).await;
    let done = "rates.toml: revision 1, 1 entries put, 0 deleted\n";
    assert_eq!((output.code, output.stdout.as_str()), (0, done));
    let section = ["config", "show", "--section", "rates"];
    let output = run_client(node, &folder, &section).await;
    assert_eq!(
        output.stdout,
        format!("# rates: revision 1\n\n{}\n", with_sorted_fields(rates))
    );

    folder.write("bad.toml", "[zones.a]\n\n[zones.empty]\n");
    let output = run_client(node, &folder, &["config", "publish", "bad.toml"]).await;
    let message = "bluebellmux: bad.toml: line 3: the change was rejected: zones \"empty\": the \
                   zone is in service but has no target\n";
    assert_eq!((output.code, output.stderr.as_str()), (1, message));
}

/// The document with the fields of its only entry in alphabetical order, as `config show` prints
/// them.
fn with_sorted_fields(document: &str) -> String {
    let mut lines: Vec<&str> = document.lines().collect();
    lines[1..].sort_unstable();
    lines.join("\n") + "\n"
}
