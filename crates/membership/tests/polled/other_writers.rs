//! Check-ins of other writers.

use membership::Announcement;
use membership::CheckInAnswer;
use membership::CheckInRejection;
use membership::Event;
use membership::OperatorDeclarations;

use crate::process::Process;
use crate::process::manifest;

/// Returns an announcement that names a service that no manifest declares.
fn of_undeclared_service(process: &Process, instance: u64) -> Announcement {
    Announcement {
        address: "10.0.0.9:9".parse().unwrap(),
        service: "not-declared".to_owned(),
        ..process.announcement(instance)
    }
}

fn assert_not_granted(answer: &CheckInAnswer) {
    assert_eq!((answer.granted.len(), answer.hold), (0, None));
}

/// Guards against a second owner: a check-in of an undeclared service took the place of the upstream, and its units went to
/// others while it held them.
#[test]
fn a_check_in_that_names_an_undeclared_service_changes_nothing() {
    let mut process = Process::new();
    let granted = process.check_in_until_granted(5, 1);
    let serving = process.agent.serving_units().clone();
    for instance in [5, 9] {
        let announcement = of_undeclared_service(&process, instance);
        let answer = process.check_in_as(announcement, 50, Vec::new());
        assert_not_granted(&answer);
        assert_eq!(*process.agent.serving_units(), serving);
        let member = &process.agent.fleet().members()["vm-1"];
        assert_eq!(member.join.service, "orders");
    }
    assert_eq!(process.check_in(5, 10, granted.clone()).granted, granted);
}

/// Guards against an upstream that never gets grants, because another writer checked in first with a later start time.
#[test]
fn an_upstream_follows_a_check_in_that_names_an_undeclared_service() {
    let mut process = Process::new();
    let announcement = of_undeclared_service(&process, 9);
    assert_not_granted(&process.check_in_as(announcement, 1, Vec::new()));
    assert!(process.agent.fleet().members().is_empty());
    process.check_in_until_granted(5, 1);
}

/// Guards against a cold upstream that gets its full load, because a check-in of a former process stated that it is warm.
#[test]
fn only_accepted_check_ins_report_the_state_of_the_upstream() {
    let mut process = Process::new();
    process.check_in(5, 2, Vec::new());
    let undeclared = of_undeclared_service(&process, 9);
    process.check_in_as(undeclared, 1, Vec::new());
    process.check_in(4, 100, Vec::new());
    process.check_in(5, 1, Vec::new());
    process.check_in(6, 1, Vec::new());
    assert_eq!(process.recorded_instances, ["instance-5", "instance-6"]);
}

/// Guards against an upstream that can't announce its stop because a manifest no longer declares its service.
#[test]
fn an_upstream_whose_service_is_no_longer_declared_checks_in_further() {
    let mut process = Process::new();
    process.check_in_until_granted(5, 1);
    let mut without_service = manifest();
    without_service.revision = 2;
    without_service.plans.services.clear();
    process.handle(Event::Declared(OperatorDeclarations {
        manifest: Some(Box::new(without_service)),
        ..OperatorDeclarations::default()
    }));
    assert_eq!(process.check_in(5, 10, Vec::new()).rejection, None);
    let answer = process.check_in(6, 1, Vec::new());
    assert_eq!(answer.rejection, Some(CheckInRejection::UndeclaredService));
}

/// Guards against an upstream that never gets grants, because another writer checked in before the first manifest was known.
#[test]
fn an_upstream_replaces_one_that_was_accepted_before_the_first_manifest() {
    let mut process = Process::before_manifest();
    let announcement = of_undeclared_service(&process, 9);
    process.check_in_as(announcement, 1, Vec::new());
    process.declare_manifest();
    process.check_in_until_granted(5, 1);
}
