//! Names and numbers that identify things, each a type of its own so that they cannot be mixed up.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// Borrows the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }
    };
}

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Gives the number that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

name! {
    /// Names a process of the system; unique over the deployment, set in the process's settings.
    Node
}
name! {
    /// Names a customer's area of work, to which a template applies.
    Workspace
}
name! {
    /// Names a model engine or a plain service that the system routes to.
    Endpoint
}
name! {
    /// Names a model (or adapter) that samplers serve, or the service that a plain endpoint offers.
    Model
}
name! {
    /// Names a data centre.
    DataCentre
}
name! {
    /// Names a region, which holds several data centres.
    Region
}
name! {
    /// Names the holder of a token: a caller, a trainer, an operator or a process.
    Principal
}
name! {
    /// Identifies a change that an operator submits, so that a resend gets the first answer.
    ChangeId
}
name! {
    /// Identifies a planned stop.
    StopId
}
name! {
    /// Identifies a call that may not be repeated. It reads `<issued, Unix ms>.<anything>`, so
    /// that a key older than the window of docs/API.md can be refused instead of forgotten.
    IdempotencyKey
}

number! {
    /// Counts elections of the control processes; it fences orders and leases.
    Epoch, u64
}
number! {
    /// Counts accepted changes of configuration.
    Revision, u64
}
number! {
    /// Counts the weights that a trainer published for a model; greater is newer.
    Version, u64
}
number! {
    /// Counts the tries of one request; each frame carries it, so that late frames are recognised.
    Attempt, u32
}
number! {
    /// Counts a trainer's steps within its workspace.
    Step, u64
}
number! {
    /// Counts the prompts of a step; a group holds the samples of one prompt.
    Group, u32
}
number! {
    /// Counts the samples within their group.
    SampleNo, u32
}
number! {
    /// Counts the batches handed to a trainer.
    Cursor, u64
}
number! {
    /// Counts the starts of a process, as Unix milliseconds of the start, so it grows over restarts.
    Incarnation, u64
}
number! {
    /// Hash of a request's content, by which requests that crash endpoints are recognised.
    Fingerprint, u64
}

/// Identifies one request over its whole life; drawn at random by the entry that took it.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct RequestId(pub u64, pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}
