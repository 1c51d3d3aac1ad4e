//! The settings of an entry VM's process, from flags and `BLUEBELLMUX_*` environment variables.

use std::net::SocketAddr;
use std::time::Duration;

use clap::builder::NonEmptyStringValueParser;
use clap::{Arg, ArgMatches, value_parser};

use crate::config::snapshot::SnapshotSchedule;
use crate::entry::client_limits::ClientLimits;
use crate::ids::{ByteSize, NodeName, ZoneName};

#[derive(Clone, derive_more::Debug)]
pub struct NodeSettings {
    /// The node's name, as in the platform's VM list.
    pub node: NodeName,
    pub zone: ZoneName,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for other entry VMs, as in the platform's VM list.
    pub peer_listen: SocketAddr,
    /// The address for operators.
    pub admin_listen: SocketAddr,
    /// The bearer token of the admin API.
    #[debug("<hidden>")]
    pub admin_token: String,
    pub platform_url: String,
    /// The largest request body of a caller.
    pub body_limit_bytes: usize,
    /// The memory of the VM, from which the limits on what callers may occupy are derived.
    pub(crate) memory: ByteSize,
    /// The file descriptors that the process may have open.
    pub(crate) max_descriptors: u32,
    /// How long a connection of a caller may be silent.
    pub(crate) idle_timeout: Duration,
    /// How long a caller may take to send a request body.
    pub body_timeout: Duration,
    /// How long a request may wait for a slot on a target.
    pub admission_timeout: Duration,
    /// How long a request may take from its first byte to its last.
    pub request_timeout: Duration,
    /// How long a graceful shutdown waits for running requests.
    pub drain_timeout: Duration,
    /// How long a node still accepts requests after it became not ready, so that the load balancer
    /// has time to stop routing to it.
    pub shutdown_grace: Duration,
    /// The uptime from which a process claims expired leases, so that by then every lease holder
    /// knows of the process.
    pub claim_age: Duration,
    /// When a new snapshot of the configuration is published.
    pub(crate) snapshot_schedule: SnapshotSchedule,
}

