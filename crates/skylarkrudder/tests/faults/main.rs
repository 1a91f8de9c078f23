//! Real processes under load and faults. Every trace is checked for violations of the guarantees.

mod balance;
mod configuration;
mod freezes;
mod log_faults;
mod losses;
mod network_cuts;
mod scenario;
mod stops;
mod upstream_faults;
