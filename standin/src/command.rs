//! The command line of the stand-ins, also for programs that re-execute themselves.

use std::io;

use argh::FromArgs;

use crate::{engine, platform, proxy, service};

/// Run one stand-in until the process is ended.
#[derive(Debug, FromArgs)]
pub struct Arguments {
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Engine(engine::Options),
    Service(service::Options),
    Platform(platform::Options),
    Proxy(proxy::Options),
}

/// Binds, prints `listening on IP:PORT` to stdout and serves; gives an error when binding fails.
pub async fn execute(arguments: Arguments) -> io::Result<()> {
    match arguments.command {
        Command::Engine(options) => engine::execute(options).await,
        Command::Service(options) => service::execute(options).await,
        Command::Platform(options) => platform::execute(options).await,
        Command::Proxy(options) => proxy::execute(options).await,
    }
}