impl NodeSettings {
    pub fn new(node: NodeName, zone: ZoneName, platform_url: &str, admin_token: &str) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            node,
            zone,
            listen: any_port,
            peer_listen: any_port,
            admin_listen: any_port,
            admin_token: admin_token.to_owned(),
            platform_url: platform_url.to_owned(),
            body_limit_bytes: 1024 * 1024,
            memory: ByteSize::from_megabytes(512),
            max_descriptors: 4096,
            idle_timeout: Duration::from_secs(60),
            body_timeout: Duration::from_secs(10),
            admission_timeout: Duration::from_secs(10),
            request_timeout: Duration::from_secs(120),
            drain_timeout: Duration::from_secs(120),
            shutdown_grace: Duration::from_secs(1),
            claim_age: Duration::from_secs(30),
            snapshot_schedule: SnapshotSchedule {
                records: 25_000,
                interval: Duration::from_secs(6 * 3600),
            },
        }
    }

    /// The limits on what callers and responses may occupy.
    pub(crate) fn client_limits(&self) -> ClientLimits {
        ClientLimits::new(Some(self.memory), Some(self.max_descriptors)).for_gateway()
    }

    /// The arguments that [`Self::from_args`] reads.
    pub(crate) fn args() -> Vec<Arg> {
        let mut args = Self::identity_args();
        args.extend(Self::limit_args());
        args.extend(Self::capacity_args());
        args.extend(Self::snapshot_args());
        args
    }

    /// The node's identity, addresses and credentials.
    fn identity_args() -> Vec<Arg> {
        vec![
            required_arg(
                "node",
                "BLUEBELLMUX_NODE",
                "Name of this VM in the platform's VM list",
            )
            .value_parser(value_parser!(NodeName)),
            required_arg("zone", "BLUEBELLMUX_ZONE", "Availability zone of this VM")
                .value_parser(value_parser!(ZoneName)),
            required_arg(
                "platform-url",
                "BLUEBELLMUX_PLATFORM_URL",
                "URL of the platform",
            )
            .value_parser(parse_url),
            required_arg(
                "admin-token",
                "BLUEBELLMUX_ADMIN_TOKEN",
                "Credential of operators",
            )
            .value_parser(NonEmptyStringValueParser::new())
            .hide_env_values(true),
            address_arg(
                "listen",
                "BLUEBELLMUX_LISTEN",
                "127.0.0.1:8080",
                "Address for callers",
            ),
            address_arg(
                "peer-listen",
                "BLUEBELLMUX_PEER_LISTEN",
                "127.0.0.1:8081",
                "Address for other entry VMs",
            ),
            address_arg(
                "admin-listen",
                "BLUEBELLMUX_ADMIN_LISTEN",
                "127.0.0.1:8082",
                "Address for operators",
            ),
        ]
    }

    /// Size limits and timeouts.
    fn limit_args() -> Vec<Arg> {
        vec![
            number_arg(
                "body-limit-bytes",
                "BLUEBELLMUX_BODY_LIMIT_BYTES",
                "1048576",
                "Largest request body in bytes",
            ),
            number_arg(
                "body-timeout-ms",
                "BLUEBELLMUX_BODY_TIMEOUT_MS",
                "10000",
                "Time for a caller to send a body, in milliseconds",
            ),
            number_arg(
                "admission-timeout-ms",
                "BLUEBELLMUX_ADMISSION_TIMEOUT_MS",
                "10000",
                "Longest wait of a request for admission, in milliseconds",
            ),
            number_arg(
                "request-timeout-ms",
                "BLUEBELLMUX_REQUEST_TIMEOUT_MS",
                "120000",
                "Hard deadline of a whole request, in milliseconds",
            ),
            number_arg(
                "drain-timeout-ms",
                "BLUEBELLMUX_DRAIN_TIMEOUT_MS",
                "120000",
                "Longest wait for running requests at shutdown, in milliseconds",
            ),
            number_arg(
                "shutdown-grace-ms",
                "BLUEBELLMUX_SHUTDOWN_GRACE_MS",
                "1000",
                "Time for the load balancer to notice a shutdown, in milliseconds",
            ),
            number_arg(
                "claim-age-ms",
                "BLUEBELLMUX_CLAIM_AGE_MS",
                "30000",
                "Age from which the process claims expired leases, in milliseconds",
            ),
        ]
    }

    /// What the process may use.
    fn capacity_args() -> Vec<Arg> {
        vec![
            number_arg(
                "memory-mb",
                "BLUEBELLMUX_MEMORY_MB",
                "512",
                "Memory of the VM in megabytes, of which callers' bodies may take a quarter",
            ),
            number_arg(
                "max-descriptors",
                "BLUEBELLMUX_MAX_DESCRIPTORS",
                "4096",
                "File descriptors that the process may have open",
            ),
            number_arg(
                "idle-timeout-ms",
                "BLUEBELLMUX_IDLE_TIMEOUT_MS",
                "60000",
                "Time after which a caller's silent connection is closed, in milliseconds",
            ),
        ]
    }

    /// The schedule of configuration snapshots.
    fn snapshot_args() -> Vec<Arg> {
        vec![
            number_arg(
                "snapshot-records",
                "BLUEBELLMUX_SNAPSHOT_RECORDS",
                "25000",
                "Configuration records between two snapshots, below half of what the log keeps",
            ),
            number_arg(
                "snapshot-interval-s",
                "BLUEBELLMUX_SNAPSHOT_INTERVAL_S",
                "21600",
                "Longest time between two snapshots in seconds, below half of the log's retention",
            ),
        ]
    }

    /// Creates the settings from parsed arguments.
    pub(crate) fn from_args(args: &ArgMatches) -> Self {
        let millis = |name: &str| Duration::from_millis(arg_value::<u64>(args, name));
        Self {
            node: arg_value(args, "node"),
            zone: arg_value(args, "zone"),
            listen: arg_value(args, "listen"),
            peer_listen: arg_value(args, "peer-listen"),
            admin_listen: arg_value(args, "admin-listen"),
            admin_token: arg_value(args, "admin-token"),
            platform_url: arg_value(args, "platform-url"),
            body_limit_bytes: usize::try_from(arg_value::<u64>(args, "body-limit-bytes"))
                .unwrap_or(usize::MAX),
            memory: ByteSize::from_megabytes(arg_value(args, "memory-mb")),
            max_descriptors: u32::try_from(arg_value::<u64>(args, "max-descriptors"))
                .unwrap_or(u32::MAX),
            idle_timeout: millis("idle-timeout-ms"),
            body_timeout: millis("body-timeout-ms"),
            admission_timeout: millis("admission-timeout-ms"),
            request_timeout: millis("request-timeout-ms"),
            drain_timeout: millis("drain-timeout-ms"),
            shutdown_grace: millis("shutdown-grace-ms"),
            claim_age: millis("claim-age-ms"),
            snapshot_schedule: SnapshotSchedule {
                records: arg_value(args, "snapshot-records"),
                interval: Duration::from_secs(arg_value(args, "snapshot-interval-s")),
            },
        }
    }
}

fn parse_url(text: &str) -> Result<String, String> {
    match reqwest::Url::parse(text) {
        Ok(url) if matches!(url.scheme(), "http" | "https") => Ok(text.to_owned()),
        _ => Err("a URL starts with http:// or https://".to_owned()),
    }
}

fn required_arg(name: &'static str, variable: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .env(variable)
        .required(true)
        .help(help)
}

fn address_arg(
    name: &'static str,
    variable: &'static str,
    default: &'static str,
    help: &'static str,
) -> Arg {
    let arg = Arg::new(name)
        .long(name)
        .env(variable)
        .default_value(default)
        .help(help);
    arg.value_parser(value_parser!(SocketAddr))
}

fn number_arg(
    name: &'static str,
    variable: &'static str,
    default: &'static str,
    help: &'static str,
) -> Arg {
    let arg = Arg::new(name)
        .long(name)
        .env(variable)
        .default_value(default)
        .help(help);
    arg.value_parser(value_parser!(u64).range(1..))
}

fn arg_value<T: Clone + Send + Sync + 'static>(args: &ArgMatches, name: &str) -> T {
    args.get_one::<T>(name)
        .expect("the argument is required or has a default")
        .clone()
}
