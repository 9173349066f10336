//! The replicated log's decisions: elections, leases, appending, membership.
