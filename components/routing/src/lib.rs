//! Chooses an endpoint for a request.
