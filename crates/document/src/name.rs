//! Names that operators choose, with a separate type for each kind.
//!
//! A name has 1 to 64 bytes from `a-z`, `A-Z`, `0-9`, `.`, `_`, `-` and `/`.

use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The reason why a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The text is empty.
    #[display("a name is empty")]
    Empty,
    /// The text is longer than [`MAX_NAME_BYTES`].
    #[display("a name has {_0} bytes, at most {MAX_NAME_BYTES} are allowed")]
    TooLong(#[error(not(source))] usize),
    /// The text has a character outside the allowed set.
    #[display("a name contains {_0:?}, only letters, digits, '.', '_', '-' and '/' are allowed")]
    Character(#[error(not(source))] char),
}

fn check(text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(Error::TooLong(text.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | '/');
    match text.chars().find(|&c| !allowed(c)) {
        Some(c) => Err(Error::Character(c)),
        None => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            derive_more::Display,
        )]
        #[serde(try_from = "CompactString", into = "CompactString")]
        pub struct $name(CompactString);

        impl $name {
            /// Makes a name from a constant or otherwise validated text.
            ///
            /// # Panics
            ///
            /// Panics if the text is not a valid name. Use [`FromStr`] for external input.
            pub fn new(text: &str) -> Self {
                text.parse().expect("the caller passes a valid name")
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                check(text)?;
                Ok(Self(CompactString::new(text)))
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = Error;

            fn try_from(text: CompactString) -> Result<Self, Error> {
                check(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for CompactString {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    )*};
}

names! {
    /// The name of an environment, such as `trial` or `production`.
    Environment;
    /// The name of a class of requests.
    Class;
    /// The name of a workspace.
    Workspace;
    /// The name of a pool: a model or a plain service.
    Pool;
    /// The name of a backend server.
    Backend;
    /// The name of an availability zone.
    Zone;
    /// The name of a host on which a daemon runs.
    Host;
}
