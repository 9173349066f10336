//! Carries accepted configuration to every process and counts who has it.

pub mod handle;

pub use handle::Handle;
pub use handle::SERVICE;
