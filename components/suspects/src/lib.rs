//! Finds the requests that crash endpoints.
