//! Runs one stand-in (platform, engine or service) as a separate process.

#[tokio::main]
async fn main() -> std::io::Result<()> {
    bluebellmux_standins::command::run().await
}
