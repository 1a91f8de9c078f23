//! Tests of links and datagrams.

mod authentication;
mod cancellations;
mod datagrams;
mod forwarder;
mod link;
mod link_pair;
mod raw_peer;
mod rollouts;
mod silence;
