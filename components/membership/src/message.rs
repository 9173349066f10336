//! What processes say to each other by UDP.

use std::sync::Arc;

use chicoryford_types::DataCentre;
use chicoryford_types::Incarnation;
use chicoryford_types::Member;
use chicoryford_types::Node;
use chicoryford_types::Standing;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// A datagram's content, before it is sealed.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Message {
    /// Who says it.
    pub from: Node,
    /// What is asked or answered.
    pub body: Body,
    /// News that ride along.
    pub updates: Vec<Update>,
}

/// What is asked or answered.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Body {
    /// Are you there?
    Ping {
        /// Chosen by the asker, repeated in the answer.
        seq: u64,
        /// Whom the asker believes to ask; another process that took over the address keeps
        /// silent, or the old one would seem alive.
        to: Node,
    },
    /// Ask somebody for me, because I got no answer.
    Relay {
        /// Chosen by the asker, repeated in the answer.
        seq: u64,
        /// Whom to ask.
        to: Node,
    },
    /// I am there, or the one that you had me ask is.
    Ack {
        /// The question's number.
        seq: u64,
    },
    /// I am there, but the one that you had me ask did not answer me either.
    Nack {
        /// The question's number.
        seq: u64,
    },
    /// Only the news matter.
    News,
    /// Tell me of everyone whose name follows this one, as many as fit.
    Page {
        /// The last name that the asker has; empty to begin.
        after: Node,
    },
    /// A piece of everyone; the news hold it.
    Piece {
        /// The last name in the piece, from where to go on; none at the end.
        last: Option<Node>,
    },
    /// The digests of all members that I see as present, by bucket of their names' hashes.
    Sync {
        /// One digest a bucket.
        digests: Vec<u32>,
    },
    /// What I hold of one bucket, because our digests differ.
    Bucket {
        /// How many buckets there are.
        of: u32,
        /// Which bucket this is.
        index: u32,
        /// Its members.
        held: Vec<Held>,
    },
    /// Tell me all you know of these.
    Want {
        /// Their names.
        nodes: Vec<Node>,
    },
}

/// How one member is held, in short.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Held {
    /// The member.
    pub node: Node,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The number of its last announcement.
    pub announced: u64,
    /// How it stands.
    pub standing: Standing,
}

/// A piece of news.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Update {
    /// A process announced this of itself.
    Alive(Arc<Member>),
    /// A process refuted an accusation; nothing else changed.
    Refuted {
        /// The process.
        node: Node,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The number of the refutation.
        announced: u64,
        /// The number of the last announcement with content. Who lacks that one cannot use the
        /// refutation and learns the whole by anti-entropy.
        content: u64,
    },
    /// A process is said to be suspect, dead or gone.
    Accused(Accusation),
    /// Nothing is heard any more from a whole data centre.
    Silent {
        /// The data centre.
        place: DataCentre,
        /// Who found it out.
        by: Node,
    },
}

/// A process is said to be suspect, dead or gone.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Accusation {
    /// The accused.
    pub node: Node,
    /// Its incarnation; a later one is not touched.
    pub incarnation: Incarnation,
    /// The last announcement that the accuser had; a later one refutes.
    pub announced: u64,
    /// What it is accused of.
    pub standing: Standing,
    /// Who found it out, to tell independent confirmations from repeats.
    pub by: Node,
}

impl Update {
    /// Gives the process that the news are about, or that found them out if they are about many.
    pub fn node(&self) -> &Node {
        match self {
            Self::Alive(member) => &member.node,
            Self::Refuted { node, .. } => node,
            Self::Accused(accusation) => &accusation.node,
            Self::Silent { by, .. } => by,
        }
    }

    /// Gives the size that the news take in a datagram, in bytes.
    pub fn size(&self) -> usize {
        rmp_serde::to_vec(self).expect("news are plain data").len()
    }
}

/// A datagram's content could not be read.
#[derive(Debug, Error)]
#[error("a datagram is malformed")]
pub struct MessageError(#[from] rmp_serde::decode::Error);

impl Message {
    /// Writes the message as MessagePack, fields by position, which is half the size of named
    /// ones. Processes of different releases that meet must agree on the positions, so fields are
    /// only ever added at the end.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("messages are plain data")
    }

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// [`MessageError`] if the bytes are not one.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        Ok(rmp_serde::from_slice(bytes)?)
    }
}
