//! Tests of the client against a fake upstream.

mod control;
mod dispatch;
mod fake_upstream;
