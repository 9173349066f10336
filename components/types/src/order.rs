//! Orders from the leader of the control processes to agents.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Epoch;
use crate::ids::Incarnation;
use crate::ids::Model;
use crate::ids::Node;
use crate::ids::Version;

/// An order, fenced by the epoch of the leader that issues it.
///
/// The agent refuses an order whose epoch is lower than one that it has seen. It checks this itself
/// because some engines ignore the epoch, and a replaced leader could otherwise undo newer orders.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Order {
    /// The epoch of the leader that issues the order.
    pub epoch: Epoch,
    /// The number of the order within the epoch, so that a repeated order is recognized.
    pub number: u64,
    /// The incarnation of the agent that the order is intended for; any other one refuses it. A
    /// restarted agent has no record of which orders of the epoch were superseded, so it would
    /// otherwise carry out a delayed older one.
    #[serde(default)]
    pub agent: Incarnation,
    /// What to do.
    pub action: OrderAction,
}

/// The action that an order requests.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum OrderAction {
    /// Load a version of a model's weights.
    Load {
        /// The model.
        model: Model,
        /// The version.
        version: Version,
        /// Where to fetch it, best source first: addresses of the weight store or of endpoints that
        /// have the version.
        sources: Vec<String>,
    },
    /// Change the endpoint's role. The name of the role is defined by the engine.
    Role(String),
    /// Accept no new work from now on.
    Drain,
    /// Accept new work again.
    Resume,
}

/// An agent's reply to an order.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum OrderReply {
    /// The order was carried out, as confirmed by the endpoint itself.
    Done,
    /// The order is being carried out. Send it again to query the result.
    Busy,
    /// The order was refused because a leader of this newer epoch has issued orders.
    Fenced(Epoch),
    /// The endpoint could not carry out the order, and its state is unchanged.
    Failed(String),
}

/// The answer of a control process to a query for the highest epoch that it has seen.
///
/// A restarted agent sends the query before it accepts its first order. It needs answers from a
/// majority of the voters listed here rather than of the members that it has discovered: its view
/// may still be incomplete, and a majority of that could consist of processes that are partitioned
/// from the rest.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct EpochAnswer {
    /// The highest epoch that the process has voted in or received.
    pub epoch: Epoch,
    /// The voters of the control log, in the view of the process.
    pub voters: Vec<Node>,
}
