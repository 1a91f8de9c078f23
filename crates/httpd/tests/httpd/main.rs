//! Tests of the server against misbehaving clients.

mod bounds;
mod server;
mod stop;
