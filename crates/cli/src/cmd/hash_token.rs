//! `redwingwick hash-token`: prints the hash of a token.

use std::io::{self, Write};

use rw_host::http::token_hash;

use super::Subcommand;
use crate::error::Error;

/// The subcommand `hash-token`, which has no arguments.
pub struct HashToken;

impl Subcommand for HashToken {
    fn run(&self) -> Result<(), Error> {
        let mut line = String::new();
        io::stdin().read_line(&mut line)?;
        let token = line.trim();
        if token.is_empty() {
            return Err(Error::Invalid("no token on standard input".into()));
        }
        writeln!(io::stdout(), "{}", token_hash(token))?;
        Ok(())
    }
}
