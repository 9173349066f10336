//! Admits requests and chooses endpoints: one duty owns both decisions
//! (`chicoryford_admission`, `chicoryford_routing`), HTTP workers ask it by a bounded ring.

pub mod book;
pub mod dump;
pub mod duty;
pub mod handle;
pub mod overlay;
pub mod place;
pub mod room;
pub mod seat;

pub use book::Book;
pub use handle::Entered;
pub use handle::Hedged;
pub use handle::Router;
pub use handle::SERVICE;
pub use handle::Ticket;
pub use seat::Again;
pub use seat::Late;
pub use seat::Pick;
pub use seat::Verdict;
pub use seat::Want;
