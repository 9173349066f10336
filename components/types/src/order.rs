//! Orders that the leader of the control processes gives to agents.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Epoch;
use crate::ids::Incarnation;
use crate::ids::Model;
use crate::ids::Node;
use crate::ids::Version;

/// An order, fenced by the epoch of the leader who gives it.
///
/// The agent refuses an epoch lower than one it has seen. It does so itself because some
/// engines ignore the number, and a leader that was replaced could otherwise undo newer orders.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Order {
    /// The epoch of the leader who gives the order.
    pub epoch: Epoch,
    /// Counts the orders of the epoch, so that a repeated order is recognised.
    pub number: u64,
    /// The incarnation of the agent that it is meant for; every other one refuses it. A restarted
    /// agent has forgotten which orders of the epoch were overtaken, so a delayed older one that
    /// reaches it would be carried out.
    #[serde(default)]
    pub agent: Incarnation,
    /// What to do.
    pub action: OrderAction,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum OrderAction {
    /// Load a version of a model's weights.
    Load {
        /// The model.
        model: Model,
        /// The version.
        version: Version,
        /// Where to fetch it, best first: addresses of the weight store or of holders.
        sources: Vec<String>,
    },
    /// Change the endpoint's role, in the engine's words.
    Role(String),
    /// Take no new work from now on.
    Drain,
    /// Take new work again.
    Resume,
}

/// How an order went.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum OrderReply {
    /// The order is carried out; the endpoint itself confirmed it.
    Done,
    /// The order is being carried out; ask again by sending it again.
    Busy,
    /// The order was refused because a leader of this newer epoch gave orders.
    Fenced(Epoch),
    /// The endpoint could not carry it out, and still runs what it ran.
    Failed(String),
}

/// What a control process answers to the question for the highest epoch that it knows.
///
/// An agent that restarted asks before its first order. It needs answers from a majority of the
/// voters: its view of the members may still lack some, and a majority of those few it knows
/// could consist of processes that were cut off.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct EpochAnswer {
    /// The highest epoch that the process has voted in or heard of.
    pub epoch: Epoch,
    /// The voters of the log, as the process knows them.
    pub voters: Vec<Node>,
}
