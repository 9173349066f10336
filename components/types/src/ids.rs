//! Newtypes for names and numbers, so that different identifiers cannot be confused.

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
            /// Returns the name as a string slice.
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
            /// Returns the next number.
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
    /// The name of a process, which is set in its settings and unique within the deployment.
    Node
}
name! {
    /// The name of a workspace: the unit of a customer's work that a template applies to.
    Workspace
}
name! {
    /// The name of a model engine or plain service that requests are routed to.
    Endpoint
}
name! {
    /// The name of a model (or adapter) that engines serve, or of the service of a plain endpoint.
    Model
}
name! {
    /// The name of a data centre.
    DataCentre
}
name! {
    /// The name of a region, which contains several data centres.
    Region
}
name! {
    /// The name of a token's holder: a caller, a trainer, an operator or a process.
    Principal
}
name! {
    /// The id of an operator's change, so that a resend gets the answer to the first submission.
    ChangeId
}
name! {
    /// The id of a planned stop.
    StopId
}
name! {
    /// The idempotency key of a call that may not run more than once. Its form is `<issued, Unix
    /// ms>.<anything>`, so that a key older than the window of docs/API.md is refused rather than
    /// treated as new.
    IdempotencyKey
}

number! {
    /// The number of an election of the control processes, which fences orders and leases.
    Epoch, u64
}
number! {
    /// The number of an accepted change of configuration.
    Revision, u64
}
number! {
    /// The version of a model's weights, as published by a trainer; greater is newer.
    Version, u64
}
number! {
    /// The number of an attempt of a request. Each frame carries it, so that late ones are
    /// detected.
    Attempt, u32
}
number! {
    /// The number of a trainer's step within its workspace.
    Step, u64
}
number! {
    /// The number of a group within its step. A group contains the samples of one prompt.
    Group, u32
}
number! {
    /// The number of a sample within its group.
    SampleNo, u32
}
number! {
    /// The number of a batch delivered to a trainer.
    Cursor, u64
}
number! {
    /// The start time of a process in Unix milliseconds, so that it increases with each restart.
    Incarnation, u64
}
number! {
    /// The hash of a request's content, which identifies requests that crash endpoints.
    Fingerprint, u64
}

/// The id of a request over all its attempts, generated at random by the entry that received it.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct RequestId(pub u64, pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}
