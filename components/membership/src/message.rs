//! Gossip messages between processes.

use std::sync::Arc;

use chicoryford_types::DataCentre;
use chicoryford_types::Incarnation;
use chicoryford_types::Member;
use chicoryford_types::Node;
use chicoryford_types::Standing;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// The content of a datagram, without its authentication code.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Message {
    /// The sender.
    pub from: Node,
    /// The request or reply.
    pub body: Body,
    /// Piggybacked gossip updates.
    pub updates: Vec<Update>,
}

/// A request or reply.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Body {
    /// Probes a member.
    Ping {
        /// The sequence number, chosen by the requester and repeated in the reply.
        seq: u64,
        /// The member that the sender intends to probe. A process that has taken over the address
        /// of another one does not reply, because the old process would otherwise appear to be
        /// alive.
        to: Node,
    },
    /// Requests an indirect probe of a member that did not reply directly.
    #[serde(rename = "Relay")]
    PingRequest {
        /// The sequence number, chosen by the requester and repeated in the reply.
        seq: u64,
        /// The member to probe.
        to: Node,
    },
    /// Confirms that the sender, or the member that it was asked to probe, is alive.
    Ack {
        /// The sequence number of the request.
        seq: u64,
    },
    /// Reports that the member that the sender was asked to probe did not reply.
    Nack {
        /// The sequence number of the request.
        seq: u64,
    },
    /// Contains only updates.
    #[serde(rename = "News")]
    Gossip,
    /// Requests the members whose names follow this one, as many as fit.
    Page {
        /// The last name that the requester has received; empty to begin.
        after: Node,
    },
    /// The reply to a `Page`. The members are in the updates.
    #[serde(rename = "Piece")]
    PageReply {
        /// The last name in this page, from which to continue; `None` on the last page.
        last: Option<Node>,
    },
    /// The digests of all members that are present in the sender's view, by bucket of the hash of
    /// their names.
    #[serde(rename = "Sync")]
    Digests {
        /// One digest per bucket.
        digests: Vec<u32>,
    },
    /// The sender's members of one bucket, because its digest differs.
    Bucket {
        /// The number of buckets.
        of: u32,
        /// The index of the bucket.
        index: u32,
        /// Summaries of its members.
        members: Vec<MemberSummary>,
    },
    /// Requests everything known about some members.
    #[serde(rename = "Want")]
    Fetch {
        /// Their names.
        nodes: Vec<Node>,
    },
}

/// Summary of the state of one member in the sender's view.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct MemberSummary {
    /// The member.
    pub node: Node,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The sequence number of its last announcement.
    pub announced: u64,
    /// Its standing.
    pub standing: Standing,
}

/// A gossip update.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Update {
    /// A process announced its own state.
    Alive(Arc<Member>),
    /// A process refuted a report about itself; nothing else changed.
    Refuted {
        /// The process.
        node: Node,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The sequence number of the refutation.
        announced: u64,
        /// The sequence number of the last announcement with content. A receiver without that
        /// announcement ignores the refutation and gets the complete state by anti-entropy.
        content: u64,
    },
    /// A process is reported as suspect, dead or departed.
    #[serde(rename = "Accused")]
    Standing(StandingReport),
    /// No member of a data centre responds any more.
    Silent {
        /// The data centre.
        data_centre: DataCentre,
        /// The process that detected it.
        reporter: Node,
    },
}

/// A report that a process is suspect, dead or departed.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StandingReport {
    /// The process that is reported.
    pub node: Node,
    /// Its incarnation. Later incarnations are not affected.
    pub incarnation: Incarnation,
    /// The sequence number of the last announcement that the reporter had received. A later one
    /// refutes the report.
    pub announced: u64,
    /// The reported standing.
    pub standing: Standing,
    /// The process that detected it. Distinguishes independent confirmations from repetitions.
    pub reporter: Node,
}

impl Update {
    /// Returns the process that the update is about, or its reporter if it is about a data centre.
    pub fn node(&self) -> &Node {
        match self {
            Self::Alive(member) => &member.node,
            Self::Refuted { node, .. } => node,
            Self::Standing(report) => &report.node,
            Self::Silent { reporter, .. } => reporter,
        }
    }

    /// Returns the encoded size of the update in bytes.
    pub fn size(&self) -> usize {
        rmp_serde::to_vec(self).expect("updates are plain data").len()
    }
}

/// The content of a datagram cannot be decoded.
#[derive(Debug, Error)]
#[error("malformed datagram")]
pub struct MessageError(#[from] rmp_serde::decode::Error);

impl Message {
    /// Encodes the message as MessagePack with fields by position, which takes half the size of
    /// named fields. Different releases that communicate must agree on the positions, so fields may
    /// only be added at the end.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("messages are plain data")
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// [`MessageError`] if the bytes are not a message.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        Ok(rmp_serde::from_slice(bytes)?)
    }
}
