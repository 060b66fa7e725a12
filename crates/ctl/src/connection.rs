//! Creates a client from the command line and the environment.

use std::{env, fs, net::SocketAddr, path::Path, time::Duration};

use hyssop_operator::client::Client;

use crate::{arguments, error::Error};

/// The environment variable with the operator's key.
pub(crate) const KEY_VARIABLE: &str = "HYSSOP_OPERATOR_KEY";

/// The environment variable with the operators' addresses of daemons, separated by commas.
pub(crate) const SERVERS_VARIABLE: &str = "HYSSOP_SERVERS";

/// Creates a client of the daemons.
pub(crate) fn client(connection: &arguments::Connection) -> Result<Client, Error> {
    let servers = servers(connection)?;
    let key = key(connection.key_file.as_deref())?;
    let timeout = Duration::from_secs(connection.timeout);
    Ok(Client::new(servers).timeout(timeout).key(&key)?)
}

fn servers(connection: &arguments::Connection) -> Result<Vec<SocketAddr>, Error> {
    if !connection.server.is_empty() {
        return Ok(connection.server.clone());
    }
    let text = env::var(SERVERS_VARIABLE).unwrap_or_default();
    let addresses = text.split(',').map(str::trim).filter(|address| !address.is_empty());
    let servers: Vec<SocketAddr> = addresses
        .map(|address| address.parse().map_err(|_| Error::Server(address.to_owned())))
        .collect::<Result<_, _>>()?;
    if servers.is_empty() { Err(Error::NoServer) } else { Ok(servers) }
}

fn key(file: Option<&Path>) -> Result<String, Error> {
    let text = match file {
        Some(path) => fs::read_to_string(path)
            .map_err(|error| Error::File { path: path.to_owned(), error })?,
        None => env::var(KEY_VARIABLE).unwrap_or_default(),
    };
    let key = text.trim();
    if key.is_empty() { Err(Error::NoKey) } else { Ok(key.to_owned()) }
}
