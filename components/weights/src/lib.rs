//! Plans how new weights reach every sampler.
