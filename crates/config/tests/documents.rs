//! Checks the error messages of invalid documents and the choice of routes.

use config::KeyHash;
use config::Plans;
use config::Workspaces;

const PLANS: &str = r#"{
  "services": {
    "ordering": {"shards": 8, "routes": [
      {"prefix": "/orders", "methods": ["GET", "POST"], "idempotent": false},
      {"prefix": "/orders", "methods": ["PUT"], "idempotent": true},
      {"prefix": "/", "methods": ["GET"], "idempotent": true, "open": true}
    ]}
  },
  "plans": {
    "gold": {"burst_requests": 10, "rate_requests_per_second": 5, "services": ["ordering"], "weight": 1}
  }
}"#;

/// Replacements, each of which makes the valid document invalid.
const BAD_PLANS: &[(&str, &str)] = &[
    (r#""weight": 1"#, r#""weight": 1, "colour": 3"#),
    (r#", "weight": 1"#, ""),
    (r#""weight": 1"#, r#""weight": "heavy""#),
    (r#""weight": 1"#, r#""weight": -1"#),
    (r#""weight": 1"#, r#""weight": 0"#),
    (r#""weight": 1"#, r#""weight": 10001"#),
    (r#""burst_requests": 10"#, r#""burst_requests": 0"#),
    (r#""burst_requests": 10"#, r#""burst_requests": 100000001"#),
    (r#"_second": 5"#, r#"_second": 0"#),
    (r#"_second": 5"#, r#"_second": 10000001"#),
    (r#"["ordering"]"#, r#"["batch"]"#),
    (r#"["ordering"]"#, r#"["ordering", "ordering"]"#),
    (r#""gold""#, r#""""#),
    (r#""gold""#, r#""go:ld""#),
    (r#""gold""#, r#""go ld""#),
    (r#""gold""#, r#""..""#),
    (
        r#""gold": {"#,
        r#""gold": {"burst_requests": 1, "rate_requests_per_second": 1, "services": [], "weight": 1},
    "gold": {"#,
    ),
    (r#""ordering": {"#, r#""order:ing": {"#),
    (
        r#""ordering": {"#,
        r#""an-extremely-long-name-of-a-service-which-nobody-can-remember-at-all": {"#,
    ),
    (r#""shards": 8"#, r#""shards": 12"#),
    (r#""shards": 8"#, r#""shards": 131072"#),
    (r#""prefix": "/""#, r#""prefix": "all""#),
    (r#""prefix": "/""#, r#""prefix": "/a?b""#),
    (r#"["PUT"]"#, "[]"),
    (r#"["PUT"]"#, r#"["put"]"#),
    (r#"["PUT"]"#, r#"["PUT", "PUT"]"#),
    (r#"["PUT"]"#, r#"["PUT", "GET"]"#),
    (
        r#""idempotent": true, "open": true"#,
        r#""idempotent": "yes""#,
    ),
    ("\"plans\": {", "\"plans\": [{"),
    ("\"services\": {", "\"services\" {"),
    ("  }\n}", "  }\n} 1"),
    ("  }\n}", "  }"),
];

fn refusal(text: &str) -> String {
    match Plans::parse(text) {
        Ok(_) => "accepted".to_owned(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn plans_are_refused_with_path_and_remedy() {
    let lines: Vec<String> = BAD_PLANS
        .iter()
        .map(|(good, bad)| {
            assert!(PLANS.contains(good), "{good}");
            format!("{bad}\n    {}", refusal(&PLANS.replacen(good, bad, 1)))
        })
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn a_service_needs_a_route() {
    let start = PLANS.find("[\n").expect("the document has routes");
    let end = PLANS.find("]}\n").expect("the document has routes");
    let text = format!("{}[{}", &PLANS[..start], &PLANS[end..]);
    insta::assert_snapshot!(refusal(&text));
}

#[test]
fn workspaces_are_refused_with_path_and_remedy() {
    let plans = Plans::parse(PLANS).expect("the plans are valid");
    let documents = [
        r#"{"workspaces": {"acme": {"plan": "silver"}}}"#,
        r#"{"workspaces": {"acme": {}}}"#,
        r#"{"workspaces": {"acme": {"plan": "gold", "rate": 3}}}"#,
        r#"{"workspaces": {"ac:me": {"plan": "gold"}}}"#,
        r#"{"workspaces": {"": {"plan": "gold"}}}"#,
        r#"{"workspaces": {"acme": {"plan": "gold"}, "acme": {"plan": "gold"}}}"#,
        r#"{"workspaces": {"acme": {"plan": 3}}}"#,
        r#"{}"#,
        "",
    ];
    let lines = documents.map(|text| {
        let error = Workspaces::parse(text, &plans).expect_err("the document is invalid");
        format!("{text}\n    {error}")
    });
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn valid_documents_survive_a_round_trip() {
    let plans = Plans::parse(PLANS).expect("the plans are valid");
    let text = serde_json::to_string(&plans).expect("plans are JSON");
    assert_eq!(Plans::parse(&text), Ok(plans.clone()));
    let workspaces = Workspaces::parse(r#"{"workspaces": {"acme": {"plan": "gold"}}}"#, &plans);
    assert!(workspaces.is_ok());
}

#[test]
fn the_longest_prefix_that_accepts_the_method_applies() {
    let plans = Plans::parse(PLANS).expect("the plans are valid");
    let service = &plans.services["ordering"];
    let routes =
        [("GET", "/orders/3"), ("PUT", "/orders"), ("GET", "/stock")].map(|(method, path)| {
            service
                .route(method, path)
                .map(|route| route.prefix.as_str())
        });
    assert_eq!(routes, [Some("/orders"), Some("/orders"), Some("/")]);
    assert_eq!(service.route("POST", "/stock"), None);
}

#[test]
fn only_hashes_of_keys_are_well_formed() {
    let hash = KeyHash::of("secret");
    assert!(hash.is_well_formed());
    assert!(hash.matches(&KeyHash::of("secret")));
    assert!(!hash.matches(&KeyHash::of("secrets")));
    let plain: KeyHash = serde_json::from_str("\"secret\"").expect("any text is read");
    assert!(!plain.is_well_formed());
}
