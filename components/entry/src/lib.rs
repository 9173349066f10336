//! The entry role: callers, trainers, routing, streams.
