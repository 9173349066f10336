//! Tests of the service's guarantees under faults, with real processes over loopback: the daemons
//! and the operators' client of this repository, and stand-ins for everything else. Each test
//! checks the records that callers, trainers, operators, engines and services wrote themselves.
//! docs/FAULTS.md lists which test covers which guarantee.

mod calls;
mod changes;
mod clients;
mod crashes;
mod freezes;
mod operator;
mod pairs;
mod replicas;
mod restarts;
mod standins;
mod steps;
mod stops;
mod system;
