//! Tests of the server against misbehaving clients.

mod bounds;
mod endless;
mod server;
mod stop;
