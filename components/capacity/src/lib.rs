//! Measures slopes and works out docs/CAPACITY.md; not shipped.
//!
//! `measure` runs real processes with small stand-ins, and the decision code in-process, and
//! writes what it saw into docs/capacity/slopes.json. `page` turns that file into the page and its
//! plots. `check` fails if the committed page or a plot is not what the data file gives, so that
//! page and data cannot drift apart.

pub mod calculator;
pub mod data;
pub mod decisions;
pub mod files;
pub mod fit;
pub mod live;
pub mod page;
pub mod plots;
pub mod rows;
pub mod target;

pub use data::Data;
pub use files::Files;
