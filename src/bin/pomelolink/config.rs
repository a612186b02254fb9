//! Options that all commands share.

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
    /// Builds a client from the options and the environment.
    pub fn client(&self) -> Result<Client, Error> {
        Ok(Client::new(self.addresses()?, &self.token()?))
    }

    fn addresses(&self) -> Result<Vec<SocketAddr>, Error> {
        let mut texts = self.servers.clone();
        if texts.is_empty() {
            let variable = std::env::var(SERVER_VARIABLE).unwrap_or_default();
            texts.extend(variable.split(',').map(|text| text.trim().to_owned()));
            texts.retain(|text| !text.is_empty());
        }
        if texts.is_empty() {
            return Err(Error::Usage(format!("name a server with --server or {SERVER_VARIABLE}")));
        }
        let parse = |text: &String| {
            text.parse().map_err(|_| {
                Error::Usage(format!("expected an IP address with a port, found \"{text}\""))
            })
        };
        texts.iter().map(parse).collect()
    }

    fn token(&self) -> Result<String, Error> {
        let token = match &self.token_file {
            Some(path) => std::fs::read_to_string(path)
                .map_err(|error| Error::Usage(format!("{path}: cannot be read: {error}")))?,
            None => std::env::var(TOKEN_VARIABLE).unwrap_or_default(),
        };
        let token = token.trim();
        if token.is_empty() {
            let message = format!("give a token with --token-file or {TOKEN_VARIABLE}");
            return Err(Error::Usage(message));
        }
        Ok(token.to_owned())
    }
}

/// Moves the options that all commands share in front of the command, where argh expects them.
pub fn hoist_globals(words: impl Iterator<Item = String>) -> Vec<String> {
    let mut words = words.peekable();
    let (mut globals, mut rest) = (Vec::new(), Vec::new());
    while let Some(word) = words.next() {
        match word.as_str() {
            "--json" => globals.push(word),
            "--server" | "--token-file" => {
                globals.push(word);
                globals.extend(words.next());
            }
            "--" => {
                rest.push(word);
                rest.extend(words.by_ref());
            }
            _ => rest.push(word),
        }
    }
    globals.extend(rest);
    globals
}
