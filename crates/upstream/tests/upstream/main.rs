//! Tests of the client against a fake upstream.

mod control;
mod cut_heads;
mod dispatch;
mod ended;
mod endless;
mod fake_upstream;
mod replayed;
mod statements;
