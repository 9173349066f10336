//! The durable log and snapshots of a control process.
