//! Admits, limits, queues, retries and hedges requests.
