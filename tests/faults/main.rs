//! The brief's promises under the brief's faults, with real processes over loopback: the daemons
//! and the operators' client of this repository, and stand-ins for everything else. Each test is
//! judged by what callers, trainers, operators, engines and services recorded themselves.
//! docs/FAULTS.md lists which test proves what.

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
