//! The agent role: the one small process beside an endpoint.
