//! Who is there: announcements, failure detection, the view of members.

pub mod handle;

pub use handle::Handle;
pub use handle::SERVICE;
