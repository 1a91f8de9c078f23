//! Life cycle of a request.

use std::collections::BTreeSet;
use std::time::Duration;

use policy::AdmittedRequest;
use policy::ArrivedRequest;
use policy::DispatchedRequest;
use policy::Outcome;
use policy::Reason;
use policy::ReceivedRequest;
use policy::RequestHead;
use policy::Resolution;
use policy::Statement;

fn head(idempotent: bool) -> RequestHead {
    RequestHead {
        deadline: Duration::from_secs(5),
        id: "r1".to_owned(),
        idempotency_key: None,
        idempotent,
        key: Some("shop-1".to_owned()),
        max_attempts: None,
        method: "POST".to_owned(),
        path: "/orders".to_owned(),
        service: "ordering".to_owned(),
    }
}

fn received(idempotent: bool) -> ReceivedRequest {
    ReceivedRequest::new(head(idempotent))
}

fn admitted(idempotent: bool) -> AdmittedRequest {
    received(idempotent)
        .authenticate(Some("north".to_owned()))
        .admit()
}

fn dispatched(idempotent: bool) -> DispatchedRequest {
    admitted(idempotent).dispatch("vm-1".to_owned())
}

fn not_run(request: &str) -> Statement {
    ArrivedRequest::new(request.to_owned()).refuse(Reason::Shed, None)
}

fn unknown(request: &str) -> Statement {
    ArrivedRequest::new(request.to_owned())
        .start()
        .refuse(Reason::UpstreamCrashed)
}

fn vm(index: u32) -> String {
    format!("vm-{index}")
}

fn is_not_run(resolution: &Resolution) -> bool {
    matches!(resolution, Resolution::NotRun(_))
}

fn expect_open(resolution: Resolution) -> DispatchedRequest {
    match resolution {
        Resolution::NotRun(_) => panic!("the request may have run"),
        Resolution::Open(dispatched) => dispatched,
    }
}

#[test]
fn refusals_of_each_stage() {
    let retry_after = Some(Duration::from_millis(250));
    let refusals = [
        received(true).refuse(Reason::Unauthenticated, None),
        received(true)
            .authenticate(None)
            .refuse(Reason::RateExceeded, retry_after),
        admitted(true).refuse(Reason::OwnerUnreachable, retry_after),
        dispatched(true).refuse(Reason::UpstreamSilent),
    ];
    insta::assert_json_snapshot!(refusals);
}

#[test]
fn statement_of_the_home_makes_a_dispatched_request_not_run() {
    assert!(is_not_run(
        &dispatched(false).record_statement(&vm(1), &not_run("r1"))
    ));
    let lost = expect_open(dispatched(false).record_statement(&vm(1), &unknown("r1")));
    assert_eq!(
        lost.refuse(Reason::UpstreamCrashed).outcome(),
        Outcome::Unknown
    );
}

#[test]
fn statements_about_another_request_or_from_another_home_change_nothing() {
    let request = expect_open(dispatched(false).record_statement(&vm(1), &not_run("r2")));
    let request = expect_open(request.record_statement(&vm(2), &not_run("r1")));
    assert_eq!(request.open_homes(), &BTreeSet::from([vm(1)]));
}

#[test]
fn hedged_request_is_not_run_only_if_every_home_states_so() {
    let hedged = || {
        let mut request = dispatched(true);
        assert!(request.add_home(vm(2)));
        request
    };
    let request = expect_open(hedged().record_statement(&vm(1), &not_run("r1")));
    assert!(is_not_run(
        &request.record_statement(&vm(2), &not_run("r1"))
    ));
    let request = expect_open(hedged().record_statement(&vm(1), &unknown("r1")));
    expect_open(request.record_statement(&vm(2), &not_run("r1")));
    let mut request = hedged();
    request.mark_lost(&vm(1));
    expect_open(request.record_statement(&vm(2), &not_run("r1")));
}

#[test]
fn only_idempotent_requests_go_to_a_second_home() {
    let mut request = dispatched(false);
    assert!(!request.add_home(vm(2)));
    assert_eq!(request.open_homes().len(), 1);
    let mut request = dispatched(true);
    request.add_home(vm(2));
    let answered = request.answer(vm(2));
    assert_eq!(
        (answered.home(), answered.homes_to_cancel()),
        (&vm(2), &BTreeSet::from([vm(1)]))
    );
}

#[test]
fn home_uses_an_attempt_until_it_states_that_the_request_did_not_run() {
    let hedged = || {
        let limited = RequestHead {
            max_attempts: Some(2),
            ..head(true)
        };
        let admitted = ReceivedRequest::new(limited).authenticate(None).admit();
        let mut request = admitted.dispatch(vm(1));
        assert!(request.add_home(vm(2)));
        assert!(!request.add_home(vm(3)));
        assert_eq!(request.open_homes(), &BTreeSet::from([vm(1), vm(2)]));
        request
    };
    let mut request = expect_open(hedged().record_statement(&vm(1), &unknown("r1")));
    assert!(!request.add_home(vm(3)));
    let mut request = expect_open(request.record_statement(&vm(2), &not_run("r1")));
    assert!(request.add_home(vm(3)));
    assert!(!request.has_attempts_left());
    let mut request = hedged();
    request.mark_lost(&vm(1));
    assert!(!request.add_home(vm(3)));
    let mut request = expect_open(hedged().record_statement(&vm(2), &not_run("r1")));
    assert!(request.has_attempts_left());
    assert!(request.add_home(vm(3)));
    assert!(!request.add_home(vm(4)));
}

#[test]
fn started_request_is_not_run_only_if_the_upstream_states_so() {
    let started = || ArrivedRequest::new("r1".to_owned()).start();
    let outcomes = [
        started().refuse(Reason::UpstreamSilent).outcome(),
        started().refuse_not_run(Reason::Shed, None).outcome(),
        started()
            .confirm_not_run()
            .refuse(Reason::DeadlinePassed, None)
            .outcome(),
    ];
    assert_eq!(
        outcomes,
        [Outcome::Unknown, Outcome::NotRun, Outcome::NotRun]
    );
}

#[test]
fn names_of_reasons_are_stable() {
    let names: Vec<_> = Reason::ALL.iter().map(|reason| reason.as_str()).collect();
    for name in &names {
        let reason: Reason = name.parse().expect("the name is known");
        assert_eq!(
            serde_json::to_string(&reason).expect("a name is text"),
            format!("\"{name}\"")
        );
    }
    assert!("unheard-of".parse::<Reason>().is_err());
    insta::assert_snapshot!(names.join("\n"));
}
