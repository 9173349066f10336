//! What a process holds for its clients: connections, and the memory of requests and replies.
//!
//! All listeners of a process share one [`Ingress`]. It counts memory before it is taken, keeps a part
//! of it for small requests, and selects the connections to close when the process runs out of memory
//! or descriptors (docs/CLIENTS.md).

mod ingress;
mod limits;
mod order;
mod state;

pub use ingress::Ingress;
pub use ingress::Reservation;
pub use ingress::Slot;
pub use limits::Limits;
pub use order::Candidate;
pub use order::Pressure;
pub use order::to_close;
pub use state::Phase;
pub use state::State;
