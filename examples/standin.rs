//! Runs one stand-in (platform, engine or service) as a process of its own.

#[tokio::main]
async fn main() -> std::io::Result<()> {
    bluebellmux_standins::command::run().await
}
