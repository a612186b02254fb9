//! Options shared by all commands.

use std::net::SocketAddr;

use crate::client::Client;
use crate::error::Error;

const SERVER_VARIABLE: &str = "POMELOLINK_SERVER";
const TOKEN_VARIABLE: &str = "POMELOLINK_TOKEN";

#[derive(Debug)]
pub struct Config {
    pub servers: Vec<String>,
    pub token_file: Option<String>,
    pub json: bool,
}

impl Config {
    /// Creates a client from the options and the environment variables.
    pub fn client(&self) -> Result<Client, Error> {
        Ok(Client::new(self.addresses()?, &self.token()?))
    }

    fn addresses(&self) -> Result<Vec<SocketAddr>, Error> {
        let mut addresses = self.servers.clone();
        if addresses.is_empty() {
            let variable = std::env::var(SERVER_VARIABLE).unwrap_or_default();
            addresses.extend(variable.split(',').map(|text| text.trim().to_owned()));
            addresses.retain(|text| !text.is_empty());
        }
        if addresses.is_empty() {
            return Err(Error::Usage(format!(
                "specify a server with --server or {SERVER_VARIABLE}"
            )));
        }
        let parse_address = |text: &String| {
            text.parse().map_err(|_| {
                Error::Usage(format!("expected an IP address with a port, found \"{text}\""))
            })
        };
        addresses.iter().map(parse_address).collect()
    }

    fn token(&self) -> Result<String, Error> {
        let token = match &self.token_file {
            Some(path) => std::fs::read_to_string(path)
                .map_err(|error| Error::Usage(format!("{path}: cannot be read: {error}")))?,
            None => std::env::var(TOKEN_VARIABLE).unwrap_or_default(),
        };
        let token = token.trim();
        if token.is_empty() {
            let message = format!("specify a token with --token-file or {TOKEN_VARIABLE}");
            return Err(Error::Usage(message));
        }
        Ok(token.to_owned())
    }
}

/// Moves the options shared by all commands before the command name, where argh expects them.
pub fn hoist_globals(args: impl Iterator<Item = String>) -> Vec<String> {
    let mut args = args.peekable();
    let (mut global_args, mut other_args) = (Vec::new(), Vec::new());
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--json" => global_args.push(arg),
            "--server" | "--token-file" => {
                global_args.push(arg);
                global_args.extend(args.next());
            }
            "--" => {
                other_args.push(arg);
                other_args.extend(args.by_ref());
            }
            _ => other_args.push(arg),
        }
    }
    global_args.extend(other_args);
    global_args
}
