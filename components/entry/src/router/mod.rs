//! Chooses endpoints: one duty owns the decision, HTTP workers ask it by a bounded ring.

pub mod book;
pub mod budget;
pub mod duty;
pub mod handle;
pub mod limit;
pub mod queue;
pub mod seat;

pub use book::Book;
pub use handle::Entered;
pub use handle::Router;
pub use handle::SERVICE;
pub use handle::Ticket;
pub use seat::Pick;
pub use seat::Verdict;
pub use seat::Want;
