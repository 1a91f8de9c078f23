//! The interface for operators.

mod member_report;
mod metrics_service;
mod operator_service;
mod owner_report;
mod process_report;
mod status_report;

pub(crate) use metrics_service::MetricsService;
pub(crate) use operator_service::OperatorService;
