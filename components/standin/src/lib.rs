//! Stand-ins of engines, services, trainers, scorers and the weight store; not shipped.
