//! Measures slopes and works out docs/CAPACITY.md; not shipped.
