//! Tests of the client against a fake upstream.

mod control;
mod cut_heads;
mod dispatch;
mod ended;
mod endless;
mod fake_upstream;
mod invalid_status;
mod replayed;
mod statements;
