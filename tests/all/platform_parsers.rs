//! Input from outside is decoded without a panic, whatever it holds.

use catkinmast_adapter::UsersPlatform;
use catkinmast_dispatch::StreamEvent;
use catkinmast_serve::{Platform, StoreAnswer, StoreCall};
use http::{HeaderMap, HeaderName, HeaderValue, Request};
use proptest::prelude::*;
use serde_json::{Value, json};

/// Returns a submission as a trainer sends it.
fn submission() -> Value {
    json!({
        "step": 7, "model": "m", "minVersion": 6, "targetGroups": 12,
        "items": [{
            "id": "i0", "path": "/r/1", "headers": { "X-Catkinmast-Length-Hint": "120" },
            "body": "q83vEjRWeJA=", "tokens": 940, "group": "g1",
            "scorerUrl": { "id": "s0", "host": "h.example", "path": "/s", "body": "3q2+7w==" },
        }],
    })
}

fn target() -> Value {
    json!({
        "service": "s", "address": "10.1.0.10:80", "zone": "z", "version": "1", "slots": 4,
        "state": "ready", "born": 1_764_720_000_000_u64, "coldLeftMs": 0, "seq": 3, "stage": "hybrid",
        "models": [{ "name": "m", "version": 2, "adapters": [] }],
    })
}

/// Generates JSON values of every type that a field could have.
fn any_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,12}".prop_map(Value::from),
        Just(json!([])),
        Just(json!({})),
        Just(json!([{ "id": "i0" }])),
    ]
}

/// Replaces the value with index `number` in depth-first order, if the tree has that many.
fn replace(tree: &mut Value, number: &mut usize, value: &Value) {
    let children: Vec<&mut Value> = match tree {
        Value::Object(fields) => fields.values_mut().collect(),
        Value::Array(items) => items.iter_mut().collect(),
        _ => return,
    };
    for child in children {
        if *number == 0 {
            *child = value.clone();
            *number = usize::MAX;
            return;
        }
        *number -= 1;
        replace(child, number, value);
        if *number == usize::MAX {
            return;
        }
    }
}

/// Returns a predicate for values of a JSON type other than that of `value`.
fn of_another_type(value: &Value) -> impl Fn(&Value) -> bool {
    let kind = std::mem::discriminant(value);
    move |other| std::mem::discriminant(other) != kind
}

fn decode_with_all_parsers(bytes: &[u8]) {
    // Whether decoding succeeds does not matter here, only that it does not panic.
    drop(UsersPlatform::submission(bytes));
    drop(UsersPlatform::target_entry("servers/t", bytes));
    drop(UsersPlatform::engine_report(bytes));
    for key in ["op/config", "op/version/m", "op/retire/n", "op/else"] {
        drop(UsersPlatform::operator_update(key, bytes));
    }
    let range = StoreCall::Range { after: String::new(), may_be_old: false, prefix: "p".into() };
    let watch = StoreCall::Watch { after: 1, prefix: "p".into(), wait_ms: 10 };
    let get = StoreCall::Get { key: "k".into(), may_be_old: false };
    for call in [range, watch, get, StoreCall::LeaseOpen { ttl_ms: 1_000 }] {
        for status in [200, 404, 410, 412, 429, 503] {
            drop(UsersPlatform::store_answer(&call, status, bytes));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn random_bytes_are_decoded_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        decode_with_all_parsers(&bytes);
    }

    #[test]
    fn a_field_of_any_type_is_decoded_without_panic(number in 0..24_usize, value in any_value()) {
        for mut tree in [submission(), target(), json!({ "items": [target()], "asOf": 4 })] {
            replace(&mut tree, &mut number.clone(), &value);
            decode_with_all_parsers(tree.to_string().as_bytes());
        }
    }

    // Guards against work sent to something that is not a worker. Another program writes under the
    // workers' prefix, with a field missing or of another type, or with an unknown state; a default
    // for the missing field would make a target of it.
    #[test]
    fn an_entry_with_a_field_missing_or_of_another_type_is_refused(
        field in prop::sample::select(vec![
            "address", "born", "coldLeftMs", "seq", "service", "slots", "state", "version", "zone",
        ]),
        value in any_value(),
        state in "[a-z]{0,9}",
    ) {
        let valid = target();
        prop_assert!(UsersPlatform::target_entry("servers/t", valid.to_string().as_bytes()).is_ok());
        let mut without = valid.clone();
        without.as_object_mut().expect("an object").remove(field);
        let mut other_type = valid.clone();
        other_type[field] = value.clone();
        let mut other_state = valid.clone();
        other_state["state"] = json!(state);

        let decode = |entry: &Value| {
            UsersPlatform::target_entry("servers/t", entry.to_string().as_bytes())
        };

        // Workers with earlier software do not write their start time.
        prop_assert_eq!(decode(&without).is_err(), field != "born", "{}", field);
        if of_another_type(&valid[field])(&value) {
            prop_assert!(decode(&other_type).is_err(), "{field}: {value}");
        }
        let known = ["ready", "draining"].contains(&state.as_str());
        prop_assert_eq!(decode(&other_state).is_ok(), known, "{}", state);
    }

    #[test]
    fn headers_of_any_text_are_decoded_without_panic(
        text in "[ -~]{0,40}",
        path in "/[-a-z0-9/?=&.%]{0,40}",
    ) {
        let mut headers = HeaderMap::new();
        for name in ["x-catkinmast-deadline-ms", "x-catkinmast-request-id",
                     "x-catkinmast-weight-versions", "x-catkinmast-wait-ms"] {
            let value = HeaderValue::from_str(&text).expect("printable text is a header value");
            headers.insert(HeaderName::from_static(name), value);
        }
        drop(UsersPlatform::caller_options(&headers));
        drop(UsersPlatform::response_metadata(&headers));
        if let Ok(request) = Request::builder().uri(path).body(()) {
            let (mut head, ()) = request.into_parts();
            head.headers = headers;
            drop(UsersPlatform::batch_call(&head));
        }
        let event =
            StreamEvent { data: text.clone(), fields: vec![("x-catkinmast-weight-versions".into(), text)], id: None };
        let _version = UsersPlatform::event_version(&event);
    }
}

#[test]
fn a_submission_is_decoded_as_sent() {
    let decoded =
        UsersPlatform::submission(submission().to_string().as_bytes()).expect("a valid submission");

    assert_eq!(
        (decoded.step, decoded.oldest_version, decoded.target_groups),
        (Some(7), 6, Some(12))
    );
    assert_eq!(decoded.work_tokens(), 120, "the length hint of the caller");
    assert_eq!(decoded.items[0].reward.as_ref().map(|reward| reward.id.as_str()), Some("s0"));
}

#[test]
fn a_submission_with_a_field_of_another_type_is_refused_with_its_value() {
    let mut invalid = submission();
    invalid["items"][0]["tokens"] = json!("many");

    let error = UsersPlatform::submission(invalid.to_string().as_bytes())
        .expect_err("an invalid submission");

    assert!(error.to_string().contains("many"), "{error}");
}

#[test]
fn an_unreadable_conflict_is_not_a_success() {
    let call = StoreCall::Transaction { deletes: vec![], expected: vec![], puts: vec![] };

    let answer = UsersPlatform::store_answer(&call, 412, b"{}");

    assert!(!matches!(answer, Ok(StoreAnswer::Committed { .. })), "{answer:?}");
}
